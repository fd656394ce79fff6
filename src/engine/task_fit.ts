/** Which workers may get a task. */

import { jobIdOf } from "./job_state.ts";
import { mayGrantLease } from "./leases.ts";
import { MAX_RUNS_PER_WORKER } from "./load_limits.ts";
import type { EngineState, OwnedWorker, ServiceOffer, Task } from "./types.ts";

/**
 * Whether a worker may get tasks. Its clock may have to be read before the next
 * one starts.
 */
export function isUsable(state: EngineState, worker: OwnedWorker): boolean {
  if (worker.phase !== "ready" || !state.guards.mayServe(worker)) return false;
  if (worker.runs.size >= MAX_RUNS_PER_WORKER) return false;
  if (worker.unsizedRunCount > 0 || worker.trialCount > 0) return false;
  if (!mayGrantLease(state, worker)) return false;
  // Runs that a previous owner stopped may occupy capacity until this time,
  // although the worker no longer lists them.
  if (state.nowMs < worker.usableFromMs) return false;
  if (worker.suspendedUntilMs > state.nowMs) return false;
  // After a suspension the worker gets one task at a time until one succeeds.
  const probing = worker.suspendedUntilMs > 0;
  return !probing || worker.runs.size === 0;
}

/** Whether a task fits on a worker once that is empty. */
export function isLargeEnough(
  { info }: OwnedWorker,
  { demand }: Task,
): boolean {
  return demand.cpuMilli <= info.cpuMilli &&
    demand.memoryMb <= info.memoryMb &&
    demand.accelerators <= info.accelerators;
}

/** Whether a worker meets the label and the per-worker limit of a task's step. */
export function meetsRequirements(
  worker: OwnedWorker,
  { demand, stepIndex, name }: Task,
): boolean {
  const { requiredLabel, maxPerWorker } = demand;
  const { labels } = worker.info;
  if (requiredLabel !== undefined && !labels.includes(requiredLabel)) {
    return false;
  }
  if (maxPerWorker === undefined) return true;
  const jobId = jobIdOf(name);
  let present = 0;
  for (const run of worker.runs.values()) {
    if (run.taskName.startsWith(`${jobId}.0.${stepIndex}.`)) present += 1;
  }
  return present < maxPerWorker;
}

/** Returns what the workers of each service offer at most. */
export function offersOf(
  workers: Iterable<OwnedWorker>,
): Map<string, ServiceOffer> {
  const offers = new Map<string, ServiceOffer>();
  for (const { info } of workers) {
    let offer = offers.get(info.service);
    if (offer === undefined) {
      const labels = new Set<string>();
      offer = { cpuMilli: 0, memoryMb: 0, accelerators: 0, labels };
      offers.set(info.service, offer);
    }
    offer.cpuMilli = Math.max(offer.cpuMilli, info.cpuMilli);
    offer.memoryMb = Math.max(offer.memoryMb, info.memoryMb);
    offer.accelerators = Math.max(offer.accelerators, info.accelerators);
    for (const label of info.labels) offer.labels.add(label);
  }
  return offers;
}

/**
 * Whether a task needs more than any worker of its service has, so that it waits
 * without delaying others.
 */
export function exceedsOffer(
  offer: ServiceOffer | undefined,
  { demand }: Task,
): boolean {
  if (offer === undefined) return false;
  const { requiredLabel } = demand;
  return demand.cpuMilli > offer.cpuMilli ||
    demand.memoryMb > offer.memoryMb ||
    demand.accelerators > offer.accelerators ||
    (requiredLabel !== undefined && !offer.labels.has(requiredLabel));
}
