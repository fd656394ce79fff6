/**
 * Taking over the records of all jobs: read in a leader's own term, joined with
 * what entries have handed in meanwhile, and gone on with.
 */

import { createJob, openSteps } from "./job_state.ts";
import { beginJob, settleTaskEnds, tellEnded } from "./jobs.ts";
import { longestLeaseMs } from "./leases.ts";
import { nextTerm } from "./ownership.ts";
import {
  CONFIRM_WITHIN_MS,
  createRecordState,
  mergeRecord,
  partOf,
} from "./records.ts";
import { takeOrphanEnds } from "./runs.ts";
import { logDecision, sendPeer } from "./effects.ts";
import type {
  EngineEventOf,
  EngineState,
  Job,
  OpenOutcome,
  ReduceContext,
  Scheduler,
  StoredRecord,
} from "./types.ts";

/** Opening the records is tried again after so long. */
const RETRY_OPEN_MS = 250;

type OpenHandlers = {
  [K in OpenOutcome["kind"]]: (
    context: ReduceContext,
    scheduler: Scheduler,
    outcome: Extract<OpenOutcome, { kind: K }>,
  ) => void;
};

const openHandlers: OpenHandlers = {
  opened: (context, scheduler, { records: stored }) => {
    const { state } = context;
    const { records } = scheduler;
    records.phase = "open";
    records.unavailableSinceMs = 0;
    records.openedAtMs = state.nowMs;
    records.confirmedAtMs = state.nowMs;
    state.recordsZone = state.self.availabilityZone;
    state.recordsExist = stored.length > 0 || records.dirty.size > 0;
    logDecision(context, { part: "records", text: "records taken over" }, {
      term: scheduler.records.term,
      records: stored.length,
    });
    const jobs = stored.map((one) => adoptRecord(context, scheduler, one));
    // What ended meanwhile must not start again.
    for (const worker of scheduler.workers.values()) {
      takeOrphanEnds(context, worker);
    }
    settleTaskEnds(context);
    scheduler.rereadWanted = true;
    for (const job of jobs) {
      if (job !== null && job.outcome === null) beginJob(context, job);
    }
  },
  outranked: (context, { records }, { term }) => {
    const { state } = context;
    logDecision(context, {
      level: "warn",
      part: "records",
      text: "a higher term held the records",
    }, { term, ownTerm: records.term });
    // Whoever held them is not heard as their holder any more.
    records.phase = "closed";
    state.maxTermSeen = Math.max(state.maxTermSeen, term);
    records.term = nextTerm(state);
  },
  unavailable: ({ state }, { records }) => {
    records.phase = "closed";
    records.retryAtMs = state.nowMs + RETRY_OPEN_MS;
    if (records.unavailableSinceMs === 0) {
      records.unavailableSinceMs = state.nowMs;
    }
  },
};

/** The records were taken over, or could not be. */
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

/** Takes in a job that was accepted before; null for a refused attempt. */
function adoptRecord(
  context: ReduceContext,
  scheduler: Scheduler,
  stored: StoredRecord,
): Job | null {
  const { state } = context;
  const known = scheduler.jobs.get(stored.record.jobId);
  const waits = known?.outcome === null && known.record !== null;
  // An attempt after a refusal is a new one, over the row of the old.
  if (waits && stored.record.outcome?.kind === "refused") {
    known.record.version = stored.version;
    known.record.writeSent = true;
    return null;
  }
  const job = resumeJob(state, stored);
  scheduler.jobs.set(job.jobId, job);
  scheduler.records.dirty.get(partOf(job.jobId))?.delete(known as Job);
  if (waits) joinWaiting(context, job, known);
  if (job.outcome !== null) {
    job.endedAtMs = state.nowMs;
    scheduler.records.retainedJobs.push(job);
    return job;
  }
  logDecision(context, { part: "records", text: "a job goes on" }, {
    jobId: job.jobId,
    queue: job.queue.name,
    unfinished: job.unfinished,
    acceptedMsAgo: Math.round(state.nowMs - job.receivedAtMs),
  });
  return job;
}

/** Entries that handed the job in before its record was read are told. */
function joinWaiting(context: ReduceContext, job: Job, known: Job): void {
  const { jobId, record } = job;
  // Runs that were found for it are claimed anew.
  known.outcome = { kind: "unknown", reason: "leaderLost" };
  for (const [entryId, submissionId] of known.submissionIdByEntry) {
    job.submissionIdByEntry.set(entryId, submissionId);
    sendPeer(context, entryId, { type: "jobAccepted", jobId, submissionId });
  }
  record?.cancelRequests.push(...known.record?.cancelRequests ?? []);
  if (job.outcome !== null) tellEnded(context, job, job.outcome);
}

function resumeJob(
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
    // The leader before renews until it knows that it lost the records.
    formerRunsLapseAtMs: state.nowMs + CONFIRM_WITHIN_MS + state.stopMs +
      longestLeaseMs(state),
    // A leader of another cell may have had the records.
    leftCell: state.hasZoneCells,
    record,
    isSurplus: false,
  });
  record.version = version;
  record.writeSent = true;
  record.accepted = true;
  mergeRecord(job, row);
  openSteps(job);
  return job;
}
