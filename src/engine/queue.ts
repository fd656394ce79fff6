/** The order in which jobs wait for workers. */

import type { Job, Scheduler } from "./types.ts";

/** Whether a job has tasks that could start now. */
export function hasQueuedTasks(job: Job): boolean {
  return job.tasks.some((task) => task.state === "queued");
}

/**
 * Which of two jobs is served first: work of a flood beyond its usual share
 * last, then the more urgent queue, then what can still be in time, then the
 * job whose objective comes first.
 */
export function compareJobs(a: Job, b: Job): number {
  return Number(a.isSurplus) - Number(b.isSurplus) ||
    a.queue.priority - b.queue.priority ||
    Number(a.isLate) - Number(b.isLate) ||
    a.objectiveAtMs - b.objectiveAtMs ||
    (a.jobId < b.jobId ? -1 : 1);
}

/** Puts a job among those that wait, unless it is there. */
export function enqueue(scheduler: Scheduler, job: Job): void {
  const { service } = job.queue;
  let waiting = scheduler.waiting.get(service);
  if (waiting === undefined) {
    waiting = [];
    scheduler.waiting.set(service, waiting);
  }
  if (waiting.includes(job)) return;
  let at = waiting.length;
  while (at > 0 && compareJobs(waiting[at - 1] as Job, job) > 0) at -= 1;
  waiting.splice(at, 0, job);
}

/** Takes a job from among those that wait; returns whether it was there. */
export function dequeue(scheduler: Scheduler, job: Job): boolean {
  const waiting = scheduler.waiting.get(job.queue.service) ?? [];
  const at = waiting.indexOf(job);
  if (at < 0) return false;
  waiting.splice(at, 1);
  return true;
}

/** Moves a job that is late already behind those that can be in time. */
export function moveLate(scheduler: Scheduler, job: Job): void {
  const waits = dequeue(scheduler, job);
  job.isLate = true;
  if (waits) enqueue(scheduler, job);
}
