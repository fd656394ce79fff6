/**
 * The policies by which a leader decides what is delayed and what is refused when
 * the workers of a service can't do all its work in time. Load: bursts of several
 * kinds that overlap, and load above the capacity for seconds.
 */

import type { Configuration } from "../schemas.ts";
import type { EngineState, Job } from "../types.ts";
import type { OverloadPolicyName } from "./types.ts";

/** The decisions in which the policies differ. */
export interface OverloadPolicy {
  /**
   * Whether a job with started tasks comes before the others of its priority, so
   * that the capacity that it holds is not wasted on a late end.
   */
  readonly finishesStartedFirst: boolean;
  /**
   * Whether a job in memory that no worker of the cell could run, even if it were
   * idle, is refused at once, and one that no usable worker could run is refused
   * for that reason.
   */
  readonly checksSuitability: boolean;
  /** Whether jobs of callers that come again give way; see `returning_callers.ts`. */
  readonly defersReturningCallers: boolean;
  /** Whether few jobs of less urgent queues may be partly started at a time. */
  readonly limitsPartlyStarted: boolean;
  /** Returns the time that is set aside for the run of a job on admission. */
  readonly plannedRunMs: (job: Job) => number;
}

/**
 * Part of the slack that a queue's objective leaves beyond the expected run time
 * that is kept for runs that take longer than expected: those on slower workers,
 * the longest of many tasks, and wrong declared times.
 */
const RESERVED_SLACK_SHARE = 1 / 4;

/** The policies by name. */
export const overloadPolicies: Record<OverloadPolicyName, OverloadPolicy> = {
  objective: {
    finishesStartedFirst: false,
    checksSuitability: false,
    defersReturningCallers: false,
    limitsPartlyStarted: false,
    plannedRunMs: ({ criticalPathMs }) => criticalPathMs,
  },
  cost: {
    finishesStartedFirst: true,
    checksSuitability: true,
    defersReturningCallers: true,
    limitsPartlyStarted: true,
    plannedRunMs({ criticalPathMs, queue, record }) {
      // A recorded job is refused only where it would be by its objective.
      if (record !== null) return criticalPathMs;
      const slackShare = Math.max(0, queue.stretch - 1);
      return criticalPathMs * (1 + RESERVED_SLACK_SHARE * slackShare);
    },
  },
};

/** Services of a configuration whose queues have different priorities. */
const contendedServices = new WeakMap<Configuration, ReadonlySet<string>>();

function contendedServicesOf(
  configuration: Configuration,
): ReadonlySet<string> {
  const known = contendedServices.get(configuration);
  if (known !== undefined) return known;
  const priorityOf = new Map<string, number>();
  const contended = new Set<string>();
  for (const { service, priority } of configuration.queues) {
    const other = priorityOf.get(service);
    if (other !== undefined && other !== priority) contended.add(service);
    priorityOf.set(service, priority);
  }
  contendedServices.set(configuration, contended);
  return contended;
}

/**
 * Returns the name of the policy for a service. A fleet in a single cell, and a
 * service whose queues are all of one priority, keep the order by objective.
 */
export function overloadPolicyName(
  { hasZoneCells, configuration }: EngineState,
  service: string,
): OverloadPolicyName {
  if (!hasZoneCells || configuration === null) return "objective";
  return contendedServicesOf(configuration).has(service) ? "cost" : "objective";
}

/** Returns the policy for a service. */
export function overloadPolicyOf(
  state: EngineState,
  service: string,
): OverloadPolicy {
  return overloadPolicies[overloadPolicyName(state, service)];
}
