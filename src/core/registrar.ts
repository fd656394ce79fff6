/**
 * The registrar: this instance's memory of claims, as owner or witness of a
 * group. A task may start only when both members of one group granted its key
 * to the same holder; either member alone can seal the key, after which the
 * group never grants it. See docs/design/claims.md.
 */

import { assert } from "../engine/debug.ts";
import type {
  GroupRole,
  InstanceRef,
  PeerMessageOf,
  Verdict,
} from "./schemas.ts";
import type { ClaimRecord, CoreState, GroupState, Step } from "./types.ts";
import { groupOf } from "./chain.ts";
import { sendRecords } from "./handover.ts";
import { sameInstance, selfRef, sendPeer } from "./utilities.ts";

type Claim = PeerMessageOf<"claim">;

/** How long a refusal is remembered against attempts that were overtaken. */
export const RELEASE_RETENTION_MS = 30_000;
/** Creates the groups that this instance is a member of. */
export function createGroups(
  slots: CoreState["slots"],
  { self, bornAtMs }: { self: string; bornAtMs: number },
): Map<string, GroupState> {
  const groups = new Map<string, GroupState>();
  for (const slot of slots) {
    const group = groupOf(slots, slot.slot);
    if (group.owner !== self && group.witness !== self) continue;
    groups.set(group.group, {
      ...group,
      role: group.owner === self ? "owner" : "witness",
      partner: null,
      formedAtMs: bornAtMs,
      memorySinceMs: bornAtMs,
      cleanHandover: false,
      departedIncarnation: 0,
      hasRecords: false,
      handoverParts: 0,
      records: new Map(),
    });
  }
  return groups;
}

function retentionMs(state: CoreState): number {
  return state.configuration?.limits.claimRetentionMs ?? 600_000;
}

/** The slot that this instance shares the group with. */
export function partnerSlot(group: GroupState): string {
  return group.role === "owner" ? group.witness : group.owner;
}

function verdictOnRecord(
  state: CoreState,
  record: ClaimRecord,
  { claim, group }: { claim: Claim; group: GroupState },
): Verdict {
  switch (record.state) {
    case "sealed":
      return "sealed";
    case "released": {
      const receivedAtMs = state.nowMs - claim.receivedAgeMs;
      if (receivedAtMs <= record.recordedAtMs) return "superseded";
      grant(state, group, claim);
      return "granted";
    }
    case "claimed": {
      if (!state.guards.samePayload(record.payloadHash, claim.payloadHash)) {
        return "conflict";
      }
      if (holds(record, claim.holder, claim.jobId)) return "granted";
      if (mayReplace(group, record, claim)) {
        grant(state, group, claim);
        return "granted";
      }
      return "taken";
    }
  }
}

/** Whether a record belongs to this holder's job. */
export function holds(
  record: ClaimRecord,
  holder: InstanceRef,
  jobId: string,
): boolean {
  return record.jobId === jobId && sameInstance(record.holder, holder);
}

/**
 * Two attempts that race may split the pair. The one with the owner's grant
 * wins: the owner never grants the other, so the other cannot have started.
 */
function mayReplace(
  group: GroupState,
  record: ClaimRecord,
  claim: Claim,
): boolean {
  return group.role === "witness" && !record.ownerConfirmed &&
    claim.ownerGrant !== undefined && group.partner !== null &&
    sameInstance(claim.ownerGrant, group.partner);
}

function grant(state: CoreState, group: GroupState, claim: Claim): void {
  group.records.set(claim.key, {
    key: claim.key,
    payloadHash: claim.payloadHash,
    jobId: claim.jobId,
    holder: claim.holder,
    state: "claimed",
    recordedAtMs: state.nowMs,
    ownerConfirmed: claim.ownerGrant !== undefined,
    answer: null,
  });
}

function sealKey(
  state: CoreState,
  group: GroupState,
  { key, jobId, holder }: { key: string; jobId: string; holder: InstanceRef },
): void {
  state.counters.claimsSealed += 1;
  group.records.set(key, {
    key,
    payloadHash: "",
    jobId,
    holder,
    state: "sealed",
    recordedAtMs: state.nowMs,
    ownerConfirmed: false,
    answer: null,
  });
}

function verdictWithoutRecord(
  state: CoreState,
  group: GroupState,
  claim: Claim,
): Verdict {
  const ageMs = claim.oldestPossibleAgeMs;
  if (ageMs !== null && ageMs > retentionMs(state)) return "expired";
  const firstPossibleMs = ageMs === null ? -Infinity : state.nowMs - ageMs;
  if (!state.guards.remembers(firstPossibleMs, group.memorySinceMs)) {
    return "amnesic";
  }
  if (!state.guards.mayGrant(firstPossibleMs, group.formedAtMs)) {
    sealKey(state, group, claim);
    return "sealed";
  }
  grant(state, group, claim);
  return "granted";
}

function reply(
  step: Step,
  group: GroupState,
  { to, claimId, key, verdict }: {
    to: string;
    claimId: string;
    key: string;
    verdict: Verdict;
  },
): void {
  const record = group.records.get(key);
  const told = verdict === "taken" && record !== undefined;
  sendPeer(step, to, {
    type: "claimReply",
    claimId,
    group: group.group,
    role: group.role,
    verdict,
    registrar: selfRef(step.state),
    partner: group.partner,
    ...(told ? { holder: record.holder, holderJobId: record.jobId } : {}),
    ...(told && record.answer !== null ? { answer: record.answer } : {}),
  });
}

function memberGroup(
  state: CoreState,
  name: string,
  role: GroupRole,
): GroupState | undefined {
  const group = state.groups.get(name);
  return group?.role === role ? group : undefined;
}

/** Answers a holder that asks for a key. */
export function onClaim(step: Step, from: InstanceRef, claim: Claim): void {
  const { state } = step;
  const group = memberGroup(state, claim.group, claim.role);
  if (group === undefined) return;
  const record = group.records.get(claim.key);
  const verdict = record === undefined
    ? verdictWithoutRecord(state, group, claim)
    : verdictOnRecord(state, record, { claim, group });
  if (verdict === "taken") state.counters.claimsTaken += 1;
  reply(step, group, {
    to: from.slot,
    claimId: claim.claimId,
    key: claim.key,
    verdict,
  });
}

/** Closes a key in this group for good, unless somebody else holds it. */
export function onSeal(
  step: Step,
  from: InstanceRef,
  message: PeerMessageOf<"seal">,
): void {
  const { state } = step;
  const group = memberGroup(state, message.group, message.role);
  if (group === undefined) return;
  const record = group.records.get(message.key);
  const free = record === undefined || record.state === "released" ||
    holds(record, message.holder, message.jobId);
  // A registrar whose memory began after the key may not speak for the past.
  const amnesic = record === undefined && group.memorySinceMs > -Infinity;
  let verdict: Verdict = "taken";
  if (record?.state === "sealed") verdict = "sealed";
  else if (amnesic) verdict = "amnesic";
  else if (free) {
    sealKey(state, group, message);
    verdict = "sealed";
  }
  reply(step, group, {
    to: from.slot,
    claimId: message.claimId,
    key: message.key,
    verdict,
  });
}

/** Notes how a held job ended, so that a later attempt can be answered. */
export function onOutcome(
  step: Step,
  from: InstanceRef,
  message: PeerMessageOf<"outcome">,
): void {
  const record = step.state.groups.get(message.group)?.records.get(message.key);
  if (record === undefined || !holds(record, from, message.jobId)) return;
  if (record.state !== "claimed") return;
  if (message.released) {
    record.state = "released";
    record.recordedAtMs = step.state.nowMs;
  } else if (message.answer !== undefined) {
    record.answer = message.answer;
  }
}

/** Forms, or forms anew, the groups shared with a peer that was heard from. */
export function onPartnerHeard(
  step: Step,
  partner: InstanceRef,
  partnerIsVirgin: boolean,
): void {
  const { state } = step;
  for (const group of state.groups.values()) {
    if (partnerSlot(group) !== partner.slot) continue;
    if (group.partner?.incarnation === partner.incarnation) continue;
    // An older incarnation's late message must not undo a newer pairing.
    if ((group.partner?.incarnation ?? 0) > partner.incarnation) continue;
    if (partner.incarnation <= group.departedIncarnation) continue;
    formGroup(step, group, { partner, partnerIsVirgin });
  }
}

function formGroup(
  step: Step,
  group: GroupState,
  { partner, partnerIsVirgin }: {
    partner: InstanceRef;
    partnerIsVirgin: boolean;
  },
): void {
  const { state } = step;
  const first = group.partner === null && !group.cleanHandover;
  if (first && state.virgin && partnerIsVirgin) {
    group.formedAtMs = -Infinity;
  } else if (!group.cleanHandover) {
    group.formedAtMs = state.nowMs;
  }
  group.partner = partner;
  group.cleanHandover = false;
  assert(
    group.formedAtMs >= group.memorySinceMs,
    "group_formed_within_memory",
    group.group,
  );
  if (group.records.size > 0 || !first) sendRecords(step, group, false);
}

/** A fresh boot: no incarnation of this slot ran within the retention. */
export function onVirginBoot(step: Step): void {
  const { state } = step;
  state.virgin = true;
  for (const group of state.groups.values()) {
    group.memorySinceMs = -Infinity;
    group.hasRecords = true;
  }
}

/** Forgets records that are past their retention. */
export function expireRecords(state: CoreState): void {
  const keepMs = retentionMs(state);
  for (const group of state.groups.values()) {
    for (const [key, record] of group.records) {
      const limit = record.state === "released" ? RELEASE_RETENTION_MS : keepMs;
      if (state.nowMs - record.recordedAtMs > limit) group.records.delete(key);
    }
    raiseHorizon(state, group, keepMs);
  }
}

/**
 * Once every older claim is past its retention, a key of unknown age is judged
 * as any other: the promise on duplicates is stated for the retention only.
 */
function raiseHorizon(
  state: CoreState,
  group: GroupState,
  keepMs: number,
): void {
  const quietSinceMs = state.nowMs - keepMs;
  if (group.memorySinceMs < quietSinceMs) group.memorySinceMs = -Infinity;
  if (
    group.partner !== null && group.formedAtMs < quietSinceMs &&
    group.memorySinceMs === -Infinity
  ) {
    group.formedAtMs = -Infinity;
  }
}
