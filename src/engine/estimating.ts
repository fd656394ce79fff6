/** How long tasks and jobs are expected to run, from what was learned. */

import {
  createEstimate,
  estimateTaskMs,
  learnRun,
  type RunEstimate,
} from "./estimates.ts";
import type { JobSpec, QueueRule } from "./schemas.ts";
import type { EngineState } from "./types.ts";

/** What is learned of a queue's tasks, created at the first of them. */
function runTimesOf(
  { runTimes }: EngineState,
  queueName: string,
  firstMs: number,
): RunEstimate {
  const known = runTimes.get(queueName);
  if (known !== undefined) return known;
  const created = createEstimate(Math.max(1, firstMs));
  runTimes.set(queueName, created);
  return created;
}

/** Learns from a run of a task, and from what had been declared for it. */
export function learnTaskMs(
  state: EngineState,
  queueName: string,
  { ranMs, declaredMs }: { ranMs: number; declaredMs: number },
): void {
  const runTimes = runTimesOf(state, queueName, declaredMs);
  learnRun(runTimes, ranMs, declaredMs > 0 ? declaredMs : null);
}

/** The estimated run time of a task on a worker of usual speed. */
export function expectedTaskMs(
  state: EngineState,
  queueName: string,
  declaredMs: number,
): number {
  const runTimes = runTimesOf(state, queueName, declaredMs);
  return estimateTaskMs(runTimes, declaredMs > 0 ? declaredMs : null);
}

/** The estimated time of the longest chain of tasks of a job. */
export function expectedChainMs(
  state: EngineState,
  { queue, job }: { queue: QueueRule; job: JobSpec },
): number {
  const endsMs: number[] = [];
  for (const step of job.steps) {
    const beginsMs = Math.max(0, ...step.after.map((at) => endsMs[at] ?? 0));
    const taskMs = expectedTaskMs(state, queue.name, step.estimatedMs);
    endsMs.push(beginsMs + taskMs);
  }
  return Math.max(...endsMs);
}
