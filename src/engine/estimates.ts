/**
 * Learned run times. Declared times are often far off: how much one says is
 * learned as well, as the slope of a running regression between logarithms.
 */

/** What is learned of one flow's run times. */
export interface RunEstimate {
  meanMs: number;
  /** The run time that two tasks in a hundred exceed. */
  longMs: number;
  logRun: number;
  logDeclared: number;
  varianceDeclared: number;
  covariance: number;
}

/** Weight of one run in what is learned. */
const RUN_WEIGHT = 0.02;
/** The share of runs that stay below the long run time. */
const LONG_QUANTILE = 0.98;
/** Tasks of an unknown flow are taken to be at most so many means long. */
const FIRST_LONG_FACTOR = 3;

/** What is assumed of a flow before its first run. */
export function createEstimate(expectedMs: number): RunEstimate {
  return {
    meanMs: expectedMs,
    longMs: expectedMs * FIRST_LONG_FACTOR,
    logRun: Math.log(expectedMs),
    logDeclared: Math.log(expectedMs),
    varianceDeclared: 0,
    covariance: 0,
  };
}

/** Learns from one run, and from what had been declared for it. */
export function learnRun(
  estimate: RunEstimate,
  ranMs: number,
  declaredMs: number | null,
): void {
  const { meanMs, longMs } = estimate;
  estimate.meanMs += RUN_WEIGHT * (ranMs - meanMs);
  const above = ranMs > longMs ? LONG_QUANTILE : LONG_QUANTILE - 1;
  estimate.longMs = Math.max(meanMs, longMs + RUN_WEIGHT * meanMs * above);
  const runDelta = Math.log(Math.max(1, ranMs)) - estimate.logRun;
  estimate.logRun += RUN_WEIGHT * runDelta;
  if (declaredMs === null) return;
  const declaredDelta = Math.log(declaredMs) - estimate.logDeclared;
  estimate.logDeclared += RUN_WEIGHT * declaredDelta;
  const square = declaredDelta * declaredDelta;
  estimate.varianceDeclared += RUN_WEIGHT *
    (square - estimate.varianceDeclared);
  estimate.covariance += RUN_WEIGHT *
    (declaredDelta * runDelta - estimate.covariance);
}

/** The estimated run time of a task, in milliseconds. */
export function estimateTaskMs(
  estimate: RunEstimate,
  declaredMs: number | null,
): number {
  const { varianceDeclared, covariance } = estimate;
  if (declaredMs === null || varianceDeclared === 0) return estimate.meanMs;
  const slope = Math.min(1, Math.max(0, covariance / varianceDeclared));
  const shift = slope * (Math.log(declaredMs) - estimate.logDeclared);
  return Math.min(estimate.longMs, estimate.meanMs * Math.exp(shift));
}

/**
 * The estimated run time of the slowest of some tasks. Run times are close to
 * exponential, so it grows with the logarithm of their number.
 */
export function estimateSlowestMs(
  estimate: RunEstimate,
  tasks: number,
  longestTaskMs: number,
): number {
  const grown = estimate.meanMs * (1 + Math.log(tasks));
  return Math.max(longestTaskMs, Math.min(grown, estimate.longMs));
}
