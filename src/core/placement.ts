/**
 * Placement: which task goes next, and to which upstream. Policies are entries
 * of one lookup table; `stretch` is the product's, the others are baselines.
 */

import { assert } from "../engine/debug.ts";
import type { PolicyName } from "./schemas.ts";
import type { CoreState, Job, Step, Task, Upstream } from "./types.ts";
import { borrowFor, returnUnused } from "./borrowing.ts";
import { serveLoanRequest } from "./lending.ts";
import { latestJob, latestWithinShare } from "./stretch.ts";
import { isFlooding, isWithinShare, takeTask } from "./flows.ts";
import { ownedUpstreams } from "./slot_sharing.ts";
import { freeOwnedSlots, isUsable } from "./upstreams.ts";
import { emit, nextSequence, randomBelow } from "./utilities.ts";

/** A slot for one send. */
interface Place {
  readonly upstream: Upstream;
  /** The slot of the peer that lent it, or null for an owned slot. */
  readonly borrowedFrom: string | null;
}

interface Policy {
  /** Whether sends wait for a free slot, or queue at the upstream. */
  readonly waitsForSlots: boolean;
  /** Whether work is refused that could only wait. */
  readonly refusesEarly: boolean;
  readonly pickJob: (state: CoreState, service: string) => Job | null;
  readonly pickPlace: (state: CoreState, service: string) => Place | null;
}

const policies: Record<PolicyName, Policy> = {
  stretch: {
    waitsForSlots: true,
    refusesEarly: true,
    pickJob: pickByStretch,
    pickPlace: pickFreeSlot,
  },
  fifo: {
    waitsForSlots: true,
    refusesEarly: false,
    pickJob: pickOldest,
    pickPlace: pickFreeSlot,
  },
  random: {
    waitsForSlots: false,
    refusesEarly: false,
    pickJob: pickOldest,
    pickPlace: pickRandom,
  },
  roundRobin: {
    waitsForSlots: false,
    refusesEarly: false,
    pickJob: pickOldest,
    pickPlace: pickRoundRobin,
  },
  powerOfTwo: {
    waitsForSlots: false,
    refusesEarly: false,
    pickJob: pickOldest,
    pickPlace: pickOfTwo,
  },
};

function policyOf(state: CoreState): Policy {
  return policies[state.configuration?.policy ?? "stretch"];
}

/** Whether the policy in force refuses work that could only wait. */
export function refusesEarly(state: CoreState): boolean {
  return policyOf(state).refusesEarly;
}

/** Sends as many queued tasks of a service as slots allow. */
export function dispatch(step: Step, service: string): void {
  const { state } = step;
  const policy = policyOf(state);
  for (;;) {
    if (policy.waitsForSlots && serveLoanRequest(step, service)) continue;
    const job = policy.pickJob(state, service);
    if (job === null) break;
    const place = policy.pickPlace(state, service);
    if (place === null) {
      if (policy.waitsForSlots) borrowFor(step, service);
      return;
    }
    const task = takeTask(state, job);
    if (task !== undefined) sendTask(step, { job, task, place });
    else if (place.borrowedFrom !== null) giveBack(state, place);
  }
  returnUnused(step, service);
}

function giveBack(state: CoreState, place: Place): void {
  const { id, service } = place.upstream;
  const lender = place.borrowedFrom ?? "";
  state.borrowed.get(service)?.push({ upstreamId: id, lender });
}

function sendTask(
  step: Step,
  { job, task, place }: { job: Job; task: Task; place: Place },
): void {
  const { state } = step;
  const { upstream } = place;
  assert(task.state === "queued", "task_sent_once", task.taskId);
  assert(!upstream.leaving, "leaving_gets_no_work", upstream.id);
  assert(job.state === "running", "send_needs_running_job", job.jobId);
  const sendId = `${task.taskId}/${nextSequence(state)}`;
  task.state = "sent";
  task.sends += 1;
  upstream.inFlight += 1;
  if (place.borrowedFrom === null) upstream.inFlightOwned += 1;
  if (upstream.ejections > 0) upstream.probeInFlight = true;
  const flow = state.flows.get(job.flow);
  if (flow !== undefined) flow.inFlight += 1;
  state.counters.tasksSent += 1;
  state.sends.set(sendId, {
    sendId,
    jobId: job.jobId,
    taskIndex: task.index,
    upstreamId: upstream.id,
    borrowedFrom: place.borrowedFrom,
    sentAtMs: state.nowMs,
  });
  emit(step, {
    type: "sendTask",
    sendId,
    taskId: task.taskId,
    key: `${job.scopedKey ?? job.jobId}#${task.index}`,
    upstreamId: upstream.id,
    address: upstream.address,
    service: job.service,
    kind: job.kind,
    payload: task.payload,
    timeoutMs: Math.max(1, job.deadlineAtMs - state.nowMs),
  });
}

/** Slots of a service that this instance owns and may use. */
export function usableSlots(state: CoreState, service: string): number {
  let slots = 0;
  for (const upstream of ownedUpstreams(state, service)) {
    if (isUsable(state, upstream)) slots += upstream.ownedSlots;
  }
  return slots;
}

/** Owned slots of a service that are free to use or lend. */
export function freeSlots(state: CoreState, service: string): number {
  let slots = 0;
  for (const upstream of ownedUpstreams(state, service)) {
    if (isUsable(state, upstream)) slots += freeOwnedSlots(upstream);
  }
  return slots;
}

/**
 * The job whose answer is latest against its ideal. A flow that floods gets
 * its usual slots as any other, and beyond them only what leaves headroom.
 */
function pickByStretch(state: CoreState, service: string): Job | null {
  const best = latestWithinShare(state, service);
  if (best !== null || !leavesHeadroom(state, service)) return best;
  return latestJob(state, service, (flow) => !isWithinShare(flow));
}

function leavesHeadroom(state: CoreState, service: string): boolean {
  const percent = state.configuration?.limits.headroomPercent ?? 0;
  const headroom = usableSlots(state, service) * percent / 100;
  const unused = unusedShare(state, service);
  return freeSlots(state, service) > headroom + unused;
}

/** Usual slots of the flows that do not flood, as far as they lie idle. */
function unusedShare(state: CoreState, service: string): number {
  let unused = 0;
  for (const flow of state.flows.values()) {
    if (flow.service !== service || isFlooding(flow)) continue;
    unused += Math.max(0, flow.usualSlots - flow.inFlight);
  }
  return unused;
}

function pickOldest(state: CoreState, service: string): Job | null {
  let oldest: Job | null = null;
  for (const flow of state.flows.values()) {
    const job = flow.service === service ? flow.waiting[0] : undefined;
    if (job === undefined) continue;
    if (oldest === null || job.receivedAtMs < oldest.receivedAtMs) oldest = job;
  }
  return oldest;
}

function pickFreeSlot(state: CoreState, service: string): Place | null {
  const upstream = freestUpstream(state, service);
  if (upstream !== null) return { upstream, borrowedFrom: null };
  return pickBorrowed(state, service);
}

/** The upstream with the largest share of its owned slots free, or null. */
export function freestUpstream(
  state: CoreState,
  service: string,
): Upstream | null {
  let best: Upstream | null = null;
  let bestShare = 0;
  for (const upstream of ownedUpstreams(state, service)) {
    if (!isUsable(state, upstream)) continue;
    const share = freeOwnedSlots(upstream) / Math.max(1, upstream.ownedSlots);
    if (share > bestShare) [best, bestShare] = [upstream, share];
  }
  return best;
}

function pickBorrowed(state: CoreState, service: string): Place | null {
  const borrowed = state.borrowed.get(service) ?? [];
  for (let at = borrowed.length - 1; at >= 0; at -= 1) {
    const slot = borrowed[at];
    const upstream = state.upstreams.get(slot?.upstreamId ?? "");
    if (slot === undefined || upstream === undefined) continue;
    if (!isUsable(state, upstream)) continue;
    borrowed.splice(at, 1);
    return { upstream, borrowedFrom: slot.lender };
  }
  return null;
}

function candidates(state: CoreState, service: string): Upstream[] {
  return [...state.upstreams.values()].filter((upstream) =>
    upstream.service === service && state.guards.mayReceiveWork(upstream)
  );
}

function ownPlace(upstream: Upstream | undefined): Place | null {
  return upstream === undefined ? null : { upstream, borrowedFrom: null };
}

function pickRandom(state: CoreState, service: string): Place | null {
  const all = candidates(state, service);
  if (all.length === 0) return null;
  return ownPlace(all[randomBelow(state, all.length)]);
}

function pickRoundRobin(state: CoreState, service: string): Place | null {
  const all = candidates(state, service);
  state.roundRobinNext += 1;
  return ownPlace(all[state.roundRobinNext % Math.max(1, all.length)]);
}

function pickOfTwo(state: CoreState, service: string): Place | null {
  const all = candidates(state, service);
  if (all.length === 0) return null;
  const first = all[randomBelow(state, all.length)];
  const second = all[randomBelow(state, all.length)];
  if (first === undefined || second === undefined) return null;
  return ownPlace(first.inFlight <= second.inFlight ? first : second);
}
