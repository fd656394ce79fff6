/**
 * Detects delays of the process: it was suspended, or its own work blocked the
 * event loop. A suspension of the host stops the monotonic clock, whereas the
 * wall clock and the host's uptime advance. The uptime distinguishes a
 * suspension from a change of the wall clock, which does not affect it. The
 * processor time that the process used distinguishes its own work.
 */

import { uptime } from "node:os";
import type { ClockHost } from "../host/clock_host.ts";

/** Shortest time between two calls of a detector that counts as a delay. */
export const MIN_DELAY_MS = 400;
/** Minimum interval between reads of the processor time used. */
const CPU_READ_INTERVAL_MS = 25;
/**
 * Share of a delay from which on the processor time used shows that the process
 * worked; instances may get less than one core.
 */
const MIN_BUSY_SHARE = 0.5;

/** How long the process was delayed since the previous call; 0 if it was not. */
export interface Delay {
  /** Time for which the process was suspended. */
  readonly pausedMs: number;
  /** Time for which its own work blocked the event loop. */
  readonly busyMs: number;
}

/** Returns the delay of the process since the previous call. */
export type PauseDetector = () => Delay;

const noDelay: Delay = { pausedMs: 0, busyMs: 0 };

/** Processor time that this process has used, in milliseconds. */
function processCpuMs(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / 1_000;
}

/**
 * Creates a pause detector. Call it at intervals well below the shortest delay
 * (400 ms): a longer interval counts as a delay itself.
 *
 * @example
 * ```ts
 * const measureDelay = createPauseDetector(clock);
 * const { pausedMs } = measureDelay();
 * if (pausedMs > 0) dispatch({ type: "processPaused", pausedMs, ... });
 * ```
 */
export function createPauseDetector(
  clock: ClockHost,
  { uptimeS = uptime, cpuMs = processCpuMs }: {
    uptimeS?: () => number;
    cpuMs?: () => number;
  } = {},
): PauseDetector {
  let lastMs = clock.nowMs();
  let lastWallMs = clock.wallMs();
  let lastUptimeMs = uptimeS() * 1_000;
  let uptimeReadAtMs = lastMs;
  let lastCpuMs = cpuMs();
  let cpuReadAtMs = lastMs;

  return () => {
    const nowMs = clock.nowMs();
    const wallMs = clock.wallMs();
    const elapsedMs = nowMs - lastMs;
    const wallElapsedMs = wallMs - lastWallMs;
    const usedBeforeMs = lastCpuMs;
    lastMs = nowMs;
    lastWallMs = wallMs;
    if (nowMs - cpuReadAtMs >= CPU_READ_INTERVAL_MS) {
      lastCpuMs = cpuMs();
      cpuReadAtMs = nowMs;
    }
    if (elapsedMs >= MIN_DELAY_MS) {
      const isBusy = lastCpuMs - usedBeforeMs >= elapsedMs * MIN_BUSY_SHARE;
      return isBusy
        ? { pausedMs: 0, busyMs: elapsedMs }
        : { pausedMs: elapsedMs, busyMs: 0 };
    }
    if (wallElapsedMs - elapsedMs < MIN_DELAY_MS) return noDelay;
    // Either the host was suspended, or the wall clock was set forward.
    const uptimeMs = uptimeS() * 1_000;
    const suspendedMs = uptimeMs - lastUptimeMs - (nowMs - uptimeReadAtMs);
    lastUptimeMs = uptimeMs;
    uptimeReadAtMs = nowMs;
    return suspendedMs >= MIN_DELAY_MS
      ? { pausedMs: suspendedMs, busyMs: 0 }
      : noDelay;
  };
}
