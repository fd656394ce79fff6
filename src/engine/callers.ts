/**
 * Jobs whose callers wait at this instance: submits them to leaders, and
 * answers their callers.
 */

import { emit, logDecision, sendPeer } from "./effects.ts";
import { faultyJobOutcome, rememberFaultyJob } from "./job_faults.ts";
import {
  cellLeader,
  leaderFor,
  leaderOfZone,
  type LeaderTerm,
  leastLoadedZone,
} from "./leader_lookup.ts";
import { previousListReport } from "./leader_lists.ts";
import { heardFrom } from "./membership.ts";
import { retriedRunsExpireAtMs } from "./previous_runs.ts";
import { knownRule } from "./queue_rules.ts";
import type { PeerMessageOf } from "./schemas.ts";
import type {
  CallerJob,
  CallerReply,
  EngineEventOf,
  EngineState,
  JobOutcome,
  ReduceContext,
  Withdrawal,
} from "./types.ts";
import { chooseZone, MAX_HAND_OVERS } from "./zones/hand_over.ts";
import { createSuitsZone, otherZones } from "./zones/other_zones.ts";

/**
 * Time without a known leader after which jobs that were never submitted are
 * submitted to the leader of another zone.
 */
const LEAVE_ZONE_DELAY_MS = 100;
/**
 * Time without a known leader after which a job that was never submitted is
 * refused.
 */
const NO_LEADER_TIMEOUT_MS = 900;
/** Retry delay returned to callers of jobs refused for lack of a leader. */
const NO_LEADER_RETRY_AFTER_MS = 1_000;
/**
 * Time without a known leader after which the outcome of a job that was
 * submitted before is reported as unknown.
 */
const LOST_LEADER_TIMEOUT_MS = 1_200;

/**
 * Handles a caller's submission. A request for a job that callers wait for
 * already is answered together with theirs.
 */
export function onCallerSubmit(
  context: ReduceContext,
  event: EngineEventOf<"callerSubmit">,
): void {
  const { state } = context;
  state.counters.jobsReceived += 1;
  const known = state.callerJobs.get(event.jobId);
  if (known !== undefined) {
    known.requestIds.push(event.requestId);
    if (event.answerAt === "ended") known.answerAt = "ended";
    return;
  }
  state.lastSubmissionNumber += 1;
  const { instanceId, bornMs } = state.self;
  const callerJob: CallerJob = {
    jobId: event.jobId,
    submissionPrefix: incarnationPrefix(instanceId, bornMs) +
      state.lastSubmissionNumber,
    queue: event.queue,
    job: event.job,
    receivedAtMs: event.nowMs,
    deadlineAtMs: event.nowMs + event.timeoutMs,
    requestIds: [event.requestId],
    submittedTo: null,
    submittedTerm: 0,
    submissionCount: 0,
    isDeferred: false,
    mayHaveStarted: false,
    doneTasks: [],
    answerAt: event.answerAt,
    spilledToZone: null,
    triedZones: [],
    leftCell: false,
    submittedWithZoneCells: state.hasZoneCells,
    leaderlessSinceMs: 0,
  };
  state.callerJobs.set(event.jobId, callerJob);
  const leader = leaderFor(state, callerJob);
  if (leader !== null) submit(context, callerJob, leader);
}

/** Begins the ids of all submissions by one incarnation of an instance. */
function incarnationPrefix(instanceId: string, startedAtMs: number): string {
  return `${instanceId}.${startedAtMs}.`;
}

/** Whether a submission was made by the given incarnation of an instance. */
export function isSubmittedBy(
  submissionId: string,
  { instanceId, startedAtMs }: { instanceId: string; startedAtMs: number },
): boolean {
  return submissionId.startsWith(incarnationPrefix(instanceId, startedAtMs));
}

/** Identifies a job's latest submission, to tell it from earlier ones. */
function submissionIdOf(
  { submissionPrefix, submissionCount }: CallerJob,
): string {
  return `${submissionPrefix}.${submissionCount}`;
}

/** Whether a job's latest submission was to this leader in this term. */
function isSubmittedTo(
  { submittedTo, submittedTerm }: CallerJob,
  leader: LeaderTerm,
) {
  return submittedTo === leader.instanceId && submittedTerm === leader.term;
}

/**
 * Whether a job is not submitted now, since its callers may have left. A recorded
 * job runs without its callers, and once only.
 */
function mustDefer(
  { nowMs, delayEndedAtMs, guards }: EngineState,
  { job }: CallerJob,
): boolean {
  return job.isRecorded !== true &&
    guards.mayHaveUnreadEnds(nowMs, delayEndedAtMs);
}

/**
 * Submits a job to a leader, which may have it already, or defers this to a later
 * tick.
 */
function submit(
  context: ReduceContext,
  callerJob: CallerJob,
  leader: LeaderTerm,
): void {
  const { state } = context;
  callerJob.isDeferred = mustDefer(state, callerJob);
  if (callerJob.isDeferred) return;
  if (!isSubmittedTo(callerJob, leader)) {
    callerJob.mayHaveStarted ||= callerJob.submittedTo !== null;
    withdrawFromPrevious(context, callerJob, leader);
    updateLeftCell(state, callerJob, leader);
    callerJob.submittedWithZoneCells = state.hasZoneCells;
    callerJob.submittedTo = leader.instanceId;
    callerJob.submittedTerm = leader.term;
  }
  // A refusal of an earlier copy must not answer for this one.
  callerJob.submissionCount += 1;
  // A job that came before its queue was dropped keeps the rule that it had.
  const rule = knownRule(state, callerJob.queue);
  const version = state.configuration?.version ?? -1;
  sendPeer(context, leader.instanceId, {
    type: "submit",
    jobId: callerJob.jobId,
    submissionId: submissionIdOf(callerJob),
    queue: rule ?? callerJob.queue,
    configurationVersion: rule === null ? -1 : version,
    job: callerJob.job,
    availabilityZone: state.self.availabilityZone,
    ageMs: Math.round(state.nowMs - callerJob.receivedAtMs),
    timeLeftMs: Math.round(callerJob.deadlineAtMs - state.nowMs),
    term: leader.term,
    ...heardFrom(state.peers.get(leader.instanceId)),
    resubmitted: callerJob.mayHaveStarted,
    leftCell: callerJob.leftCell,
    // The leader of another cell has other workers.
    previousList: leader.instanceId === state.leaderId
      ? previousListReport(state, { isNew: !callerJob.mayHaveStarted })
      : { kind: "unknown" },
    answerAt: callerJob.answerAt,
    doneTasks: [...callerJob.doneTasks],
    ...triedZonesOf(state, callerJob),
  });
}

/** Tells a leader of a zone which zones have had a job in memory before. */
function triedZonesOf(
  { hasZoneCells }: EngineState,
  { job, triedZones }: CallerJob,
): { readonly triedZones?: string[] } {
  if (!hasZoneCells || job.isRecorded === true) return {};
  return { triedZones: [...triedZones] };
}

/**
 * Withdraws an unrecorded job from another instance that had it before as the
 * leader. If that instance still has the job, it stops the job's runs.
 */
function withdrawFromPrevious(
  context: ReduceContext,
  callerJob: CallerJob,
  leader: LeaderTerm,
): void {
  const { jobId, submittedTo, job } = callerJob;
  if (submittedTo === null || submittedTo === leader.instanceId) return;
  if (job.isRecorded === true) return;
  sendWithdrawal(context, { jobId, leaderId: submittedTo });
}

/** Withdraws a job from a leader that may have it. */
function sendWithdrawal(
  context: ReduceContext,
  { jobId, leaderId }: Omit<Withdrawal, "sentAtMs">,
): void {
  const { withdrawals, nowMs, self } = context.state;
  if (leaderId !== self.instanceId) {
    withdrawals.push({ jobId, leaderId, sentAtMs: nowMs });
  }
  sendPeer(context, leaderId, { type: "withdraw", jobId });
}

/**
 * Sends the recent withdrawals from a leader once more, except of jobs that it
 * got again since: it may have lost the first ones with its connection.
 */
export function resendWithdrawals(
  context: ReduceContext,
  leaderId: string,
): void {
  const { withdrawals, callerJobs } = context.state;
  forgetOldWithdrawals(context.state);
  for (const { jobId, leaderId: previousId } of withdrawals) {
    if (previousId !== leaderId) continue;
    if (callerJobs.get(jobId)?.submittedTo === leaderId) continue;
    sendPeer(context, leaderId, { type: "withdraw", jobId });
  }
}

function forgetOldWithdrawals(
  { withdrawals, nowMs, guards }: EngineState,
): void {
  let count = 0;
  for (const { sentAtMs } of withdrawals) {
    if (!guards.mayForgetWithdrawal(nowMs, sentAtMs)) break;
    count += 1;
  }
  withdrawals.splice(0, count);
}

/**
 * Marks a job whose tasks may have started on workers of another cell: it
 * returns from another cell, or was submitted before the cells changed.
 */
function updateLeftCell(
  state: EngineState,
  callerJob: CallerJob,
  leader: LeaderTerm,
): void {
  const { spilledToZone, submittedTo, submittedWithZoneCells } = callerJob;
  if (submittedTo === null) return;
  const isReturning = spilledToZone !== null &&
    leader.instanceId === cellLeader(state)?.instanceId;
  if (!isReturning && submittedWithZoneCells === state.hasZoneCells) return;
  callerJob.leftCell = true;
  callerJob.spilledToZone = null;
}

/**
 * Submits every job to its leader, which may have some of them already. If
 * `leaderId` is given, submits only the jobs of that leader.
 */
export function resubmitAll(context: ReduceContext, leaderId?: string): void {
  const { state } = context;
  for (const callerJob of state.callerJobs.values()) {
    const leader = leaderFor(state, callerJob);
    if (leader === null) continue;
    if (leaderId === undefined || leader.instanceId === leaderId) {
      submit(context, callerJob, leader);
    }
  }
}

/**
 * Handles a caller's connection that closed before the answer. The job is
 * withdrawn if no other request waits for it.
 */
export function onCallerGone(
  context: ReduceContext,
  event: EngineEventOf<"callerGone">,
): void {
  const callerJob = context.state.callerJobs.get(event.jobId);
  const index = callerJob?.requestIds.indexOf(event.requestId) ?? -1;
  if (callerJob === undefined || index < 0) return;
  callerJob.requestIds.splice(index, 1);
  if (callerJob.requestIds.length === 0) withdraw(context, callerJob);
}

/**
 * Removes a job that has no callers left, and withdraws it from its leader
 * unless it is recorded: a recorded job continues to run.
 */
function withdraw(context: ReduceContext, callerJob: CallerJob): void {
  const { state } = context;
  const { jobId, job } = callerJob;
  state.callerJobs.delete(jobId);
  state.counters.callersGone += 1;
  const continues = job.isRecorded === true;
  const text = continues
    ? "caller disconnected; job continues"
    : "caller disconnected; job withdrawn";
  logDecision(context, { part: "callers", text }, {
    jobId,
    waitedMs: Math.round(state.nowMs - callerJob.receivedAtMs),
  });
  if (continues) return;
  const { submittedTo } = callerJob;
  if (submittedTo !== null) {
    sendWithdrawal(context, { jobId, leaderId: submittedTo });
  }
}

/**
 * Handles a leader's report of a job's outcome. Outcomes other than `done`,
 * `failed` and `cancelled` are accepted only for the latest submission to the
 * present leader: another leader may have started the job since.
 */
export function onJobEnded(
  context: ReduceContext,
  from: string,
  { jobId, submissionId, outcome }: PeerMessageOf<"jobEnded">,
): void {
  const { state } = context;
  const callerJob = state.callerJobs.get(jobId);
  if (callerJob === undefined) return;
  const isFinal = outcome.kind === "done" || outcome.kind === "failed" ||
    outcome.kind === "cancelled";
  const leader = leaderFor(state, callerJob);
  const isCurrent = leader !== null && from === leader.instanceId &&
    isSubmittedTo(callerJob, leader) &&
    submissionIdOf(callerJob) === submissionId;
  if (!isFinal && !isCurrent) return;
  if (outcome.kind === "refused" && spill(context, callerJob, outcome)) return;
  if (outcome.kind === "unknown" && follow(context, callerJob, outcome)) return;
  const reported = reportableOutcome(callerJob, outcome);
  if (reported.kind === "refused") leaveTriedZones(context, callerJob);
  answer(context, callerJob, reported);
}

/**
 * Tells the leaders that handed a refused job over that it is no longer elsewhere
 * for this entry. They would send the caller's next attempt there again.
 */
function leaveTriedZones(
  context: ReduceContext,
  { jobId, triedZones }: CallerJob,
): void {
  const { state } = context;
  for (const zone of triedZones) {
    const isOwn = zone === state.self.availabilityZone;
    const leader = isOwn ? cellLeader(state) : leaderOfZone(state, zone);
    if (leader === null) continue;
    sendPeer(context, leader.instanceId, { type: "withdraw", jobId });
  }
}

/**
 * Submits a job that its leader has not started to the zone that the leader names.
 * If it is of an earlier release, which names none, and has no capacity, the job goes
 * to the least loaded zone, once.
 * Applies only to unrecorded jobs of which no task can have run. Returns whether
 * the job was submitted, or will be.
 */
function spill(
  context: ReduceContext,
  callerJob: CallerJob,
  { reason, elsewhere, isHeldElsewhere }: Extract<
    JobOutcome,
    { kind: "refused" }
  >,
): boolean {
  const { state } = context;
  const { job, queue, triedZones, mayHaveStarted, spilledToZone } = callerJob;
  if (mayHaveStarted || job.isRecorded === true) return false;
  if (elsewhere === null) return false;
  const isFull = reason === "overloaded" || reason === "noWorker";
  const wasSpilled = spilledToZone !== null || triedZones.length > 0;
  if (elsewhere === undefined && (!isFull || wasSpilled)) return false;
  if (mustDefer(state, callerJob)) {
    returnToOwnCell(callerJob);
    return true;
  }
  const zone = elsewhere ?? leastLoadedZone(state, queue.service);
  const fromZone = spilledToZone ?? state.self.availabilityZone;
  if (zone === null || zone === fromZone || triedZones.includes(zone)) {
    return false;
  }
  if (triedZones.length >= MAX_HAND_OVERS) return false;
  if (submitElsewhere(context, callerJob, { fromZone, zone })) return true;
  // The job may run in the other zone.
  if (elsewhere === undefined || isHeldElsewhere === true) return false;
  // The leader hears the other zone, and this instance does not.
  state.counters.handOversFailed += 1;
  triedZones.push(zone);
  // The home leader would name the zone again that it handed the job to.
  if (spilledToZone !== null) triedZones.push(spilledToZone);
  returnToOwnCell(callerJob);
  logDecision(context, {
    part: "zones",
    text: "job not handed over: no leader of the other zone is heard",
  }, { jobId: callerJob.jobId, fromZone, toZone: zone });
  return true;
}

/**
 * Submits a job that its leader has ended to the zone that has the job, too, where
 * it counts as one that may have started. Returns whether it was submitted.
 */
function follow(
  context: ReduceContext,
  callerJob: CallerJob,
  { elsewhere }: Extract<JobOutcome, { kind: "unknown" }>,
): boolean {
  const { state } = context;
  const { job, triedZones, spilledToZone } = callerJob;
  if (elsewhere === undefined || job.isRecorded === true) return false;
  if (mustDefer(state, callerJob)) return false;
  const fromZone = spilledToZone ?? state.self.availabilityZone;
  if (elsewhere === fromZone || triedZones.includes(elsewhere)) return false;
  if (triedZones.length >= MAX_HAND_OVERS) return false;
  callerJob.mayHaveStarted = true;
  return submitElsewhere(context, callerJob, { fromZone, zone: elsewhere });
}

/** Lets a job that was refused be submitted to its own cell once more. */
function returnToOwnCell(callerJob: CallerJob): void {
  callerJob.submittedTo = null;
  callerJob.spilledToZone = null;
}

/**
 * Submits a job of which no task can have run to the leader of another zone.
 * Returns whether such a leader is known.
 */
function submitElsewhere(
  context: ReduceContext,
  callerJob: CallerJob,
  { fromZone, zone }: { fromZone: string; zone: string },
): boolean {
  const { state } = context;
  const leader = leaderOfZone(state, zone);
  if (leader === null) return false;
  callerJob.triedZones.push(fromZone);
  callerJob.spilledToZone = zone;
  callerJob.submittedTo = null;
  logDecision(
    context,
    { part: "callers", text: "job handed to another cell" },
    {
      jobId: callerJob.jobId,
      leaderId: leader.instanceId,
      fromZone,
      toZone: zone,
      waitedMs: Math.round(state.nowMs - callerJob.receivedAtMs),
    },
  );
  submit(context, callerJob, leader);
  return true;
}

/**
 * Submits a job that was never submitted to another zone while the own zone has
 * no known leader. A caller's retry stays as long as runs of an earlier attempt
 * may continue, which only the own zone's leader would see.
 */
function leaveZone(context: ReduceContext, callerJob: CallerJob): boolean {
  const { state } = context;
  const { jobId, job, queue, submissionCount, receivedAtMs } = callerJob;
  if (!state.hasZoneCells || job.isRecorded === true) return false;
  if (submissionCount > 0 || mustDefer(state, callerJob)) return false;
  if (state.nowMs - state.leaderlessSinceMs < LEAVE_ZONE_DELAY_MS) return false;
  const expiresAtMs = retriedRunsExpireAtMs(state, {
    receivedAtMs,
    termStartedAtMs: Infinity,
  });
  if (state.guards.mayRunElsewhere(state.nowMs, expiresAtMs)) return false;
  const suitsZone = createSuitsZone(state, queue.service);
  const zones = otherZones(state, queue.service)
    .filter(({ zone }) => suitsZone(zone, job.steps));
  const first = job.steps.filter(({ after }) => after.length === 0);
  const chosen = chooseZone({
    jobId,
    neededMilli: first.reduce(
      (sum, { count, cpuMilli }) => sum + count * cpuMilli,
      0,
    ),
    runMs: Math.max(0, ...first.map(({ estimatedMs }) => estimatedMs)),
    slackMs: 0,
    waitMs: Infinity,
    isExcess: false,
    triedZones: callerJob.triedZones,
  }, zones);
  if (chosen === null) return false;
  const { zone: { zone } } = chosen;
  const fromZone = state.self.availabilityZone;
  if (!submitElsewhere(context, callerJob, { fromZone, zone })) return false;
  state.counters.jobsSentWithoutLeader += 1;
  return true;
}

/**
 * Replaces a refusal that may be wrong by an unknown outcome. A previous leader
 * may have persisted the record of a recorded job that was submitted before, and
 * a job that was handed over may run elsewhere for another entry.
 */
function reportableOutcome(
  { job, mayHaveStarted }: CallerJob,
  outcome: JobOutcome,
): JobOutcome {
  if (outcome.kind !== "refused") return outcome;
  const mayBePersisted = job.isRecorded === true && mayHaveStarted;
  const mayRun = mayBePersisted || (outcome.elsewhere ?? null) !== null;
  return mayRun ? { kind: "unknown", reason: "leaderLost" } : outcome;
}

const outcomeCounters = {
  done: "jobsDone",
  failed: "jobsFailed",
  refused: "jobsRefused",
  unknown: "jobsUnknown",
  cancelled: "jobsCancelled",
} as const;

/**
 * Handles a leader's report that a job's record is persisted, and answers the
 * callers unless they wait for the outcome.
 */
export function onJobAccepted(
  context: ReduceContext,
  _from: string,
  { jobId }: PeerMessageOf<"jobAccepted">,
): void {
  const { state } = context;
  const callerJob = state.callerJobs.get(jobId);
  if (callerJob === undefined || callerJob.answerAt === "ended") return;
  state.callerJobs.delete(jobId);
  logDecision(context, { part: "callers", text: "job accepted" }, {
    jobId,
    queue: callerJob.queue.name,
    tookMs: Math.round(state.nowMs - callerJob.receivedAtMs),
  });
  reply(context, callerJob, { kind: "accepted" });
}

/**
 * Handles a leader's report that it ends because of an error while it handled a
 * job. The job's callers get an answer now: if it were resubmitted, it could end
 * the next leader, too.
 */
export function onJobFault(
  context: ReduceContext,
  from: string,
  { jobId }: PeerMessageOf<"jobFault">,
): void {
  const { state } = context;
  rememberFaultyJob(state, jobId);
  logDecision(context, {
    level: "error",
    part: "jobs",
    text: "an instance ended by an internal error while it handled the job",
  }, { jobId, endedInstanceId: from });
  const callerJob = state.callerJobs.get(jobId);
  if (callerJob !== undefined) answer(context, callerJob, faultyJobOutcome);
}

function reply(
  context: ReduceContext,
  callerJob: CallerJob,
  callerReply: CallerReply,
): void {
  const { jobId, requestIds } = callerJob;
  for (const requestId of requestIds) {
    emit(context, {
      type: "answerCaller",
      requestId,
      jobId,
      reply: callerReply,
    });
  }
}

/** Answers all callers of a job with its outcome, and removes the job. */
function answer(
  context: ReduceContext,
  callerJob: CallerJob,
  outcome: JobOutcome,
): void {
  const { state } = context;
  const { jobId } = callerJob;
  state.callerJobs.delete(jobId);
  state.counters[outcomeCounters[outcome.kind]] += 1;
  logDecision(context, { part: "callers", text: `job ${outcome.kind}` }, {
    jobId,
    queue: callerJob.queue.name,
    ...loggedOutcome(outcome),
    tookMs: Math.round(state.nowMs - callerJob.receivedAtMs),
    leaderId: state.leaderId,
  });
  reply(context, callerJob, outcome);
}

/** Log fields of an outcome, without task results, which only callers get. */
function loggedOutcome(outcome: JobOutcome): Record<string, unknown> {
  return outcome.kind === "done" ? { kind: outcome.kind } : outcome;
}

/**
 * Submits jobs to leaders that do not have them yet, and answers the callers of
 * jobs that have been without a known leader for too long.
 */
export function checkCallerJobs(context: ReduceContext): void {
  const { state } = context;
  forgetOldWithdrawals(state);
  for (const callerJob of state.callerJobs.values()) {
    const leader = leaderFor(state, callerJob);
    if (leader !== null) {
      callerJob.leaderlessSinceMs = 0;
      const { isDeferred } = callerJob;
      if (isDeferred || !isSubmittedTo(callerJob, leader)) {
        submit(context, callerJob, leader);
      }
      continue;
    }
    if (callerJob.leaderlessSinceMs === 0) {
      const { leaderlessSinceMs } = state;
      callerJob.leaderlessSinceMs = Math.max(
        callerJob.receivedAtMs,
        leaderlessSinceMs,
      );
    }
    if (leaveZone(context, callerJob)) continue;
    const outcome = leaderlessOutcome(state, callerJob);
    if (outcome !== null) answer(context, callerJob, outcome);
  }
}

/** The outcome of a job without a known leader; null while it can wait. */
function leaderlessOutcome(
  state: EngineState,
  callerJob: CallerJob,
): JobOutcome | null {
  const waitedMs = state.nowMs - callerJob.leaderlessSinceMs;
  if (callerJob.submissionCount > 0) {
    return waitedMs < LOST_LEADER_TIMEOUT_MS
      ? null
      : { kind: "unknown", reason: "leaderLost" };
  }
  if (waitedMs < NO_LEADER_TIMEOUT_MS) return null;
  return {
    kind: "refused",
    reason: "noLeader",
    retryAfterMs: NO_LEADER_RETRY_AFTER_MS,
  };
}
