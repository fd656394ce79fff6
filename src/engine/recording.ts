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
import { emit, logDecision, sendPeer } from "./effects.ts";
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

/** After another leader took the records, they are opened again so late. */
const RETRY_OUTRANKED_MS = 2_000;
/** While recorded jobs run, the hold on the records is shown so often. */
const CONFIRM_EVERY_MS = 500;
/** The part whose writes show the hold where nothing else is written. */
const CONFIRM_PART = 0;

/** Opens the records, and shows from time to time that they are held. */
export function checkRecords(
  context: ReduceContext,
  scheduler: Scheduler,
): void {
  const { state } = context;
  const { records } = scheduler;
  if (records.phase === "closed") {
    if (state.nowMs < records.retryAtMs || !seesMajority(state)) return;
    if (recordsLead(state)?.instanceId !== state.self.instanceId) return;
    records.phase = "opening";
    emit(context, { type: "openRecords", term: records.term });
    return;
  }
  if (records.phase !== "open") return;
  if (!mayBeHeldTwice(state, records)) releaseEnds(records.delayedCompletions);
  confirmHold(context, scheduler);
}

/**
 * Whether the holder before may not know yet that it lost the records: a task
 * of which the workers forgot the end could be started by it again.
 */
function mayBeHeldTwice(
  state: EngineState,
  records: RecordStoreState,
): boolean {
  return state.nowMs - records.openedAtMs < CONFIRM_WITHIN_MS;
}

function confirmHold(context: ReduceContext, scheduler: Scheduler): void {
  const { state } = context;
  const { records } = scheduler;
  const unconfirmedMs = state.nowMs - records.confirmedAtMs;
  if (unconfirmedMs < CONFIRM_EVERY_MS) return;
  if (!hasRecordedRuns(scheduler)) return;
  if (unconfirmedMs >= CONFIRM_WITHIN_MS && hasMissingPeers(state)) {
    dropRecords(context, scheduler, "the store did not confirm the hold");
    return;
  }
  if (
    records.inFlightWrites.has(CONFIRM_PART) || state.nowMs < records.retryAtMs
  ) {
    return;
  }
  writeRows(context, records, { part: CONFIRM_PART, rows: [], jobs: [] });
}

function hasRecordedRuns(scheduler: Scheduler): boolean {
  for (const job of scheduler.jobs.values()) {
    if (job.record !== null && job.mayHaveStarted && job.outcome === null) {
      return true;
    }
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
  record.writeSent = true;
  // An attempt that was refused before is overwritten by this one.
  if (row.outcome?.kind === "refused" && job.outcome === null) return;
  mergeRecord(job, row);
}

/** The record of a job is kept: its callers are told, and it begins. */
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
  openSteps(job);
  beginJob(context, job);
}

interface WriteContext {
  readonly scheduler: Scheduler;
  readonly batch: RecordBatch;
}

type WriteHandlers = {
  [K in WriteOutcome["kind"]]: (
    context: ReduceContext,
    write: WriteContext,
    outcome: Extract<WriteOutcome, { kind: K }>,
  ) => void;
};

const writeHandlers: WriteHandlers = {
  written: (context, { scheduler, batch }, { version }) => {
    noteConfirmed(context.state, scheduler.records);
    for (const [index, job] of batch.jobs.entries()) {
      const outcome = batch.outcomes[index] ?? null;
      onJobWritten(context, scheduler, { job, outcome, version });
    }
  },
  changed: (context, { scheduler, batch }, { records: rows }) => {
    noteConfirmed(context.state, scheduler.records);
    for (const job of batch.jobs) {
      if (job.record === null) continue;
      const row = rows.find(({ record }) => record.jobId === job.jobId);
      if (row === undefined) job.record.version = 0;
      else adoptRow(job, job.record, row);
      keepEnds(job.record);
      markDirty(scheduler, job);
    }
  },
  outranked: (context, { scheduler }) =>
    dropRecords(context, scheduler, "a leader of a higher term took them"),
  unknown: ({ state }, { scheduler, batch }) => {
    const { records } = scheduler;
    if (records.unavailableSinceMs === 0) {
      records.unavailableSinceMs = state.nowMs;
    }
    records.retryAtMs = state.nowMs + RETRY_WRITE_MS;
    for (const job of batch.jobs) {
      if (job.record === null) continue;
      keepEnds(job.record);
      markDirty(scheduler, job);
    }
  },
};

function noteConfirmed(state: EngineState, records: RecordStoreState): void {
  records.unavailableSinceMs = 0;
  records.confirmedAtMs = state.nowMs;
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
  if (mayBeHeldTwice(context.state, records)) {
    records.delayedCompletions.push(...record.inFlightCompletions);
    record.inFlightCompletions = [];
  } else releaseEnds(record.inFlightCompletions);
  record.version = version;
  if (record.removing) {
    if (scheduler.jobs.get(job.jobId) === job) scheduler.jobs.delete(job.jobId);
    return;
  }
  if (outcome !== null && record.storedOutcome === null) {
    record.storedOutcome = outcome;
    record.accepted = true;
    scheduler.records.retainedJobs.push(job);
    tellEnded(context, job, outcome);
    return;
  }
  if (!record.accepted && job.outcome === null) acceptJob(context, job, record);
}

/** Some records were written, or could not be. */
export function onRecordsWritten(
  context: ReduceContext,
  { writeId, outcome }: EngineEventOf<"recordsWritten">,
): void {
  const { scheduler } = context.state;
  if (scheduler === null) return;
  for (const [part, batch] of scheduler.records.inFlightWrites) {
    if (batch.writeId !== writeId) continue;
    scheduler.records.inFlightWrites.delete(part);
    if (outcome.kind !== "written") logUnwritten(context, batch, outcome);
    const handler = writeHandlers[outcome.kind] as (
      context: ReduceContext,
      write: WriteContext,
      outcome: WriteOutcome,
    ) => void;
    handler(context, { scheduler, batch }, outcome);
    return;
  }
}

function logUnwritten(
  context: ReduceContext,
  { jobs, writeId }: RecordBatch,
  outcome: WriteOutcome,
): void {
  logDecision(context, {
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
function dropRecords(
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
    text: "the records are another leader's",
  }, { reason, jobs: jobs.length, term: scheduler.records.term });
  for (const job of jobs) {
    dequeue(scheduler, job);
    stopRunsOf(context, scheduler, job);
    scheduler.jobs.delete(job.jobId);
    if (job.outcome !== null) continue;
    job.outcome = { kind: "unknown", reason: "leaderLost" };
    tellEnded(context, job, job.outcome);
  }
  scheduler.records = {
    ...createRecords(nextTerm(state)),
    retryAtMs: state.nowMs + RETRY_OUTRANKED_MS,
  };
  for (const worker of scheduler.workers.values()) {
    disownRecordedRuns(worker);
    if (worker.retainedSequences.size === 0) continue;
    // Whoever holds the records has to see these ends.
    worker.processedSequence = Math.min(...worker.retainedSequences) - 1;
    worker.retainedSequences = new Set();
    worker.orphanCompletions = [];
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
