/** Leases on workers: when they end there, and by when they have ended here. */

import type { EngineState, OwnedWorker } from "./types.ts";

/** Workers whose clock runs slow keep a lease longer by this share. */
const MAX_CLOCK_DRIFT = 0.02;
/** How late a lease may have begun after the call that granted it. */
const MAX_LEASE_START_DELAY_MS = 60;

/** How long a lease granted now may last, by this instance's clock. */
export function longestLeaseMs({ leaseMs }: EngineState): number {
  return leaseMs * (1 + MAX_CLOCK_DRIFT) + MAX_LEASE_START_DELAY_MS;
}

/** When a lease granted now ends, on the worker's clock. */
export function leaseEndsOnWorkerMs(
  state: EngineState,
  worker: OwnedWorker,
): number {
  return Math.floor(state.nowMs + worker.clockOffsetMs + state.leaseMs);
}
