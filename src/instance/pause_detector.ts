/**
 * Detects pauses of the process: its event loop was blocked, or its host was
 * suspended. A suspension stops the monotonic clock, whereas the wall clock and
 * the host's uptime advance. The uptime distinguishes a suspension from a change
 * of the wall clock, which does not affect it.
 */

import { uptime } from "node:os";
import type { ClockHost } from "../host/clock_host.ts";

/** Shortest time between two calls of a detector that counts as a pause. */
const MIN_PAUSE_MS = 400;

/** Returns how long the process was paused since the previous call, or 0. */
export type PauseDetector = () => number;

/**
 * Creates a pause detector. Call it at intervals well below the shortest pause
 * (400 ms): a longer interval counts as a pause itself.
 *
 * @example
 * ```ts
 * const measurePause = createPauseDetector(clock);
 * const pausedMs = measurePause();
 * if (pausedMs > 0) dispatch({ type: "processPaused", pausedMs, ... });
 * ```
 */
export function createPauseDetector(
  clock: ClockHost,
  { uptimeS = uptime }: { uptimeS?: () => number } = {},
): PauseDetector {
  let lastMs = clock.nowMs();
  let lastWallMs = clock.wallMs();
  let lastUptimeMs = uptimeS() * 1_000;
  let uptimeReadAtMs = lastMs;

  return () => {
    const nowMs = clock.nowMs();
    const wallMs = clock.wallMs();
    const elapsedMs = nowMs - lastMs;
    const wallElapsedMs = wallMs - lastWallMs;
    lastMs = nowMs;
    lastWallMs = wallMs;
    if (elapsedMs >= MIN_PAUSE_MS) return elapsedMs;
    if (wallElapsedMs - elapsedMs < MIN_PAUSE_MS) return 0;
    // Either the host was suspended, or the wall clock was set forward.
    const uptimeMs = uptimeS() * 1_000;
    const suspendedMs = uptimeMs - lastUptimeMs - (nowMs - uptimeReadAtMs);
    lastUptimeMs = uptimeMs;
    uptimeReadAtMs = nowMs;
    return suspendedMs >= MIN_PAUSE_MS ? suspendedMs : 0;
  };
}
