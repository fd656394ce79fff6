/**
 * Which jobs may begin, so that few of them hold capacity with some tasks while
 * others wait. Load: more work of less urgent queues than the workers can do.
 */

import { queuedTasks } from "../job_state.ts";
import type { Step } from "../schemas.ts";
import { isReserved } from "../trials.ts";
import type {
  EngineState,
  Job,
  OwnedWorker,
  Scheduler,
  Task,
} from "../types.ts";
import { quotient } from "../worker_loans.ts";
import { isMostUrgent, overloadPolicyOf } from "./policies.ts";
import { hasSuitedWorkers } from "./suitability.ts";

/**
 * Number of jobs of each less urgent queue's priority that may be partly started.
 * The first job in order that finds no room for all its tasks gets its workers one
 * by one, so that wide jobs are not starved.
 */
const MAX_PARTLY_STARTED = 1;

/**
 * Tells for the jobs of a service, in their order, whether they may begin on the
 * workers that they may use.
 */
export type BeginCheck = (
  job: Job,
  usable: {
    /** The workers that may get tasks of the job now. */
    readonly workers: readonly OwnedWorker[];
    /** Whether a task may fit on one of them. */
    readonly mayFit: (task: Task) => boolean;
  },
) => boolean;

const anyMayBegin: BeginCheck = () => true;

/** Returns how many more tasks with a demand fit on a worker now. */
function placesLeft(
  state: EngineState,
  worker: OwnedWorker,
  { cpuMilli, memoryMb, accelerators, requiredLabel, maxPerWorker }: Step,
): number {
  const { info } = worker;
  const cpuPlaces = quotient(info.cpuMilli - worker.usedCpuMilli, cpuMilli);
  if (cpuPlaces < 1 || isReserved(state, worker)) return 0;
  if (requiredLabel !== undefined && !info.labels.includes(requiredLabel)) {
    return 0;
  }
  const places = Math.min(
    cpuPlaces,
    quotient(info.memoryMb - worker.usedMemoryMb, memoryMb),
    quotient(info.accelerators - worker.usedAccelerators, accelerators),
    maxPerWorker ?? Infinity,
  );
  return Math.max(0, Math.floor(places));
}

/**
 * Whether the workers have room for all queued tasks of a job now. Steps that are
 * queued at the same time are looked at one by one.
 */
function fitsWhole(
  state: EngineState,
  workers: readonly OwnedWorker[],
  job: Job,
): boolean {
  const queuedByStep = job.steps.map(() => 0);
  for (const { stepIndex } of queuedTasks(job)) {
    queuedByStep[stepIndex] = (queuedByStep[stepIndex] ?? 0) + 1;
  }
  return job.steps.every((demand, stepIndex) => {
    let left = queuedByStep[stepIndex] ?? 0;
    for (const worker of workers) {
      if (left <= 0) break;
      left -= placesLeft(state, worker, demand);
    }
    return left <= 0;
  });
}

/**
 * Whether the workers that a job needs may become free one by one. One whose
 * suited workers are lost or suspended would hold back the others of its priority
 * for as long as it waits.
 */
function canCollect(state: EngineState, job: Job): boolean {
  return hasSuitedWorkers(state, job, { usable: true });
}

/** Returns the check for the jobs of a service in one pass over its queue. */
export function createBeginCheck(
  state: EngineState,
  scheduler: Scheduler,
  service: string,
): BeginCheck {
  if (!overloadPolicyOf(state, service).limitsPartlyStarted) return anyMayBegin;
  const partlyStarted = new Map<number, number>();
  for (const job of scheduler.waiting.get(service) ?? []) {
    const { isPartlyStarted, queue } = job;
    if (!isPartlyStarted || isMostUrgent(state, queue)) continue;
    if (!canCollect(state, job)) continue;
    partlyStarted.set(
      queue.priority,
      (partlyStarted.get(queue.priority) ?? 0) + 1,
    );
  }
  return (job, { workers, mayFit }) => {
    const { priority } = job.queue;
    if (isMostUrgent(state, job.queue) || job.mayHaveStarted) return true;
    if (job.record !== null) return true;
    const [first] = queuedTasks(job);
    if (first === undefined || first.runsAlone) return true;
    if (mayFit(first) && fitsWhole(state, workers, job)) return true;
    const count = partlyStarted.get(priority) ?? 0;
    if (count >= MAX_PARTLY_STARTED || !canCollect(state, job)) return false;
    partlyStarted.set(priority, count + 1);
    return true;
  };
}
