/** Types of the decisions for load beyond the capacity of the workers. */

import type { RecentQuantiles } from "../recent_quantiles.ts";

/**
 * How a leader orders and refuses the jobs of a service: `objective` by their
 * latency objectives alone, `cost` also by what delays and refusals cost callers.
 */
export type OverloadPolicyName = "objective" | "cost";

/** Times for which the callers of each queue's latest jobs wait in all. */
export type CallerTimes = Map<string, RecentQuantiles>;

/** What a leader remembers of its overload decisions. */
export interface OverloadState {
  /** The policy of each service at the latest check, for the log. */
  readonly policyByService: Map<string, OverloadPolicyName>;
}

/** Refusals by a leader for one reason, of queues of one priority. */
export interface RefusalCount {
  readonly reason: string;
  readonly priority: number;
  count: number;
}
