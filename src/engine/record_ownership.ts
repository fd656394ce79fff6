/**
 * The leader's ownership of the job records, and the results of its writes. The
 * leader takes over the records under its term, confirms ownership with its
 * writes, and loses it to a leader with a higher term. While recorded jobs are
 * active, a leader that can neither confirm ownership in time nor rule out
 * another leader relinquishes the records and stops the runs of these jobs.
 */

import { emit, logDecision, sendPeer } from "./effects.ts";
import { faultyJobOutcome, isolateJob } from "./job_faults.ts";
import { queueReadyTasks } from "./job_state.ts";
import {
  finishJob,
  reportOutcome,
  sendDelayedReplies,
  startJob,
  stopJobRuns,
} from "./jobs.ts";
import {
  hearsDistantOwner,
  knowsRecordsZone,
  recordsLeader,
} from "./leader_lookup.ts";
import { nextTerm } from "./leadership.ts";
import { seesQuorum } from "./membership.ts";
import { dequeue, enqueue } from "./queue.ts";
import { finishConfirmedOpening } from "./record_opening.ts";
import {
  forgetHolder,
  isHolderAbandoned,
  readHolderIfDue,
  unconfirmedMs,
} from "./records_holder.ts";
import {
  createRecordStoreState,
  markDirty,
  mayHaveOtherOwner,
  mayHaveTwoOwners,
  OWNERSHIP_CONFIRM_INTERVAL_MS,
  OWNERSHIP_CONFIRM_TIMEOUT_MS,
  partOf,
  RECORD_PART_NUMBERS,
  releaseCompletions,
  requeueCompletions,
  WATCHED_PART,
  WRITE_RETRY_DELAY_MS,
  writeRows,
} from "./records.ts";
import { mergeRecord } from "./record_content.ts";
import type {
  EngineEventOf,
  EngineState,
  Job,
  OwnedWorker,
  RecordBatch,
  RecordState,
  RecordStoreState,
  ReduceContext,
  Scheduler,
  StoredRecord,
  WriteOutcome,
} from "./types.ts";

/**
 * Time without an answer to any write after which a contested owner confirms its
 * ownership by a further call.
 */
const CONFIRM_ANSWER_TIMEOUT_MS = 250;
/** Delay before a leader that relinquished the records tries to reopen them. */
const REOPEN_DELAY_MS = 2_000;

/**
 * Opens the records if this leader succeeds their owner or nobody owns them any
 * more. Once they are open, releases delayed completions and confirms
 * ownership when due.
 */
export function checkRecords(
  context: ReduceContext,
  scheduler: Scheduler,
): void {
  const { state } = context;
  const { records } = scheduler;
  if (records.phase === "closed") {
    if (state.nowMs < records.retryAtMs) return;
    checkClosedRecords(context, scheduler);
    return;
  }
  if (!records.isOwner) return;
  finishConfirmedOpening(context, scheduler);
  if (records.phase === "open" && !mayHaveTwoOwners(state, records)) {
    releaseCompletions(records.delayedCompletions);
    sendDelayedReplies(context, records);
  }
  confirmOwnership(context, scheduler);
}

/**
 * Opens the records at once if this leader is responsible for them. Else watches
 * their owner in the store while no owner is heard from, and opens the records
 * once the owner has not confirmed its ownership for too long.
 */
function checkClosedRecords(
  context: ReduceContext,
  scheduler: Scheduler,
): void {
  const { state } = context;
  const { records } = scheduler;
  if (isSuccessor(state, records)) {
    openRecords(context, records, null);
  } else if (hearsDistantOwner(state)) {
    forgetHolder(records);
  } else if (isHolderAbandoned(state, records)) {
    logTakeover(context, records);
    openRecords(context, records, records.holderWatch.version);
  } else {
    readHolderIfDue(context, scheduler);
  }
}

/**
 * Whether this leader succeeds the owner of the records in its cell, so that it
 * need not watch that owner first. A leader without a quorum may be cut off from
 * an owner that serves, also once it has forgotten its peers. One that was
 * replaced, or has seen the owner confirm, knows that there is another.
 */
function isSuccessor(
  state: EngineState,
  { wasReplaced, holderWatch }: RecordStoreState,
): boolean {
  const hasSeenOwner = wasReplaced || holderWatch.hasChanged;
  return !hasSeenOwner && seesQuorum(state) && knowsRecordsZone(state) &&
    recordsLeader(state)?.instanceId === state.self.instanceId;
}

function openRecords(
  context: ReduceContext,
  records: RecordStoreState,
  abandonedVersion: number | null,
): void {
  const { state } = context;
  records.phase = "opening";
  records.abandonedVersion = abandonedVersion;
  // The store confirms the ownership after this time, and before the records
  // are read.
  records.confirmedAtMs = state.nowMs;
  records.publishedAtMs = state.nowMs;
  emit(context, {
    type: "openRecords",
    term: records.term,
    abandonedVersion,
  });
}

function logTakeover(
  context: ReduceContext,
  { holderWatch }: RecordStoreState,
): void {
  const { state } = context;
  logDecision(context, {
    level: "warn",
    part: "records",
    text: "owner of the records no longer confirms; taking them over",
  }, {
    holderVersion: holderWatch.version,
    recordsZone: state.recordsZone,
    unconfirmedMs: Math.round(unconfirmedMs(holderWatch)),
  });
}

/**
 * While records exist or a completion waits for it, confirms ownership with an
 * empty write when due, by which other leaders see that this one is alive.
 * Relinquishes the records if the time to confirm it has expired and another
 * leader may own them by now.
 */
function confirmOwnership(context: ReduceContext, scheduler: Scheduler): void {
  const { state } = context;
  const { records } = scheduler;
  const isContested = mayHaveOtherOwner(state);
  const hasOrphans = hasOrphanCompletions(scheduler);
  const isWanted = state.recordsExist;
  if (!isWanted) records.confirmWantedSinceMs = null;
  else records.confirmWantedSinceMs ??= state.nowMs;
  const sinceConfirmedMs = state.nowMs - records.confirmedAtMs;
  // Answers rely on a confirmation within the interval while it is contested.
  const intervalMs = OWNERSHIP_CONFIRM_INTERVAL_MS / (isContested ? 2 : 1);
  const isUnpublished =
    state.nowMs - records.publishedAtMs >= OWNERSHIP_CONFIRM_INTERVAL_MS;
  const isDue = isWanted && (sinceConfirmedMs >= intervalMs || isUnpublished);
  if (!isDue && !hasOrphans) return;
  const wantedMs = state.nowMs - (records.confirmWantedSinceMs ?? state.nowMs);
  const isOverdue =
    Math.min(sinceConfirmedMs, wantedMs) >= OWNERSHIP_CONFIRM_TIMEOUT_MS;
  // An owner that still restores jobs has started no task of theirs.
  if (isOverdue && isContested && records.phase === "open") {
    relinquishRecords(
      context,
      scheduler,
      "the store did not confirm ownership in time",
    );
    return;
  }
  if (state.nowMs < records.retryAtMs) return;
  const part = partToConfirm(state, records, isContested);
  if (part === null) return;
  writeRows(context, records, { part, rows: [], jobs: [] });
}

/**
 * Returns the part for a confirmation, or null while another write confirms. A
 * contested owner that gets no answer tries the other parts one after another:
 * the answer to a single call may be lost, and the call be awaited for most of
 * the time after which the owner stops.
 */
function partToConfirm(
  { nowMs }: EngineState,
  { inFlightWrites, dirty }: RecordStoreState,
  isContested: boolean,
): number | null {
  const isFree = (part: number): boolean =>
    !inFlightWrites.has(part) && !dirty.has(part);
  if (isFree(WATCHED_PART)) return WATCHED_PART;
  const sentAtMs = [...inFlightWrites.values()].map((batch) => batch.sentAtMs);
  const isAnswerLate = sentAtMs.length > 0 &&
    nowMs - Math.max(...sentAtMs) >= CONFIRM_ANSWER_TIMEOUT_MS;
  if (!isContested || !isAnswerLate) return null;
  return RECORD_PART_NUMBERS.find(isFree) ?? null;
}

/** Whether completions wait for a confirmation to be discarded. */
function hasOrphanCompletions({ workers }: Scheduler): boolean {
  for (const { orphanCompletions } of workers.values()) {
    if (orphanCompletions.length > 0) return true;
  }
  return false;
}

/** Updates a job from its row after a write met an unexpected version. */
function applyStoredRecord(
  job: Job,
  record: RecordState,
  { record: row, version }: StoredRecord,
): void {
  record.version = version;
  record.mayExist = true;
  // The present attempt overwrites the record of an attempt that was refused.
  if (row.outcome?.kind === "refused" && job.outcome === null) return;
  mergeRecord(job, row);
}

/** Notifies the entries of a job that it is persisted, and starts the job. */
function acceptJob(
  context: ReduceContext,
  job: Job,
  record: RecordState,
): void {
  record.accepted = true;
  context.state.counters.jobsAccepted += 1;
  logDecision(context, { part: "records", text: "job accepted" }, {
    jobId: job.jobId,
    version: record.version,
    waitedMs: Math.round(context.state.nowMs - job.receivedAtMs),
  });
  const { jobId } = job;
  for (const [entryId, submissionId] of job.submissionIdByEntry) {
    sendPeer(context, entryId, { type: "jobAccepted", jobId, submissionId });
  }
  queueReadyTasks(job);
  startJob(context, job);
}

interface CompletedWrite {
  readonly scheduler: Scheduler;
  readonly part: number;
  readonly batch: RecordBatch;
}

type WriteHandlers = {
  [K in WriteOutcome["kind"]]: (
    context: ReduceContext,
    write: CompletedWrite,
    outcome: Extract<WriteOutcome, { kind: K }>,
  ) => void;
};

const writeHandlers: WriteHandlers = {
  written: (context, { scheduler, batch }, { version }) => {
    markConfirmed(scheduler.records, batch);
    for (const [index, job] of batch.jobs.entries()) {
      const outcome = batch.outcomes[index] ?? null;
      isolateJob(context, job, {
        stage: "persist",
        fallback: undefined,
        run: () => onJobWritten(context, scheduler, { job, outcome, version }),
      });
    }
  },
  changed: ({ state }, { scheduler, batch }, { records: rows }) => {
    markConfirmed(scheduler.records, batch);
    for (const job of batch.jobs) {
      if (job.record === null) continue;
      const row = rows.find(({ record }) => record.jobId === job.jobId);
      if (row === undefined) job.record.version = 0;
      else {
        applyStoredRecord(job, job.record, row);
        queueReadyTasks(job);
        enqueue(state, job);
      }
      requeueCompletions(job.record);
      markDirty(scheduler, job);
    }
  },
  outranked: (context, { scheduler }, { availabilityZone }) => {
    relinquishRecords(
      context,
      scheduler,
      "a leader with a higher term has taken over the records",
    );
    // An owner of a release that didn't store its zone can't be watched.
    if (availabilityZone === null) return;
    context.state.recordsZone = availabilityZone;
    scheduler.records.wasReplaced = true;
  },
  invalid: onBatchRefused,
  unknown: ({ state }, { scheduler, batch }) => {
    const { records } = scheduler;
    if (records.unavailableSinceMs === 0) {
      records.unavailableSinceMs = state.nowMs;
    }
    records.retryAtMs = state.nowMs + WRITE_RETRY_DELAY_MS;
    for (const job of batch.jobs) {
      if (job.record === null) continue;
      requeueCompletions(job.record);
      markDirty(scheduler, job);
    }
  },
};

/**
 * Divides a batch that the store refuses, so that the row which it can't take is
 * found and the others are written. The job of that row ends.
 */
function onBatchRefused(
  context: ReduceContext,
  { scheduler, part, batch: { jobs } }: CompletedWrite,
): void {
  const { records } = scheduler;
  for (const job of jobs) {
    if (job.record === null) continue;
    requeueCompletions(job.record);
    markDirty(scheduler, job);
  }
  const [job] = jobs;
  if (job === undefined) {
    records.retryAtMs = context.state.nowMs + WRITE_RETRY_DELAY_MS;
    return;
  }
  if (jobs.length === 1) {
    endUnwritableJob(context, scheduler, job);
    return;
  }
  const middle = Math.ceil(jobs.length / 2);
  const halves = [jobs.slice(0, middle), jobs.slice(middle)];
  records.divided.set(part, [...halves, ...records.divided.get(part) ?? []]);
}

/**
 * Ends a job of which the store refuses the row. One that was never accepted has
 * not run; of another one only the outcome is written.
 */
function endUnwritableJob(
  context: ReduceContext,
  scheduler: Scheduler,
  job: Job,
): void {
  const { record, jobId } = job;
  if (record === null) return;
  const { accepted, version, isReduced } = record;
  logDecision(context, {
    level: "error",
    part: "records",
    text: "job ended: the store refuses its record",
  }, { jobId, accepted, version, isReduced });
  const { dirty } = scheduler.records;
  dirty.get(partOf(jobId))?.delete(job);
  if (isReduced) {
    releaseCompletions(record.pendingCompletions);
    if (job.outcome !== null) reportOutcome(context, job, job.outcome);
    return;
  }
  record.isReduced = true;
  if (accepted) {
    if (job.outcome === null) finishJob(context, job, faultyJobOutcome);
    else markDirty(scheduler, job);
    return;
  }
  record.mayExist = version > 0;
  const reason = "tooLarge";
  finishJob(context, job, { kind: "refused", reason, retryAfterMs: 0 });
}

function markConfirmed(
  records: RecordStoreState,
  { sentAtMs }: RecordBatch,
): void {
  records.unavailableSinceMs = 0;
  records.confirmedAtMs = Math.max(records.confirmedAtMs, sentAtMs);
}

function onJobWritten(
  context: ReduceContext,
  scheduler: Scheduler,
  { job, outcome, version }: {
    job: Job;
    outcome: Job["outcome"];
    version: number;
  },
): void {
  const { record } = job;
  if (record === null) return;
  const { records } = scheduler;
  if (mayHaveTwoOwners(context.state, records)) {
    for (const completion of record.inFlightCompletions) {
      records.delayedCompletions.push(completion);
    }
    record.inFlightCompletions = [];
  } else releaseCompletions(record.inFlightCompletions);
  record.version = version;
  if (record.removing) {
    if (scheduler.jobs.get(job.jobId) === job) scheduler.jobs.delete(job.jobId);
    return;
  }
  if (outcome !== null && record.storedOutcome === null) {
    record.storedOutcome = outcome;
    record.accepted = true;
    scheduler.records.retainedJobs.push(job);
    reportOutcome(context, job, outcome);
    return;
  }
  if (!record.accepted && job.outcome === null) acceptJob(context, job, record);
}

/** Handles the result of a write of records. */
export function onRecordsWritten(
  context: ReduceContext,
  { writeId, outcome }: EngineEventOf<"recordsWritten">,
): void {
  const { scheduler } = context.state;
  if (scheduler === null) return;
  for (const [part, batch] of scheduler.records.inFlightWrites) {
    if (batch.writeId !== writeId) continue;
    scheduler.records.inFlightWrites.delete(part);
    if (outcome.kind !== "written") logFailedWrite(context, batch, outcome);
    if (outcome.kind === "written" && part === WATCHED_PART) {
      scheduler.records.publishedAtMs = batch.sentAtMs;
    }
    const handler = writeHandlers[outcome.kind] as (
      context: ReduceContext,
      write: CompletedWrite,
      outcome: WriteOutcome,
    ) => void;
    handler(context, { scheduler, part, batch }, outcome);
    return;
  }
}

function logFailedWrite(
  context: ReduceContext,
  { jobs, writeId }: RecordBatch,
  outcome: WriteOutcome,
): void {
  logDecision(context, {
    level: "warn",
    part: "records",
    text: "write of records rejected or not confirmed",
  }, {
    writeId,
    reason: outcome.kind,
    detail: "detail" in outcome ? outcome.detail : "",
    jobIds: jobs.slice(0, 5).map((job) => job.jobId),
    jobs: jobs.length,
  });
}

/**
 * Gives up ownership of the records. Another leader may resume the recorded
 * jobs, so their runs are stopped here, and the jobs without an outcome are
 * reported as unknown.
 */
function relinquishRecords(
  context: ReduceContext,
  scheduler: Scheduler,
  reason: string,
): void {
  const { state } = context;
  const jobs = [...scheduler.jobs.values()].filter((job) =>
    job.record !== null
  );
  logDecision(context, {
    level: "warn",
    part: "records",
    text: "job records relinquished; recorded jobs stopped",
  }, { reason, jobs: jobs.length, term: scheduler.records.term });
  for (const job of jobs) {
    dequeue(scheduler, job);
    stopJobRuns(context, scheduler, job);
    scheduler.jobs.delete(job.jobId);
    if (job.outcome !== null) continue;
    job.outcome = { kind: "unknown", reason: "leaderLost" };
    reportOutcome(context, job, job.outcome);
  }
  scheduler.records = {
    ...createRecordStoreState(nextTerm(state)),
    retryAtMs: state.nowMs + REOPEN_DELAY_MS,
  };
  for (const worker of scheduler.workers.values()) {
    detachRecordedRuns(worker);
    if (worker.retainedSequences.size === 0) continue;
    // The next owner of the records must process these completions, so they
    // count as not yet processed here.
    worker.processedSequence = Math.min(...worker.retainedSequences) - 1;
    worker.retainedSequences = new Set();
    worker.orphanCompletions = [];
  }
}

/**
 * Detaches runs from their recorded jobs, which leaves the completions of these
 * runs to the next owner of the records.
 */
function detachRecordedRuns(worker: OwnedWorker): void {
  for (const run of worker.runs.values()) {
    if (run.job?.record == null) continue;
    run.job = null;
    run.task = null;
  }
}
