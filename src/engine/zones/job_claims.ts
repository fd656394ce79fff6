/**
 * Claims: the leaders of zones tell each other which jobs in memory they have. A
 * caller may send its request to an entry of another zone while the first one
 * has not learned that it has left; without claims, no leader would know that
 * the job is in work elsewhere.
 *
 * A leader requests the claims of each other leader, and gets all of them, and
 * from then on each new one. A claim is withdrawn (`released`) once the job may
 * start elsewhere; otherwise it expires with the memory of the job's outcome.
 *
 * An entry that submits a job that another zone has is sent there and gets the
 * same outcome as the first one. Messages about a job may cross: then one of the
 * two leaders ends the job, see `claim_conflicts.ts`.
 */

import { logDecision, sendPeer } from "../effects.ts";
import { ENDED_JOB_RETENTION_MS } from "../job_table.ts";
import { jobIdOf } from "../job_state.ts";
import { isActiveLeader, leaderOfZone } from "../leader_lookup.ts";
import { isLive } from "../membership.ts";
import { maxRunOutlastMs } from "../previous_runs.ts";
import type { JobOutcome, PeerMessageOf } from "../schemas.ts";
import type {
  EngineState,
  Job,
  Peer,
  ReduceContext,
  Scheduler,
} from "../types.ts";
import type { JobClaim, JobClaims } from "./zone_types.ts";

type ClaimsMessage = PeerMessageOf<"claims">;

/** Interval at which claims are requested until they arrive. */
const REQUEST_INTERVAL_MS = 300;
/** Interval at which expired claims are removed. */
const SWEEP_INTERVAL_MS = 1_000;
/** Time without a heartbeat as a leader after which a subscriber is forgotten. */
const SUBSCRIBER_TIMEOUT_MS = 1_000;
/** Retry delay that callers get if the other zone cannot be reached. */
const RETRY_AFTER_MS = 250;
/** Maximum number of jobs that others claim; the oldest ones are dropped. */
const MAX_CLAIMED_JOBS = 65_536;

/**
 * Tells the leaders of other zones that this one has a job, or has it for longer
 * than it said before.
 */
export function claimJob(
  context: ReduceContext,
  scheduler: Scheduler,
  job: Job,
): void {
  scheduler.claims.ending.delete(job.jobId);
  if (job.record !== null) return;
  send(context, scheduler, {
    claims: { [job.jobId]: claimOf(context.state, job) },
  });
}

/**
 * Handles the end of a job. One that was refused has no runs and may start
 * elsewhere at once. One that is done or has failed stays claimed, so that a
 * caller's retry finds its outcome.
 */
export function endClaim(
  context: ReduceContext,
  scheduler: Scheduler,
  job: Job,
): void {
  if (job.record !== null || scheduler.claims.subscribers.size === 0) return;
  const kind = job.outcome?.kind;
  if (kind === "done" || kind === "failed") return;
  if (kind === "refused") {
    send(context, scheduler, { released: [job.jobId] });
  } else scheduler.claims.ending.add(job.jobId);
}

function claimOf(
  { nowMs }: EngineState,
  { receivedAtMs, deadlineAtMs, outcome, endedAtMs }: Job,
): ClaimsMessage["claims"][string] {
  const ownUntilMs = outcome === null ? deadlineAtMs : endedAtMs;
  return {
    forMs: Math.round(ownUntilMs + ENDED_JOB_RETENTION_MS - nowMs),
    heldMs: Math.round(nowMs - receivedAtMs),
  };
}

function send(
  context: ReduceContext,
  { term, claims: { subscribers } }: Scheduler,
  { claims = {}, released = [] }: Partial<ClaimsMessage>,
): void {
  const { counters } = context.state;
  for (const instanceId of subscribers.keys()) {
    counters.jobClaimsSent += Object.keys(claims).length;
    sendPeer(context, instanceId, {
      type: "claims",
      term,
      isComplete: false,
      claims,
      released,
    });
  }
}

/** Handles another leader's request for the claims of this one. */
export function onClaimsWanted(context: ReduceContext, from: string): void {
  const { scheduler, nowMs } = context.state;
  if (scheduler === null) return;
  scheduler.claims.subscribers.set(from, nowMs);
  sendAll(context, scheduler, from);
}

/**
 * Handles a new connection to a peer. The one before may have lost claims in both
 * directions.
 */
export function resendClaims(context: ReduceContext, instanceId: string): void {
  const { scheduler } = context.state;
  if (scheduler === null) return;
  const { sources, subscribers } = scheduler.claims;
  sources.delete(instanceId);
  if (subscribers.has(instanceId)) sendAll(context, scheduler, instanceId);
}

function sendAll(
  context: ReduceContext,
  scheduler: Scheduler,
  instanceId: string,
): void {
  const { state } = context;
  const claims: ClaimsMessage["claims"] = {};
  for (const job of scheduler.jobs.values()) {
    if (!isClaimed(scheduler, job)) continue;
    claims[job.jobId] = claimOf(state, job);
  }
  state.counters.jobClaimsSent += Object.keys(claims).length;
  sendPeer(context, instanceId, {
    type: "claims",
    term: scheduler.term,
    isComplete: true,
    claims,
    released: [],
  });
}

/** Whether this leader claims a job that it has or had. */
function isClaimed({ claims }: Scheduler, { jobId, record, outcome }: Job) {
  if (record !== null) return false;
  const mayAnswer = outcome === null || outcome.kind === "done" ||
    outcome.kind === "failed";
  return mayAnswer || claims.ending.has(jobId);
}

/** Tells a leader that claims a job which this one keeps that it keeps it. */
export function repeatClaim(
  context: ReduceContext,
  scheduler: Scheduler,
  { job, leaderId }: { job: Job; leaderId: string },
): void {
  context.state.counters.jobClaimsSent += 1;
  sendPeer(context, leaderId, {
    type: "claims",
    term: scheduler.term,
    isComplete: false,
    claims: { [job.jobId]: claimOf(context.state, job) },
    released: [],
  });
}

/** A claim that a leader has sent. */
export interface ReceivedClaim {
  readonly jobId: string;
  readonly claim: JobClaim;
  /** The leader had claimed the job before. */
  readonly wasKnown: boolean;
}

/** Handles claims of the leader of another zone, and returns the new ones. */
export function storeClaims(
  { state }: ReduceContext,
  from: string,
  { term, isComplete, claims, released }: ClaimsMessage,
): ReceivedClaim[] {
  const { scheduler, nowMs } = state;
  const zone = state.peers.get(from)?.info.availabilityZone;
  if (scheduler === null || zone === undefined) return [];
  if (zone === state.self.availabilityZone) return [];
  const { byJob, sources } = scheduler.claims;
  if (isComplete) {
    const source = sources.get(from);
    if (source?.term === term) source.isAnswered = true;
    for (const jobId of byJob.keys()) {
      if (!Object.hasOwn(claims, jobId)) removeClaim(byJob, jobId, from);
    }
  }
  for (const jobId of released) removeClaim(byJob, jobId, from);
  return Object.entries(claims).map(([jobId, { forMs, heldMs }]) => {
    const claim: JobClaim = {
      zone,
      leaderId: from,
      term,
      receivedAtMs: nowMs - heldMs,
      expiresAtMs: nowMs + forMs,
    };
    const wasKnown = byJob.get(jobId)?.some(({ leaderId }) =>
      leaderId === from
    ) === true;
    storeClaim(byJob, jobId, claim);
    state.counters.jobClaimsReceived += 1;
    return { jobId, claim, wasKnown };
  });
}

type ClaimsByJob = JobClaims["byJob"];

function claimsOfOthers(
  byJob: ClaimsByJob,
  jobId: string,
  leaderId: string,
): JobClaim[] {
  const known = byJob.get(jobId) ?? [];
  return known.filter((claim) => claim.leaderId !== leaderId);
}

function removeClaim(
  byJob: ClaimsByJob,
  jobId: string,
  leaderId: string,
): void {
  const left = claimsOfOthers(byJob, jobId, leaderId);
  if (left.length === 0) byJob.delete(jobId);
  else byJob.set(jobId, left);
}

function storeClaim(byJob: ClaimsByJob, jobId: string, claim: JobClaim): void {
  const claims = [...claimsOfOthers(byJob, jobId, claim.leaderId), claim];
  // Sets the job as the newest one in the order of the map.
  byJob.delete(jobId);
  byJob.set(jobId, claims);
  if (byJob.size <= MAX_CLAIMED_JOBS) return;
  const [oldest] = byJob.keys();
  if (oldest !== undefined) byJob.delete(oldest);
}

/**
 * Returns the claim of a job by the leader of another zone, or null if no run of
 * that leader can go on.
 */
export function claimElsewhere(
  state: EngineState,
  { claims }: Scheduler,
  jobId: string,
): JobClaim | null {
  const found = claims.byJob.get(jobId)
    ?.find((claim) => state.nowMs < claimEndsAtMs(state, claim));
  return found ?? null;
}

/** Time up to which the leader of a claim has the job, or its runs go on. */
function claimEndsAtMs(
  state: EngineState,
  { zone, leaderId, expiresAtMs }: JobClaim,
): number {
  if (leaderOfZone(state, zone) !== null) return expiresAtMs;
  // A leader that is cut off with its zone has the job until its deadline.
  if (!hasLiveInstance(state, zone)) {
    return expiresAtMs - ENDED_JOB_RETENTION_MS;
  }
  const lastHeardMs = state.peers.get(leaderId)?.lastMessageAtMs ?? -Infinity;
  return Math.min(expiresAtMs, lastHeardMs + maxRunOutlastMs(state));
}

function hasLiveInstance(state: EngineState, zone: string): boolean {
  return [...state.peers.values()].some((peer) =>
    peer.info.availabilityZone === zone && isLive(state, peer)
  );
}

/**
 * Whether the leader of a zone had a job before this one became the leader of all
 * zones, and may have started it.
 */
export function wasClaimed(
  { hasZoneCells, nowMs }: EngineState,
  { claims }: Scheduler,
  { jobId, job }: PeerMessageOf<"submit">,
): boolean {
  if (hasZoneCells || job.isRecorded === true) return false;
  return claims.byJob.get(jobId)
    ?.some(({ expiresAtMs }) => nowMs < expiresAtMs) === true;
}

/**
 * Whether no task of a job starts, since the leader of another zone has the job,
 * or may have it.
 */
export function isHeldElsewhere(
  state: EngineState,
  scheduler: Scheduler,
  { jobId, record }: Job,
): boolean {
  if (record !== null || !state.hasZoneCells) return false;
  const { guards, nowMs } = state;
  const claim = claimElsewhere(state, scheduler, jobId);
  if (guards.mayRunInOtherZone(claim)) return true;
  return guards.mayMissClaims(nowMs - scheduler.startedAtMs) &&
    awaitsClaims(state, scheduler);
}

/** Whether another leader has not sent its claims yet. */
function awaitsClaims(state: EngineState, { claims }: Scheduler): boolean {
  return otherLeaders(state).some(({ info, term }) => {
    const source = claims.sources.get(info.instanceId);
    return source?.term !== term || !source.isAnswered;
  });
}

/**
 * Returns the outcome that sends an entry to the zone that has its job; null if
 * there is none, or if the entry can't submit the job there.
 */
export function outcomeElsewhere(
  context: ReduceContext,
  scheduler: Scheduler,
  { message, known }: {
    message: PeerMessageOf<"submit">;
    known: Job | undefined;
  },
): JobOutcome | null {
  const { state } = context;
  const { jobId, job, triedZones, resubmitted } = message;
  if (job.isRecorded === true || !state.hasZoneCells) return null;
  const claim = claimElsewhere(state, scheduler, jobId);
  if (!state.guards.mayRunInOtherZone(claim) || claim === null) return null;
  const { zone, leaderId, term } = claim;
  const leader = leaderOfZone(state, zone);
  if (leader === null || triedZones?.includes(zone) !== false) return null;
  state.counters.jobsFollowed += 1;
  logDecision(context, {
    part: "zones",
    text: "job is in work in another zone; its entry is sent there",
  }, { jobId, toZone: zone, otherLeaderId: leaderId, resubmitted });
  // The next leader of that zone has to look for runs of the one before.
  const isSameTerm = leader.instanceId === leaderId && leader.term === term;
  const mayHaveStarted = resubmitted || known?.mayHaveStarted === true ||
    !isSameTerm;
  return elsewhereOutcome(zone, { mayHaveStarted });
}

/** Returns the outcome that sends the entries of a job to the zone that has it. */
export function elsewhereOutcome(
  zone: string,
  { mayHaveStarted }: { mayHaveStarted: boolean },
): JobOutcome {
  if (mayHaveStarted) {
    return { kind: "unknown", reason: "leaderLost", elsewhere: zone };
  }
  return {
    kind: "refused",
    reason: "overloaded",
    retryAfterMs: RETRY_AFTER_MS,
    elsewhere: zone,
    isHeldElsewhere: true,
  };
}

/**
 * Exchanges claims with the leaders of other zones. They may see zones as cells
 * while this one does not, as its list of workers is another one.
 */
export function checkClaims(
  context: ReduceContext,
  scheduler: Scheduler,
): void {
  const { state } = context;
  const { claims } = scheduler;
  requestClaims(context, scheduler);
  forgetSubscribers(state, scheduler);
  releaseEnded(context, scheduler);
  if (state.nowMs - claims.sweptAtMs < SWEEP_INTERVAL_MS) return;
  claims.sweptAtMs = state.nowMs;
  for (const [jobId, known] of claims.byJob) {
    const isOver = known.every(({ expiresAtMs }) => state.nowMs >= expiresAtMs);
    if (isOver) claims.byJob.delete(jobId);
  }
}

/** The leaders of other zones that tell which jobs they have. */
function otherLeaders(state: EngineState): Peer[] {
  return [...state.peers.values()].filter((peer) =>
    peer.announcesClaims && isActiveLeader(state, peer) &&
    peer.info.availabilityZone !== state.self.availabilityZone
  );
}

function requestClaims(
  context: ReduceContext,
  { claims: { sources } }: Scheduler,
): void {
  const { state } = context;
  for (const { info: { instanceId }, term } of otherLeaders(state)) {
    let source = sources.get(instanceId);
    if (source?.term !== term) {
      source = { term, requestedAtMs: -Infinity, isAnswered: false };
      sources.set(instanceId, source);
    }
    if (source.isAnswered) continue;
    if (state.nowMs - source.requestedAtMs < REQUEST_INTERVAL_MS) continue;
    source.requestedAtMs = state.nowMs;
    sendPeer(context, instanceId, { type: "claimsWanted" });
  }
}

/** Forgets subscribers that lead no more; they request the claims again if so. */
function forgetSubscribers(
  { peers, nowMs }: EngineState,
  { claims: { subscribers } }: Scheduler,
): void {
  for (const [instanceId, subscribedAtMs] of subscribers) {
    const peer = peers.get(instanceId);
    const isGone = peer === undefined || !peer.isLeader;
    if (isGone && nowMs - subscribedAtMs >= SUBSCRIBER_TIMEOUT_MS) {
      subscribers.delete(instanceId);
    }
  }
}

/** Releases the jobs that have ended and have no runs on workers any more. */
function releaseEnded(context: ReduceContext, scheduler: Scheduler): void {
  const { ending } = scheduler.claims;
  if (ending.size === 0) return;
  const running = new Set<string>();
  for (const { runs } of scheduler.workers.values()) {
    for (const { taskName } of runs.values()) running.add(jobIdOf(taskName));
  }
  const released = [...ending].filter((jobId) => !running.has(jobId));
  if (released.length === 0) return;
  for (const jobId of released) ending.delete(jobId);
  send(context, scheduler, { released });
}
