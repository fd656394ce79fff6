/**
 * Run time estimates of tasks, learned from their runs. Declared run times are
 * often inaccurate. How far they predict the run time is learned as well: it is
 * the slope of a running linear regression of the logarithm of the run time on
 * that of the declared time.
 */

import {
  createRecentQuantiles,
  type RecentQuantiles,
} from "./recent_quantiles.ts";

/** What has been learned from the runs of one queue's tasks. */
export interface RunEstimate {
  /** Number of observed runs; without any, nothing has been learned. */
  runCount: number;
  /** Moving average of the run time. */
  meanMs: number;
  /** Run times of the latest runs, also of those that were stopped as hung. */
  readonly runTimesMs: RecentQuantiles;
  /** Number of jobs that the estimate, but not their declared times, refused. */
  doubtedRefusals: number;
  /** Workers report how far runs of this queue have progressed. */
  reportsProgress: boolean;
  /** Moving average of the logarithm of the run time. */
  meanLogRun: number;
  /** Moving average of the logarithm of the declared time. */
  meanLogDeclared: number;
  /** Variance of the logarithm of the declared time. */
  varianceDeclared: number;
  /** Covariance of the logarithms of the declared time and the run time. */
  covariance: number;
}

/** Weight of one run in the moving averages, once there are enough of them. */
const RUN_WEIGHT = 0.02;
/**
 * Weight of the assumption that run times are proportional to declared times,
 * until runs with different declared times show how far they are.
 */
const PRIOR_VARIANCE = 1e-3;
/** Percentile of the run time that bounds the estimates of single tasks. */
const HIGH_PERCENTILE = 98;
/** Percentile of the run time by which nearly every run is done. */
const OVERDUE_PERCENTILE = 99.9;
/** Number of runs from which on the percentiles of their times are used alone. */
const MIN_RUNS = 50;
/** Lower bound of a percentile before `MIN_RUNS` runs, as a multiple of the mean. */
const INITIAL_PERCENTILE_FACTORS = { high: 3, overdue: 8 };

/** Creates the estimate of a queue before its first run. */
export function createEstimate(expectedMs: number): RunEstimate {
  return {
    runCount: 0,
    meanMs: expectedMs,
    runTimesMs: createRecentQuantiles(),
    doubtedRefusals: 0,
    reportsProgress: false,
    meanLogRun: Math.log(expectedMs),
    meanLogDeclared: Math.log(expectedMs),
    varianceDeclared: 0,
    covariance: 0,
  };
}

/** Updates an estimate with a run; `declaredMs` is null if undeclared. */
export function observeRun(
  estimate: RunEstimate,
  ranMs: number,
  declaredMs: number | null,
): void {
  const logRun = Math.log(Math.max(1, ranMs));
  const logDeclared = declaredMs === null ? logRun : Math.log(declaredMs);
  if (estimate.runCount === 0) {
    // What was expected before the first run may be what one caller declared.
    estimate.meanMs = ranMs;
    estimate.meanLogRun = logRun;
    estimate.meanLogDeclared = logDeclared;
  }
  estimate.runCount += 1;
  const weight = Math.max(RUN_WEIGHT, 1 / estimate.runCount);
  estimate.meanMs += weight * (ranMs - estimate.meanMs);
  estimate.runTimesMs.observe(ranMs);
  const runDelta = logRun - estimate.meanLogRun;
  estimate.meanLogRun += weight * runDelta;
  if (declaredMs === null) return;
  const declaredDelta = logDeclared - estimate.meanLogDeclared;
  estimate.meanLogDeclared += weight * declaredDelta;
  const square = declaredDelta * declaredDelta;
  estimate.varianceDeclared += weight * (square - estimate.varianceDeclared);
  estimate.covariance += weight *
    (declaredDelta * runDelta - estimate.covariance);
}

function percentileMs(
  { meanMs, runTimesMs }: RunEstimate,
  percentile: number,
  initialFactor: number,
): number {
  const learnedMs = Math.max(meanMs, runTimesMs.at(percentile));
  return runTimesMs.count() < MIN_RUNS
    ? Math.max(meanMs * initialFactor, learnedMs)
    : learnedMs;
}

/** Returns the run time that two tasks in a hundred exceed. */
export function highQuantileMs(estimate: RunEstimate): number {
  return percentileMs(
    estimate,
    HIGH_PERCENTILE,
    INITIAL_PERCENTILE_FACTORS.high,
  );
}

/**
 * Returns the run time by which nearly every run of a task is done, and at least
 * what was declared for the task, which is 0 if nothing was. While few runs are
 * known, a multiple of that counts.
 */
export function overdueLimitMs(
  estimate: RunEstimate,
  declaredMs: number,
): number {
  const { overdue } = INITIAL_PERCENTILE_FACTORS;
  const limitMs = percentileMs(estimate, OVERDUE_PERCENTILE, overdue);
  const factor = estimate.runTimesMs.count() < MIN_RUNS ? overdue : 1;
  return Math.max(limitMs, factor * declaredMs);
}

/** Returns the estimated run time of a task, in milliseconds. */
export function estimateTaskMs(
  estimate: RunEstimate,
  declaredMs: number | null,
): number {
  const { varianceDeclared, covariance } = estimate;
  if (declaredMs === null) return estimate.meanMs;
  const ratio = (covariance + PRIOR_VARIANCE) /
    (varianceDeclared + PRIOR_VARIANCE);
  const slope = Math.min(1, Math.max(0, ratio));
  const shift = slope * (Math.log(declaredMs) - estimate.meanLogDeclared);
  return Math.min(highQuantileMs(estimate), estimate.meanMs * Math.exp(shift));
}
