/** The other instances: who is known, who is heard, what they say. */

import { cellPeers, isOfCell } from "./cells.ts";
import type { InstanceInfo, PeerMessageOf } from "./schemas.ts";
import { emit, logDecision, sendPeer } from "./effects.ts";
import type {
  EngineEventOf,
  EngineState,
  Peer,
  ReduceContext,
  Scheduler,
} from "./types.ts";

/** Period of heartbeats from and to the leader; three make a silence. */
export const LEADER_HEARTBEAT_MS = 150;
/** Period of heartbeats between instances that don't lead. */
const FOLLOWER_HEARTBEAT_MS = 500;
/** A leader that was not heard from for so long has failed. */
export const LEADER_TIMEOUT_MS = 500;
/** Any other instance that was not heard from for so long is out of reach. */
export const PEER_TIMEOUT_MS = 1_300;
/** A peer that was silent for so long may follow another leader. */
const MISSING_PEER_THRESHOLD_MS = 1_000;
/** An instance that was out of reach for so long is not expected back. */
const PEER_RETENTION_MS = 12_000;

/** Whether a peer is heard from now. */
export function isLive(state: EngineState, peer: Peer): boolean {
  if (!peer.connected && peer.refusedAtMs > peer.lastHeardAtMs) return false;
  return state.nowMs - peer.lastHeardAtMs < PEER_TIMEOUT_MS;
}

/** The peers that are heard from now. */
function livePeers(state: EngineState): Peer[] {
  return [...state.peers.values()].filter((peer) => isLive(state, peer));
}

/** The peers with the same leader that are heard from now. */
export function liveCellPeers(state: EngineState): Peer[] {
  return cellPeers(state).filter((peer) => isLive(state, peer));
}

/**
 * How many instances of the cell are heard from, and how many should be: a
 * process that is known to have ended, or that was silent for long, is not
 * expected.
 */
export function countInstances(
  state: EngineState,
): { visible: number; expected: number } {
  let visible = 1;
  let expected = 1;
  for (const peer of cellPeers(state)) {
    if (isLive(state, peer)) {
      visible += 1;
      expected += 1;
    } else if (
      peer.lastHeardAtMs > 0 && peer.refusedAtMs < peer.lastHeardAtMs
    ) {
      expected += 1;
    }
  }
  return { visible, expected };
}

/** Whether more than half of the cell's expected instances are heard from. */
export function seesMajority(state: EngineState): boolean {
  const { visible, expected } = countInstances(state);
  return visible * 2 > expected;
}

/** Whether an instance of the cell is not heard, nor known to have ended. */
export function hasMissingPeers(state: EngineState): boolean {
  for (const peer of cellPeers(state)) {
    if (peer.refusedAtMs > peer.lastHeardAtMs) continue;
    if (state.nowMs - peer.lastHeardAtMs > MISSING_PEER_THRESHOLD_MS) return true;
  }
  return false;
}

/** Learns of instances from the store, the seeds or a peer. */
export function learnInstances(
  context: ReduceContext,
  instances: readonly InstanceInfo[],
): void {
  const { state } = context;
  let changed = false;
  for (const info of instances) {
    if (info.instanceId === state.self.instanceId) continue;
    const peer = state.peers.get(info.instanceId);
    if (peer === undefined) {
      state.peers.set(info.instanceId, createPeer(info));
      changed = true;
    } else if (info.bornMs > peer.info.bornMs) {
      changed = changed || info.address !== peer.info.address;
      peer.info = info;
    }
  }
  if (changed) emit(context, { type: "peersChanged" });
}

function createPeer(info: InstanceInfo): Peer {
  return {
    info,
    lastHeardAtMs: 0,
    heardBeforeLossAtMs: 0,
    startedAtMs: null,
    lastSentAtMs: -Infinity,
    connected: false,
    refusedAtMs: 0,
    draining: false,
    isLeader: false,
    leaderId: null,
    provisional: false,
    hasZoneCells: false,
    holdsRecords: false,
    waitMsByService: {},
    term: 0,
    workersAgeMs: Infinity,
    configurationVersion: -1,
    nextHeartbeatAtMs: 0,
  };
}

/** A peer introduces itself and the instances that it knows. */
export function onHello(
  context: ReduceContext,
  from: string,
  message: PeerMessageOf<"hello">,
): void {
  const { state } = context;
  const { instance, known } = message;
  learnInstances(context, [instance, ...known]);
  const peer = state.peers.get(from);
  if (peer === undefined) return;
  resetIfRestarted(peer, instance.bornMs);
  peer.info = instance;
  noteHeard(state, from);
  sendHeartbeat(context, peer);
}

/** Notes that a message of a peer arrived. */
export function noteHeard(state: EngineState, from: string): void {
  const peer = state.peers.get(from);
  if (peer === undefined) return;
  const silentMs = state.nowMs - peer.lastHeardAtMs;
  if (silentMs >= PEER_TIMEOUT_MS) peer.heardBeforeLossAtMs = peer.lastHeardAtMs;
  peer.lastHeardAtMs = state.nowMs;
}

/** The connection to a peer opened. */
export function onPeerUp(
  context: ReduceContext,
  event: EngineEventOf<"peerUp">,
): void {
  const { state } = context;
  const peer = state.peers.get(event.instanceId);
  if (peer === undefined) return;
  peer.connected = true;
  peer.refusedAtMs = 0;
  sendPeer(context, event.instanceId, {
    type: "hello",
    instance: state.self,
    known: livePeers(state).map((other) => other.info),
  });
  sendHeartbeat(context, peer);
}

/** The connection to a peer closed, or could not be opened. */
export function onPeerDown(
  context: ReduceContext,
  event: EngineEventOf<"peerDown">,
): void {
  const { state } = context;
  const peer = state.peers.get(event.instanceId);
  if (peer === undefined) return;
  const wasLive = isLive(state, peer);
  peer.connected = false;
  if (wasLive) peer.heardBeforeLossAtMs = peer.lastHeardAtMs;
  if (event.refused) peer.refusedAtMs = state.nowMs;
  if (!wasLive || isLive(state, peer)) return;
  peer.isLeader = false;
  logDecision(
    context,
    { part: "members", text: "a peer's process has ended" },
    {
      peerId: event.instanceId,
      lastHeardMsAgo: Math.round(state.nowMs - peer.lastHeardAtMs),
    },
  );
}

/**
 * Forgets what a former life of a peer said. Lives are told apart, not ordered:
 * the time of day may have been set back, and the steady clock starts anew.
 */
function resetIfRestarted(peer: Peer, startedAtMs: number): void {
  if (peer.startedAtMs === startedAtMs) return;
  peer.startedAtMs = startedAtMs;
  peer.lastSentAtMs = -Infinity;
  peer.isLeader = false;
  peer.term = 0;
}

/** Takes in what a peer says of itself. */
export function onHeartbeat(
  context: ReduceContext,
  from: string,
  message: PeerMessageOf<"heartbeat">,
): void {
  const { state } = context;
  const peer = state.peers.get(from);
  if (peer === undefined) return;
  resetIfRestarted(peer, message.bornMs);
  // One on a newer connection may have overtaken it.
  if (message.sentAtMs < peer.lastSentAtMs) return;
  peer.lastSentAtMs = message.sentAtMs;
  peer.draining = message.draining;
  peer.isLeader = message.isLeader;
  peer.provisional = message.provisional;
  peer.leaderId = message.leaderId;
  peer.term = message.term;
  peer.workersAgeMs = message.workersAgeMs;
  peer.configurationVersion = message.configurationVersion;
  peer.hasZoneCells = message.hasZoneCells;
  if (message.workersAgeMs < workersAgeMs(state)) {
    state.hasZoneCells = message.hasZoneCells;
  }
  peer.holdsRecords = message.holdsRecords;
  peer.waitMsByService = message.waitMsByService;
  if (message.holdsRecords) {
    state.recordsExist = message.recordsExist;
    state.recordsZone = peer.info.availabilityZone;
  }
  state.maxTermSeen = Math.max(state.maxTermSeen, message.maxTermSeen);
  // It lost its leader, and wants to know who else did.
  if (message.leaderId === null) peer.nextHeartbeatAtMs = state.nowMs;
  const version = state.configuration?.version ?? -1;
  if (message.configurationVersion > version) {
    sendPeer(context, from, { type: "configurationWanted" });
  }
}

/** Sends a heartbeat at once. */
export function sendHeartbeat(context: ReduceContext, peer: Peer): void {
  const { state } = context;
  const { scheduler } = state;
  const isLeader = scheduler !== null;
  const usesLeaderInterval = isOfCell(state, peer.info)
    ? isLeader || peer.info.instanceId === state.leaderId ||
      state.leaderId === null || peer.leaderId === null
    : isLeader || peer.isLeader;
  peer.nextHeartbeatAtMs = state.nowMs +
    (usesLeaderInterval ? LEADER_HEARTBEAT_MS : FOLLOWER_HEARTBEAT_MS);
  if (!peer.connected) return;
  sendPeer(context, peer.info.instanceId, {
    type: "heartbeat",
    bornMs: state.self.bornMs,
    sentAtMs: Math.round(state.nowMs),
    draining: state.draining,
    isLeader,
    provisional: scheduler?.provisional ?? false,
    term: state.leaderTerm,
    leaderId: state.leaderId,
    maxTermSeen: state.maxTermSeen,
    workersAgeMs: workersAgeMs(state),
    configurationVersion: state.configuration?.version ?? -1,
    recordsExist: state.recordsExist,
    hasZoneCells: state.hasZoneCells,
    holdsRecords: scheduler?.records.phase === "open",
    waitMsByService: scheduler === null ? {} : waitsOf(scheduler),
  });
}

function waitsOf({ waitMsByService }: Scheduler): Record<string, number> {
  return Object.fromEntries(waitMsByService);
}

/** How old this instance's list of workers is, bounded for the wire. */
export function workersAgeMs(state: EngineState): number {
  return Math.min(1e9, Math.round(state.nowMs - state.workersReadAtMs));
}

/** Sends a heartbeat to every peer at once. */
export function heartbeatAll(context: ReduceContext): void {
  for (const peer of context.state.peers.values()) sendHeartbeat(context, peer);
}

/** Sends the heartbeats that are due, and forgets peers long out of reach. */
export function checkPeers(context: ReduceContext): void {
  const { state } = context;
  let changed = false;
  for (const [instanceId, peer] of state.peers) {
    if (state.nowMs >= peer.nextHeartbeatAtMs) sendHeartbeat(context, peer);
    const silentMs = state.nowMs -
      Math.max(peer.lastHeardAtMs, state.startedAtMs);
    if (peer.connected || silentMs < PEER_RETENTION_MS) continue;
    state.peers.delete(instanceId);
    changed = true;
  }
  if (changed) emit(context, { type: "peersChanged" });
}
