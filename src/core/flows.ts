/** Flows: one team's work of one kind, its queue, run times and usual share. */

import type { CoreState, Flow, Job, Task } from "./types.ts";
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
/** This many times the usual number of jobs counts as a flood. */
const FLOOD_FACTOR = 3;
/** Fewer jobs than this are never a flood. */
const FLOOD_MIN_JOBS = 6;
/** Weight of one run in a flow's learned run time. */
const RUN_WEIGHT = 0.02;

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
    meanRunMs:
      state.configuration?.services[service]?.kinds[kind]?.expectedMs ?? 300,
    usualSlots: 0,
    openJobs: 0,
    usualJobs: 0,
    recentJobs: 0,
    samples: 0,
  }));
}

/**
 * The expected run time of a job's slowest task, in milliseconds. Run times are
 * close to exponential, so the slowest of n grows with the harmonic number.
 */
export function expectedJobMs(flow: Flow, tasks: number): number {
  return flow.meanRunMs * (1 + Math.log(tasks));
}

/** Puts a job's unsent tasks into its flow's queue. */
export function enqueueJob(state: CoreState, job: Job): void {
  const flow = state.flows.get(job.flow);
  if (flow === undefined) return;
  flow.waiting.push(job);
  flow.openJobs += 1;
  flow.queuedTasks += job.tasks.length;
}

/** Takes the next unsent task of a job out of the queue. */
export function takeTask(state: CoreState, job: Job): Task | undefined {
  const flow = state.flows.get(job.flow);
  while (job.nextQueued < job.tasks.length) {
    const task = job.tasks[job.nextQueued];
    job.nextQueued += 1;
    if (task?.state !== "queued") continue;
    if (flow !== undefined) {
      flow.queuedTasks -= 1;
      if (job.nextQueued >= job.tasks.length) removeWaiting(flow, job);
    }
    return task;
  }
  if (flow !== undefined) removeWaiting(flow, job);
  return undefined;
}

/** Puts a task that provably did not run back at its place. */
export function requeueTask(state: CoreState, job: Job, task: Task): void {
  const flow = state.flows.get(job.flow);
  if (flow === undefined) return;
  flow.queuedTasks += 1;
  job.nextQueued = Math.min(job.nextQueued, task.index);
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

/** Notes that a job that was enqueued has ended. */
export function closeJob(state: CoreState, job: Job): void {
  const flow = state.flows.get(job.flow);
  if (flow !== undefined) flow.openJobs -= 1;
}

/** Learns from one run of a task. */
export function learnRun(flow: Flow, ranMs: number): void {
  flow.meanRunMs += RUN_WEIGHT * (ranMs - flow.meanRunMs);
}

/**
 * Whether a flow brings far more jobs than it usually does. Jobs are counted,
 * not slots: one job of many tasks is no flood.
 */
export function isFlooding(flow: Flow): boolean {
  const bar = Math.max(FLOOD_MIN_JOBS, flow.usualJobs * FLOOD_FACTOR);
  return flow.samples >= WARMUP_SAMPLES && flow.recentJobs > bar;
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
  flow.recentJobs += RECENT_WEIGHT * (flow.openJobs - flow.recentJobs);
  const warming = flow.samples <= WARMUP_SAMPLES;
  const settled = isFlooding(flow) ? FLOOD_WEIGHT : USUAL_WEIGHT;
  const weight = warming ? 1 / flow.samples : settled;
  flow.usualSlots += weight * (demand - flow.usualSlots);
  flow.usualJobs += weight * (flow.openJobs - flow.usualJobs);
}
