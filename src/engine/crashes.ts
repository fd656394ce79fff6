/**
 * Evidence that the process of a worker has ended and taken its runs with it. A
 * worker that is silent may be slow, paused or partitioned and may still run its
 * tasks. One that refuses connections has probably crashed, although some
 * network partitions refuse connections, too. One of which another incarnation
 * answers has certainly crashed.
 */

import { logDecision } from "./effects.ts";
import type { OwnedWorker, ReduceContext } from "./types.ts";

/** What shows that a worker has crashed. */
export interface CrashEvidence {
  readonly confirmed: boolean;
  readonly reason: "notListening" | "replaced" | "restarted";
}

/**
 * Notes that a worker has crashed, or has certainly crashed. A draining worker
 * ends as planned, so nothing is noted of it.
 */
export function noteCrash(
  context: ReduceContext,
  worker: OwnedWorker,
  { confirmed, reason }: CrashEvidence,
): void {
  const { state } = context;
  const { crash, info } = worker;
  if (info.draining || (crash !== null && crash.confirmed >= confirmed)) return;
  if (crash === null) state.counters.workersCrashed += 1;
  worker.crash = {
    detectedAtMs: crash?.detectedAtMs ?? state.nowMs,
    confirmed,
  };
  const runs = [...worker.runs.values()].map(({ taskName, placedAtMs }) => ({
    task: taskName,
    ageMs: Math.round(state.nowMs - placedAtMs),
  }));
  logDecision(context, {
    level: "warn",
    part: "workers",
    text: confirmed ? "worker crashed" : "worker presumed crashed",
  }, { workerId: info.workerId, reason, runs });
}

/** Handles an answer of a worker that was presumed crashed. */
export function clearCrash(context: ReduceContext, worker: OwnedWorker): void {
  const { crash } = worker;
  if (crash === null) return;
  worker.crash = null;
  if (crash.confirmed) return;
  logDecision(context, {
    part: "workers",
    text: "worker answers again; it had not crashed",
  }, {
    workerId: worker.info.workerId,
    silentMs: Math.round(context.state.nowMs - crash.detectedAtMs),
  });
}
