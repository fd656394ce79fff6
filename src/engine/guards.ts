/**
 * The conditions that the promises rest on, each in one place. Randomised runs
 * replace one at a time to show that its absence is noticed.
 */

import type { Guards } from "./types.ts";

/** The conditions as the product keeps them. */
export const defaultGuards: Guards = {
  /** A job that is to be recorded begins once its record is kept. */
  mayStartJob: (record) => record === null || record.accepted,
  /** A worker keeps the ends of a recorded job until the record has them. */
  mustRetainCompletion: ({ record }) =>
    record !== null && record.storedOutcome === null,
  /** What may have begun is started again only where that does no harm. */
  mayRunAgain: ({ spec }, end) =>
    spec.isAtMostOnce !== true || end === "notBegun",
  /** A worker is never given more than it can carry. */
  hasRoom: ({ info, usedCpuMilli, usedMemoryMb, usedAccelerators }, task) =>
    usedCpuMilli + task.demand.cpuMilli <= info.cpuMilli &&
    usedMemoryMb + task.demand.memoryMb <= info.memoryMb &&
    usedAccelerators + task.demand.accelerators <= info.accelerators,
  /** Leaving workers, and those of another side, get nothing. */
  mayServe: ({ info, released }) => !info.draining && !released,
  /** Runs out of reach take room until their leases have lapsed. */
  hasExpired: (nowMs, lapsesAtMs) => nowMs >= lapsesAtMs,
  /** What a former leader started may go on until its leases have lapsed. */
  mayRunElsewhere: (nowMs, lapseAtMs) => nowMs < lapseAtMs,
  /** Only a job of which nothing has begun is said not to have run. */
  mayRefuse: ({ mayHaveStarted }) => !mayHaveStarted,
  /** A configuration is replaced by a later one only. */
  isNewer: (version, inForce) => version > inForce,
};
