/**
 * Run time estimates of tasks, learned from their runs. Declared run times are
 * often inaccurate. How far they predict the run time is learned as well: it is
 * the slope of a running linear regression of the logarithm of the run time on
 * that of the declared time.
 */

/** What has been learned from the runs of one queue's tasks. */
export interface RunEstimate {
  /** Moving average of the run time. */
  meanMs: number;
  /** The run time that two tasks in a hundred exceed. */
  highQuantileMs: number;
  /** Moving average of the logarithm of the run time. */
  meanLogRun: number;
  /** Moving average of the logarithm of the declared time. */
  meanLogDeclared: number;
  /** Variance of the logarithm of the declared time. */
  varianceDeclared: number;
  /** Covariance of the logarithms of the declared time and the run time. */
  covariance: number;
}

/** Weight of one run in the moving averages. */
const RUN_WEIGHT = 0.02;
/** The quantile that `highQuantileMs` estimates. */
const HIGH_QUANTILE = 0.98;
/** Initial ratio of `highQuantileMs` to the mean, before the first run. */
const INITIAL_QUANTILE_FACTOR = 3;

/** Creates the estimate of a queue before its first run. */
export function createEstimate(expectedMs: number): RunEstimate {
  return {
    meanMs: expectedMs,
    highQuantileMs: expectedMs * INITIAL_QUANTILE_FACTOR,
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
  const { meanMs, highQuantileMs } = estimate;
  estimate.meanMs += RUN_WEIGHT * (ranMs - meanMs);
  const step = ranMs > highQuantileMs ? HIGH_QUANTILE : HIGH_QUANTILE - 1;
  estimate.highQuantileMs = Math.max(
    meanMs,
    highQuantileMs + RUN_WEIGHT * meanMs * step,
  );
  const runDelta = Math.log(Math.max(1, ranMs)) - estimate.meanLogRun;
  estimate.meanLogRun += RUN_WEIGHT * runDelta;
  if (declaredMs === null) return;
  const declaredDelta = Math.log(declaredMs) - estimate.meanLogDeclared;
  estimate.meanLogDeclared += RUN_WEIGHT * declaredDelta;
  const square = declaredDelta * declaredDelta;
  estimate.varianceDeclared += RUN_WEIGHT *
    (square - estimate.varianceDeclared);
  estimate.covariance += RUN_WEIGHT *
    (declaredDelta * runDelta - estimate.covariance);
}

/** Returns the estimated run time of a task, in milliseconds. */
export function estimateTaskMs(
  estimate: RunEstimate,
  declaredMs: number | null,
): number {
  const { varianceDeclared, covariance } = estimate;
  if (declaredMs === null || varianceDeclared === 0) return estimate.meanMs;
  const slope = Math.min(1, Math.max(0, covariance / varianceDeclared));
  const shift = slope * (Math.log(declaredMs) - estimate.meanLogDeclared);
  return Math.min(estimate.highQuantileMs, estimate.meanMs * Math.exp(shift));
}

/**
 * Returns the estimated run time of the slowest of several tasks. Run times are
 * close to exponentially distributed, so it grows with the logarithm of the
 * number of tasks.
 */
export function estimateSlowestMs(
  estimate: RunEstimate,
  taskCount: number,
  longestTaskMs: number,
): number {
  const expectedMaxMs = estimate.meanMs * (1 + Math.log(taskCount));
  return Math.max(
    longestTaskMs,
    Math.min(expectedMaxMs, estimate.highQuantileMs),
  );
}
