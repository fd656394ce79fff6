/**
 * Takeover of the records of all jobs by a leader: the records are read under
 * its term, jobs are restored from them and merged with jobs submitted in the
 * meantime, and unfinished jobs are resumed. Each event restores and resumes a
 * bounded number of jobs.
 */

import { emit, logDecision, sendPeer } from "./effects.ts";
import {
  faultyJobOutcome,
  isFaultyJob,
  isolateCreation,
  isolateJob,
} from "./job_faults.ts";
import { createJob, queueReadyTasks } from "./job_state.ts";
import {
  applyTaskCompletions,
  finishJob,
  queueJob,
  reportOutcome,
} from "./jobs.ts";
import { previousListReport } from "./leader_lists.ts";
import { nextTerm } from "./leadership.ts";
import { maxLeaseMs } from "./leases.ts";
import { placeQueuedTasks } from "./placement.ts";
import { knownRule } from "./queue_rules.ts";
import {
  createRecordState,
  mayHaveOtherOwner,
  OWNERSHIP_CONFIRM_TIMEOUT_MS,
  partOf,
} from "./records.ts";
import { mergeRecord } from "./record_content.ts";
import { forgetHolder } from "./records_holder.ts";
import { attachRuns, processOrphanCompletions } from "./runs.ts";
import type {
  EngineEventOf,
  EngineState,
  Job,
  OpenOutcome,
  RecordRestoration,
  RecordStoreState,
  ReduceContext,
  Scheduler,
  StoredRecord,
} from "./types.ts";

/** Delay before retrying to open the records from an unavailable store. */
const OPEN_RETRY_DELAY_MS = 250;

type OpenHandlers = {
  [K in OpenOutcome["kind"]]: (
    context: ReduceContext,
    scheduler: Scheduler,
    outcome: Extract<OpenOutcome, { kind: K }>,
  ) => void;
};

const openHandlers: OpenHandlers = {
  opened: (context, scheduler, { records: storedRecords }) => {
    const { records } = scheduler;
    records.isOwner = true;
    records.unavailableSinceMs = 0;
    records.previousConfirmedAtMs = records.abandonedVersion === null
      ? context.state.nowMs
      : records.holderWatch.firstSeenAtMs;
    records.restoration = { records: storedRecords, jobs: [] };
    continueOpening(context, scheduler);
  },
  outranked: (context, { records }, { term }) => {
    const { state } = context;
    logDecision(context, {
      level: "warn",
      part: "records",
      text:
        "opening records failed: a leader whose term is not lower owns them",
    }, { term, ownTerm: records.term });
    // The leader that is responsible for the records succeeds the owner named in
    // the store, and uses a higher term for its next attempt. Any other one first
    // watches that owner.
    records.phase = "closed";
    records.isOwner = false;
    forgetHolder(records);
    state.maxTermSeen = Math.max(state.maxTermSeen, term);
    records.term = nextTerm(state);
  },
  unavailable: ({ state }, { records }) => {
    records.phase = "closed";
    records.isOwner = false;
    records.retryAtMs = state.nowMs + OPEN_RETRY_DELAY_MS;
    if (records.unavailableSinceMs === 0) {
      records.unavailableSinceMs = state.nowMs;
    }
  },
};

/** Handles the result of an attempt to take over the records. */
export function onRecordsOpened(
  context: ReduceContext,
  { outcome, term }: EngineEventOf<"recordsOpened">,
): void {
  const { scheduler } = context.state;
  if (scheduler === null || scheduler.records.term !== term) return;
  if (scheduler.records.phase !== "opening") return;
  const handler = openHandlers[outcome.kind] as (
    context: ReduceContext,
    scheduler: Scheduler,
    outcome: OpenOutcome,
  ) => void;
  handler(context, scheduler, outcome);
}

/**
 * Handles the answer of the store that this leader owns the records. Reading and
 * restoring them takes time, in which other leaders must see that it is alive.
 */
export function onRecordsClaimed(
  { state }: ReduceContext,
  { term }: EngineEventOf<"recordsClaimed">,
): void {
  const { records } = state.scheduler ?? {};
  if (records?.phase !== "opening" || records.term !== term) return;
  records.isOwner = true;
}

/** Handles the time to continue the takeover of the records. */
export function onOpeningContinued(
  context: ReduceContext,
  { term }: EngineEventOf<"openingContinued">,
): void {
  const { scheduler } = context.state;
  if (scheduler === null || scheduler.records.term !== term) return;
  continueOpening(context, scheduler);
}

/**
 * Restores the next jobs or, once all are restored and the records are open,
 * resumes the next ones. Continues with a further event if any are left.
 */
function continueOpening(context: ReduceContext, scheduler: Scheduler): void {
  const { records } = scheduler;
  const { restoration } = records;
  if (restoration !== null) {
    restoreNextJobs(context, restoration, records);
    if (isRestored(restoration) && mayFinishOpening(context.state, records)) {
      finishOpening(context, scheduler, restoration);
    }
  }
  if (records.phase === "open") resumeNextJobs(context, scheduler);
  const hasMore = records.restoration === null
    ? records.resuming.length > 0
    : !isRestored(records.restoration);
  if (!hasMore) return;
  emit(context, { type: "continueOpening", term: records.term });
}

function isRestored({ jobs, records }: RecordRestoration): boolean {
  return jobs.length === records.length;
}

/**
 * Whether a leader that has restored all jobs has the records open. If another
 * leader may have taken them over meanwhile, the store has to confirm the
 * ownership first.
 */
function mayFinishOpening(
  state: EngineState,
  { confirmedAtMs }: RecordStoreState,
): boolean {
  return !mayHaveOtherOwner(state) ||
    !state.guards.isAbandoned(state.nowMs - confirmedAtMs);
}

/** Opens records that wait for a confirmation only, if it has come. */
export function finishConfirmedOpening(
  context: ReduceContext,
  scheduler: Scheduler,
): void {
  const { restoration } = scheduler.records;
  if (restoration === null || !isRestored(restoration)) return;
  continueOpening(context, scheduler);
}

function restoreNextJobs(
  context: ReduceContext,
  { records, jobs }: RecordRestoration,
  { previousConfirmedAtMs }: RecordStoreState,
): void {
  const { state } = context;
  let taskCount = 0;
  while (jobs.length < records.length && state.guards.fitsEvent(taskCount)) {
    const stored = records[jobs.length] as StoredRecord;
    const job = isolateCreation(
      context,
      stored.record.jobId,
      () => createJobFromRecord(state, stored, previousConfirmedAtMs),
    );
    jobs.push(job);
    taskCount += job?.tasks.length ?? 1;
  }
}

/** Makes the restored jobs those of this leader, which now owns the records. */
function finishOpening(
  context: ReduceContext,
  scheduler: Scheduler,
  restoration: RecordRestoration,
): void {
  const { state } = context;
  const { records } = scheduler;
  records.restoration = null;
  records.phase = "open";
  records.openedAtMs = state.nowMs;
  state.recordsZone = state.self.availabilityZone;
  state.recordsExist = restoration.records.length > 0 || records.dirty.size > 0;
  logDecision(context, { part: "records", text: "job records taken over" }, {
    term: scheduler.records.term,
    records: restoration.records.length,
  });
  for (const [index, job] of restoration.jobs.entries()) {
    if (job === null) continue;
    const stored = restoration.records[index] as StoredRecord;
    adoptJob(context, scheduler, { job, stored });
  }
  // Completions read before the records are applied before any job resumes, so
  // that their tasks are not started again.
  for (const worker of scheduler.workers.values()) {
    processOrphanCompletions(context, worker);
  }
  applyTaskCompletions(context);
  // A completion may queue a job before the job is resumed. Its other tasks must
  // not start then if runs of them were found on workers.
  attachRuns(context, scheduler, records.resuming);
  scheduler.rereadWanted = true;
}

/**
 * Queues the next restored jobs. Places tasks only after the last of them, since
 * each placement goes through all queued jobs.
 */
function resumeNextJobs(context: ReduceContext, scheduler: Scheduler): void {
  const { state } = context;
  const { resuming } = scheduler.records;
  if (resuming.length === 0) return;
  let taskCount = 0;
  while (resuming.length > 0 && state.guards.fitsEvent(taskCount)) {
    const job = resuming.pop() as Job;
    taskCount += job.tasks.length;
    if (job.outcome !== null) continue;
    isolateJob(context, job, {
      stage: "restore",
      fallback: undefined,
      run: () => resumeJob(context, job),
    });
  }
  if (resuming.length > 0) return;
  for (const service of scheduler.waiting.keys()) {
    placeQueuedTasks(context, service);
  }
}

/** Queues a restored job, unless it ended a previous leader. */
function resumeJob(context: ReduceContext, job: Job): void {
  const { state } = context;
  logDecision(context, { part: "records", text: "recorded job resumed" }, {
    jobId: job.jobId,
    queue: job.queue.name,
    unfinished: job.unfinished,
    acceptedMsAgo: Math.round(state.nowMs - job.receivedAtMs),
  });
  if (isFaultyJob(state, job.jobId)) finishJob(context, job, faultyJobOutcome);
  else queueJob(context, job);
}

/**
 * Makes a restored job one of this leader, in place of a submission of the job
 * that is pending here. If the record is that of a refused attempt, the pending
 * submission is a new attempt and remains.
 */
function adoptJob(
  context: ReduceContext,
  scheduler: Scheduler,
  { job, stored }: { job: Job; stored: StoredRecord },
): void {
  const { jobs, records } = scheduler;
  const known = jobs.get(job.jobId);
  const isPending = known?.outcome === null && known.record !== null;
  // The pending attempt is a new one and overwrites the row of the refused one.
  if (isPending && stored.record.outcome?.kind === "refused") {
    known.record.version = stored.version;
    known.record.mayExist = true;
    return;
  }
  jobs.set(job.jobId, job);
  if (known !== undefined) {
    records.dirty.get(partOf(job.jobId))?.delete(known);
  }
  if (isPending) transferSubmissions(context, job, known);
  if (job.outcome === null) {
    records.resuming.push(job);
    return;
  }
  job.endedAtMs = context.state.nowMs;
  records.retainedJobs.push(job);
}

/**
 * Moves the submissions of a job that was submitted before its record was read
 * to the restored job, and notifies the entries: that the job is accepted, or of
 * its outcome.
 */
function transferSubmissions(
  context: ReduceContext,
  job: Job,
  known: Job,
): void {
  const { jobId } = job;
  // Runs of the known job can be attached to the restored job only once the
  // known job has an outcome.
  known.outcome = { kind: "unknown", reason: "leaderLost" };
  for (const [entryId, submissionId] of known.submissionIdByEntry) {
    job.submissionIdByEntry.set(entryId, submissionId);
    if (job.outcome !== null) continue;
    sendPeer(context, entryId, { type: "jobAccepted", jobId, submissionId });
  }
  if (job.outcome !== null) reportOutcome(context, job, job.outcome);
}

function createJobFromRecord(
  state: EngineState,
  { record: row, version }: StoredRecord,
  previousConfirmedAtMs: number,
): Job {
  const record = createRecordState(row.acceptedAtMs);
  record.isRestored = true;
  const ageMs = Math.max(0, state.wallMs - row.acceptedAtMs);
  const receivedAtMs = state.nowMs - ageMs;
  const { queue } = row;
  const job = createJob(state, {
    jobId: row.jobId,
    queue: knownRule(state, queue) ?? queue,
    spec: row.job,
    receivedAtMs,
    deadlineAtMs: receivedAtMs + (row.job.deadlineMs ?? Infinity),
    isResumed: true,
    // The previous owner may renew leases until it detects that it lost the
    // records.
    previousRunsExpireAtMs: Math.max(
      state.nowMs,
      previousConfirmedAtMs + OWNERSHIP_CONFIRM_TIMEOUT_MS,
    ) +
      state.stopMs + maxLeaseMs(state),
    // The previous owner may be the leader of another cell, with runs on the
    // workers of that cell.
    leftCell: state.hasZoneCells,
    previousList: previousListReport(state, { isNew: false }),
    record,
    isSurplus: false,
  });
  record.version = version;
  record.mayExist = true;
  record.accepted = true;
  mergeRecord(job, row);
  queueReadyTasks(job);
  return job;
}
