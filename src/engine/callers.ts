/**
 * Jobs whose callers wait at this instance: who they are, which leader has
 * them, and what their callers are told.
 */

import type { PeerMessageOf } from "./schemas.ts";
import { emit, logDecision, sendPeer } from "./turn.ts";
import type {
  CallerJob,
  CallerReply,
  EngineEventOf,
  EngineState,
  JobOutcome,
  Turn,
} from "./types.ts";

/** A job waits so long for a leader to be known before it is refused. */
const LEADER_WAIT_MS = 900;
/** Callers of refused jobs come back after so long while nobody leads. */
const NO_LEADER_RETRY_MS = 1_000;
/** A job that a lost leader had is given up after so long without a leader. */
const LOST_LEADER_WAIT_MS = 1_200;

/** A caller hands in a job, for the first time or again. */
export function onCallerSubmit(
  turn: Turn,
  event: EngineEventOf<"callerSubmit">,
): void {
  const { state } = turn;
  state.counters.jobsReceived += 1;
  const known = state.callerJobs.get(event.jobId);
  if (known !== undefined) {
    known.requestIds.push(event.requestId);
    if (event.answerAt === "ended") known.answerAt = "ended";
    return;
  }
  state.nextSubmission += 1;
  const { instanceId, bornMs } = state.self;
  const callerJob: CallerJob = {
    jobId: event.jobId,
    name: `${instanceId}.${bornMs}.${state.nextSubmission}`,
    queue: event.queue,
    job: event.job,
    receivedAtMs: event.nowMs,
    deadlineAtMs: event.nowMs + event.timeoutMs,
    requestIds: [event.requestId],
    submittedTerm: 0,
    termsSubmitted: 0,
    doneTasks: [],
    answerAt: event.answerAt,
  };
  state.callerJobs.set(event.jobId, callerJob);
  submit(turn, callerJob);
}

/** Names what was handed to the present leader: earlier answers don't count. */
function submissionIdOf({ name, termsSubmitted }: CallerJob): string {
  return `${name}.${termsSubmitted}`;
}

/** Gives a job to the leader, if one is known. */
function submit(turn: Turn, callerJob: CallerJob): void {
  const { state } = turn;
  if (state.leaderId === null) return;
  if (callerJob.submittedTerm !== state.leaderTerm) {
    callerJob.submittedTerm = state.leaderTerm;
    callerJob.termsSubmitted += 1;
  }
  sendPeer(turn, state.leaderId, {
    type: "submit",
    jobId: callerJob.jobId,
    submissionId: submissionIdOf(callerJob),
    queue: callerJob.queue,
    job: callerJob.job,
    availabilityZone: state.self.availabilityZone,
    ageMs: Math.round(state.nowMs - callerJob.receivedAtMs),
    timeLeftMs: Math.round(callerJob.deadlineAtMs - state.nowMs),
    resubmitted: callerJob.termsSubmitted > 1,
    answerAt: callerJob.answerAt,
    doneTasks: [...callerJob.doneTasks],
  });
}

/** Gives every job to the leader, which may know some of them already. */
export function resubmitAll(turn: Turn): void {
  for (const callerJob of turn.state.callerJobs.values()) {
    submit(turn, callerJob);
  }
}

/** The caller's connection closed before it was answered. */
export function onCallerGone(
  turn: Turn,
  event: EngineEventOf<"callerGone">,
): void {
  const { state } = turn;
  for (const callerJob of state.callerJobs.values()) {
    const at = callerJob.requestIds.indexOf(event.requestId);
    if (at < 0) continue;
    callerJob.requestIds.splice(at, 1);
    if (callerJob.requestIds.length > 0) return;
    withdraw(turn, callerJob);
    return;
  }
}

function withdraw(turn: Turn, callerJob: CallerJob): void {
  const { state } = turn;
  const { jobId, job } = callerJob;
  state.callerJobs.delete(jobId);
  state.counters.callersGone += 1;
  const goesOn = job.isRecorded === true;
  const text = goesOn ? "the caller left" : "the caller left; job dropped";
  logDecision(turn, { part: "callers", text }, {
    jobId,
    waitedMs: Math.round(state.nowMs - callerJob.receivedAtMs),
  });
  if (goesOn) return;
  if (callerJob.termsSubmitted > 0 && state.leaderId !== null) {
    sendPeer(turn, state.leaderId, { type: "withdraw", jobId });
  }
}

/**
 * A leader tells how a job ended. Only the leader that was given the job last
 * can say that nothing of it runs: another may have started it since.
 */
export function onJobEnded(
  turn: Turn,
  from: string,
  { jobId, submissionId, outcome }: PeerMessageOf<"jobEnded">,
): void {
  const { state } = turn;
  const callerJob = state.callerJobs.get(jobId);
  if (callerJob === undefined) return;
  const isWhole = outcome.kind === "done" || outcome.kind === "failed" ||
    outcome.kind === "cancelled";
  const isCurrent = from === state.leaderId &&
    submissionIdOf(callerJob) === submissionId &&
    callerJob.submittedTerm === state.leaderTerm;
  if (!isWhole && !isCurrent) return;
  answer(turn, callerJob, trueOutcome(callerJob, outcome));
}

/** A leader that had a job before may keep a record of it yet. */
function trueOutcome(
  { job, termsSubmitted }: CallerJob,
  outcome: JobOutcome,
): JobOutcome {
  const kept = job.isRecorded === true && termsSubmitted > 1;
  if (outcome.kind !== "refused" || !kept) return outcome;
  return { kind: "unknown", reason: "leaderLost" };
}

const outcomeCounters = {
  done: "jobsDone",
  failed: "jobsFailed",
  refused: "jobsRefused",
  unknown: "jobsUnknown",
  cancelled: "jobsCancelled",
} as const;

/** The record of a job is kept, which is all that some callers wait for. */
export function onJobAccepted(
  turn: Turn,
  _from: string,
  { jobId }: PeerMessageOf<"jobAccepted">,
): void {
  const { state } = turn;
  const callerJob = state.callerJobs.get(jobId);
  if (callerJob === undefined || callerJob.answerAt === "ended") return;
  state.callerJobs.delete(jobId);
  logDecision(turn, { part: "callers", text: "job accepted" }, {
    jobId,
    queue: callerJob.queue.name,
    tookMs: Math.round(state.nowMs - callerJob.receivedAtMs),
  });
  reply(turn, callerJob, { kind: "accepted" });
}

function reply(turn: Turn, callerJob: CallerJob, told: CallerReply): void {
  const { jobId, requestIds } = callerJob;
  for (const requestId of requestIds) {
    emit(turn, { type: "answerCaller", requestId, jobId, reply: told });
  }
}

function answer(turn: Turn, callerJob: CallerJob, outcome: JobOutcome): void {
  const { state } = turn;
  const { jobId } = callerJob;
  state.callerJobs.delete(jobId);
  state.counters[outcomeCounters[outcome.kind]] += 1;
  logDecision(turn, { part: "callers", text: `job ${outcome.kind}` }, {
    jobId,
    queue: callerJob.queue.name,
    ...toldOf(outcome),
    tookMs: Math.round(state.nowMs - callerJob.receivedAtMs),
    leaderId: state.leaderId,
  });
  reply(turn, callerJob, outcome);
}

/** An outcome without what tasks returned, which is the caller's alone. */
function toldOf(outcome: JobOutcome): Record<string, unknown> {
  return outcome.kind === "done" ? { kind: outcome.kind } : outcome;
}

/** Gives up jobs that no leader takes, and hands in those it may lack. */
export function checkCallerJobs(turn: Turn): void {
  const { state } = turn;
  for (const callerJob of state.callerJobs.values()) {
    if (state.leaderId !== null) {
      if (callerJob.submittedTerm !== state.leaderTerm) submit(turn, callerJob);
      continue;
    }
    const outcome = giveUpOutcome(state, callerJob);
    if (outcome !== null) answer(turn, callerJob, outcome);
  }
}

function giveUpOutcome(
  state: EngineState,
  callerJob: CallerJob,
): JobOutcome | null {
  const waitedMs = state.nowMs -
    Math.max(callerJob.receivedAtMs, state.leaderlessSinceMs);
  if (callerJob.termsSubmitted > 0) {
    return waitedMs < LOST_LEADER_WAIT_MS
      ? null
      : { kind: "unknown", reason: "leaderLost" };
  }
  if (waitedMs < LEADER_WAIT_MS) return null;
  return {
    kind: "refused",
    reason: "noLeader",
    retryAfterMs: NO_LEADER_RETRY_MS,
  };
}
