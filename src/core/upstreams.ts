/** Upstreams: the list of them, their health, and which may get work. */

import type { UpstreamMember } from "./schemas.ts";
import type { CoreState, SendOutcome, Step, Upstream } from "./types.ts";
import { regionOfZone } from "./chain.ts";
import { shareSlots } from "./slot_sharing.ts";
import { emit, getOrInsert } from "./utilities.ts";

/** Failures in a row after which an upstream gets no work for a while. */
const EJECT_AFTER_FAILURES = 3;
/** The first time out of rotation; it doubles with each failed probe. */
const EJECT_FIRST_MS = 1_000;
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
