/**
 * Cells: the instances and workers that have one leader. A small fleet is one
 * cell, which packs best. A large one has a cell in each availability zone, so
 * that no leader carries more workers than it can, and a cut between zones
 * changes nobody's leader.
 */

import type { InstanceInfo, WorkerInfo } from "./schemas.ts";
import type { EngineState, Peer } from "./types.ts";

/** Beyond so many workers each zone has a cell of its own. */
const MAX_SINGLE_CELL_WORKERS = 100;
/** With so few, the zones become one cell again. */
const MIN_ZONE_CELLS_WORKERS = 70;

/** Whether zones are cells, after the list of workers has changed. */
export function chooseCells(state: EngineState): boolean {
  const count = state.workers.size;
  return count > MAX_SINGLE_CELL_WORKERS ||
    (state.hasZoneCells && count >= MIN_ZONE_CELLS_WORKERS);
}

/** Whether an instance has the same leader as this one. */
export function isOfCell(
  { hasZoneCells, self }: EngineState,
  { availabilityZone }: InstanceInfo,
): boolean {
  return !hasZoneCells || availabilityZone === self.availabilityZone;
}

/** The peers that have the same leader. */
export function cellPeers(state: EngineState): Peer[] {
  const peers = [...state.peers.values()];
  return peers.filter(({ info }) => isOfCell(state, info));
}

/** The workers of the cell. */
export function cellWorkers(state: EngineState): WorkerInfo[] {
  const { hasZoneCells, self } = state;
  const workers = [...state.workers.values()];
  if (!hasZoneCells) return workers;
  return workers.filter(({ availabilityZone }) =>
    availabilityZone === self.availabilityZone
  );
}
