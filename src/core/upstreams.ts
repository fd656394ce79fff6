/** Upstreams: the list of them, their health, and which may get work. */

import type { Suspect, UpstreamMember } from "./schemas.ts";
import type { CoreState, Peer, SendOutcome, Step, Upstream } from "./types.ts";
import { regionOfZone } from "./chain.ts";
import { isLivePeer, shareSlots } from "./slot_sharing.ts";
import { emit, getOrInsert, rendezvousOrder } from "./utilities.ts";

/** Failures in a row after which an upstream gets no work for a while. */
const EJECT_AFTER_FAILURES = 3;
/** The first time out of rotation; it doubles with each failed probe. */
const EJECT_FIRST_MS = 5_000;
/** A success this recent weighs more than failures elsewhere. */
const TRUST_MS = 500;
/** The longest time out of rotation. */
const EJECT_LONGEST_MS = 30_000;
/** The largest share of a zone's upstreams that may be out at once. */
const EJECT_MAX_SHARE = 0.5;

/** Takes in a membership list; leaving is sticky and survives older lists. */
export function adoptMembership(
  step: Step,
  members: readonly UpstreamMember[],
  membershipVersion: number,
): void {
  const { state } = step;
  state.membershipVersion = membershipVersion;
  const { region } = state.self;
  const near = members.filter((member) =>
    regionOfZone(state.slots, member.availabilityZone) === region
  );
  const named = new Set(near.map((member) => member.id));
  for (const member of near) {
    const upstream = getOrInsert(
      state.upstreams,
      member.id,
      () => createUpstream(member),
    );
    if (member.state === "leaving") markLeaving(step, upstream);
  }
  for (const upstream of state.upstreams.values()) {
    if (named.has(upstream.id)) continue;
    markLeaving(step, upstream);
    if (upstream.inFlight > 0) continue;
    state.upstreams.delete(upstream.id);
    state.leavingUpstreams.delete(upstream.id);
  }
  shareSlots(state);
}

function createUpstream(member: UpstreamMember): Upstream {
  return {
    id: member.id,
    service: member.service,
    availabilityZone: member.availabilityZone,
    address: member.address,
    slots: member.slots,
    leaving: false,
    ownedSlots: 0,
    inFlightOwned: 0,
    inFlight: 0,
    lentSlots: 0,
    consecutiveFailures: 0,
    lastSuccessMs: -Infinity,
    ejectedUntilMs: 0,
    ejections: 0,
    probeInFlight: false,
  };
}

/** Stops new work to an upstream, for good. */
export function markLeaving(step: Step, upstream: Upstream): void {
  if (upstream.leaving) return;
  upstream.leaving = true;
  step.state.leavingUpstreams.add(upstream.id);
  emit(step, {
    type: "log",
    level: "info",
    part: "upstreams",
    text: `upstream ${upstream.id} is leaving`,
  });
}

/** Owned slots that are neither in use nor lent. */
export function freeOwnedSlots(upstream: Upstream): number {
  const { ownedSlots, inFlightOwned, lentSlots } = upstream;
  return Math.max(0, ownedSlots - inFlightOwned - lentSlots);
}

/** Whether an upstream may get one more task now. */
export function isUsable(state: CoreState, upstream: Upstream): boolean {
  if (!state.guards.mayReceiveWork(upstream)) return false;
  if (upstream.ejections === 0) return true;
  if (state.nowMs < upstream.ejectedUntilMs) return false;
  // Back from ejection, it gets one task at a time until one succeeds.
  return !upstream.probeInFlight && mayProbe(state, upstream);
}

/** One instance probes; the others wait until it no longer suspects. */
function mayProbe(state: CoreState, upstream: Upstream): boolean {
  const [prober] = rendezvousOrder(upstream.id, [...state.sharers]);
  const self = state.self.slot;
  return prober === self || failuresAtPeers(state, upstream.id) === 0;
}

/** Failures in a row that live peers saw, added up. */
function failuresAtPeers(state: CoreState, upstreamId: string): number {
  let failures = 0;
  for (const peer of state.peers.values()) {
    const seen = peer.suspects.get(upstreamId) ?? 0;
    if (seen > 0 && isLivePeer(state, peer)) failures += seen;
  }
  return failures;
}

/** The upstreams whose last sends from here failed, for heartbeats. */
export function suspectsOf(state: CoreState): Suspect[] {
  const suspects: Suspect[] = [];
  for (const upstream of state.upstreams.values()) {
    const { id, consecutiveFailures } = upstream;
    if (consecutiveFailures === 0) continue;
    suspects.push({ upstreamId: id, failures: consecutiveFailures });
  }
  return suspects;
}

/** Takes in what a peer suspects; failures anywhere count together. */
export function noteSuspects(
  state: CoreState,
  peer: Peer,
  suspects: readonly Suspect[],
): void {
  peer.suspects = new Map(
    suspects.map(({ upstreamId, failures }) => [upstreamId, failures]),
  );
  for (const { upstreamId } of suspects) {
    const upstream = state.upstreams.get(upstreamId);
    if (upstream === undefined || upstream.ejections > 0) continue;
    // What just succeeded from here is not given up on others' word.
    const trusted = state.nowMs - upstream.lastSuccessMs < TRUST_MS;
    if (!trusted) judge(state, upstream);
  }
}

/** Notes how a send ended, for the upstream's health. */
export function noteOutcome(
  state: CoreState,
  upstream: Upstream,
  outcome: SendOutcome,
): void {
  upstream.probeInFlight = false;
  if (outcome.kind === "done") {
    upstream.consecutiveFailures = 0;
    upstream.ejections = 0;
    upstream.lastSuccessMs = state.nowMs;
    return;
  }
  upstream.consecutiveFailures += 1;
  judge(state, upstream);
}

/** Takes an upstream out of rotation if enough sends in a row failed. */
function judge(state: CoreState, upstream: Upstream): void {
  const own = upstream.consecutiveFailures;
  const failures = own + failuresAtPeers(state, upstream.id);
  const probing = upstream.ejections > 0;
  const over = failures >= EJECT_AFTER_FAILURES;
  if ((over || probing) && mayEject(state, upstream)) eject(state, upstream);
}

function eject(state: CoreState, upstream: Upstream): void {
  const timeMs = EJECT_FIRST_MS * 2 ** upstream.ejections;
  upstream.ejections += 1;
  upstream.ejectedUntilMs = state.nowMs + Math.min(EJECT_LONGEST_MS, timeMs);
}

/** A zone's last upstreams are kept: all failing points elsewhere. */
function mayEject(state: CoreState, upstream: Upstream): boolean {
  let zoneTotal = 0;
  let zoneOut = 0;
  for (const other of state.upstreams.values()) {
    const same = other.service === upstream.service &&
      other.availabilityZone === upstream.availabilityZone;
    if (!same || other.leaving) continue;
    zoneTotal += 1;
    if (other.ejections > 0 && other !== upstream) zoneOut += 1;
  }
  return zoneOut + 1 <= zoneTotal * EJECT_MAX_SHARE;
}
