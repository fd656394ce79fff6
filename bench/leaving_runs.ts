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

/** Times after which callers come again. */
const RESEND_MS = [0, 30, 300, 1_300];

/** The ways in which callers leave, in turn. */
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

/**
 * Draws a run in which callers leave unnoticed, a third of them without faults.
 *
 * @example
 * ```ts
 * await simulateRun(drawLeavingRun(7)); // violations: [] if all guarantees hold
 * ```
 */
export function drawLeavingRun(seed: number): EngineRun {
  const draw = drawBase[seed % drawBase.length] ?? drawSharingRun;
  const { leaveShare: _, twiceShare: __, ...run } = draw(seed);
  const leaving = leavingRows[seed % leavingRows.length];
  const faults = seed % 3 === 0 ? [] : run.faults;
  return { ...run, faults, ...(leaving === undefined ? {} : { leaving }) };
}
