/** Determines the leader to which a job or a query is sent. */

import { isLive, LEADER_TIMEOUT_MS } from "./membership.ts";
import type { CallerJob, EngineState, Peer } from "./types.ts";
import { isEvacuated } from "./zones/evacuation.ts";

/** A leader and its term. */
export interface LeaderTerm {
  readonly instanceId: string;
  readonly term: number;
}

/**
 * Time without a worker in the list after which a zone is considered removed
 * rather than partitioned off.
 */
const ZONE_RETENTION_MS = 10_000;
/**
 * A job is handed to another cell only if the expected wait there is shorter
 * than this.
 */
const MAX_SPILL_WAIT_MS = 100;

/**
 * Whether a peer is a live leader that was heard from within
 * `LEADER_TIMEOUT_MS`.
 */
export function isActiveLeader(state: EngineState, peer: Peer): boolean {
  return peer.isLeader && isLive(state, peer) &&
    state.nowMs - peer.lastHeardAtMs < LEADER_TIMEOUT_MS;
}

/** The leader of this instance's cell; null if none is known. */
export function cellLeader(
  { leaderId, leaderTerm }: EngineState,
): LeaderTerm | null {
  return leaderId === null ? null : { instanceId: leaderId, term: leaderTerm };
}

function leaderTermOf({ info, term }: Peer): LeaderTerm {
  return { instanceId: info.instanceId, term };
}

/**
 * The leader that owns, or should own, the records of all jobs; null if it is
 * not known. While leaders of two zones say that they own them, it is that of the
 * zone that was heard of last.
 */
export function recordsLeader(state: EngineState): LeaderTerm | null {
  if (!state.hasZoneCells) return cellLeader(state);
  const { recordsZone, self } = state;
  const ownsRecords = state.scheduler?.records.isOwner === true ||
    (recordsZone === self.availabilityZone && isOwnLeaderOwner(state));
  if (ownsRecords) return cellLeader(state);
  const owners = distantOwners(state);
  const owner =
    owners.find(({ info }) => info.availabilityZone === recordsZone) ??
      owners[0];
  if (owner !== undefined) return leaderTermOf(owner);
  const zone = chooseRecordsZone(state);
  if (zone === self.availabilityZone) return cellLeader(state);
  for (const peer of state.peers.values()) {
    const isInZone = peer.info.availabilityZone === zone;
    if (isInZone && isActiveLeader(state, peer)) return leaderTermOf(peer);
  }
  return null;
}

/** Whether the leader that this instance follows owns the records. */
function isOwnLeaderOwner({ leaderId, peers }: EngineState): boolean {
  return leaderId !== null && peers.get(leaderId)?.holdsRecords === true;
}

/** The active leaders of other zones that own the records. */
function distantOwners(state: EngineState): Peer[] {
  if (!state.hasZoneCells) return [];
  return [...state.peers.values()].filter((peer) =>
    peer.holdsRecords &&
    peer.info.availabilityZone !== state.self.availabilityZone &&
    isActiveLeader(state, peer)
  );
}

/** Whether the leader of another zone is heard from that owns the records. */
export function hearsDistantOwner(state: EngineState): boolean {
  return distantOwners(state).length > 0;
}

/**
 * Whether the leader that queries about recorded jobs are sent to has said that
 * it owns the records, or is this instance and does.
 */
export function hearsRecordsOwner(state: EngineState): boolean {
  const leader = recordsLeader(state);
  if (leader === null) return false;
  if (leader.instanceId !== state.self.instanceId) {
    return state.peers.get(leader.instanceId)?.holdsRecords === true;
  }
  return state.scheduler?.records.phase === "open";
}

/** The zones other than this instance's of which an active leader is heard. */
function ledZones(state: EngineState): Set<string> {
  const zones = new Set<string>();
  for (const peer of state.peers.values()) {
    if (isActiveLeader(state, peer)) zones.add(peer.info.availabilityZone);
  }
  zones.delete(state.self.availabilityZone);
  return zones;
}

/** The zones other than this instance's that have workers in the list. */
function otherListedZones(
  { zoneListedAtMs, workersReadAtMs, self }: EngineState,
): string[] {
  return [...zoneListedAtMs.keys()].filter((zone) =>
    zone !== self.availabilityZone &&
    workersReadAtMs - (zoneListedAtMs.get(zone) ?? 0) < ZONE_RETENTION_MS
  );
}

/**
 * Whether a zone has workers and no leader that is heard from, where each zone
 * has one. Its instances may be lost, or cut off from this one.
 */
export function hasSilentZone(state: EngineState): boolean {
  if (!state.hasZoneCells) return false;
  const led = ledZones(state);
  return otherListedZones(state).some((zone) => !led.has(zone));
}

/** The zones that have workers, but no instance that is heard from. */
export function zonesWithoutInstances(state: EngineState): Set<string> {
  if (!state.hasZoneCells) return new Set();
  const zones = new Set(otherListedZones(state));
  for (const peer of state.peers.values()) {
    if (isLive(state, peer)) zones.delete(peer.info.availabilityZone);
  }
  return zones;
}

/**
 * The number of led zones that come before this instance's by name, in which
 * order leaders take over records without an owner.
 */
export function rankOfZone(state: EngineState): number {
  return [...ledZones(state)]
    .filter((zone) => zone < state.self.availabilityZone).length;
}

/**
 * Whether this instance knows which zone has the records. A leader of a zone that
 * has started does not before it hears of their owner or reads it from the store.
 */
export function knowsRecordsZone(
  { hasZoneCells, recordsZone, scheduler }: EngineState,
): boolean {
  return !hasZoneCells || recordsZone !== null ||
    scheduler?.records.holderWatch.isAbsent === true;
}

/**
 * The zone whose leader should own the records. This is the zone that had them
 * last, unless it is considered removed and other zones are not; otherwise the
 * first remaining zone by name, or this instance's zone if there is none. The
 * records stay in a zone that is partitioned off, since no other zone can read
 * the completions on its workers.
 */
function chooseRecordsZone(state: EngineState): string {
  const { recordsZone: lastZone, zoneListedAtMs, nowMs } = state;
  const zones = [...zoneListedAtMs.keys()].filter((zone) =>
    nowMs - (zoneListedAtMs.get(zone) ?? 0) < ZONE_RETENTION_MS
  );
  if (lastZone !== null && (zones.includes(lastZone) || zones.length === 0)) {
    return lastZone;
  }
  return zones.sort()[0] ?? state.self.availabilityZone;
}

/**
 * The leader that has a job, or gets it next; null if none is known. A job that
 * was handed to another cell stays there while that cell has a leader.
 */
export function leaderFor(
  state: EngineState,
  callerJob: CallerJob,
): LeaderTerm | null {
  if (callerJob.job.isRecorded === true) return recordsLeader(state);
  const { submittedTo, spilledToZone } = callerJob;
  if (submittedTo === null || spilledToZone === null) return cellLeader(state);
  // A new leader of the other cell resumes the job.
  return leaderOfZone(state, spilledToZone) ?? cellLeader(state);
}

/** The leader of another zone that is a cell; null if none is heard. */
export function leaderOfZone(
  state: EngineState,
  zone: string,
): LeaderTerm | null {
  for (const peer of state.peers.values()) {
    const isInZone = peer.info.availabilityZone === zone;
    if (isInZone && peer.hasZoneCells && isActiveLeader(state, peer)) {
      return leaderTermOf(peer);
    }
  }
  return null;
}

/** Whether the leader of this cell reports room, and so decides on hand-overs. */
function decidesOnHandOvers({ scheduler, leaderId, peers }: EngineState) {
  if (scheduler !== null) return true;
  const leader = leaderId === null ? undefined : peers.get(leaderId);
  return leader !== undefined && leader.roomByService !== null;
}

/**
 * The other zone whose leader reports the shortest expected wait for a service;
 * null if no wait is below `MAX_SPILL_WAIT_MS`, or if the zones are one cell. If
 * this cell's leader decides on hand-overs, zones that report room don't count: it
 * has not chosen them, and a second entry could not follow.
 */
export function leastLoadedZone(
  state: EngineState,
  service: string,
): string | null {
  if (!state.hasZoneCells) return null;
  let best: Peer | null = null;
  let bestWaitMs = MAX_SPILL_WAIT_MS;
  const isDecided = decidesOnHandOvers(state);
  for (const peer of state.peers.values()) {
    if (peer.info.availabilityZone === state.self.availabilityZone) continue;
    if (isEvacuated(state, peer.info)) continue;
    if (isDecided && peer.roomByService !== null) continue;
    const waitMs = peer.waitMsByService[service];
    if (waitMs === undefined || waitMs >= bestWaitMs) continue;
    if (!isActiveLeader(state, peer)) continue;
    [best, bestWaitMs] = [peer, waitMs];
  }
  return best?.info.availabilityZone ?? null;
}
