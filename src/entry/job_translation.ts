/** Translates callers' jobs for the engine, and the engine's replies back. */

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

/** The `cpuMilli` of one worker slot. Each task occupies one slot. */
export const SLOT_CPU_MILLI = 1_000;
/**
 * Multiple of the latency objective up to which an answer is worth its work.
 * The product exceeds every deadline that callers may set, because callers wait
 * for late answers until the deadline.
 */
const LATE_FACTOR = 1e6;
/** Number of hex digits of a job ID that identify the team. */
const TEAM_HASH_DIGITS = 8;
/** Number of hex digits of a job ID that identify the job within its team. */
const KEY_HASH_DIGITS = 24;

function teamPrefix(team: string): string {
  return sha256Hex(team).slice(0, TEAM_HASH_DIGITS);
}

/**
 * Returns the ID of a job: the same for every attempt of one team with one
 * idempotency key, and random without a key.
 */
export function jobIdOf(team: string, key: string | null): string {
  const suffix = key === null
    ? randomBytes(KEY_HASH_DIGITS / 2).toString("hex")
    : sha256Hex(JSON.stringify([team, key])).slice(0, KEY_HASH_DIGITS);
  return `${teamPrefix(team)}${suffix}`;
}

/** Whether a job ID has the prefix of a team. */
export function isJobOf(team: string, jobId: string): boolean {
  return jobId.startsWith(teamPrefix(team));
}

/**
 * Converts a submission to the engine's form. Each task becomes a step of its
 * own because each has its own payload, and no task is ever started twice.
 */
export function toJobSpec(
  { tasks }: Submission,
  { queue, expectedMs, isRecorded }: {
    queue: QueueRule;
    /** The run time of tasks whose caller declares none. */
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
    lateFactor: LATE_FACTOR,
  };
}

type Refusal = Extract<JobOutcome, { kind: "refused" }>;
type Unknown = Extract<JobOutcome, { kind: "unknown" }>;

const refusalDiagnostics: Record<Refusal["reason"], DiagnosticName> = {
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

const unknownDiagnostics: Record<Unknown["reason"], DiagnosticName> = {
  leaderLost: "outcomeUnknown",
  deadline: "deadlineExceeded",
  taskLost: "taskUnknown",
  storeAway: "outcomeUnknown",
  internalError: "internalError",
};

/** The engine's reply about a job, translated for the caller. */
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
    diagnostic: refusalDiagnostics[reason],
    retryAfterMs,
  }),
  unknown: (_jobId, { reason }) => ({
    kind: "diagnostic",
    diagnostic: unknownDiagnostics[reason],
  }),
};

function parse(result: string | null): Json {
  return result === null ? null : JSON.parse(result) as Json;
}

/** Translates the engine's reply about a job. */
export function toAnswer(jobId: string, reply: CallerReply): CallerAnswer {
  const translator = translators[reply.kind] as (
    jobId: string,
    reply: CallerReply,
  ) => CallerAnswer;
  return translator(jobId, reply);
}

/** Translates the leader's reply to a query about a job. */
export function toQueryAnswer(jobId: string, reply: Reply): CallerAnswer {
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
 * Returns the reply to send to the caller. A refusal for lack of a leader would
 * state that nothing was run, which an instance cannot know of a possible retry:
 * the outcome is reported as unknown, because an earlier attempt may have run.
 */
export function correctReplyToRetry(
  reply: CallerReply,
  { isPossibleRetry }: { isPossibleRetry: boolean },
): CallerReply {
  const claimsNotRun = reply.kind === "refused" && reply.reason === "noLeader";
  if (!claimsNotRun || !isPossibleRetry) return reply;
  return { kind: "unknown", reason: "leaderLost" };
}
