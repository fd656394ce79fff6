/** Calls workers of our own interface, over HTTP. */

import { Pool } from "undici";
import { z } from "zod";
import type {
  PollOutcome,
  StartOutcome,
  StopOutcome,
} from "../engine/types.ts";
import type { WorkerHost } from "../instance/hosts.ts";

/** Connections to one worker: one waits in a hold, the others start tasks. */
const CONNECTIONS_PER_WORKER = 6;
/** How long a worker may take to answer at once. */
const ANSWER_MS = 500;

const holdSchema: z.ZodType<PollOutcome> = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("held"),
    clockMs: z.number(),
    bornMs: z.number().nullable(),
    running: z.array(z.object({
      taskName: z.string(),
      run: z.number(),
      percent: z.number(),
    })),
    finished: z.array(z.object({
      sequence: z.number(),
      taskName: z.string(),
      run: z.number(),
      end: z.enum(["done", "failed", "stopped", "lapsed", "broken"]),
      result: z.string().optional(),
    })),
  }),
  z.object({ kind: z.literal("fenced") }),
  z.object({ kind: z.literal("replaced") }),
  z.object({ kind: z.literal("unhealthy") }),
]) as z.ZodType<PollOutcome>;

const startSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("started"), clockMs: z.number() }),
  z.object({
    kind: z.literal("refused"),
    reason: z.enum(["fenced", "oldRun", "late", "room", "replaced"]),
  }),
  z.object({ kind: z.literal("unhealthy") }),
]);

const stopSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("stopped") }),
  z.object({ kind: z.literal("fenced") }),
]);

/** Creates the client of all workers. */
export function createWorkerClient(): WorkerHost {
  const pools = new Map<string, Pool>();

  function poolOf(address: string): Pool {
    let pool = pools.get(address);
    if (pool === undefined) {
      pool = new Pool(`http://${address}`, {
        connections: CONNECTIONS_PER_WORKER,
        pipelining: 1,
      });
      pools.set(address, pool);
    }
    return pool;
  }

  async function post<T>(
    call: { address: string },
    path: string,
    { schema, timeoutMs }: { schema: z.ZodType<T>; timeoutMs: number },
  ): Promise<T> {
    const response = await poolOf(call.address).request({
      method: "POST",
      path,
      headers: { "content-type": "application/json" },
      body: JSON.stringify(call),
      signal: AbortSignal.timeout(timeoutMs),
    });
    return schema.parse(await response.body.json());
  }

  return {
    async hold(effect): Promise<PollOutcome> {
      try {
        const timeoutMs = effect.waitMs + ANSWER_MS;
        return await post(effect, "/hold", { schema: holdSchema, timeoutMs });
      } catch (error) {
        return { kind: "unreachable", detail: codeOf(error) };
      }
    },
    async start(effect): Promise<StartOutcome> {
      try {
        const timeoutMs = ANSWER_MS;
        return await post(effect, "/start", { schema: startSchema, timeoutMs });
      } catch (error) {
        const detail = codeOf(error);
        const kind = detail === "ECONNREFUSED" ? "notSent" : "unknown";
        return { kind, detail };
      }
    },
    async stop(effect): Promise<StopOutcome> {
      try {
        const timeoutMs = ANSWER_MS;
        return await post(effect, "/stop", { schema: stopSchema, timeoutMs });
      } catch (error) {
        return { kind: "unknown", detail: codeOf(error) };
      }
    },
    async close() {
      await Promise.all([...pools.values()].map((pool) => pool.destroy()));
    },
  };
}

function codeOf(error: unknown): string {
  const { code, name } = error as { code?: string; name?: string };
  return code ?? name ?? "error";
}
