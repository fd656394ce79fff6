/**
 * Placement of tasks on workers, for load near and beyond the capacity of the
 * workers. Jobs are served in queue order; a job whose next task fits nowhere
 * doesn't block the jobs after it. Among the workers on which a task fits, the
 * one with the lowest `placementCost` gets it.
 */

import { cellWorkers, hasVanishedWorkers } from "./cells.ts";
import { awaitsEvidence } from "./crashes.ts";
import { isPaused } from "./followers.ts";
import { hasRunSlot, mayStartMore } from "./load_limits.ts";
import { isolateJob } from "./job_faults.ts";
import { hasStarted, queuedTasks } from "./job_state.ts";
import { listsSameWorkers } from "./leader_lists.ts";
import { knowsClock } from "./leases.ts";
import { createBeginCheck } from "./overload/begin.ts";
import { overloadPolicyOf } from "./overload/policies.ts";
import { readClocks } from "./clock_reads.ts";
import { hasRoomForCounts, isPlacedEnough } from "./record_content.ts";
import { hasQueuedTasks, markPartlyStarted } from "./queue.ts";
import { startRun } from "./runs.ts";
import { isHeldBack, isMixed, isSuspectedQueue } from "./suspected_queues.ts";
import { isReserved, mayStartTrial, reserveWorker } from "./trials.ts";
import type {
  EngineState,
  Job,
  OwnedWorker,
  ReduceContext,
  Scheduler,
  Task,
  WorkerRoom,
} from "./types.ts";
import {
  exceedsOffer,
  isLargeEnough,
  isUsable,
  meetsRequirements,
} from "./task_fit.ts";
import { createStartableWorkers } from "./zones/evacuation.ts";
import { isHeldElsewhere } from "./zones/job_claims.ts";

/**
 * Workers whose slowness rounds to the same multiple of this value count as
 * equally fast.
 */
const SLOWNESS_STEP = 0.15;

/**
 * Added to the cost of a worker with runs that the task should be kept apart
 * from: more than any slowness, less than a distant rack.
 */
const MIXED_COST = 1e8;

/**
 * Starts the queued tasks of one service that fit on its workers. For those that
 * remain, reads the clocks of workers that can get no task before.
 */
export function placeQueuedTasks(
  context: ReduceContext,
  service: string,
): void {
  const { scheduler } = context.state;
  const waiting = scheduler?.waiting.get(service);
  if (scheduler === null || waiting === undefined) return;
  if (waiting.length === 0) return;
  placeWaitingJobs(context, scheduler, { service, waiting });
  if (waiting.length > 0) readClocks(context, scheduler, { service, waiting });
}

function placeWaitingJobs(
  context: ReduceContext,
  scheduler: Scheduler,
  { service, waiting }: { service: string; waiting: Job[] },
): void {
  const { state } = context;
  const workers = [...scheduler.workers.values()].filter((worker) =>
    worker.info.service === service && acceptsTasks(state, worker)
  );
  // Without a usable worker no job can start, so the queue is not gone through.
  if (workers.length === 0) return;
  // Borrowed workers are for tasks of recorded jobs only.
  const { borrowed } = scheduler.loans;
  const ownWorkers = borrowed.size === 0
    ? workers
    : workers.filter(({ info }) => !borrowed.has(info.workerId));
  const listsReadAtMs = createListsReadAt(state, scheduler);
  const startableWorkers = createStartableWorkers(state);
  const candidatesOf = createCandidatesCache();
  const mayBegin = createBeginCheck(state, scheduler, service);
  const { finishesStartedFirst } = overloadPolicyOf(state, service);
  for (let at = 0; at < waiting.length && mayStartMore(state);) {
    const job = waiting[at] as Job;
    if (
      job.outcome !== null || isPaused(state, job) ||
      isHeldElsewhere(state, scheduler, job) ||
      mayHaveUnknownRuns(state, { job, listsReadAtMs })
    ) {
      at += 1;
      continue;
    }
    const hasQueued = isolateJob(context, job, {
      stage: "place",
      fallback: true,
      run: () => {
        const owned = job.record === null ? ownWorkers : workers;
        const candidates = candidatesOf(startableWorkers(job, owned));
        const isAdmitted = mayBegin(job, {
          workers: candidates.workers,
          mayFit: (task) => mayFit(state, candidates, task),
        });
        if (!isAdmitted) return true;
        placeJob(context, candidates, job);
        if (!hasQueuedTasks(job)) return false;
        if (finishesStartedFirst && !job.isPartlyStarted && hasStarted(job)) {
          markPartlyStarted(state, scheduler, job);
        }
        return true;
      },
    });
    // If the job has moved, then to an earlier place: the next job is at the next
    // place in either case.
    if (hasQueued) {
      at += 1;
      continue;
    }
    waiting.splice(at, 1);
    job.isWaiting = false;
  }
}

/**
 * Returns a function that computes {@linkcode oldestListsReadAtMs} when it is
 * first called, for use with many jobs in one event.
 */
export function createListsReadAt(
  state: EngineState,
  scheduler: Scheduler,
): () => number {
  let oldestMs: number | null = null;
  return () => oldestMs ??= oldestListsReadAtMs(state, scheduler);
}

/**
 * Returns the time at which the oldest of the present lists of the cell's
 * workers was requested; -Infinity if a worker is not ready.
 */
export function oldestListsReadAtMs(
  state: EngineState,
  scheduler: Scheduler,
): number {
  let oldestMs = Infinity;
  for (const { workerId } of cellWorkers(state)) {
    const worker = scheduler.workers.get(workerId);
    if (worker?.phase !== "ready") return -Infinity;
    oldestMs = Math.min(oldestMs, worker.listsReadAtMs);
  }
  return oldestMs;
}

/**
 * Whether a job may have runs of a previous leader that are unknown here and
 * have not expired: on a worker of another cell, on one that left the list or
 * that only the previous leader listed, or on one whose lists this leader has
 * not read since the job was resubmitted.
 * Meanwhile no task of the job starts, since it might be running already.
 */
export function mayHaveUnknownRuns(
  state: EngineState,
  { job, listsReadAtMs }: {
    job: Job;
    /** Returns what {@linkcode oldestListsReadAtMs} does. */
    listsReadAtMs: () => number;
  },
): boolean {
  const { nowMs, guards } = state;
  if (!guards.mayRunElsewhere(nowMs, job.previousRunsExpireAtMs)) return false;
  if (job.leftCell || hasVanishedWorkers(state)) return true;
  const listsSame = listsSameWorkers(state, job.previousList);
  if (guards.mayHaveUnlistedRuns(listsSame)) return true;
  // Another leader may have acquired a worker after its lists were read, and may
  // have started tasks of the job there.
  const readAtMs = listsReadAtMs();
  return readAtMs === -Infinity || readAtMs < job.resumedAtMs;
}

/** The workers that may get tasks in one event. */
interface Candidates {
  readonly workers: OwnedWorker[];
  /** The most of each resource that any of them has left; null until needed. */
  room: WorkerRoom | null;
  /** The number of started tasks for which `room` was computed. */
  startCount: number;
}

/** Returns a function that makes one object for each list in one event. */
function createCandidatesCache(): (workers: OwnedWorker[]) => Candidates {
  const known = new Map<OwnedWorker[], Candidates>();
  return (workers) => {
    let candidates = known.get(workers);
    if (candidates === undefined) {
      candidates = { workers, room: null, startCount: 0 };
      known.set(workers, candidates);
    }
    return candidates;
  };
}

/**
 * Returns the most of each resource that any of the workers has left, whether it
 * still accepts tasks or not.
 */
function largestRoom(workers: OwnedWorker[]): WorkerRoom {
  let cpuMilli = 0;
  let memoryMb = 0;
  let accelerators = 0;
  for (const worker of workers) {
    const { info } = worker;
    cpuMilli = Math.max(cpuMilli, info.cpuMilli - worker.usedCpuMilli);
    memoryMb = Math.max(memoryMb, info.memoryMb - worker.usedMemoryMb);
    accelerators = Math.max(
      accelerators,
      info.accelerators - worker.usedAccelerators,
    );
  }
  const info = { cpuMilli, memoryMb, accelerators };
  return { info, usedCpuMilli: 0, usedMemoryMb: 0, usedAccelerators: 0 };
}

/**
 * Whether a task may fit on one of the workers. Near overload most waiting tasks
 * fit nowhere, which is known here without a look at each worker.
 */
function mayFit(
  state: EngineState,
  candidates: Candidates,
  task: Task,
): boolean {
  const startCount = state.counters.tasksStarted;
  if (candidates.room === null || candidates.startCount !== startCount) {
    candidates.startCount = startCount;
    candidates.room = largestRoom(candidates.workers);
  }
  return state.guards.hasRoom(candidates.room, task);
}

/**
 * Starts the queued tasks of a job, up to the first that has to wait for room. One
 * that no worker is large enough for doesn't hold up the others.
 */
function placeJob(
  context: ReduceContext,
  candidates: Candidates,
  job: Job,
): void {
  const isSuspected = isSuspectedQueue(context.state, job.queue.name);
  if (isSuspected && isHeldBack(context.state, job)) return;
  const offer = context.state.scheduler?.offers.get(job.queue.service);
  for (const task of queuedTasks(job)) {
    if (!mayStartMore(context.state, job) || isPlacedEnough(job)) return;
    if (!hasRoomForCounts(job, task) || exceedsOffer(offer, task)) continue;
    if (task.mayHaveStarted && !context.state.guards.mayRunAgain(job, "lost")) {
      continue;
    }
    if (task.runsAlone) {
      startTrial(context, candidates.workers, { job, task });
      continue;
    }
    if (!mayFit(context.state, candidates, task)) return;
    const worker = chooseWorker(context.state, candidates.workers, {
      job,
      task,
      isSuspected,
    });
    if (worker === null) return;
    startRun(context, worker, { job, task });
  }
}

/**
 * Starts a task that is suspected of crashing workers on an empty worker. If
 * there is none, one is reserved.
 */
function startTrial(
  context: ReduceContext,
  workers: OwnedWorker[],
  { job, task }: { job: Job; task: Task },
): void {
  const { state } = context;
  const { scheduler } = state;
  if (scheduler === null || awaitsEvidence(task)) return;
  if (!mayStartTrial(state, scheduler, job)) return;
  const suited = workers.filter((worker) =>
    acceptsTasks(state, worker) && meetsRequirements(worker, task) &&
    isLargeEnough(worker, task)
  );
  const empty = suited.filter(({ runs }) => runs.size === 0);
  const worker = chooseWorker(state, empty, { job, task, isSuspected: true });
  if (worker === null) reserveWorker(state, suited);
  else startRun(context, worker, { job, task });
}

/** Whether a task may start on a worker now, if it fits. */
function acceptsTasks(state: EngineState, worker: OwnedWorker): boolean {
  return isUsable(state, worker) && knowsClock(state, worker);
}

/** Returns the worker with the lowest cost for a task, or null if none fits. */
function chooseWorker(
  state: EngineState,
  workers: OwnedWorker[],
  { job, task, isSuspected }: { job: Job; task: Task; isSuspected: boolean },
): OwnedWorker | null {
  let best: OwnedWorker | null = null;
  let bestCost = Infinity;
  for (const worker of workers) {
    if (!state.guards.hasRoom(worker, task) || !acceptsTasks(state, worker)) {
      continue;
    }
    if (!hasRunSlot(worker, job) || !meetsRequirements(worker, task)) continue;
    if (isReserved(state, worker) && !task.runsAlone) continue;
    const cost = placementCost(worker, task) +
      Number(isMixed(state, worker, isSuspected)) * MIXED_COST;
    if (cost < bestCost) [best, bestCost] = [worker, cost];
  }
  return best;
}

/**
 * Returns the cost of placing a task on a worker; the lowest cost is the best.
 * In order of weight: a run of the task failed there, the worker is not in the
 * preferred rack, its slowness in coarse steps, the CPU that is left over.
 */
function placementCost(worker: OwnedWorker, task: Task): number {
  const { info, usedCpuMilli, slowness } = worker;
  const slownessStep = Math.round(slowness / SLOWNESS_STEP);
  const leftMilli = info.cpuMilli - usedCpuMilli - task.demand.cpuMilli;
  const { nearRack } = task.demand;
  const isFar = nearRack !== undefined && !info.labels.includes(nearRack);
  const failedBefore = task.failedOn.has(info.workerId);
  return Number(failedBefore) * 1e10 + Number(isFar) * 1e9 +
    slownessStep * 1e6 +
    leftMilli;
}
