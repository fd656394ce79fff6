/**
 * The capacity of a service's workers now and in the near future, for load near
 * their capacity: when running tasks are expected to leave room for others.
 */

import { remainingMs } from "./run_progress.ts";
import type { EngineState, OwnedWorker, Scheduler } from "./types.ts";
import { isEvacuated } from "./zones/evacuation.ts";

/** The capacity of the usable workers of a service. */
export interface ServiceCapacity {
  readonly state: EngineState;
  /** Workers that are neither draining nor lost, suspended or evacuated. */
  readonly workers: readonly OwnedWorker[];
  /** Their capacity, including what running tasks occupy. */
  readonly cpuMilli: number;
  /** The most CPU that is idle on one of the workers. */
  readonly maxIdleMilli: number;
  /** When and by how much running tasks leave room; null until it is needed. */
  releases: Release[] | null;
}

interface Release {
  readonly afterMs: number;
  /** CPU of the tasks that have ended by then, together. */
  readonly totalMilli: number;
}

/**
 * Returns the capacity of the usable workers of a service. Borrowed workers don't
 * count: they are there for recorded jobs, and for a time.
 */
export function createServiceCapacity(
  state: EngineState,
  scheduler: Scheduler,
  service: string,
): ServiceCapacity {
  const workers: OwnedWorker[] = [];
  let cpuMilli = 0;
  let maxIdleMilli = 0;
  for (const worker of scheduler.workers.values()) {
    const { info, phase, suspendedUntilMs } = worker;
    if (info.service !== service || info.draining) continue;
    if (scheduler.loans.borrowed.has(info.workerId)) continue;
    if (isEvacuated(state, info)) continue;
    if (phase === "lost" || suspendedUntilMs > state.nowMs) continue;
    workers.push(worker);
    cpuMilli += info.cpuMilli;
    maxIdleMilli = Math.max(maxIdleMilli, info.cpuMilli - worker.usedCpuMilli);
  }
  return { state, workers, cpuMilli, maxIdleMilli, releases: null };
}

/** The queued tasks of some jobs. */
export interface QueuedLoad {
  cpuMilli: number;
  /** CPU times expected run time. */
  workMilliMs: number;
}

/**
 * Returns how long tasks that need `neededMilli` together, those before them
 * included, are expected to wait: until running tasks have left room for them, and
 * at least as long as the tasks before them occupy all workers.
 */
export function waitBehindMs(
  capacity: ServiceCapacity,
  { workMilliMs }: Pick<QueuedLoad, "workMilliMs">,
  room: { neededMilli: number; taskMilli: number },
): number {
  return Math.max(
    workMilliMs / capacity.cpuMilli,
    roomAfterMs(capacity, room),
  );
}

/**
 * Returns the time after which the workers are expected to have room for tasks
 * of one size that need `neededMilli` together. If that is more than what all
 * running tasks occupy, the time until the last of these ends.
 */
export function roomAfterMs(
  capacity: ServiceCapacity,
  { neededMilli, taskMilli }: { neededMilli: number; taskMilli: number },
): number {
  const idleMilli = idlePlacesMilli(capacity, { neededMilli, taskMilli });
  if (idleMilli >= neededMilli) return 0;
  const releases = releasesOf(capacity);
  let low = 0;
  let high = releases.length - 1;
  while (low < high) {
    const middle = (low + high) >> 1;
    const totalMilli = releases[middle]?.totalMilli ?? 0;
    if (idleMilli + totalMilli >= neededMilli) high = middle;
    else low = middle + 1;
  }
  return releases[low]?.afterMs ?? 0;
}

/**
 * Returns the CPU of the places for tasks of one size that are idle now, at most
 * until that is enough. Near overload, no worker has a place, which is known here
 * without a look at each of them for each job.
 */
function idlePlacesMilli(
  { workers, maxIdleMilli }: ServiceCapacity,
  { neededMilli, taskMilli }: { neededMilli: number; taskMilli: number },
): number {
  let roomMilli = 0;
  if (maxIdleMilli < taskMilli) return roomMilli;
  for (const { info, usedCpuMilli } of workers) {
    // What is left over beside whole tasks is of no use.
    const places = Math.floor((info.cpuMilli - usedCpuMilli) / taskMilli);
    roomMilli += Math.max(0, places) * taskMilli;
    if (roomMilli >= neededMilli) break;
  }
  return roomMilli;
}

/** Returns the ends of all running tasks, the earliest first. */
function releasesOf(capacity: ServiceCapacity): Release[] {
  if (capacity.releases !== null) return capacity.releases;
  const ends: { readonly afterMs: number; readonly cpuMilli: number }[] = [];
  for (const worker of capacity.workers) {
    for (const run of worker.runs.values()) {
      ends.push({
        afterMs: remainingMs(capacity.state, worker, run),
        cpuMilli: run.cpuMilli,
      });
    }
  }
  ends.sort((a, b) => a.afterMs - b.afterMs);
  let totalMilli = 0;
  capacity.releases = ends.map(({ afterMs, cpuMilli }) => {
    totalMilli += cpuMilli;
    return { afterMs, totalMilli };
  });
  return capacity.releases;
}
