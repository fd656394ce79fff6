/**
 * Progress of runs, for kinds of work whose run times have a long tail: a run
 * that progresses is left to run, however long it takes, and one that stands
 * still is stopped soon. All times here are read from the clock of the worker,
 * which its answers contain, so that a delayed answer or a pause of this
 * process doesn't look like a run that stands still.
 */

import { expectedTaskMs, runEstimateOf } from "./expected_run_times.ts";
import { overdueLimitMs } from "./run_estimate.ts";
import type {
  EngineState,
  OwnedWorker,
  RunProgress,
  WorkerRun,
} from "./types.ts";

/** Shortest time without progress after which a run is considered hung. */
const MIN_STALL_MS = 300;
/**
 * A run is considered hung after the time in which it would have progressed by
 * this percentage at its rate so far.
 */
const STALL_PERCENT = 10;
/**
 * A run that has not progressed at all, of a kind whose runs report progress, is
 * considered hung after this share of the time by which nearly every run of the
 * kind is done.
 */
const NO_PROGRESS_SHARE = 0.1;
/**
 * Factor by which the time without progress must exceed the one after which an
 * earlier run of the same task was stopped.
 */
const REPEATED_STOP_FACTOR = 2;
/** Percentage from which on a run's rate is used to predict its end. */
const MIN_PREDICTING_PERCENT = 3;
/**
 * Lower bound of the predicted remaining time of a run without a rate, as a
 * share of the expected run time: run times are nearly memoryless.
 */
const MIN_REMAINING_SHARE = 0.5;

/** Returns the progress of a run in the first answer that reports it. */
export function createProgress(percent: number, clockMs: number): RunProgress {
  return {
    firstPercent: percent,
    firstAtMs: clockMs,
    percent,
    risenAtMs: clockMs,
    listedAtMs: clockMs,
  };
}

/** Updates the progress of a run from a list of its worker. */
export function observeProgress(
  run: WorkerRun,
  percent: number,
  clockMs: number,
): void {
  if (run.progress === null) {
    run.progress = createProgress(percent, clockMs);
    return;
  }
  const { progress } = run;
  progress.listedAtMs = Math.max(progress.listedAtMs, clockMs);
  if (percent <= progress.percent) return;
  progress.percent = percent;
  progress.risenAtMs = progress.listedAtMs;
}

/** Whether two lists of the worker have shown that the run progresses. */
export function hasProgressed(
  { percent, firstPercent }: RunProgress,
): boolean {
  return percent > firstPercent;
}

/** Returns the time that one percent of a run that has progressed took. */
function msPerPercent(
  { percent, firstPercent, risenAtMs, firstAtMs }: RunProgress,
): number {
  return (risenAtMs - firstAtMs) / (percent - firstPercent);
}

/** Returns the time for which the worker's lists show no progress of a run. */
export function stalledMs({ listedAtMs, risenAtMs }: RunProgress): number {
  return listedAtMs - risenAtMs;
}

/** Whether a run of a known task is considered hung. */
export function isHung(
  state: EngineState,
  worker: OwnedWorker,
  { job, task, progress }: WorkerRun,
): boolean {
  if (job === null || task === null || progress === null) return false;
  const repeatedLimitMs = REPEATED_STOP_FACTOR * task.stoppedAfterMs;
  const limitMs = hasProgressed(progress)
    ? STALL_PERCENT * msPerPercent(progress)
    : noProgressLimitMs(state, worker, {
      queueName: job.queue.name,
      declaredMs: task.demand.estimatedMs,
    });
  return stalledMs(progress) > Math.max(MIN_STALL_MS, limitMs, repeatedLimitMs);
}

/** Returns how long a run may take that shows no progress at all. */
function noProgressLimitMs(
  state: EngineState,
  { slowness }: OwnedWorker,
  { queueName, declaredMs }: { queueName: string; declaredMs: number },
): number {
  const estimate = runEstimateOf(state, queueName, declaredMs);
  const limitMs = overdueLimitMs(estimate, declaredMs) * Math.max(1, slowness);
  return estimate.reportsProgress ? NO_PROGRESS_SHARE * limitMs : limitMs;
}

/**
 * Returns how long a run will probably still occupy its worker: by its rate of
 * progress, or else by the expected run time of its task. A run that is being
 * stopped, or that belongs to no job, ends within the time that a stop takes.
 */
export function remainingMs(
  state: EngineState,
  worker: OwnedWorker,
  { job, task, progress, placedAtMs, state: runState }: WorkerRun,
): number {
  if (job === null || task === null || runState === "stopping") {
    return state.stopMs;
  }
  if (
    progress !== null && progress.percent >= MIN_PREDICTING_PERCENT &&
    hasProgressed(progress)
  ) {
    const workerClockMs = state.nowMs + worker.clockOffsetMs;
    const leftMs = msPerPercent(progress) * (100 - progress.percent);
    return Math.max(0, leftMs - (workerClockMs - progress.risenAtMs));
  }
  const expectedMs = worker.slowness *
    expectedTaskMs(state, job.queue.name, task.demand.estimatedMs);
  const leftMs = expectedMs - (state.nowMs - placedAtMs);
  return Math.max(MIN_REMAINING_SHARE * expectedMs, leftMs);
}
