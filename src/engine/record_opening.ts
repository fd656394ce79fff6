/**
 * Takeover of the records of all jobs by a leader: the records are read under
 * its term and merged with jobs submitted in the meantime, and unfinished jobs
 * are resumed.
 */

import { logDecision, sendPeer } from "./effects.ts";
import { faultyJobOutcome, isFaultyJob, isolateJob } from "./job_faults.ts";
import { createJob, queueReadyTasks } from "./job_state.ts";
import {
  applyTaskCompletions,
  finishJob,
  reportOutcome,
  startJob,
} from "./jobs.ts";
import { nextTerm } from "./leadership.ts";
import { maxLeaseMs } from "./leases.ts";
import {
  createRecordState,
  mergeRecord,
  OWNERSHIP_CONFIRM_TIMEOUT_MS,
  partOf,
} from "./records.ts";
import { processOrphanCompletions } from "./runs.ts";
import type {
  EngineEventOf,
  EngineState,
  Job,
  OpenOutcome,
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
    const { state } = context;
    const { records } = scheduler;
    records.phase = "open";
    records.unavailableSinceMs = 0;
    records.openedAtMs = state.nowMs;
    records.confirmedAtMs = state.nowMs;
    state.recordsZone = state.self.availabilityZone;
    state.recordsExist = storedRecords.length > 0 || records.dirty.size > 0;
    logDecision(context, { part: "records", text: "job records taken over" }, {
      term: scheduler.records.term,
      records: storedRecords.length,
    });
    const jobs = storedRecords.map((stored) =>
      restoreJob(context, scheduler, stored)
    );
    // Completions read before the records are applied before any job resumes,
    // so that their tasks are not started again.
    for (const worker of scheduler.workers.values()) {
      processOrphanCompletions(context, worker);
    }
    applyTaskCompletions(context);
    scheduler.rereadWanted = true;
    for (const job of jobs) {
      if (job === null || job.outcome !== null) continue;
      isolateJob(context, job, {
        stage: "restore",
        fallback: undefined,
        run: () => resumeJob(context, job),
      });
    }
  },
  outranked: (context, { records }, { term }) => {
    const { state } = context;
    logDecision(context, {
      level: "warn",
      part: "records",
      text:
        "opening records failed: a leader whose term is not lower owns them",
    }, { term, ownTerm: records.term });
    // Only the leader that is responsible for the records opens them, so the
    // owner named in the store is a previous one. The next attempt uses a higher
    // term.
    records.phase = "closed";
    state.maxTermSeen = Math.max(state.maxTermSeen, term);
    records.term = nextTerm(state);
  },
  unavailable: ({ state }, { records }) => {
    records.phase = "closed";
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

/** Starts a restored job, unless it ended a previous leader. */
function resumeJob(context: ReduceContext, job: Job): void {
  if (isFaultyJob(context.state, job.jobId)) {
    finishJob(context, job, faultyJobOutcome);
  } else startJob(context, job);
}

/**
 * Restores a job from its record. Returns null if the record is that of a
 * refused attempt and a new attempt of the job is pending here.
 */
function restoreJob(
  context: ReduceContext,
  scheduler: Scheduler,
  stored: StoredRecord,
): Job | null {
  const { state } = context;
  const known = scheduler.jobs.get(stored.record.jobId);
  const isPending = known?.outcome === null && known.record !== null;
  // The pending attempt is a new one and overwrites the row of the refused one.
  if (isPending && stored.record.outcome?.kind === "refused") {
    known.record.version = stored.version;
    known.record.mayExist = true;
    return null;
  }
  const job = createJobFromRecord(state, stored);
  scheduler.jobs.set(job.jobId, job);
  scheduler.records.dirty.get(partOf(job.jobId))?.delete(known as Job);
  if (isPending) transferSubmissions(context, job, known);
  if (job.outcome !== null) {
    job.endedAtMs = state.nowMs;
    scheduler.records.retainedJobs.push(job);
    return job;
  }
  logDecision(context, { part: "records", text: "recorded job resumed" }, {
    jobId: job.jobId,
    queue: job.queue.name,
    unfinished: job.unfinished,
    acceptedMsAgo: Math.round(state.nowMs - job.receivedAtMs),
  });
  return job;
}

/**
 * Moves the submissions and cancel requests of a job that was submitted before
 * its record was read to the restored job, and notifies the entries.
 */
function transferSubmissions(
  context: ReduceContext,
  job: Job,
  known: Job,
): void {
  const { jobId, record } = job;
  // Runs of the known job can be attached to the restored job only once the
  // known job has an outcome.
  known.outcome = { kind: "unknown", reason: "leaderLost" };
  for (const [entryId, submissionId] of known.submissionIdByEntry) {
    job.submissionIdByEntry.set(entryId, submissionId);
    sendPeer(context, entryId, { type: "jobAccepted", jobId, submissionId });
  }
  record?.cancelRequests.push(...known.record?.cancelRequests ?? []);
  if (job.outcome !== null) reportOutcome(context, job, job.outcome);
}

function createJobFromRecord(
  state: EngineState,
  { record: row, version }: StoredRecord,
): Job {
  const record = createRecordState(row.acceptedAtMs);
  const ageMs = Math.max(0, state.wallMs - row.acceptedAtMs);
  const receivedAtMs = state.nowMs - ageMs;
  const job = createJob(state, {
    jobId: row.jobId,
    queue: row.queue,
    spec: row.job,
    receivedAtMs,
    deadlineAtMs: receivedAtMs + (row.job.deadlineMs ?? Infinity),
    isResumed: true,
    // The previous owner may renew leases until it detects that it lost the
    // records.
    previousRunsExpireAtMs: state.nowMs + OWNERSHIP_CONFIRM_TIMEOUT_MS +
      state.stopMs + maxLeaseMs(state),
    // The previous owner may be the leader of another cell, with runs on the
    // workers of that cell.
    leftCell: state.hasZoneCells,
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
