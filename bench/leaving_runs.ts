/**
 * Randomized runs in which callers leave without a notice to their entry, and
 * send their requests again to instances of any zone.
 */

import { drawCrossedRun } from "./crossed_runs.ts";
import {
  drawGrownRun,
  drawSharingRun,
  drawZonesRun,
  type EngineRun,
  type LeavingCallers,
  referenceKinds,
} from "./engine_runs.ts";

/** Number of seeds after which the kinds of leaving callers come again. */
export const LEAVING_ROWS = 4;

/** The shortest time that callers wait before they come again. */
const RESEND_MS = [0, 30, 300, 1_300];

const leavingRows: readonly LeavingCallers[] = [
  // The entry learns late that its caller has left, or not at all.
  {
    share: 0.2,
    maxNoticeMs: 5_000,
    unnoticedShare: 0.2,
    resendMs: RESEND_MS,
    elsewhereShare: 0,
    minElsewhereMs: 0,
  },
  // It learns of it while the caller comes again.
  {
    share: 0.2,
    maxNoticeMs: 60,
    unnoticedShare: 0,
    resendMs: [0, 10, 30, 60],
    elsewhereShare: 0,
    minElsewhereMs: 0,
  },
  // The caller waits on both connections.
  {
    share: 0,
    maxNoticeMs: 0,
    unnoticedShare: 0,
    resendMs: RESEND_MS,
    elsewhereShare: 0.25,
    minElsewhereMs: 30,
  },
  {
    share: 0.15,
    maxNoticeMs: 5_000,
    unnoticedShare: 0.5,
    resendMs: RESEND_MS,
    elsewhereShare: 0.1,
    minElsewhereMs: 30,
  },
];

/** The runs in which callers leave, in turn. */
const drawBase: readonly ((seed: number) => EngineRun)[] = [
  drawSharingRun,
  (seed) => ({ ...drawGrownRun(seed), faults: [] }),
  (seed) => ({ ...drawZonesRun(seed), kinds: referenceKinds }),
  drawGrownRun,
  drawCrossedRun,
];

/** Number of seeds after which the kinds of runs come again. */
export const LEAVING_BASES = drawBase.length;

/**
 * Draws a run in which callers leave unnoticed, a third of them without faults.
 *
 * @example
 * ```ts
 * await simulateRun(drawLeavingRun(7)); // violations: [] if all guarantees hold
 * ```
 */
export function drawLeavingRun(seed: number): EngineRun {
  const draw = drawBase[seed % LEAVING_BASES] ?? drawSharingRun;
  const { leaveShare: _, twiceShare: __, ...run } = draw(seed);
  const leaving = leavingRows[seed % LEAVING_ROWS];
  const faults = seed % 3 === 0 ? [] : run.faults;
  return { ...run, faults, ...(leaving === undefined ? {} : { leaving }) };
}
