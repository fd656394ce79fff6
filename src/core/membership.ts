/** Membership among entry instances: heartbeats, liveness, leaving. */

import type { InstanceRef, PeerMessageOf } from "./schemas.ts";
import type { CoreState, Peer, Step } from "./types.ts";
import { borrowedCounts } from "./borrowing.ts";
import { reclaimLent, reconcileLent } from "./lending.ts";
import { requestIfBehind } from "./configuration.ts";
import { freeSlots } from "./placement.ts";
import { groupsWithoutRecords, onRecordsLacked } from "./handover.ts";
import { onPartnerHeard } from "./registrar.ts";
import { shareIfChanged } from "./slot_sharing.ts";
import { markLeaving, noteSuspects, suspectsOf } from "./upstreams.ts";
import { sendPeer } from "./utilities.ts";

/** How often a heartbeat is sent to each peer, while peers are few. */
export const HEARTBEAT_MS = 250;
/** So many peers of the own zone are told at that rate. */
const NEAR_PEERS = 12;
/** So many peers of the region's other zones, and partners, are. */
const FAR_PEERS = 6;

/** Notes that a peer was heard from; a new incarnation is another instance. */
export function noteHeard(step: Step, from: InstanceRef): boolean {
  const { state } = step;
  const peer = state.peers.get(from.slot);
  if (peer === undefined) return false;
  if (peer.incarnation !== null && from.incarnation < peer.incarnation) {
    return false;
  }
  if (peer.incarnation !== from.incarnation) resetPeer(state, peer, from);
  peer.lastHeardMs = state.nowMs;
  peer.lost = peer.leaving;
  return true;
}

function resetPeer(state: CoreState, peer: Peer, from: InstanceRef): void {
  peer.incarnation = from.incarnation;
  peer.leaving = false;
  peer.ready = false;
  peer.loads = [];
  peer.configurationVersion = -1;
  peer.membershipVersion = -1;
  reclaimLent(state, peer.slot);
}

/** Takes in a peer's heartbeat. */
export function onHeartbeat(
  step: Step,
  from: InstanceRef,
  message: PeerMessageOf<"heartbeat">,
): void {
  const { state } = step;
  const peer = state.peers.get(from.slot);
  if (peer === undefined) return;
  peer.virgin = message.virgin;
  peer.ready = message.ready;
  peer.leaving ||= message.leaving;
  peer.lost = peer.leaving;
  peer.configurationVersion = message.configurationVersion;
  peer.membershipVersion = message.membershipVersion;
  peer.loads = message.loads;
  peer.periodMs = message.periodMs;
  if (!peer.leaving) {
    onPartnerHeard(step, from, message.virgin);
    onRecordsLacked(step, from, message.lacksRecords);
  }
  reconcileLent(state, peer, message.borrowed);
  requestIfBehind(step, from, message.configurationVersion);
  if (message.membershipVersion > state.membershipVersion) {
    sendPeer(step, from.slot, { type: "membershipRequest" });
  }
  for (const upstreamId of message.leavingUpstreams) {
    const upstream = state.upstreams.get(upstreamId);
    if (upstream !== undefined) markLeaving(step, upstream);
  }
  noteSuspects(state, peer, message.suspects);
  for (const slot of shareIfChanged(state)) reclaimLent(state, slot);
}

/** A connection to a peer was lost: it is suspected at once, not dead. */
export function onPeerDown(step: Step, slot: string): void {
  const peer = step.state.peers.get(slot);
  if (peer === undefined) return;
  peer.lost = true;
}

/** Sends heartbeats that are due, and notices peers gone silent. */
export function checkPeers(step: Step): void {
  const { state } = step;
  const due = [...state.peers.values()]
    .filter((peer) => state.nowMs >= peer.nextHeartbeatMs);
  if (due.length === 0) return;
  const periods = periodsOf(state);
  sendHeartbeats(step, due.filter((peer) => periods.has(peer.slot)), periods);
  for (const peer of due) {
    const periodMs = periods.get(peer.slot) ?? Infinity;
    peer.nextHeartbeatMs = state.nowMs + periodMs;
  }
  for (const slot of shareIfChanged(state)) reclaimLent(state, slot);
}

/**
 * How often each peer is told, in milliseconds: the region's instances and the
 * partners of claim groups only, and the more there are the less often, so that
 * an instance's traffic does not grow with their number.
 */
function periodsOf(state: CoreState): Map<string, number> {
  const { self } = state;
  const partners = new Set(
    [...state.groups.values()].flatMap((group) => [group.owner, group.witness]),
  );
  const near: Peer[] = [];
  const far: Peer[] = [];
  for (const peer of state.peers.values()) {
    if (peer.availabilityZone === self.availabilityZone) near.push(peer);
    else if (peer.region === self.region || partners.has(peer.slot)) {
      far.push(peer);
    }
  }
  const nearMs = HEARTBEAT_MS * Math.max(1, near.length / NEAR_PEERS);
  const farMs = HEARTBEAT_MS * Math.max(1, far.length / FAR_PEERS);
  return new Map([
    ...near.map((peer) => [peer.slot, nearMs] as const),
    ...far.map((peer) => [peer.slot, farMs] as const),
  ]);
}

/** Tells every peer that is told at all how this instance stands. */
export function sendAllHeartbeats(step: Step): void {
  const periods = periodsOf(step.state);
  const told = [...step.state.peers.values()]
    .filter((peer) => periods.has(peer.slot));
  sendHeartbeats(step, told, periods);
}

function sendHeartbeats(
  step: Step,
  peers: readonly Peer[],
  periods: ReadonlyMap<string, number>,
): void {
  if (peers.length === 0) return;
  const message = heartbeatOf(step.state);
  for (const { slot } of peers) {
    const periodMs = Math.round(periods.get(slot) ?? HEARTBEAT_MS);
    sendPeer(step, slot, { ...message, periodMs });
  }
}

function heartbeatOf(state: CoreState): PeerMessageOf<"heartbeat"> {
  const services = Object.keys(state.configuration?.services ?? {});
  return {
    type: "heartbeat",
    virgin: state.virgin,
    leaving: state.drain !== "none",
    ready: state.configuration !== null,
    configurationVersion: state.document?.version ?? -1,
    membershipVersion: state.membershipVersion,
    periodMs: HEARTBEAT_MS,
    leavingUpstreams: [...state.leavingUpstreams],
    suspects: suspectsOf(state),
    lacksRecords: groupsWithoutRecords(state),
    loads: services.map((service) => ({
      service,
      freeSlots: freeSlots(state, service),
      queuedTasks: queuedOf(state, service),
    })),
    borrowed: borrowedCounts(state),
  };
}

function queuedOf(state: CoreState, service: string): number {
  let queued = 0;
  for (const flow of state.flows.values()) {
    if (flow.service === service) queued += flow.queuedTasks;
  }
  return queued;
}

/** How many instances of a zone read the platform at the full rate. */
const READERS_PER_ZONE = 2;
/** The others read this many times less often: their peers tell them. */
const SELDOM_FACTOR = 10;

/**
 * How long this instance waits before it reads the platform again. Two of a
 * zone read often, so that reads grow with zones and not with instances.
 */
export function pollPeriodMs(state: CoreState, pollMs: number): number {
  const { self } = state;
  const local = state.slots
    .filter((slot) => slot.availabilityZone === self.availabilityZone)
    .map((slot) => slot.slot)
    .filter((slot) => state.sharers.has(slot))
    .sort();
  const place = local.indexOf(self.slot);
  const reads = place < READERS_PER_ZONE;
  return reads ? pollMs : pollMs * SELDOM_FACTOR;
}
