/**
 * Reads of workers' clocks before the first start after a long idle time. A
 * worker without runs is not polled, so its clock becomes unknown, and with it
 * the time at which a lease there ends.
 */

import { isolateJob } from "./job_faults.ts";
import { queuedTasks } from "./job_state.ts";
import { knowsClock } from "./leases.ts";
import {
  exceedsOffer,
  isLargeEnough,
  isUsable,
  meetsRequirements,
} from "./task_fit.ts";
import type {
  Job,
  OwnedWorker,
  ReduceContext,
  Scheduler,
  Task,
} from "./types.ts";
import { pollForClock } from "./workers.ts";

/** Number of clocks from which on no further job has clocks read at a time. */
const MAX_READS = 32;
/**
 * Number of workers that are read for a job beyond one for each task. The tasks
 * need not wait for a worker that turns out to be unreachable.
 */
const SPARE_READS = 1;

/**
 * Reads the clocks of workers that queued tasks fit on, one worker for each task.
 * The tasks start on those that answer first.
 */
export function readClocks(
  context: ReduceContext,
  scheduler: Scheduler,
  { service, waiting }: { service: string; waiting: readonly Job[] },
): void {
  const { state } = context;
  const unread = new Set<OwnedWorker>();
  for (const worker of scheduler.workers.values()) {
    if (worker.info.service !== service || knowsClock(state, worker)) continue;
    if (isUsable(state, worker)) unread.add(worker);
  }
  let left = MAX_READS;
  for (const job of waiting) {
    if (unread.size === 0 || left <= 0) return;
    if (job.outcome !== null) continue;
    left -= isolateJob(context, job, {
      stage: "place",
      fallback: 0,
      run: () => readClocksFor(context, unread, { job, limit: left }),
    });
  }
}

/** Returns the number of clocks that are read for the queued tasks of a job. */
function readClocksFor(
  context: ReduceContext,
  unread: Set<OwnedWorker>,
  { job, limit }: { job: Job; limit: number },
): number {
  const offer = context.state.scheduler?.offers.get(job.queue.service);
  const tasks: Task[] = [];
  for (const task of queuedTasks(job)) {
    if (exceedsOffer(offer, task)) continue;
    if (tasks.push(task) === limit) break;
  }
  let reads = 0;
  for (const task of [...tasks, ...tasks.slice(0, SPARE_READS)]) {
    const worker = findSuited(unread, task);
    if (worker === undefined) continue;
    unread.delete(worker);
    reads += 1;
    if (!isBeingPolled(worker)) pollForClock(context, worker);
  }
  return reads;
}

function findSuited(
  workers: Iterable<OwnedWorker>,
  task: Task,
): OwnedWorker | undefined {
  for (const worker of workers) {
    if (isLargeEnough(worker, task) && meetsRequirements(worker, task)) {
      return worker;
    }
  }
  return undefined;
}

function isBeingPolled({ pollSentAtMs, listsReadAtMs }: OwnedWorker): boolean {
  return pollSentAtMs > listsReadAtMs;
}
