/** A planned stop: no new work, all work in progress answered, then exit. */

import { assert } from "../engine/debug.ts";
import type { Step } from "./types.ts";
import { sendAllHeartbeats } from "./membership.ts";
import { handOverGroups } from "./handover.ts";
import { shareSlots } from "./slot_sharing.ts";
import { emit } from "./utilities.ts";

/** A drain lasts at least so long: the balancer has to notice first. */
export const DRAIN_NOTICE_MS = 1_000;

/** A gap between ticks that is longer than this counts as a freeze. */
const FREEZE_GAP_MS = 200;

/** Starts to drain: peers are told at once. */
export function onDrainRequested(step: Step): void {
  const { state } = step;
  if (state.drain !== "none") return;
  state.drain = "draining";
  state.drainSinceMs = state.nowMs;
  shareSlots(state);
  sendAllHeartbeats(step);
}

/** Ends the drain once nothing is in progress. */
export function checkDrain(step: Step): void {
  const { state } = step;
  if (state.drain !== "draining") return;
  const gapMs = state.nowMs - state.lastTickMs;
  // After a freeze, requests may wait unread: they are to be read first.
  if (gapMs > FREEZE_GAP_MS) state.drainSinceMs = state.nowMs;
  if (state.nowMs - state.drainSinceMs < DRAIN_NOTICE_MS) return;
  let open = 0;
  for (const job of state.jobs.values()) if (job.state !== "ended") open += 1;
  const asked = state.attaches.size;
  if (!state.guards.mayStop(open + asked, state.sends.size)) return;
  assert(open === 0, "drain_answers_all", `${open} jobs in progress`);
  handOverGroups(step);
  state.drain = "drained";
  emit(step, { type: "drained" });
}
