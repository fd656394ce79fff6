/** Which jobs a leader may send to another zone, and where a refused job goes. */

import { isPaused } from "../followers.ts";
import { leastLoadedZone } from "../leader_lookup.ts";
import { hasQueuedTasks } from "../queue.ts";
import { isHeldBack } from "../suspected_queues.ts";
import type { EngineState, Job, JobOutcome } from "../types.ts";
import { isHeldElsewhere } from "./job_claims.ts";

/** Whether a job may go to another zone, and its entries can take it there. */
export function isMovable(state: EngineState, job: Job): boolean {
  if (!state.hasZoneCells || job.triedZones === null) return false;
  if (!state.guards.mayHandOver(state.nowMs, job)) return false;
  // Its tasks would crash workers of other zones, too.
  if (isHeldBack(state, job)) return false;
  const { scheduler } = state;
  if (scheduler !== null && isHeldElsewhere(state, scheduler, job)) {
    return false;
  }
  return hasQueuedTasks(job) && !isPaused(state, job);
}

/**
 * Names the zone in which a refused job is tried next, or null if there is none.
 * Two entries of the job that chose by themselves, as those of earlier releases
 * do, could choose two zones, which would both start it.
 */
export function withNextZone(
  state: EngineState,
  job: Job,
  outcome: JobOutcome,
): JobOutcome {
  if (outcome.kind !== "refused" || outcome.elsewhere !== undefined) {
    return outcome;
  }
  const { record, triedZones, queue: { service } } = job;
  if (!state.hasZoneCells || record !== null || triedZones === null) {
    return outcome;
  }
  const { reason } = outcome;
  const isFull = reason === "overloaded" || reason === "noWorker";
  const mayGo = isFull && triedZones.length === 0 && isMovable(state, job);
  return {
    ...outcome,
    elsewhere: mayGo ? leastLoadedZone(state, service) : null,
  };
}
