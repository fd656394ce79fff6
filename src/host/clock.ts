/** The real clock. */

import type { ClockHost } from "./hosts.ts";

/** A clock that goes on while the process is stopped. */
export function createClock(): ClockHost {
  return {
    nowMs: () => Number(process.hrtime.bigint()) / 1e6,
    wallMs: () => Date.now(),
  };
}
