/**
 * The holder's side of a claim: asks the groups of a key's chain in order, and
 * starts the job only with both grants of one group.
 */

import { assert } from "../engine/debug.ts";
import type { DiagnosticName } from "./diagnostics.ts";
import type { GroupRole, PeerMessageOf } from "./schemas.ts";
import type { ClaimAttempt, ClaimGroup, Job, Step } from "./types.ts";
import { chainOf, homeZoneOf } from "./chain.ts";
import type { ClaimReply } from "./guards.ts";
import { askHolder } from "./attach.ts";
import { admitJob } from "./admission.ts";
import { endJob } from "./jobs.ts";
import { nextId, selfRef, sendPeer } from "./utilities.ts";

/** How long a registrar has to answer before it counts as unreachable. */
export const CLAIM_TIMEOUT_MS = 150;
/** How often a stage of a claim is asked again before it is given up. */
export const CLAIM_RESENDS = 3;

const roles: readonly GroupRole[] = ["owner", "witness"];

/** Starts to claim the job's key. */
export function beginClaim(
  step: Step,
  job: Job,
  key: string,
): void {
  const { state } = step;
  assert(job.scopedKey !== null, "claim_has_key", job.jobId);
  job.claim = {
    claimId: "",
    chain: chainOf(state.slots, {
      key: job.scopedKey,
      homeZone: homeZoneOf(state.slots, key),
    }),
    chainIndex: 0,
    stage: "claiming",
    replies: new Map(),
    sentAtMs: state.nowMs,
    resends: 0,
    attachId: null,
    heardAny: false,
  };
  enterStage(step, job, "claiming");
}

function enterStage(
  step: Step,
  job: Job,
  stage: "claiming" | "sealing",
): void {
  const { state } = step;
  const claim = claimOf(job);
  if (claim.claimId !== "") state.claimsById.delete(claim.claimId);
  claim.claimId = nextId(state);
  claim.stage = stage;
  claim.replies.clear();
  claim.resends = 0;
  state.claimsById.set(claim.claimId, job.jobId);
  sendStage(step, job, roles);
}

function claimOf(job: Job): ClaimAttempt {
  assert(job.claim !== null, "claim_under_way", job.jobId);
  return job.claim;
}

function groupAt(claim: ClaimAttempt): ClaimGroup {
  const group = claim.chain[claim.chainIndex];
  assert(group !== undefined, "claim_within_chain", claim.claimId);
  return group;
}

function sendStage(step: Step, job: Job, to: readonly GroupRole[]): void {
  const claim = claimOf(job);
  const group = groupAt(claim);
  claim.sentAtMs = step.state.nowMs;
  for (const role of to) {
    const message = claim.stage === "sealing"
      ? sealMessage(step, job, role)
      : claimMessage(step, job, role);
    sendPeer(step, group[role], message);
  }
}

function sealMessage(
  step: Step,
  job: Job,
  role: GroupRole,
): PeerMessageOf<"seal"> {
  const claim = claimOf(job);
  return {
    type: "seal",
    claimId: claim.claimId,
    group: groupAt(claim).group,
    role,
    key: job.scopedKey ?? "",
    jobId: job.jobId,
    holder: selfRef(step.state),
  };
}

/**
 * How long ago this key can have been claimed first: since the attempt was
 * received where the caller says it is the first, since the key was made where
 * it says when, else without limit.
 */
function oldestPossibleAgeMs(step: Step, job: Job): number | null {
  const { state } = step;
  const sinceReceivedMs = state.nowMs - job.receivedAtMs;
  if (job.attempt === 1) return sinceReceivedMs;
  if (job.createdWallMs === null) return null;
  const skewMs = state.configuration?.limits.clockSkewMs ?? 0;
  const atReceiptMs = Math.max(0, job.receivedWallMs - job.createdWallMs);
  return atReceiptMs + sinceReceivedMs + skewMs;
}

function claimMessage(
  step: Step,
  job: Job,
  role: GroupRole,
): PeerMessageOf<"claim"> {
  const claim = claimOf(job);
  const owner = claim.replies.get("owner");
  const ownerGranted = role === "witness" && owner?.verdict === "granted";
  return {
    type: "claim",
    claimId: claim.claimId,
    group: groupAt(claim).group,
    role,
    key: job.scopedKey ?? "",
    payloadHash: job.payloadHash,
    jobId: job.jobId,
    holder: selfRef(step.state),
    oldestPossibleAgeMs: oldestPossibleAgeMs(step, job),
    receivedAgeMs: step.state.nowMs - job.receivedAtMs,
    ...(ownerGranted ? { ownerGrant: owner.registrar } : {}),
  };
}

/** Takes in a registrar's answer. */
export function onClaimReply(step: Step, reply: ClaimReply): void {
  const { state } = step;
  const job = state.jobs.get(state.claimsById.get(reply.claimId) ?? "");
  if (job === undefined || job.claim === null) return;
  const claim = job.claim;
  if (claim.stage === "attaching" || claim.claimId !== reply.claimId) return;
  claim.heardAny = true;
  claim.replies.set(reply.role, reply);
  if (claim.stage === "sealing") {
    judgeSeal(step, job, reply);
    return;
  }
  judgeClaim(step, job, reply);
  if (isWaitingForLost(step, job, reply)) sealAfterSilence(step, job);
}

/** Whether only a registrar that is known to be gone has not answered yet. */
function isWaitingForLost(step: Step, job: Job, reply: ClaimReply): boolean {
  const { claim } = job;
  if (claim === null || claim.claimId !== reply.claimId) return false;
  if (claim.stage !== "claiming" || claim.replies.size !== 1) return false;
  const other = reply.role === "owner" ? "witness" : "owner";
  const peer = step.state.peers.get(groupAt(claim)[other]);
  return peer !== undefined && peer.lost;
}

type ReplyHandler = (step: Step, job: Job, reply: ClaimReply) => void;

const claimHandlers: Record<ClaimReply["verdict"], ReplyHandler> = {
  granted: judgeGrants,
  taken: judgeTaken,
  sealed: nextGroup,
  amnesic: judgeAmnesic,
  conflict: (step, job) => endClaim(step, job, "keyConflict"),
  expired: (step, job) => endClaim(step, job, "keyExpired"),
  // An attempt after the refusal may have run since.
  superseded: (step, job) => endClaim(step, job, "outcomeUnknown"),
};

function judgeClaim(step: Step, job: Job, reply: ClaimReply): void {
  claimHandlers[reply.verdict](step, job, reply);
}

function judgeGrants(step: Step, job: Job): void {
  const claim = claimOf(job);
  const owner = claim.replies.get("owner");
  const witness = claim.replies.get("witness");
  if (owner === undefined || witness === undefined) return;
  if (owner.verdict === "granted" && witness.verdict === "taken") {
    insistOnWitness(step, job);
    return;
  }
  if (witness.verdict === "amnesic" || owner.verdict === "amnesic") {
    enterStage(step, job, "sealing");
    return;
  }
  if (owner.verdict !== "granted" || witness.verdict !== "granted") return;
  if (step.state.guards.mayStart(owner, witness)) {
    startGranted(step, job, { owner, witness });
    return;
  }
  // The two do not know each other yet, so neither may vouch for this pair.
  enterStage(step, job, "sealing");
}

function insistOnWitness(step: Step, job: Job): void {
  claimOf(job).resends += 1;
  sendStage(step, job, ["witness"]);
}

function startGranted(
  step: Step,
  job: Job,
  { owner, witness }: { owner: ClaimReply; witness: ClaimReply },
): void {
  assert(
    owner.partner?.incarnation === witness.registrar.incarnation &&
      witness.partner?.incarnation === owner.registrar.incarnation,
    "start_needs_both_grants",
    job.jobId,
  );
  const claim = claimOf(job);
  job.grantedGroup = groupAt(claim);
  leaveClaim(step, job);
  admitJob(step, job);
}

function leaveClaim(step: Step, job: Job): void {
  step.state.claimsById.delete(claimOf(job).claimId);
  job.claim = null;
}

/** Somebody holds the key: the answer comes from there, if it can be had. */
function judgeTaken(step: Step, job: Job, reply: ClaimReply): void {
  const claim = claimOf(job);
  const owner = claim.replies.get("owner");
  const lostWitnessOnly = reply.role === "witness" &&
    (owner === undefined || owner.verdict === "granted");
  const mayStillWin = claim.resends < CLAIM_RESENDS;
  if (lostWitnessOnly && mayStillWin && reply.answer === undefined) {
    // The owner decides between attempts that race; wait for its word.
    if (owner !== undefined) insistOnWitness(step, job);
    return;
  }
  if (reply.answer !== undefined) {
    leaveClaim(step, job);
    endJob(step, job, { answer: { ...reply.answer, jobId: job.jobId } });
    return;
  }
  attachToHolder(step, job, reply);
}

function attachToHolder(step: Step, job: Job, reply: ClaimReply): void {
  const claim = claimOf(job);
  if (reply.holder === undefined || reply.holderJobId === undefined) return;
  step.state.claimsById.delete(claim.claimId);
  claim.stage = "attaching";
  claim.sentAtMs = step.state.nowMs;
  claim.attachId = askHolder(step, {
    holder: reply.holder.slot,
    holderJobId: reply.holderJobId,
    team: job.team,
    job,
  });
}

function judgeAmnesic(step: Step, job: Job): void {
  const claim = claimOf(job);
  const verdicts = roles.map((role) => claim.replies.get(role)?.verdict);
  if (verdicts.every((verdict) => verdict === "amnesic")) {
    endClaim(step, job, "outcomeUnknown");
  } else if (verdicts.includes("granted")) {
    enterStage(step, job, "sealing");
  }
}

function judgeSeal(step: Step, job: Job, reply: ClaimReply): void {
  const claim = claimOf(job);
  if (reply.verdict === "sealed") {
    nextGroup(step, job);
    return;
  }
  const settled = roles.every((role) => claim.replies.has(role));
  if (!settled) return;
  const taken = [...claim.replies.values()].find((r) => r.verdict === "taken");
  if (taken !== undefined) attachToHolder(step, job, taken);
  else endClaim(step, job, "outcomeUnknown");
}

function nextGroup(step: Step, job: Job): void {
  const claim = claimOf(job);
  claim.chainIndex += 1;
  if (claim.chainIndex < claim.chain.length) {
    enterStage(step, job, "claiming");
    return;
  }
  // Every group is sealed: nothing of this key ever started, or ever will.
  endClaim(step, job, "registrarsUnreachable");
}

/** Ends a claim without a start, and tells the registrars so. */
function endClaim(step: Step, job: Job, diagnostic: DiagnosticName): void {
  const claim = claimOf(job);
  const asked = claim.chain.slice(0, claim.chainIndex + 1);
  for (const group of asked) releaseClaim(step, job, group);
  leaveClaim(step, job);
  endJob(step, job, { diagnostic });
}

/** Tells a group's registrars that the job ended with nothing started. */
export function releaseClaim(step: Step, job: Job, group: ClaimGroup): void {
  tellOutcome(step, job, { group, released: true });
}

/** Tells a group's registrars how the job ended. */
export function tellOutcome(
  step: Step,
  job: Job,
  { group, released }: { group: ClaimGroup; released: boolean },
): void {
  for (const role of roles) {
    sendPeer(step, group[role], {
      type: "outcome",
      group: group.group,
      key: job.scopedKey ?? "",
      jobId: job.jobId,
      released,
      ...(released || job.answer === null ? {} : { answer: job.answer }),
    });
  }
}

/** The holder could not be asked: what it did with the key is not known. */
export function onHolderSilent(step: Step, job: Job): void {
  if (job.claim !== null) endClaim(step, job, "outcomeUnknown");
}

/** Asks again, or gives a registrar up, once its time is over. */
export function checkClaimTimeout(step: Step, job: Job): void {
  const claim = job.claim;
  if (claim === null || claim.stage === "attaching") return;
  if (step.state.nowMs - claim.sentAtMs < CLAIM_TIMEOUT_MS) return;
  const silent = roles.filter((role) => !claim.replies.has(role));
  if (claim.resends < CLAIM_RESENDS && silent.length > 0) {
    const oneAnswered = silent.length === 1;
    if (claim.stage === "claiming" && oneAnswered) {
      sealAfterSilence(step, job);
      return;
    }
    claim.resends += 1;
    sendStage(step, job, silent);
    return;
  }
  giveUp(step, job);
}

function sealAfterSilence(step: Step, job: Job): void {
  const heard = [...claimOf(job).replies.values()][0];
  if (heard?.verdict === "taken") attachToHolder(step, job, heard);
  else if (heard?.verdict === "amnesic") endClaim(step, job, "outcomeUnknown");
  else enterStage(step, job, "sealing");
}

function giveUp(step: Step, job: Job): void {
  const claim = claimOf(job);
  const isFirst = job.attempt === 1;
  const taken = [...claim.replies.values()].find((r) => r.verdict === "taken");
  if (taken !== undefined) attachToHolder(step, job, taken);
  else if (isFirst) endClaim(step, job, "registrarsUnreachable");
  else endClaim(step, job, "outcomeUnknown");
}
