/**
 * Admission control, for bursts that exceed the capacity of the workers: a job
 * that would complete too late is refused at once, while a later job that can
 * complete in time is still admitted.
 */

import { isPaused } from "./followers.ts";
import { isolateJob } from "./job_faults.ts";
import { queuedTasks } from "./job_state.ts";
import { overloadPolicyOf, refusalPolicyOf } from "./overload/policies.ts";
import { returningLimitAtMs } from "./overload/returning_callers.ts";
import { hasSuitedWorkers } from "./overload/suitability.ts";
import { compareJobs, compareUnstarted, hasQueuedTasks } from "./queue.ts";
import { isHeldBack } from "./suspected_queues.ts";
import {
  createServiceCapacity,
  type QueuedLoad,
  type ServiceCapacity,
  waitBehindMs,
} from "./service_capacity.ts";
import { exceedsOffer } from "./task_fit.ts";
import type {
  EngineState,
  Job,
  JobOutcome,
  ReduceContext,
  Scheduler,
} from "./types.ts";
import { isEvacuated, needsEvacuatedWorkers } from "./zones/evacuation.ts";

/**
 * Expected wait reported to peers for a service without usable workers, and the
 * longest wait that peers and callers are told.
 */
const MAX_REPORTED_WAIT_MS = 600_000;
/**
 * Retry delay of a job whose queue crashes workers: about the time in which a
 * crashed worker is back.
 */
const HELD_BACK_RETRY_AFTER_MS = 3_000;
/** Lower bound of the retry delay that callers of refused jobs are given. */
const MIN_RETRY_AFTER_MS = 250;

/**
 * Returns the refusal of a job whose queued tasks can't complete in time after
 * waiting for `waitMs`, or null if the job is admitted.
 */
export function refusalOf(
  state: EngineState,
  job: Job,
  waitMs: number,
  { isNew = false }: { isNew?: boolean } = {},
): JobOutcome | null {
  if (!hasQueuedTasks(job)) return null;
  if (job.record === null && isHeldBack(state, job)) {
    const retryAfterMs = HELD_BACK_RETRY_AFTER_MS;
    return { kind: "refused", reason: "overloaded", retryAfterMs };
  }
  const policy = refusalPolicyOf(state, job);
  const { plannedRunMs, plannedWaitMs, checksSuitability } = policy;
  const isUnsuited = checksSuitability &&
    !hasSuitedWorkers(state, job, { usable: false });
  const plannedMs = isNew ? plannedWaitMs(state, job, waitMs) : waitMs;
  const runMs = plannedRunMs(job);
  // While workers are idle, nothing is lost by a run that shows whether what was
  // learned still holds: a job that is refused teaches nothing.
  const trustsDeclared = waitMs === 0 || job.doubtsEstimate;
  const likelyRunMs = trustsDeclared
    ? Math.min(runMs, job.declaredPathMs)
    : runMs;
  const endAtMs = state.nowMs + plannedMs + likelyRunMs;
  const limitAtMs = returningLimitAtMs(job, waitMs) ??
    latestCompletionAtMs(job);
  if (!isUnsuited && endAtMs <= limitAtMs) return null;
  const finiteWaitMs = Number.isFinite(waitMs) ? waitMs : 0;
  const leasesEndInMs = leasesEndAfterMs(state, job);
  const isOverload = Number.isFinite(waitMs) && leasesEndInMs === 0 &&
    (!checksSuitability || hasSuitedWorkers(state, job, { usable: true }));
  const retryAfterMs = Math.max(finiteWaitMs, leasesEndInMs);
  return {
    kind: "refused",
    reason: isOverload ? "overloaded" : "noWorker",
    retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, reportedWaitMs(retryAfterMs)),
  };
}

/**
 * Returns the time until leases of an unknown leader have ended, for which no
 * worker may be used for a job, however idle the workers are. Load: all instances
 * have lost power.
 */
function leasesEndAfterMs(
  state: EngineState,
  { queue, record, previousRunsExpireAtMs }: Job,
): number {
  const { namesLeases } = overloadPolicyOf(state, queue.service);
  if (!namesLeases || record !== null) return 0;
  return Math.max(0, previousRunsExpireAtMs - state.nowMs);
}

/** Returns the latest expected completion time at which a job is admitted. */
function latestCompletionAtMs(job: Job): number {
  const { receivedAtMs, objectiveAtMs, deadlineAtMs, spec } = job;
  const objectiveMs = objectiveAtMs - receivedAtMs;
  // A surplus job of a flood gets no time beyond its latency objective.
  const factor = job.isSurplus ? 1 : spec.lateFactor ?? 1;
  const lateLimitAtMs = receivedAtMs + factor * objectiveMs;
  return Math.min(deadlineAtMs, lateLimitAtMs);
}

/**
 * Returns how long a job is expected to wait; Infinity if there is no usable
 * worker. That is the time until running tasks have left room for the queued
 * tasks of the jobs before it and for one of its own, and at least the time for
 * which the tasks before it occupy all workers of the service.
 */
export function expectedWaitMs(
  context: ReduceContext,
  scheduler: Scheduler,
  job: Job,
): number {
  const { state } = context;
  const { service } = job.queue;
  const ahead: QueuedLoad = { cpuMilli: 0, workMilliMs: 0 };
  for (const other of scheduler.waiting.get(service) ?? []) {
    if (other === job || compareJobs(other, job) > 0) break;
    // The wait of a recorded job, by which it may be refused, doesn't depend on
    // the policy.
    if (job.record !== null && compareUnstarted(other, job) > 0) continue;
    addQueuedLoad(context, ahead, other);
  }
  const capacity = createServiceCapacity(state, scheduler, service);
  return waitOf(capacity, { ahead, job });
}

/** Expected waits of jobs, computed in one pass over each service's queue. */
export interface ExpectedWaits {
  /** Returns the expected wait of a job, in milliseconds. */
  readonly get: (job: Job) => number;
  /**
   * Discards the computed waits; to be called when the queues have changed, or
   * the runs have, too.
   */
  readonly reset: (changed: "queues" | "runs") => void;
}

/**
 * Returns the results of {@linkcode expectedWaitMs} for many jobs at one time,
 * at a lower cost.
 */
export function createExpectedWaits(
  context: ReduceContext,
  scheduler: Scheduler,
): ExpectedWaits {
  const { state } = context;
  const loads = new Map<string, Map<Job, QueuedLoad>>();
  const capacities = new Map<string, ServiceCapacity>();

  function loadsOf(service: string): Map<Job, QueuedLoad> {
    let known = loads.get(service);
    if (known === undefined) {
      known = computeLoadsAhead(context, scheduler, service);
      loads.set(service, known);
    }
    return known;
  }

  function capacityOf(service: string): ServiceCapacity {
    let known = capacities.get(service);
    if (known === undefined) {
      known = createServiceCapacity(state, scheduler, service);
      capacities.set(service, known);
    }
    return known;
  }

  return {
    get(job) {
      const { service } = job.queue;
      const ahead = loadsOf(service).get(job);
      if (ahead === undefined || job.record !== null) {
        return expectedWaitMs(context, scheduler, job);
      }
      return waitOf(capacityOf(service), { ahead, job });
    },
    reset(changed) {
      loads.clear();
      if (changed === "runs") capacities.clear();
    },
  };
}

/** Returns the load before every job in a service's queue. */
function computeLoadsAhead(
  context: ReduceContext,
  scheduler: Scheduler,
  service: string,
): Map<Job, QueuedLoad> {
  const loads = new Map<Job, QueuedLoad>();
  const ahead: QueuedLoad = { cpuMilli: 0, workMilliMs: 0 };
  for (const job of scheduler.waiting.get(service) ?? []) {
    loads.set(job, { ...ahead });
    addQueuedLoad(context, ahead, job);
  }
  return loads;
}

/**
 * Adds the queued tasks of a job that come before others. A paused job starts
 * no tasks, and a job that a previous leader may have run may have to wait until
 * those runs expire: neither counts.
 */
function addQueuedLoad(
  context: ReduceContext,
  load: QueuedLoad,
  job: Job,
): void {
  if (isPaused(context.state, job) || mayHavePreviousRuns(context.state, job)) {
    return;
  }
  addLoadOf(context, load, job);
}

/** Adds the queued tasks of a job, whether they can start now or not. */
export function addLoadOf(
  context: ReduceContext,
  load: QueuedLoad,
  job: Job,
): void {
  const cpuMilli = queuedCpuMilli(context, job);
  load.cpuMilli += cpuMilli;
  load.workMilliMs += cpuMilli * job.criticalPathMs;
}

/** Returns the expected wait of a job behind the given load. */
function waitOf(
  capacity: ServiceCapacity,
  { ahead, job }: { ahead: QueuedLoad; job: Job },
): number {
  if (needsEvacuatedWorkers(capacity.state, job)) return Infinity;
  if (capacity.cpuMilli === 0) {
    return mayBorrowWorkers(capacity.state, job) ? 0 : Infinity;
  }
  const [task] = job.tasks;
  const taskMilli = Math.max(1, task?.demand.cpuMilli ?? 1);
  const neededMilli = ahead.cpuMilli + taskMilli;
  return waitBehindMs(capacity, ahead, { neededMilli, taskMilli });
}

/** Whether workers of other zones may run the tasks of a job. */
function mayBorrowWorkers(
  state: EngineState,
  { record, queue }: Job,
): boolean {
  if (record === null || !state.hasZoneCells) return false;
  return [...state.workers.values()].some((info) =>
    info.service === queue.service && !info.draining &&
    !isEvacuated(state, info)
  );
}

/**
 * Updates the expected waits by service that heartbeats report to peers. All
 * queued tasks count here, also those of paused jobs. Where zones have a leader
 * each, `updateRoom` measures the waits of services with usable workers.
 */
export function updateWaitsByService(
  context: ReduceContext,
  scheduler: Scheduler,
): void {
  const { state } = context;
  for (const [service, jobs] of scheduler.waiting) {
    const { cpuMilli } = createServiceCapacity(state, scheduler, service);
    if (cpuMilli === 0) {
      scheduler.waitMsByService.set(service, MAX_REPORTED_WAIT_MS);
      continue;
    }
    if (state.hasZoneCells) continue;
    const load: QueuedLoad = { cpuMilli: 0, workMilliMs: 0 };
    for (const job of jobs) addLoadOf(context, load, job);
    const waitMs = load.workMilliMs / cpuMilli;
    scheduler.waitMsByService.set(service, reportedWaitMs(waitMs));
  }
}

/**
 * Returns an expected wait as peers and callers are told of it. Peers ignore a
 * heartbeat with a number that JSON has no form for, and take its sender for lost.
 */
export function reportedWaitMs(waitMs: number): number {
  return waitMs < MAX_REPORTED_WAIT_MS
    ? Math.round(waitMs)
    : MAX_REPORTED_WAIT_MS;
}

/**
 * Returns the CPU that the queued tasks of a job need together, without those that
 * no worker is large enough for.
 */
export function queuedCpuMilli(context: ReduceContext, job: Job): number {
  if (job.outcome !== null) return 0;
  return isolateJob(context, job, {
    stage: "admit",
    fallback: 0,
    run: () => {
      let cpuMilli = 0;
      const offer = context.state.scheduler?.offers.get(job.queue.service);
      for (const task of queuedTasks(job)) {
        if (!exceedsOffer(offer, task)) cpuMilli += task.demand.cpuMilli;
      }
      return cpuMilli;
    },
  });
}

/**
 * Whether a previous leader may have started runs of a job that have not
 * expired yet.
 */
function mayHavePreviousRuns(state: EngineState, job: Job): boolean {
  return job.mayHaveStarted && state.nowMs < job.previousRunsExpireAtMs;
}
