/**
 * Sends tasks to upstreams over HTTP. What is assumed of them is written in
 * docs/operators/upstreams.md.
 */

import { Pool } from "undici";
import { z } from "zod";
import type { SendOutcome } from "../core/types.ts";
import { getOrInsert } from "../core/utilities.ts";
import type { UpstreamHost } from "./hosts.ts";
import { parseJson } from "./json.ts";

/** Connections from one instance to one upstream. */
const CONNECTIONS_PER_UPSTREAM = 8;
/** How long a connection may take to open. */
const CONNECT_TIMEOUT_MS = 1_000;
/** An idle connection is closed well before upstreams close theirs. */
const KEEP_ALIVE_MS = 2_000;

const answerSchema = z.object({
  taskId: z.string(),
  result: z.json().optional(),
  error: z.string().optional(),
});
const refusalSchema = z.object({ notRun: z.literal(true) });

/** Errors after which it is certain that no byte of the request left. */
const notSentCodes: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

function outcomeOfError(error: unknown): SendOutcome {
  const code = (error as { code?: string }).code ?? "error";
  const kind = notSentCodes.has(code) ? "notRun" : "unknown";
  return { kind, detail: code };
}

function outcomeOfAnswer(status: number, text: string): SendOutcome {
  const body = parseJson(text);
  if (status === 503 && refusalSchema.safeParse(body).success) {
    return { kind: "notRun", detail: "refused by the upstream" };
  }
  const answer = answerSchema.safeParse(body);
  if (!answer.success) {
    return { kind: "unknown", detail: `malformed answer, status ${status}` };
  }
  const { taskId, result, error } = answer.data;
  if (status === 200) return { kind: "done", taskId, result: result ?? null };
  return { kind: "failed", taskId, detail: error ?? `status ${status}` };
}

/** Creates the client that an entry instance sends its tasks with. */
export function createUpstreamClient(): UpstreamHost {
  const pools = new Map<string, Pool>();

  function poolOf(address: string): Pool {
    return getOrInsert(pools, address, () =>
      new Pool(`http://${address}`, {
        connections: CONNECTIONS_PER_UPSTREAM,
        pipelining: 1,
        connectTimeout: CONNECT_TIMEOUT_MS,
        keepAliveTimeout: KEEP_ALIVE_MS,
        keepAliveMaxTimeout: KEEP_ALIVE_MS,
        headersTimeout: 0,
        bodyTimeout: 0,
      }));
  }

  return {
    async send(effect) {
      const timeoutMs = Math.ceil(effect.timeoutMs);
      try {
        const response = await poolOf(effect.address).request({
          method: "POST",
          path: `/${effect.service}/${effect.kind}`,
          headers: {
            "content-type": "application/json",
            "idempotency-key": effect.key,
          },
          body: JSON.stringify({
            taskId: effect.taskId,
            payload: effect.payload,
          }),
          headersTimeout: timeoutMs,
          bodyTimeout: timeoutMs,
        });
        return outcomeOfAnswer(response.statusCode, await response.body.text());
      } catch (error) {
        return outcomeOfError(error);
      }
    },
    async close() {
      await Promise.all([...pools.values()].map((pool) => pool.destroy()));
    },
  };
}
