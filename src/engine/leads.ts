/** Which leader a job or a question goes to. */

import { isLive, LEADER_SILENT_MS } from "./membership.ts";
import type { CallerJob, EngineState, Peer } from "./types.ts";

/** A leader, in one of its terms. */
export interface Lead {
  readonly instanceId: string;
  readonly term: number;
}

/** A zone without workers in the list for so long is gone, not cut off. */
const ZONE_GONE_MS = 10_000;
/** Work is handed to another cell if it would not wait longer there. */
const SPILL_WAIT_MS = 100;

/** Whether a peer leads, as far as is heard. */
export function isLeading(state: EngineState, peer: Peer): boolean {
  return peer.isLeader && isLive(state, peer) &&
    state.nowMs - peer.lastHeardAtMs < LEADER_SILENT_MS;
}

/** The leader of this instance's cell. */
export function ownLead({ leaderId, leaderTerm }: EngineState): Lead | null {
  return leaderId === null ? null : { instanceId: leaderId, term: leaderTerm };
}

function leadOf({ info, term }: Peer): Lead {
  return { instanceId: info.instanceId, term };
}

/** The leader that has, or should have, the records of all jobs. */
export function recordsLead(state: EngineState): Lead | null {
  if (!state.hasZoneCells) return ownLead(state);
  const zone = recordsZone(state);
  if (zone === state.self.availabilityZone) return ownLead(state);
  for (const peer of state.peers.values()) {
    const isThere = peer.info.availabilityZone === zone;
    if (isThere && isLeading(state, peer)) return leadOf(peer);
  }
  return null;
}

/**
 * The zone that had the records last, unless it lost its workers long ago;
 * else the first that has some. They stay in a zone that is cut off: nobody
 * else can read what ended on its workers.
 */
function recordsZone(state: EngineState): string {
  const { recordsZone: last, zoneListedAtMs, nowMs } = state;
  const zones = [...zoneListedAtMs.keys()].filter((zone) =>
    nowMs - (zoneListedAtMs.get(zone) ?? 0) < ZONE_GONE_MS
  );
  if (last !== null && (zones.includes(last) || zones.length === 0)) {
    return last;
  }
  return zones.sort()[0] ?? state.self.availabilityZone;
}

/** Where a job is, or goes next; null while nobody leads. */
export function leadFor(state: EngineState, callerJob: CallerJob): Lead | null {
  if (callerJob.job.isRecorded === true) return recordsLead(state);
  const { submittedTo, spilledToZone } = callerJob;
  if (submittedTo === null || spilledToZone === null) return ownLead(state);
  // Whoever leads the other cell goes on with the job.
  for (const peer of state.peers.values()) {
    const isThere = peer.info.availabilityZone === spilledToZone;
    if (isThere && peer.hasZoneCells && isLeading(state, peer)) {
      return leadOf(peer);
    }
  }
  return ownLead(state);
}

/** The zone whose leader has most room for work of a service, or null. */
export function roomiestZone(
  state: EngineState,
  service: string,
): string | null {
  if (!state.hasZoneCells) return null;
  let best: Peer | null = null;
  let bestWaitMs = SPILL_WAIT_MS;
  for (const peer of state.peers.values()) {
    if (peer.info.availabilityZone === state.self.availabilityZone) continue;
    const waitMs = peer.waitMsByService[service];
    if (waitMs === undefined || waitMs >= bestWaitMs) continue;
    if (!isLeading(state, peer)) continue;
    [best, bestWaitMs] = [peer, waitMs];
  }
  return best?.info.availabilityZone ?? null;
}
