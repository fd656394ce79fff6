/**
 * Changes between versions of the configuration. Instances tell each other what
 * a version changed rather than the whole configuration, which can be large.
 */

import type {
  Configuration,
  ConfigurationChange,
  QueueRule,
} from "./schemas.ts";

/** Number of queues that one change may add, replace or drop. */
const MAX_CHANGED_QUEUES = 64;
/** Number of changes that are kept for peers that are several versions behind. */
const MAX_CHANGES = 16;

/**
 * Returns what turns one configuration into a later one, or null if it changes
 * more than `MAX_CHANGED_QUEUES` queues.
 *
 * @example
 * ```ts
 * const change = changeBetween(before, after);
 * if (change !== null) applyChange(before, change); // equals `after`
 * ```
 */
export function changeBetween(
  before: Configuration,
  after: Configuration,
): ConfigurationChange | null {
  const known = queuesByName(before.queues);
  const changedQueues: QueueRule[] = [];
  for (const queue of after.queues) {
    const earlier = known.get(queue.name);
    known.delete(queue.name);
    if (earlier !== undefined && isSameRule(earlier, queue)) continue;
    changedQueues.push(queue);
  }
  const droppedQueues = [...known.keys()];
  if (changedQueues.length + droppedQueues.length > MAX_CHANGED_QUEUES) {
    return null;
  }
  const { queues, ...rest } = after;
  return {
    ...rest,
    baseVersion: before.version,
    changedQueues,
    droppedQueues,
    queueCount: queues.length,
  };
}

/**
 * Returns the configuration to which a change leads, or null if the change is
 * one of another version or its result has not the number of queues that it
 * tells.
 */
export function applyChange(
  configuration: Configuration,
  change: ConfigurationChange,
): Configuration | null {
  const { baseVersion, changedQueues, droppedQueues, queueCount, ...rest } =
    change;
  if (configuration.version !== baseVersion) return null;
  const byName = queuesByName(configuration.queues);
  for (const name of droppedQueues) byName.delete(name);
  for (const queue of changedQueues) byName.set(queue.name, queue);
  const queues = [...byName.values()];
  return queues.length === queueCount ? { ...rest, queues } : null;
}

/** Adds the latest change to the recent ones; null if it is too large to keep. */
export function keepChange(
  changes: readonly ConfigurationChange[],
  change: ConfigurationChange | null,
): ConfigurationChange[] {
  return change === null ? [] : [...changes, change].slice(-MAX_CHANGES);
}

/**
 * Returns the recent changes from a version on; empty if they don't go back to
 * it.
 */
export function changesSince(
  changes: readonly ConfigurationChange[],
  version: number,
): readonly ConfigurationChange[] {
  const first = changes.findIndex(({ baseVersion }) => baseVersion === version);
  return first < 0 ? [] : changes.slice(first);
}

/** Whether two rules of a queue say the same. */
export function isSameRule(a: QueueRule, b: QueueRule): boolean {
  if (a === b) return true;
  const names = Object.keys(a) as (keyof QueueRule)[];
  return names.length === Object.keys(b).length &&
    names.every((name) => a[name] === b[name]);
}

function queuesByName(queues: readonly QueueRule[]): Map<string, QueueRule> {
  return new Map(queues.map((queue) => [queue.name, queue]));
}
