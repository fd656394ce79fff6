/** What becomes of jobs as time passes: late, dropped, lost, forgotten. */

import { createWaits, refusalOf, type Waits } from "./admit.ts";
import { DROP_SILENT_MS, PAUSE_SILENT_MS } from "./former_runs.ts";
import { isBarred } from "./job_state.ts";
import { endJob } from "./jobs.ts";
import { mayRunElsewhere } from "./place.ts";
import { hasQueuedTasks, moveLate } from "./queue.ts";
import { markDirty } from "./records.ts";
import { storeRefusal } from "./submissions.ts";
import { logDecision } from "./effects.ts";
import type {
  EngineState,
  Job,
  JobOutcome,
  ReduceContext,
  Scheduler,
} from "./types.ts";

/** How long an ended job is remembered, for a caller that asks again. */
const ENDED_JOB_RETENTION_MS = 6_000;
/** How long the record of an ended job is kept: callers ask for 120 s. */
const RECORD_RETENTION_MS = 150_000;

/** Turns away what can't make it any more, and forgets old jobs. */
export function checkJobs(context: ReduceContext, scheduler: Scheduler): void {
  const { state } = context;
  const waits = createWaits(state, scheduler);
  for (const job of scheduler.jobs.values()) {
    if (job.outcome !== null) continue;
    if (checkJob(context, scheduler, { job, waits })) waits.reset();
  }
  discardEndedJobs(state, scheduler);
  removeExpiredRecords(state, scheduler);
}

/** Looks after one job; returns whether the queues have changed. */
function checkJob(
  context: ReduceContext,
  scheduler: Scheduler,
  { job, waits }: { job: Job; waits: Waits },
): boolean {
  const { state } = context;
  if (checkEntries(context, job)) return true;
  const outcome = recheckAdmission(context, scheduler, { job, waits }) ??
    lostOutcome(state, scheduler, job);
  if (outcome !== null) {
    endJob(context, job, outcome);
    return true;
  }
  const isMoved = noteLate(state, scheduler, job);
  if (state.nowMs < job.deadlineAtMs) return isMoved;
  endJob(context, job, { kind: "unknown", reason: "deadline" });
  return true;
}

/** The refusal of a job that waited in vain, or null. */
function recheckAdmission(
  context: ReduceContext,
  scheduler: Scheduler,
  { job, waits }: { job: Job; waits: Waits },
): JobOutcome | null {
  const { state } = context;
  if (!state.guards.mayRefuse(job)) return null;
  const { record } = job;
  if (record?.writeSent === true && state.nowMs < job.deadlineAtMs) return null;
  const storeOutcome = record === null ? null : storeRefusal(state, scheduler);
  if (storeOutcome !== null) return storeOutcome;
  if (record !== null && scheduler.records.phase !== "open") return null;
  const waitMs = waits.of(job);
  const refusal = refusalOf(state, job, waitMs);
  if (refusal === null) return null;
  logDecision(context, { part: "admit", text: "refused after waiting" }, {
    jobId: job.jobId,
    waitedMs: Math.round(state.nowMs - job.receivedAtMs),
    expectedWaitMs: Math.round(waitMs),
  });
  return refusal;
}

/**
 * What can't be in time must not hold up what can. Returns whether the job was
 * moved.
 */
export function noteLate(
  state: EngineState,
  scheduler: Scheduler,
  job: Job,
): boolean {
  if (job.isLate || !hasQueuedTasks(job)) return false;
  if (state.nowMs < job.objectiveAtMs) return false;
  moveLate(scheduler, job);
  return true;
}

/** A task that may have begun, and is found nowhere, is lost. */
function lostOutcome(
  state: EngineState,
  scheduler: Scheduler,
  job: Job,
): JobOutcome | null {
  const hasBarredTask = job.tasks.some((task) =>
    task.state === "queued" && isBarred(job, task)
  );
  if (!hasBarredTask || mayRunElsewhere(state, scheduler, job)) return null;
  return { kind: "unknown", reason: "taskLost" };
}

/**
 * Stops what runs for entries that went silent: across a cut they have handed
 * their jobs to another leader. Returns whether the job was dropped.
 */
function checkEntries(context: ReduceContext, job: Job): boolean {
  if (job.record !== null) return false;
  const silentMs = sinceEntriesHeardMs(context.state, job);
  job.paused = silentMs > PAUSE_SILENT_MS;
  if (silentMs <= DROP_SILENT_MS) return false;
  logDecision(context, { part: "jobs", text: "dropped: its entry is silent" }, {
    jobId: job.jobId,
    silentMs: Math.round(silentMs),
  });
  endJob(context, job, { kind: "unknown", reason: "leaderLost" });
  return true;
}

/**
 * How long all entries of a job have been out of reach. A refused connection
 * doesn't show that the process ended: some cuts refuse.
 */
function sinceEntriesHeardMs(state: EngineState, job: Job): number {
  let silentMs = Infinity;
  for (const entryId of job.submissionIdByEntry.keys()) {
    const peer = state.peers.get(entryId);
    if (peer === undefined) return 0;
    silentMs = Math.min(silentMs, state.nowMs - peer.lastHeardAtMs);
  }
  return silentMs;
}

function discardEndedJobs(state: EngineState, scheduler: Scheduler): void {
  const { endedJobs, jobs } = scheduler;
  let count = 0;
  for (const job of endedJobs) {
    if (state.nowMs - job.endedAtMs < ENDED_JOB_RETENTION_MS) break;
    if (jobs.get(job.jobId) === job) jobs.delete(job.jobId);
    count += 1;
  }
  endedJobs.splice(0, count);
}

/** Removes the records of jobs that nobody asks for any more. */
function removeExpiredRecords(state: EngineState, scheduler: Scheduler): void {
  const { retainedJobs } = scheduler.records;
  let count = 0;
  for (const job of retainedJobs) {
    if (state.nowMs - job.endedAtMs < RECORD_RETENTION_MS) break;
    count += 1;
    if (job.record === null || scheduler.jobs.get(job.jobId) !== job) continue;
    job.record.removing = true;
    markDirty(scheduler, job);
  }
  retainedJobs.splice(0, count);
}
