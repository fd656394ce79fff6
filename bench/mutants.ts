/** Versions of the guards without their check, a promise each. */

import type { Guards } from "../src/core/guards.ts";

/** A mutant: which promise it breaks, and how. */
export interface Mutant {
  readonly promise: string;
  readonly guards: Partial<Guards>;
}

/** Every mutant by name. */
export const mutants: Record<string, Mutant> = {
  startWithOneGrant: {
    promise: "no task starts twice",
    guards: {
      mayStart: (owner, witness) =>
        owner.verdict === "granted" || witness.verdict === "granted",
    },
  },
  grantBeyondFormation: {
    promise: "no task starts twice",
    guards: { mayGrant: () => true, remembers: () => true },
  },
  answerHalf: {
    promise: "an answer is complete or failed",
    guards: { isWhole: (job) => job.unfinished <= 1 },
  },
  acceptCrossedAnswers: {
    promise: "each caller gets its own answer",
    guards: { answerMatches: () => true },
  },
  acceptOtherPayload: {
    promise: "each caller gets its own answer",
    guards: { samePayload: () => true },
  },
  claimNotRun: {
    promise: "refused as not run is not run",
    guards: { isProvablyNotRun: () => true },
  },
  retryUnknown: {
    promise: "non-idempotent requests run at most once",
    guards: { mayRetry: (outcome) => outcome.kind !== "done" },
  },
  useLeavingUpstreams: {
    promise: "a leaving upstream receives no new work",
    guards: { mayReceiveWork: () => true },
  },
  stopEarly: {
    promise: "a planned stop cuts off nothing",
    guards: { mayStop: () => true },
  },
  adoptAnyVersion: {
    promise: "a configuration never reverts",
    guards: { isNewer: () => true },
  },
};
