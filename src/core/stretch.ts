/** Which waiting work is served first: the latest against its ideal. */

import type { CoreState, Flow, Job } from "./types.ts";
import { isWithinShare } from "./flows.ts";

/** What is known of work that waits, here or at a peer that asks for slots. */
export interface Waiting {
  readonly receivedAtMs: number;
  readonly nextRunMs: number;
  readonly expectedMs: number;
  readonly urgency: number;
}

/** How much more urgency weighs, a step of it. */
const URGENCY_WEIGHT = 0.01;

/**
 * The ratio of answer time to ideal that the work is headed for if its next
 * task starts now. A short task of a long job can wait, a lone one can't.
 */
export function stretchOf(state: CoreState, work: Waiting): number {
  const waitedMs = state.nowMs - work.receivedAtMs;
  return (waitedMs + work.nextRunMs) / work.expectedMs;
}

/** The same, with urgent work counted as later than it is. */
function priorityOf(state: CoreState, work: Waiting): number {
  return stretchOf(state, work) * (1 + URGENCY_WEIGHT * work.urgency);
}

/** The work that has waited longest against its ideal, or null. */
export function latestOf<W extends Waiting>(
  state: CoreState,
  waiting: Iterable<W>,
): W | null {
  let latest: W | null = null;
  let highest = -Infinity;
  for (const work of waiting) {
    const priority = priorityOf(state, work);
    if (priority > highest) [latest, highest] = [work, priority];
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
