/**
 * The share of the jobs of a zone that its leader hands over as they arrive. Load:
 * callers that bring one zone more work than the others have, for seconds. A cell
 * that hands over only jobs which would wait too long has all its workers occupied
 * all the time, and the jobs that it keeps end late.
 */

import type { UsualRate } from "./zone_types.ts";

/** Time over which rates of work and uses of capacity are averaged. */
const AVERAGE_MS = 1_000;
/** Load from which on work is handed over as it arrives: more than the workers do. */
const MIN_OWN_LOAD = 1;
/**
 * Load that a cell keeps if all cells together have less. Traffic between zones is
 * charged for, and jobs seldom wait below this load.
 */
const KEPT_LOAD = 0.75;
/** Least difference of that load from the load of all cells. */
const MIN_EXCESS = 0.1;

/** Creates an average before its first value. */
export function createUsualRate(value: number, nowMs: number): UsualRate {
  return { value, updatedAtMs: nowMs };
}

/** Returns the average at a time, without further work since its last update. */
export function rateAt({ value, updatedAtMs }: UsualRate, nowMs: number) {
  return value * Math.exp((updatedAtMs - nowMs) / AVERAGE_MS);
}

/** Adds work, in CPU times milliseconds, to a rate of work. */
export function addWork(
  rate: UsualRate,
  workMilliMs: number,
  nowMs: number,
): void {
  rate.value = rateAt(rate, nowMs) + workMilliMs / AVERAGE_MS;
  rate.updatedAtMs = nowMs;
}

/** Updates an average with a present value. */
export function addValue(
  average: UsualRate,
  value: number,
  nowMs: number,
): void {
  const known = Math.exp((average.updatedAtMs - nowMs) / AVERAGE_MS);
  average.value = known * average.value + (1 - known) * value;
  average.updatedAtMs = nowMs;
}

/** The load of another cell. */
export interface OtherLoad {
  readonly capacityMilli: number;
  /** CPU that is usually in use there. */
  readonly usedMilli: number;
  /** CPU that the work needs which this cell usually hands over to it. */
  readonly sentMilli: number;
}

/**
 * Returns the share of the arriving work to hand over, so that this cell has the
 * load of all cells, and at least `KEPT_LOAD`; 0 unless it has clearly more.
 *
 * @example
 * ```ts
 * const others = [{ capacityMilli: 100, usedMilli: 0, sentMilli: 0 }];
 * shareToHandOver({ capacityMilli: 100, offeredMilli: 150 }, others); // 0.5
 * ```
 */
export function shareToHandOver(
  { capacityMilli, offeredMilli }: {
    capacityMilli: number;
    offeredMilli: number;
  },
  others: readonly OtherLoad[],
): number {
  if (capacityMilli === 0 || offeredMilli === 0) return 0;
  let workMilli = offeredMilli;
  let allMilli = capacityMilli;
  for (const other of others) {
    workMilli += Math.max(0, other.usedMilli - other.sentMilli);
    allMilli += other.capacityMilli;
  }
  const ownLoad = offeredMilli / capacityMilli;
  const meanLoad = workMilli / allMilli;
  if (ownLoad < Math.max(MIN_OWN_LOAD, meanLoad + MIN_EXCESS)) return 0;
  return 1 - Math.max(KEPT_LOAD, meanLoad) / ownLoad;
}
