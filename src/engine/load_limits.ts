/**
 * Bounds on what callers may have in flight, against clients that submit and ask
 * more than the memory of an entry or of a leader can hold.
 */

import { logDecision } from "./effects.ts";
import { jobBytes } from "./job_table.ts";
import { knowsAllRecords } from "./records.ts";
import type { JobOutcome, PeerMessageOf } from "./schemas.ts";
import type {
  EngineState,
  Job,
  LoadLimits,
  OwnedWorker,
  ReduceContext,
  Scheduler,
} from "./types.ts";

/** Share of a leader's bound that the jobs of one entry may use. */
const ENTRY_SHARE = 0.6;
/** Retry delay of a job that is refused for lack of memory. */
const RETRY_AFTER_MS = 1_000;
/**
 * Factor of a leader's bound up to which it takes jobs that it must not refuse,
 * since they may have run.
 */
const HARD_LIMIT_FACTOR = 1.5;
/** Starts without an outcome at a time. */
export const MAX_STARTS_IN_FLIGHT = 256;
/** Runs on one worker, which lists all of them in each answer to a poll. */
export const MAX_RUNS_PER_WORKER = 128;
/**
 * Number of placed tasks from which on a job leaves a share of the starts and of
 * the runs on each worker to other jobs.
 */
const LARGE_JOB_PLACED = 64;
/** Share of these limits that such a job may use. */
const LARGE_JOB_SHARE = 0.75;
/** Calls to stop runs that are sent to one worker within the resend interval. */
export const MAX_STOPS_IN_FLIGHT = 16;
/** Cancellations of one job that wait until its outcome is persisted. */
export const MAX_CANCEL_REQUESTS = 256;

/** The limits of an engine whose callers are trusted. */
export const unlimitedLoad: LoadLimits = {
  maxJobBytesAtLeader: Infinity,
  maxQueries: Infinity,
};

/** Returns the share of a limit of the leader that a job may use. */
function shareOf({ placedCount }: Job): number {
  return placedCount < LARGE_JOB_PLACED ? 1 : LARGE_JOB_SHARE;
}

/**
 * Whether a leader may start further tasks, of a job or of any one, before earlier
 * starts are answered.
 */
export function mayStartMore(
  { scheduler, guards }: EngineState,
  job?: Job,
): boolean {
  if (scheduler === null) return false;
  const share = job === undefined ? 1 : shareOf(job);
  return guards.mayStartMore(scheduler.startsInFlight.size / share);
}

/** Whether a job may have one more run on a worker. */
export function hasRunSlot({ runs }: OwnedWorker, job: Job): boolean {
  return runs.size < shareOf(job) * MAX_RUNS_PER_WORKER;
}

/**
 * Returns the outcome of a job that the leader doesn't have and has no memory for;
 * null if it is to be admitted. A job that may have run is not refused: beyond a
 * higher bound its outcome is unknown.
 */
export function refuseForMemory(
  context: ReduceContext,
  scheduler: Scheduler,
  { from, message }: { from: string; message: PeerMessageOf<"submit"> },
): JobOutcome | null {
  const { state } = context;
  const { jobs } = scheduler;
  const { maxJobBytesAtLeader } = state.limits;
  if (maxJobBytesAtLeader === Infinity) return null;
  const mayHaveRun = message.resubmitted ||
    mayHaveRecord(state, scheduler, message);
  const limitBytes = maxJobBytesAtLeader * (mayHaveRun ? HARD_LIMIT_FACTOR : 1);
  const bytes = jobBytes(message.job);
  const fits = jobs.totalBytes + bytes <= limitBytes &&
    (mayHaveRun || jobs.bytesOf(from) + bytes <= ENTRY_SHARE * limitBytes);
  if (fits) return null;
  state.counters.jobsOverMemory += 1;
  logDecision(context, {
    level: "warn",
    part: "admit",
    text: "job refused: the leader has no memory for it",
  }, {
    mayHaveRun,
    jobId: message.jobId,
    entryId: from,
    jobs: jobs.size,
    bytesHeld: jobs.totalBytes,
    bytesOfEntry: jobs.bytesOf(from),
  });
  if (mayHaveRun) return { kind: "unknown", reason: "leaderLost" };
  return {
    kind: "refused",
    reason: "overloaded",
    retryAfterMs: RETRY_AFTER_MS,
  };
}

/** Whether a job may have a record that this leader has not read. */
function mayHaveRecord(
  state: EngineState,
  scheduler: Scheduler,
  { job }: PeerMessageOf<"submit">,
): boolean {
  return job.isRecorded === true && !knowsAllRecords(state, scheduler);
}

/** Whether a query of a caller is answered as unavailable at once. */
export function hasTooManyQueries({ pendingQueries, limits }: EngineState) {
  return pendingQueries.size >= limits.maxQueries;
}
