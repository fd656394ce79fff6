/** Flows: one team's work of one kind, its queue, run times and usual share. */

import type { CoreState, Flow, Job, Task } from "./types.ts";
import { createEstimate } from "../engine/estimates.ts";
import { getOrInsert } from "./utilities.ts";

/** How often demand is sampled, in milliseconds. */
export const SHARE_SAMPLE_MS = 100;
/** Weight of one sample in the recent demand: about a second. */
const RECENT_WEIGHT = 0.1;
/** Weight of one sample in the usual demand: about half a minute. */
const USUAL_WEIGHT = 0.003;
/** Weight of a sample far above the usual: a flood must not become usual. */
const FLOOD_WEIGHT = 0.0002;
/** How many samples a new flow is averaged over before weights apply. */
const WARMUP_SAMPLES = 30;
/** Jobs at this many times their usual rate count as a flood. */
const FLOOD_FACTOR = 3;
/** Fewer jobs a sample than this are never a flood. */
const FLOOD_MIN_ARRIVALS = 0.8;

/** The flow of that name, made when work of a new kind arrives. */
export function flowOf(
  state: CoreState,
  name: string,
  { service, kind }: { service: string; kind: string },
): Flow {
  return getOrInsert(state.flows, name, () => ({
    flow: name,
    service,
    waiting: [],
    queuedTasks: 0,
    inFlight: 0,
    runs: createEstimate(
      state.configuration?.services[service]?.kinds[kind]?.expectedMs ?? 300,
    ),
    usualSlots: 0,
    arrivals: 0,
    usualArrivals: 0,
    recentArrivals: 0,
    samples: 0,
  }));
}

/** Puts a job's unsent tasks into its flow's queue. */
export function enqueueJob(state: CoreState, job: Job): void {
  const flow = state.flows.get(job.flow);
  if (flow === undefined) return;
  flow.waiting.push(job);
  flow.queuedTasks += job.tasks.length;
}

/** Takes the next unsent task of a job out of the queue. */
export function takeTask(state: CoreState, job: Job): Task | undefined {
  const flow = state.flows.get(job.flow);
  const task = nextTask(job);
  if (task !== undefined) {
    job.nextQueued += 1;
    job.tasksLeft -= 1;
    if (flow !== undefined) flow.queuedTasks -= 1;
  }
  if (flow !== undefined && nextTask(job) === undefined) {
    removeWaiting(flow, job);
  }
  return task;
}

/** The next unsent task; its place and estimate become the job's. */
function nextTask(job: Job): Task | undefined {
  while (job.nextQueued < job.sendOrder.length) {
    const task = job.tasks[job.sendOrder[job.nextQueued] ?? -1];
    if (task?.state === "queued") {
      job.nextRunMs = task.estimatedMs;
      return task;
    }
    job.nextQueued += 1;
  }
  return undefined;
}

/** Puts a task that provably did not run back at its place. */
export function requeueTask(state: CoreState, job: Job, task: Task): void {
  const flow = state.flows.get(job.flow);
  if (flow === undefined) return;
  flow.queuedTasks += 1;
  const place = job.sendOrder.indexOf(task.index);
  job.nextQueued = Math.min(job.nextQueued, place);
  job.tasksLeft += 1;
  job.nextRunMs = Math.max(job.nextRunMs, task.estimatedMs);
  if (!flow.waiting.includes(job)) flow.waiting.unshift(job);
}

function removeWaiting(flow: Flow, job: Job): void {
  const index = flow.waiting.indexOf(job);
  if (index >= 0) flow.waiting.splice(index, 1);
}

/** Drops a job's unsent tasks from the queue. */
export function forgetQueued(state: CoreState, job: Job): void {
  const flow = state.flows.get(job.flow);
  if (flow === undefined || !flow.waiting.includes(job)) return;
  for (const task of job.tasks) {
    if (task.state === "queued") flow.queuedTasks -= 1;
  }
  removeWaiting(flow, job);
}

/**
 * Whether a flow brings far more jobs than it usually does. Arrivals are
 * counted, not slots: one job of many tasks is no flood, and neither is a flow
 * whose jobs stay open because another one floods.
 */
export function isFlooding(flow: Flow): boolean {
  const usual = flow.usualArrivals * FLOOD_FACTOR;
  const bar = Math.max(FLOOD_MIN_ARRIVALS, usual);
  return flow.samples >= WARMUP_SAMPLES && flow.recentArrivals > bar;
}

/**
 * Whether the flow may take any slot: all may but one that floods, which gets
 * its usual slots as before and beyond them only what others leave.
 */
export function isWithinShare(flow: Flow): boolean {
  return !isFlooding(flow) || flow.inFlight < flow.usualSlots;
}

/** Queued tasks of a service, those of floods beyond their share left out. */
export function queuedWithinShare(state: CoreState, service: string): number {
  let queued = 0;
  for (const flow of state.flows.values()) {
    if (flow.service === service && isWithinShare(flow)) {
      queued += flow.queuedTasks;
    }
  }
  return queued;
}

/** Samples every flow's demand. */
export function sampleFlows(state: CoreState): void {
  if (state.nowMs - state.lastShareSampleMs < SHARE_SAMPLE_MS) return;
  state.lastShareSampleMs = state.nowMs;
  for (const flow of state.flows.values()) sampleFlow(flow);
}

function sampleFlow(flow: Flow): void {
  const demand = flow.inFlight + flow.queuedTasks;
  flow.samples += 1;
  const { arrivals } = flow;
  flow.arrivals = 0;
  flow.recentArrivals += RECENT_WEIGHT * (arrivals - flow.recentArrivals);
  const warming = flow.samples <= WARMUP_SAMPLES;
  const settled = isFlooding(flow) ? FLOOD_WEIGHT : USUAL_WEIGHT;
  const weight = warming ? 1 / flow.samples : settled;
  flow.usualSlots += weight * (demand - flow.usualSlots);
  flow.usualArrivals += weight * (arrivals - flow.usualArrivals);
}
