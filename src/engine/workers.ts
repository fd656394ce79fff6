/**
 * The workers that a leader owns. Each is acquired under a fencing token; polls
 * renew its lease and read its lists of running and finished runs.
 */

import { isInOwnCell } from "./cells.ts";
import {
  expireLostRuns,
  hasFailedTrial,
  noteCrash,
  onWorkerAnswer,
  onWorkerListed,
} from "./crashes.ts";
import { emit, logDecision } from "./effects.ts";
import {
  FENCES_PER_TERM,
  firstFence,
  nextTermAfter,
  termOfFence,
  workersToOwn,
} from "./leadership.ts";
import { leaseEndsOnWorkerMs, maxLeaseMs, mayGrantLease } from "./leases.ts";
import { isFollowedByQuorum, mayHaveRival } from "./membership.ts";
import { awaitsReport } from "./record_reports.ts";
import {
  checkRuns,
  dropGoneRun,
  mayHaveRecord,
  processCompletion,
  reconcileRuns,
  stopRun,
} from "./runs.ts";
import { stalledMs } from "./run_progress.ts";
import type { WorkerInfo } from "./schemas.ts";
import { forgetOldCrashes } from "./suspected_queues.ts";
import { offersOf } from "./task_fit.ts";
import type {
  AcquisitionCause,
  EngineEventOf,
  EngineState,
  Job,
  OwnedWorker,
  PollOutcome,
  ReduceContext,
  Scheduler,
} from "./types.ts";

/** Number of completions from which on a worker leaves the later ones out. */
const MAX_LISTED_COMPLETIONS = 500;

/**
 * Maximum time for which a worker delays its answer to a poll until a run
 * completes.
 */
const POLL_WAIT_MS = 400;
/**
 * Maximum time for which a worker that has runs of unknown size delays its
 * answer to a poll.
 */
const UNSIZED_POLL_WAIT_MS = 40;
/**
 * Maximum time for which a worker delays its answer to a poll while a run seems
 * to stand still.
 */
const STALLED_POLL_WAIT_MS = 120;
/** Time without progress from which on a run seems to stand still. */
const SUSPECT_STALL_MS = 100;
/** Delay of the poll that acknowledges completions to a worker without runs. */
const ACKNOWLEDGE_DELAY_MS = 60;
/** Poll interval for workers with completions that must be recorded first. */
const RETAINED_POLL_INTERVAL_MS = 20;
/**
 * Poll interval for workers with completions that must be recorded first, while
 * the store of records is unavailable.
 */
const STORE_UNAVAILABLE_POLL_INTERVAL_MS = 200;
/**
 * Delay before retrying a worker after the second and later failed polls in a
 * row; it is retried without delay after the first.
 */
const POLL_RETRY_DELAY_MS = 300;
/**
 * Delay before acquiring a worker again that another instance owns, unless a
 * quorum of instances says before that it follows this leader: the owner is
 * probably a competing leader.
 */
const REACQUIRE_DELAY_MS = 5_000;
/**
 * Minimum delay before acquiring a worker again that another instance owns. It
 * is enough when no peer is missing and a quorum follows this leader.
 */
const UNCONTESTED_REACQUIRE_DELAY_MS = 200;
/**
 * Margin added to the time that workers take to stop a run, in the cool-down of
 * a newly acquired worker.
 */
const COOL_DOWN_SLACK_MS = 10;
/** Value of `pollCallId` that matches no call: call ids start at 1. */
const NO_CALL = 0;
/** Minimum interval between extra polls for jobs of previous leaders. */
const REREAD_INTERVAL_MS = 20;
/**
 * Number of terms by which the token is raised when the worker has seen a
 * higher one: 100 steps of 512 terms, by which terms that follow the wall
 * clock advance in 10 s.
 */
const FENCE_JUMP_TERMS = 512 * 100;
/**
 * Time after which a run found on a worker is stopped unless it has been
 * attached to its job.
 */
const ATTACH_TIMEOUT_MS = 120;

/**
 * Acquires the workers that this leader should own, and releases the others.
 */
export function syncWorkers(
  context: ReduceContext,
  scheduler: Scheduler,
): void {
  const { state } = context;
  const wanted = new Map(
    workersToOwn(state).map((info) => [info.workerId, info]),
  );
  for (const [workerId, worker] of scheduler.workers) {
    const info = wanted.get(workerId);
    if (info !== undefined) updateWorker(context, worker, info);
    else releaseWorker(context, scheduler, worker);
  }
  for (const [workerId, info] of wanted) {
    if (scheduler.workers.has(workerId)) continue;
    const worker = createWorker(state, scheduler, info);
    scheduler.workers.set(workerId, worker);
    onWorkerListed(context, info);
    acquireWorker(context, worker, "listed");
  }
  scheduler.offers = offersOf(scheduler.workers.values());
}

function updateWorker(
  context: ReduceContext,
  worker: OwnedWorker,
  info: WorkerInfo,
): void {
  const restarted = info.bornMs !== null && worker.startedAtMs !== null &&
    info.bornMs > worker.startedAtMs;
  const moved = info.address !== worker.info.address;
  worker.info = info;
  const wasReleased = worker.released;
  worker.released = false;
  if (wasReleased) {
    // Applies if the worker may not be acquired at once.
    worker.retryAtMs = context.state.nowMs;
    raiseFence(context, worker, "reassigned");
  } else if (restarted) raiseFence(context, worker, "restarted");
  else if (moved) raiseFence(context, worker, "moved");
}

/**
 * Releases a worker, and removes it from the scheduler if it has no runs and no
 * completions to report. A worker with runs that left the list of workers is
 * still polled, so that its runs can complete. One that is listed, but is now
 * assigned to another partition side or cell, is no longer polled, so that its
 * lease expires.
 */
function releaseWorker(
  context: ReduceContext,
  scheduler: Scheduler,
  worker: OwnedWorker,
): void {
  const { state } = context;
  const { workerId } = worker.info;
  const isSettled = worker.runs.size === 0 &&
    worker.orphanCompletions.length === 0;
  if (isSettled) {
    scheduler.workers.delete(workerId);
    return;
  }
  worker.released = true;
  if (!state.workers.has(workerId)) {
    worker.hasNewOwner = false;
    worker.newOwnerFoundAtMs = 0;
    return;
  }
  if (worker.phase === "lost" && worker.retryAtMs === Infinity) return;
  worker.phase = "lost";
  markOwnedElsewhere(state, worker);
  worker.retryAtMs = Infinity;
  worker.pollCallId = NO_CALL;
}

function createWorker(
  state: EngineState,
  scheduler: Scheduler,
  info: WorkerInfo,
): OwnedWorker {
  return {
    info,
    phase: "taking",
    acquisitionCause: "listed",
    released: false,
    fence: firstFenceOf(state, scheduler, info.workerId),
    startedAtMs: null,
    clockOffsetMs: 0,
    clockReadAtMs: -Infinity,
    processedSequence: 0,
    retainedSequences: new Set(),
    orphanCompletions: [],
    orphansReadAtMs: -Infinity,
    hasNewOwner: false,
    newOwnerFoundAtMs: 0,
    wasFenced: false,
    nextReportAtMs: 0,
    acknowledgedSequence: 0,
    pollCallId: 0,
    pollSentAtMs: 0,
    listsReadAtMs: -Infinity,
    pollFailures: 0,
    nextPollAtMs: state.nowMs,
    leaseExpiresAtMs: 0,
    usableFromMs: 0,
    runs: new Map(),
    usedCpuMilli: 0,
    usedMemoryMb: 0,
    usedAccelerators: 0,
    unsizedRunCount: 0,
    consecutiveFailures: 0,
    failedJobIds: new Set(),
    suspendedUntilMs: 0,
    slowness: 1,
    trialCount: 0,
    crash: null,
    reservedUntilMs: 0,
    retryAtMs: 0,
  };
}

/**
 * Returns the first token of this leader for a worker, which is above those that
 * a lender or a borrower of the worker is known to have used.
 */
function firstFenceOf(
  state: EngineState,
  { term, loans }: Scheduler,
  workerId: string,
): number {
  const floor = loans.borrowed.get(workerId)?.lenderFence ??
    loans.fenceFloors.get(workerId) ?? 0;
  if (floor < firstFence(term)) return firstFence(term);
  return firstFence(nextTermAfter(state, termOfFence(floor)));
}

/** Reads a worker's lists under its token, without renewing the lease. */
function acquireWorker(
  context: ReduceContext,
  worker: OwnedWorker,
  cause: AcquisitionCause,
): void {
  worker.phase = "taking";
  worker.acquisitionCause = cause;
  sendPoll(context, worker, { waitMs: 0, renews: false });
}

/**
 * Raises a worker's fencing token and reads its lists. A call sent under the
 * previous token either shows its effect in these lists or never takes effect.
 * Does nothing while the worker must be left to another owner.
 */
export function raiseFence(
  context: ReduceContext,
  worker: OwnedWorker,
  cause: AcquisitionCause,
): void {
  if (!context.state.guards.mayAcquire(worker, cause)) return;
  worker.fence += 1;
  acquireWorker(context, worker, cause);
}

/**
 * Sends a poll, which is a `hold` call on the wire. It acknowledges completions
 * and renews the worker's lease if `renews` is set. A pending earlier poll is
 * no longer awaited.
 */
function sendPoll(
  context: ReduceContext,
  worker: OwnedWorker,
  { waitMs, renews }: { waitMs: number; renews: boolean },
): void {
  const { state } = context;
  state.lastCallId += 1;
  state.counters.holds += 1;
  worker.pollCallId = state.lastCallId;
  worker.pollSentAtMs = state.nowMs;
  worker.nextPollAtMs = Infinity;
  worker.acknowledgedSequence = discardableSequence(worker);
  if (renews) {
    worker.leaseExpiresAtMs = state.nowMs + maxLeaseMs(state);
  }
  emit(context, {
    type: "hold",
    workerId: worker.info.workerId,
    address: worker.info.address,
    callId: worker.pollCallId,
    fence: worker.fence,
    lastSeenEnd: worker.acknowledgedSequence,
    leaseEndsMs: renews ? leaseEndsOnWorkerMs(state, worker) : null,
    waitMs,
  });
}

/** Polls a worker without runs, whose clock must be read before a task starts. */
export function pollForClock(
  context: ReduceContext,
  worker: OwnedWorker,
): void {
  sendPoll(context, worker, { waitMs: 0, renews: false });
}

/**
 * Returns the sequence number up to which the worker may discard all
 * completions.
 */
function discardableSequence(
  { processedSequence, retainedSequences }: OwnedWorker,
): number {
  return retainedSequences.size === 0
    ? processedSequence
    : Math.min(...retainedSequences) - 1;
}

type PollHandlers = {
  [K in PollOutcome["kind"]]: (
    context: ReduceContext,
    worker: OwnedWorker,
    outcome: Extract<PollOutcome, { kind: K }>,
  ) => void;
};

const pollHandlers: PollHandlers = {
  // On the wire, `held` means that the worker accepted the poll.
  held: onPollSucceeded,
  fenced: (context, worker) => relinquishWorker(context, worker),
  replaced: (context, worker) => {
    noteCrash(context, worker, { confirmed: true, reason: "replaced" });
    markWorkerLost(context, worker, "replaced");
  },
  notListening: (context, worker) => {
    noteCrash(context, worker, { confirmed: false, reason: "notListening" });
    markWorkerLost(context, worker, "notListening");
  },
  unhealthy: (context, worker) => markWorkerLost(context, worker, "unhealthy"),
  unreachable: (context, worker, { detail }) =>
    markWorkerLost(context, worker, detail),
};

/**
 * Handles the outcome of a poll. Returns the worker, on which tasks may be
 * placed now, or null if the poll is no longer awaited.
 */
export function onPollCompleted(
  context: ReduceContext,
  event: EngineEventOf<"pollCompleted">,
): OwnedWorker | null {
  const worker = context.state.scheduler?.workers.get(event.workerId);
  if (worker === undefined || worker.pollCallId !== event.callId) return null;
  const handler = pollHandlers[event.outcome.kind] as (
    context: ReduceContext,
    worker: OwnedWorker,
    outcome: PollOutcome,
  ) => void;
  handler(context, worker, event.outcome);
  return worker;
}

function onPollSucceeded(
  context: ReduceContext,
  worker: OwnedWorker,
  outcome: Extract<PollOutcome, { kind: "held" }>,
): void {
  const { state } = context;
  const underNewFence = worker.phase !== "ready";
  worker.pollFailures = 0;
  worker.listsReadAtMs = worker.pollSentAtMs;
  worker.clockOffsetMs = outcome.clockMs - state.nowMs;
  worker.clockReadAtMs = state.nowMs;
  const hasRestarted = updateIncarnation(context, worker, outcome.bornMs);
  // A start under the present token may arrive at the new incarnation after
  // this list; under a raised token, the next one shows it or it is refused.
  if (hasRestarted && !underNewFence) {
    raiseFence(context, worker, "restarted");
    return;
  }
  for (const row of outcome.finished) {
    if (row.sequence <= worker.processedSequence) continue;
    worker.processedSequence = row.sequence;
    processCompletion(context, worker, row);
  }
  reconcileRuns(context, worker, {
    running: outcome.running,
    clockMs: outcome.clockMs,
    sentAtMs: worker.pollSentAtMs,
    underNewFence,
    listsAllEnds: outcome.finished.length < MAX_LISTED_COMPLETIONS,
  });
  onWorkerAnswer(context, worker);
  if (underNewFence) becomeReady(context, worker);
  schedulePoll(context, worker);
}

/**
 * Updates the start time that identifies the worker's incarnation. A restarted
 * worker has lost its runs and its list of completions. Returns whether it has
 * restarted.
 */
function updateIncarnation(
  context: ReduceContext,
  worker: OwnedWorker,
  startedAtMs: number | null,
): boolean {
  if (startedAtMs === null || startedAtMs === worker.startedAtMs) return false;
  const hasRestarted = worker.startedAtMs !== null;
  if (hasRestarted) {
    logDecision(context, { part: "workers", text: "worker restarted" }, {
      workerId: worker.info.workerId,
      bornMs: startedAtMs,
      runsLost: worker.runs.size,
    });
    noteCrash(context, worker, { confirmed: true, reason: "restarted" });
    worker.processedSequence = 0;
    worker.acknowledgedSequence = 0;
    worker.retainedSequences = new Set();
    worker.orphanCompletions = [];
    worker.consecutiveFailures = 0;
    worker.failedJobIds.clear();
    // A requested run may have started before the restart and is not listed any
    // more. As a running run, it is dropped as lost and not as never started.
    for (const run of worker.runs.values()) {
      if (run.state === "starting") run.state = "running";
    }
  }
  worker.startedAtMs = startedAtMs;
  return hasRestarted;
}

function becomeReady(context: ReduceContext, worker: OwnedWorker): void {
  const { state } = context;
  const { newOwnerFoundAtMs } = worker;
  worker.phase = "ready";
  worker.hasNewOwner = false;
  worker.newOwnerFoundAtMs = 0;
  worker.wasFenced = false;
  // A run that the previous owner stopped is not listed any more, but may
  // occupy the worker for as long as a stop takes.
  if (worker.usableFromMs === 0) {
    worker.usableFromMs = state.nowMs + state.stopMs + COOL_DOWN_SLACK_MS;
  }
  logDecision(context, { part: "workers", text: "worker acquired" }, {
    workerId: worker.info.workerId,
    fence: worker.fence,
    runs: worker.runs.size,
    cause: worker.acquisitionCause,
    // Set if another instance or cell owned the worker meanwhile.
    newOwnerFoundMsAgo: newOwnerFoundAtMs === 0
      ? null
      : Math.round(state.nowMs - newOwnerFoundAtMs),
  });
}

/**
 * Schedules the next poll of a worker. A worker that has runs, but no retained
 * completions, is polled at once; one that has no runs and whose completions
 * are all acknowledged is not polled.
 */
function schedulePoll(context: ReduceContext, worker: OwnedWorker): void {
  const { state } = context;
  if (worker.retainedSequences.size > 0) {
    const isUnavailable =
      (state.scheduler?.records.unavailableSinceMs ?? 0) > 0;
    worker.nextPollAtMs = state.nowMs +
      (isUnavailable
        ? STORE_UNAVAILABLE_POLL_INTERVAL_MS
        : RETAINED_POLL_INTERVAL_MS);
    return;
  }
  if (worker.runs.size > 0) {
    pollBusyWorker(context, worker);
    return;
  }
  worker.nextPollAtMs = worker.acknowledgedSequence < worker.processedSequence
    ? state.nowMs + ACKNOWLEDGE_DELAY_MS
    : Infinity;
}

/**
 * Polls a worker that has runs; the worker may delay its answer until a run
 * completes. The lease is not renewed while runs of unknown size or unknown
 * completions are present: they belong to no job known here, and the leader that
 * has their jobs relies on the expiry of the lease.
 */
function pollBusyWorker(context: ReduceContext, worker: OwnedWorker): void {
  const renews = worker.unsizedRunCount === 0 &&
    mayGrantLease(context.state, worker);
  const busyWaitMs = !renews
    ? UNSIZED_POLL_WAIT_MS
    : hasStalledRun(worker)
    ? STALLED_POLL_WAIT_MS
    : POLL_WAIT_MS;
  // A worker with completions in its list answers at once.
  const waitMs = worker.retainedSequences.size > 0 ? 0 : busyWaitMs;
  sendPoll(context, worker, { waitMs, renews });
}

/** Whether a run on a worker seems to stand still. */
function hasStalledRun(worker: OwnedWorker): boolean {
  for (const { progress } of worker.runs.values()) {
    if (progress !== null && stalledMs(progress) > SUSPECT_STALL_MS) {
      return true;
    }
  }
  return false;
}

function markOwnedElsewhere(state: EngineState, worker: OwnedWorker): void {
  worker.hasNewOwner = true;
  worker.newOwnerFoundAtMs = state.nowMs;
}

/**
 * Relinquishes a worker that another instance owns under a higher token, and
 * schedules an attempt to acquire it again, with its token raised by a jump.
 */
export function relinquishWorker(
  context: ReduceContext,
  worker: OwnedWorker,
): void {
  const { state } = context;
  const rivalLikely = mayHaveRival(state);
  worker.phase = "lost";
  worker.wasFenced = true;
  markOwnedElsewhere(state, worker);
  worker.usableFromMs = 0;
  // A pending poll was accepted under a token that is no longer valid.
  worker.pollCallId = NO_CALL;
  // The new owner may renew the lease until it has stopped the runs that it
  // can't attach to a job.
  worker.leaseExpiresAtMs = state.nowMs + ATTACH_TIMEOUT_MS + state.stopMs +
    maxLeaseMs(state);
  worker.fence += FENCE_JUMP_TERMS * FENCES_PER_TERM;
  endLoanOf(state, worker);
  worker.retryAtMs = state.nowMs +
    (rivalLikely ? REACQUIRE_DELAY_MS : UNCONTESTED_REACQUIRE_DELAY_MS);
  logDecision(context, {
    level: "warn",
    part: "workers",
    text: "worker is owned by another instance",
  }, { workerId: worker.info.workerId, rivalLikely });
}

/** Ends the loan of a borrowed worker that another instance owns now. */
function endLoanOf({ scheduler }: EngineState, worker: OwnedWorker): void {
  const { workerId } = worker.info;
  const { borrowed, fenceFloors } = scheduler?.loans ?? {};
  if (borrowed?.delete(workerId)) fenceFloors?.set(workerId, worker.fence);
}

/** Marks a worker as lost after a failed poll, and schedules a retry. */
function markWorkerLost(
  context: ReduceContext,
  worker: OwnedWorker,
  reason: string,
): void {
  const { state } = context;
  worker.pollFailures += 1;
  if (worker.pollFailures === 1) {
    logDecision(context, {
      level: "warn",
      part: "workers",
      text: "worker poll failed",
    }, { workerId: worker.info.workerId, reason, runs: worker.runs.size });
  }
  worker.phase = "lost";
  worker.usableFromMs = 0;
  worker.retryAtMs = state.nowMs +
    (worker.pollFailures === 1 ? 0 : POLL_RETRY_DELAY_MS);
}

/**
 * Polls the workers again for jobs that a previous leader had, if requested: an
 * instance that was a leader at the same time as this one may have acquired
 * some workers and started tasks of these jobs there.
 */
export function rereadWorkers(
  context: ReduceContext,
  scheduler: Scheduler,
): void {
  const { state } = context;
  const { rereadWanted, rereadAtMs } = scheduler;
  if (!rereadWanted || state.nowMs - rereadAtMs < REREAD_INTERVAL_MS) return;
  scheduler.rereadWanted = false;
  scheduler.rereadAtMs = state.nowMs;
  for (const worker of scheduler.workers.values()) {
    if (worker.phase !== "ready" || worker.released) continue;
    if (worker.pollSentAtMs >= state.nowMs) continue;
    const renews = worker.runs.size > 0 && worker.unsizedRunCount === 0 &&
      mayGrantLease(state, worker);
    sendPoll(context, worker, { waitMs: 0, renews });
  }
}

/**
 * Drops expired runs of lost workers, retries lost workers that are due, stops
 * runs as required, and sends the polls that are due.
 */
export function checkWorkers(
  context: ReduceContext,
  scheduler: Scheduler,
): void {
  const { state } = context;
  expireLostRuns(context);
  forgetOldCrashes(state, scheduler);
  for (const worker of scheduler.workers.values()) {
    dropExpiredRuns(context, worker);
    if (worker.phase === "lost") {
      if (state.nowMs >= worker.retryAtMs && mayRetry(state, worker)) {
        worker.retryAtMs = Infinity;
        raiseFence(context, worker, "retry");
      }
      continue;
    }
    stopUnattachedRuns(context, worker);
    checkRuns(context, worker);
    if (state.nowMs < worker.nextPollAtMs || worker.phase !== "ready") continue;
    if (worker.runs.size > 0) pollBusyWorker(context, worker);
    else sendPoll(context, worker, { waitMs: 0, renews: false });
  }
}

/**
 * Whether a lost worker whose retry is due may be acquired; the guard
 * `mayAcquire` leaves a worker of another owner to this retry. While another
 * instance owns it, the followers decide which of the two is the leader: a
 * leader that was replaced a moment ago may not miss its peers yet.
 */
function mayRetry(
  state: EngineState,
  { hasNewOwner, newOwnerFoundAtMs }: OwnedWorker,
): boolean {
  return !hasNewOwner ||
    state.nowMs - newOwnerFoundAtMs >= REACQUIRE_DELAY_MS ||
    isFollowedByQuorum(state, newOwnerFoundAtMs);
}

/**
 * Drops the runs of a lost worker once all leases that cover them have expired,
 * unless another leader may be renewing them.
 */
function dropExpiredRuns(context: ReduceContext, worker: OwnedWorker): void {
  const { state } = context;
  if (worker.phase !== "lost" || worker.runs.size === 0) return;
  endFailedTrials(context, worker);
  if (!state.guards.hasExpired(state.nowMs, worker.leaseExpiresAtMs)) return;
  for (const run of [...worker.runs.values()]) {
    if (run.job !== null && mayBeRenewedElsewhere(state, worker, run.job)) {
      continue;
    }
    if (awaitsReport(state, worker, run)) continue;
    state.counters.tasksLapsed += 1;
    dropGoneRun(context, worker, run);
  }
}

/**
 * Reports the runs that show, before their leases have expired, that their tasks
 * are to be given up. They occupy capacity until the leases have expired.
 */
function endFailedTrials(context: ReduceContext, worker: OwnedWorker): void {
  const { workerId } = worker.info;
  for (const run of worker.runs.values()) {
    const { job, task } = run;
    if (job === null || task === null) continue;
    if (!hasFailedTrial(context, worker, run)) continue;
    const kind = "crashed";
    context.taskCompletions.push({ job, task, workerId, kind, lost: run });
  }
}

/**
 * Whether another leader may be renewing the runs of a job, because an entry
 * resubmitted the job there. This is ruled out for an entry that was heard from
 * since the lease expired and that follows this leader or is of another cell,
 * and for a job with a record, which only the leader responsible for the
 * records runs.
 */
function mayBeRenewedElsewhere(
  state: EngineState,
  { leaseExpiresAtMs }: OwnedWorker,
  job: Job,
): boolean {
  if (job.record !== null) return false;
  for (const entryId of job.submissionIdByEntry.keys()) {
    const peer = state.peers.get(entryId);
    if (peer === undefined) continue;
    const isOwnCell = isInOwnCell(state, peer.info);
    const follows = !isOwnCell || peer.leaderId === state.self.instanceId;
    if (!follows || peer.lastHeardAtMs < leaseExpiresAtMs) return true;
  }
  return false;
}

/** Stops runs that were not attached to a job within the time limit. */
function stopUnattachedRuns(context: ReduceContext, worker: OwnedWorker): void {
  const { scheduler } = context.state;
  // Such a run may belong to a job whose record has not been read.
  if (scheduler === null || mayHaveRecord(context.state, scheduler)) return;
  for (const run of worker.runs.values()) {
    if (run.job !== null) continue;
    if (context.state.nowMs - run.placedAtMs < ATTACH_TIMEOUT_MS) continue;
    stopRun(context, worker, run);
  }
}
