/**
 * Queues of which tasks seem to crash workers. Their tasks are kept on workers
 * apart from those of other queues where there is room, so that a crash loses
 * few runs of others. Once they have taken down a large share of a service's
 * workers, none of them starts until some workers are back.
 */

import type {
  EngineState,
  Job,
  OwnedWorker,
  Scheduler,
  WorkerRun,
} from "./types.ts";

/** Number of crashes within `MEMORY_MS` that make a queue suspected. */
const SUSPICION_CRASHES = 3;
/** Time after which a crash no longer counts against a queue. */
const MEMORY_MS = 10_000;
/**
 * Share of a service's workers that the crashes of a suspected queue may take
 * down before its tasks are held back.
 */
const MAX_DOWN_SHARE = 1 / 3;

/** Returns the only queue of the suspected runs of a crash; null if none is. */
export function blamedQueue(runs: readonly WorkerRun[]): string | null {
  const names = new Set<string>();
  for (const { isSuspect, job } of runs) {
    if (isSuspect && job !== null) names.add(job.queue.name);
  }
  const [name] = names;
  return names.size === 1 && name !== undefined ? name : null;
}

/** Counts a crash against a queue. */
export function blameQueue(
  { nowMs }: EngineState,
  { queueCrashesAtMs }: Scheduler,
  queueName: string,
): void {
  const recent = (queueCrashesAtMs.get(queueName) ?? [])
    .filter((atMs) => nowMs - atMs < MEMORY_MS);
  queueCrashesAtMs.set(queueName, [...recent, nowMs]);
}

/** Forgets the queues whose latest crash no longer counts. */
export function forgetOldCrashes(
  { nowMs }: EngineState,
  { queueCrashesAtMs }: Scheduler,
): void {
  for (const [name, crashesAtMs] of queueCrashesAtMs) {
    const latestMs = crashesAtMs.at(-1) ?? 0;
    if (nowMs - latestMs >= MEMORY_MS) queueCrashesAtMs.delete(name);
  }
}

/** Whether the tasks of a queue seem to crash workers. */
export function isSuspectedQueue(
  { nowMs, scheduler }: EngineState,
  queueName: string,
): boolean {
  const crashesAtMs = scheduler?.queueCrashesAtMs.get(queueName) ?? [];
  const decisive = crashesAtMs.at(-SUSPICION_CRASHES);
  return decisive !== undefined && nowMs - decisive < MEMORY_MS;
}

/**
 * Whether a worker has runs that tasks of a queue should be kept apart from:
 * those of suspected queues for other queues, and the reverse.
 */
export function isMixed(
  state: EngineState,
  { runs }: OwnedWorker,
  isSuspected: boolean,
): boolean {
  if (state.scheduler?.queueCrashesAtMs.size === 0) return false;
  for (const { job } of runs.values()) {
    if (job === null) continue;
    if (isSuspectedQueue(state, job.queue.name) !== isSuspected) return true;
  }
  return false;
}

/**
 * Whether no task of a job may start, since its queue is suspected and too many
 * workers of the service are down after its crashes.
 */
export function isHeldBack(
  state: EngineState,
  { queue: { name, service } }: Job,
): boolean {
  if (state.scheduler === null || !isSuspectedQueue(state, name)) return false;
  let all = 0;
  let down = 0;
  for (const { info, crash } of state.scheduler.workers.values()) {
    if (info.service !== service) continue;
    all += 1;
    if (crash?.queueName === name) down += 1;
  }
  return down > all * MAX_DOWN_SHARE;
}
