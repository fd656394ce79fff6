/** Jobs of our own interface as the engine runs them, and its answers back. */

import { randomBytes } from "node:crypto";
import type {
  JobOutcome,
  JobSpec,
  QueueRule,
  Reply,
} from "../engine/schemas.ts";
import type { CallerReply } from "../engine/types.ts";
import type { DiagnosticName } from "./diagnostics.ts";
import { sha256Hex } from "./http.ts";
import type { Answer, Json, Submission } from "./schemas.ts";

/** A task takes one slot of a worker; workers count slots in such units. */
export const SLOT_CPU_MILLI = 1_000;
/** Beyond every deadline that callers may set. */
const LATE_FACTOR = 1e6;
/** Hex digits of a job's id that tell its team, and those that tell its key. */
const TEAM_DIGITS = 8;
const KEY_DIGITS = 24;

function teamPart(team: string): string {
  return sha256Hex(team).slice(0, TEAM_DIGITS);
}

/** The id of a job: the same for every attempt under one key of one team. */
export function jobIdOf(team: string, key: string | null): string {
  const own = key === null
    ? randomBytes(KEY_DIGITS / 2).toString("hex")
    : sha256Hex(JSON.stringify([team, key])).slice(0, KEY_DIGITS);
  return `${teamPart(team)}${own}`;
}

/** Whether a job can be a team's own. */
export function isJobOf(team: string, jobId: string): boolean {
  return jobId.startsWith(teamPart(team));
}

/**
 * The engine's form of a submission: each task is a step of its own, since each
 * has its own payload. None of them ever begins twice.
 */
export function toJobSpec(
  { tasks }: Submission,
  { queue, expectedMs, isRecorded }: {
    queue: QueueRule;
    /** Of a task whose caller declares no run time. */
    expectedMs: number;
    isRecorded: boolean;
  },
): JobSpec {
  return {
    spec: "",
    steps: tasks.map(({ payload, declaredMs }) => ({
      count: 1,
      cpuMilli: SLOT_CPU_MILLI,
      memoryMb: 0,
      accelerators: 0,
      estimatedMs: declaredMs ?? expectedMs,
      after: [],
      payload: JSON.stringify(payload),
    })),
    isAtMostOnce: true,
    ...(isRecorded ? { isRecorded } : {}),
    deadlineMs: queue.timeoutMs,
    // Late answers are still wanted, until the deadline.
    lateFactor: LATE_FACTOR,
  };
}

type Refusal = Extract<JobOutcome, { kind: "refused" }>;
type Unknown = Extract<JobOutcome, { kind: "unknown" }>;

const refusals: Record<Refusal["reason"], DiagnosticName> = {
  overloaded: "overloaded",
  noConfiguration: "notReady",
  unknownQueue: "unknownService",
  noLeader: "noLeader",
  noWorker: "noUpstream",
  unsupported: "invalidRequest",
  draining: "draining",
  storeAway: "storeAway",
  tooLarge: "recordTooLarge",
  conflict: "keyConflict",
};

const unknowns: Record<Unknown["reason"], DiagnosticName> = {
  leaderLost: "outcomeUnknown",
  deadline: "deadlineExceeded",
  taskLost: "taskUnknown",
  storeAway: "outcomeUnknown",
};

/** What a caller is told of a job. */
export type CallerAnswer =
  | { readonly kind: "accepted" }
  | { readonly kind: "answer"; readonly answer: Answer }
  | {
    readonly kind: "diagnostic";
    readonly diagnostic: DiagnosticName;
    readonly retryAfterMs?: number;
  };

type Translators = {
  [K in CallerReply["kind"]]: (
    jobId: string,
    reply: Extract<CallerReply, { kind: K }>,
  ) => CallerAnswer;
};

const translators: Translators = {
  accepted: () => ({ kind: "accepted" }),
  done: (jobId, { results = [] }) => ({
    kind: "answer",
    answer: {
      jobId,
      state: "complete",
      tasks: results.map((result) => ({ end: "done", result: parse(result) })),
    },
  }),
  failed: () => ({ kind: "diagnostic", diagnostic: "taskFailed" }),
  cancelled: (_jobId, { begun }) => ({
    kind: "diagnostic",
    diagnostic: begun ? "cancelled" : "cancelledNotRun",
  }),
  refused: (_jobId, { reason, retryAfterMs }) => ({
    kind: "diagnostic",
    diagnostic: refusals[reason],
    retryAfterMs,
  }),
  unknown: (_jobId, { reason }) => ({
    kind: "diagnostic",
    diagnostic: unknowns[reason],
  }),
};

function parse(result: string | null): Json {
  return result === null ? null : JSON.parse(result) as Json;
}

/** Translates what the engine says of a job. */
export function toAnswer(jobId: string, reply: CallerReply): CallerAnswer {
  const translator = translators[reply.kind] as (
    jobId: string,
    reply: CallerReply,
  ) => CallerAnswer;
  return translator(jobId, reply);
}

/** Translates what a leader replies to a question about a job. */
export function toQuestionAnswer(jobId: string, reply: Reply): CallerAnswer {
  if (reply.kind === "ended") return toAnswer(jobId, reply.outcome);
  if (reply.kind === "noJob") {
    return { kind: "diagnostic", diagnostic: "jobNotFound" };
  }
  if (reply.kind === "unavailable") {
    return { kind: "diagnostic", diagnostic: "noLeader" };
  }
  return { kind: "accepted" };
}

/**
 * What an instance that does not know a job's record may say of it. A job that
 * is submitted again may have run at an earlier attempt.
 */
export function withoutRecord(
  reply: CallerReply,
  { isSubmittedAgain }: { isSubmittedAgain: boolean },
): CallerReply {
  const saysNotRun = reply.kind === "refused" && reply.reason === "noLeader";
  if (!saysNotRun || !isSubmittedAgain) return reply;
  return { kind: "unknown", reason: "leaderLost" };
}
