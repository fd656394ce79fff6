/** HTTP client of workers that implement Bronzemill's own interface. */

import { Pool } from "undici";
import { z } from "zod";
import type {
  PollOutcome,
  StartOutcome,
  StopOutcome,
} from "../engine/types.ts";
import type { WorkerHost } from "../instance/hosts.ts";

/**
 * Maximum number of connections to one worker: one is occupied by the pending
 * poll, the others serve calls that start and stop tasks.
 */
const MAX_CONNECTIONS_PER_WORKER = 6;
/**
 * Time limit for a response that the worker gives without waiting. A poll may
 * take `waitMs` longer.
 */
const RESPONSE_TIMEOUT_MS = 500;
/** Error code of a connection to an address where no process listens. */
const CONNECTION_REFUSED = "ECONNREFUSED";

/**
 * Response to a poll, which is a `hold` call on the wire. Wire names: `held` is
 * a successful poll, `bornMs` the start time of the worker's incarnation, `end`
 * the outcome of a run, and `lapsed` a run whose lease expired.
 */
const pollOutcomeSchema: z.ZodType<PollOutcome> = z.discriminatedUnion("kind", [
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

/**
 * Response to a call that starts a task. Wire values of `reason`: `late` means
 * that the lease in the call has expired, `room` that the worker has too little
 * free capacity.
 */
const startOutcomeSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("started"), clockMs: z.number() }),
  z.object({
    kind: z.literal("refused"),
    reason: z.enum(["fenced", "oldRun", "late", "room", "replaced"]),
  }),
  z.object({ kind: z.literal("unhealthy") }),
]);

/** Response to a call that stops a run. */
const stopOutcomeSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("stopped") }),
  z.object({ kind: z.literal("fenced") }),
]);

/** Creates a client for all workers, with one connection pool per address. */
export function createWorkerClient(): WorkerHost {
  const pools = new Map<string, Pool>();

  function getPool(address: string): Pool {
    let pool = pools.get(address);
    if (pool === undefined) {
      pool = new Pool(`http://${address}`, {
        connections: MAX_CONNECTIONS_PER_WORKER,
        pipelining: 1,
      });
      pools.set(address, pool);
    }
    return pool;
  }

  /** Sends an effect as the JSON body: its field names are wire names. */
  async function post<T>(
    effect: { address: string },
    path: string,
    { schema, timeoutMs }: { schema: z.ZodType<T>; timeoutMs: number },
  ): Promise<T> {
    const response = await getPool(effect.address).request({
      method: "POST",
      path,
      headers: { "content-type": "application/json" },
      body: JSON.stringify(effect),
      signal: AbortSignal.timeout(timeoutMs),
    });
    return schema.parse(await response.body.json());
  }

  return {
    async poll(effect): Promise<PollOutcome> {
      try {
        const timeoutMs = effect.waitMs + RESPONSE_TIMEOUT_MS;
        return await post(effect, "/hold", {
          schema: pollOutcomeSchema,
          timeoutMs,
        });
      } catch (error) {
        const detail = errorCode(error);
        return detail === CONNECTION_REFUSED
          ? { kind: "notListening" }
          : { kind: "unreachable", detail };
      }
    },
    async start(effect): Promise<StartOutcome> {
      try {
        const timeoutMs = RESPONSE_TIMEOUT_MS;
        return await post(effect, "/start", {
          schema: startOutcomeSchema,
          timeoutMs,
        });
      } catch (error) {
        const detail = errorCode(error);
        // A refused connection shows that the worker did not receive the call.
        const kind = detail === CONNECTION_REFUSED ? "notSent" : "unknown";
        return { kind, detail };
      }
    },
    async stop(effect): Promise<StopOutcome> {
      try {
        const timeoutMs = RESPONSE_TIMEOUT_MS;
        return await post(effect, "/stop", {
          schema: stopOutcomeSchema,
          timeoutMs,
        });
      } catch (error) {
        return { kind: "unknown", detail: errorCode(error) };
      }
    },
    async close() {
      await Promise.all([...pools.values()].map((pool) => pool.destroy()));
    },
  };
}

/** Returns the error's code, such as `ECONNREFUSED`, or else its name. */
function errorCode(error: unknown): string {
  const { code, name } = error as { code?: string; name?: string };
  return code ?? name ?? "error";
}
