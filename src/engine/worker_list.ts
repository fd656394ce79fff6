/** The list of workers, read from the store or received from a peer. */

import { cellPeers, shouldUseZoneCells } from "./cells.ts";
import { logDecision, sendPeer } from "./effects.ts";
import { updateListDigest } from "./leader_lists.ts";
import { heartbeatAll, workersAgeMs } from "./membership.ts";
import type { PeerMessageOf, WorkerInfo } from "./schemas.ts";
import type { EngineEventOf, EngineState, ReduceContext } from "./types.ts";

/**
 * Time after an outage of the list during which workers that are missing from
 * it are retained.
 */
const LIST_RECOVERY_GRACE_MS = 2_500;
/** Time without a readable list that counts as an outage. */
const OUTAGE_THRESHOLD_MS = 1_000;
/**
 * Time for which a worker that left the list is remembered: it may still run
 * tasks for a leader on another partition side.
 */
const VANISHED_RETENTION_MS = 15_000;

/**
 * Handles the list of workers read from the store. If it has changed, it is
 * sent to the peers of the cell.
 */
export function onWorkersRead(
  context: ReduceContext,
  event: EngineEventOf<"workersRead">,
): void {
  const { state } = context;
  const changed = updateWorkerList(context, {
    workers: event.workers,
    ageMs: 0,
  });
  if (!changed) return;
  // One message for all, so that it is serialised once.
  const message: PeerMessageOf<"workers"> = {
    type: "workers",
    ageMs: 0,
    workers: [...state.workers.values()],
  };
  for (const { info } of cellPeers(state)) {
    sendPeer(context, info.instanceId, message);
  }
}

/** Records since when the list of workers can't be read from the store. */
export function onWorkersUnreadable({ state }: ReduceContext): void {
  if (state.workersUnreadableSinceMs === 0) {
    state.workersUnreadableSinceMs = state.nowMs;
  }
}

/** Handles a peer's list of workers, which is ignored unless it is newer. */
export function onPeerWorkers(
  context: ReduceContext,
  message: PeerMessageOf<"workers">,
): void {
  if (message.ageMs >= workersAgeMs(context.state)) return;
  updateWorkerList(context, message);
}

/** Replaces the list of workers; returns whether it has changed. */
function updateWorkerList(
  context: ReduceContext,
  { workers, ageMs }: { workers: readonly WorkerInfo[]; ageMs: number },
): boolean {
  const { state } = context;
  detectListRecovery(state);
  state.workersReadAtMs = state.nowMs - ageMs;
  const next = new Map(workers.map((worker) => [worker.workerId, worker]));
  for (const { availabilityZone } of workers) {
    state.zoneListedAtMs.set(availabilityZone, state.workersReadAtMs);
  }
  retainMissingWorkers(state, next);
  const changed = !sameWorkers(state.workers, next);
  if (!changed) return false;
  for (const [workerId, info] of next) {
    const before = state.workers.get(workerId);
    if (before !== undefined && before.draining === info.draining) continue;
    logDecision(context, { part: "workers", text: "worker listed" }, {
      workerId,
      draining: info.draining,
      service: info.service,
      cpuMilli: info.cpuMilli,
    });
  }
  trackVanishedWorkers(context, next);
  state.workers = next;
  updateCells(context);
  // Followers tell the next leader by which list this one started tasks.
  const isNewList = updateListDigest(state);
  if (isNewList && state.scheduler !== null) heartbeatAll(context);
  return true;
}

/**
 * Decides anew whether each availability zone has its own leader, which depends
 * on the number of workers.
 */
function updateCells(context: ReduceContext): void {
  const { state } = context;
  const hasZoneCells = shouldUseZoneCells(state);
  if (hasZoneCells === state.hasZoneCells) return;
  state.hasZoneCells = hasZoneCells;
  logDecision(context, { part: "leader", text: "layout of cells changed" }, {
    hasZoneCells,
    workers: state.workers.size,
  });
}

/**
 * Detects the end of an outage of the list, after which workers whose rows
 * expired get time to be listed again.
 */
function detectListRecovery(state: EngineState): void {
  if (state.workersUnreadableSinceMs === 0) return;
  const outageMs = state.nowMs - state.workersUnreadableSinceMs;
  state.workersUnreadableSinceMs = 0;
  if (outageMs >= OUTAGE_THRESHOLD_MS) state.listRecoveredAtMs = state.nowMs;
}

/**
 * Adds the listed workers that are missing from a new list to it during the
 * grace period after an outage.
 */
function retainMissingWorkers(
  state: EngineState,
  next: Map<string, WorkerInfo>,
): void {
  if (state.nowMs - state.listRecoveredAtMs >= LIST_RECOVERY_GRACE_MS) return;
  for (const [workerId, info] of state.workers) {
    if (!next.has(workerId)) next.set(workerId, info);
  }
}

/**
 * Remembers workers that left the list: they may be alive on the other side of a
 * network partition, or their entries may have lapsed in the store.
 */
function trackVanishedWorkers(
  context: ReduceContext,
  next: ReadonlyMap<string, WorkerInfo>,
): void {
  const { vanishedWorkers, nowMs, workers } = context.state;
  for (const [workerId, { draining, availabilityZone }] of workers) {
    if (next.has(workerId)) continue;
    logDecision(context, { part: "workers", text: "worker left the list" }, {
      workerId,
      draining,
    });
    vanishedWorkers.set(workerId, { availabilityZone, leftAtMs: nowMs });
  }
  for (const workerId of vanishedWorkers.keys()) {
    if (next.has(workerId)) vanishedWorkers.delete(workerId);
  }
}

/** Forgets workers that left the list `VANISHED_RETENTION_MS` ago. */
export function forgetVanishedWorkers(
  { vanishedWorkers, nowMs }: EngineState,
): void {
  for (const [workerId, { leftAtMs }] of vanishedWorkers) {
    if (nowMs - leftAtMs > VANISHED_RETENTION_MS) {
      vanishedWorkers.delete(workerId);
    }
  }
}

function sameWorkers(
  a: ReadonlyMap<string, WorkerInfo>,
  b: ReadonlyMap<string, WorkerInfo>,
): boolean {
  if (a.size !== b.size) return false;
  for (const [workerId, info] of b) {
    const other = a.get(workerId);
    if (other === undefined || !sameWorker(other, info)) return false;
  }
  return true;
}

function sameWorker(a: WorkerInfo, b: WorkerInfo): boolean {
  return a.address === b.address && a.draining === b.draining &&
    a.service === b.service && a.bornMs === b.bornMs &&
    a.availabilityZone === b.availabilityZone &&
    a.cpuMilli === b.cpuMilli && a.memoryMb === b.memoryMb &&
    a.accelerators === b.accelerators &&
    a.labels.length === b.labels.length &&
    a.labels.every((label, index) => label === b.labels[index]);
}
