/** What operators are told of overload decisions: counts and log lines. */

import { logDecision } from "../effects.ts";
import { hasStarted } from "../job_state.ts";
import type {
  EngineState,
  Job,
  JobOutcome,
  ReduceContext,
  Scheduler,
} from "../types.ts";
import { overloadPolicyName } from "./policies.ts";

/** Maximum number of pairs of reason and priority that are counted. */
const MAX_REFUSAL_COUNTS = 64;

/** Counts the refusal of a job by this leader. */
export function countRefusal(
  { refusals }: EngineState,
  { queue: { priority } }: Job,
  { reason }: Extract<JobOutcome, { kind: "refused" }>,
): void {
  const key = `${reason} ${priority}`;
  const known = refusals.get(key);
  if (known !== undefined) known.count += 1;
  else if (refusals.size < MAX_REFUSAL_COUNTS) {
    refusals.set(key, { reason, priority, count: 1 });
  }
}

/** Returns the number of jobs that have started and have tasks that wait. */
export function partlyStartedCount({ waiting }: Scheduler): number {
  let count = 0;
  for (const jobs of waiting.values()) {
    for (const job of jobs) {
      if (job.outcome === null && hasStarted(job)) count += 1;
    }
  }
  return count;
}

/** Logs each change of the policy of a service. */
export function logPolicyChanges(
  context: ReduceContext,
  { overload }: Scheduler,
): void {
  const { state } = context;
  for (const { name: service } of state.configuration?.services ?? []) {
    const policy = overloadPolicyName(state, service);
    const before = overload.policyByService.get(service) ?? "objective";
    if (policy === before) continue;
    overload.policyByService.set(service, policy);
    logDecision(context, {
      part: "admit",
      text: "overload policy of a service changed",
    }, { service, policy });
  }
}
