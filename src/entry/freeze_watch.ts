/** Notices that the process was frozen, and dates what waited meanwhile. */

import type { ClockHost } from "../host/hosts.ts";

/** A gap between ticks of this many tick lengths counts as a freeze. */
const FREEZE_TICKS = 10;
/** For so long after a freeze, what arrives may have waited through it. */
const AFTER_FREEZE_MS = 1_000;

/**
 * Dates requests that may have waited in a socket while the process was frozen
 * at the freeze's beginning: a late attempt must not pass for a fresh one.
 */
export function createFreezeWatch(clock: ClockHost, tickMs: number): {
  noteTick: () => void;
  receivedMs: () => number;
} {
  let lastTickMs = clock.nowMs();
  let frozenAtMs = 0;
  let resumedAtMs = -Infinity;
  return {
    noteTick() {
      const nowMs = clock.nowMs();
      if (nowMs - lastTickMs > tickMs * FREEZE_TICKS) {
        frozenAtMs = lastTickMs;
        resumedAtMs = nowMs;
      }
      lastTickMs = nowMs;
    },
    receivedMs() {
      const nowMs = clock.nowMs();
      return nowMs - resumedAtMs < AFTER_FREEZE_MS ? frozenAtMs : nowMs;
    },
  };
}
