/**
 * Usual shares of queues. It answers floods: a queue that brings several times
 * its usual arrivals keeps what it usually uses; its work beyond that waits
 * behind the work of all others.
 */

import type { Job, QueueDemand, Scheduler } from "./types.ts";

/** How often demand is sampled. */
const SAMPLE_MS = 100;
/** Weight of one sample in the recent arrivals: about a second. */
const RECENT_WEIGHT = 0.1;
/** Weight of one sample in the usual demand: about half a minute. */
const USUAL_WEIGHT = 0.003;
/** Weight of a sample of a flood, which must not become usual. */
const FLOOD_WEIGHT = 0.0002;
/** How many samples a new queue is averaged over before weights apply. */
const WARMUP_SAMPLES = 30;
/** Arrivals at this many times their usual rate are a flood. */
const FLOOD_FACTOR = 3;
/** Fewer jobs a sample than this are never a flood. */
const FLOOD_MIN_ARRIVALS = 0.8;

function createShare(): QueueDemand {
  return {
    arrivals: 0,
    recentArrivals: 0,
    usualArrivals: 0,
    usualTasks: 0,
    openTasks: 0,
    samples: 0,
  };
}

function shareOf({ queueDemands }: Scheduler, queueName: string): QueueDemand {
  let share = queueDemands.get(queueName);
  if (share === undefined) {
    share = createShare();
    queueDemands.set(queueName, share);
  }
  return share;
}

/** Counts an arrival, and the tasks that it brings. */
export function noteArrival(scheduler: Scheduler, job: Job): void {
  const share = shareOf(scheduler, job.queue.name);
  share.arrivals += 1;
  share.openTasks += job.unfinished;
}

/** Whether a job that comes now is beyond its queue's usual share. */
export function isSurplus(scheduler: Scheduler, queueName: string): boolean {
  const share = shareOf(scheduler, queueName);
  return isFlooding(share) && share.openTasks > share.usualTasks;
}

/**
 * Arrivals are counted, not tasks: one job of many tasks is no flood, and
 * neither is a queue whose jobs stay open because another one floods.
 */
function isFlooding(share: QueueDemand): boolean {
  const bar = Math.max(FLOOD_MIN_ARRIVALS, share.usualArrivals * FLOOD_FACTOR);
  return share.samples >= WARMUP_SAMPLES && share.recentArrivals > bar;
}

/** Samples the demand of every queue. */
export function sampleShares(scheduler: Scheduler, nowMs: number): void {
  if (nowMs - scheduler.demandsSampledAtMs < SAMPLE_MS) return;
  scheduler.demandsSampledAtMs = nowMs;
  for (const share of scheduler.queueDemands.values()) share.openTasks = 0;
  for (const job of scheduler.jobs.values()) {
    if (job.outcome !== null) continue;
    shareOf(scheduler, job.queue.name).openTasks += job.unfinished;
  }
  for (const share of scheduler.queueDemands.values()) sampleShare(share);
}

function sampleShare(share: QueueDemand): void {
  const { arrivals } = share;
  share.arrivals = 0;
  share.samples += 1;
  share.recentArrivals += RECENT_WEIGHT * (arrivals - share.recentArrivals);
  const settled = isFlooding(share) ? FLOOD_WEIGHT : USUAL_WEIGHT;
  const warming = share.samples <= WARMUP_SAMPLES;
  const weight = warming ? 1 / share.samples : settled;
  share.usualTasks += weight * (share.openTasks - share.usualTasks);
  share.usualArrivals += weight * (arrivals - share.usualArrivals);
}
