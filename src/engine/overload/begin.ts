/**
 * Which jobs may begin, so that few of them hold capacity with some tasks while
 * others wait. Load: more work of less urgent queues than the workers can do.
 */

import type { Configuration, Step } from "../schemas.ts";
import { isReserved } from "../trials.ts";
import type { EngineState, Job, OwnedWorker, Scheduler } from "../types.ts";
import { tasksThatFit } from "../worker_loans.ts";
import { overloadPolicyOf } from "./policies.ts";

/**
 * Number of jobs of each less urgent queue's priority that may be partly started.
 * The first job in order that finds no room for all its tasks gets its workers one
 * by one, so that wide jobs are not starved.
 */
const MAX_PARTLY_STARTED = 1;

/**
 * Tells for the jobs of a service, in their order, whether they may begin on the
 * workers that they may use.
 */
export type BeginCheck = (
  job: Job,
  workers: readonly OwnedWorker[],
) => boolean;

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

/** Returns how many more tasks with a demand fit on a worker now. */
function placesLeft(
  state: EngineState,
  worker: OwnedWorker,
  demand: Step,
): number {
  const { info, usedCpuMilli, usedMemoryMb, usedAccelerators } = worker;
  if (isReserved(state, worker)) return 0;
  return tasksThatFit({
    ...info,
    cpuMilli: info.cpuMilli - usedCpuMilli,
    memoryMb: info.memoryMb - usedMemoryMb,
    accelerators: info.accelerators - usedAccelerators,
  }, { ...demand, service: info.service });
}

/**
 * Whether the workers have room for all queued tasks of a job now. Steps that are
 * queued at the same time are looked at one by one.
 */
function fitsWhole(
  state: EngineState,
  workers: readonly OwnedWorker[],
  { tasks, steps }: Job,
): boolean {
  return steps.every((demand, stepIndex) => {
    let left = 0;
    for (const task of tasks) {
      if (task.stepIndex === stepIndex && task.state === "queued") left += 1;
    }
    for (const worker of workers) {
      if (left <= 0) break;
      left -= placesLeft(state, worker, demand);
    }
    return left <= 0;
  });
}

/** Returns the check for the jobs of a service in one pass over its queue. */
export function createBeginCheck(
  state: EngineState,
  scheduler: Scheduler,
  service: string,
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
  return (job, workers) => {
    const { priority } = job.queue;
    if (priority === urgent || job.mayHaveStarted) return true;
    if (job.record !== null || job.tasks.some(({ runsAlone }) => runsAlone)) {
      return true;
    }
    if (fitsWhole(state, workers, job)) return true;
    const count = partlyStarted.get(priority) ?? 0;
    if (count >= MAX_PARTLY_STARTED) return false;
    partlyStarted.set(priority, count + 1);
    return true;
  };
}
