/**
 * Trials: runs of tasks that are suspected of crashing workers. A trial has its
 * worker for itself, and only a few workers of a service run trials or are down
 * after one, so that a kind of task that crashes every worker can't take all.
 */

import type { EngineState, Job, OwnedWorker, Scheduler } from "./types.ts";
import { isEvacuated } from "./zones/evacuation.ts";

/**
 * Shares of a service's workers that may run trials or be down after one; at
 * least one worker. A job in memory seldom has the time for a trial. A recorded
 * one waits for it, and may take more while less than half of the workers'
 * capacity is in use.
 */
const TRIAL_SHARES = { inMemory: 1 / 30, recorded: 1 / 10, idle: 1 / 4 };
/** Time for which a worker is kept free of tasks for a trial or a loan. */
const RESERVATION_MS = 1_000;

/** Whether a task of a job may start in a trial now, if a worker is free. */
export function mayStartTrial(
  state: EngineState,
  { workers }: Scheduler,
  { queue: { service }, record }: Job,
): boolean {
  let all = 0;
  let inTrials = 0;
  let cpuMilli = 0;
  let usedCpuMilli = 0;
  for (const worker of workers.values()) {
    if (worker.info.service !== service) continue;
    if (isEvacuated(state, worker.info)) continue;
    all += 1;
    if (worker.crash?.endedTrial === true || worker.trialCount > 0) {
      inTrials += 1;
    }
    if (worker.phase !== "ready") continue;
    cpuMilli += worker.info.cpuMilli;
    usedCpuMilli += worker.usedCpuMilli;
  }
  const recordedShare = usedCpuMilli < cpuMilli / 2
    ? TRIAL_SHARES.idle
    : TRIAL_SHARES.recorded;
  const share = record === null ? TRIAL_SHARES.inMemory : recordedShare;
  return inTrials < Math.max(1, Math.floor(all * share));
}

/** Whether a worker takes no task but a trial. */
export function isReserved(
  { nowMs }: EngineState,
  { reservedUntilMs }: OwnedWorker,
): boolean {
  return nowMs < reservedUntilMs;
}

/**
 * Reserves the least occupied worker for a trial or a loan, unless one is
 * reserved.
 */
export function reserveWorker(
  state: EngineState,
  workers: readonly OwnedWorker[],
): void {
  if (workers.some((worker) => isReserved(state, worker))) return;
  const [first, ...others] = workers;
  if (first === undefined) return;
  const chosen = others.reduce(
    (least, worker) =>
      worker.usedCpuMilli < least.usedCpuMilli ? worker : least,
    first,
  );
  chosen.reservedUntilMs = state.nowMs + RESERVATION_MS;
}
