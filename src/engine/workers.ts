/**
 * The workers that a leader holds: taken under a fencing token, kept by
 * renewing leases, read for ends, and let go.
 */

import { isOfCell } from "./cells.ts";
import type { WorkerInfo } from "./schemas.ts";
import { hasMissingPeers, seesMajority } from "./membership.ts";
import { leaseEndsOnWorkerMs, longestLeaseMs } from "./leases.ts";
import { FENCES_PER_TERM, firstFence, workersOfSide } from "./ownership.ts";
import {
  checkRuns,
  dropRun,
  mayHaveRecord,
  processCompletion,
  reconcileRuns,
  stopRun,
} from "./runs.ts";
import { emit, logDecision } from "./effects.ts";
import type {
  EngineEventOf,
  EngineState,
  Job,
  OwnedWorker,
  PollOutcome,
  ReduceContext,
  Scheduler,
} from "./types.ts";

/** How long a hold waits at the worker for an end. */
const POLL_WAIT_MS = 400;
/** And where runs that nobody claimed yet are among what runs there. */
const UNSIZED_POLL_WAIT_MS = 40;
/** Ends on a worker that runs nothing more are acknowledged after so long. */
const ACKNOWLEDGE_DELAY_MS = 60;
/** While the store has to tell of ends first, a worker is read so often. */
const RETAINED_POLL_INTERVAL_MS = 20;
/** And while the store is away. */
const STORE_UNAVAILABLE_POLL_INTERVAL_MS = 200;
/** An unreachable worker is tried again after so long. */
const POLL_RETRY_DELAY_MS = 300;
/** A worker lost to another instance is taken again after so long. */
const REACQUIRE_DELAY_MS = 5_000;
/** And after so long where no instance is missing. */
const UNCONTESTED_REACQUIRE_DELAY_MS = 200;
/** A worker rests so much longer than a stop takes. */
const COOL_DOWN_SLACK_MS = 10;
/** The id of no call. */
const NO_CALL = 0;
/** Workers are read anew for jobs of former leaders at most so often. */
const MIN_REREAD_INTERVAL_MS = 20;
/** By so many terms the token rises when a worker has seen a higher one. */
const FENCE_JUMP_TERMS = 512 * 100;
/** A run of a former leader is claimed by its entry within so long. */
const ATTACH_TIMEOUT_MS = 120;

/** Takes the workers that this leader should hold, and lets others go. */
export function syncWorkers(
  context: ReduceContext,
  scheduler: Scheduler,
): void {
  const { state } = context;
  const wanted = new Map(
    workersOfSide(state).map((info) => [info.workerId, info]),
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
    acquireWorker(context, worker);
  }
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
  if (restarted || moved || wasReleased) resolveByFence(context, worker);
}

/**
 * A worker that left the list keeps what it runs; one of the other side of a
 * cut is not renewed any more, so that its runs lapse.
 */
function releaseWorker(
  context: ReduceContext,
  scheduler: Scheduler,
  worker: OwnedWorker,
): void {
  const { state } = context;
  const { workerId } = worker.info;
  if (worker.runs.size === 0) {
    scheduler.workers.delete(workerId);
    return;
  }
  worker.released = true;
  if (!state.workers.has(workerId) || worker.phase === "lost") return;
  worker.phase = "lost";
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
    released: false,
    fence: firstFence(scheduler.term),
    startedAtMs: null,
    clockOffsetMs: 0,
    processedSequence: 0,
    retainedSequences: new Set(),
    orphanCompletions: [],
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
    suspendedUntilMs: 0,
    slowness: 1,
    retryAtMs: 0,
  };
}

/** Reads a worker's lists under its token, without renewing any lease. */
function acquireWorker(context: ReduceContext, worker: OwnedWorker): void {
  worker.phase = "taking";
  sendPoll(context, worker, { waitMs: 0, renews: false });
}

/**
 * Raises a worker's token and reads its lists. Whatever was sent under the
 * token before either shows there, or never takes effect.
 */
export function resolveByFence(
  context: ReduceContext,
  worker: OwnedWorker,
): void {
  worker.fence += 1;
  acquireWorker(context, worker);
}

function sendPoll(
  context: ReduceContext,
  worker: OwnedWorker,
  { waitMs, renews }: { waitMs: number; renews: boolean },
): void {
  const { state } = context;
  state.nextCallId += 1;
  state.counters.holds += 1;
  worker.pollCallId = state.nextCallId;
  worker.pollSentAtMs = state.nowMs;
  worker.nextPollAtMs = Infinity;
  worker.acknowledgedSequence = discardableSequence(worker);
  if (renews) {
    worker.leaseExpiresAtMs = state.nowMs + longestLeaseMs(state);
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

/** Ends up to this one are known here for good. */
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
  held: onPollSucceeded,
  fenced: (context, worker) => yieldWorker(context, worker),
  replaced: (context, worker) => markWorkerLost(context, worker, "replaced"),
  unhealthy: (context, worker) => markWorkerLost(context, worker, "unhealthy"),
  unreachable: (context, worker, { detail }) =>
    markWorkerLost(context, worker, detail),
};

/** A worker answered a hold, or did not. Returns the worker to place on. */
export function onHoldEnded(
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
  updateIncarnation(context, worker, outcome.bornMs);
  for (const row of outcome.finished) {
    if (row.sequence <= worker.processedSequence) continue;
    worker.processedSequence = row.sequence;
    processCompletion(context, worker, row);
  }
  reconcileRuns(context, worker, {
    running: outcome.running,
    sentAtMs: worker.pollSentAtMs,
    underNewFence,
  });
  if (underNewFence) becomeReady(context, worker);
  schedulePoll(context, worker);
}

/** A worker that started again has forgotten its ends and its runs. */
function updateIncarnation(
  context: ReduceContext,
  worker: OwnedWorker,
  startedAtMs: number | null,
): void {
  if (startedAtMs === null || startedAtMs === worker.startedAtMs) return;
  if (worker.startedAtMs !== null) {
    logDecision(context, { part: "workers", text: "a worker started again" }, {
      workerId: worker.info.workerId,
      bornMs: startedAtMs,
      runsLost: worker.runs.size,
    });
    worker.processedSequence = 0;
    worker.acknowledgedSequence = 0;
    worker.retainedSequences = new Set();
    worker.orphanCompletions = [];
    worker.consecutiveFailures = 0;
    // Whatever was ordered may have begun, and is not listed any more.
    for (const run of worker.runs.values()) {
      if (run.state === "starting") run.state = "running";
    }
  }
  worker.startedAtMs = startedAtMs;
}

function becomeReady(context: ReduceContext, worker: OwnedWorker): void {
  const { state } = context;
  worker.phase = "ready";
  // A run that another holder stopped is not listed, but may not be gone.
  if (worker.usableFromMs === 0) {
    worker.usableFromMs = state.nowMs + state.stopMs + COOL_DOWN_SLACK_MS;
  }
  logDecision(context, { part: "workers", text: "holding a worker" }, {
    workerId: worker.info.workerId,
    fence: worker.fence,
    runs: worker.runs.size,
  });
}

/** Decides when the worker is called next. */
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
 * Renews what runs on a worker, and waits for an end. Runs that no job here
 * claims are not renewed: their own leader counts on it that they lapse.
 */
function pollBusyWorker(context: ReduceContext, worker: OwnedWorker): void {
  const renews = worker.unsizedRunCount === 0;
  const busyWaitMs = renews ? POLL_WAIT_MS : UNSIZED_POLL_WAIT_MS;
  // A worker that lists ends answers at once.
  const waitMs = worker.retainedSequences.size > 0 ? 0 : busyWaitMs;
  sendPoll(context, worker, { waitMs, renews });
}

/** Another instance holds the worker under a higher token. */
export function yieldWorker(context: ReduceContext, worker: OwnedWorker): void {
  const { state } = context;
  const rivalLikely = !seesMajority(state) || hasMissingPeers(state);
  worker.phase = "lost";
  worker.usableFromMs = 0;
  // A hold that still waits was accepted under the token of before.
  worker.pollCallId = NO_CALL;
  // The other holder renewed what runs, until it stops what it can't claim.
  worker.leaseExpiresAtMs = state.nowMs + ATTACH_TIMEOUT_MS + state.stopMs +
    longestLeaseMs(state);
  worker.fence += FENCE_JUMP_TERMS * FENCES_PER_TERM;
  worker.retryAtMs = state.nowMs +
    (rivalLikely ? REACQUIRE_DELAY_MS : UNCONTESTED_REACQUIRE_DELAY_MS);
  logDecision(context, {
    level: "warn",
    part: "workers",
    text: "another instance holds the worker",
  }, { workerId: worker.info.workerId, rivalLikely });
}

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
      text: "a worker does not answer",
    }, { workerId: worker.info.workerId, reason, runs: worker.runs.size });
  }
  worker.phase = "lost";
  worker.usableFromMs = 0;
  worker.retryAtMs = state.nowMs +
    (worker.pollFailures === 1 ? 0 : POLL_RETRY_DELAY_MS);
}

/**
 * Reads the workers anew for jobs that a former leader had: one that led beside
 * this one may have taken some of them and started tasks there.
 */
export function rereadForJobs(
  context: ReduceContext,
  scheduler: Scheduler,
): void {
  const { state } = context;
  const { rereadWanted, rereadAtMs } = scheduler;
  if (!rereadWanted || state.nowMs - rereadAtMs < MIN_REREAD_INTERVAL_MS) {
    return;
  }
  scheduler.rereadWanted = false;
  scheduler.rereadAtMs = state.nowMs;
  for (const worker of scheduler.workers.values()) {
    if (worker.phase !== "ready" || worker.released) continue;
    if (worker.pollSentAtMs >= state.nowMs) continue;
    const renews = worker.runs.size > 0 && worker.unsizedRunCount === 0;
    sendPoll(context, worker, { waitMs: 0, renews });
  }
}

/** Looks after every worker: leases, calls that are due, lost workers. */
export function checkWorkers(
  context: ReduceContext,
  scheduler: Scheduler,
): void {
  const { state } = context;
  for (const worker of scheduler.workers.values()) {
    dropExpiredRuns(context, worker);
    if (worker.phase === "lost") {
      if (state.nowMs >= worker.retryAtMs) {
        worker.retryAtMs = Infinity;
        resolveByFence(context, worker);
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

/** Nothing runs any more on a worker that was out of reach for a lease. */
function dropExpiredRuns(context: ReduceContext, worker: OwnedWorker): void {
  const { state } = context;
  if (worker.phase !== "lost" || worker.runs.size === 0) return;
  if (!state.guards.hasExpired(state.nowMs, worker.leaseExpiresAtMs)) return;
  for (const run of [...worker.runs.values()]) {
    const expiresAtMs = run.placedAtMs + longestLeaseMs(state);
    if (!state.guards.hasExpired(state.nowMs, expiresAtMs)) continue;
    if (run.job !== null && mayBeRenewedElsewhere(state, worker, run.job)) {
      continue;
    }
    state.counters.tasksLapsed += 1;
    dropRun(context, worker, { run, kind: "lost" });
  }
}

/**
 * Whether an entry may have handed a job to another leader, which renews its
 * runs: it was not heard as following this one since the lease ran out.
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
    const isOwnCell = isOfCell(state, peer.info);
    const follows = !isOwnCell || peer.leaderId === state.self.instanceId;
    if (!follows || peer.lastHeardAtMs < leaseExpiresAtMs) return true;
  }
  return false;
}

function stopUnattachedRuns(context: ReduceContext, worker: OwnedWorker): void {
  const { scheduler } = context.state;
  // A record that was not read yet may claim them.
  if (scheduler === null || mayHaveRecord(context.state, scheduler)) return;
  for (const run of worker.runs.values()) {
    if (run.job !== null) continue;
    if (context.state.nowMs - run.placedAtMs < ATTACH_TIMEOUT_MS) continue;
    stopRun(context, worker, run);
  }
}
