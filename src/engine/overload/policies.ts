/**
 * The policies by which a leader decides what is delayed and what is refused when
 * the workers of a service can't do all its work in time. Load: bursts of several
 * kinds that overlap, and load above the capacity for seconds.
 */

import type { Configuration, QueueRule } from "../schemas.ts";
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
  /**
   * Whether a job that waits for leases of an unknown leader is refused as
   * `noWorker`, with their end as its retry delay.
   */
  readonly namesLeases: boolean;
  /** Whether jobs of returning callers are served last; see `returning_callers.ts`. */
  readonly defersReturningCallers: boolean;
  /** Whether few jobs of less urgent queues may be partly started at a time. */
  readonly limitsPartlyStarted: boolean;
  /**
   * Returns the wait that is planned for a job when it arrives, from the expected
   * wait.
   */
  readonly plannedWaitMs: (
    state: EngineState,
    job: Job,
    waitMs: number,
  ) => number;
  /** Returns the time that is set aside for the run of a job on admission. */
  readonly plannedRunMs: (job: Job) => number;
}

/**
 * Part of the slack that a queue's objective leaves beyond the expected run time
 * that is kept for runs that take longer than expected: those on slower workers,
 * the longest of many tasks, and wrong declared times.
 */
const RESERVED_SLACK_SHARE = 1 / 4;

/**
 * Factor by which the expected wait of a new job of the least urgent queue is
 * multiplied: more urgent jobs that arrive while it waits go before it. It leaves
 * a job half of its slack for them, so that fewer jobs wait and are refused later.
 * What other queues were refused early would go to less urgent ones.
 */
const LEAST_URGENT_WAIT_FACTOR = 2;

/** The policies by name. */
export const overloadPolicies: Record<OverloadPolicyName, OverloadPolicy> = {
  objective: {
    finishesStartedFirst: false,
    checksSuitability: false,
    namesLeases: false,
    defersReturningCallers: false,
    limitsPartlyStarted: false,
    plannedWaitMs: (_state, _job, waitMs) => waitMs,
    plannedRunMs: ({ criticalPathMs }) => criticalPathMs,
  },
  cost: {
    finishesStartedFirst: true,
    checksSuitability: true,
    namesLeases: true,
    defersReturningCallers: true,
    limitsPartlyStarted: true,
    plannedWaitMs: (state, { queue }, waitMs) =>
      isLeastUrgent(state, queue) ? LEAST_URGENT_WAIT_FACTOR * waitMs : waitMs,
    plannedRunMs({ criticalPathMs, queue }) {
      const slackShare = Math.max(0, queue.stretch - 1);
      return criticalPathMs * (1 + RESERVED_SLACK_SHARE * slackShare);
    },
  },
};

/** The priorities of the queues of a service. */
interface ServicePriorities {
  /** The lowest value, which comes first. */
  mostUrgent: number;
  leastUrgent: number;
}

/** The priorities by service, computed once for a configuration. */
const knownPriorities = new WeakMap<
  Configuration,
  ReadonlyMap<string, ServicePriorities>
>();

function prioritiesOf(
  configuration: Configuration,
): ReadonlyMap<string, ServicePriorities> {
  const known = knownPriorities.get(configuration);
  if (known !== undefined) return known;
  const priorities = new Map<string, ServicePriorities>();
  for (const { service, priority } of configuration.queues) {
    const range = priorities.get(service);
    if (range === undefined) {
      priorities.set(service, { mostUrgent: priority, leastUrgent: priority });
      continue;
    }
    range.mostUrgent = Math.min(range.mostUrgent, priority);
    range.leastUrgent = Math.max(range.leastUrgent, priority);
  }
  knownPriorities.set(configuration, priorities);
  return priorities;
}

/** Whether no queue of the service comes before the given one. */
export function isMostUrgent(
  { configuration }: EngineState,
  { service, priority }: QueueRule,
): boolean {
  if (configuration === null) return true;
  const range = prioritiesOf(configuration).get(service);
  return range === undefined || priority <= range.mostUrgent;
}

/** Whether no queue of the service comes after the given one. */
function isLeastUrgent(
  { configuration }: EngineState,
  { service, priority }: QueueRule,
): boolean {
  if (configuration === null) return true;
  const range = prioritiesOf(configuration).get(service);
  return range === undefined || priority >= range.leastUrgent;
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
  const range = prioritiesOf(configuration).get(service);
  const isContended = range !== undefined &&
    range.mostUrgent !== range.leastUrgent;
  return isContended ? "cost" : "objective";
}

/**
 * Returns the policy by which a job may be refused. One that has a record, or that
 * a previous leader may have started, is refused only where it would be by its
 * objective: the leader of another zone might start it while runs go on.
 */
export function refusalPolicyOf(
  state: EngineState,
  { record, mayHaveStarted, previousRunsExpireAtMs, queue }: Job,
): OverloadPolicy {
  const mayHaveRuns = mayHaveStarted || state.nowMs < previousRunsExpireAtMs;
  if (record !== null || mayHaveRuns) return overloadPolicies.objective;
  return overloadPolicyOf(state, queue.service);
}

/** Returns the policy for a service. */
export function overloadPolicyOf(
  state: EngineState,
  service: string,
): OverloadPolicy {
  return overloadPolicies[overloadPolicyName(state, service)];
}
