/** The platform's service over HTTP: table rows and the membership list. */

import { Pool } from "undici";
import VError from "verror";
import { z } from "zod";
import { upstreamMemberSchema } from "../core/schemas.ts";
import type { PlatformHost } from "./hosts.ts";

/** A call to the platform failed; a write may have taken effect all the same. */
export class PlatformError extends VError {
  constructor(cause: Error | undefined, message: string) {
    super({ name: "PlatformError", ...(cause && { cause }) }, message);
  }
}

const rowSchema = z.object({ value: z.json(), version: z.number() });
const membershipSchema = z.object({
  version: z.number(),
  upstreams: z.array(upstreamMemberSchema),
});

interface Call {
  readonly method: "GET" | "PUT";
  readonly path: string;
  readonly body?: unknown;
}

/** Creates a client of the platform at an address. */
export function createPlatformClient(
  address: string,
  { timeoutMs = 1_000 }: { timeoutMs?: number } = {},
): PlatformHost {
  const pool = new Pool(`http://${address}`, { connections: 2 });

  async function call({ method, path, body }: Call): Promise<
    { status: number; content: unknown }
  > {
    try {
      const response = await pool.request({
        method,
        path,
        headers: { "content-type": "application/json" },
        body: body === undefined ? null : JSON.stringify(body),
        signal: AbortSignal.timeout(timeoutMs),
      });
      const content = await response.body.json();
      if (response.statusCode >= 500) {
        throw new VError("status %d", response.statusCode);
      }
      return { status: response.statusCode, content };
    } catch (error) {
      throw new PlatformError(error as Error, `${method} ${path} failed`);
    }
  }

  function parse<T>(schema: z.ZodType<T>, content: unknown): T {
    const parsed = schema.safeParse(content);
    if (parsed.success) return parsed.data;
    throw new PlatformError(parsed.error, "the platform's answer is malformed");
  }

  return {
    async readRow(key) {
      const path = `/table/${encodeURIComponent(key)}`;
      const { content } = await call({ method: "GET", path });
      return parse(rowSchema, content);
    },
    async writeRow(key, body) {
      const path = `/table/${encodeURIComponent(key)}`;
      const { status, content } = await call({ method: "PUT", path, body });
      const row = parse(rowSchema, content);
      if (status === 409) return { kind: "conflict", row };
      return { kind: "written", version: row.version };
    },
    async readMembership() {
      const { content } = await call({ method: "GET", path: "/membership" });
      return parse(membershipSchema, content);
    },
    async close() {
      await pool.destroy();
    },
  };
}
