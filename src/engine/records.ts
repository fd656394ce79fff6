/**
 * Records of jobs in the store. A job that is to outlive the instances is kept
 * before anything of it begins; its ends are kept before workers forget them.
 * Writes are collected: one is under way for each part, and carries whatever
 * changed since the one before.
 */

import { hashText } from "./hash.ts";
import type { JobRecord } from "./schemas.ts";
import { emit } from "./turn.ts";
import type {
  HeldEnd,
  Job,
  RecordBatch,
  Records,
  RecordState,
  RecordWrite,
  Scheduler,
  Turn,
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
export function createRecords(term: number): Records {
  return {
    term,
    phase: "closed",
    retryAtMs: 0,
    awaySinceMs: 0,
    openedAtMs: 0,
    delayedEnds: [],
    confirmedAtMs: 0,
    dirty: new Map(),
    writes: new Map(),
    kept: [],
  };
}

/** What is known of the record of a job that has none yet. */
export function createRecordState(acceptedAtMs: number): RecordState {
  return {
    version: 0,
    accepted: false,
    storedOutcome: null,
    sent: false,
    removing: false,
    heldEnds: [],
    writtenEnds: [],
    acceptedAtMs,
    endedAtMs: 0,
    cancels: [],
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
  { job, end }: { job: Job; end: HeldEnd },
): void {
  end.heldEnds.add(end.sequence);
  record.heldEnds.push(end);
  markDirty(scheduler, job);
}

/** Starts the writes that are due, one a part at most. */
export function flushRecords(turn: Turn): void {
  const { state } = turn;
  const { scheduler } = state;
  if (scheduler === null || scheduler.records.phase !== "open") return;
  const { records } = scheduler;
  if (records.dirty.size === 0 || state.nowMs < records.retryAtMs) return;
  for (const [part, jobs] of records.dirty) {
    if (!records.writes.has(part)) writePart(turn, records, { part, jobs });
  }
}

function writePart(
  turn: Turn,
  records: Records,
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
    record.sent = true;
    record.writtenEnds = record.heldEnds;
    record.heldEnds = [];
    taken.push(job);
    rows.push({
      jobId: job.jobId,
      expectedVersion: record.version,
      record: content,
    });
  }
  if (jobs.size === 0) records.dirty.delete(part);
  if (rows.length === 0) return;
  writeRows(turn, records, { part, rows, jobs: taken });
}

/** Sends a write; one without rows only shows whether this leader may write. */
export function writeRows(
  turn: Turn,
  records: Records,
  { part, rows, jobs }: {
    part: number;
    rows: readonly RecordWrite[];
    jobs: readonly Job[];
  },
): void {
  const { state } = turn;
  state.nextWriteId += 1;
  state.counters.recordWrites += 1;
  const batch: RecordBatch = {
    writeId: state.nextWriteId,
    jobs,
    outcomes: jobs.map((job) => job.outcome),
  };
  records.writes.set(part, batch);
  emit(turn, { type: "writeRecords", writeId: batch.writeId, part, rows });
}

/** The workers may forget some ends. */
export function releaseEnds(ends: HeldEnd[]): void {
  for (const { heldEnds, sequence } of ends) heldEnds.delete(sequence);
  ends.splice(0);
}

/** The ends that a failed write carried go with the next one. */
export function keepEnds(record: RecordState): void {
  record.heldEnds = [...record.writtenEnds, ...record.heldEnds];
  record.writtenEnds = [];
}
