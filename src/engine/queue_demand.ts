/**
 * Demand statistics of queues, which protect other queues from floods: a queue
 * with several times its usual arrivals keeps its usual demand; its jobs beyond
 * that are surplus and wait behind all jobs that are not.
 */

import type { Job, QueueDemand, Scheduler } from "./types.ts";

/** Interval between samples of the demand. */
const SAMPLE_INTERVAL_MS = 100;
/** Weight of one sample in the recent arrivals: averages about a second. */
const RECENT_WEIGHT = 0.1;
/** Weight of one sample in the usual demand: averages about half a minute. */
const USUAL_WEIGHT = 0.003;
/**
 * Weight of one sample in the usual demand during a flood: low, as the flood
 * must not become the usual demand.
 */
const FLOOD_WEIGHT = 0.0002;
/**
 * Number of samples of a new queue that are averaged with equal weights; until
 * then, no flood is detected.
 */
const WARMUP_SAMPLES = 30;
/** Multiple of the usual arrivals above which recent arrivals are a flood. */
const FLOOD_FACTOR = 3;
/** Jobs per sample up to which recent arrivals are never a flood. */
const FLOOD_MIN_ARRIVALS = 0.8;

function createQueueDemand(): QueueDemand {
  return {
    arrivals: 0,
    recentArrivals: 0,
    usualArrivals: 0,
    usualTasks: 0,
    openTasks: 0,
    samples: 0,
  };
}

/** Returns the demand of a queue, created at its first use. */
function demandOf({ queueDemands }: Scheduler, queueName: string): QueueDemand {
  let demand = queueDemands.get(queueName);
  if (demand === undefined) {
    demand = createQueueDemand();
    queueDemands.set(queueName, demand);
  }
  return demand;
}

/** Adds a job that arrived, and its tasks, to the demand of its queue. */
export function countArrival(scheduler: Scheduler, job: Job): void {
  const demand = demandOf(scheduler, job.queue.name);
  demand.arrivals += 1;
  demand.openTasks += job.unfinished;
}

/**
 * Whether a job that arrives now is surplus: its queue floods, and its open
 * tasks exceed its usual demand.
 */
export function isSurplus(scheduler: Scheduler, queueName: string): boolean {
  const demand = demandOf(scheduler, queueName);
  return isFlooding(demand) && demand.openTasks > demand.usualTasks;
}

/**
 * Whether a queue floods. Arrivals are counted, not open tasks: one job with
 * many tasks is no flood, and neither is a queue whose jobs stay open because
 * another queue floods.
 */
function isFlooding(demand: QueueDemand): boolean {
  const threshold = Math.max(
    FLOOD_MIN_ARRIVALS,
    demand.usualArrivals * FLOOD_FACTOR,
  );
  return demand.samples >= WARMUP_SAMPLES && demand.recentArrivals > threshold;
}

/** Samples the demand of every queue if the sample interval has passed. */
export function sampleDemands(scheduler: Scheduler, nowMs: number): void {
  if (nowMs - scheduler.demandsSampledAtMs < SAMPLE_INTERVAL_MS) return;
  scheduler.demandsSampledAtMs = nowMs;
  for (const demand of scheduler.queueDemands.values()) demand.openTasks = 0;
  for (const job of scheduler.jobs.values()) {
    if (job.outcome !== null) continue;
    demandOf(scheduler, job.queue.name).openTasks += job.unfinished;
  }
  for (const demand of scheduler.queueDemands.values()) sampleDemand(demand);
}

/** Updates the averages of a queue, and starts its next sample. */
function sampleDemand(demand: QueueDemand): void {
  const { arrivals } = demand;
  demand.arrivals = 0;
  demand.samples += 1;
  demand.recentArrivals += RECENT_WEIGHT * (arrivals - demand.recentArrivals);
  const settledWeight = isFlooding(demand) ? FLOOD_WEIGHT : USUAL_WEIGHT;
  const isWarmingUp = demand.samples <= WARMUP_SAMPLES;
  const weight = isWarmingUp ? 1 / demand.samples : settledWeight;
  demand.usualTasks += weight * (demand.openTasks - demand.usualTasks);
  demand.usualArrivals += weight * (arrivals - demand.usualArrivals);
}
