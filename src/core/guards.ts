/**
 * The decisions that each promise rests on, as one lookup table. A randomised
 * run swaps one entry for a version without its check, to show that the run
 * would notice.
 */

import type { PeerMessageOf } from "./schemas.ts";
import type { Job, SendOutcome, Task, Upstream } from "./types.ts";
import { sameInstance } from "./utilities.ts";

/** The reply of one registrar to a claim. */
export type ClaimReply = PeerMessageOf<"claimReply">;

/** Decisions with a promise behind each. */
export interface Guards {
  /** Whether both registrars granted, each to the other's knowledge. */
  readonly mayStart: (owner: ClaimReply, witness: ClaimReply) => boolean;
  /** Whether a registrar that remembers no claim may grant this one. */
  readonly mayGrant: (firstPossibleMs: number, formedAtMs: number) => boolean;
  /** Whether a registrar's memory reaches back to a key's oldest moment. */
  readonly remembers: (firstPossibleMs: number, sinceMs: number) => boolean;
  /** Whether a repeated key brings the same request. */
  readonly samePayload: (recorded: string, offered: string) => boolean;
  /** Whether a task may be sent again after this outcome. */
  readonly mayRetry: (outcome: SendOutcome) => boolean;
  /** Whether an upstream's answer belongs to this task. */
  readonly answerMatches: (answeredTaskId: string, task: Task) => boolean;
  /** Whether every task of the job has its result. */
  readonly isWhole: (job: Job) => boolean;
  /** Whether it is certain that nothing of the job was started. */
  readonly isProvablyNotRun: (job: Job) => boolean;
  /** Whether an upstream may receive new work. */
  readonly mayReceiveWork: (upstream: Upstream) => boolean;
  /** Whether an instance that was asked to stop may stop now. */
  readonly mayStop: (jobs: number, sends: number) => boolean;
  /** Whether a configuration version replaces the one in force. */
  readonly isNewer: (offered: number, inForce: number) => boolean;
}

/** The guards that production runs with. */
export const defaultGuards: Guards = {
  mayStart: (owner, witness) =>
    owner.verdict === "granted" && witness.verdict === "granted" &&
    owner.partner !== null && witness.partner !== null &&
    sameInstance(owner.partner, witness.registrar) &&
    sameInstance(witness.partner, owner.registrar),
  mayGrant: (firstPossibleMs, formedAtMs) => firstPossibleMs >= formedAtMs,
  remembers: (firstPossibleMs, sinceMs) => firstPossibleMs >= sinceMs,
  samePayload: (recorded, offered) => recorded === offered,
  mayRetry: (outcome) => outcome.kind === "notRun",
  answerMatches: (answeredTaskId, task) => answeredTaskId === task.taskId,
  isWhole: (job) => job.unfinished === 0,
  isProvablyNotRun: (job) => job.tasks.every((task) => task.state === "queued"),
  mayReceiveWork: (upstream) => !upstream.leaving,
  mayStop: (jobs, sends) => jobs === 0 && sends === 0,
  isNewer: (offered, inForce) => offered > inForce,
};
