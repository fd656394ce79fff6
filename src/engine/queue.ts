/**
 * The jobs with tasks that wait for workers: one ordered list for each service,
 * called the service's queue. It has the jobs of all queues of the configuration
 * that the service runs.
 */

import type { EngineState, Job, Scheduler } from "./types.ts";

/** Whether a job has tasks that wait only for a worker. */
export function hasQueuedTasks(job: Job): boolean {
  return job.queuedCount > 0;
}

/**
 * Compares two jobs by the order in which they are served: surplus jobs of a
 * flood come last; then the lower `priority` value of the queue comes first,
 * then jobs that are not late, then those that are to be finished first, then
 * the earlier objective. The job id makes the order total.
 */
export function compareJobs(a: Job, b: Job): number {
  return compareRanks(a, b) ||
    Number(b.isPartlyStarted) - Number(a.isPartlyStarted) ||
    compareObjectives(a, b);
}

/** Compares two jobs as {@linkcode compareJobs}, whether they have started or not. */
export function compareUnstarted(a: Job, b: Job): number {
  return compareRanks(a, b) || compareObjectives(a, b);
}

function compareRanks(a: Job, b: Job): number {
  return Number(a.isSurplus) - Number(b.isSurplus) ||
    a.queue.priority - b.queue.priority ||
    Number(a.isLate) - Number(b.isLate);
}

function compareObjectives(a: Job, b: Job): number {
  return a.objectiveAtMs - b.objectiveAtMs || (a.jobId < b.jobId ? -1 : 1);
}

/**
 * Inserts a job into its service's queue, unless it is there already. The only
 * way into the queue: a job that has ended, or that has a record which is not
 * persisted, is left out, so that none of its tasks starts.
 */
export function enqueue(state: EngineState, job: Job): void {
  const { scheduler, guards } = state;
  if (scheduler === null || job.outcome !== null) return;
  if (!guards.mayStartJob(job.record)) return;
  const { service } = job.queue;
  let waiting = scheduler.waiting.get(service);
  if (waiting === undefined) {
    waiting = [];
    scheduler.waiting.set(service, waiting);
  }
  if (job.isWaiting) return;
  job.isWaiting = true;
  waiting.splice(insertionIndex(waiting, job), 0, job);
}

/** Returns the index behind all jobs that are served before the given one. */
function insertionIndex(waiting: readonly Job[], job: Job): number {
  let low = 0;
  let high = waiting.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (compareJobs(waiting[middle] as Job, job) > 0) high = middle;
    else low = middle + 1;
  }
  return low;
}

/** Removes a job from its service's queue; returns whether it was there. */
export function dequeue(scheduler: Scheduler, job: Job): boolean {
  if (!job.isWaiting) return false;
  job.isWaiting = false;
  const waiting = scheduler.waiting.get(job.queue.service) ?? [];
  const at = waiting.indexOf(job);
  if (at < 0) return false;
  waiting.splice(at, 1);
  return true;
}

/**
 * Marks a job as late, which moves it behind the jobs of equal priority that
 * can still meet their objectives.
 */
export function markLate(
  state: EngineState,
  scheduler: Scheduler,
  job: Job,
): void {
  const wasWaiting = dequeue(scheduler, job);
  job.isLate = true;
  if (wasWaiting) enqueue(state, job);
}

/**
 * Marks a job of which only some tasks have started, which moves it before the
 * jobs of equal priority that have not started.
 */
export function markPartlyStarted(
  state: EngineState,
  scheduler: Scheduler,
  job: Job,
): void {
  const wasWaiting = dequeue(scheduler, job);
  job.isPartlyStarted = true;
  if (wasWaiting) enqueue(state, job);
}
