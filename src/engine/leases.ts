/** Bounds of leases on workers, by the worker's clock and this instance's. */

import type { EngineState, OwnedWorker } from "./types.ts";

/**
 * Fraction by which a worker whose clock runs slow may prolong a lease, as seen
 * by this instance.
 */
const MAX_CLOCK_DRIFT = 0.02;
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

/** Time at which a lease granted now ends, on the worker's clock. */
export function leaseEndsOnWorkerMs(
  state: EngineState,
  worker: OwnedWorker,
): number {
  return Math.floor(state.nowMs + worker.clockOffsetMs + state.leaseMs);
}
