/** Questions about jobs that another instance holds. */

import type { Answer, InstanceRef, PeerMessageOf } from "./schemas.ts";
import type {
  AttachWait,
  CoreEventOf,
  CoreState,
  Job,
  Step,
  Waiter,
} from "./types.ts";
import { onHolderSilent } from "./claiming.ts";
import { cancelJob, endJob } from "./jobs.ts";
import { emit, nextId, sendPeer } from "./utilities.ts";

/** How long a holder that is not known to be alive has to answer. */
export const ATTACH_TIMEOUT_MS = 1_500;

/** A question is asked again this often: cut links lose messages. */
const ATTACH_AGAIN_MS = 500;

/** The slot that a job id names: ids read `slot.incarnation.number`. */
export function slotOfJob(jobId: string): string {
  return jobId.split(".")[0] ?? "";
}

function incarnationOfJob({ holderJobId }: AttachWait): number {
  return Number(holderJobId.split(".")[1]);
}

/** Asks the holder of a job for its answer, and returns the question's id. */
export function askHolder(
  step: Step,
  { holder, holderJobId, team, job, requestId, wait = true }: {
    holder: string;
    holderJobId: string;
    team: string;
    job?: Job;
    requestId?: string;
    wait?: boolean;
  },
): string {
  const { state } = step;
  const attachId = nextId(state);
  const attach: AttachWait = {
    attachId,
    target: holder,
    team,
    firstAskedAtMs: state.nowMs,
    askedAtMs: state.nowMs,
    jobId: job?.jobId ?? null,
    requestId: requestId ?? null,
    holderJobId,
    wait,
  };
  state.attaches.set(attachId, attach);
  sendAttach(step, attach);
  return attachId;
}

function sendAttach(step: Step, attach: AttachWait): void {
  attach.askedAtMs = step.state.nowMs;
  sendPeer(step, attach.target, {
    type: "attach",
    attachId: attach.attachId,
    jobId: attach.holderJobId,
    team: attach.team,
    wait: attach.wait,
  });
}

/** Answers a peer that asks for a job of this instance. */
export function onAttach(
  step: Step,
  from: InstanceRef,
  message: PeerMessageOf<"attach">,
): void {
  const job = step.state.jobs.get(message.jobId);
  const visible = job !== undefined && job.team === message.team;
  const ended = job?.answer ?? undefined;
  sendPeer(step, from.slot, {
    type: "attachReply",
    attachId: message.attachId,
    known: visible,
    ...(visible && ended !== undefined ? { answer: ended } : {}),
  });
  if (visible && ended === undefined && message.wait) {
    addPeerWaiter(job, from.slot, message.attachId);
  }
}

function addPeerWaiter(job: Job, slot: string, attachId: string): void {
  const known = job.waiters.some((waiter) =>
    waiter.kind === "peer" && waiter.attachId === attachId
  );
  // A refusal would speak of this job's attempt only, not of the peer's.
  job.attempt = null;
  if (!known) job.waiters.push({ kind: "peer", slot, attachId });
}

/** Takes in a holder's answer. */
export function onAttachReply(
  step: Step,
  message: PeerMessageOf<"attachReply">,
): void {
  const { state } = step;
  const wait = state.attaches.get(message.attachId);
  if (wait === undefined) return;
  const running = message.known && message.answer === undefined;
  if (running && wait.wait) return;
  state.attaches.delete(message.attachId);
  const job = state.jobs.get(wait.jobId ?? "");
  if (job !== undefined && job.state !== "ended") {
    if (message.answer === undefined) onHolderSilent(step, job);
    else adoptAnswer(step, job, message.answer);
  }
  if (wait.requestId === null) return;
  if (running) replyAccepted(step, wait.requestId, wait.holderJobId);
  else replyToQuery(step, wait.requestId, message.answer);
}

function replyAccepted(step: Step, requestId: string, jobId: string): void {
  const reply = { kind: "accepted", jobId } as const;
  emit(step, { type: "replyCaller", requestId, reply });
}

function adoptAnswer(step: Step, job: Job, answer: Answer): void {
  endJob(step, job, { answer: { ...answer, jobId: job.jobId } });
}

function replyToQuery(
  step: Step,
  requestId: string,
  answer: Answer | undefined,
): void {
  emit(step, {
    type: "replyCaller",
    requestId,
    reply: answer === undefined
      ? { kind: "refused", diagnostic: "jobNotFound", argument: "" }
      : { kind: "answer", answer },
  });
}

/** A caller asks for a job by its id. */
export function onCallerQuery(
  step: Step,
  event: CoreEventOf<"callerQuery">,
): void {
  const { state } = step;
  const holder = slotOfJob(event.jobId);
  const job = state.jobs.get(event.jobId);
  if (job !== undefined && job.team === event.team) {
    answerQuery(step, job, event);
  } else if (holder !== state.self.slot && state.peers.has(holder)) {
    askHolder(step, {
      holder,
      holderJobId: event.jobId,
      team: event.team,
      requestId: event.requestId,
      wait: event.wait,
    });
  } else replyToQuery(step, event.requestId, undefined);
}

function answerQuery(
  step: Step,
  job: Job,
  event: CoreEventOf<"callerQuery">,
): void {
  const { requestId } = event;
  if (job.answer !== null) replyToQuery(step, requestId, job.answer);
  else if (event.wait) job.waiters.push({ kind: "caller", requestId });
  else replyAccepted(step, requestId, job.jobId);
}

/** Cancels jobs here, and tells each other holder in one message. */
export function onCallerCancel(
  step: Step,
  event: CoreEventOf<"callerCancel">,
): void {
  const { state } = step;
  const bySlot = new Map<string, string[]>();
  for (const jobId of event.jobIds) {
    const slot = slotOfJob(jobId);
    bySlot.set(slot, [...(bySlot.get(slot) ?? []), jobId]);
  }
  for (const [slot, jobIds] of bySlot) {
    if (slot === state.self.slot) cancelJobs(step, event.team, jobIds);
    else if (state.peers.has(slot)) {
      sendPeer(step, slot, { type: "cancel", team: event.team, jobIds });
    }
  }
  replyAccepted(step, event.requestId, event.jobIds[0] ?? "");
}

/** Cancels those of the jobs that run here and belong to the team. */
export function cancelJobs(
  step: Step,
  team: string,
  jobIds: readonly string[],
): void {
  for (const jobId of jobIds) {
    const job = step.state.jobs.get(jobId);
    if (job !== undefined && job.team === team) cancelJob(step, job);
  }
}

/** Tells a waiter how the job ended. */
export function tellWaiter(step: Step, waiter: Waiter, answer: Answer): void {
  if (waiter.kind === "caller") {
    emit(step, {
      type: "replyCaller",
      requestId: waiter.requestId,
      reply: { kind: "answer", answer },
    });
    return;
  }
  sendPeer(step, waiter.slot, {
    type: "attachReply",
    attachId: waiter.attachId,
    known: true,
    answer,
  });
}

/** Whether the job that asks has ended meanwhile, at its deadline say. */
function isMoot(state: CoreState, wait: AttachWait): boolean {
  if (wait.jobId === null) return false;
  return state.jobs.get(wait.jobId)?.state !== "claiming";
}

/** Gives up questions whose target is gone, or was never heard again. */
export function checkAttaches(step: Step): void {
  const { state } = step;
  for (const wait of [...state.attaches.values()]) {
    const peer = state.peers.get(wait.target);
    const heardMs = peer?.lastHeardMs ?? -Infinity;
    const silentSinceMs = Math.max(heardMs, wait.firstAskedAtMs);
    const silent = state.nowMs - silentSinceMs > ATTACH_TIMEOUT_MS;
    // A later incarnation answers heartbeats, but holds nothing of the former.
    const replaced = (peer?.incarnation ?? 0) > incarnationOfJob(wait);
    if (silent || replaced) {
      const { attachId } = wait;
      onAttachReply(step, { type: "attachReply", attachId, known: false });
    } else if (isMoot(state, wait)) state.attaches.delete(wait.attachId);
    else if (state.nowMs - wait.askedAtMs >= ATTACH_AGAIN_MS) {
      sendAttach(step, wait);
    }
  }
}
