/** Which waiting work is served first: the latest against its ideal. */

import type { CoreState, Flow, Job } from "./types.ts";
import { isWithinShare } from "./flows.ts";

/** What is known of work that waits, here or at a peer that asks for slots. */
export interface Waiting {
  readonly receivedAtMs: number;
  readonly expectedMs: number;
  readonly urgency: number;
}

/** How much more urgency weighs, a step of it. */
const URGENCY_WEIGHT = 0.05;

/** How long work has waited, in units of its expected run time. */
export function stretchOf(state: CoreState, work: Waiting): number {
  const waitedMs = state.nowMs - work.receivedAtMs;
  const urgency = 1 + URGENCY_WEIGHT * work.urgency;
  return urgency * waitedMs / work.expectedMs;
}

/** The work that has waited longest against its ideal, or null. */
export function latestOf<W extends Waiting>(
  state: CoreState,
  waiting: Iterable<W>,
): W | null {
  let latest: W | null = null;
  let latestStretch = -Infinity;
  for (const work of waiting) {
    const stretch = stretchOf(state, work);
    if (stretch > latestStretch) [latest, latestStretch] = [work, stretch];
  }
  return latest;
}

/** The latest job among flows of a service that a test chooses. */
export function latestJob(
  state: CoreState,
  service: string,
  chooses: (flow: Flow) => boolean,
): Job | null {
  const jobs: Job[] = [];
  for (const flow of state.flows.values()) {
    if (flow.service !== service || flow.waiting.length === 0) continue;
    const job = chooses(flow) ? latestOf(state, flow.waiting) : null;
    if (job !== null) jobs.push(job);
  }
  return latestOf(state, jobs);
}

/** The latest job of the flows that keep to their share. */
export function latestWithinShare(
  state: CoreState,
  service: string,
): Job | null {
  return latestJob(state, service, isWithinShare);
}
