/** Jobs at the leader: start, completions of tasks, outcome and its reports. */

import { isSubmittedBy } from "./callers.ts";
import { countCrash } from "./crashes.ts";
import { assert } from "./debug.ts";
import { logDecision, sendPeer } from "./effects.ts";
import {
  checkCapacityInUse,
  faultyJobOutcome,
  isolateJob,
} from "./job_faults.ts";
import {
  hasStarted,
  isStepReady,
  noteFailedOn,
  queueReadyTasks,
  setTaskState,
} from "./job_state.ts";
import { countRefusal } from "./overload/reports.ts";
import { placeQueuedTasks } from "./placement.ts";
import { dequeue, enqueue } from "./queue.ts";
import { discardUnwritable, markDirty, mayHaveTwoOwners } from "./records.ts";
import { attachRuns, stopRun, stopTaskRuns } from "./runs.ts";
import type { PeerMessageOf, Reply } from "./schemas.ts";
import type {
  EngineState,
  Job,
  JobOutcome,
  RecordStoreState,
  ReduceContext,
  Scheduler,
  TaskCompletion,
} from "./types.ts";
import { endClaim } from "./zones/job_claims.ts";
import { withNextZone } from "./zones/movable_jobs.ts";

/**
 * Starts a job: attaches its runs that were found on workers, and queues and
 * places its other tasks. A job whose tasks are all done is finished. Does
 * nothing while the job has a record that has not been persisted.
 */
export function startJob(context: ReduceContext, job: Job): void {
  const { scheduler, guards } = context.state;
  if (scheduler === null || !guards.mayStartJob(job.record)) return;
  attachRuns(context, scheduler, [job]);
  queueJob(context, job);
  placeQueuedTasks(context, job.queue.service);
}

/**
 * Queues the tasks of a job without placing them, or finishes the job if its
 * tasks are all done.
 */
export function queueJob(context: ReduceContext, job: Job): void {
  if (job.unfinished === 0) finishJob(context, job, doneOutcome(job));
  else enqueue(context.state, job);
}

/** Applies the collected task completions to their jobs. */
export function applyTaskCompletions(context: ReduceContext): void {
  for (let next = 0; next < context.taskCompletions.length; next += 1) {
    const completion = context.taskCompletions[next];
    if (completion === undefined) continue;
    isolateJob(context, completion.job, {
      stage: "complete",
      fallback: undefined,
      run: () => applyTaskCompletion(context, completion),
    });
  }
  context.taskCompletions.length = 0;
}

function applyTaskCompletion(
  context: ReduceContext,
  completion: TaskCompletion,
): void {
  const { job, task, kind } = completion;
  if (task.state === "done" || job.outcome !== null) return;
  if (kind === "done") {
    onTaskDone(context, completion);
    return;
  }
  if (kind !== "crashFound") requeueTask(context, completion);
  const isCrash = kind === "crashed" || kind === "crashFound";
  if (isCrash && countCrash(context, completion)) {
    giveUpTask(context, completion);
  } else if (kind !== "crashFound") retryTask(context, completion);
}

function onTaskDone(
  context: ReduceContext,
  { job, task, result }: TaskCompletion,
): void {
  // If an earlier run was done, the latest one has no use any more.
  if (task.workerId !== null) stopTaskRuns(context, task.workerId, task);
  setTaskState(job, task, "done");
  task.workerId = null;
  task.result = result ?? null;
  context.state.counters.tasksDone += 1;
  if (job.unfinished === 0) {
    finishJob(context, job, doneOutcome(job));
    return;
  }
  if (job.steps.length > 1 && job.unfinishedByStep[task.stepIndex] === 0) {
    queueReadyTasks(job);
    enqueue(context.state, job);
  }
}

function doneOutcome(job: Job): JobOutcome {
  const allDone = job.tasks.every((task) => task.state === "done");
  assert(allDone, "done_means_every_task", job.jobId);
  const results = job.tasks.map((task) => task.result);
  const hasResults = results.some((result) => result !== null);
  return hasResults ? { kind: "done", results } : { kind: "done" };
}

/**
 * Updates a task whose run failed, was lost or never started. It waits again if
 * an earlier step is not known to be done: a previous leader started the run.
 */
function requeueTask(
  { state }: ReduceContext,
  { job, task, workerId, kind }: TaskCompletion,
): void {
  const isReady = isStepReady(job, task.stepIndex);
  setTaskState(job, task, isReady ? "queued" : "waiting");
  task.workerId = null;
  if (kind === "notStarted") task.mayHaveStarted = false;
  if (kind !== "failed") return;
  task.failures += 1;
  noteFailedOn(task, workerId);
  state.counters.tasksFailed += 1;
}

/** Fails the job of a task under which too many workers have crashed. */
function giveUpTask(
  context: ReduceContext,
  { job, task, workerId }: TaskCompletion,
): void {
  context.state.counters.tasksGivenUp += 1;
  logDecision(context, {
    level: "warn",
    part: "jobs",
    text: "task given up: workers crashed under it",
  }, {
    jobId: job.jobId,
    queue: job.queue.name,
    task: task.name,
    workerId,
    crashes: task.crashes,
    crashedAlone: task.crashedAlone,
  });
  finishJob(context, job, { kind: "failed" });
}

/**
 * Enters a requeued task into the queue. Finishes its job if the queue's
 * `attempts` runs of the task have failed, or if the task may not run again.
 */
function retryTask(
  context: ReduceContext,
  { job, task, workerId, kind }: TaskCompletion,
): void {
  const { state } = context;
  if (task.failures >= job.queue.attempts) {
    finishJob(context, job, { kind: "failed" });
    return;
  }
  if (!state.guards.mayRunAgain(job, kind)) {
    logDecision(context, {
      part: "jobs",
      text: "task may have run and must not be retried",
    }, {
      jobId: job.jobId,
      task: task.name,
      workerId,
    });
    finishJob(context, job, { kind: "unknown", reason: "taskLost" });
    return;
  }
  enqueue(state, job);
}

/**
 * Finishes a job with an outcome, and stops its runs unless it is done. The
 * outcome is reported at once if the store can't have a record of the job, else
 * after the outcome has been written to the record.
 */
export function finishJob(
  context: ReduceContext,
  job: Job,
  outcome: JobOutcome,
): void {
  const { state } = context;
  const { scheduler } = state;
  if (scheduler === null || job.outcome !== null) return;
  if (outcome.kind === "refused") {
    assert(!job.mayHaveStarted, "refused_means_not_begun", job.jobId);
    countRefusal(state, job, outcome);
  }
  job.outcome = withNextZone(state, job, outcome);
  job.endedAtMs = state.nowMs;
  endClaim(context, scheduler, job);
  dequeue(scheduler, job);
  if (outcome.kind !== "done") stopJobRuns(context, scheduler, job);
  const { record } = job;
  if (record === null || !record.mayExist) {
    discardUnwritable(state, job);
    scheduler.endedJobs.push(job);
    reportOutcome(context, job, job.outcome);
    return;
  }
  record.endedAtMs = state.wallMs;
  markDirty(scheduler, job);
}

/**
 * Ends the jobs of which the handling failed during this event: their runs are
 * stopped and their entries are told that the outcome is unknown. A recorded
 * job gets this outcome in its record, unless writing the record is what failed.
 */
export function endFaultyJobs(context: ReduceContext): void {
  const { state, jobFaults } = context;
  const { scheduler } = state;
  if (jobFaults.length === 0) return;
  if (scheduler === null) {
    jobFaults.length = 0;
    return;
  }
  for (const { job, stage } of jobFaults) {
    state.counters.jobFaults += 1;
    removeFromQueues(scheduler, job);
    stopJobRuns(context, scheduler, job);
    job.endedAtMs = state.nowMs;
    reportOutcome(context, job, faultyJobOutcome);
    const { record } = job;
    if (record === null) scheduler.endedJobs.push(job);
    if (record?.storedOutcome !== null || stage === "persist") continue;
    record.endedAtMs = state.wallMs;
    markDirty(scheduler, job);
  }
  jobFaults.length = 0;
  checkCapacityInUse(scheduler.workers.values());
}

/** Removes a job from all queues, whichever its fields say it is in. */
function removeFromQueues({ waiting, records }: Scheduler, job: Job): void {
  for (const jobs of waiting.values()) {
    const at = jobs.indexOf(job);
    if (at >= 0) jobs.splice(at, 1);
  }
  job.isWaiting = false;
  for (const jobs of records.dirty.values()) jobs.delete(job);
}

/**
 * Whether tasks of a cancelled job may still start, because the previous owner
 * of its record may not know that it is cancelled.
 */
function mayStartAfterCancelling(
  state: EngineState,
  { record }: Job,
  outcome: JobOutcome,
): boolean {
  const { scheduler } = state;
  return outcome.kind === "cancelled" && record?.isRestored === true &&
    scheduler !== null && mayHaveTwoOwners(state, scheduler.records);
}

/**
 * Answers the instances that requested the cancellation of a job, at once or as
 * soon as none of its tasks can start any more.
 */
function replyToCancelRequests(
  context: ReduceContext,
  job: Job,
  outcome: JobOutcome,
): void {
  const requests = job.record?.cancelRequests ?? [];
  if (requests.length === 0) return;
  if (mayStartAfterCancelling(context.state, job, outcome)) {
    context.state.scheduler?.records.delayedReplies.push(job);
    return;
  }
  const reply: Reply = { kind: "ended", outcome };
  for (const { from, questionId } of requests.splice(0)) {
    sendPeer(context, from, { type: "reply", questionId, reply });
  }
}

/** Sends the replies to cancel requests that were delayed. */
export function sendDelayedReplies(
  context: ReduceContext,
  { delayedReplies }: RecordStoreState,
): void {
  for (const job of delayedReplies.splice(0)) {
    const outcome = job.record?.storedOutcome;
    if (outcome) replyToCancelRequests(context, job, outcome);
  }
}

/**
 * Reports the outcome of a job to its entries and to the instances that
 * requested its cancellation.
 */
export function reportOutcome(
  context: ReduceContext,
  job: Job,
  outcome: JobOutcome,
): void {
  const { jobId } = job;
  for (const [entryId, submissionId] of job.submissionIdByEntry) {
    sendPeer(context, entryId, {
      type: "jobEnded",
      jobId,
      submissionId,
      outcome,
    });
  }
  replyToCancelRequests(context, job, outcome);
}

/** Stops all runs of a job. */
export function stopJobRuns(
  context: ReduceContext,
  scheduler: Scheduler,
  job: Job,
): void {
  for (const worker of scheduler.workers.values()) {
    for (const run of worker.runs.values()) {
      if (run.job === job) stopRun(context, worker, run);
    }
  }
}

/**
 * Handles an entry's message that its callers no longer wait for a job. A job
 * without a record ends once no entry waits for it; others are not affected.
 */
export function onWithdraw(
  context: ReduceContext,
  from: string,
  message: PeerMessageOf<"withdraw">,
): void {
  const job = context.state.scheduler?.jobs.get(message.jobId);
  if (job === undefined || job.record !== null) return;
  job.submissionIdByEntry.delete(from);
  if (job.submissionIdByEntry.size > 0 || job.outcome !== null) return;
  logDecision(context, { part: "jobs", text: "job withdrawn by its entry" }, {
    jobId: job.jobId,
    entryId: from,
    heldMs: Math.round(context.state.nowMs - job.receivedAtMs),
    hasRuns: hasStarted(job),
  });
  finishJob(context, job, { kind: "unknown", reason: "deadline" });
}

/**
 * Ends the jobs without a record that an entry had before it restarted, unless
 * another entry waits for them. Their callers come again, maybe to another
 * leader.
 */
export function withdrawAll(
  context: ReduceContext,
  { instanceId, startedAtMs }: { instanceId: string; startedAtMs: number },
): void {
  const { scheduler } = context.state;
  if (scheduler === null) return;
  let count = 0;
  for (const job of scheduler.jobs.values()) {
    const { jobId } = job;
    const submissionId = job.submissionIdByEntry.get(instanceId);
    if (job.outcome !== null || job.record !== null) continue;
    if (submissionId === undefined) continue;
    // A submission may be the first message that arrives after the restart.
    if (isSubmittedBy(submissionId, { instanceId, startedAtMs })) continue;
    onWithdraw(context, instanceId, { type: "withdraw", jobId });
    count += 1;
  }
  if (count === 0) return;
  logDecision(context, {
    part: "jobs",
    text: "entry has restarted; its jobs are withdrawn",
  }, { entryId: instanceId, jobs: count });
}

/**
 * Cancels a job. Returns the reply, or null if the reply is sent once the
 * outcome has been written to the job's record.
 */
export function cancelJob(
  context: ReduceContext,
  job: Job,
  requester: { from: string; questionId: string },
): Reply | null {
  const { record } = job;
  if (record?.storedOutcome) {
    record.cancelRequests.push(requester);
    replyToCancelRequests(context, job, record.storedOutcome);
    return null;
  }
  // In outcomes on the wire, `begun` is whether a task may have started.
  const begun = job.mayHaveStarted || hasStarted(job);
  finishJob(context, job, { kind: "cancelled", begun });
  const outcome = job.outcome ?? { kind: "cancelled", begun };
  if (record === null || !record.mayExist) return { kind: "ended", outcome };
  record.cancelRequests.push(requester);
  return null;
}
