/** Open-loop load: jobs arrive when they are due, however slow answers are. */

import { build, type Histogram } from "hdr-histogram-js";
import type { Caller } from "./caller.ts";
import {
  meanJobTasks,
  meanRunMs,
  type WorkJob,
  type WorkKind,
  type Workload,
} from "./workload.ts";

/** Ratios are recorded in thousandths. */
const RATIO_SCALE = 1_000;
const MAX_RATIO = 10_000;
/** An answer at up to this many times its ideal is on time. */
const ON_TIME_RATIO = 2;

/** One stream of arrivals. */
export interface Stream {
  readonly work: WorkKind;
  /** Jobs a second at a moment of the run. */
  readonly rateAt: (elapsedMs: number) => number;
}

/** How one kind of work fared in one window of a run. */
export interface KindCount {
  submitted: number;
  onTime: number;
}

/** What a run of load leaves behind. */
export interface LoadResult {
  readonly ratios: Histogram;
  readonly jobs: number;
  readonly tasksDone: number;
  readonly refused: number;
  readonly failed: number;
  readonly unknown: number;
  /** By kind, for each window of the run. */
  readonly windows: Map<string, KindCount>[];
}

/** What a run of load is made from. */
export interface LoadOptions {
  readonly callers: readonly Caller[];
  readonly workload: Workload;
  readonly streams: readonly Stream[];
  readonly durationMs: number;
  /** The run is counted in windows that end at these moments. */
  readonly windowEndsMs: readonly number[];
  /** A caller's round trip with nothing to run. */
  readonly roundTripMs: number;
  readonly deadlineMs: number;
  /** Kinds whose answers do not count in the ratios: the flood itself. */
  readonly uncounted: ReadonlySet<string>;
}

/** How far above its rate a stream's work may lie. */
const LOAD_TOLERANCE = 1.01;
/** How far ahead arrivals are drawn. */
const STEP_MS = 5;

interface Run extends LoadOptions {
  readonly startMs: number;
  readonly result: {
    -readonly [K in keyof LoadResult]: LoadResult[K];
  };
  readonly pending: Set<Promise<void>>;
  nextCaller: number;
}

/** Submits the streams' jobs, and waits until all have ended. */
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
  const due = drawArrivals(run);
  for (const { atMs, job } of due) {
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

/** The slot time that a job takes, in milliseconds. */
function slotMs(job: WorkJob): number {
  return job.tasks.reduce((sum, task) => sum + task.runMs, 0);
}

/** Poisson arrivals of every stream, in order. */
function drawArrivals(run: Run): Arrival[] {
  const arrivals = run.streams.flatMap((stream) =>
    run.uncounted.has(stream.work.kind)
      ? drawStream(run, stream)
      : fitToLoad(run, stream, drawStream(run, stream))
  );
  return arrivals.sort((a, b) => a.atMs - b.atMs);
}

function drawStream(
  { durationMs, workload }: Run,
  { work, rateAt }: Stream,
): Arrival[] {
  const arrivals: Arrival[] = [];
  for (let atMs = 0; atMs < durationMs; atMs += STEP_MS) {
    const expected = rateAt(atMs) * STEP_MS / 1_000;
    for (let left = poisson(workload, expected); left > 0; left -= 1) {
      const job = workload.nextJob(work);
      arrivals.push({ atMs: atMs + workload.unit() * STEP_MS, job });
    }
  }
  return arrivals;
}

/**
 * A few seconds of large jobs draw up to a tenth more or less work than their
 * rate says. Jobs are left out or drawn again until the scenario's load is met.
 */
function fitToLoad(
  run: Run,
  { work, rateAt }: Stream,
  arrivals: Arrival[],
): Arrival[] {
  const { workload, durationMs } = run;
  let highestRate = 0;
  let wantedMs = 0;
  for (let atMs = 0; atMs < durationMs; atMs += STEP_MS) {
    highestRate = Math.max(highestRate, rateAt(atMs));
    wantedMs += rateAt(atMs) * STEP_MS / 1_000 * meanSlotMs(work);
  }
  let workMs = arrivals.reduce((sum, { job }) => sum + slotMs(job), 0);
  while (workMs > wantedMs && arrivals.length > 1) {
    const at = Math.floor(workload.unit() * arrivals.length);
    const [left] = arrivals.splice(at, 1);
    if (left !== undefined) workMs -= slotMs(left.job);
  }
  while (workMs < wantedMs) {
    const job = workload.nextJob(work);
    const atMs = workload.unit() * durationMs;
    if (workload.unit() * highestRate > rateAt(atMs)) continue;
    if (workMs + slotMs(job) > wantedMs * LOAD_TOLERANCE) continue;
    arrivals.push({ atMs, job });
    workMs += slotMs(job);
  }
  return arrivals;
}

function meanSlotMs(work: WorkKind): number {
  return meanJobTasks() * meanRunMs(work.meanMs);
}

function poisson(workload: Workload, mean: number): number {
  const limit = Math.exp(-mean);
  let product = workload.unit();
  let count = 0;
  while (product > limit) {
    product *= workload.unit();
    count += 1;
  }
  return count;
}

function submit(run: Run, job: WorkJob, atMs: number): void {
  run.nextCaller = (run.nextCaller + 1) % run.callers.length;
  const caller = run.callers[run.nextCaller];
  if (caller === undefined) return;
  const done = follow(run, { caller, job, atMs })
    .finally(() => run.pending.delete(done));
  run.pending.add(done);
}

async function follow(
  run: Run,
  { caller, job, atMs }: { caller: Caller; job: WorkJob; atMs: number },
): Promise<void> {
  const { result, uncounted } = run;
  const count = windowOf(run, atMs, job.work.kind);
  if (count !== undefined) count.submitted += 1;
  const options = { attempt: 1, deadlineMs: run.deadlineMs };
  const end = await caller.attempt(job, options);
  const elapsedMs = performance.now() - run.startMs - atMs;
  const ratio = elapsedMs / (job.idealMs + run.roundTripMs);
  if (end.state === "complete") {
    result.tasksDone += job.tasks.length;
    if (ratio <= ON_TIME_RATIO && count !== undefined) count.onTime += 1;
  } else if (end.state === "refused") result.refused += 1;
  else if (end.state === "failed") result.failed += 1;
  else result.unknown += 1;
  if (uncounted.has(job.work.kind)) return;
  result.jobs += 1;
  // A job that did not complete counts as late as its deadline.
  const counted = end.state === "complete"
    ? ratio
    : run.deadlineMs / job.idealMs;
  const scaled = Math.min(MAX_RATIO, counted) * RATIO_SCALE;
  result.ratios.recordValue(Math.max(1, Math.round(scaled)));
}

function windowOf(
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

/** A percentile of the ratios. */
export function ratioAt(result: LoadResult, percentile: number): number {
  const value = result.ratios.getValueAtPercentile(percentile) / RATIO_SCALE;
  return Math.round(value * 1_000) / 1_000;
}
