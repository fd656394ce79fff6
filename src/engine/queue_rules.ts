/**
 * The newest rule of each queue that this instance knows. A submission names the
 * rule that its entry knew, and entries apply a new configuration at different
 * times; without a common rule a leader would go back and forth between two.
 *
 * A configuration without queues leaves the rules to the submissions.
 */

import { isSameRule, queuesByName } from "./configuration_changes.ts";
import { dequeue, enqueue } from "./queue.ts";
import type { Configuration, QueueRule } from "./schemas.ts";
import type { EngineState, Job, QueueRules } from "./types.ts";

/** Time for which dropped queues are remembered. */
const DROPPED_RETENTION_MS = 60_000;

/** Creates the rules of an instance that knows no configuration. */
export function createQueueRules(): QueueRules {
  return {
    byName: new Map(),
    droppedAtMs: new Map(),
    newer: new Map(),
    knownSinceMs: Infinity,
  };
}

/** A queue as an entry has told it. */
export interface ToldRule {
  readonly queue: QueueRule;
  /** Version of the configuration that it is from; -1 if it is not told. */
  readonly configurationVersion: number;
}

/**
 * Returns the rule that this instance knows for a queue; null if a configuration
 * has dropped it.
 */
export function knownRule(
  { configuration, queueRules }: EngineState,
  queue: QueueRule,
): QueueRule | null {
  if (configuration === null || configuration.queues.length === 0) return queue;
  const { byName, newer } = queueRules;
  return newer.get(queue.name)?.queue ?? byName.get(queue.name) ?? null;
}

/**
 * Returns the newest known rule of a queue that an entry has told; null if a
 * newer configuration has dropped the queue.
 *
 * @example
 * ```ts
 * const queue = newestRule(state, message) ?? message.queue;
 * ```
 */
export function newestRule(
  state: EngineState,
  { queue, configurationVersion }: ToldRule,
): QueueRule | null {
  const { configuration, queueRules, guards } = state;
  if (configurationVersion < 0) return queue;
  const knownVersion = queueRules.newer.get(queue.name)?.configurationVersion ??
    configuration?.version ?? -1;
  return guards.hasOwnRule(knownVersion, configurationVersion)
    ? knownRule(state, queue)
    : queue;
}

/** Remembers a rule that is newer than those known here. */
export function learnRule(
  { configuration, queueRules }: EngineState,
  { queue, configurationVersion }: ToldRule,
): void {
  if (configuration === null || configuration.queues.length === 0) return;
  if (configurationVersion <= configuration.version) return;
  const known = queueRules.newer.get(queue.name);
  if ((known?.configurationVersion ?? -1) >= configurationVersion) return;
  queueRules.newer.set(queue.name, { queue, configurationVersion });
}

/**
 * Whether a request came when its queue was already known to be dropped. One
 * that came before is served by the rule that it came with.
 */
export function cameAfterDrop(
  state: EngineState,
  told: ToldRule,
  receivedAtMs: number,
): boolean {
  if (newestRule(state, told) !== null) return false;
  const { droppedAtMs, knownSinceMs } = state.queueRules;
  return receivedAtMs > (droppedAtMs.get(told.queue.name) ?? knownSinceMs);
}

/**
 * Updates the rules for a configuration that takes effect, and those of the jobs
 * at this leader. A job whose queue is dropped keeps its rule.
 */
export function updateQueueRules(
  state: EngineState,
  { queues, version }: Configuration,
): void {
  const { queueRules: rules, nowMs } = state;
  rules.knownSinceMs = Math.min(rules.knownSinceMs, nowMs);
  const byName = queuesByName(queues);
  for (const name of rules.byName.keys()) {
    if (!byName.has(name)) rules.droppedAtMs.set(name, nowMs);
  }
  for (const [name, droppedAtMs] of rules.droppedAtMs) {
    if (byName.has(name) || nowMs - droppedAtMs > DROPPED_RETENTION_MS) {
      rules.droppedAtMs.delete(name);
    }
  }
  for (const [name, { configurationVersion }] of rules.newer) {
    if (configurationVersion <= version) rules.newer.delete(name);
  }
  rules.byName = byName;
  for (const job of state.scheduler?.jobs.values() ?? []) {
    const rule = byName.get(job.queue.name);
    if (rule !== undefined && job.outcome === null) setRule(state, job, rule);
  }
}

/** Gives a job another rule, which may place it elsewhere in the queues. */
function setRule(state: EngineState, job: Job, rule: QueueRule): void {
  const { scheduler } = state;
  if (scheduler === null || isSameRule(job.queue, rule)) return;
  const wasWaiting = dequeue(scheduler, job);
  job.queue = rule;
  if (wasWaiting) enqueue(state, job);
}
