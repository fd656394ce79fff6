/** Questions of callers about jobs: passed to the leader, answered there. */

import { hasStarted } from "./job_state.ts";
import { cancelJob } from "./jobs.ts";
import { recordsLead } from "./leads.ts";
import type { JobQuery, PeerMessageOf, Reply } from "./schemas.ts";
import { emit, logDecision, sendPeer } from "./effects.ts";
import type {
  EngineEventOf,
  Job,
  PendingQuery,
  ReduceContext,
  Scheduler,
} from "./types.ts";

/** A question that has no reply after so long is answered as such. */
const REPLY_TIMEOUT_MS = 2_000;
/** And after so long while no leader is known. */
const NO_LEADER_TIMEOUT_MS = 900;

/** A caller asks for a job, cancels it, or asks for a queue's jobs. */
export function onCallerAsked(
  context: ReduceContext,
  { requestId, query, nowMs }: EngineEventOf<"callerQuery">,
): void {
  const pending: PendingQuery = {
    requestId,
    query,
    receivedAtMs: nowMs,
    queriedLeaderId: null,
    queriedTerm: 0,
  };
  context.state.pendingQueries.set(requestId, pending);
  sendToLeader(context, pending);
}

function sendToLeader(context: ReduceContext, pending: PendingQuery): void {
  const leader = recordsLead(context.state);
  if (leader === null) return;
  if (
    pending.queriedLeaderId === leader.instanceId && pending.queriedTerm === leader.term
  ) return;
  pending.queriedLeaderId = leader.instanceId;
  pending.queriedTerm = leader.term;
  sendPeer(context, leader.instanceId, {
    type: "question",
    questionId: pending.requestId,
    question: pending.query,
  });
}

/** Asks a new leader again, and gives up what nobody answers. */
export function checkQuestions(context: ReduceContext): void {
  const { state } = context;
  for (const pending of state.pendingQueries.values()) {
    const waitedMs = state.nowMs - pending.receivedAtMs;
    const limitMs = state.leaderId === null ? NO_LEADER_TIMEOUT_MS : REPLY_TIMEOUT_MS;
    if (waitedMs >= limitMs) answer(context, pending, { kind: "unavailable" });
    else sendToLeader(context, pending);
  }
}

/** The leader replies. */
export function onReply(
  context: ReduceContext,
  _from: string,
  { questionId, reply }: PeerMessageOf<"reply">,
): void {
  const pending = context.state.pendingQueries.get(questionId);
  if (pending !== undefined) answer(context, pending, reply);
}

function answer(
  context: ReduceContext,
  pending: PendingQuery,
  reply: Reply,
): void {
  const { requestId, query } = pending;
  context.state.pendingQueries.delete(requestId);
  emit(context, { type: "answerQuery", requestId, reply });
  if (query.kind !== "cancel") return;
  logDecision(context, { part: "callers", text: `cancel: ${reply.kind}` }, {
    jobId: query.jobId,
    waitedMs: Math.round(context.state.nowMs - pending.receivedAtMs),
  });
}

type ReplyHandlers = {
  [K in JobQuery["kind"]]: (
    context: ReduceContext,
    scheduler: Scheduler,
    request: {
      question: Extract<JobQuery, { kind: K }>;
      from: string;
      questionId: string;
    },
  ) => Reply | null;
};

const replyHandlers: ReplyHandlers = {
  job: (_context, scheduler, { question }) => {
    const job = scheduler.jobs.get(question.jobId);
    return job === undefined ? unknownJobReply(scheduler) : jobStateReply(job);
  },
  cancel: (context, scheduler, { question, from, questionId }) => {
    const job = scheduler.jobs.get(question.jobId);
    if (job === undefined) return unknownJobReply(scheduler);
    return cancelJob(context, job, { from, questionId });
  },
  pending: (_context, scheduler, { question }) => ({
    kind: "pending",
    count: countPending(scheduler, question.queueName),
  }),
};

/** A job that is not known may have a record that was not read yet. */
function unknownJobReply({ records }: Scheduler): Reply {
  return records.phase === "open" ? { kind: "noJob" } : { kind: "unavailable" };
}

function jobStateReply(job: Job): Reply {
  const { record, outcome } = job;
  if (record === null) {
    if (outcome !== null) return { kind: "ended", outcome };
  } else {
    if (record.storedOutcome !== null) {
      return { kind: "ended", outcome: record.storedOutcome };
    }
    if (!record.accepted) return { kind: "unavailable" };
  }
  return { kind: hasStarted(job) ? "running" : "queued" };
}

function countPending(scheduler: Scheduler, queueName: string): number {
  let count = 0;
  for (const job of scheduler.jobs.values()) {
    const isOpen = job.queue.name === queueName && job.outcome === null &&
      (job.record === null || job.record.accepted);
    if (isOpen && !hasStarted(job)) count += 1;
  }
  return count;
}

/** An instance asks the leader. */
export function onQuestion(
  context: ReduceContext,
  from: string,
  { questionId, question }: PeerMessageOf<"question">,
): void {
  const { scheduler } = context.state;
  const handler = replyHandlers[question.kind] as (
    context: ReduceContext,
    scheduler: Scheduler,
    request: { question: JobQuery; from: string; questionId: string },
  ) => Reply | null;
  const reply: Reply | null = scheduler === null
    ? { kind: "unavailable" }
    : handler(context, scheduler, { question, from, questionId });
  if (reply !== null) {
    sendPeer(context, from, { type: "reply", questionId, reply });
  }
}
