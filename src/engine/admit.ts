/**
 * Whether a job is taken or turned away. It answers bursts beyond what the
 * workers can do: a job that would end too late is refused at once, while a
 * later one that fits is still taken.
 */

import { compareJobs, hasQueuedTasks } from "./queue.ts";
import type { EngineState, Job, JobOutcome, Scheduler } from "./types.ts";

/** What a service without workers is said to let work wait. */
const LONGEST_WAIT_MS = 600_000;
/** The least time after which callers of refused jobs should come back. */
const MIN_RETRY_MS = 250;

/** The refusal of a job that can't end in time, or null to take it. */
export function refusalOf(
  state: EngineState,
  job: Job,
  waitMs: number,
): JobOutcome | null {
  if (!hasQueuedTasks(job)) return null;
  if (state.nowMs + waitMs + job.criticalPathMs <= latestEndMs(job)) {
    return null;
  }
  const drainMs = Number.isFinite(waitMs) ? waitMs : 0;
  return {
    kind: "refused",
    reason: Number.isFinite(waitMs) ? "overloaded" : "noWorker",
    retryAfterMs: Math.max(MIN_RETRY_MS, Math.round(drainMs)),
  };
}

/** The end by which an answer is still worth the work. */
function latestEndMs(job: Job): number {
  const { receivedAtMs, objectiveAtMs, deadlineAtMs, spec } = job;
  const objectiveMs = objectiveAtMs - receivedAtMs;
  // Work of a flood beyond its share waits no longer than it is in time.
  const factor = job.isSurplus ? 1 : spec.lateFactor ?? 1;
  const lateAtMs = receivedAtMs + factor * objectiveMs;
  return Math.min(deadlineAtMs, lateAtMs);
}

/** How long the work of the jobs before this one keeps the workers busy. */
export function expectedWaitMs(
  state: EngineState,
  scheduler: Scheduler,
  job: Job,
): number {
  const { service } = job.queue;
  const capacityMilli = usableCpuMilli(state, scheduler, service);
  if (capacityMilli === 0) return Infinity;
  let aheadMilliMs = 0;
  for (const other of scheduler.waiting.get(service) ?? []) {
    if (other === job || compareJobs(other, job) > 0) break;
    // What waits until former runs have lapsed takes no room before.
    if (other.paused || isHeldBack(state, other)) continue;
    aheadMilliMs += queuedWork(other);
  }
  return aheadMilliMs / capacityMilli;
}

/** Expected waits of all jobs, worked out in one walk of each queue. */
export interface Waits {
  readonly of: (job: Job) => number;
  /** The queues have changed. */
  readonly reset: () => void;
}

/** The same as {@linkcode expectedWaitMs}, for many jobs at one moment. */
export function createWaits(state: EngineState, scheduler: Scheduler): Waits {
  let known = new Map<string, Map<Job, number>>();

  function waitsOf(service: string): Map<Job, number> {
    let waits = known.get(service);
    if (waits === undefined) {
      waits = walkQueue(state, scheduler, service);
      known.set(service, waits);
    }
    return waits;
  }

  return {
    of: (job) =>
      waitsOf(job.queue.service).get(job) ??
        expectedWaitMs(state, scheduler, job),
    reset() {
      known = new Map();
    },
  };
}

function walkQueue(
  state: EngineState,
  scheduler: Scheduler,
  service: string,
): Map<Job, number> {
  const waits = new Map<Job, number>();
  const capacityMilli = usableCpuMilli(state, scheduler, service);
  let aheadMilliMs = 0;
  for (const job of scheduler.waiting.get(service) ?? []) {
    waits.set(
      job,
      capacityMilli === 0 ? Infinity : aheadMilliMs / capacityMilli,
    );
    if (!job.paused && !isHeldBack(state, job)) aheadMilliMs += queuedWork(job);
  }
  return waits;
}

/** Notes how long work of each service would wait, for peers to be told. */
export function noteWaits(state: EngineState, scheduler: Scheduler): void {
  for (const [service, jobs] of scheduler.waiting) {
    let workMilliMs = 0;
    for (const job of jobs) workMilliMs += queuedWork(job);
    const capacityMilli = usableCpuMilli(state, scheduler, service);
    const waitMs = capacityMilli === 0
      ? LONGEST_WAIT_MS
      : Math.round(workMilliMs / capacityMilli);
    scheduler.waitMsByService.set(service, waitMs);
  }
}

/** The work of a job's tasks that have not started, in cpu milliseconds. */
function queuedWork(job: Job): number {
  let work = 0;
  for (const task of job.tasks) {
    if (task.state === "queued") {
      work += task.demand.cpuMilli * job.criticalPathMs;
    }
  }
  return work;
}

/** The processor share of the workers that take tasks now. */
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

/** Whether a job's former runs have to lapse before it goes on. */
function isHeldBack(state: EngineState, job: Job): boolean {
  return job.mayHaveStarted && state.nowMs < job.previousRunsExpireAtMs;
}
