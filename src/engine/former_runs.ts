/**
 * Whether a former leader may still run tasks of a job, and until when. A job
 * that comes as new may be sent again by its caller because its entry was lost;
 * nothing else says that a former leader had it.
 */

import { longestLeaseMs } from "./leases.ts";
import { isLive } from "./membership.ts";
import type { PeerMessageOf } from "./schemas.ts";
import type { EngineState, Peer, Scheduler } from "./types.ts";

/** Nothing more starts for an entry that was silent for so long. */
export const PAUSE_SILENT_MS = 500;
/** And what runs for it is stopped after so long. */
export const DROP_SILENT_MS = 750;
/** Callers whose job was lost send it again after so long at the earliest. */
const CALLER_RETRY_DELAY_MS = 1_200;
/** An instance may have gone on for so long after it was heard last. */
const MAX_MESSAGE_INTERVAL_MS = 500;

/** Until when runs of a former leader may go on; 0 where there are none. */
export function formerRunsLapseAtMs(
  state: EngineState,
  scheduler: Scheduler,
  { resubmitted, ageMs }: PeerMessageOf<"submit">,
): number {
  if (resubmitted) return state.nowMs + longestLeaseMs(state);
  const receivedAtMs = state.nowMs - ageMs;
  const remainingMs = DROP_SILENT_MS + longestLeaseMs(state);
  // Instances lost before this one started are not known to it.
  let expiresAtMs = state.startedAtMs + remainingMs;
  for (const peer of state.peers.values()) {
    const lostAtMs = lossTimeMs(state, peer);
    // A job that was handed to this leader is known to it.
    if (lostAtMs === 0 || lostAtMs >= scheduler.startedAtMs) continue;
    if (receivedAtMs < lostAtMs + CALLER_RETRY_DELAY_MS) continue;
    expiresAtMs = Math.max(expiresAtMs, lostAtMs + MAX_MESSAGE_INTERVAL_MS + remainingMs);
  }
  return expiresAtMs;
}

/** When a peer was heard before it was lost last; 0 where it never was. */
function lossTimeMs(state: EngineState, peer: Peer): number {
  return isLive(state, peer) ? peer.heardBeforeLossAtMs : peer.lastHeardAtMs;
}
