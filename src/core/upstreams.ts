/** Upstreams: who owns their slots, their health, and who may get work. */

import type { UpstreamMember } from "./schemas.ts";
import type { CoreState, Peer, SendOutcome, Upstream } from "./types.ts";
import { emit, getOrInsert, hashText } from "./utilities.ts";
import type { Step } from "./types.ts";

/** Failures in a row after which an upstream gets no work for a while. */
const EJECT_AFTER_FAILURES = 3;
/** The first time out of rotation; it doubles with each failed probe. */
const EJECT_FIRST_MS = 1_000;
/** The longest time out of rotation. */
const EJECT_LONGEST_MS = 30_000;
/** The largest share of a zone's upstreams that may be out at once. */
const EJECT_MAX_SHARE = 0.5;
/** A peer that was silent for longer does not count when slots are shared. */
export const PEER_LIVE_MS = 1_000;

/** Takes in a membership list; leaving is sticky and survives older lists. */
export function adoptMembership(
  step: Step,
  members: readonly UpstreamMember[],
  membershipVersion: number,
): void {
  const { state } = step;
  state.membershipVersion = membershipVersion;
  const named = new Set(members.map((member) => member.id));
  for (const member of members) {
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
    if (upstream.inFlight === 0) state.upstreams.delete(upstream.id);
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
    lentTo: new Map(),
    failureRate: 0,
    consecutiveFailures: 0,
    ejectedUntilMs: 0,
    ejections: 0,
    probeInFlight: false,
  };
}

/** Stops new work to an upstream, for good. */
export function markLeaving(step: Step, upstream: Upstream): void {
  if (upstream.leaving) return;
  upstream.leaving = true;
  emit(step, {
    type: "log",
    level: "info",
    part: "upstreams",
    text: `upstream ${upstream.id} is leaving`,
  });
}

/** Whether a peer counts among those that share slots now. */
export function isLivePeer(state: CoreState, peer: Peer): boolean {
  const heard = state.nowMs - peer.lastHeardMs <= PEER_LIVE_MS;
  return heard && peer.ready && !peer.leaving;
}

interface Sharer {
  readonly slot: string;
  readonly availabilityZone: string;
}

function liveSharers(state: CoreState): Sharer[] {
  const peers: Sharer[] = [...state.peers.values()]
    .filter((peer) => isLivePeer(state, peer));
  const self = state.drain === "none" ? [state.self] : [];
  return [...peers, ...self].sort((a, b) => (a.slot < b.slot ? -1 : 1));
}

/**
 * Shares every upstream's slots between the live instances, so that each gets
 * the same number and as many as can be of its own availability zone. All
 * instances work this out alike from the same lists; where lists differ for a
 * moment, an upstream queues a task or idles a slot.
 */
export function shareSlots(state: CoreState): void {
  const sharers = liveSharers(state);
  for (const upstream of state.upstreams.values()) upstream.ownedSlots = 0;
  const services = new Set<string>();
  for (const upstream of state.upstreams.values()) {
    services.add(upstream.service);
  }
  for (const service of services) shareService(state, service, sharers);
}

function shareService(
  state: CoreState,
  service: string,
  sharers: readonly Sharer[],
): void {
  const zones = new Set(sharers.map((sharer) => sharer.availabilityZone));
  const units = slotUnits(state, service)
    .filter((upstream) => zones.has(upstream.availabilityZone));
  const share = Math.floor(units.length / Math.max(1, sharers.length));
  const left = new Map(sharers.map((sharer) => [sharer.slot, share]));
  const surplus: Upstream[] = [];
  for (const zone of [...zones].sort()) {
    const local = sharers.filter((s) => s.availabilityZone === zone);
    const own = units.filter((upstream) => upstream.availabilityZone === zone);
    surplus.push(...dealSlots(state, own, { sharers: local, left }));
  }
  const rest = dealSlots(state, surplus, { sharers, left });
  // The remainder goes round by hash, one slot each.
  rest.forEach((upstream, index) => {
    const at = (hashText(service) + index) % sharers.length;
    if (sharers[at]?.slot === state.self.slot) upstream.ownedSlots += 1;
  });
}

/** One entry a slot, so that neighbours are of different upstreams. */
function slotUnits(state: CoreState, service: string): Upstream[] {
  const upstreams = [...state.upstreams.values()]
    .filter((upstream) => upstream.service === service)
    .filter((upstream) => state.guards.mayReceiveWork(upstream))
    .sort((a, b) => (a.id < b.id ? -1 : 1));
  const units: Upstream[] = [];
  const most = Math.max(0, ...upstreams.map((upstream) => upstream.slots));
  for (let round = 0; round < most; round += 1) {
    units.push(...upstreams.filter((upstream) => upstream.slots > round));
  }
  return units;
}

/** Deals slots round robin up to each sharer's share; returns the rest. */
function dealSlots(
  state: CoreState,
  units: readonly Upstream[],
  { sharers, left }: {
    sharers: readonly Sharer[];
    left: Map<string, number>;
  },
): Upstream[] {
  const rest: Upstream[] = [];
  let turn = 0;
  for (const upstream of units) {
    const taker = nextTaker(sharers, left, turn);
    if (taker === null) {
      rest.push(upstream);
      continue;
    }
    turn = taker + 1;
    const slot = sharers[taker]?.slot ?? "";
    left.set(slot, (left.get(slot) ?? 0) - 1);
    if (slot === state.self.slot) upstream.ownedSlots += 1;
  }
  return rest;
}

function nextTaker(
  sharers: readonly Sharer[],
  left: ReadonlyMap<string, number>,
  turn: number,
): number | null {
  for (let step = 0; step < sharers.length; step += 1) {
    const at = (turn + step) % sharers.length;
    if ((left.get(sharers[at]?.slot ?? "") ?? 0) > 0) return at;
  }
  return null;
}

/** Owned slots that are neither in use nor lent. */
export function freeOwnedSlots(upstream: Upstream): number {
  let lent = 0;
  for (const count of upstream.lentTo.values()) lent += count;
  return Math.max(0, upstream.ownedSlots - upstream.inFlightOwned - lent);
}

/** Whether an upstream may get one more task now. */
export function isUsable(state: CoreState, upstream: Upstream): boolean {
  if (!state.guards.mayReceiveWork(upstream)) return false;
  if (state.nowMs < upstream.ejectedUntilMs) return false;
  // Back from ejection, it gets one task at a time until one succeeds.
  return upstream.ejections === 0 || !upstream.probeInFlight;
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
    return;
  }
  upstream.consecutiveFailures += 1;
  const probing = upstream.ejections > 0;
  const over = upstream.consecutiveFailures >= EJECT_AFTER_FAILURES;
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
