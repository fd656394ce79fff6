/**
 * Determines until when runs of a previous leader may continue. A submission
 * that looks new may be a caller's retry after its entry was lost; it does not
 * show that a previous leader had the job.
 */

import { maxLeaseMs } from "./leases.ts";
import type { PeerMessageOf } from "./schemas.ts";
import type { EngineState, Peer, Scheduler } from "./types.ts";

/**
 * Time without a message from any entry of an unrecorded job after which its
 * leader starts no more of its tasks.
 */
export const ENTRY_PAUSE_TIMEOUT_MS = 500;
/**
 * Time without a message from any entry of an unrecorded job after which its
 * leader drops the job and stops its runs.
 */
export const ENTRY_DROP_TIMEOUT_MS = 750;
/**
 * Time for which a withdrawal is sent again to a leader that is connected again.
 * A leader that hears nothing from an entry for this long has dropped its jobs.
 */
export const WITHDRAWAL_RETENTION_MS = 2_000;
/**
 * Minimum time between the last message of a lost entry and the resubmission of
 * its jobs by their callers.
 */
const CALLER_RETRY_DELAY_MS = 1_200;
/**
 * Maximum interval between messages of a running instance, which may thus have
 * run on for this time after its last message.
 */
const MAX_MESSAGE_INTERVAL_MS = 500;

/**
 * Maximum time for which runs of a leader may continue after the last message of
 * their entry, which may itself have run on for a while.
 */
export function maxRunOutlastMs(state: EngineState): number {
  return MAX_MESSAGE_INTERVAL_MS + ENTRY_DROP_TIMEOUT_MS + maxLeaseMs(state);
}

/**
 * Returns the time until which runs of a submitted job that a previous leader
 * started may continue; a time in the past if there can be none.
 */
export function previousRunsExpireAtMs(
  state: EngineState,
  scheduler: Scheduler,
  { resubmitted, ageMs }: PeerMessageOf<"submit">,
): number {
  if (resubmitted) return state.nowMs + maxLeaseMs(state);
  return retriedRunsExpireAtMs(state, {
    receivedAtMs: state.nowMs - ageMs,
    termStartedAtMs: scheduler.startedAtMs,
  });
}

/**
 * Returns the time until which runs of a job that was never submitted here may
 * continue: it may be a caller's retry after the loss of its entry. An entry that
 * was lost since `termStartedAtMs` doesn't count.
 */
export function retriedRunsExpireAtMs(
  state: EngineState,
  { receivedAtMs, termStartedAtMs }: {
    receivedAtMs: number;
    termStartedAtMs: number;
  },
): number {
  // This instance does not know of entries lost before it started, and a caller
  // that comes again lost its entry some time ago.
  const unknownLossAtMs = Math.min(
    state.startedAtMs,
    receivedAtMs - CALLER_RETRY_DELAY_MS,
  );
  let expiresAtMs = unknownLossAtMs + ENTRY_DROP_TIMEOUT_MS + maxLeaseMs(state);
  for (const peer of state.peers.values()) {
    const lostAtMs = lossTimeMs(state, peer);
    // An entry lost in this term submitted its jobs to this leader, which thus
    // knows them.
    if (lostAtMs === 0 || lostAtMs >= termStartedAtMs) continue;
    if (receivedAtMs < lostAtMs + CALLER_RETRY_DELAY_MS) continue;
    expiresAtMs = Math.max(expiresAtMs, lostAtMs + maxRunOutlastMs(state));
  }
  return expiresAtMs;
}

/**
 * Time of a peer's last message before its latest loss; 0 if it was never lost
 * or never heard from. A peer that is silent may be lost before it counts as
 * such, and a pause of this process does not delay its callers.
 */
function lossTimeMs(
  { nowMs }: EngineState,
  { lastMessageAtMs, heardBeforeLossAtMs }: Peer,
): number {
  const isSilent = nowMs - lastMessageAtMs > MAX_MESSAGE_INTERVAL_MS;
  return isSilent ? lastMessageAtMs : heardBeforeLossAtMs;
}
