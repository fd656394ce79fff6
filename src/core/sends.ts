/** What becomes of a task when its send ends. */

import type {
  CoreEventOf,
  Job,
  Send,
  SendOutcome,
  Step,
  Task,
  Upstream,
} from "./types.ts";
import { learnRun } from "../engine/estimates.ts";
import { requeueTask } from "./flows.ts";
import { abandonJob, endJob } from "./jobs.ts";
import { dispatch } from "./placement.ts";
import { noteOutcome } from "./upstreams.ts";
import { sendPeer } from "./utilities.ts";

/** How often one task may be refused by upstreams before its job ends. */
const MAX_SENDS_PER_TASK = 8;

interface Ended {
  readonly job: Job;
  readonly task: Task;
  readonly outcome: SendOutcome;
}

/** Takes in the end of a send. */
export function onSendEnded(
  step: Step,
  event: CoreEventOf<"sendEnded">,
): void {
  const { state } = step;
  const send = state.sends.get(event.sendId);
  if (send === undefined) {
    state.counters.answersUnmatched += 1;
    return;
  }
  state.sends.delete(event.sendId);
  const job = state.jobs.get(send.jobId);
  const task = job?.tasks[send.taskIndex];
  const outcome = matched(step, event.outcome, task);
  const upstream = state.upstreams.get(send.upstreamId);
  freeSlot(step, send, { upstream, job });
  if (upstream !== undefined) noteOutcome(state, upstream, outcome);
  if (job !== undefined && task !== undefined) {
    settle(step, { job, task, outcome });
    if (outcome.kind === "done") learnFrom(step, job, send);
  }
  if (upstream !== undefined) dispatch(step, upstream.service);
}

/** An answer to another task than the one sent says nothing of this one. */
function matched(
  step: Step,
  outcome: SendOutcome,
  task: Task | undefined,
): SendOutcome {
  if (outcome.kind === "notRun" || outcome.kind === "unknown") return outcome;
  if (task === undefined) return outcome;
  if (step.state.guards.answerMatches(outcome.taskId, task)) return outcome;
  step.state.counters.answersUnmatched += 1;
  return { kind: "unknown", detail: "the answer was to another task" };
}

function freeSlot(
  step: Step,
  send: Send,
  { upstream, job }: { upstream: Upstream | undefined; job: Job | undefined },
): void {
  const { state } = step;
  const flow = state.flows.get(job?.flow ?? "");
  if (flow !== undefined) flow.inFlight -= 1;
  if (upstream === undefined) return;
  upstream.inFlight -= 1;
  if (send.borrowedFrom === null) {
    upstream.inFlightOwned -= 1;
    return;
  }
  // The lender knows best whose work is the latest now.
  const upstreamIds = [upstream.id];
  sendPeer(step, send.borrowedFrom, { type: "returnSlots", upstreamIds });
}

function learnFrom(step: Step, job: Job, send: Send): void {
  const flow = step.state.flows.get(job.flow);
  const task = job.tasks[send.taskIndex];
  if (flow === undefined || task === undefined) return;
  const ranMs = step.state.nowMs - send.sentAtMs;
  learnRun(flow.runs, ranMs, task.declaredMs);
}

function settle(step: Step, { job, task, outcome }: Ended): void {
  if (outcome.kind === "notRun") step.state.counters.sendsNotRun += 1;
  if (outcome.kind === "unknown") step.state.counters.sendsUnknown += 1;
  if (job.state === "ended" || task.state !== "sent") return;
  if (step.state.guards.mayRetry(outcome)) {
    retry(step, job, task);
    return;
  }
  const handlers: Record<SendOutcome["kind"], () => void> = {
    done: () => settleDone(step, { job, task, outcome }),
    failed: () => {
      task.state = "failed";
      endJob(step, job, { diagnostic: "taskFailed" });
    },
    unknown: () => {
      task.state = "unknown";
      endJob(step, job, { diagnostic: "taskUnknown" });
    },
    notRun: () => {
      task.state = "failed";
      endJob(step, job, { diagnostic: "taskFailed" });
    },
  };
  handlers[outcome.kind]();
}

function settleDone(step: Step, { job, task, outcome }: Ended): void {
  if (outcome.kind !== "done") return;
  task.state = "done";
  task.result = outcome.result;
  job.unfinished -= 1;
  if (step.state.guards.isWhole(job)) endJob(step, job, {});
}

function retry(step: Step, job: Job, task: Task): void {
  task.state = "queued";
  requeueTask(step.state, job, task);
  if (task.sends >= MAX_SENDS_PER_TASK) {
    abandonJob(step, job, { notRun: "noUpstream", begun: "taskFailed" });
  }
}
