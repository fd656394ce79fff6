/**
 * Admission control, for bursts that exceed the capacity of the workers: a job
 * that would complete too late is refused at once, while a later job that can
 * complete in time is still admitted.
 */

import { isolateJob } from "./job_faults.ts";
import { compareJobs, hasQueuedTasks } from "./queue.ts";
import type {
  EngineState,
  Job,
  JobOutcome,
  ReduceContext,
  Scheduler,
} from "./types.ts";

/** Expected wait reported to peers for a service without usable workers. */
const NO_WORKERS_WAIT_MS = 600_000;
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
): JobOutcome | null {
  if (!hasQueuedTasks(job)) return null;
  if (state.nowMs + waitMs + job.criticalPathMs <= latestCompletionAtMs(job)) {
    return null;
  }
  const finiteWaitMs = Number.isFinite(waitMs) ? waitMs : 0;
  return {
    kind: "refused",
    reason: Number.isFinite(waitMs) ? "overloaded" : "noWorker",
    retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, Math.round(finiteWaitMs)),
  };
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
 * Returns how long a job is expected to wait: the time for which the queued
 * tasks of the jobs before it occupy the workers of its service; Infinity if
 * there is no usable worker.
 */
export function expectedWaitMs(
  context: ReduceContext,
  scheduler: Scheduler,
  job: Job,
): number {
  const { state } = context;
  const { service } = job.queue;
  const capacityMilli = usableCpuMilli(state, scheduler, service);
  if (capacityMilli === 0) return Infinity;
  let aheadMilliMs = 0;
  for (const other of scheduler.waiting.get(service) ?? []) {
    if (other === job || compareJobs(other, job) > 0) break;
    // A paused job starts no tasks, and a job that a previous leader may have
    // run may have to wait until those runs expire: neither counts here.
    if (other.paused || mayHavePreviousRuns(state, other)) continue;
    aheadMilliMs += queuedWork(context, other);
  }
  return aheadMilliMs / capacityMilli;
}

/** Expected waits of jobs, computed in one pass over each service's queue. */
export interface ExpectedWaits {
  /** Returns the expected wait of a job, in milliseconds. */
  readonly get: (job: Job) => number;
  /** Discards the computed waits; to be called when the queues have changed. */
  readonly reset: () => void;
}

/**
 * Returns the results of {@linkcode expectedWaitMs} for many jobs at one time,
 * at a lower cost.
 */
export function createExpectedWaits(
  context: ReduceContext,
  scheduler: Scheduler,
): ExpectedWaits {
  let known = new Map<string, Map<Job, number>>();

  function waitsOf(service: string): Map<Job, number> {
    let waits = known.get(service);
    if (waits === undefined) {
      waits = computeQueueWaits(context, scheduler, service);
      known.set(service, waits);
    }
    return waits;
  }

  return {
    get: (job) =>
      waitsOf(job.queue.service).get(job) ??
        expectedWaitMs(context, scheduler, job),
    reset() {
      known = new Map();
    },
  };
}

/** Returns the expected wait of every job in a service's queue. */
function computeQueueWaits(
  context: ReduceContext,
  scheduler: Scheduler,
  service: string,
): Map<Job, number> {
  const { state } = context;
  const waits = new Map<Job, number>();
  const capacityMilli = usableCpuMilli(state, scheduler, service);
  let aheadMilliMs = 0;
  for (const job of scheduler.waiting.get(service) ?? []) {
    waits.set(
      job,
      capacityMilli === 0 ? Infinity : aheadMilliMs / capacityMilli,
    );
    if (!job.paused && !mayHavePreviousRuns(state, job)) {
      aheadMilliMs += queuedWork(context, job);
    }
  }
  return waits;
}

/**
 * Updates the expected waits by service that heartbeats report to peers. All
 * queued tasks count here, also those of paused jobs.
 */
export function updateWaitsByService(
  context: ReduceContext,
  scheduler: Scheduler,
): void {
  const { state } = context;
  for (const [service, jobs] of scheduler.waiting) {
    let workMilliMs = 0;
    for (const job of jobs) workMilliMs += queuedWork(context, job);
    const capacityMilli = usableCpuMilli(state, scheduler, service);
    const waitMs = capacityMilli === 0
      ? NO_WORKERS_WAIT_MS
      : Math.round(workMilliMs / capacityMilli);
    scheduler.waitMsByService.set(service, waitMs);
  }
}

/**
 * Returns the work of a job's queued tasks, in thousandths of a core times
 * milliseconds. Each task counts with the length of the job's critical path.
 */
function queuedWork(context: ReduceContext, job: Job): number {
  if (job.outcome !== null) return 0;
  return isolateJob(context, job, {
    stage: "admit",
    fallback: 0,
    run: () => {
      let work = 0;
      for (const task of job.tasks) {
        if (task.state !== "queued") continue;
        work += task.demand.cpuMilli * job.criticalPathMs;
      }
      return work;
    },
  });
}

/**
 * Returns the CPU capacity of a service's workers that are neither draining nor
 * lost nor suspended, including what running tasks occupy.
 */
function usableCpuMilli(
  state: EngineState,
  scheduler: Scheduler,
  service: string,
): number {
  let cpuMilli = 0;
  for (const { info, phase, suspendedUntilMs } of scheduler.workers.values()) {
    if (info.service !== service || info.draining) continue;
    if (phase === "lost" || suspendedUntilMs > state.nowMs) continue;
    cpuMilli += info.cpuMilli;
  }
  return cpuMilli;
}

/**
 * Whether a previous leader may have started runs of a job that have not
 * expired yet.
 */
function mayHavePreviousRuns(state: EngineState, job: Job): boolean {
  return job.mayHaveStarted && state.nowMs < job.previousRunsExpireAtMs;
}
