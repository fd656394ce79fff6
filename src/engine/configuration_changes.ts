/**
 * Changes between versions of the configuration. Instances tell each other what
 * a version changed rather than the whole configuration, which can be large.
 */

import type {
  Configuration,
  ConfigurationChange,
  QueueRule,
} from "./schemas.ts";

/** Number of changes that are kept for peers that are several versions behind. */
const MAX_CHANGES = 16;
/** Number of queues that all of them together may name. */
const MAX_CHANGED_QUEUES = 2_000;

/**
 * Returns what turns one configuration into a later one.
 *
 * @example
 * ```ts
 * applyChange(before, changeBetween(before, after)); // equals `after`
 * ```
 */
export function changeBetween(
  before: Configuration,
  after: Configuration,
): ConfigurationChange {
  const known = queuesByName(before.queues);
  const changedQueues: QueueRule[] = [];
  for (const queue of after.queues) {
    const earlier = known.get(queue.name);
    known.delete(queue.name);
    if (earlier !== undefined && isSameRule(earlier, queue)) continue;
    changedQueues.push(queue);
  }
  const { queues, ...rest } = after;
  return {
    ...rest,
    baseVersion: before.version,
    changedQueues,
    droppedQueues: [...known.keys()],
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

/**
 * Adds the latest change to the recent ones, of which the oldest are dropped if
 * there are too many, or they name too many queues.
 */
export function keepChange(
  changes: readonly ConfigurationChange[],
  change: ConfigurationChange,
): ConfigurationChange[] {
  const kept = [...changes, change].slice(-MAX_CHANGES);
  let count = 0;
  for (const { changedQueues, droppedQueues } of kept) {
    count += changedQueues.length + droppedQueues.length;
  }
  while (kept.length > 1 && count > MAX_CHANGED_QUEUES) {
    const { changedQueues = [], droppedQueues = [] } = kept.shift() ?? {};
    count -= changedQueues.length + droppedQueues.length;
  }
  return kept;
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

/** Returns the queues by their names. */
export function queuesByName(
  queues: readonly QueueRule[],
): Map<string, QueueRule> {
  return new Map(queues.map((queue) => [queue.name, queue]));
}
