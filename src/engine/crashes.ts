/**
 * Workers that crashed, and the tasks under which they did. A worker that is
 * silent may be slow, paused or partitioned and may still run its tasks. One
 * that refuses connections has probably crashed, although some network
 * partitions refuse connections, too. One of which another incarnation answers
 * has certainly crashed.
 *
 * A crash counts for every task that the worker ran. The tasks that started last
 * are suspects, as are those of a second crash: they run again only on a worker
 * of their own (`trials.ts`), so that a second crash concerns no other task.
 */

import { logDecision } from "./effects.ts";
import { noteFailedOn } from "./job_state.ts";
import { markDirty } from "./records.ts";
import type { WorkerInfo } from "./schemas.ts";
import { blamedQueue, blameQueue } from "./suspected_queues.ts";
import type {
  LostRun,
  OwnedWorker,
  ReduceContext,
  Scheduler,
  Task,
  TaskCompletion,
  WorkerCrash,
  WorkerRun,
} from "./types.ts";

/** Number of crashes, one of them in a trial, at which a task is given up. */
export const GIVE_UP_CRASHES = 2;
/** Number of crashes at which a task is given up in any case. */
export const MAX_CRASHES = 3;
/**
 * Runs that started at most this long before the latest one on a crashed worker
 * are suspects: tasks crash their workers when they start.
 */
const SUSPECT_WINDOW_MS = 100;
/**
 * Time for which a task with lost runs waits for evidence of what became of
 * their workers: a crashed worker is back, at the same address, after seconds.
 */
const EVIDENCE_TIMEOUT_MS = 10_000;
/**
 * Number and share of a service's workers beyond which losses within
 * `MASS_LOSS_WINDOW_MS` have a common cause, which is no task.
 */
const MASS_LOSS_WORKERS = 3;
const MASS_LOSS_SHARE = 0.2;
const MASS_LOSS_WINDOW_MS = 300;

/** What shows that a worker has crashed. */
export interface CrashEvidence {
  readonly confirmed: boolean;
  readonly reason: "notListening" | "replaced" | "restarted";
}

/**
 * Notes that a worker has crashed, or has certainly crashed. A draining worker
 * ends as planned, so nothing is noted of it.
 */
export function noteCrash(
  context: ReduceContext,
  worker: OwnedWorker,
  { confirmed, reason }: CrashEvidence,
): void {
  const { state } = context;
  const { crash, info } = worker;
  if (info.draining || (crash !== null && crash.confirmed >= confirmed)) return;
  const runs = [...worker.runs.values()];
  worker.crash = crash === null
    ? createCrash(context, worker, confirmed)
    : { ...crash, confirmed };
  if (confirmed) {
    countLostRuns(context, (lost) => lost.workerId === info.workerId);
  }
  logDecision(context, {
    level: "warn",
    part: "workers",
    text: confirmed ? "worker crashed" : "worker presumed crashed",
  }, {
    workerId: info.workerId,
    reason,
    queue: worker.crash.queueName,
    runs: runs.map(({ taskName, placedAtMs, isSuspect }) => ({
      task: taskName,
      ageMs: Math.round(state.nowMs - placedAtMs),
      isSuspect,
    })),
  });
}

function createCrash(
  { state }: ReduceContext,
  { runs: runByKey }: OwnedWorker,
  confirmed: boolean,
): WorkerCrash {
  state.counters.workersCrashed += 1;
  const runs = [...runByKey.values()];
  markSuspects(runs);
  const queueName = blamedQueue(runs);
  if (queueName !== null && state.scheduler !== null) {
    blameQueue(state, state.scheduler, queueName);
  }
  const endedTrial = runs.some(({ isTrial }) => isTrial);
  return { detectedAtMs: state.nowMs, confirmed, endedTrial, queueName };
}

function markSuspects(runs: readonly WorkerRun[]): void {
  const latestMs = Math.max(...runs.map(({ placedAtMs }) => placedAtMs));
  for (const run of runs) {
    run.isSuspect = latestMs - run.placedAtMs <= SUSPECT_WINDOW_MS;
  }
}

/**
 * Handles an answer of a worker, which shows by its incarnation what became of
 * the runs that were lost there. Its crash, if it had one, is over.
 */
export function onWorkerAnswer(
  context: ReduceContext,
  worker: OwnedWorker,
): void {
  const { crash, startedAtMs } = worker;
  const { workerId } = worker.info;
  worker.crash = null;
  countLostRuns(
    context,
    (lost) => lost.workerId === workerId && lost.startedAtMs !== startedAtMs,
  );
  dismissLostRuns(context, (lost) => lost.workerId === workerId);
  if (crash === null || crash.confirmed) return;
  logDecision(context, {
    part: "workers",
    text: "worker answers again; it had not crashed",
  }, {
    workerId,
    silentMs: Math.round(context.state.nowMs - crash.detectedAtMs),
  });
}

/**
 * Returns what became of a run that is gone without a completion. Refused
 * connections prove no crash: a recorded job, which can wait, waits for proof.
 */
export function goneKind(
  { state }: ReduceContext,
  worker: OwnedWorker,
  { job }: WorkerRun,
): "crashed" | "lost" {
  const { crash } = worker;
  if (crash === null) return "lost";
  if (crash.confirmed) return "crashed";
  if (job === null || job.record !== null) return "lost";
  return isMassLoss(state.scheduler, worker) ? "lost" : "crashed";
}

/**
 * Whether a trial shows by now that its task must be given up, though its lease
 * has not expired: its worker refuses connections, no other was lost with it,
 * and the task has crashed a worker before. Only for jobs in memory, of which
 * callers wait; a recorded job waits for proof.
 */
export function hasFailedTrial(
  { state }: ReduceContext,
  worker: OwnedWorker,
  { job, task, isTrial }: WorkerRun,
): boolean {
  const { crash } = worker;
  if (!isTrial || crash === null || job === null || task === null) return false;
  if (job.record !== null || job.outcome !== null) return false;
  if (state.nowMs - crash.detectedAtMs < MASS_LOSS_WINDOW_MS) return false;
  const crashes = task.crashes + 1;
  return state.guards.mustGiveUp({ crashes, crashedAlone: true }) &&
    !isMassLoss(state.scheduler, worker);
}

/** Whether many workers of a service were lost at the same time as this one. */
function isMassLoss(scheduler: Scheduler | null, worker: OwnedWorker): boolean {
  const atMs = worker.crash?.detectedAtMs ?? 0;
  let all = 0;
  let lost = 0;
  for (const { info, crash } of scheduler?.workers.values() ?? []) {
    if (info.service !== worker.info.service) continue;
    all += 1;
    const isNear = crash !== null &&
      Math.abs(crash.detectedAtMs - atMs) <= MASS_LOSS_WINDOW_MS;
    if (isNear) lost += 1;
  }
  return lost > Math.max(MASS_LOSS_WORKERS, MASS_LOSS_SHARE * all);
}

/**
 * Remembers a run of a recorded job that was lost with an unreachable worker,
 * until evidence shows whether the worker has crashed.
 */
export function rememberLostRun(
  { state }: ReduceContext,
  worker: OwnedWorker,
  { job, task, isTrial, isSuspect }: WorkerRun,
): void {
  const { scheduler } = state;
  if (scheduler === null || worker.phase !== "lost") return;
  if (job === null || task === null || job.record === null) return;
  const { workerId, address } = worker.info;
  const { startedAtMs } = worker;
  scheduler.lostRuns.push({
    workerId,
    address,
    startedAtMs,
    job,
    task,
    isTrial,
    lostAtMs: state.nowMs,
  });
  task.unresolvedLosses += 1;
  task.runsAlone ||= isSuspect && !isMassLoss(scheduler, worker);
  markDirty(scheduler, job);
}

/**
 * Handles a worker that is listed for the first time. A previous worker at its
 * address has ended.
 */
export function onWorkerListed(
  context: ReduceContext,
  { workerId, address }: WorkerInfo,
): void {
  countLostRuns(
    context,
    (lost) => lost.workerId !== workerId && lost.address === address,
  );
}

/** Counts the lost runs that match as runs on workers that crashed. */
function countLostRuns(
  context: ReduceContext,
  matches: (lost: LostRun) => boolean,
): void {
  dismissLostRuns(context, (lost) => {
    if (!matches(lost)) return false;
    const { job, task, isTrial } = lost;
    context.taskCompletions.push({
      job,
      task,
      workerId: lost.workerId,
      kind: "crashFound",
      lost: { isTrial, isSuspect: false },
    });
    return true;
  });
}

/** Forgets the lost runs that match. */
function dismissLostRuns(
  { state }: ReduceContext,
  matches: (lost: LostRun) => boolean,
): void {
  const { scheduler } = state;
  if (scheduler === null || scheduler.lostRuns.length === 0) return;
  scheduler.lostRuns = scheduler.lostRuns.filter((lost) => {
    if (!matches(lost)) return true;
    lost.task.unresolvedLosses -= 1;
    markDirty(scheduler, lost.job);
    return false;
  });
}

/** Stops waiting for evidence of runs that were lost a long time ago. */
export function expireLostRuns(context: ReduceContext): void {
  const { nowMs } = context.state;
  dismissLostRuns(
    context,
    ({ lostAtMs }) => nowMs - lostAtMs >= EVIDENCE_TIMEOUT_MS,
  );
}

/**
 * Whether a task must not start yet, since it may already have crashed as many
 * workers as it takes to give it up.
 */
export function awaitsEvidence({ crashes, unresolvedLosses }: Task): boolean {
  return unresolvedLosses > 0 && crashes + unresolvedLosses >= GIVE_UP_CRASHES;
}

/**
 * Counts a crash of a worker that had a run of a task. Returns whether the task
 * is to be given up.
 */
export function countCrash(
  { state }: ReduceContext,
  { job, task, workerId, lost }: TaskCompletion,
): boolean {
  task.crashes += 1;
  task.crashedAlone ||= lost?.isTrial === true;
  task.runsAlone ||= lost?.isSuspect === true ||
    task.crashes >= GIVE_UP_CRASHES;
  noteFailedOn(task, workerId);
  if (job.record !== null && state.scheduler !== null) {
    markDirty(state.scheduler, job);
  }
  return task.state !== "placed" && state.guards.mustGiveUp(task);
}
