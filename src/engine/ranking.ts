/**
 * In which order instances lead where nobody does. It is worked out by each
 * instance for itself; two that differ are told apart by their terms.
 */

import { cellPeers } from "./cells.ts";
import { isLive } from "./membership.ts";
import type { InstanceInfo } from "./schemas.ts";
import type { EngineState, Peer } from "./types.ts";

/** An instance that started within so long may have peers that start. */
const YOUNG_MS = 2_000;
/** The code of an instance runs at full speed after so long. */
const WARM_AFTER_MS = 6_000;
/** Keeps ages at one number of digits, so that they compare as text. */
const RANK_OFFSET = 1e13;
/** Machines are compared in quarters of a core, up to so many. */
const CORE_STEPS = 4;
const MAX_RANKED_CORES = 512;
/** Instances that start together start within so long of each other. */
const START_TOGETHER_MS = 250;
/** Peers have answered an instance that lost its leader by then. */
const PEERS_ANSWER_MS = 200;
/** A peer that is asked so and was silent for so long is out of reach. */
const OUT_OF_REACH_MS = 400;

/** How many instances come before this one: those that drain come last. */
export function rankOfSelf(state: EngineState): number {
  const selfRank = rankKey(state, state.self, state.draining);
  const starting = state.nowMs - state.startedAtMs < YOUNG_MS &&
    state.nowMs - state.candidateSinceMs < START_TOGETHER_MS;
  return cellPeers(state).filter((peer) =>
    (isInReach(state, peer) || (starting && peer.refusedAtMs > 0)) &&
    peerRank(state, peer) < selfRank
  ).length;
}

/**
 * Whether a peer has a say in who leads. Whoever is told that an instance lost
 * its leader answers at once: one that stays silent is out of reach, too.
 */
export function isInReach(state: EngineState, peer: Peer): boolean {
  if (!isLive(state, peer)) return false;
  const waitedMs = state.nowMs - state.leaderlessSinceMs;
  return waitedMs < PEERS_ANSWER_MS ||
    state.nowMs - peer.lastHeardAtMs < OUT_OF_REACH_MS;
}

/** The order of a peer among those that may lead, as text that sorts. */
export function peerRank(state: EngineState, { info, draining }: Peer): string {
  return rankKey(state, info, draining);
}

/**
 * The order in which instances lead: not those that drain; those on the larger
 * machines; not those that just started and run cold code; then the youngest,
 * which a rolling restart that is under way has behind it.
 */
function rankKey(
  { wallMs }: EngineState,
  { instanceId, bornMs, cpuCores = 1 }: InstanceInfo,
  draining: boolean,
): string {
  const cold = wallMs - bornMs < WARM_AFTER_MS;
  const age = String(Math.max(0, wallMs - bornMs) + RANK_OFFSET).slice(-12);
  const small = Math.max(
    0,
    MAX_RANKED_CORES - Math.round(CORE_STEPS * cpuCores),
  );
  const size = String(small).padStart(3, "0");
  return `${draining ? 1 : 0}${size}${cold ? 1 : 0}${age}${instanceId}`;
}
