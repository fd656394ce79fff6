/**
 * Which task starts on which worker. It answers load near and beyond what the
 * workers can do: jobs are served in the order of the queue, each task goes
 * where it fits and leaves the least room unused, faster workers first.
 */

import { cellWorkers } from "./cells.ts";
import { hasQueuedTasks } from "./queue.ts";
import { startRun } from "./runs.ts";
import type {
  EngineState,
  Job,
  OwnedWorker,
  ReduceContext,
  Scheduler,
  Task,
} from "./types.ts";

/** Differences in speed below this share decide nothing. */
const SPEED_STEP = 0.15;

/** Starts whatever fits, of one service. */
export function placeWaiting(context: ReduceContext, service: string): void {
  const { state } = context;
  const { scheduler } = state;
  const waiting = scheduler?.waiting.get(service);
  if (scheduler === null || waiting === undefined) return;
  const workers = [...scheduler.workers.values()].filter((worker) =>
    worker.info.service === service && mayStart(state, worker)
  );
  for (let at = 0; at < waiting.length;) {
    const job = waiting[at] as Job;
    if (job.paused || mayRunElsewhere(state, scheduler, job)) {
      at += 1;
      continue;
    }
    placeJob(context, workers, job);
    if (hasQueuedTasks(job)) at += 1;
    else waiting.splice(at, 1);
  }
}

/**
 * Whether tasks of a job may still run, for a former leader, on a worker whose
 * lists this leader has not read.
 */
export function mayRunElsewhere(
  state: EngineState,
  scheduler: Scheduler,
  job: Job,
): boolean {
  const { nowMs, guards } = state;
  if (!guards.mayRunElsewhere(nowMs, job.previousRunsExpireAtMs)) return false;
  if (job.leftCell || state.vanishedAtMs.size > 0) return true;
  for (const { workerId } of cellWorkers(state)) {
    const worker = scheduler.workers.get(workerId);
    if (worker?.phase !== "ready") return true;
    // Another leader may have taken it, and started tasks, since it was read.
    if (worker.listsReadAtMs < job.submittedAtMs) return true;
  }
  return false;
}

function placeJob(
  context: ReduceContext,
  workers: OwnedWorker[],
  job: Job,
): void {
  for (const task of job.tasks) {
    if (task.state !== "queued") continue;
    if (task.mayHaveStarted && !context.state.guards.mayRunAgain(job, "lost")) {
      continue;
    }
    const worker = chooseWorker(context.state, workers, task);
    if (worker === null) return;
    startRun(context, worker, { job, task });
  }
}

/** Whether tasks may start on a worker now. */
function mayStart(state: EngineState, worker: OwnedWorker): boolean {
  if (worker.phase !== "ready" || !state.guards.mayServe(worker)) return false;
  if (worker.unsizedRunCount > 0) return false;
  // What a former leader stopped may take its room until now.
  if (state.nowMs < worker.usableFromMs) return false;
  if (worker.suspendedUntilMs > state.nowMs) return false;
  // After a suspension one task shows whether the worker does its work again.
  const probing = worker.suspendedUntilMs > 0;
  return !probing || worker.runs.size === 0;
}

function chooseWorker(
  state: EngineState,
  workers: OwnedWorker[],
  task: Task,
): OwnedWorker | null {
  let best: OwnedWorker | null = null;
  let bestCost = Infinity;
  for (const worker of workers) {
    if (!state.guards.hasRoom(worker, task) || !mayStart(state, worker)) {
      continue;
    }
    if (!suits(worker, task)) continue;
    const cost = costOf(worker, task);
    if (cost < bestCost) [best, bestCost] = [worker, cost];
  }
  return best;
}

/** Whether a task may run there, by what its step asks for. */
function suits(
  worker: OwnedWorker,
  { demand, stepIndex, name }: Task,
): boolean {
  const { requiredLabel, maxPerWorker } = demand;
  const { labels } = worker.info;
  if (requiredLabel !== undefined && !labels.includes(requiredLabel)) {
    return false;
  }
  if (maxPerWorker === undefined) return true;
  const jobId = name.slice(0, name.indexOf("."));
  let present = 0;
  for (const run of worker.runs.values()) {
    if (run.taskName.startsWith(`${jobId}.0.${stepIndex}.`)) present += 1;
  }
  return present < maxPerWorker;
}

/** Lower is better: speed in coarse steps, then the room left over. */
function costOf(worker: OwnedWorker, task: Task): number {
  const { info, usedCpuMilli, slowness } = worker;
  const speedStep = Math.round(slowness / SPEED_STEP);
  const leftMilli = info.cpuMilli - usedCpuMilli - task.demand.cpuMilli;
  const { nearRack } = task.demand;
  const isFar = nearRack !== undefined && !info.labels.includes(nearRack);
  const repeated = task.failedOn.has(info.workerId);
  return Number(repeated) * 1e10 + Number(isFar) * 1e9 + speedStep * 1e6 +
    leftMilli;
}
