/**
 * Notices that the process stood still: its loop was blocked, or its machine
 * was suspended. A suspension stops the steady clock; the time of day and the
 * uptime go on, and a change of the time of day leaves the uptime alone.
 */

import { uptime } from "node:os";
import type { ClockHost } from "../host/clock_host.ts";

/** A gap of this length between two looks is a stall. */
const STALL_MS = 400;

/** Tells how long the process stood still since the last look, or 0. */
export type StallWatch = () => number;

/**
 * Creates a watch that is to be looked at more often than every stall's length.
 *
 * @example
 * ```ts
 * const stalledMs = createStallWatch(clock);
 * if (stalledMs() > 0) dispatch({ type: "processPaused", ... });
 * ```
 */
export function createStallWatch(
  clock: ClockHost,
  { uptimeS = uptime }: { uptimeS?: () => number } = {},
): StallWatch {
  let lastMs = clock.nowMs();
  let lastWallMs = clock.wallMs();
  let lastUptimeMs = uptimeS() * 1_000;
  let uptimeReadAtMs = lastMs;

  return () => {
    const nowMs = clock.nowMs();
    const wallMs = clock.wallMs();
    const gapMs = nowMs - lastMs;
    const wallGapMs = wallMs - lastWallMs;
    lastMs = nowMs;
    lastWallMs = wallMs;
    if (gapMs >= STALL_MS) return gapMs;
    if (wallGapMs - gapMs < STALL_MS) return 0;
    const uptimeMs = uptimeS() * 1_000;
    const hiddenMs = uptimeMs - lastUptimeMs - (nowMs - uptimeReadAtMs);
    lastUptimeMs = uptimeMs;
    uptimeReadAtMs = nowMs;
    return hiddenMs >= STALL_MS ? hiddenMs : 0;
  };
}
