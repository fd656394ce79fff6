/**
 * The lists of workers by which leaders start tasks. A new leader reads the runs
 * of its predecessor on the workers that it lists itself, which are all of them
 * only if both list the same workers: an instance that has just started may read
 * a list that lacks live workers, and the leader of one zone lists none of the
 * other zones. An entry therefore tells a new leader by which list the previous
 * one went.
 */

import { createHash } from "node:crypto";
import { cellWorkers } from "./cells.ts";
import { maxLeaseMs } from "./leases.ts";
import { maxRunOutlastMs } from "./previous_runs.ts";
import type { PeerMessageOf, WorkerInfo } from "./schemas.ts";
import type { EngineState, Peer } from "./types.ts";

/** Characters of a digest, six bits each. */
const DIGEST_LENGTH = 16;

/**
 * Updates the digest of this instance's own list after a change of the workers
 * or of the cells. Returns whether it has changed.
 */
export function updateListDigest(state: EngineState): boolean {
  const digest = digestOf(cellWorkers(state));
  if (digest === state.listDigest) return false;
  state.listDigest = digest;
  if (state.scheduler !== null) observeLeaderList(state, digest);
  return true;
}

/** Digest of the ids and addresses of workers, in any order. */
export function digestOf(workers: readonly WorkerInfo[]): string {
  const names = workers
    .map(({ workerId, address }) => `${workerId} ${address}`);
  return createHash("sha256").update(names.sort().join("\n"))
    .digest("base64url").slice(0, DIGEST_LENGTH);
}

/** Begins to track the list of a leader in a new term. */
export function trackLeaderList(
  state: EngineState,
  { term, listDigest }: Pick<Peer, "term" | "listDigest">,
): void {
  state.leaderList = { term, digest: listDigest, changedAtMs: -Infinity };
}

/** Updates the list of the leader that this instance follows or is. */
export function observeLeaderList(
  state: EngineState,
  digest: string | null,
): void {
  const { leaderList, nowMs } = state;
  if (leaderList === null || leaderList.digest === digest) return;
  state.leaderList = { ...leaderList, digest, changedAtMs: nowMs };
}

/**
 * Remembers the list of a leader that this instance no longer follows. It is not
 * known if leases that were granted by an earlier list may last, or by the list
 * of a leader before that.
 */
export function leaveLeaderList(state: EngineState): void {
  const { leaderList, previousList, nowMs } = state;
  if (leaderList === null) return;
  const isSettled = nowMs - leaderList.changedAtMs >= maxLeaseMs(state);
  const isOnly = previousList === null ||
    nowMs - previousList.leftAtMs >= maxRunOutlastMs(state) ||
    previousList.digest === leaderList.digest;
  state.previousList = {
    term: leaderList.term,
    digest: isSettled && isOnly ? leaderList.digest : null,
    leftAtMs: nowMs,
  };
  state.leaderList = null;
}

/**
 * Digest of the list of the leader that this instance followed last; null if it
 * is not known, or if workers that left the list may have runs of that leader.
 */
export function previousListDigest(
  { previousList, vanishedAtMs }: EngineState,
): string | null {
  return vanishedAtMs.size > 0 ? null : previousList?.digest ?? null;
}

/**
 * Digest of the list by which a previous leader started tasks of a submitted
 * job; null if it is not known. A submission for an earlier term of this
 * instance names the list of the leader before that term.
 */
export function submittedListDigest(
  { previousList }: EngineState,
  { resubmitted, term, previousListDigest }: PeerMessageOf<"submit">,
  ownTerm: number,
): string | null {
  if (term === undefined || term === ownTerm) return previousListDigest;
  const ownDigest = previousList?.term === term ? previousList.digest : null;
  return !resubmitted || previousListDigest === ownDigest ? ownDigest : null;
}
