/**
 * What the record of a job contains, and how large it can get. A row of the store
 * has a maximum size, so the record must fit whatever becomes of the job's tasks.
 */

import { setTaskState } from "./job_state.ts";
import type { JobRecord } from "./schemas.ts";
import type { Job, RecordState, Task } from "./types.ts";

/**
 * Maximum size of a record's JSON text in UTF-8. The store accepts 65,536 bytes
 * of base64 in a row.
 */
export const MAX_RECORD_BYTES = 48_000;
/** Number of tasks that are done up to which the record lists their indexes. */
const MAX_LISTED_DONE = 256;
/** Size of an index in a list. */
const INDEX_BYTES = 6;
/** Size of the counts of one task: its failures, crashes and unresolved losses. */
const TROUBLE_BYTES = 36;
/** Size of an outcome and of the time of the end. */
const OUTCOME_BYTES = 256;
/**
 * Number of unfinished tasks of a job with such counts from which on no other of
 * its tasks starts.
 */
const MAX_TROUBLED = 256;
/** Number of tasks of a recorded job that are placed at a time. */
const MAX_PLACED = 512;

/** Returns the record of a job without its progress and what its tasks returned. */
function reducedRecordOf(job: Job, record: RecordState): JobRecord {
  const { jobId, queue, spec, outcome } = job;
  return {
    jobId,
    queue,
    job: spec,
    acceptedAtMs: record.acceptedAtMs,
    outcome: outcome?.kind === "done" ? { kind: "done" } : outcome,
    endedAtMs: record.endedAtMs,
    done: [],
    failures: {},
    results: {},
  };
}

/** Returns the record to store for a job in its present state. */
export function recordOf(job: Job, record: RecordState): JobRecord {
  const reduced = reducedRecordOf(job, record);
  if (record.isReduced) return reduced;
  const failures: Record<string, number> = {};
  const crashes: Record<string, number> = {};
  const unresolvedLosses: Record<string, number> = {};
  const results: Record<string, string> = {};
  const done: number[] = [];
  for (const task of job.tasks) {
    if (task.result !== null) results[task.index] = task.result;
    if (task.state === "done") {
      done.push(task.index);
      continue;
    }
    if (task.failures > 0) failures[task.index] = task.failures;
    if (task.crashes > 0) crashes[task.index] = task.crashes;
    if (task.unresolvedLosses > 0) {
      unresolvedLosses[task.index] = task.unresolvedLosses;
    }
  }
  return {
    ...reduced,
    outcome: job.outcome,
    ...encodeDone(done, job.tasks.length),
    failures,
    ...(isEmpty(crashes) ? {} : { crashes }),
    ...(isEmpty(unresolvedLosses) ? {} : { unresolvedLosses }),
    results,
  };
}

function isEmpty(counts: Record<string, number>): boolean {
  return Object.keys(counts).length === 0;
}

/** Returns the indexes of done tasks as a list, or as bits if they are many. */
function encodeDone(
  done: readonly number[],
  taskCount: number,
): Pick<JobRecord, "done" | "doneBits"> {
  if (done.length <= MAX_LISTED_DONE) return { done: [...done] };
  const bits = new Uint8Array(Math.ceil(taskCount / 8));
  for (const index of done) {
    bits[index >> 3] = (bits[index >> 3] ?? 0) | 1 << (index & 7);
  }
  return { done: [], doneBits: Buffer.from(bits).toString("base64") };
}

/** Returns a function that tells whether a record shows a task as done. */
function createDoneCheck(
  { done, doneBits = "" }: JobRecord,
): (index: number) => boolean {
  const listed = new Set(done);
  const bits = Buffer.from(doneBits, "base64");
  return (index) =>
    listed.has(index) || ((bits[index >> 3] ?? 0) & 1 << (index & 7)) !== 0;
}

/** Returns the size of a record as the store counts it before its encoding. */
export function recordBytes(record: JobRecord): number {
  return Buffer.byteLength(JSON.stringify(record));
}

/** Returns an upper bound on the number of tasks whose counts a record has. */
export function countTroubled(
  { failures, crashes = {}, unresolvedLosses = {} }: JobRecord,
): number {
  return [failures, crashes, unresolvedLosses]
    .reduce((sum, counts) => sum + Object.keys(counts).length, 0);
}

/**
 * Returns the largest size that the record of a job can have. Values that its
 * tasks return are not included.
 */
export function maxRecordBytes(job: Job, record: RecordState): number {
  const taskCount = job.tasks.length;
  const listBytes = INDEX_BYTES * Math.min(MAX_LISTED_DONE, taskCount);
  const doneBytes = Math.max(listBytes, Math.ceil(taskCount / 6));
  const troubled = Math.min(MAX_TROUBLED + MAX_PLACED, taskCount);
  const growthBytes = doneBytes + TROUBLE_BYTES * troubled + OUTCOME_BYTES;
  return recordBytes(recordOf(job, record)) + growthBytes;
}

/**
 * Whether no further task of a job may be placed: should many runs fail at the
 * same time, the record would outgrow its row.
 */
export function isPlacedEnough({ record, placedCount }: Job): boolean {
  return record !== null && placedCount >= MAX_PLACED;
}

/** Whether the record of a job has room for the counts of a task. */
export function hasRoomForCounts({ record }: Job, task: Task): boolean {
  if (record === null) return true;
  const isTroubled = task.failures + task.crashes + task.unresolvedLosses > 0;
  return isTroubled || record.troubledCount < MAX_TROUBLED;
}

/** Merges the progress and the outcome in a stored record into its job. */
export function mergeRecord(job: Job, stored: JobRecord): void {
  const { record } = job;
  if (record === null) return;
  const isDone = createDoneCheck(stored);
  for (const task of job.tasks) {
    task.failures = Math.max(task.failures, stored.failures[task.index] ?? 0);
    task.result ??= stored.results[task.index] ?? null;
    // Which workers these losses concern is not known any more, so nothing will
    // show whether they crashed. One more crash gives the task up.
    const crashes = (stored.crashes?.[task.index] ?? 0) +
      (stored.unresolvedLosses?.[task.index] ?? 0);
    task.crashes = Math.max(task.crashes, crashes);
    task.runsAlone = task.crashes > 0;
    if (isDone(task.index)) setTaskState(job, task, "done");
  }
  record.troubledCount = countTroubled(stored);
  if (stored.outcome === null) return;
  job.outcome ??= stored.outcome;
  record.storedOutcome = stored.outcome;
  record.endedAtMs = stored.endedAtMs;
}
