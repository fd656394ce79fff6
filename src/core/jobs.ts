/** The life of a job at the instance that holds it. */

import { assert } from "../engine/debug.ts";
import { type DiagnosticName, Diagnostics } from "./diagnostics.ts";
import type { Answer, Json, TaskEnd } from "./schemas.ts";
import type { CoreEventOf, Job, Step, Task, TaskState } from "./types.ts";
import { admitJob, isOverloaded } from "./admission.ts";
import { tellWaiter } from "./attach.ts";
import { beginClaim, checkClaimTimeout, tellOutcome } from "./claiming.ts";
import { estimateSlowestMs, estimateTaskMs } from "../engine/estimates.ts";
import { flowOf, forgetQueued } from "./flows.ts";
import { emit, nextId } from "./utilities.ts";

/** The largest answer, in characters, that registrars keep for replay. */
export const MAX_KEPT_ANSWER_CHARS = 4_096;

/** A caller submits a job, for the first time or again. */
export function onCallerSubmit(
  step: Step,
  event: CoreEventOf<"callerSubmit">,
): void {
  const refusal = earlyRefusal(step, event);
  if (refusal !== null) {
    refuse(step, event, refusal);
    return;
  }
  const scopedKey = event.key === null ? null : `${event.team}/${event.key}`;
  if (scopedKey !== null && joinKnownJob(step, event, scopedKey)) return;
  flowOf(step.state, flowNameOf(event), event.submission).arrivals += 1;
  if (maySkipClaim(event) && isOverloaded(step, flowNameOf(event))) {
    refuse(step, event, "overloaded");
    return;
  }
  const job = createJob(step, event, scopedKey);
  if (scopedKey === null) admitJob(step, job);
  else beginClaim(step, job, event.key ?? "");
}

function flowNameOf(event: CoreEventOf<"callerSubmit">): string {
  const { service, kind } = event.submission;
  return `${event.team}/${service}/${kind}`;
}

/** Whether nothing of this submission can have run before this request. */
function maySkipClaim(event: CoreEventOf<"callerSubmit">): boolean {
  return event.key === null || event.attempt === 1;
}

function earlyRefusal(
  { state }: Step,
  event: CoreEventOf<"callerSubmit">,
): DiagnosticName | null {
  if (state.configuration === null) return "notReady";
  if (state.drain !== "none") return "draining";
  const { service, kind } = event.submission;
  const known = state.configuration.services[service]?.kinds[kind];
  return known === undefined ? "unknownService" : null;
}

function refuse(
  step: Step,
  event: CoreEventOf<"callerSubmit">,
  diagnostic: DiagnosticName,
): void {
  const { service, kind } = event.submission;
  const certain = maySkipClaim(event) || diagnostic === "unknownService";
  step.state.counters.jobsRefused += 1;
  emit(step, {
    type: "replyCaller",
    requestId: event.requestId,
    reply: {
      kind: "refused",
      diagnostic: certain ? diagnostic : "outcomeUnknown",
      argument: `${service}/${kind}`,
    },
  });
}

/** Lets a repeated submission wait for the job that this instance holds. */
function joinKnownJob(
  step: Step,
  event: CoreEventOf<"callerSubmit">,
  scopedKey: string,
): boolean {
  const { state } = step;
  const job = state.jobs.get(state.jobsByKey.get(scopedKey) ?? "");
  if (job === undefined) return false;
  if (!state.guards.samePayload(job.payloadHash, event.payloadHash)) {
    emit(step, {
      type: "replyCaller",
      requestId: event.requestId,
      reply: { kind: "refused", diagnostic: "keyConflict", argument: "" },
    });
    return true;
  }
  // A refusal would speak of the first attempt only, not of this one.
  if (event.attempt !== 1) job.attempt = null;
  addCallerWaiter(step, job, event);
  return true;
}

function addCallerWaiter(
  step: Step,
  job: Job,
  { requestId, wait }: { requestId: string; wait: boolean },
): void {
  if (!wait) {
    const reply = { kind: "accepted", jobId: job.jobId } as const;
    emit(step, { type: "replyCaller", requestId, reply });
  } else if (job.answer !== null) {
    tellWaiter(step, { kind: "caller", requestId }, job.answer);
  } else job.waiters.push({ kind: "caller", requestId });
}

function createJob(
  step: Step,
  event: CoreEventOf<"callerSubmit">,
  scopedKey: string | null,
): Job {
  const { state } = step;
  const { submission } = event;
  const jobId = nextId(state);
  const limits = state.configuration?.limits;
  const deadlineMs = submission.deadlineMs ?? limits?.defaultDeadlineMs ?? 0;
  const flow = flowOf(state, flowNameOf(event), submission);
  const tasks = submission.tasks.map((task, index) => ({
    ...createTask(jobId, index, task.payload),
    declaredMs: task.declaredMs ?? null,
    estimatedMs: estimateTaskMs(flow.runs, task.declaredMs ?? null),
  }));
  const sendOrder = tasks.map((task) => task.index)
    .sort((a, b) => estimateAt(tasks, b) - estimateAt(tasks, a));
  const longestMs = estimateAt(tasks, sendOrder[0] ?? 0);
  const job: Job = {
    jobId,
    team: event.team,
    service: submission.service,
    kind: submission.kind,
    flow: flow.flow,
    urgency: submission.urgency,
    scopedKey,
    payloadHash: event.payloadHash,
    attempt: event.attempt,
    createdWallMs: event.keyCreatedMs,
    receivedAtMs: event.nowMs,
    receivedWallMs: event.wallMs,
    deadlineAtMs: event.nowMs + deadlineMs,
    tasks,
    sendOrder,
    waiters: [],
    state: "claiming",
    claim: null,
    grantedGroup: null,
    nextQueued: 0,
    unfinished: submission.tasks.length,
    nextRunMs: longestMs,
    tasksLeft: tasks.length,
    expectedMs: estimateSlowestMs(flow.runs, tasks.length, longestMs),
    answer: null,
    endedAtMs: 0,
  };
  state.jobs.set(jobId, job);
  if (scopedKey !== null) state.jobsByKey.set(scopedKey, jobId);
  addCallerWaiter(step, job, event);
  state.counters.jobsAccepted += 1;
  return job;
}

function createTask(
  jobId: string,
  index: number,
  payload: Json,
): Omit<Task, "estimatedMs" | "declaredMs"> {
  return {
    taskId: `${jobId}#${index}`,
    index,
    payload,
    state: "queued",
    sends: 0,
    result: undefined,
  };
}

function estimateAt(
  tasks: readonly { estimatedMs: number }[],
  index: number,
): number {
  return tasks[index]?.estimatedMs ?? 0;
}

const endOfTask: Record<TaskState, TaskEnd> = {
  queued: "notStarted",
  notStarted: "notStarted",
  sent: "unknown",
  unknown: "unknown",
  failed: "failed",
  done: "done",
};

function stateOfEnd(diagnostic: DiagnosticName): Answer["state"] {
  if (diagnostic === "outcomeUnknown" || diagnostic === "keyExpired") {
    return "unknown";
  }
  return Diagnostics[diagnostic].ran === "no" ? "refused" : "failed";
}

function answerOf(job: Job, diagnostic: DiagnosticName | undefined): Answer {
  const state = diagnostic === undefined ? "complete" : stateOfEnd(diagnostic);
  if (state === "refused") {
    const certain = job.tasks.every((task) => task.state === "queued");
    assert(certain, "refused_means_not_run", job.jobId);
  }
  if (state === "complete") {
    const whole = job.tasks.every((task) => task.state === "done");
    assert(whole, "complete_means_every_task", job.jobId);
  }
  return {
    jobId: job.jobId,
    state,
    ...(diagnostic === undefined ? {} : { diagnostic }),
    tasks: job.tasks.map((task) => ({
      end: endOfTask[task.state],
      ...(task.result === undefined ? {} : { result: task.result }),
    })),
  };
}

const endCounters: Record<
  Answer["state"],
  "jobsComplete" | "jobsFailed" | "jobsRefused" | "jobsUnknown"
> = {
  complete: "jobsComplete",
  failed: "jobsFailed",
  refused: "jobsRefused",
  unknown: "jobsUnknown",
};

/** Ends a job: with an answer from elsewhere, a diagnostic, or its results. */
export function endJob(
  step: Step,
  job: Job,
  { answer, diagnostic }: { answer?: Answer; diagnostic?: DiagnosticName },
): void {
  const { state } = step;
  assert(job.state !== "ended", "job_ends_once", job.jobId);
  forgetQueued(state, job);
  if (job.claim !== null) state.claimsById.delete(job.claim.claimId);
  job.claim = null;
  job.answer = answer ?? answerOf(job, diagnostic);
  job.state = "ended";
  job.endedAtMs = state.nowMs;
  state.counters[endCounters[job.answer.state]] += 1;
  const mayTryAgain = job.answer.state === "refused";
  if (mayTryAgain && job.scopedKey !== null) {
    state.jobsByKey.delete(job.scopedKey);
  }
  if (job.grantedGroup !== null) reportOutcome(step, job, job.answer);
  for (const waiter of job.waiters) tellWaiter(step, waiter, job.answer);
  job.waiters.length = 0;
}

function reportOutcome(step: Step, job: Job, answer: Answer): void {
  const group = job.grantedGroup;
  if (group === null) return;
  const released = answer.state === "refused";
  const small = JSON.stringify(answer).length <= MAX_KEPT_ANSWER_CHARS;
  if (released || small) tellOutcome(step, job, { group, released });
}

/** Ends a job early, saying truthfully whether any of it was started. */
export function abandonJob(
  step: Step,
  job: Job,
  { notRun, begun }: { notRun: DiagnosticName; begun: DiagnosticName },
): void {
  const certain = step.state.guards.isProvablyNotRun(job);
  endJob(step, job, { diagnostic: certain ? notRun : begun });
}

/** Cancels a job; tasks that were sent run on, the others never start. */
export function cancelJob(step: Step, job: Job): void {
  if (job.state === "ended") return;
  if (job.state === "claiming") {
    // Another attempt may have run it: this instance can't say it did not.
    endJob(step, job, { diagnostic: "outcomeUnknown" });
    return;
  }
  abandonJob(step, job, { notRun: "cancelledNotRun", begun: "cancelled" });
}

/** Looks after timeouts and retention of every job. */
export function checkJobs(step: Step): void {
  const { state } = step;
  const keepMs = state.configuration?.limits.answerRetentionMs ?? 0;
  for (const job of state.jobs.values()) {
    if (job.state === "ended") {
      if (state.nowMs - job.endedAtMs > keepMs) forgetJob(step, job);
    } else if (state.nowMs >= job.deadlineAtMs) onDeadline(step, job);
    else if (job.state === "claiming") checkClaimTimeout(step, job);
  }
}

function onDeadline(step: Step, job: Job): void {
  if (job.state === "claiming") {
    endJob(step, job, { diagnostic: "outcomeUnknown" });
    return;
  }
  abandonJob(step, job, { notRun: "noUpstream", begun: "deadlineExceeded" });
}

function forgetJob(step: Step, job: Job): void {
  const { state } = step;
  state.jobs.delete(job.jobId);
  const key = job.scopedKey;
  if (key !== null && state.jobsByKey.get(key) === job.jobId) {
    state.jobsByKey.delete(key);
  }
}
