/**
 * The leader's hold on the records of jobs: taken over in its term, kept by
 * writing, lost to a leader of a higher term. Whoever can't show for a while
 * that it still holds them, and can't rule out another leader, stops what runs
 * for them.
 */

import { openSteps } from "./job_state.ts";
import { beginJob, stopRunsOf, tellEnded } from "./jobs.ts";
import { recordsLead } from "./leads.ts";
import { hasMissingPeers, seesMajority } from "./membership.ts";
import { nextTerm } from "./ownership.ts";
import { dequeue } from "./queue.ts";
import {
  CONFIRM_WITHIN_MS,
  createRecords,
  keepEnds,
  markDirty,
  mergeRecord,
  releaseEnds,
  RETRY_WRITE_MS,
  writeRows,
} from "./records.ts";
import { emit, logDecision, sendPeer } from "./turn.ts";
import type {
  EngineEventOf,
  EngineState,
  Job,
  OwnedWorker,
  RecordBatch,
  Records,
  RecordState,
  Scheduler,
  StoredRecord,
  Turn,
  WriteOutcome,
} from "./types.ts";

/** After another leader took the records, they are opened again so late. */
const RETRY_OUTRANKED_MS = 2_000;
/** While recorded jobs run, the hold on the records is shown so often. */
const CONFIRM_EVERY_MS = 500;
/** The part whose writes show the hold where nothing else is written. */
const CONFIRM_PART = 0;

/** Opens the records, and shows from time to time that they are held. */
export function checkRecords(turn: Turn, scheduler: Scheduler): void {
  const { state } = turn;
  const { records } = scheduler;
  if (records.phase === "closed") {
    if (state.nowMs < records.retryAtMs || !seesMajority(state)) return;
    if (recordsLead(state)?.instanceId !== state.self.instanceId) return;
    records.phase = "opening";
    emit(turn, { type: "openRecords", term: records.term });
    return;
  }
  if (records.phase !== "open") return;
  if (!mayBeHeldTwice(state, records)) releaseEnds(records.delayedEnds);
  confirmHold(turn, scheduler);
}

/**
 * Whether the holder before may not know yet that it lost the records: a task
 * of which the workers forgot the end could be started by it again.
 */
function mayBeHeldTwice(state: EngineState, records: Records): boolean {
  return state.nowMs - records.openedAtMs < CONFIRM_WITHIN_MS;
}

function confirmHold(turn: Turn, scheduler: Scheduler): void {
  const { state } = turn;
  const { records } = scheduler;
  const unconfirmedMs = state.nowMs - records.confirmedAtMs;
  if (unconfirmedMs < CONFIRM_EVERY_MS) return;
  if (!hasRecordedRuns(scheduler)) return;
  if (unconfirmedMs >= CONFIRM_WITHIN_MS && hasMissingPeers(state)) {
    dropRecords(turn, scheduler, "the store did not confirm the hold");
    return;
  }
  if (records.writes.has(CONFIRM_PART) || state.nowMs < records.retryAtMs) {
    return;
  }
  writeRows(turn, records, { part: CONFIRM_PART, rows: [], jobs: [] });
}

function hasRecordedRuns(scheduler: Scheduler): boolean {
  for (const job of scheduler.jobs.values()) {
    if (job.record !== null && job.begun && job.outcome === null) return true;
  }
  return false;
}

/** Takes over what a row tells of a job that this leader wrote before. */
function adoptRow(
  job: Job,
  record: RecordState,
  { record: row, version }: StoredRecord,
): void {
  record.version = version;
  record.sent = true;
  // An attempt that was refused before is overwritten by this one.
  if (row.outcome?.kind === "refused" && job.outcome === null) return;
  mergeRecord(job, row);
}

/** The record of a job is kept: its callers are told, and it begins. */
function acceptJob(turn: Turn, job: Job, record: RecordState): void {
  record.accepted = true;
  turn.state.counters.jobsAccepted += 1;
  logDecision(turn, { part: "records", text: "job accepted" }, {
    jobId: job.jobId,
    version: record.version,
    waitedMs: Math.round(turn.state.nowMs - job.receivedAtMs),
  });
  const { jobId } = job;
  for (const [entryId, submissionId] of job.entries) {
    sendPeer(turn, entryId, { type: "jobAccepted", jobId, submissionId });
  }
  openSteps(job);
  beginJob(turn, job);
}

interface WriteContext {
  readonly scheduler: Scheduler;
  readonly batch: RecordBatch;
}

type WriteHandlers = {
  [K in WriteOutcome["kind"]]: (
    turn: Turn,
    context: WriteContext,
    outcome: Extract<WriteOutcome, { kind: K }>,
  ) => void;
};

const writeHandlers: WriteHandlers = {
  written: (turn, { scheduler, batch }, { version }) => {
    noteConfirmed(turn.state, scheduler.records);
    for (const [index, job] of batch.jobs.entries()) {
      const outcome = batch.outcomes[index] ?? null;
      onJobWritten(turn, scheduler, { job, outcome, version });
    }
  },
  changed: (turn, { scheduler, batch }, { records: rows }) => {
    noteConfirmed(turn.state, scheduler.records);
    for (const job of batch.jobs) {
      if (job.record === null) continue;
      const row = rows.find(({ record }) => record.jobId === job.jobId);
      if (row === undefined) job.record.version = 0;
      else adoptRow(job, job.record, row);
      keepEnds(job.record);
      markDirty(scheduler, job);
    }
  },
  outranked: (turn, { scheduler }) =>
    dropRecords(turn, scheduler, "a leader of a higher term took them"),
  unknown: ({ state }, { scheduler, batch }) => {
    const { records } = scheduler;
    if (records.awaySinceMs === 0) records.awaySinceMs = state.nowMs;
    records.retryAtMs = state.nowMs + RETRY_WRITE_MS;
    for (const job of batch.jobs) {
      if (job.record === null) continue;
      keepEnds(job.record);
      markDirty(scheduler, job);
    }
  },
};

function noteConfirmed(state: EngineState, records: Records): void {
  records.awaySinceMs = 0;
  records.confirmedAtMs = state.nowMs;
}

function onJobWritten(
  turn: Turn,
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
  if (mayBeHeldTwice(turn.state, records)) {
    records.delayedEnds.push(...record.writtenEnds);
    record.writtenEnds = [];
  } else releaseEnds(record.writtenEnds);
  record.version = version;
  if (record.removing) {
    if (scheduler.jobs.get(job.jobId) === job) scheduler.jobs.delete(job.jobId);
    return;
  }
  if (outcome !== null && record.storedOutcome === null) {
    record.storedOutcome = outcome;
    record.accepted = true;
    scheduler.records.kept.push(job);
    tellEnded(turn, job, outcome);
    return;
  }
  if (!record.accepted && job.outcome === null) acceptJob(turn, job, record);
}

/** Some records were written, or could not be. */
export function onRecordsWritten(
  turn: Turn,
  { writeId, outcome }: EngineEventOf<"recordsWritten">,
): void {
  const { scheduler } = turn.state;
  if (scheduler === null) return;
  for (const [part, batch] of scheduler.records.writes) {
    if (batch.writeId !== writeId) continue;
    scheduler.records.writes.delete(part);
    if (outcome.kind !== "written") logUnwritten(turn, batch, outcome);
    const handler = writeHandlers[outcome.kind] as (
      turn: Turn,
      context: WriteContext,
      outcome: WriteOutcome,
    ) => void;
    handler(turn, { scheduler, batch }, outcome);
    return;
  }
}

function logUnwritten(
  turn: Turn,
  { jobs, writeId }: RecordBatch,
  outcome: WriteOutcome,
): void {
  logDecision(turn, {
    level: "warn",
    part: "records",
    text: "records were not written",
  }, {
    writeId,
    reason: outcome.kind,
    detail: outcome.kind === "unknown" ? outcome.detail : "",
    jobIds: jobs.slice(0, 5).map((job) => job.jobId),
    jobs: jobs.length,
  });
}

/** Another leader may go on with recorded jobs: nothing of them runs here. */
function dropRecords(turn: Turn, scheduler: Scheduler, reason: string): void {
  const { state } = turn;
  const jobs = [...scheduler.jobs.values()].filter((job) =>
    job.record !== null
  );
  logDecision(turn, {
    level: "warn",
    part: "records",
    text: "the records are another leader's",
  }, { reason, jobs: jobs.length, term: scheduler.records.term });
  for (const job of jobs) {
    dequeue(scheduler, job);
    stopRunsOf(turn, scheduler, job);
    scheduler.jobs.delete(job.jobId);
    if (job.outcome !== null) continue;
    job.outcome = { kind: "unknown", reason: "leaderLost" };
    tellEnded(turn, job, job.outcome);
  }
  scheduler.records = {
    ...createRecords(nextTerm(state)),
    retryAtMs: state.nowMs + RETRY_OUTRANKED_MS,
  };
  for (const worker of scheduler.workers.values()) {
    disownRecordedRuns(worker);
    if (worker.heldEnds.size === 0) continue;
    // Whoever holds the records has to see these ends.
    worker.takenEnd = Math.min(...worker.heldEnds) - 1;
    worker.heldEnds = new Set();
    worker.orphanEnds = [];
  }
}

/** Ends of runs whose records are gone are for whoever reads these next. */
function disownRecordedRuns(worker: OwnedWorker): void {
  for (const run of worker.runs.values()) {
    if (run.job?.record == null) continue;
    run.job = null;
    run.task = null;
  }
}
