/**
 * Records of jobs in the store. A job that is to outlive the instances is kept
 * before anything of it begins; its ends are kept before workers forget them.
 * Writes are collected: one is under way for each part, and carries whatever
 * changed since the one before.
 */

import { hashText } from "./hash.ts";
import type { JobRecord } from "./schemas.ts";
import { emit } from "./effects.ts";
import type {
  Job,
  RecordBatch,
  RecordState,
  RecordStoreState,
  RecordWrite,
  ReduceContext,
  RetainedCompletion,
  Scheduler,
} from "./types.ts";

/** Parts of the table of records; each takes one transaction at a time. */
export const RECORD_PARTS = 4;
/** Records of one transaction: the store takes 100 entries, two a record. */
const MAX_BATCH_RECORDS = 40;
/** The longest record, below the store's limit for a row. */
const MAX_RECORD_BYTES = 44_000;
/** The longest content of one transaction, below the store's limit. */
const MAX_BATCH_BYTES = 600_000;
/** A hold that was not shown for so long may be another leader's. */
export const CONFIRM_WITHIN_MS = 1_500;
/** A write that failed is sent again after so long. */
export const RETRY_WRITE_MS = 120;

/** The records of a leader that has just begun. */
export function createRecords(term: number): RecordStoreState {
  return {
    term,
    phase: "closed",
    retryAtMs: 0,
    unavailableSinceMs: 0,
    openedAtMs: 0,
    delayedCompletions: [],
    confirmedAtMs: 0,
    dirty: new Map(),
    inFlightWrites: new Map(),
    retainedJobs: [],
  };
}

/** What is known of the record of a job that has none yet. */
export function createRecordState(acceptedAtMs: number): RecordState {
  return {
    version: 0,
    accepted: false,
    storedOutcome: null,
    writeSent: false,
    removing: false,
    pendingCompletions: [],
    inFlightCompletions: [],
    acceptedAtMs,
    endedAtMs: 0,
    cancelRequests: [],
  };
}

/** The part of the table that holds a job's record. */
export function partOf(jobId: string): number {
  return hashText(jobId) % RECORD_PARTS;
}

/** What the store is to hold of a job now. */
export function recordOf(job: Job, record: RecordState): JobRecord {
  const failures: Record<string, number> = {};
  const results: Record<string, string> = {};
  const done: number[] = [];
  for (const task of job.tasks) {
    if (task.state === "done") done.push(task.index);
    if (task.failures > 0) failures[task.index] = task.failures;
    if (task.result !== null) results[task.index] = task.result;
  }
  return {
    jobId: job.jobId,
    queue: job.queue,
    job: job.spec,
    acceptedAtMs: record.acceptedAtMs,
    outcome: job.outcome,
    endedAtMs: record.endedAtMs,
    done,
    failures,
    results,
  };
}

/** Whether a record of the job fits a row of the store. */
export function fitsRow(job: Job, record: RecordState): boolean {
  return JSON.stringify(recordOf(job, record)).length <= MAX_RECORD_BYTES;
}

/** Takes over what a record tells beyond what is known here. */
export function mergeRecord(job: Job, known: JobRecord): void {
  const { record } = job;
  if (record === null) return;
  const done = new Set(known.done);
  for (const task of job.tasks) {
    task.failures = Math.max(task.failures, known.failures[task.index] ?? 0);
    task.result ??= known.results[task.index] ?? null;
    if (!done.has(task.index) || task.state === "done") continue;
    task.state = "done";
    job.unfinished -= 1;
  }
  if (known.outcome === null) return;
  job.outcome ??= known.outcome;
  record.storedOutcome = known.outcome;
  record.endedAtMs = known.endedAtMs;
}

/** Has a job's record written with the next write of its part. */
export function markDirty(scheduler: Scheduler, job: Job): void {
  const { dirty } = scheduler.records;
  const part = partOf(job.jobId);
  const jobs = dirty.get(part);
  if (jobs === undefined) dirty.set(part, new Set([job]));
  else jobs.add(job);
}

/** Has a worker keep an end until the job's record tells of it. */
export function holdEnd(
  scheduler: Scheduler,
  record: RecordState,
  { job, end }: { job: Job; end: RetainedCompletion },
): void {
  end.retainedSequences.add(end.sequence);
  record.pendingCompletions.push(end);
  markDirty(scheduler, job);
}

/** Starts the writes that are due, one a part at most. */
export function flushRecords(context: ReduceContext): void {
  const { state } = context;
  const { scheduler } = state;
  if (scheduler === null || scheduler.records.phase !== "open") return;
  const { records } = scheduler;
  if (records.dirty.size === 0 || state.nowMs < records.retryAtMs) return;
  for (const [part, jobs] of records.dirty) {
    if (!records.inFlightWrites.has(part)) {
      writePart(context, records, { part, jobs });
    }
  }
}

function writePart(
  context: ReduceContext,
  records: RecordStoreState,
  { part, jobs }: { part: number; jobs: Set<Job> },
): void {
  const taken: Job[] = [];
  const rows: RecordWrite[] = [];
  let bytes = 0;
  for (const job of jobs) {
    const { record } = job;
    if (rows.length >= MAX_BATCH_RECORDS || bytes > MAX_BATCH_BYTES) break;
    jobs.delete(job);
    if (record === null) continue;
    const content = record.removing ? null : recordOf(job, record);
    bytes += content === null ? 0 : JSON.stringify(content).length;
    record.writeSent = true;
    record.inFlightCompletions = record.pendingCompletions;
    record.pendingCompletions = [];
    taken.push(job);
    rows.push({
      jobId: job.jobId,
      expectedVersion: record.version,
      record: content,
    });
  }
  if (jobs.size === 0) records.dirty.delete(part);
  if (rows.length === 0) return;
  writeRows(context, records, { part, rows, jobs: taken });
}

/** Sends a write; one without rows only shows whether this leader may write. */
export function writeRows(
  context: ReduceContext,
  records: RecordStoreState,
  { part, rows, jobs }: {
    part: number;
    rows: readonly RecordWrite[];
    jobs: readonly Job[];
  },
): void {
  const { state } = context;
  state.nextWriteId += 1;
  state.counters.recordWrites += 1;
  const batch: RecordBatch = {
    writeId: state.nextWriteId,
    jobs,
    outcomes: jobs.map((job) => job.outcome),
  };
  records.inFlightWrites.set(part, batch);
  emit(context, { type: "writeRecords", writeId: batch.writeId, part, rows });
}

/** The workers may forget some ends. */
export function releaseEnds(ends: RetainedCompletion[]): void {
  for (const { retainedSequences, sequence } of ends) {
    retainedSequences.delete(sequence);
  }
  ends.splice(0);
}

/** The ends that a failed write carried go with the next one. */
export function keepEnds(record: RecordState): void {
  record.pendingCompletions = [
    ...record.inFlightCompletions,
    ...record.pendingCompletions,
  ];
  record.inFlightCompletions = [];
}
