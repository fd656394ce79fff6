/** Membership: the known peers, whether they are live, and their heartbeats. */

import { cellPeers, isInOwnCell } from "./cells.ts";
import { emit, logDecision, sendPeer } from "./effects.ts";
import {
  observeLeaderList,
  previousListReport,
  toldListDigest,
  updateListDigest,
} from "./leader_lists.ts";
import type { InstanceInfo, PeerMessageOf } from "./schemas.ts";
import type {
  EngineEventOf,
  EngineState,
  Peer,
  ReduceContext,
  Scheduler,
} from "./types.ts";
import { evacuationReport, onEvacuationReport } from "./zones/evacuation.ts";
import {
  claimsReport,
  onRoomReport,
  roomReport,
} from "./zones/report_exchange.ts";

/**
 * Interval of heartbeats from a leader, to the sender's leader, to leaders of
 * other cells, and within a cell while either instance knows no leader.
 * `LEADER_TIMEOUT_MS` spans three intervals.
 */
export const LEADER_HEARTBEAT_INTERVAL_MS = 150;
/** Interval of all other heartbeats. */
const FOLLOWER_HEARTBEAT_INTERVAL_MS = 500;
/** Time without a message after which a leader is presumed to have failed. */
export const LEADER_TIMEOUT_MS = 500;
/** Time without a message after which a peer no longer counts as live. */
export const PEER_TIMEOUT_MS = 1_300;
/**
 * Time without a message after which a peer counts as missing: it may follow
 * another leader.
 */
const MISSING_PEER_THRESHOLD_MS = 1_000;
/**
 * Time without a message after which a peer without a connection is removed: it
 * is not expected to return.
 */
const PEER_RETENTION_MS = 12_000;

/**
 * Whether a peer without a connection has refused one since it was last heard
 * from.
 */
export function refusesConnections(peer: Peer): boolean {
  return !peer.connected && peer.refusedAtMs > peer.lastHeardAtMs;
}

/**
 * Whether a peer was heard from within `PEER_TIMEOUT_MS`, and its host has not
 * refused a connection since.
 */
export function isLive(state: EngineState, peer: Peer): boolean {
  if (refusesConnections(peer)) return false;
  return state.nowMs - peer.lastHeardAtMs < PEER_TIMEOUT_MS;
}

/** The live peers of all cells. */
function livePeers(state: EngineState): Peer[] {
  return [...state.peers.values()].filter((peer) => isLive(state, peer));
}

/** The live peers of this instance's cell. */
export function liveCellPeers(state: EngineState): Peer[] {
  return cellPeers(state).filter((peer) => isLive(state, peer));
}

/**
 * Counts the live instances of the cell and those expected to be live, both
 * including this one. Peers that were never heard from, that refused a
 * connection since they were last heard from, or that were removed after
 * `PEER_RETENTION_MS` are not expected.
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

/** Whether more than half of the cell's expected instances are live. */
export function seesMajority(state: EngineState): boolean {
  const { visible, expected } = countInstances(state);
  return visible * 2 > expected;
}

/**
 * Whether more than half of the cell's instances are live, counting those that
 * refuse connections: some network partitions refuse connections, and the
 * instances beyond one may have elected another leader. Peers that were never
 * heard from or that were removed after `PEER_RETENTION_MS` are not counted.
 */
export function seesQuorum(state: EngineState): boolean {
  return isQuorum(state, (peer) => isLive(state, peer));
}

/**
 * Whether more than half of the cell's instances, counted as for a quorum, have
 * said since the given time that they follow this instance as the leader.
 */
export function isFollowedByQuorum(
  state: EngineState,
  sinceMs: number,
): boolean {
  const { instanceId } = state.self;
  return isQuorum(
    state,
    ({ leaderId, heartbeatAtMs }) =>
      leaderId === instanceId && heartbeatAtMs > sinceMs,
  );
}

function isQuorum(
  state: EngineState,
  counts: (peer: Peer) => boolean,
): boolean {
  let counted = 1;
  let known = 1;
  for (const peer of cellPeers(state)) {
    if (peer.lastHeardAtMs === 0) continue;
    known += 1;
    if (counts(peer)) counted += 1;
  }
  return counted * 2 > known;
}

/**
 * Whether another instance may have become the leader unnoticed: this one hears
 * no quorum, or a peer is missing.
 */
export function mayHaveRival(state: EngineState): boolean {
  return state.guards.mayHaveRival({
    seesQuorum: seesQuorum(state),
    hasMissingPeers: hasMissingPeers(state),
  });
}

/**
 * Whether a peer of the cell has not been heard from for
 * `MISSING_PEER_THRESHOLD_MS`, without having refused a connection since.
 */
function hasMissingPeers(state: EngineState): boolean {
  for (const peer of cellPeers(state)) {
    if (peer.refusedAtMs > peer.lastHeardAtMs) continue;
    if (state.nowMs - peer.lastHeardAtMs > MISSING_PEER_THRESHOLD_MS) {
      return true;
    }
  }
  return false;
}

/**
 * Whether a peer of the cell that was heard from before refuses connections. Its
 * process has probably ended, but it may be beyond a network partition, and not
 * hear this instance either.
 */
export function hasLostPeers(state: EngineState): boolean {
  return cellPeers(state).some((peer) =>
    peer.lastHeardAtMs > 0 && refusesConnections(peer)
  );
}

/**
 * Adds unknown instances to the peers, and replaces the info of those that have
 * restarted. The instances come from the store, the seeds or a peer.
 */
export function updateKnownInstances(
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
    lastMessageAtMs: 0,
    heardBeforeLossAtMs: 0,
    startedAtMs: null,
    endedStartsAtMs: new Set(),
    lastSentAtMs: -Infinity,
    heartbeatAtMs: 0,
    heardAgainAtMs: 0,
    mayHaveLeft: false,
    connected: false,
    refusedAtMs: 0,
    hasRefused: false,
    draining: false,
    isLeader: false,
    leaderId: null,
    provisional: false,
    hasZoneCells: false,
    holdsRecords: false,
    waitMsByService: {},
    roomByService: null,
    announcesClaims: false,
    usualUsed: new Map(),
    reportFaultLoggedAtMs: -Infinity,
    term: 0,
    workersAgeMs: Infinity,
    listDigest: null,
    previousList: { kind: "unknown" },
    configurationVersion: -1,
    nextHeartbeatAtMs: 0,
  };
}

/**
 * Handles a peer's introduction of itself and of its live peers. Returns whether
 * it comes from the peer's present incarnation, which has a new connection then.
 */
export function onHello(
  context: ReduceContext,
  from: string,
  message: PeerMessageOf<"hello">,
): boolean {
  const { state } = context;
  const { instance, known } = message;
  updateKnownInstances(context, [instance, ...known]);
  const peer = state.peers.get(from);
  if (peer === undefined || hasEnded(peer, instance.bornMs)) return false;
  resetIfRestarted(peer, instance.bornMs);
  peer.info = instance;
  updateLastHeard(state, from);
  sendHeartbeat(context, peer);
  return true;
}

/**
 * Records that a message arrived from a peer. If none had arrived for
 * `PEER_TIMEOUT_MS`, the time of the previous one is retained as the last before
 * the peer's latest loss.
 */
export function updateLastHeard(state: EngineState, from: string): void {
  const peer = state.peers.get(from);
  if (peer === undefined) return;
  const silentMs = state.nowMs - peer.lastHeardAtMs;
  if (silentMs >= LEADER_TIMEOUT_MS) peer.heardAgainAtMs = state.nowMs;
  if (silentMs >= PEER_TIMEOUT_MS) {
    peer.heardBeforeLossAtMs = peer.lastMessageAtMs;
  }
  peer.lastHeardAtMs = state.nowMs;
  peer.lastMessageAtMs = state.nowMs;
}

/**
 * Handles an opened connection: introduces this instance and its live peers to
 * the peer.
 */
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

/** Handles a connection to a peer that closed or could not be opened. */
export function onPeerDown(
  context: ReduceContext,
  event: EngineEventOf<"peerDown">,
): void {
  const { state } = context;
  const peer = state.peers.get(event.instanceId);
  if (peer === undefined) return;
  const wasLive = isLive(state, peer);
  peer.connected = false;
  if (wasLive) peer.heardBeforeLossAtMs = peer.lastMessageAtMs;
  if (event.refused) {
    peer.refusedAtMs = state.nowMs;
    peer.hasRefused = true;
  }
  if (!wasLive || isLive(state, peer)) return;
  peer.isLeader = false;
  logDecision(
    context,
    { part: "members", text: "peer presumed dead: connection refused" },
    {
      peerId: event.instanceId,
      lastHeardMsAgo: Math.round(state.nowMs - peer.lastHeardAtMs),
    },
  );
}

/** Whether a message is the first one of a new incarnation of a known peer. */
export function hasRestarted(
  { peers, guards }: EngineState,
  from: string,
  startedAtMs: number,
): boolean {
  const peer = peers.get(from);
  return peer !== undefined && guards.isNewIncarnation(peer, startedAtMs);
}

/**
 * Whether a message is one of a peer's previous incarnation. It may arrive after
 * the first one of the present incarnation, on another connection.
 */
function hasEnded({ endedStartsAtMs }: Peer, startedAtMs: number): boolean {
  return endedStartsAtMs.has(startedAtMs);
}

/**
 * Discards the leadership of a peer's previous incarnation, and the time of its
 * latest heartbeat, since the peer's monotonic clock restarts with the process.
 */
function resetIfRestarted(peer: Peer, startedAtMs: number): void {
  if (peer.startedAtMs === startedAtMs) return;
  if (peer.startedAtMs !== null) peer.endedStartsAtMs.add(peer.startedAtMs);
  peer.startedAtMs = startedAtMs;
  peer.lastSentAtMs = -Infinity;
  peer.isLeader = false;
  peer.term = 0;
}

/**
 * Updates this instance's view of a peer from the peer's heartbeat. Returns
 * whether it is the latest one of the peer's present incarnation.
 */
export function onHeartbeat(
  context: ReduceContext,
  from: string,
  message: PeerMessageOf<"heartbeat">,
): boolean {
  const { state } = context;
  const peer = state.peers.get(from);
  if (peer === undefined || hasEnded(peer, message.bornMs)) return false;
  resetIfRestarted(peer, message.bornMs);
  // A later heartbeat on a newer connection may have overtaken this one.
  if (message.sentAtMs < peer.lastSentAtMs) return false;
  const { isLeader, term } = peer;
  peer.lastSentAtMs = message.sentAtMs;
  peer.heartbeatAtMs = state.nowMs;
  peer.draining = message.draining;
  peer.isLeader = message.isLeader;
  peer.provisional = message.provisional;
  peer.leaderId = message.leaderId;
  peer.term = message.term;
  peer.workersAgeMs = message.workersAgeMs;
  peer.listDigest = message.listDigest;
  peer.previousList = message.previousList;
  const leadsOn = isLeader && message.isLeader && term === message.term;
  if (from === state.leaderId && leadsOn) {
    observeLeaderList(state, message.listDigest);
  }
  peer.configurationVersion = message.configurationVersion;
  peer.hasZoneCells = message.hasZoneCells;
  // The most recent list of workers determines the cells.
  if (message.workersAgeMs < workersAgeMs(state)) {
    state.hasZoneCells = message.hasZoneCells;
    updateListDigest(state);
  }
  peer.holdsRecords = message.holdsRecords;
  peer.waitMsByService = message.waitMsByService;
  onRoomReport(context, peer, message.roomByService);
  peer.announcesClaims = message.announcesClaims === true;
  // A peer that has lost the records to this instance may not know it yet.
  const ownsRecords = state.scheduler?.records.isOwner === true;
  if (message.holdsRecords && !ownsRecords) {
    state.recordsExist = message.recordsExist;
    state.recordsZone = peer.info.availabilityZone;
  }
  state.maxTermSeen = Math.max(state.maxTermSeen, message.maxTermSeen);
  // A peer without a leader is answered on the next tick, so that it learns
  // which leader this instance follows, if any.
  if (message.leaderId === null) peer.nextHeartbeatAtMs = state.nowMs;
  adoptConfigurationProof(state, message);
  onEvacuationReport(context, from, message);
  return true;
}

/**
 * Takes over from a peer when its configuration was known to be the newest, if
 * this instance has the same or a later one.
 */
function adoptConfigurationProof(
  { configuration, configurationSync: sync, nowMs }: EngineState,
  { configurationVersion, configurationAgeMs }: PeerMessageOf<"heartbeat">,
): void {
  if (configuration === null || configurationAgeMs === undefined) return;
  if (configurationVersion > configuration.version) return;
  sync.provenAtMs = Math.max(sync.provenAtMs, nowMs - configurationAgeMs);
}

/**
 * Tells a peer of this zone when the configuration in effect was known to be the
 * newest, if it was.
 */
function configurationProof(
  { self, configurationSync: { provenAtMs }, nowMs }: EngineState,
  { info }: Peer,
): { readonly configurationAgeMs?: number } {
  const isNear = info.availabilityZone === self.availabilityZone;
  if (!isNear || provenAtMs === -Infinity) return {};
  return { configurationAgeMs: Math.round(nowMs - provenAtMs) };
}

/** Sends a heartbeat to a peer, if connected, and schedules the next one. */
export function sendHeartbeat(context: ReduceContext, peer: Peer): void {
  const { state } = context;
  const { scheduler } = state;
  const isLeader = scheduler !== null;
  const usesLeaderInterval = isInOwnCell(state, peer.info)
    ? isLeader || peer.info.instanceId === state.leaderId ||
      state.leaderId === null || peer.leaderId === null
    : isLeader || peer.isLeader;
  peer.nextHeartbeatAtMs = state.nowMs +
    (usesLeaderInterval
      ? LEADER_HEARTBEAT_INTERVAL_MS
      : FOLLOWER_HEARTBEAT_INTERVAL_MS);
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
    ...heardFrom(peer),
    workersAgeMs: workersAgeMs(state),
    listDigest: toldListDigest(state),
    previousList: previousListReport(state, { isNew: true }),
    configurationVersion: state.configuration?.version ?? -1,
    ...configurationProof(state, peer),
    ...evacuationReport(state),
    recordsExist: state.recordsExist,
    hasZoneCells: state.hasZoneCells,
    holdsRecords: scheduler?.records.isOwner === true,
    waitMsByService: scheduler === null ? {} : waitsOf(scheduler),
    ...roomReport(state, peer),
    ...claimsReport(state, peer),
  });
}

/** Tells a peer which of its heartbeats has arrived here last, if any has. */
export function heardFrom(
  peer: Peer | undefined,
): { readonly heardAtMs?: number } {
  const heardAtMs = peer?.lastSentAtMs ?? -Infinity;
  return heardAtMs === -Infinity ? {} : { heardAtMs };
}

function waitsOf({ waitMsByService }: Scheduler): Record<string, number> {
  return Object.fromEntries(waitMsByService);
}

/**
 * Age of this instance's list of workers. Capped at a finite value for
 * messages: before the first list is read, the age is infinite.
 */
export function workersAgeMs(state: EngineState): number {
  return Math.min(1e9, Math.round(state.nowMs - state.workersReadAtMs));
}

/** Sends a heartbeat to every peer, whether due or not. */
export function heartbeatAll(context: ReduceContext): void {
  for (const peer of context.state.peers.values()) sendHeartbeat(context, peer);
}

/**
 * Sends heartbeats that are due, and removes peers that have no connection and
 * sent no message for `PEER_RETENTION_MS`, counted from this instance's start
 * at the earliest.
 */
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
