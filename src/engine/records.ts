/**
 * Job records in the store. A recorded job is persisted before any of its tasks
 * starts, and completions of its tasks are persisted before workers discard
 * them. Changes are batched: each part of the records table has at most one
 * write in flight, and the next one includes what changed in the meantime.
 */

import { emit } from "./effects.ts";
import { hashText } from "./hash.ts";
import { isolateJob } from "./job_faults.ts";
import { hasSilentZone } from "./leader_lookup.ts";
import { hasLostPeers, mayHaveRival } from "./membership.ts";
import { countTroubled, recordBytes, recordOf } from "./record_content.ts";
import type { JobRecord } from "./schemas.ts";
import type {
  EngineState,
  HolderWatch,
  Job,
  RecordBatch,
  RecordsAbsence,
  RecordState,
  RecordStoreState,
  RecordWrite,
  ReduceContext,
  RetainedCompletion,
  Scheduler,
} from "./types.ts";

/** Number of parts of the records table, which are written independently. */
export const RECORD_PARTS = 4;
/** The numbers of all parts. */
export const RECORD_PART_NUMBERS: readonly number[] = Array.from(
  { length: RECORD_PARTS },
  (_, part) => part,
);
/**
 * The part of the empty writes that confirm ownership. Each write to it updates
 * its holder row, by which other leaders see that the owner is alive. All parts
 * have the same owner but for the time of a takeover.
 */
export const WATCHED_PART = 0;
/**
 * Maximum number of records in one transaction. The store accepts 100 items
 * per transaction, and each record takes two: its expected version, and its
 * write or removal.
 */
const MAX_BATCH_RECORDS = 40;
/**
 * Total size of records beyond which a transaction takes no further record. The
 * store accepts 1 MB of base64, with a record more.
 */
const BATCH_BYTES_THRESHOLD = 600_000;
/**
 * Time without a confirmation from the store after which another leader may own
 * the records. An owner that can't rule this out relinquishes them.
 */
export const OWNERSHIP_CONFIRM_TIMEOUT_MS = 1_500;
/** Interval at which an owner confirms its ownership with an empty write. */
export const OWNERSHIP_CONFIRM_INTERVAL_MS = 500;
/** Delay before writing again after a write whose outcome is unknown. */
export const WRITE_RETRY_DELAY_MS = 120;

function createHolderWatch(): HolderWatch {
  return {
    nextReadAtMs: 0,
    readSentAtMs: 0,
    hasChanged: false,
    version: null,
    firstSeenAtMs: 0,
    lastSeenAtMs: 0,
    isAbsent: false,
  };
}

function createRecordsAbsence(): RecordsAbsence {
  return { provedAtMs: -Infinity, nextCheckAtMs: 0 };
}

/** Returns the state of the records for a term that has not opened them. */
export function createRecordStoreState(term: number): RecordStoreState {
  return {
    term,
    phase: "closed",
    retryAtMs: 0,
    unavailableSinceMs: 0,
    holderWatch: createHolderWatch(),
    absence: createRecordsAbsence(),
    wasReplaced: false,
    isOwner: false,
    openedAtMs: 0,
    abandonedVersion: null,
    previousConfirmedAtMs: 0,
    restoration: null,
    resuming: [],
    delayedCompletions: [],
    delayedReplies: [],
    confirmedAtMs: 0,
    publishedAtMs: 0,
    confirmWantedSinceMs: null,
    dirty: new Map(),
    divided: new Map(),
    inFlightWrites: new Map(),
    retainedJobs: [],
  };
}

/** Returns the state of a record that has not been written. */
export function createRecordState(acceptedAtMs: number): RecordState {
  return {
    version: 0,
    accepted: false,
    storedOutcome: null,
    mayExist: false,
    removing: false,
    pendingCompletions: [],
    inFlightCompletions: [],
    acceptedAtMs,
    endedAtMs: 0,
    isRestored: false,
    isReduced: false,
    troubledCount: 0,
    cancelRequests: [],
  };
}

/**
 * Whether this leader can tell that a job which it doesn't know has no record. It
 * can't before it has read the records, nor while another leader may own them by
 * now and the store has not confirmed otherwise.
 */
export function knowsAllRecords(
  state: EngineState,
  { records }: Scheduler,
): boolean {
  if (records.phase !== "open") return false;
  if (!mayHaveOtherOwner(state)) return true;
  return records.unavailableSinceMs === 0 &&
    state.nowMs - records.confirmedAtMs < OWNERSHIP_CONFIRM_INTERVAL_MS;
}

/**
 * Whether another leader may take over the records, or have done so, without
 * this owner being asked: one that this owner doesn't hear may not hear it.
 */
export function mayHaveOtherOwner(state: EngineState): boolean {
  return mayHaveRival(state) ||
    state.guards.mayHaveDistantRival(
      hasSilentZone(state) || hasLostPeers(state),
    );
}

/**
 * Whether the previous owner may not know yet that it lost the records, and may
 * start tasks of recorded jobs again: also those of which a completion is
 * discarded or the cancellation is recorded.
 */
export function mayHaveTwoOwners(
  { nowMs, guards }: EngineState,
  { previousConfirmedAtMs }: RecordStoreState,
): boolean {
  return guards.mayHaveTwoOwners(nowMs, previousConfirmedAtMs);
}

/** Returns the part of the records table that contains a job's record. */
export function partOf(jobId: string): number {
  return hashText(jobId) % RECORD_PARTS;
}

/** Marks a job's record to be included in a following write of its part. */
export function markDirty(scheduler: Scheduler, job: Job): void {
  const { dirty } = scheduler.records;
  const part = partOf(job.jobId);
  const jobs = dirty.get(part);
  if (jobs === undefined) dirty.set(part, new Set([job]));
  else jobs.add(job);
}

/** Whether a job's row may be written; see `guards.ts`. */
function mayWrite({ guards, scheduler }: EngineState, job: Job): boolean {
  return guards.mayWriteRecord(job, scheduler?.jobs.get(job.jobId));
}

/** Leaves out a job that has ended from the following writes, if it must be. */
export function discardUnwritable(state: EngineState, job: Job): void {
  if (mayWrite(state, job)) return;
  state.scheduler?.records.dirty.get(partOf(job.jobId))?.delete(job);
}

/** Makes a worker retain a completion until the job's record includes it. */
export function retainCompletion(
  scheduler: Scheduler,
  record: RecordState,
  { job, completion }: { job: Job; completion: RetainedCompletion },
): void {
  completion.retainedSequences.add(completion.sequence);
  record.pendingCompletions.push(completion);
  markDirty(scheduler, job);
}

/**
 * Writes the records that have changed, if the records are open and no retry
 * delay is pending. Parts with a write in flight are skipped.
 */
export function flushRecords(context: ReduceContext): void {
  const { state } = context;
  const { scheduler } = state;
  if (scheduler === null || scheduler.records.phase !== "open") return;
  const { records } = scheduler;
  if (records.dirty.size === 0 || state.nowMs < records.retryAtMs) return;
  for (const [part, jobs] of records.dirty) {
    if (records.inFlightWrites.has(part)) continue;
    const batch = records.divided.get(part)?.shift() ?? jobs;
    writePart(context, records, { part, jobs, batch });
  }
}

/** Returns the new content of a job's row, and its size. */
function contentOf(
  job: Job,
  record: RecordState,
): { record: JobRecord | null; bytes: number } {
  if (record.removing) return { record: null, bytes: 0 };
  const content = recordOf(job, record);
  record.troubledCount = countTroubled(content);
  return { record: content, bytes: recordBytes(content) };
}

/** Writes the dirty jobs of a batch, as many as one transaction takes. */
function writePart(
  context: ReduceContext,
  records: RecordStoreState,
  { part, jobs, batch }: {
    part: number;
    /** The dirty jobs of the part. */
    jobs: Set<Job>;
    batch: Iterable<Job>;
  },
): void {
  const batchJobs: Job[] = [];
  const rows: RecordWrite[] = [];
  let batchBytes = 0;
  for (const job of batch) {
    const { record } = job;
    if (
      rows.length >= MAX_BATCH_RECORDS || batchBytes > BATCH_BYTES_THRESHOLD
    ) break;
    if (!jobs.delete(job)) continue;
    if (record === null || !mayWrite(context.state, job)) continue;
    const content = isolateJob(context, job, {
      stage: "persist",
      fallback: undefined,
      run: () => contentOf(job, record),
    });
    if (content === undefined) continue;
    batchBytes += content.bytes;
    record.mayExist = true;
    record.inFlightCompletions = record.pendingCompletions;
    record.pendingCompletions = [];
    batchJobs.push(job);
    rows.push({
      jobId: job.jobId,
      expectedVersion: record.version,
      record: content.record,
    });
  }
  if (jobs.size === 0) records.dirty.delete(part);
  if (rows.length === 0) return;
  writeRows(context, records, { part, rows, jobs: batchJobs });
}

/**
 * Sends a write. A write without rows only verifies that this leader still owns
 * the records.
 */
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
  state.lastWriteId += 1;
  state.counters.recordWrites += 1;
  const batch: RecordBatch = {
    writeId: state.lastWriteId,
    sentAtMs: state.nowMs,
    jobs,
    outcomes: jobs.map((job) => job.outcome),
  };
  records.inFlightWrites.set(part, batch);
  emit(context, { type: "writeRecords", writeId: batch.writeId, part, rows });
}

/** Allows workers to discard completions, and empties the list of them. */
export function releaseCompletions(completions: RetainedCompletion[]): void {
  for (const { retainedSequences, sequence } of completions) {
    retainedSequences.delete(sequence);
  }
  completions.splice(0);
}

/** Includes the completions of a failed write in the next one. */
export function requeueCompletions(record: RecordState): void {
  record.pendingCompletions = [
    ...record.inFlightCompletions,
    ...record.pendingCompletions,
  ];
  record.inFlightCompletions = [];
}
