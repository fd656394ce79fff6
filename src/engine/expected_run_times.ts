/** Expected run times of tasks and jobs, from the estimates of their queues. */

import {
  createEstimate,
  estimateTaskMs,
  observeRun,
  type RunEstimate,
} from "./run_estimate.ts";
import type { JobSpec, QueueRule } from "./schemas.ts";
import type { EngineState } from "./types.ts";

/**
 * Number of refusals that rest on an estimate for each job that is let through in
 * spite of it.
 */
const DOUBTED_REFUSALS = 8;

/** Returns a queue's estimate, created from the first declared time. */
export function runEstimateOf(
  { runTimes }: EngineState,
  queueName: string,
  initialMs: number,
): RunEstimate {
  const known = runTimes.get(queueName);
  if (known !== undefined) return known;
  const created = createEstimate(Math.max(1, initialMs));
  runTimes.set(queueName, created);
  return created;
}

/**
 * Updates a queue's estimate with a run of a task and its declared time, which
 * is 0 if none was declared.
 */
export function observeTaskRun(
  state: EngineState,
  queueName: string,
  { ranMs, declaredMs }: { ranMs: number; declaredMs: number },
): void {
  const estimate = runEstimateOf(state, queueName, declaredMs);
  observeRun(estimate, ranMs, declaredMs > 0 ? declaredMs : null);
}

/**
 * Returns the expected run time of a task on a worker of average speed: what was
 * declared for it until a run of its queue was observed. `declaredMs` is 0 if no
 * run time was declared.
 */
export function expectedTaskMs(
  { runTimes }: EngineState,
  queueName: string,
  declaredMs: number,
): number {
  const estimate = runTimes.get(queueName);
  if (estimate === undefined || estimate.runCount === 0) {
    return Math.max(1, declaredMs);
  }
  return estimateTaskMs(estimate, declaredMs > 0 ? declaredMs : null);
}

/**
 * Returns the expected run time of a job's longest chain of dependent tasks,
 * its critical path.
 */
export function expectedCriticalPathMs(
  state: EngineState,
  { queue, job }: { queue: QueueRule; job: JobSpec },
): number {
  return criticalPathMs(
    job,
    (declaredMs) => expectedTaskMs(state, queue.name, declaredMs),
  );
}

/**
 * Whether a job of a queue that would be refused by what was learned of its run
 * times is let through, to show whether that still holds: the first of each
 * `DOUBTED_REFUSALS`.
 */
export function mayDoubtEstimate(
  { runTimes }: EngineState,
  queueName: string,
): boolean {
  const estimate = runTimes.get(queueName);
  if (estimate === undefined) return false;
  const isFirst = estimate.doubtedRefusals % DOUBTED_REFUSALS === 0;
  estimate.doubtedRefusals += 1;
  return isFirst;
}

/** Returns the critical path of a job by the run times that were declared. */
export function declaredCriticalPathMs(job: JobSpec): number {
  return criticalPathMs(job, (declaredMs) => declaredMs);
}

function criticalPathMs(
  job: JobSpec,
  taskMsOf: (declaredMs: number) => number,
): number {
  const completionTimesMs: number[] = [];
  let longestMs = 0;
  for (const step of job.steps) {
    let startMs = 0;
    for (const stepIndex of step.after) {
      startMs = Math.max(startMs, completionTimesMs[stepIndex] ?? 0);
    }
    const completionMs = startMs + taskMsOf(step.estimatedMs);
    completionTimesMs.push(completionMs);
    longestMs = Math.max(longestMs, completionMs);
  }
  return longestMs;
}
