/**
 * Cells: groups of instances and workers with one leader each. A small fleet is
 * one cell, which packs tasks best. A large fleet has a cell in each
 * availability zone, which limits the load of each leader; a network partition
 * between zones then changes no cell's leader.
 */

import type { InstanceInfo, WorkerInfo } from "./schemas.ts";
import type { EngineState, Peer } from "./types.ts";

/** Number of workers above which each zone becomes a cell. */
const MAX_SINGLE_CELL_WORKERS = 100;
/**
 * Number of workers below which the zones become one cell again. The gap to
 * `MAX_SINGLE_CELL_WORKERS` is a hysteresis.
 */
const MIN_ZONE_CELLS_WORKERS = 70;

/** Whether each zone should be a cell, given the present list of workers. */
export function shouldUseZoneCells(state: EngineState): boolean {
  const count = state.workers.size;
  return count > MAX_SINGLE_CELL_WORKERS ||
    (state.hasZoneCells && count >= MIN_ZONE_CELLS_WORKERS);
}

/** Whether an instance is in the same cell as this one. */
export function isInOwnCell(
  { hasZoneCells, self }: EngineState,
  { availabilityZone }: Pick<InstanceInfo, "availabilityZone">,
): boolean {
  return !hasZoneCells || availabilityZone === self.availabilityZone;
}

/** Whether a worker of this instance's cell has left the list lately. */
export function hasVanishedWorkers(state: EngineState): boolean {
  return [...state.vanishedWorkers.values()]
    .some((worker) => isInOwnCell(state, worker));
}

/** The peers in this instance's cell, live or not. */
export function cellPeers(state: EngineState): Peer[] {
  const peers = [...state.peers.values()];
  return peers.filter(({ info }) => isInOwnCell(state, info));
}

/** The workers of this instance's cell. */
export function cellWorkers(state: EngineState): WorkerInfo[] {
  const { hasZoneCells, self } = state;
  const workers = [...state.workers.values()];
  if (!hasZoneCells) return workers;
  return workers.filter(({ availabilityZone }) =>
    availabilityZone === self.availabilityZone
  );
}
