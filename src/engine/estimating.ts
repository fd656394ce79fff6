/** How long tasks and jobs are expected to run, from what was learned. */

import { createEstimate, estimateTaskMs } from "../core/estimates.ts";
import type { JobSpec, QueueRule } from "./schemas.ts";
import type { EngineState, QueueStatistics } from "./types.ts";

/** What is learned of a queue, created at the first job. */
export function statisticsOf(
  state: EngineState,
  queueName: string,
  firstMs: number,
): QueueStatistics {
  const known = state.statistics.get(queueName);
  if (known !== undefined) return known;
  const created = { runs: createEstimate(Math.max(1, firstMs)), samples: 0 };
  state.statistics.set(queueName, created);
  return created;
}

/** The estimated run time of a task on a worker of usual speed. */
export function expectedTaskMs(
  state: EngineState,
  queueName: string,
  declaredMs: number,
): number {
  const { runs } = statisticsOf(state, queueName, declaredMs);
  return estimateTaskMs(runs, declaredMs > 0 ? declaredMs : null);
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
