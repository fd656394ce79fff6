/**
 * The order in which instances become the leader when there is none. Each
 * instance computes it from what it knows. If two of them become leaders, a
 * confirmed leader outranks a provisional one, then the higher term decides.
 */

import { cellPeers } from "./cells.ts";
import { isLive } from "./membership.ts";
import type { InstanceInfo } from "./schemas.ts";
import type { EngineState, Peer } from "./types.ts";

/** Age below which an instance expects that peers may be starting, too. */
const STARTUP_PERIOD_MS = 2_000;
/** Age from which the code of an instance runs at full speed. */
const WARM_UP_MS = 6_000;
/** Added to ages to pad them with zeros, so that they compare as text. */
const AGE_OFFSET = 1e13;
/** Steps per core in which instances' CPU sizes are compared. */
const STEPS_PER_CORE = 4;
/** CPU size above which instances rank equally, in steps: 128 cores. */
const MAX_CORE_STEPS = 512;
/**
 * Time for which a candidate that has just started gives precedence to peers
 * whose connections are refused: they may be starting at the same time.
 */
const PEER_START_TIMEOUT_MS = 250;
/** Time within which peers answer an instance that lost its leader. */
const PEER_ANSWER_TIMEOUT_MS = 200;
/**
 * Time without a message after which a peer that should have answered is
 * presumed unreachable.
 */
const UNREACHABLE_AFTER_MS = 400;

/**
 * Returns the number of peers, reachable or possibly starting, that should
 * become the leader before this instance.
 */
export function rankOfSelf(state: EngineState): number {
  const selfKey = rankKey(state, state.self, state.draining);
  const starting = state.nowMs - state.startedAtMs < STARTUP_PERIOD_MS &&
    state.nowMs - state.candidateSinceMs < PEER_START_TIMEOUT_MS;
  return cellPeers(state).filter((peer) =>
    (isReachable(state, peer) || (starting && peer.refusedAtMs > 0)) &&
    peerRankKey(state, peer) < selfKey
  ).length;
}

/**
 * Whether a peer is reachable, as far as the choice of a leader is concerned.
 * A peer answers on its next tick when it hears that an instance lost its
 * leader, so a peer that sends no message then is presumed unreachable while
 * `isLive` still counts it as live.
 */
export function isReachable(state: EngineState, peer: Peer): boolean {
  if (!isLive(state, peer)) return false;
  const waitedMs = state.nowMs - state.leaderlessSinceMs;
  return waitedMs < PEER_ANSWER_TIMEOUT_MS ||
    state.nowMs - peer.lastHeardAtMs < UNREACHABLE_AFTER_MS;
}

/** Returns the sort key of a peer in the order of {@linkcode rankKey}. */
export function peerRankKey(
  state: EngineState,
  { info, draining }: Peer,
): string {
  return rankKey(state, info, draining);
}

/**
 * Returns a text that sorts instances in the order in which they become the
 * leader: draining instances last; more cores first; instances that just
 * started, whose code is not warmed up, after the others; then the youngest
 * first, since a rolling restart in progress will not restart it again.
 */
function rankKey(
  { wallMs }: EngineState,
  { instanceId, bornMs, cpuCores = 1 }: InstanceInfo,
  draining: boolean,
): string {
  const cold = wallMs - bornMs < WARM_UP_MS;
  const age = String(Math.max(0, wallMs - bornMs) + AGE_OFFSET).slice(-12);
  const missingSteps = Math.max(
    0,
    MAX_CORE_STEPS - Math.round(STEPS_PER_CORE * cpuCores),
  );
  const size = String(missingSteps).padStart(3, "0");
  return `${draining ? 1 : 0}${size}${cold ? 1 : 0}${age}${instanceId}`;
}
