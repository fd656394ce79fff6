/** Finds tasks that ran twice at the same time, which the rule TWICE forbids. */

import type { RunRecord } from "../standins/run_records.ts";

/** Two runs of one task of which the second started before the first ended. */
export interface RunPair {
  readonly first: RunRecord;
  readonly second: RunRecord;
  /** How long both went on; `Infinity` if neither has ended. */
  readonly overlapMs: number;
}

/** Compares by start time. */
function byStart(a: RunRecord, b: RunRecord): number {
  return a.startedAtMs - b.startedAtMs;
}

/**
 * Returns all pairs of runs of one task that went on at the same time. A run
 * whose worker went down has ended then, so it forms no pair with later ones.
 */
export function findRunPairs(records: readonly RunRecord[]): RunPair[] {
  const runsByTask = new Map<string, RunRecord[]>();
  for (const record of records) {
    const runs = runsByTask.get(record.taskName);
    if (runs === undefined) runsByTask.set(record.taskName, [record]);
    else runs.push(record);
  }
  const pairs: RunPair[] = [];
  for (const runs of runsByTask.values()) {
    const sorted = runs.toSorted(byStart);
    for (const [index, first] of sorted.entries()) {
      const firstEndMs = first.endedAtMs ?? Infinity;
      for (const second of sorted.slice(index + 1)) {
        if (second.startedAtMs >= firstEndMs) break;
        const endMs = Math.min(firstEndMs, second.endedAtMs ?? Infinity);
        const overlapMs = endMs - second.startedAtMs;
        if (overlapMs > 0) pairs.push({ first, second, overlapMs });
      }
    }
  }
  return pairs;
}

/**
 * Returns the runs that started while their worker had as many runs as fit. A
 * run that is being stopped counts until it has ended.
 */
export function findOverloads(
  records: readonly RunRecord[],
  { maxRuns }: { maxRuns: number },
): RunRecord[] {
  return records.filter(({ workerId, startedAtMs }) => {
    const count = records.filter((other) =>
      other.workerId === workerId && other.startedAtMs <= startedAtMs &&
      (other.endedAtMs ?? Infinity) > startedAtMs
    ).length;
    return count > maxRuns;
  });
}
