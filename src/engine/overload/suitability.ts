/** Which workers of a cell could run the tasks of a job if they were idle. */

import type { EngineState, Job, OwnedWorker } from "../types.ts";
import { tasksThatFit } from "../worker_loans.ts";
import { isEvacuated } from "../zones/evacuation.ts";

/** Whether a worker is one of the cell's own that may get tasks at some time. */
function mayServe(state: EngineState, worker: OwnedWorker): boolean {
  const { guards, scheduler } = state;
  return guards.mayServe(worker) && !isEvacuated(state, worker.info) &&
    scheduler?.loans.borrowed.has(worker.info.workerId) !== true;
}

/** Whether a worker is neither lost nor suspended. */
function isUsable({ nowMs }: EngineState, worker: OwnedWorker): boolean {
  return worker.phase !== "lost" && worker.suspendedUntilMs <= nowMs;
}

/**
 * Whether each step of a job has a worker in this cell with the label and the
 * size that it needs. With `usable`, workers that are lost or suspended don't
 * count, though they may be back before the objective of the job.
 */
export function hasSuitedWorkers(
  state: EngineState,
  { steps, queue: { service } }: Job,
  { usable }: { usable: boolean },
): boolean {
  const workers = state.scheduler?.workers ?? new Map<string, OwnedWorker>();
  return steps.every((step) => {
    const demand = { ...step, service };
    for (const worker of workers.values()) {
      if (!mayServe(state, worker)) continue;
      if (usable && !isUsable(state, worker)) continue;
      if (tasksThatFit(worker.info, demand) > 0) return true;
    }
    return false;
  });
}
