/**
 * Which jobs may begin, so that few of them hold capacity with some tasks while
 * others wait. Load: more work of less urgent queues than the workers can do.
 */

import type { Configuration } from "../schemas.ts";
import type { EngineState, Job, OwnedWorker, Scheduler } from "../types.ts";
import { overloadPolicyOf } from "./policies.ts";

/**
 * Number of jobs of each less urgent queue's priority that may be partly started.
 * The first job in order that finds no room for all its tasks gets its workers one
 * by one, so that wide jobs are not starved.
 */
const MAX_PARTLY_STARTED = 1;

/** Tells for the jobs of a service, in their order, whether they may begin. */
export type BeginCheck = (job: Job) => boolean;

const anyMayBegin: BeginCheck = () => true;

/** Returns the lowest `priority` value of a service's queues. */
function mostUrgentPriority(
  configuration: Configuration | null,
  service: string,
): number {
  let lowest = Infinity;
  for (const queue of configuration?.queues ?? []) {
    if (queue.service === service) lowest = Math.min(lowest, queue.priority);
  }
  return lowest;
}

/** Whether the workers have room for all queued tasks of a job now. */
function fitsWhole(
  workers: readonly OwnedWorker[],
  { tasks }: Job,
): boolean {
  let count = 0;
  let taskMilli = 1;
  for (const { state, demand } of tasks) {
    if (state !== "queued") continue;
    count += 1;
    taskMilli = Math.max(taskMilli, demand.cpuMilli);
  }
  for (const { info, usedCpuMilli } of workers) {
    if (count <= 0) break;
    count -= Math.max(
      0,
      Math.floor((info.cpuMilli - usedCpuMilli) / taskMilli),
    );
  }
  return count <= 0;
}

/** Returns the check for the jobs of a service in one pass over its queue. */
export function createBeginCheck(
  state: EngineState,
  scheduler: Scheduler,
  { service, workers }: { service: string; workers: readonly OwnedWorker[] },
): BeginCheck {
  if (!overloadPolicyOf(state, service).limitsPartlyStarted) return anyMayBegin;
  const urgent = mostUrgentPriority(state.configuration, service);
  const partlyStarted = new Map<number, number>();
  for (
    const { isPartlyStarted, queue } of scheduler.waiting.get(service) ?? []
  ) {
    if (!isPartlyStarted) continue;
    partlyStarted.set(
      queue.priority,
      (partlyStarted.get(queue.priority) ?? 0) + 1,
    );
  }
  return (job) => {
    const { priority } = job.queue;
    if (priority === urgent || job.mayHaveStarted) return true;
    if (job.record !== null || job.tasks.some(({ runsAlone }) => runsAlone)) {
      return true;
    }
    if (fitsWhole(workers, job)) return true;
    const count = partlyStarted.get(priority) ?? 0;
    if (count >= MAX_PARTLY_STARTED) return false;
    partlyStarted.set(priority, count + 1);
    return true;
  };
}
