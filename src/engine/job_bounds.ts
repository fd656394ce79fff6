/**
 * Bounds of what one job may ask for. They hold at every boundary that a job
 * crosses: submissions of callers, messages of peers and records in the store.
 */

/** The largest value of each quantity; a larger one can't be served. */
export const jobBounds = {
  /**
   * Tasks of all steps together. A leader keeps every task of an unfinished job
   * in memory, and must have room for several such jobs.
   */
  tasks: 65_536,
  /** Steps, which also bound a task's list of earlier steps. */
  steps: 1_024,
  /**
   * Resources of one task, above those of any worker. Sums over all tasks that a
   * leader keeps stay finite and, for whole numbers, exact.
   */
  cpuMilli: 1e9,
  memoryMb: 1e9,
  accelerators: 1e6,
  /** Declared run time of a task: one day. */
  estimatedMs: 86_400_000,
  /** Length of a label, in UTF-16 code units. */
  labelLength: 1_024,
} as const;

/**
 * Whether the steps of a job have no more tasks together than the bound.
 *
 * @example
 * ```ts
 * hasBoundedTasks([{ count: 170 }]); // true
 * hasBoundedTasks([{ count: 65_536 }, { count: 1 }]); // false
 * ```
 */
export function hasBoundedTasks(
  steps: readonly { readonly count: number }[],
): boolean {
  return steps.reduce((sum, { count }) => sum + count, 0) <= jobBounds.tasks;
}
