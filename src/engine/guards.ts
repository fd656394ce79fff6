/**
 * The conditions that guarantee safety, each defined in one place. Randomized
 * runs disable one at a time to verify that its absence is detected.
 */

import type { Guards } from "./types.ts";

/** The conditions that apply in production. */
export const defaultGuards: Guards = {
  /** A recorded job starts only after its record has been persisted. */
  mayStartJob: (record) => record === null || record.accepted,
  /** A worker retains completions of a recorded job until they are recorded. */
  mustRetainCompletion: ({ record }) =>
    record !== null && record.storedOutcome === null,
  /** A task that may have started is rerun unless its job is at-most-once. */
  mayRunAgain: ({ spec }, end) =>
    spec.isAtMostOnce !== true || end === "notStarted",
  /** The runs on a worker never exceed its capacity. */
  hasRoom: ({ info, usedCpuMilli, usedMemoryMb, usedAccelerators }, task) =>
    usedCpuMilli + task.demand.cpuMilli <= info.cpuMilli &&
    usedMemoryMb + task.demand.memoryMb <= info.memoryMb &&
    usedAccelerators + task.demand.accelerators <= info.accelerators,
  /** Draining or released workers get no tasks. */
  mayServe: ({ info, released }) => !info.draining && !released,
  /** Unreachable runs occupy capacity until their leases have expired. */
  hasExpired: (nowMs, expiresAtMs) => nowMs >= expiresAtMs,
  /** Runs of a previous leader may continue until their leases have expired. */
  mayRunElsewhere: (nowMs, expiresAtMs) => nowMs < expiresAtMs,
  /** Only a job of which no task may have started is reported as refused. */
  mayRefuse: ({ mayHaveStarted }) => !mayHaveStarted,
  /** A configuration is replaced only by one with a higher version. */
  isNewer: (version, currentVersion) => version > currentVersion,
};
