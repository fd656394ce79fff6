/** The system clock. */

import type { ClockHost } from "./clock_host.ts";

/** Creates a clock that reads the system's monotonic and wall clocks. */
export function createClock(): ClockHost {
  return {
    nowMs: () => Number(process.hrtime.bigint()) / 1e6,
    wallMs: () => Date.now(),
  };
}
