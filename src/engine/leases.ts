/** Bounds of leases on workers, by the worker's clock and this instance's. */

import type { EngineState, OwnedWorker } from "./types.ts";

/**
 * Fraction by which a worker whose clock runs slow may prolong a lease, as seen
 * by this instance.
 */
const MAX_CLOCK_DRIFT = 0.02;
/** Maximum share of a lease by which it may be cut for the lag of a clock. */
const MAX_LAG_SHARE = 0.5;
/** Maximum delay from the call that grants a lease to the lease's start. */
const MAX_LEASE_START_DELAY_MS = 60;

/** Maximum duration of a lease granted now, by this instance's clock. */
export function maxLeaseMs({ leaseMs }: EngineState): number {
  return leaseMs * (1 + MAX_CLOCK_DRIFT) + MAX_LEASE_START_DELAY_MS;
}

/**
 * Whether a worker may get a lease. It may not while it lists completions that
 * the owner of the records may not know and leases of that owner can last.
 */
export function mayGrantLease(
  state: EngineState,
  { orphanCompletions, orphansReadAtMs }: OwnedWorker,
): boolean {
  if (orphanCompletions.length === 0) return true;
  const previousExpireAtMs = orphansReadAtMs + maxLeaseMs(state);
  return state.guards.mayGrantLease(state.nowMs, previousExpireAtMs);
}

/** Time by which a worker's clock may have fallen behind since it was read. */
function maxClockLagMs(
  { nowMs }: EngineState,
  { clockReadAtMs }: OwnedWorker,
): number {
  return (nowMs - clockReadAtMs) * MAX_CLOCK_DRIFT;
}

/**
 * Whether a lease granted now leaves a run enough time on any clock that the
 * worker may have. If not, its clock must be read before a task starts there.
 */
export function knowsClock(state: EngineState, worker: OwnedWorker): boolean {
  return maxClockLagMs(state, worker) <= state.leaseMs * MAX_LAG_SHARE;
}

/**
 * Time at which a lease granted now ends, on the worker's clock. It is counted
 * from the earliest time that the clock may show: a later deadline would let the
 * worker accept a delayed call, and run its task, after this instance has
 * considered the lease expired.
 */
export function leaseEndsOnWorkerMs(
  state: EngineState,
  worker: OwnedWorker,
): number {
  const shownMs = state.nowMs + worker.clockOffsetMs;
  const lagMs = maxClockLagMs(state, worker);
  return Math.floor(shownMs - lagMs + state.leaseMs);
}
