/**
 * Submissions of jobs by entries: new jobs, new attempts after a refusal or an
 * unknown outcome, and submissions of jobs that the leader has already.
 */

import { isDeepStrictEqual } from "node:util";
import { expectedWaitMs, refusalOf } from "./admission.ts";
import { updatePeerVersion } from "./configuration.ts";
import { logDecision, sendPeer } from "./effects.ts";
import { mayDoubtEstimate } from "./expected_run_times.ts";
import { isPaused, onFollowerSubmission } from "./followers.ts";
import {
  faultyJobOutcome,
  isFaultyJob,
  isolateCreation,
  isolateJob,
} from "./job_faults.ts";
import { createJob, inheritProgress, queueReadyTasks } from "./job_state.ts";
import { finishJob, startJob } from "./jobs.ts";
import { maxLeaseMs } from "./leases.ts";
import { submittedListReport } from "./leader_lists.ts";
import { refuseForMemory } from "./load_limits.ts";
import { presumedWaitMs } from "./overload/returning_callers.ts";
import { previousRunsExpireAtMs } from "./previous_runs.ts";
import { countArrival, isSurplus } from "./queue_demand.ts";
import { cameAfterDrop, learnRule, newestRule } from "./queue_rules.ts";
import { createRecordState, knowsAllRecords, markDirty } from "./records.ts";
import { maxRecordBytes } from "./record_content.ts";
import type { JobOutcome, PeerMessageOf } from "./schemas.ts";
import type {
  EngineState,
  Job,
  RecordState,
  ReduceContext,
  Scheduler,
} from "./types.ts";
import { rereadWorkers } from "./workers.ts";
import { claimJob, outcomeElsewhere, wasClaimed } from "./zones/job_claims.ts";
import {
  countOrigin,
  handedOverOutcome,
  handOverSubmitted,
  joinTriedZones,
} from "./zones/sharing.ts";

/**
 * Duration of a store outage from which jobs that need a record are refused or,
 * while they may have one already, end as unknown.
 */
export const STORE_UNAVAILABLE_THRESHOLD_MS = 300;
/** Time after which callers should retry a job refused in a store outage. */
const STORE_UNAVAILABLE_RETRY_AFTER_MS = 1_000;

type Submit = PeerMessageOf<"submit">;

/** Handles the submission of a job by an entry. */
export function onSubmit(
  context: ReduceContext,
  from: string,
  received: Submit,
): void {
  const { state } = context;
  const { scheduler } = state;
  if (scheduler === null) return;
  onFollowerSubmission(state, from, received);
  learnRule(state, received);
  updatePeerVersion(state, from, received.configurationVersion);
  const hasOtherRuns = wasClaimed(state, scheduler, received);
  const resubmitted = hasOtherRuns ||
    !state.guards.mayBeNew(received, scheduler.term);
  const previousList = hasOtherRuns
    ? { kind: "unknown" as const }
    : submittedListReport(state, received);
  const message = { ...received, resubmitted, previousList };
  if (isFaultyJob(state, message.jobId)) {
    endSubmission(context, from, { message, outcome: faultyJobOutcome });
    return;
  }
  const known = scheduler.jobs.get(message.jobId);
  const followed = handedOverOutcome(state, known, { from, message });
  if (followed !== null) {
    endSubmission(context, from, { message, outcome: followed });
    return;
  }
  if (known !== undefined && !isNewAttempt(known, from, message)) {
    addSubmission(context, scheduler, { job: known, from, message });
    return;
  }
  const refusal = outcomeElsewhere(context, scheduler, { message, known }) ??
    (known === undefined
      ? refuseForMemory(context, scheduler, { from, message })
      : null);
  if (refusal !== null) {
    endSubmission(context, from, { message, outcome: refusal });
    return;
  }
  const job = isolateCreation(
    context,
    message.jobId,
    () => createSubmittedJob(state, scheduler, { message, known }),
  );
  if (job === null) {
    endSubmission(context, from, { message, outcome: faultyJobOutcome });
    return;
  }
  job.submissionIdByEntry.set(from, message.submissionId);
  scheduler.jobs.set(job.jobId, job);
  countArrival(scheduler, job);
  countOrigin(state, scheduler, {
    job,
    availabilityZone: message.availabilityZone,
  });
  isolateJob(context, job, {
    stage: "submit",
    fallback: undefined,
    run: () => admitJob(context, scheduler, { job, message }),
  });
}

/** Tells an entry the outcome of a job for which nothing is kept here. */
function endSubmission(
  context: ReduceContext,
  from: string,
  { message: { jobId, submissionId }, outcome }: {
    message: Submit;
    outcome: JobOutcome;
  },
): void {
  sendPeer(context, from, { type: "jobEnded", jobId, submissionId, outcome });
}

/** Refuses a submitted job, or admits it and starts it if it may start. */
function admitJob(
  context: ReduceContext,
  scheduler: Scheduler,
  { job, message }: { job: Job; message: Submit },
): void {
  const { state } = context;
  const waitMs = expectedWaitMs(context, scheduler, job);
  logSubmission(context, scheduler, { job, message, waitMs });
  const refusal = job.mayHaveStarted
    ? null
    : handOverSubmitted(context, scheduler, job) ??
      immediateRefusal(state, scheduler, { job, message, waitMs });
  if (refusal !== null) {
    finishJob(context, job, refusal);
    return;
  }
  claimJob(context, scheduler, job);
  if (job.record !== null) {
    state.recordsExist = true;
    markDirty(scheduler, job);
  }
  if (message.resubmitted && job.previousRunsExpireAtMs > state.nowMs) {
    scheduler.rereadWanted = true;
    rereadWorkers(context, scheduler);
  }
  startJob(context, job);
}

function createSubmittedJob(
  state: EngineState,
  scheduler: Scheduler,
  { message, known }: { message: Submit; known: Job | undefined },
): Job {
  const { jobId, job: spec, ageMs, timeLeftMs } = message;
  const queue = newestRule(state, message) ?? message.queue;
  const receivedAtMs = state.nowMs - ageMs;
  const isRecorded = spec.isRecorded === true;
  // A recorded job outlives its callers, so only its own deadline applies.
  const deadlineAtMs = isRecorded
    ? receivedAtMs + (spec.deadlineMs ?? Infinity)
    : state.nowMs + timeLeftMs;
  const job = createJob(state, {
    jobId,
    queue,
    spec,
    receivedAtMs,
    deadlineAtMs,
    // No task of a recorded job starts before its record is persisted, and a
    // job with a record is restored from it.
    isResumed: message.resubmitted && !isRecorded,
    previousRunsExpireAtMs: isRecorded
      ? 0
      : previousRunsExpireAtMs(state, scheduler, message),
    leftCell: message.leftCell,
    previousList: message.previousList,
    doneTasks: message.doneTasks,
    record: isRecorded ? initialRecordState(state, known) : null,
    isSurplus: isSurplus(scheduler, queue.name),
    waitedBeforeMs: isRecorded ? 0 : presumedWaitMs(state, scheduler, {
      queueName: queue.name,
      service: queue.service,
      callerMs: ageMs + timeLeftMs,
    }),
  });
  if (known !== undefined) {
    inheritProgress(job, known);
    inheritPreviousRuns(state, job, known);
  }
  job.triedZones = message.triedZones ?? null;
  queueReadyTasks(job);
  return job;
}

/** Lets a new attempt wait for the runs for which an earlier one has to. */
function inheritPreviousRuns(
  { nowMs }: EngineState,
  job: Job,
  earlier: Job,
): void {
  const { previousRunsExpireAtMs, previousList } = earlier;
  if (nowMs >= previousRunsExpireAtMs) return;
  const isSameList = isDeepStrictEqual(job.previousList, previousList);
  if (!isSameList) job.previousList = { kind: "unknown" };
  job.previousRunsExpireAtMs = Math.max(
    job.previousRunsExpireAtMs,
    previousRunsExpireAtMs,
  );
  job.resumedAtMs = Math.max(job.resumedAtMs, earlier.resumedAtMs);
  job.leftCell ||= earlier.leftCell;
}

/**
 * Returns the initial state of a job's record. A previous attempt that was
 * refused may have written a row, which the new attempt overwrites.
 */
function initialRecordState(
  state: EngineState,
  known: Job | undefined,
): RecordState {
  const record = createRecordState(state.wallMs);
  record.version = known?.record?.version ?? 0;
  record.mayExist = known?.record?.mayExist ?? false;
  return record;
}

/**
 * Returns the refusal of a job at its submission; null if the job is admitted
 * or a refusal might be wrong.
 */
function immediateRefusal(
  state: EngineState,
  scheduler: Scheduler,
  { job, message, waitMs }: { job: Job; message: Submit; waitMs: number },
): JobOutcome | null {
  // The job may have a record that is not known here, so it may have started.
  if (job.record !== null && !knowsAllRecords(state, scheduler)) return null;
  if (cameAfterDrop(state, message, job.receivedAtMs)) {
    return { kind: "refused", reason: "unknownQueue", retryAfterMs: 0 };
  }
  if (job.record === null) {
    return refusalByEstimate(state, job, waitMs);
  }
  if (!state.guards.fitsRow(maxRecordBytes(job, job.record))) {
    return { kind: "refused", reason: "tooLarge", retryAfterMs: 0 };
  }
  return storeUnavailableOutcome(state, scheduler) ??
    refusalOf(state, job, waitMs);
}

/**
 * Returns the refusal of a job in memory, or null. A share of those that only the
 * learned run times refuse is admitted.
 */
function refusalByEstimate(
  state: EngineState,
  job: Job,
  waitMs: number,
): JobOutcome | null {
  const refusal = refusalOf(state, job, waitMs, { isNew: true });
  if (refusal === null) return null;
  job.doubtsEstimate = true;
  const restsOnEstimate =
    refusalOf(state, job, waitMs, { isNew: true }) === null;
  job.doubtsEstimate = restsOnEstimate &&
    mayDoubtEstimate(state, job.queue.name);
  return job.doubtsEstimate ? null : refusal;
}

/**
 * Returns the outcome of a job that can't be recorded since the store has been
 * unavailable for too long, or null. The reason `storeAway` on the wire means
 * that the store is unavailable.
 */
export function storeUnavailableOutcome(
  state: EngineState,
  scheduler: Scheduler,
): JobOutcome | null {
  const { unavailableSinceMs } = scheduler.records;
  if (
    unavailableSinceMs === 0 ||
    state.nowMs - unavailableSinceMs < STORE_UNAVAILABLE_THRESHOLD_MS
  ) {
    return null;
  }
  if (!knowsAllRecords(state, scheduler)) {
    return { kind: "unknown", reason: "storeAway" };
  }
  return {
    kind: "refused",
    reason: "storeAway",
    retryAfterMs: STORE_UNAVAILABLE_RETRY_AFTER_MS,
  };
}

function logSubmission(
  context: ReduceContext,
  scheduler: Scheduler,
  { job, message, waitMs }: { job: Job; message: Submit; waitMs: number },
): void {
  const { nowMs, listDigest } = context.state;
  const { deadlineAtMs, previousRunsExpireAtMs, previousList } = job;
  const mayHaveRuns = previousRunsExpireAtMs > nowMs;
  // Stable field names: `begun` is whether the job may have started, and
  // `formerRunsForMs` the time until runs of a previous leader have expired.
  logDecision(context, { part: "admit", text: "job received" }, {
    jobId: job.jobId,
    queue: job.queue.name,
    service: job.queue.service,
    // The versions that the entry and this leader know.
    submittedVersion: message.configurationVersion,
    configurationVersion: context.state.configuration?.version ?? -1,
    tasks: job.tasks.length,
    expectedWaitMs: Math.round(waitMs),
    expectedRunMs: Math.round(job.criticalPathMs),
    objectiveInMs: Math.round(job.objectiveAtMs - nowMs),
    deadlineInMs: Number.isFinite(deadlineAtMs)
      ? Math.round(deadlineAtMs - nowMs)
      : null,
    begun: job.mayHaveStarted,
    resubmitted: message.resubmitted,
    // The term of this leader, and the one for which the entry meant the job.
    term: scheduler.term,
    submittedTerm: message.term ?? null,
    recorded: job.record !== null,
    surplus: job.isSurplus,
    returning: job.isReturning,
    paused: isPaused(context.state, job),
    formerRunsForMs: Math.max(0, Math.round(previousRunsExpireAtMs - nowMs)),
    // Digests of the list of workers here and at the previous leader.
    ...(mayHaveRuns ? { list: listDigest, formerList: previousList } : {}),
  });
}

/**
 * Whether the submission of a known job is a new attempt after a refusal or an
 * unknown outcome, not the refused submission again. A job that is recorded or
 * at-most-once keeps its unknown outcome.
 */
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

/**
 * Adds an entry's submission to a known job, or answers it with a conflict or
 * with the job's outcome if there is one to report.
 */
function addSubmission(
  context: ReduceContext,
  scheduler: Scheduler,
  { job, from, message }: { job: Job; from: string; message: Submit },
): void {
  const { jobId, record } = job;
  const { submissionId } = message;
  const knownOutcome = conflictOf(job, message) ??
    (record === null || !record.mayExist ? job.outcome : record.storedOutcome);
  if (knownOutcome !== null) {
    const type = "jobEnded";
    sendPeer(context, from, {
      type,
      jobId,
      submissionId,
      outcome: knownOutcome,
    });
    return;
  }
  job.submissionIdByEntry.set(from, submissionId);
  job.triedZones = joinTriedZones(job.triedZones, message.triedZones);
  if (record !== null) {
    if (!record.accepted) return;
    sendPeer(context, from, { type: "jobAccepted", jobId, submissionId });
    return;
  }
  if (message.resubmitted) {
    job.leftCell ||= message.leftCell;
    mergePreviousList(context.state, job, { from, message });
    job.mayHaveStarted = true;
    job.resumedAtMs = context.state.nowMs;
    scheduler.rereadWanted = true;
    job.previousRunsExpireAtMs = context.state.nowMs +
      maxLeaseMs(context.state);
  }
  const deadlineAtMs = context.state.nowMs + message.timeLeftMs;
  if (deadlineAtMs <= job.deadlineAtMs) return;
  job.deadlineAtMs = deadlineAtMs;
  claimJob(context, scheduler, job);
}

/**
 * Updates the list by which previous leaders started a job. It is not known
 * while runs may continue that were started by different lists; a later
 * submission by the same entry covers what the earlier ones told.
 */
function mergePreviousList(
  { nowMs }: EngineState,
  job: Job,
  { from, message: { previousList } }: { from: string; message: Submit },
): void {
  const isOnlyEntry = [...job.submissionIdByEntry.keys()]
    .every((entryId) => entryId === from);
  const isKnown = isOnlyEntry || nowMs >= job.previousRunsExpireAtMs ||
    isDeepStrictEqual(job.previousList, previousList);
  job.previousList = isKnown ? previousList : { kind: "unknown" };
}

/**
 * Returns the refusal of a submission whose specification differs from that of
 * the known at-most-once job with the same id, or null.
 */
function conflictOf({ spec }: Job, { job }: Submit): JobOutcome | null {
  if (spec.isAtMostOnce !== true) return null;
  if (isDeepStrictEqual(spec, job)) return null;
  return { kind: "refused", reason: "conflict", retryAfterMs: 0 };
}
