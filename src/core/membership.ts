/** Membership among entry instances: heartbeats, liveness, leaving. */

import type { InstanceRef, PeerMessageOf } from "./schemas.ts";
import type { CoreState, Peer, Step } from "./types.ts";
import { borrowedCounts, reclaimLent, reconcileLent } from "./borrowing.ts";
import { requestIfBehind } from "./configuration.ts";
import { freeSlots } from "./placement.ts";
import { onPartnerHeard } from "./registrar.ts";
import { isLivePeer, markLeaving, shareSlots } from "./upstreams.ts";
import { sendPeer } from "./utilities.ts";

/** How often an instance tells its peers that it lives. */
export const HEARTBEAT_MS = 200;

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
  peer.connected = true;
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
  const wasLive = isLivePeer(state, peer);
  peer.virgin = message.virgin;
  peer.ready = message.ready;
  peer.leaving ||= message.leaving;
  peer.configurationVersion = message.configurationVersion;
  peer.membershipVersion = message.membershipVersion;
  peer.loads = message.loads;
  if (!peer.leaving) onPartnerHeard(step, from, message.virgin);
  reconcileLent(state, peer, message.borrowed);
  requestIfBehind(step, from, message.configurationVersion);
  if (message.membershipVersion > state.membershipVersion) {
    sendPeer(step, from.slot, { type: "membershipRequest" });
  }
  for (const upstreamId of message.leavingUpstreams) {
    const upstream = state.upstreams.get(upstreamId);
    if (upstream !== undefined) markLeaving(step, upstream);
  }
  if (isLivePeer(state, peer) !== wasLive) shareSlots(state);
}

/** A connection to a peer was lost: it is suspected at once, not dead. */
export function onPeerDown(step: Step, slot: string): void {
  const peer = step.state.peers.get(slot);
  if (peer === undefined) return;
  peer.connected = false;
}

/** Sends heartbeats when they are due, and notices peers gone silent. */
export function checkPeers(step: Step): void {
  const { state } = step;
  if (state.nowMs - state.lastHeartbeatMs < HEARTBEAT_MS) return;
  state.lastHeartbeatMs = state.nowMs;
  sendHeartbeats(step);
  for (const peer of state.peers.values()) {
    if (!isLivePeer(state, peer)) reclaimLent(state, peer.slot);
  }
  shareSlots(state);
}

/** Tells every peer how this instance stands. */
export function sendHeartbeats(step: Step): void {
  const { state } = step;
  const message = heartbeatOf(state);
  for (const peer of state.peers.values()) {
    sendPeer(step, peer.slot, message);
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
    leavingUpstreams: [...state.upstreams.values()]
      .filter((upstream) => upstream.leaving)
      .map((upstream) => upstream.id),
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
