/**
 * Periodic checks of jobs: refusal, lateness, loss of entries or tasks, expiry
 * of deadlines, and removal of ended jobs.
 */

import {
  createExpectedWaits,
  type ExpectedWaits,
  refusalOf,
} from "./admission.ts";
import { logDecision } from "./effects.ts";
import { checkFollowers } from "./followers.ts";
import { isolateJob } from "./job_faults.ts";
import { mustNotRestart, queuedTasks } from "./job_state.ts";
import { ENDED_JOB_RETENTION_MS } from "./job_table.ts";
import { finishJob } from "./jobs.ts";
import { mayHaveUnknownRuns, oldestListsReadAtMs } from "./placement.ts";
import { ENTRY_DROP_TIMEOUT_MS } from "./previous_runs.ts";
import { hasQueuedTasks, markLate } from "./queue.ts";
import { knowsAllRecords, markDirty } from "./records.ts";
import { storeUnavailableOutcome } from "./submissions.ts";
import type {
  EngineState,
  Job,
  JobOutcome,
  ReduceContext,
  Scheduler,
} from "./types.ts";

/**
 * Time for which a recorded outcome is retained; callers query it for 120 s.
 */
const RECORD_RETENTION_MS = 150_000;

/**
 * Ends jobs that can no longer complete as required, and discards ended jobs
 * after their retention time.
 */
export function checkJobs(context: ReduceContext, scheduler: Scheduler): void {
  const { state } = context;
  checkFollowers(state);
  const waits = createExpectedWaits(context, scheduler);
  for (const job of scheduler.jobs.values()) {
    if (job.outcome !== null) continue;
    const changed = isolateJob<"queues" | "runs" | null>(context, job, {
      stage: "admit",
      fallback: "runs",
      run: () => checkJob(context, scheduler, { job, waits }),
    });
    if (changed !== null) waits.reset(changed);
  }
  discardEndedJobs(state, scheduler);
  removeExpiredRecords(state, scheduler);
}

/** Checks one job. Returns what has changed, or null. */
function checkJob(
  context: ReduceContext,
  scheduler: Scheduler,
  { job, waits }: { job: Job; waits: ExpectedWaits },
): "queues" | "runs" | null {
  const { state } = context;
  if (checkEntries(context, job)) return "runs";
  const outcome = recheckAdmission(context, scheduler, { job, waits }) ??
    lostOutcome(state, scheduler, job);
  if (outcome !== null) {
    finishJob(context, job, outcome);
    // A refused job has no runs.
    return outcome.kind === "refused" ? "queues" : "runs";
  }
  const isMoved = demoteIfLate(state, scheduler, job);
  if (state.nowMs < job.deadlineAtMs) return isMoved ? "queues" : null;
  finishJob(context, job, { kind: "unknown", reason: "deadline" });
  return "runs";
}

/**
 * Repeats the admission check for a job of which certainly no task has started.
 * Returns the outcome with which the job ends, or null if it may still run.
 */
function recheckAdmission(
  context: ReduceContext,
  scheduler: Scheduler,
  { job, waits }: { job: Job; waits: ExpectedWaits },
): JobOutcome | null {
  const { state } = context;
  if (!state.guards.mayRefuse(job)) return null;
  const { record } = job;
  if (record?.mayExist === true && state.nowMs < job.deadlineAtMs) return null;
  const storeOutcome = record === null
    ? null
    : storeUnavailableOutcome(state, scheduler);
  if (storeOutcome !== null) return storeOutcome;
  if (record !== null && !knowsAllRecords(state, scheduler)) return null;
  const waitMs = waits.get(job);
  const refusal = refusalOf(state, job, waitMs);
  if (refusal === null) return null;
  logDecision(context, { part: "admit", text: "job refused after waiting" }, {
    jobId: job.jobId,
    waitedMs: Math.round(state.nowMs - job.receivedAtMs),
    expectedWaitMs: Math.round(waitMs),
  });
  return refusal;
}

/**
 * Moves a job that has missed its objective behind jobs of equal priority that
 * can still meet theirs, so that it doesn't delay them. Applies once, and only
 * while tasks of the job are queued. Returns whether the job was moved.
 */
export function demoteIfLate(
  state: EngineState,
  scheduler: Scheduler,
  job: Job,
): boolean {
  if (job.isLate || !hasQueuedTasks(job)) return false;
  if (state.nowMs < job.objectiveAtMs) return false;
  markLate(state, scheduler, job);
  return true;
}

/**
 * Returns the outcome of a job that has lost a task, or null. A queued task is
 * lost if it must not start again and no worker can still have a run of it.
 */
function lostOutcome(
  state: EngineState,
  scheduler: Scheduler,
  job: Job,
): JobOutcome | null {
  if (!hasQueuedTasks(job) || job.spec.isAtMostOnce !== true) return null;
  const hasUnrunnableTask = [...queuedTasks(job)].some((task) =>
    mustNotRestart(job, task)
  );
  if (!hasUnrunnableTask) return null;
  const listsReadAtMs = () => oldestListsReadAtMs(state, scheduler);
  if (mayHaveUnknownRuns(state, { job, listsReadAtMs })) return null;
  return { kind: "unknown", reason: "taskLost" };
}

/**
 * Drops a job without a record after a time in which none of its entries is heard
 * from: entries across a network partition have resubmitted it to another leader.
 * Returns whether the job was dropped.
 */
function checkEntries(context: ReduceContext, job: Job): boolean {
  if (job.record !== null) return false;
  const silentMs = sinceEntriesHeardMs(context.state, job);
  if (silentMs <= ENTRY_DROP_TIMEOUT_MS) return false;
  logDecision(context, {
    part: "jobs",
    text: "job dropped: no entry is heard from",
  }, {
    jobId: job.jobId,
    silentMs: Math.round(silentMs),
  });
  finishJob(context, job, { kind: "unknown", reason: "leaderLost" });
  return true;
}

/**
 * Returns the time since any entry of a job was heard from; 0 if an entry is
 * not a known peer, such as this instance. A refused connection is no proof that
 * the entry's process ended: some network partitions refuse connections.
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

/** Discards ended jobs without a written record after their retention time. */
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

/** Requests the removal of recorded outcomes after their retention time. */
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
