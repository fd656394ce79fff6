/** Questions of callers about jobs: passed to the leader, answered there. */

import { hasStarted } from "./job_state.ts";
import { cancelJob } from "./jobs.ts";
import { recordsLead } from "./leads.ts";
import type { PeerMessageOf, Question, Reply } from "./schemas.ts";
import { emit, logDecision, sendPeer } from "./turn.ts";
import type {
  EngineEventOf,
  Job,
  OpenQuestion,
  Scheduler,
  Turn,
} from "./types.ts";

/** A question that has no reply after so long is answered as such. */
const REPLY_WITHIN_MS = 2_000;
/** And after so long while no leader is known. */
const LEADER_WAIT_MS = 900;

/** A caller asks for a job, cancels it, or asks for a queue's jobs. */
export function onCallerAsked(
  turn: Turn,
  { requestId, question, nowMs }: EngineEventOf<"callerAsked">,
): void {
  const open: OpenQuestion = {
    requestId,
    question,
    askedAtMs: nowMs,
    askedId: null,
    askedTerm: 0,
  };
  turn.state.questions.set(requestId, open);
  askLeader(turn, open);
}

function askLeader(turn: Turn, open: OpenQuestion): void {
  const lead = recordsLead(turn.state);
  if (lead === null) return;
  if (open.askedId === lead.instanceId && open.askedTerm === lead.term) return;
  open.askedId = lead.instanceId;
  open.askedTerm = lead.term;
  sendPeer(turn, lead.instanceId, {
    type: "question",
    questionId: open.requestId,
    question: open.question,
  });
}

/** Asks a new leader again, and gives up what nobody answers. */
export function checkQuestions(turn: Turn): void {
  const { state } = turn;
  for (const open of state.questions.values()) {
    const waitedMs = state.nowMs - open.askedAtMs;
    const limitMs = state.leaderId === null ? LEADER_WAIT_MS : REPLY_WITHIN_MS;
    if (waitedMs >= limitMs) answer(turn, open, { kind: "unavailable" });
    else askLeader(turn, open);
  }
}

/** The leader replies. */
export function onReply(
  turn: Turn,
  _from: string,
  { questionId, reply }: PeerMessageOf<"reply">,
): void {
  const open = turn.state.questions.get(questionId);
  if (open !== undefined) answer(turn, open, reply);
}

function answer(turn: Turn, open: OpenQuestion, reply: Reply): void {
  const { requestId, question } = open;
  turn.state.questions.delete(requestId);
  emit(turn, { type: "answerQuestion", requestId, reply });
  if (question.kind !== "cancel") return;
  logDecision(turn, { part: "callers", text: `cancel: ${reply.kind}` }, {
    jobId: question.jobId,
    waitedMs: Math.round(turn.state.nowMs - open.askedAtMs),
  });
}

type Repliers = {
  [K in Question["kind"]]: (
    turn: Turn,
    scheduler: Scheduler,
    context: {
      question: Extract<Question, { kind: K }>;
      from: string;
      questionId: string;
    },
  ) => Reply | null;
};

const repliers: Repliers = {
  job: (_turn, scheduler, { question }) => {
    const job = scheduler.jobs.get(question.jobId);
    return job === undefined ? unknownJob(scheduler) : stateOf(job);
  },
  cancel: (turn, scheduler, { question, from, questionId }) => {
    const job = scheduler.jobs.get(question.jobId);
    if (job === undefined) return unknownJob(scheduler);
    return cancelJob(turn, job, { from, questionId });
  },
  pending: (_turn, scheduler, { question }) => ({
    kind: "pending",
    count: countPending(scheduler, question.queueName),
  }),
};

/** A job that is not known may have a record that was not read yet. */
function unknownJob({ records }: Scheduler): Reply {
  return records.phase === "open" ? { kind: "noJob" } : { kind: "unavailable" };
}

function stateOf(job: Job): Reply {
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
  turn: Turn,
  from: string,
  { questionId, question }: PeerMessageOf<"question">,
): void {
  const { scheduler } = turn.state;
  const replier = repliers[question.kind] as (
    turn: Turn,
    scheduler: Scheduler,
    context: { question: Question; from: string; questionId: string },
  ) => Reply | null;
  const reply: Reply | null = scheduler === null
    ? { kind: "unavailable" }
    : replier(turn, scheduler, { question, from, questionId });
  if (reply !== null) {
    sendPeer(turn, from, { type: "reply", questionId, reply });
  }
}
