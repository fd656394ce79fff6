/** What entries hand in: new jobs, jobs that come again, jobs of others. */

import { isDeepStrictEqual } from "node:util";
import { expectedWaitMs, refusalOf } from "./admit.ts";
import { formerRunsLapseAtMs } from "./former_runs.ts";
import { createJob, inheritProgress, openSteps } from "./job_state.ts";
import { beginJob, endJob } from "./jobs.ts";
import { longestLeaseMs } from "./leases.ts";
import { createRecordState, fitsRow, markDirty } from "./records.ts";
import type { JobOutcome, PeerMessageOf } from "./schemas.ts";
import { isSurplus, noteArrival } from "./shares.ts";
import { logDecision, sendPeer } from "./effects.ts";
import type {
  EngineState,
  Job,
  RecordState,
  ReduceContext,
  Scheduler,
} from "./types.ts";
import { rereadForJobs } from "./workers.ts";

/** Jobs to be recorded are refused once the store was away for so long. */
export const STORE_AWAY_MS = 300;
/** Callers of such jobs come back after so long. */
const STORE_AWAY_RETRY_MS = 1_000;

type Submit = PeerMessageOf<"submit">;

/** An entry hands in a job. */
export function onSubmit(
  context: ReduceContext,
  from: string,
  message: Submit,
): void {
  const { state } = context;
  const { scheduler } = state;
  if (scheduler === null) return;
  const known = scheduler.jobs.get(message.jobId);
  if (known !== undefined && !isNewAttempt(known, from, message)) {
    joinJob(context, scheduler, { job: known, from, message });
    return;
  }
  const job = takeJob(state, scheduler, { message, known });
  job.submissionIdByEntry.set(from, message.submissionId);
  scheduler.jobs.set(job.jobId, job);
  noteArrival(scheduler, job);
  const waitMs = expectedWaitMs(state, scheduler, job);
  logAdmission(context, job, { message, waitMs });
  const refusal = job.mayHaveStarted ? null : firstRefusal(state, scheduler, {
    job,
    waitMs,
  });
  if (refusal !== null) {
    endJob(context, job, refusal);
    return;
  }
  if (job.record !== null) {
    state.recordsExist = true;
    markDirty(scheduler, job);
  }
  if (message.resubmitted && job.previousRunsExpireAtMs > state.nowMs) {
    scheduler.rereadWanted = true;
    rereadForJobs(context, scheduler);
  }
  beginJob(context, job);
}

function takeJob(
  state: EngineState,
  scheduler: Scheduler,
  { message, known }: { message: Submit; known: Job | undefined },
): Job {
  const { jobId, queue, job: spec, ageMs, timeLeftMs } = message;
  const receivedAtMs = state.nowMs - ageMs;
  const isRecorded = spec.isRecorded === true;
  // A job with a record outlives its callers; it ends by its own deadline.
  const deadlineAtMs = isRecorded
    ? receivedAtMs + (spec.deadlineMs ?? Infinity)
    : state.nowMs + timeLeftMs;
  const job = createJob(state, {
    jobId,
    queue,
    spec,
    receivedAtMs,
    deadlineAtMs,
    // Nothing of a job begins before its record is kept.
    isResumed: message.resubmitted && !isRecorded,
    formerRunsLapseAtMs: isRecorded
      ? 0
      : formerRunsLapseAtMs(state, scheduler, message),
    leftCell: message.leftCell,
    doneTasks: message.doneTasks,
    record: isRecorded ? recordFor(state, known) : null,
    isSurplus: isSurplus(scheduler, queue.name),
  });
  if (known !== undefined) inheritProgress(job, known);
  openSteps(job);
  return job;
}

/** A job that was refused before may have left a row behind. */
function recordFor(state: EngineState, known: Job | undefined): RecordState {
  const record = createRecordState(state.wallMs);
  record.version = known?.record?.version ?? 0;
  record.writeSent = known?.record?.writeSent ?? false;
  return record;
}

function firstRefusal(
  state: EngineState,
  scheduler: Scheduler,
  { job, waitMs }: { job: Job; waitMs: number },
): JobOutcome | null {
  if (job.record === null) return refusalOf(state, job, waitMs);
  // It may have been accepted before: nothing true can be said yet.
  if (scheduler.records.phase !== "open") return null;
  if (!fitsRow(job, job.record)) {
    return { kind: "refused", reason: "tooLarge", retryAfterMs: 0 };
  }
  return storeRefusal(state, scheduler) ?? refusalOf(state, job, waitMs);
}

/** The end of a job that can't be recorded now, or null. */
export function storeRefusal(
  { nowMs }: EngineState,
  { records }: Scheduler,
): JobOutcome | null {
  const { unavailableSinceMs } = records;
  if (unavailableSinceMs === 0 || nowMs - unavailableSinceMs < STORE_AWAY_MS) {
    return null;
  }
  if (records.phase !== "open") return { kind: "unknown", reason: "storeAway" };
  return {
    kind: "refused",
    reason: "storeAway",
    retryAfterMs: STORE_AWAY_RETRY_MS,
  };
}

function logAdmission(
  context: ReduceContext,
  job: Job,
  { message, waitMs }: { message: Submit; waitMs: number },
): void {
  const { nowMs } = context.state;
  const { deadlineAtMs, previousRunsExpireAtMs: lapseAtMs } = job;
  logDecision(context, { part: "admit", text: "a job came" }, {
    jobId: job.jobId,
    queue: job.queue.name,
    tasks: job.tasks.length,
    expectedWaitMs: Math.round(waitMs),
    expectedRunMs: Math.round(job.criticalPathMs),
    objectiveInMs: Math.round(job.objectiveAtMs - nowMs),
    deadlineInMs: Number.isFinite(deadlineAtMs)
      ? Math.round(deadlineAtMs - nowMs)
      : null,
    begun: job.mayHaveStarted,
    resubmitted: message.resubmitted,
    recorded: job.record !== null,
    surplus: job.isSurplus,
    formerRunsForMs: Math.max(0, Math.round(lapseAtMs - nowMs)),
  });
}

/** Whether a caller tries again after its job was refused or given up. */
function isNewAttempt(
  known: Job,
  from: string,
  { submissionId }: Submit,
): boolean {
  if (known.outcome?.kind === "unknown") {
    return known.record === null && known.spec.isAtMostOnce !== true;
  }
  return known.outcome?.kind === "refused" &&
    known.submissionIdByEntry.get(from) !== submissionId;
}

function joinJob(
  context: ReduceContext,
  scheduler: Scheduler,
  { job, from, message }: { job: Job; from: string; message: Submit },
): void {
  const { jobId, record } = job;
  const { submissionId } = message;
  const told = conflictOf(job, message) ??
    (record === null || !record.writeSent ? job.outcome : record.storedOutcome);
  if (told !== null) {
    const type = "jobEnded";
    sendPeer(context, from, { type, jobId, submissionId, outcome: told });
    return;
  }
  job.submissionIdByEntry.set(from, submissionId);
  job.paused = false;
  if (record !== null) {
    if (!record.accepted) return;
    sendPeer(context, from, { type: "jobAccepted", jobId, submissionId });
    return;
  }
  if (message.resubmitted) {
    job.mayHaveStarted = true;
    job.submittedAtMs = context.state.nowMs;
    scheduler.rereadWanted = true;
    job.previousRunsExpireAtMs = context.state.nowMs +
      longestLeaseMs(context.state);
  }
  const deadlineAtMs = context.state.nowMs + message.timeLeftMs;
  job.deadlineAtMs = Math.max(job.deadlineAtMs, deadlineAtMs);
}

/** Another request came under the same name. */
function conflictOf({ spec }: Job, { job }: Submit): JobOutcome | null {
  if (spec.isAtMostOnce !== true) return null;
  if (isDeepStrictEqual(spec, job)) return null;
  return { kind: "refused", reason: "conflict", retryAfterMs: 0 };
}
