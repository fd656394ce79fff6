/** The system clock. */

import type { ClockHost } from "./clock_host.ts";

/** Creates a clock that keeps advancing while the process is paused. */
export function createClock(): ClockHost {
  return {
    nowMs: () => Number(process.hrtime.bigint()) / 1e6,
    wallMs: () => Date.now(),
  };
}
