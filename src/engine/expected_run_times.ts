/** Expected run times of tasks and jobs, from the estimates of their queues. */

import {
  createEstimate,
  estimateTaskMs,
  observeRun,
  type RunEstimate,
} from "./run_estimate.ts";
import type { JobSpec, QueueRule } from "./schemas.ts";
import type { EngineState } from "./types.ts";

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
 * Returns the expected run time of a task on a worker of average speed.
 * `declaredMs` is 0 if no run time was declared.
 */
export function expectedTaskMs(
  state: EngineState,
  queueName: string,
  declaredMs: number,
): number {
  const estimate = runEstimateOf(state, queueName, declaredMs);
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
  const completionTimesMs: number[] = [];
  let criticalPathMs = 0;
  for (const step of job.steps) {
    let startMs = 0;
    for (const stepIndex of step.after) {
      startMs = Math.max(startMs, completionTimesMs[stepIndex] ?? 0);
    }
    const taskMs = expectedTaskMs(state, queue.name, step.estimatedMs);
    completionTimesMs.push(startMs + taskMs);
    criticalPathMs = Math.max(criticalPathMs, startMs + taskMs);
  }
  return criticalPathMs;
}
