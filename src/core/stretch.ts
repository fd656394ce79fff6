/** Which waiting work is served first: the latest against its ideal. */

import type { CoreState, Flow, Job } from "./types.ts";
import { isWithinShare } from "./flows.ts";

/** What is known of work that waits, here or at a peer that asks for slots. */
export interface Waiting {
  readonly receivedAtMs: number;
  readonly nextRunMs: number;
  readonly expectedMs: number;
  readonly urgency: number;
  /** Tasks that were not sent yet. */
  readonly tasksLeft: number;
}

/** The share of a task's run time that counts as waited from the start. */
const HEAD_START = 0.1;
/** How much more urgency weighs, a step of it. */
const URGENCY_WEIGHT = 0.01;

/**
 * How late work is against its ideal. A job with many tasks left counts as less
 * late: the slots it would take serve more jobs that need few.
 */
export function stretchOf(state: CoreState, work: Waiting): number {
  const waitedMs = state.nowMs - work.receivedAtMs;
  const headStartMs = HEAD_START * work.nextRunMs;
  const stretch = (waitedMs + headStartMs) / work.expectedMs;
  return stretch / Math.max(1, work.tasksLeft);
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
