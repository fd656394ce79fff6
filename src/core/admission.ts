/** Admission: refuses early what could only wait, and shares by flow. */

import type { Flow, Job, Step } from "./types.ts";
import { enqueueJob, isFlooding } from "./flows.ts";
import { endJob } from "./jobs.ts";
import { dispatch, refusesEarly, usableSlots } from "./placement.ts";

/** The shortest queue, as time to work it off, that is ever refused. */
const MIN_QUEUE_MS = 1_000;

/** Takes a job that may start into the queue, or refuses it as not run. */
export function admitJob(step: Step, job: Job): void {
  if (isOverloaded(step, job.flow)) {
    endJob(step, job, { diagnostic: "overloaded" });
    return;
  }
  job.state = "running";
  enqueueJob(step.state, job);
  dispatch(step, job.service);
}

/** Whether new work of this flow would wait longer than is worth waiting. */
export function isOverloaded(step: Step, flowName: string): boolean {
  const { state } = step;
  const flow = state.flows.get(flowName);
  if (flow === undefined || !refusesEarly(state)) return false;
  if (!isFlooding(flow)) return false;
  const ratio = state.configuration?.limits.maxQueueRatio ?? 1;
  const limitMs = Math.max(MIN_QUEUE_MS, ratio * flow.runs.meanMs);
  return queueMs(step, flow) > limitMs;
}

/** How long the flow's queue takes to work off with the slots left to it. */
function queueMs(step: Step, flow: Flow): number {
  const slots = slotsLeftTo(step, flow);
  return flow.queuedTasks * flow.runs.meanMs / Math.max(1, slots);
}

function slotsLeftTo(step: Step, flow: Flow): number {
  const { state } = step;
  let others = 0;
  for (const other of state.flows.values()) {
    if (other !== flow && other.service === flow.service) {
      others += Math.max(other.usualSlots, other.inFlight);
    }
  }
  return Math.max(flow.usualSlots, usableSlots(state, flow.service) - others);
}
