/** Leases on workers: when they end there, and by when they have ended here. */

import type { EngineState, OwnedWorker } from "./types.ts";

/** Workers whose clock runs slow keep a lease longer by this share. */
const CLOCK_DRIFT = 0.02;
/** How late a lease may have begun after the call that granted it. */
const LEASE_SLACK_MS = 60;

/** How long a lease granted now may last, by this instance's clock. */
export function longestLeaseMs({ leaseMs }: EngineState): number {
  return leaseMs * (1 + CLOCK_DRIFT) + LEASE_SLACK_MS;
}

/** When a lease granted now ends, on the worker's clock. */
export function leaseEndsOnWorkerMs(
  state: EngineState,
  worker: OwnedWorker,
): number {
  return Math.floor(state.nowMs + worker.clockOffsetMs + state.leaseMs);
}
