/**
 * Open-loop load generator: submits each job at its arrival time, no matter how
 * slow the answers to earlier jobs are.
 */

import { build, type Histogram } from "hdr-histogram-js";
import type { Caller } from "./caller.ts";
import {
  meanJobTasks,
  meanRunMs,
  type WorkJob,
  type WorkKind,
  type Workload,
} from "./workload.ts";

/** Factor from ratios to histogram values, which are integers. */
const RATIO_SCALE = 1_000;
/** Highest recorded ratio; higher ones are recorded as this one. */
const MAX_RATIO = 10_000;
/** Highest ratio of actual to ideal time at which an answer is on time. */
const ON_TIME_RATIO = 2;

/** Arrivals of one kind of work. */
export interface ArrivalStream {
  readonly work: WorkKind;
  /** Jobs per second at a given time since the start of the run. */
  readonly rateAt: (elapsedMs: number) => number;
}

/** Job counts of one kind of work in one window of a run. */
export interface KindCount {
  submitted: number;
  onTime: number;
}

/** The result of a load run. */
export interface LoadResult {
  /** Ratios of actual to ideal time, scaled by `RATIO_SCALE`. */
  readonly ratios: Histogram;
  readonly jobs: number;
  readonly tasksDone: number;
  readonly refused: number;
  readonly failed: number;
  readonly unknown: number;
  /** Counts by kind, for each window of the run. */
  readonly windows: Map<string, KindCount>[];
}

/** Options of a load run. */
export interface LoadOptions {
  readonly callers: readonly Caller[];
  readonly workload: Workload;
  readonly streams: readonly ArrivalStream[];
  readonly durationMs: number;
  /** End times of the windows in which jobs are counted. */
  readonly windowEndsMs: readonly number[];
  /** Round trip of a request that runs no task; part of the ideal time. */
  readonly roundTripMs: number;
  readonly deadlineMs: number;
  /** Kinds left out of `jobs` and `ratios`, such as the flooding kind. */
  readonly excludedKinds: ReadonlySet<string>;
}

/** Highest ratio of a stream's adjusted work to its target. */
const LOAD_TOLERANCE = 1.01;
/** Interval for which arrivals are drawn at a constant rate. */
const ARRIVAL_STEP_MS = 5;

interface Run extends LoadOptions {
  readonly startMs: number;
  readonly result: {
    -readonly [K in keyof LoadResult]: LoadResult[K];
  };
  readonly pending: Set<Promise<void>>;
  nextCaller: number;
}

/** Submits the jobs of all streams and waits for the outcome of each. */
export async function runLoad(options: LoadOptions): Promise<LoadResult> {
  const run: Run = {
    ...options,
    startMs: performance.now(),
    result: {
      ratios: build({ highestTrackableValue: MAX_RATIO * RATIO_SCALE }),
      jobs: 0,
      tasksDone: 0,
      refused: 0,
      failed: 0,
      unknown: 0,
      windows: options.windowEndsMs.map(() => new Map()),
    },
    pending: new Set(),
    nextCaller: 0,
  };
  const arrivals = drawArrivals(run);
  for (const { atMs, job } of arrivals) {
    const waitMs = run.startMs + atMs - performance.now();
    if (waitMs > 1) await new Promise((done) => setTimeout(done, waitMs));
    submit(run, job, atMs);
  }
  await Promise.all(run.pending);
  return run.result;
}

interface Arrival {
  readonly atMs: number;
  readonly job: WorkJob;
}

/** Returns the slot time of a job: the sum of its tasks' run times. */
function slotTimeMs(job: WorkJob): number {
  return job.tasks.reduce((sum, task) => sum + task.runMs, 0);
}

/** Draws Poisson arrivals for all streams, sorted by time. */
function drawArrivals(run: Run): Arrival[] {
  const arrivals = run.streams.flatMap((stream) =>
    run.excludedKinds.has(stream.work.kind)
      ? drawStream(run, stream)
      : fitToLoad(run, stream, drawStream(run, stream))
  );
  return arrivals.sort((a, b) => a.atMs - b.atMs);
}

function drawStream(
  { durationMs, workload }: Run,
  { work, rateAt }: ArrivalStream,
): Arrival[] {
  const arrivals: Arrival[] = [];
  for (let atMs = 0; atMs < durationMs; atMs += ARRIVAL_STEP_MS) {
    const expected = rateAt(atMs) * ARRIVAL_STEP_MS / 1_000;
    for (let left = poisson(workload, expected); left > 0; left -= 1) {
      const job = workload.nextJob(work);
      arrivals.push({
        atMs: atMs + workload.nextUniform() * ARRIVAL_STEP_MS,
        job,
      });
    }
  }
  return arrivals;
}

/**
 * Drops or adds jobs until the work of a stream matches its rate. Without this,
 * the work drawn for a few seconds of large jobs is up to 10% above or below
 * the scenario's load.
 */
function fitToLoad(
  run: Run,
  { work, rateAt }: ArrivalStream,
  arrivals: Arrival[],
): Arrival[] {
  const { workload, durationMs } = run;
  let highestRate = 0;
  let targetMs = 0;
  for (let atMs = 0; atMs < durationMs; atMs += ARRIVAL_STEP_MS) {
    highestRate = Math.max(highestRate, rateAt(atMs));
    targetMs += rateAt(atMs) * ARRIVAL_STEP_MS / 1_000 * meanSlotTimeMs(work);
  }
  let workMs = arrivals.reduce((sum, { job }) => sum + slotTimeMs(job), 0);
  while (workMs > targetMs && arrivals.length > 1) {
    const index = Math.floor(workload.nextUniform() * arrivals.length);
    const [removed] = arrivals.splice(index, 1);
    if (removed !== undefined) workMs -= slotTimeMs(removed.job);
  }
  while (workMs < targetMs) {
    const job = workload.nextJob(work);
    const atMs = workload.nextUniform() * durationMs;
    if (workload.nextUniform() * highestRate > rateAt(atMs)) continue;
    if (workMs + slotTimeMs(job) > targetMs * LOAD_TOLERANCE) continue;
    arrivals.push({ atMs, job });
    workMs += slotTimeMs(job);
  }
  return arrivals;
}

function meanSlotTimeMs(work: WorkKind): number {
  return meanJobTasks() * meanRunMs(work.meanMs);
}

function poisson(workload: Workload, mean: number): number {
  const limit = Math.exp(-mean);
  let product = workload.nextUniform();
  let count = 0;
  while (product > limit) {
    product *= workload.nextUniform();
    count += 1;
  }
  return count;
}

function submit(run: Run, job: WorkJob, atMs: number): void {
  run.nextCaller = (run.nextCaller + 1) % run.callers.length;
  const caller = run.callers[run.nextCaller];
  if (caller === undefined) return;
  const tracked = trackJob(run, { caller, job, atMs })
    .finally(() => run.pending.delete(tracked));
  run.pending.add(tracked);
}

async function trackJob(
  run: Run,
  { caller, job, atMs }: { caller: Caller; job: WorkJob; atMs: number },
): Promise<void> {
  const { result, excludedKinds } = run;
  const count = windowCountOf(run, atMs, job.work.kind);
  if (count !== undefined) count.submitted += 1;
  const options = { attempt: 1, deadlineMs: run.deadlineMs };
  const outcome = await caller.attempt(job, options);
  const elapsedMs = performance.now() - run.startMs - atMs;
  const ratio = elapsedMs / (job.idealMs + run.roundTripMs);
  if (outcome.state === "complete") {
    result.tasksDone += job.tasks.length;
    if (ratio <= ON_TIME_RATIO && count !== undefined) count.onTime += 1;
  } else if (outcome.state === "refused") result.refused += 1;
  else if (outcome.state === "failed") result.failed += 1;
  else result.unknown += 1;
  if (excludedKinds.has(job.work.kind)) return;
  result.jobs += 1;
  // A job that did not complete counts as if answered at its deadline.
  const countedRatio = outcome.state === "complete"
    ? ratio
    : run.deadlineMs / job.idealMs;
  const scaledRatio = Math.min(MAX_RATIO, countedRatio) * RATIO_SCALE;
  result.ratios.recordValue(Math.max(1, Math.round(scaledRatio)));
}

function windowCountOf(
  run: Run,
  atMs: number,
  kind: string,
): KindCount | undefined {
  const index = run.windowEndsMs.findIndex((endMs) => atMs < endMs);
  const window = run.result.windows[index];
  if (window === undefined) return undefined;
  const count = window.get(kind) ?? { submitted: 0, onTime: 0 };
  window.set(kind, count);
  return count;
}

/** Returns a percentile of the ratios, rounded to three decimals. */
export function ratioAt(result: LoadResult, percentile: number): number {
  const value = result.ratios.getValueAtPercentile(percentile) / RATIO_SCALE;
  return Math.round(value * 1_000) / 1_000;
}
