/** The list of workers: read from the store, or passed on by peers. */

import { cellPeers, chooseCells } from "./cells.ts";
import { workersAgeMs } from "./membership.ts";
import type { PeerMessageOf, WorkerInfo } from "./schemas.ts";
import { logDecision, sendPeer } from "./effects.ts";
import type { EngineEventOf, EngineState, ReduceContext } from "./types.ts";

/** A worker missing from the list is taken for gone after so long. */
const MISSING_GRACE_MS = 2_500;
/** A list that could not be read for so long was away. */
const LIST_AWAY_MS = 1_000;
/** A worker that vanished may still run tasks of another side so long. */
const REMEMBER_VANISHED_MS = 15_000;

/** The list of workers was read from the store. */
export function onWorkersRead(
  context: ReduceContext,
  event: EngineEventOf<"workersRead">,
): void {
  const { state } = context;
  const changed = adoptWorkers(context, { workers: event.workers, ageMs: 0 });
  if (!changed) return;
  for (const peer of cellPeers(state)) {
    sendPeer(context, peer.info.instanceId, {
      type: "workers",
      ageMs: 0,
      workers: [...state.workers.values()],
    });
  }
}

/** The list could not be read. */
export function onWorkersUnread({ state }: ReduceContext): void {
  if (state.workersUnreadableSinceMs === 0) {
    state.workersUnreadableSinceMs = state.nowMs;
  }
}

/** A peer passes on the list that it read. */
export function onPeerWorkers(
  context: ReduceContext,
  message: PeerMessageOf<"workers">,
): void {
  if (message.ageMs >= workersAgeMs(context.state)) return;
  adoptWorkers(context, message);
}

function adoptWorkers(
  context: ReduceContext,
  { workers, ageMs }: { workers: readonly WorkerInfo[]; ageMs: number },
): boolean {
  const { state } = context;
  noteListReturned(state);
  state.workersReadAtMs = state.nowMs - ageMs;
  const next = new Map(workers.map((worker) => [worker.workerId, worker]));
  for (const { availabilityZone } of workers) {
    state.zoneListedAtMs.set(availabilityZone, state.workersReadAtMs);
  }
  keepMissing(state, next);
  const changed = !sameWorkers(state.workers, next);
  if (!changed) return false;
  for (const [workerId, info] of next) {
    const before = state.workers.get(workerId);
    if (before !== undefined && before.draining === info.draining) continue;
    logDecision(context, { part: "workers", text: "a worker is listed" }, {
      workerId,
      draining: info.draining,
      service: info.service,
      cpuMilli: info.cpuMilli,
    });
  }
  noteVanished(state, next);
  state.workers = next;
  chooseAgain(context);
  return true;
}

/** Whether each zone has a leader depends on the number of workers. */
function chooseAgain(context: ReduceContext): void {
  const { state } = context;
  const hasZoneCells = chooseCells(state);
  if (hasZoneCells === state.hasZoneCells) return;
  state.hasZoneCells = hasZoneCells;
  logDecision(context, { part: "leader", text: "cells have changed" }, {
    hasZoneCells,
    workers: state.workers.size,
  });
}

/** After an outage of the list, entries that lapsed have time to return. */
function noteListReturned(state: EngineState): void {
  if (state.workersUnreadableSinceMs === 0) return;
  const awayMs = state.nowMs - state.workersUnreadableSinceMs;
  state.workersUnreadableSinceMs = 0;
  if (awayMs >= LIST_AWAY_MS) state.listRecoveredAtMs = state.nowMs;
}

/** Keeps workers that vanished while the list was away, for a moment. */
function keepMissing(
  state: EngineState,
  next: Map<string, WorkerInfo>,
): void {
  if (state.nowMs - state.listRecoveredAtMs >= MISSING_GRACE_MS) return;
  for (const [workerId, info] of state.workers) {
    if (!next.has(workerId)) next.set(workerId, info);
  }
}

/** Remembers workers that left the list, alive perhaps behind a cut. */
function noteVanished(
  state: EngineState,
  next: ReadonlyMap<string, WorkerInfo>,
): void {
  const { vanishedAtMs, nowMs } = state;
  for (const [workerId, info] of state.workers) {
    if (!next.has(workerId) && !info.draining) {
      vanishedAtMs.set(workerId, nowMs);
    }
  }
  for (const [workerId, atMs] of vanishedAtMs) {
    const old = nowMs - atMs > REMEMBER_VANISHED_MS;
    if (old || next.has(workerId)) vanishedAtMs.delete(workerId);
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
    a.cpuMilli === b.cpuMilli && a.memoryMb === b.memoryMb;
}
