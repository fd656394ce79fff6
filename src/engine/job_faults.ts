/**
 * Isolation of faults that concern one job. An error while one job is handled,
 * such as a violated invariant, ends that job as unknown and nothing else. An
 * invariant of state that jobs share, such as the capacity in use on a worker,
 * still ends the process; the error then names the job that was handled, so
 * that the next leader doesn't start with it.
 */

import { assert, InvariantError } from "./debug.ts";
import { logDecision } from "./effects.ts";
import type {
  EngineState,
  Job,
  JobOutcome,
  JobStage,
  OwnedWorker,
  ReduceContext,
} from "./types.ts";

/** Invariants that concern one job; a violation of another ends the process. */
const jobInvariants: ReadonlySet<string> = new Set([
  "recorded_before_begun",
  "at_most_once",
  "done_means_every_task",
  "refused_means_not_begun",
]);
/** Maximum number of log lines of an error's stack that are logged. */
const MAX_STACK_LINES = 4;
/**
 * Time for which an instance remembers a job that ended a leader. Callers and
 * entries resubmit within seconds.
 */
const FAULTY_JOB_RETENTION_MS = 30_000;
/** Maximum number of remembered jobs that ended a leader. */
const MAX_FAULTY_JOBS = 200;

/** The outcome of a job that was ended by an internal error. */
export const faultyJobOutcome: JobOutcome = {
  kind: "unknown",
  reason: "internalError",
};

/** Options of {@linkcode isolateJob}. */
export interface IsolationOptions<T> {
  readonly stage: JobStage;
  /** Returned if handling the job fails. */
  readonly fallback: T;
  readonly run: () => T;
}

/**
 * Runs an action that handles one job. If it throws, the job ends as unknown
 * and its runs are stopped when the event has been reduced.
 *
 * @example
 * ```ts
 * isolateJob(context, job, {
 *   stage: "place",
 *   fallback: undefined,
 *   run: () => placeJob(context, workers, job),
 * });
 * ```
 */
export function isolateJob<T>(
  context: ReduceContext,
  job: Job,
  { stage, fallback, run }: IsolationOptions<T>,
): T {
  try {
    return run();
  } catch (error) {
    if (
      error instanceof InvariantError && !jobInvariants.has(error.invariant)
    ) {
      error.jobId ??= job.jobId;
      throw error;
    }
    context.jobFaults.push({ job, stage });
    logFault(context, job, { stage, error });
    // Takes effect at once: no further stage handles a job with an outcome.
    if (job.record?.storedOutcome == null) job.outcome = faultyJobOutcome;
    return fallback;
  }
}

/**
 * Runs an action that creates the job with an id. If it throws, the job counts as
 * one that ended a leader, so that it is not created again for a while; returns
 * null then.
 */
export function isolateCreation(
  context: ReduceContext,
  jobId: string,
  run: () => Job,
): Job | null {
  try {
    return run();
  } catch (error) {
    context.state.counters.jobFaults += 1;
    logFault(context, { jobId }, { stage: "create", error });
    rememberFaultyJob(context.state, jobId);
    return null;
  }
}

function logFault(
  context: ReduceContext,
  { jobId }: Pick<Job, "jobId">,
  { stage, error }: { stage: JobStage; error: unknown },
): void {
  const cause = error instanceof Error ? error : new Error(String(error));
  logDecision(context, {
    level: "error",
    part: "jobs",
    text: "job ended by an internal error",
  }, {
    jobId,
    stage,
    invariant: cause instanceof InvariantError ? cause.invariant : null,
    detail: cause.message,
    stack: cause.stack?.split("\n").slice(1, 1 + MAX_STACK_LINES).join(" <- "),
  });
}

/**
 * Throws unless the capacity in use on each worker equals that of its runs. An
 * error that interrupted the handling of a job must not have damaged it.
 */
export function checkCapacityInUse(workers: Iterable<OwnedWorker>): void {
  for (const { info, runs, ...worker } of workers) {
    let cpuMilli = 0;
    let unsizedRunCount = 0;
    for (const run of runs.values()) {
      cpuMilli += run.cpuMilli;
      if (run.sizeUnknown) unsizedRunCount += 1;
    }
    const isConsistent = cpuMilli === worker.usedCpuMilli &&
      unsizedRunCount === worker.unsizedRunCount;
    assert(isConsistent, "capacity_in_use_matches_runs", info.workerId);
  }
}

/** Remembers a job that ended a leader. */
export function rememberFaultyJob(state: EngineState, jobId: string): void {
  const { faultyJobs } = state;
  for (const [knownId, atMs] of faultyJobs) {
    const isExpired = state.nowMs - atMs >= FAULTY_JOB_RETENTION_MS;
    if (isExpired || faultyJobs.size >= MAX_FAULTY_JOBS) {
      faultyJobs.delete(knownId);
    }
  }
  faultyJobs.set(jobId, state.nowMs);
}

/** Whether a job ended a leader recently, and thus is not handled here. */
export function isFaultyJob(
  { faultyJobs, nowMs }: EngineState,
  jobId: string,
): boolean {
  const atMs = faultyJobs.get(jobId);
  return atMs !== undefined && nowMs - atMs < FAULTY_JOB_RETENTION_MS;
}
