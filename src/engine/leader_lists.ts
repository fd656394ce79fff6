/**
 * The lists of workers by which leaders start tasks. A new leader reads the runs
 * of its predecessor on the workers that it lists itself, which are all of them
 * only if both list the same workers: an instance that has just started may read
 * a list that lacks live workers, and the leader of one zone lists none of the
 * other zones. An entry therefore tells a new leader by which list the previous
 * one went.
 */

import { createHash } from "node:crypto";
import { isDeepStrictEqual } from "node:util";
import { cellPeers, cellWorkers, hasVanishedWorkers } from "./cells.ts";
import { maxLeaseMs } from "./leases.ts";
import { maxRunOutlastMs } from "./previous_runs.ts";
import type {
  PeerMessageOf,
  PreviousListReport,
  WorkerInfo,
} from "./schemas.ts";
import type { EngineState, Peer, RegisteredList } from "./types.ts";

/** Cell under which the list is registered if all zones are one. */
const ALL_ZONES = "all";
/** Characters of a digest, six bits each. */
const DIGEST_LENGTH = 16;

/**
 * Updates the digest of this instance's own list after a change of the workers
 * or of the cells. Returns whether it has changed.
 */
export function updateListDigest(state: EngineState): boolean {
  const before = state.listedNames;
  const names = cellWorkers(state).map(nameOf).sort();
  const digest = createHash("sha256").update(names.join("\n"))
    .digest("base64url").slice(0, DIGEST_LENGTH);
  if (digest === state.listDigest) return false;
  state.listDigest = digest;
  state.listedNames = new Set(names);
  const { scheduler, leaderList, listedNames } = state;
  if (scheduler === null || leaderList === null) return true;
  // A list that has only grown covers all runs that were started by it before.
  const hasGrown = [...before].every((name) => listedNames.has(name));
  if (hasGrown) state.leaderList = { ...leaderList, digest };
  else observeLeaderList(state, digest);
  return true;
}

/**
 * The digest that this instance tells its peers; null while it renews leases on
 * workers that the digest does not cover.
 */
export function toldListDigest(state: EngineState): string | null {
  return pollsUnlistedWorkers(state) ? null : state.listDigest;
}

/** Whether this leader still polls a worker with runs that left its list. */
function pollsUnlistedWorkers({ scheduler, workers }: EngineState): boolean {
  for (const [workerId, { runs }] of scheduler?.workers ?? []) {
    if (runs.size > 0 && !workers.has(workerId)) return true;
  }
  return false;
}

/** Names a worker by its id and address. */
function nameOf({ workerId, address }: WorkerInfo): string {
  return `${workerId} ${address}`;
}

/** Begins to track the list of a leader in a new term. */
export function trackLeaderList(
  state: EngineState,
  { term, listDigest }: Pick<Peer, "term" | "listDigest">,
): void {
  state.leaderList = { term, digest: listDigest, changedAtMs: -Infinity };
  // After a long time without a leader, there may have been others meanwhile.
  if (!hasFollowedLately(state)) state.firstLedAtMs = state.nowMs;
}

/** Whether this instance left a leader only as long ago as its runs may last. */
function hasFollowedLately(state: EngineState): boolean {
  const { previousList, nowMs } = state;
  return previousList !== null &&
    nowMs - previousList.leftAtMs < maxRunOutlastMs(state);
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
  const { leaderList, previousList, leaderId, peers, nowMs, lastTickAtMs } =
    state;
  if (leaderList === null) return;
  const isSettled = nowMs - leaderList.changedAtMs >= maxLeaseMs(state);
  const isOnly = previousList === null || !hasFollowedLately(state) ||
    previousList.digest === leaderList.digest;
  state.previousList = {
    term: leaderList.term,
    digest: isSettled && isOnly ? leaderList.digest : null,
    // A pause of this process is part of the time without the leader.
    leftAtMs: peers.get(leaderId ?? "")?.lastMessageAtMs ?? lastTickAtMs,
  };
  state.leaderList = null;
}

/**
 * What this instance knows of the list of the leader that it followed last. The
 * job may be new here, and be one that a lost entry had before: then only an
 * instance that has followed leaders for as long as such runs last knows them.
 */
export function previousListReport(
  state: EngineState,
  { isNew }: { isNew: boolean },
): PreviousListReport {
  const { previousList, firstLedAtMs, nowMs } = state;
  const isTooYoung = nowMs - firstLedAtMs < maxRunOutlastMs(state);
  if (previousList === null || (isNew && isTooYoung)) return { kind: "none" };
  const { digest } = previousList;
  return digest === null || hasVanishedWorkers(state)
    ? { kind: "unknown" }
    : { kind: "known", digest };
}

/**
 * What a submission tells of the list by which a previous leader started tasks
 * of its job. One for an earlier term of this instance names the list of the
 * leader before that term.
 */
export function submittedListReport(
  { leaderTerm, previousList: ownList }: EngineState,
  { resubmitted, term, previousList }: PeerMessageOf<"submit">,
): PreviousListReport {
  if (term === undefined || term === leaderTerm) return previousList;
  const ownDigest = ownList?.term === term ? ownList.digest : null;
  if (ownDigest === null) return { kind: "unknown" };
  const ownReport = { kind: "known" as const, digest: ownDigest };
  return !resubmitted || isDeepStrictEqual(previousList, ownReport)
    ? ownReport
    : { kind: "unknown" };
}

/**
 * Whether this leader lists the workers by which a previous leader started tasks
 * of a job. If the entry has not followed leaders for long enough to know, the
 * peers that follow this leader and do know are believed, or else the store.
 */
export function listsSameWorkers(
  state: EngineState,
  report: PreviousListReport,
): boolean {
  const { listDigest } = state;
  const reports = report.kind === "none"
    ? followerReports(state).filter(({ kind }) => kind !== "none")
    : [report];
  return reports.length > 0
    ? reports.every((known) =>
      known.kind === "known" && known.digest === listDigest
    )
    : isRegisteredAsSame(state);
}

/**
 * Whether the list in the store is that of this leader, as read so lately that a
 * leader with another list would have been heard of since.
 */
function isRegisteredAsSame(state: EngineState): boolean {
  const { nowMs, registeredListsReadAtMs, listDigest } = state;
  return nowMs - registeredListsReadAtMs < maxRunOutlastMs(state) &&
    registeredList(state).digest === listDigest;
}

/** The list of this instance's cell, as far as it is known to be registered. */
function registeredList(
  { hasZoneCells, self, registeredLists }: EngineState,
): RegisteredList {
  const cell = hasZoneCells ? self.availabilityZone : ALL_ZONES;
  return registeredLists.get(cell) ??
    { cell, version: 0, term: 0, digest: null };
}

/**
 * Returns what a leader has to register in place of the given version; null if
 * there is nothing to change. The digest is null while runs may last that were
 * started by another list than the present one, unless that is registered.
 */
export function listToRegister(state: EngineState): RegisteredList | null {
  const { scheduler, listDigest, leaderList, nowMs } = state;
  if (scheduler === null) return null;
  const { term } = scheduler;
  const before = registeredList(state);
  const usedSinceMs = Math.max(
    scheduler.startedAtMs,
    leaderList?.changedAtMs ?? nowMs,
  );
  const isOnly = before.digest === listDigest ||
    nowMs - usedSinceMs >= maxRunOutlastMs(state);
  const hasUnlistedRuns = hasVanishedWorkers(state) ||
    pollsUnlistedWorkers(state);
  const ownDigest = isOnly && !hasUnlistedRuns ? listDigest : null;
  // A leader of a higher term may have stepped down, or be about to take over:
  // its list is withdrawn first.
  const mayRegister = before.term <= term || before.digest === ownDigest;
  const digest = mayRegister ? ownDigest : null;
  return before.digest === digest ? null : { ...before, term, digest };
}

/** What this leader and its followers know of the list of the leader before. */
function followerReports(state: EngineState): PreviousListReport[] {
  const { leaderTerm } = state;
  const followers = cellPeers(state).filter(({ term }) => term === leaderTerm);
  return [
    previousListReport(state, { isNew: true }),
    ...followers.map(({ previousList }) => previousList),
  ];
}
