/**
 * Callers that come again after their entry was lost. They wait only for what is
 * left of their time, so their jobs can't meet the objective any more, which
 * counts from the first attempt. Load: all instances have lost power, and the
 * callers of more than a second come again beside the new ones.
 */

import { createRecentQuantiles } from "../recent_quantiles.ts";
import type { EngineState, Job, Scheduler } from "../types.ts";
import { overloadPolicyOf } from "./policies.ts";

/** Number of jobs of a queue from which on the usual time is known. */
const MIN_JOBS = 20;
/**
 * Share of the usual time below which a caller is taken to have waited before.
 * The times of first attempts differ by a quarter, those of callers that come
 * again are shorter by more than a second of two.
 */
const RETURNING_SHARE = 0.5;
/** Maximum number of queues whose times are kept. */
const MAX_QUEUES = 10_000;

/**
 * Returns for how long a caller is presumed to have waited before this attempt,
 * 0 if its time is not unusual, and counts it.
 */
export function presumedWaitMs(
  state: EngineState,
  { callerTimes }: Scheduler,
  { queueName, service, callerMs }: {
    queueName: string;
    service: string;
    /** For how long the caller waits from this attempt on. */
    callerMs: number;
  },
): number {
  if (!overloadPolicyOf(state, service).defersReturningCallers) return 0;
  let times = callerTimes.get(queueName);
  if (times === undefined) {
    if (callerTimes.size >= MAX_QUEUES) return 0;
    times = createRecentQuantiles();
    callerTimes.set(queueName, times);
  }
  const usualMs = times.count() < MIN_JOBS ? 0 : times.at(50);
  times.observe(callerMs);
  return callerMs < RETURNING_SHARE * usualMs ? usualMs - callerMs : 0;
}

/**
 * Returns the latest time at which a job of a returning caller may end, or null
 * if its objective decides as for any other. Where there is room at once, a late
 * answer costs nobody anything; else its workers serve callers who can still get
 * their answers in time.
 */
export function returningLimitAtMs(
  { isReturning, deadlineAtMs }: Job,
  waitMs: number,
): number | null {
  if (!isReturning) return null;
  return waitMs === 0 ? deadlineAtMs : -Infinity;
}
