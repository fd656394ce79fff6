/** Jobs at the leader: taken, begun, ended, and remembered for a while. */

import type { PeerMessageOf } from "./schemas.ts";
import { expectedWaitMs, refusalOf } from "./admit.ts";
import { dequeue, enqueue } from "./queue.ts";
import { placeWaiting } from "./place.ts";
import { expectedChainMs } from "./estimating.ts";
import {
  DROP_SILENT_MS,
  formerRunsLapseAtMs,
  PAUSE_SILENT_MS,
} from "./former_runs.ts";
import { longestLeaseMs } from "./leases.ts";
import { claimRuns, stopRun } from "./runs.ts";
import { logDecision, sendPeer } from "./turn.ts";
import type {
  EngineState,
  Job,
  JobOutcome,
  Scheduler,
  Task,
  TaskEnd,
  Turn,
} from "./types.ts";

/** How long an ended job is remembered, for a caller that asks again. */
const REMEMBER_ENDED_MS = 6_000;

/** An entry hands in a job. */
export function onSubmit(
  turn: Turn,
  from: string,
  message: PeerMessageOf<"submit">,
): void {
  const { state } = turn;
  const { scheduler } = state;
  if (scheduler === null) return;
  const known = scheduler.jobs.get(message.jobId);
  if (known !== undefined && !isNewAttempt(known, from, message)) {
    joinJob(turn, known, { from, message });
    return;
  }
  const job = createJob(state, from, message);
  job.formerRunsLapseAtMs = formerRunsLapseAtMs(state, scheduler, message);
  if (known !== undefined) inheritProgress(job, known);
  openSteps(job);
  scheduler.jobs.set(job.jobId, job);
  const waitMs = expectedWaitMs(state, scheduler, job);
  const refusal = job.begun ? null : refusalOf(state, job, waitMs);
  logAdmission(turn, job, { message, waitMs });
  if (refusal !== null) {
    endJob(turn, job, refusal);
    return;
  }
  if (job.unfinished === 0) {
    endJob(turn, job, { kind: "done" });
    return;
  }
  claimRuns(turn, scheduler, job);
  enqueue(scheduler, job);
  placeWaiting(turn, job.queue.service);
}

function logAdmission(
  turn: Turn,
  job: Job,
  { message, waitMs }: { message: PeerMessageOf<"submit">; waitMs: number },
): void {
  const { nowMs } = turn.state;
  logDecision(turn, { part: "admit", text: "a job came" }, {
    jobId: job.jobId,
    queue: job.queue.name,
    tasks: job.tasks.length,
    expectedWaitMs: Math.round(waitMs),
    expectedRunMs: Math.round(job.chainMs),
    objectiveInMs: Math.round(job.objectiveAtMs - nowMs),
    deadlineInMs: Math.round(job.deadlineAtMs - nowMs),
    begun: job.begun,
    resubmitted: message.resubmitted,
    formerRunsForMs: Math.max(0, Math.round(job.formerRunsLapseAtMs - nowMs)),
  });
}

/** Whether a caller tries again after its job was refused or given up. */
function isNewAttempt(
  known: Job,
  from: string,
  { submissionId }: PeerMessageOf<"submit">,
): boolean {
  if (known.outcome?.kind === "unknown") return true;
  return known.outcome?.kind === "refused" &&
    known.entries.get(from) !== submissionId;
}

/** What an earlier attempt ran counts for a later one. */
function inheritProgress(job: Job, earlier: Job): void {
  job.begun = job.begun || earlier.begun;
  for (const [index, task] of job.tasks.entries()) {
    const before = earlier.tasks[index];
    if (before?.name !== task.name) continue;
    task.run = Math.max(task.run, before.run);
    task.failures = before.failures;
    if (before.state !== "done" || task.state === "done") continue;
    task.state = "done";
    job.unfinished -= 1;
  }
}

function joinJob(
  turn: Turn,
  job: Job,
  { from, message }: { from: string; message: PeerMessageOf<"submit"> },
): void {
  if (job.outcome !== null) {
    const { jobId, outcome } = job;
    const { submissionId } = message;
    sendPeer(turn, from, { type: "jobEnded", jobId, submissionId, outcome });
    return;
  }
  job.entries.set(from, message.submissionId);
  job.paused = false;
  if (message.resubmitted) {
    job.begun = true;
    job.formerRunsLapseAtMs = turn.state.nowMs + longestLeaseMs(turn.state);
  }
  const deadlineAtMs = turn.state.nowMs + message.timeLeftMs;
  job.deadlineAtMs = Math.max(job.deadlineAtMs, deadlineAtMs);
}

function createJob(
  state: EngineState,
  from: string,
  message: PeerMessageOf<"submit">,
): Job {
  const { jobId, queue, job: spec } = message;
  const done = new Set(message.doneTasks);
  const tasks = spec.steps.flatMap((step, stepIndex) =>
    Array.from({ length: step.count }, (_, index): Task => {
      const name = `${jobId}.0.${stepIndex}.${index}`;
      return {
        name,
        stepIndex,
        demand: step,
        state: done.has(name) ? "done" : "waiting",
        run: 0,
        failures: 0,
        workerId: null,
        failedOn: new Set(),
      };
    })
  );
  const receivedAtMs = state.nowMs - message.ageMs;
  const chainMs = expectedChainMs(state, message);
  return {
    jobId,
    queue,
    spec: spec.spec,
    steps: spec.steps,
    entries: new Map([[from, message.submissionId]]),
    receivedAtMs,
    deadlineAtMs: state.nowMs + message.timeLeftMs,
    objectiveAtMs: receivedAtMs + queue.stretch * chainMs + queue.objectiveMs,
    chainMs,
    tasks,
    unfinished: tasks.filter((task) => task.state !== "done").length,
    begun: message.resubmitted,
    formerRunsLapseAtMs: 0,
    paused: false,
    outcome: null,
    endedAtMs: 0,
  };
}

/** Queues the tasks whose earlier steps are all done. */
function openSteps(job: Job): void {
  for (const task of job.tasks) {
    if (task.state !== "waiting") continue;
    const after = job.steps[task.stepIndex]?.after ?? [];
    const open = after.every((stepIndex) => isStepDone(job, stepIndex));
    if (open) task.state = "queued";
  }
}

function isStepDone(job: Job, stepIndex: number): boolean {
  return job.tasks.every((task) =>
    task.stepIndex !== stepIndex || task.state === "done"
  );
}

/** Tells jobs of the ends of their tasks. */
export function settleTaskEnds(turn: Turn): void {
  for (let next = 0; next < turn.taskEnds.length; next += 1) {
    const end = turn.taskEnds[next];
    if (end === undefined) continue;
    if (end.kind === "done") onTaskDone(turn, end);
    else onTaskLost(turn, end);
  }
  turn.taskEnds.length = 0;
}

function onTaskDone(turn: Turn, { job, task }: TaskEnd): void {
  if (task.state === "done" || job.outcome !== null) return;
  task.state = "done";
  task.workerId = null;
  job.unfinished -= 1;
  turn.state.counters.tasksDone += 1;
  if (job.unfinished === 0) {
    endJob(turn, job, { kind: "done" });
    return;
  }
  const { scheduler } = turn.state;
  if (job.steps.length > 1 && scheduler !== null) {
    openSteps(job);
    enqueue(scheduler, job);
  }
}

/** A run of a task ended without its work done. */
function onTaskLost(
  turn: Turn,
  { job, task, workerId, kind }: TaskEnd,
): void {
  if (task.state === "done" || job.outcome !== null) return;
  task.state = "queued";
  task.workerId = null;
  if (kind === "failed") {
    task.failures += 1;
    task.failedOn.add(workerId);
    turn.state.counters.tasksFailed += 1;
  }
  if (task.failures >= job.queue.attempts) {
    endJob(turn, job, { kind: "failed" });
    return;
  }
  if (turn.state.scheduler !== null) enqueue(turn.state.scheduler, job);
}

/** Ends a job, stops what still runs of it, and tells its entries. */
export function endJob(turn: Turn, job: Job, outcome: JobOutcome): void {
  const { state } = turn;
  const { scheduler } = state;
  if (scheduler === null || job.outcome !== null) return;
  job.outcome = outcome;
  job.endedAtMs = state.nowMs;
  dequeue(scheduler, job);
  scheduler.ended.push(job);
  if (outcome.kind !== "done") stopRunsOf(turn, scheduler, job);
  const { jobId } = job;
  for (const [entryId, submissionId] of job.entries) {
    sendPeer(turn, entryId, {
      type: "jobEnded",
      jobId,
      submissionId,
      outcome,
    });
  }
}

function stopRunsOf(turn: Turn, scheduler: Scheduler, job: Job): void {
  for (const worker of scheduler.workers.values()) {
    for (const run of worker.runs.values()) {
      if (run.job === job) stopRun(turn, worker, run);
    }
  }
}

/** An entry's callers no longer wait for a job. */
export function onWithdraw(
  turn: Turn,
  from: string,
  message: PeerMessageOf<"withdraw">,
): void {
  const job = turn.state.scheduler?.jobs.get(message.jobId);
  if (job === undefined) return;
  job.entries.delete(from);
  if (job.entries.size > 0) return;
  endJob(turn, job, { kind: "unknown", reason: "deadline" });
}

/** Turns away what can't make it any more, and forgets old jobs. */
export function checkJobs(turn: Turn, scheduler: Scheduler): void {
  const { state } = turn;
  for (const job of scheduler.jobs.values()) {
    if (job.outcome !== null) continue;
    if (watchEntries(turn, job)) continue;
    if (!job.begun) {
      const waitMs = expectedWaitMs(state, scheduler, job);
      const refusal = refusalOf(state, job, waitMs);
      if (refusal !== null) {
        logDecision(turn, { part: "admit", text: "refused after waiting" }, {
          jobId: job.jobId,
          waitedMs: Math.round(state.nowMs - job.receivedAtMs),
        });
        endJob(turn, job, refusal);
        continue;
      }
    }
    if (state.nowMs >= job.deadlineAtMs) {
      endJob(turn, job, { kind: "unknown", reason: "deadline" });
    }
  }
  forgetEnded(state, scheduler);
}

/**
 * Stops what runs for entries that went silent: across a cut they have handed
 * their jobs to another leader. Returns whether the job was dropped.
 */
function watchEntries(turn: Turn, job: Job): boolean {
  const silentMs = entriesSilentMs(turn.state, job);
  job.paused = silentMs > PAUSE_SILENT_MS;
  if (silentMs <= DROP_SILENT_MS) return false;
  logDecision(turn, { part: "jobs", text: "dropped: its entry is silent" }, {
    jobId: job.jobId,
    silentMs: Math.round(silentMs),
  });
  endJob(turn, job, { kind: "unknown", reason: "leaderLost" });
  return true;
}

/**
 * How long all entries of a job have been out of reach. A refused connection
 * doesn't show that the process ended: some cuts refuse.
 */
function entriesSilentMs(state: EngineState, job: Job): number {
  let silentMs = Infinity;
  for (const entryId of job.entries.keys()) {
    const peer = state.peers.get(entryId);
    if (peer === undefined) return 0;
    silentMs = Math.min(silentMs, state.nowMs - peer.lastHeardMs);
  }
  return silentMs;
}

function forgetEnded(state: EngineState, scheduler: Scheduler): void {
  const { ended, jobs } = scheduler;
  let count = 0;
  for (const job of ended) {
    if (state.nowMs - job.endedAtMs < REMEMBER_ENDED_MS) break;
    if (jobs.get(job.jobId) === job) jobs.delete(job.jobId);
    count += 1;
  }
  ended.splice(0, count);
}
