/**
 * Callers' queries about jobs, and cancellations: sent to the leader that owns
 * the records, and answered there. On the wire a query is named `question`.
 */

import { emit, logDecision, sendPeer } from "./effects.ts";
import { faultyJobOutcome, isolateJob } from "./job_faults.ts";
import { hasStarted } from "./job_state.ts";
import { cancelJob } from "./jobs.ts";
import { hearsRecordsOwner, recordsLeader } from "./leader_lookup.ts";
import { hasTooManyQueries, MAX_CANCEL_REQUESTS } from "./load_limits.ts";
import { knowsAllRecords } from "./records.ts";
import type { JobQuery, PeerMessageOf, Reply } from "./schemas.ts";
import type {
  EngineEventOf,
  EngineState,
  Job,
  PendingQuery,
  ReduceContext,
  Scheduler,
} from "./types.ts";
import { wasHandedOver } from "./zones/sharing.ts";

/**
 * Time after its receipt at which a query without a reply is answered as
 * unavailable, while this instance knows the leader of its cell.
 */
const REPLY_TIMEOUT_MS = 2_000;
/**
 * Time after its receipt at which a query without a reply is answered as
 * unavailable, while this instance knows no leader of its cell.
 */
const NO_LEADER_REPLY_TIMEOUT_MS = 900;
/**
 * Time for which a cancellation that could not be answered is sent to owners of
 * the records. Callers who asked for it don't expect tasks to start later.
 */
const CANCEL_RETENTION_MS = 30_000;
/** Interval at which such a cancellation is sent again. */
const CANCEL_RESEND_INTERVAL_MS = 300;
/** Maximum number of such cancellations; later ones are not sent again. */
const MAX_UNANSWERED_CANCELS = 500;

/**
 * Handles a caller's query for the state of a job or the number of pending jobs
 * of a queue, or its request to cancel a job.
 */
export function onCallerQuery(
  context: ReduceContext,
  { requestId, query, nowMs }: EngineEventOf<"callerQuery">,
): void {
  if (hasTooManyQueries(context.state)) {
    context.state.counters.queriesOverLimit += 1;
    const reply = { kind: "unavailable" } as const;
    emit(context, { type: "answerQuery", requestId, reply });
    return;
  }
  addQuery(context, {
    requestId,
    query,
    receivedAtMs: nowMs,
    isRepeated: false,
  });
}

/** Adds a query, and sends it to the leader if one is known. */
function addQuery(
  context: ReduceContext,
  query: Omit<PendingQuery, "queriedLeaderId" | "queriedTerm">,
): void {
  const pending = { ...query, queriedLeaderId: null, queriedTerm: 0 };
  context.state.pendingQueries.set(query.requestId, pending);
  sendToLeader(context, pending);
}

/** Sends a query to the leader that owns the records, once per leader term. */
function sendToLeader(context: ReduceContext, pending: PendingQuery): void {
  const leader = recordsLeader(context.state);
  if (leader === null) return;
  if (
    pending.queriedLeaderId === leader.instanceId &&
    pending.queriedTerm === leader.term
  ) return;
  pending.queriedLeaderId = leader.instanceId;
  pending.queriedTerm = leader.term;
  sendPeer(context, leader.instanceId, {
    type: "question",
    questionId: pending.requestId,
    question: pending.query,
  });
}

/** Answers queries that timed out, and sends the others to new leaders. */
export function checkPendingQueries(context: ReduceContext): void {
  const { state } = context;
  for (const pending of state.pendingQueries.values()) {
    const waitedMs = state.nowMs - pending.receivedAtMs;
    const limitMs = state.leaderId === null
      ? NO_LEADER_REPLY_TIMEOUT_MS
      : REPLY_TIMEOUT_MS;
    if (waitedMs >= limitMs) answer(context, pending, { kind: "unavailable" });
    else sendToLeader(context, pending);
  }
  repeatCancels(context);
}

/**
 * Sends cancellations that could not be answered to the leader that owns the
 * records. A leader that has taken the records over thus learns of them before it
 * starts tasks of the jobs again, whether or not the callers ask once more.
 */
function repeatCancels(context: ReduceContext): void {
  const { state } = context;
  if (state.unansweredCancels.size === 0 || !hearsRecordsOwner(state)) return;
  for (const [jobId, cancel] of state.unansweredCancels) {
    if (state.nowMs - cancel.receivedAtMs >= CANCEL_RETENTION_MS) {
      state.unansweredCancels.delete(jobId);
      continue;
    }
    const requestId = `cancel ${jobId}`;
    if (state.nowMs < cancel.nextAtMs) continue;
    if (state.pendingQueries.has(requestId)) continue;
    cancel.nextAtMs = state.nowMs + CANCEL_RESEND_INTERVAL_MS;
    addQuery(context, {
      requestId,
      query: { kind: "cancel", jobId },
      receivedAtMs: state.nowMs,
      isRepeated: true,
    });
  }
}

/** Remembers a cancellation without an answer, or forgets one that has one. */
function trackCancel(
  { unansweredCancels, nowMs }: EngineState,
  { receivedAtMs }: PendingQuery,
  { jobId, reply }: { jobId: string; reply: Reply },
): void {
  if (reply.kind !== "unavailable") {
    unansweredCancels.delete(jobId);
    return;
  }
  const isFull = unansweredCancels.size >= MAX_UNANSWERED_CANCELS;
  if (unansweredCancels.has(jobId) || isFull) return;
  unansweredCancels.set(jobId, { receivedAtMs, nextAtMs: nowMs });
}

/** Handles a leader's reply to a query. */
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
  const { requestId, query, isRepeated } = pending;
  context.state.pendingQueries.delete(requestId);
  if (!isRepeated) emit(context, { type: "answerQuery", requestId, reply });
  if (query.kind !== "cancel") return;
  trackCancel(context.state, pending, { jobId: query.jobId, reply });
  const subject = isRepeated ? "repeated cancel request" : "cancel request";
  logDecision(context, {
    part: "callers",
    text: `${subject} answered: ${reply.kind}`,
  }, {
    jobId: query.jobId,
    waitedMs: Math.round(context.state.nowMs - pending.receivedAtMs),
  });
}

type ReplyHandlers = {
  [K in JobQuery["kind"]]: (
    context: ReduceContext,
    scheduler: Scheduler,
    request: {
      query: Extract<JobQuery, { kind: K }>;
      from: string;
      questionId: string;
    },
  ) => Reply | null;
};

const replyHandlers: ReplyHandlers = {
  job: (context, scheduler, { query }) => {
    const job = scheduler.jobs.get(query.jobId);
    if (job === undefined) return unknownJobReply(context, scheduler);
    if (wasHandedOver(job)) return { kind: "unavailable" };
    return isolateJob<Reply>(context, job, {
      stage: "query",
      fallback: { kind: "unavailable" },
      run: () => jobStateReply(job),
    });
  },
  cancel: (context, scheduler, { query, from, questionId }) => {
    const job = scheduler.jobs.get(query.jobId);
    if (job === undefined) return unknownJobReply(context, scheduler);
    // The job may have been accepted, and its record not be read yet.
    const mayBeAccepted = job.record !== null && !job.record.mayExist &&
      !knowsAllRecords(context.state, scheduler);
    const waiting = job.record?.cancelRequests.length ?? 0;
    const isFull = waiting >= MAX_CANCEL_REQUESTS;
    if (mayBeAccepted || isFull || wasHandedOver(job)) {
      return { kind: "unavailable" };
    }
    return isolateJob<Reply | null>(context, job, {
      stage: "cancel",
      fallback: { kind: "ended", outcome: faultyJobOutcome },
      run: () => cancelJob(context, job, { from, questionId }),
    });
  },
  pending: (context, scheduler, { query }) => {
    const { state } = context;
    if (state.recordsExist && !knowsAllRecords(state, scheduler)) {
      return { kind: "unavailable" };
    }
    const count = countPending(context, scheduler, query.queueName);
    return { kind: "pending", count };
  },
};

/** The reply for an unknown job: unavailable while it may have a record. */
function unknownJobReply(
  { state }: ReduceContext,
  scheduler: Scheduler,
): Reply {
  return { kind: knowsAllRecords(state, scheduler) ? "noJob" : "unavailable" };
}

/**
 * The reply with the state of a job. A recorded job is unavailable until its
 * record is persisted, and ended only once its outcome is.
 */
function jobStateReply(job: Job): Reply {
  const { record, outcome } = job;
  // The outcome of a fault is not in the record if writing the record failed.
  if (outcome === faultyJobOutcome) return { kind: "ended", outcome };
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

/**
 * Counts the jobs of a queue that have not started. Recorded jobs count once
 * their records are persisted.
 */
function countPending(
  context: ReduceContext,
  scheduler: Scheduler,
  queueName: string,
): number {
  let count = 0;
  for (const job of scheduler.jobs.values()) {
    const isOpen = job.queue.name === queueName && job.outcome === null &&
      (job.record === null || job.record.accepted);
    if (!isOpen) continue;
    const isPending = isolateJob(context, job, {
      stage: "query",
      fallback: false,
      run: () => !hasStarted(job),
    });
    if (isPending) count += 1;
  }
  return count;
}

/**
 * Handles a query from an instance. Cancellation of a recorded job is answered
 * later if its outcome must be persisted first.
 */
export function onQuery(
  context: ReduceContext,
  from: string,
  { questionId, question: query }: PeerMessageOf<"question">,
): void {
  const { scheduler } = context.state;
  const handler = replyHandlers[query.kind] as (
    context: ReduceContext,
    scheduler: Scheduler,
    request: { query: JobQuery; from: string; questionId: string },
  ) => Reply | null;
  const reply: Reply | null = scheduler === null
    ? { kind: "unavailable" }
    : handler(context, scheduler, { query, from, questionId });
  if (reply !== null) {
    sendPeer(context, from, { type: "reply", questionId, reply });
  }
}
