/**
 * Tells whether the entries of jobs in memory still follow this leader. An entry
 * that hears nothing from its leader for some time submits them to another one.
 * A message tells which heartbeat of this leader its sender had received last, so
 * that one that was delayed is told from a current one, whatever connections were
 * cut and whichever process was delayed meanwhile.
 */

import { refusesConnections } from "./membership.ts";
import { ENTRY_PAUSE_TIMEOUT_MS } from "./previous_runs.ts";
import type { PeerMessageOf } from "./schemas.ts";
import type { EngineState, Job, Peer } from "./types.ts";

/**
 * Whether no task of a job starts, since each of its entries may have submitted
 * it to another leader. This instance itself is no peer and has not.
 */
export function isPaused(
  { peers }: EngineState,
  { record, submissionIdByEntry }: Job,
): boolean {
  if (record !== null) return false;
  for (const entryId of submissionIdByEntry.keys()) {
    if (peers.get(entryId)?.mayHaveLeft !== true) return false;
  }
  return true;
}

/** Marks the peers that are silent, or that refuse connections. */
export function checkFollowers({ peers, nowMs }: EngineState): void {
  for (const peer of peers.values()) {
    const silentMs = nowMs - peer.lastHeardAtMs;
    if (silentMs > ENTRY_PAUSE_TIMEOUT_MS || refusesConnections(peer)) {
      peer.mayHaveLeft = true;
    }
  }
}

/**
 * Marks all peers: this process was delayed, and messages that tell which of them
 * have left are not handled yet.
 */
export function suspectFollowers({ peers }: EngineState): void {
  for (const peer of peers.values()) peer.mayHaveLeft = true;
}

/**
 * Handles a submission, which shows that its sender follows this leader, unless it
 * was meant for another term, in which the clock may have been another one.
 */
export function onFollowerSubmission(
  state: EngineState,
  from: string,
  { term, heardAtMs }: PeerMessageOf<"submit">,
): void {
  const peer = state.peers.get(from);
  if (peer === undefined) return;
  const isOtherTerm = term !== undefined && term !== state.scheduler?.term;
  peer.mayHaveLeft = isOtherTerm || !isCurrent(state, peer, heardAtMs);
}

/**
 * Handles a peer's latest heartbeat. Withdrawals that the peer sent before it
 * have arrived, unless it is on a newer connection.
 */
export function onFollowerHeartbeat(
  state: EngineState,
  from: string,
  message: PeerMessageOf<"heartbeat">,
): void {
  const peer = state.peers.get(from);
  if (peer === undefined || !mayHaveJobsHere(state, peer, message)) return;
  if (isCurrent(state, peer, message.heardAtMs)) peer.mayHaveLeft = false;
}

/**
 * Whether a peer follows this leader, or is in another cell, of which the leader
 * hands jobs over.
 */
function mayHaveJobsHere(
  { self, scheduler, hasZoneCells }: EngineState,
  { info }: Peer,
  message: PeerMessageOf<"heartbeat">,
): boolean {
  const isFollower = message.leaderId === self.instanceId &&
    message.term === scheduler?.term;
  const isInOtherCell = info.availabilityZone !== self.availabilityZone &&
    (hasZoneCells || message.hasZoneCells);
  return isFollower || isInOtherCell;
}

/** Whether a message was sent by a peer that can't have left since. */
function isCurrent(
  { nowMs, guards }: EngineState,
  { heardAgainAtMs }: Peer,
  heardAtMs: number | undefined,
): boolean {
  if (heardAtMs !== undefined) return !guards.mayHaveLeft(nowMs, heardAtMs);
  // An earlier version doesn't tell. What was delayed with its messages arrives
  // within the time that a leader would have been silent for.
  return guards.mayHaveLeft(nowMs, heardAgainAtMs);
}
