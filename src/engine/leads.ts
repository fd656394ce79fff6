/** Which leader a job or a question goes to. */

import { isLive, LEADER_TIMEOUT_MS } from "./membership.ts";
import type { CallerJob, EngineState, Peer } from "./types.ts";

/** A leader, in one of its terms. */
export interface LeaderTerm {
  readonly instanceId: string;
  readonly term: number;
}

/** A zone without workers in the list for so long is gone, not cut off. */
const ZONE_RETENTION_MS = 10_000;
/** Work is handed to another cell if it would not wait longer there. */
const MAX_SPILL_WAIT_MS = 100;

/** Whether a peer leads, as far as is heard. */
export function isActiveLeader(state: EngineState, peer: Peer): boolean {
  return peer.isLeader && isLive(state, peer) &&
    state.nowMs - peer.lastHeardAtMs < LEADER_TIMEOUT_MS;
}

/** The leader of this instance's cell. */
export function cellLeader({ leaderId, leaderTerm }: EngineState): LeaderTerm | null {
  return leaderId === null ? null : { instanceId: leaderId, term: leaderTerm };
}

function leaderTermOf({ info, term }: Peer): LeaderTerm {
  return { instanceId: info.instanceId, term };
}

/** The leader that has, or should have, the records of all jobs. */
export function recordsLead(state: EngineState): LeaderTerm | null {
  if (!state.hasZoneCells) return cellLeader(state);
  const zone = chooseRecordsZone(state);
  if (zone === state.self.availabilityZone) return cellLeader(state);
  for (const peer of state.peers.values()) {
    const isInZone = peer.info.availabilityZone === zone;
    if (isInZone && isActiveLeader(state, peer)) return leaderTermOf(peer);
  }
  return null;
}

/**
 * The zone that had the records last, unless it lost its workers long ago;
 * else the first that has some. They stay in a zone that is cut off: nobody
 * else can read what ended on its workers.
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

/** Where a job is, or goes next; null while nobody leads. */
export function leaderFor(state: EngineState, callerJob: CallerJob): LeaderTerm | null {
  if (callerJob.job.isRecorded === true) return recordsLead(state);
  const { submittedTo, spilledToZone } = callerJob;
  if (submittedTo === null || spilledToZone === null) return cellLeader(state);
  // Whoever leads the other cell goes on with the job.
  for (const peer of state.peers.values()) {
    const isInZone = peer.info.availabilityZone === spilledToZone;
    if (isInZone && peer.hasZoneCells && isActiveLeader(state, peer)) {
      return leaderTermOf(peer);
    }
  }
  return cellLeader(state);
}

/** The zone whose leader has most room for work of a service, or null. */
export function leastLoadedZone(
  state: EngineState,
  service: string,
): string | null {
  if (!state.hasZoneCells) return null;
  let best: Peer | null = null;
  let bestWaitMs = MAX_SPILL_WAIT_MS;
  for (const peer of state.peers.values()) {
    if (peer.info.availabilityZone === state.self.availabilityZone) continue;
    const waitMs = peer.waitMsByService[service];
    if (waitMs === undefined || waitMs >= bestWaitMs) continue;
    if (!isActiveLeader(state, peer)) continue;
    [best, bestWaitMs] = [peer, waitMs];
  }
  return best?.info.availabilityZone ?? null;
}
