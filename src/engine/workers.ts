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
  reconcileRuns,
  stopRun,
  takeEnd,
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
const HOLD_WAIT_MS = 400;
/** And where runs that nobody claimed yet are among what runs there. */
const UNKNOWN_WAIT_MS = 40;
/** Ends on a worker that runs nothing more are acknowledged after so long. */
const ACKNOWLEDGE_MS = 60;
/** While the store has to tell of ends first, a worker is read so often. */
const HELD_ENDS_MS = 20;
/** And while the store is away. */
const HELD_ENDS_AWAY_MS = 200;
/** An unreachable worker is tried again after so long. */
const RETRY_WORKER_MS = 300;
/** A worker lost to another instance is taken again after so long. */
const RETAKE_MS = 5_000;
/** And after so long where no instance is missing. */
const RETAKE_ALONE_MS = 200;
/** A worker rests so much longer than a stop takes. */
const REST_SLACK_MS = 10;
/** The id of no call. */
const NO_CALL = 0;
/** Workers are read anew for jobs of former leaders at most so often. */
const REREAD_EVERY_MS = 20;
/** By so many terms the token rises when a worker has seen a higher one. */
const FENCE_JUMP_TERMS = 512 * 100;
/** A run of a former leader is claimed by its entry within so long. */
const ADOPTION_MS = 120;

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
    else letGo(context, scheduler, worker);
  }
  for (const [workerId, info] of wanted) {
    if (scheduler.workers.has(workerId)) continue;
    const worker = createWorker(state, scheduler, info);
    scheduler.workers.set(workerId, worker);
    take(context, worker);
  }
}

function updateWorker(
  context: ReduceContext,
  worker: OwnedWorker,
  info: WorkerInfo,
): void {
  const reborn = info.bornMs !== null && worker.startedAtMs !== null &&
    info.bornMs > worker.startedAtMs;
  const moved = info.address !== worker.info.address;
  worker.info = info;
  const returned = worker.released;
  worker.released = false;
  if (reborn || moved || returned) resolveByFence(context, worker);
}

/**
 * A worker that left the list keeps what it runs; one of the other side of a
 * cut is not renewed any more, so that its runs lapse.
 */
function letGo(
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
function take(context: ReduceContext, worker: OwnedWorker): void {
  worker.phase = "taking";
  sendHold(context, worker, { waitMs: 0, renews: false });
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
  take(context, worker);
}

function sendHold(
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
  worker.acknowledgedSequence = forgettableEnd(worker);
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
function forgettableEnd(
  { processedSequence, retainedSequences }: OwnedWorker,
): number {
  return retainedSequences.size === 0
    ? processedSequence
    : Math.min(...retainedSequences) - 1;
}

type HoldHandlers = {
  [K in PollOutcome["kind"]]: (
    context: ReduceContext,
    worker: OwnedWorker,
    outcome: Extract<PollOutcome, { kind: K }>,
  ) => void;
};

const holdHandlers: HoldHandlers = {
  held: onHeld,
  fenced: (context, worker) => yieldWorker(context, worker),
  replaced: (context, worker) => loseWorker(context, worker, "replaced"),
  unhealthy: (context, worker) => loseWorker(context, worker, "unhealthy"),
  unreachable: (context, worker, { detail }) =>
    loseWorker(context, worker, detail),
};

/** A worker answered a hold, or did not. Returns the worker to place on. */
export function onHoldEnded(
  context: ReduceContext,
  event: EngineEventOf<"holdEnded">,
): OwnedWorker | null {
  const worker = context.state.scheduler?.workers.get(event.workerId);
  if (worker === undefined || worker.pollCallId !== event.callId) return null;
  const handler = holdHandlers[event.outcome.kind] as (
    context: ReduceContext,
    worker: OwnedWorker,
    outcome: PollOutcome,
  ) => void;
  handler(context, worker, event.outcome);
  return worker;
}

function onHeld(
  context: ReduceContext,
  worker: OwnedWorker,
  outcome: Extract<PollOutcome, { kind: "held" }>,
): void {
  const { state } = context;
  const fresh = worker.phase !== "ready";
  worker.pollFailures = 0;
  worker.listsReadAtMs = worker.pollSentAtMs;
  worker.clockOffsetMs = outcome.clockMs - state.nowMs;
  noteLife(context, worker, outcome.bornMs);
  for (const row of outcome.finished) {
    if (row.sequence <= worker.processedSequence) continue;
    worker.processedSequence = row.sequence;
    takeEnd(context, worker, row);
  }
  reconcileRuns(context, worker, {
    running: outcome.running,
    sentAtMs: worker.pollSentAtMs,
    fresh,
  });
  if (fresh) becomeReady(context, worker);
  scheduleHold(context, worker);
}

/** A worker that started again has forgotten its ends and its runs. */
function noteLife(
  context: ReduceContext,
  worker: OwnedWorker,
  bornMs: number | null,
): void {
  if (bornMs === null || bornMs === worker.startedAtMs) return;
  if (worker.startedAtMs !== null) {
    logDecision(context, { part: "workers", text: "a worker started again" }, {
      workerId: worker.info.workerId,
      bornMs,
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
  worker.startedAtMs = bornMs;
}

function becomeReady(context: ReduceContext, worker: OwnedWorker): void {
  const { state } = context;
  worker.phase = "ready";
  // A run that another holder stopped is not listed, but may not be gone.
  if (worker.usableFromMs === 0) {
    worker.usableFromMs = state.nowMs + state.stopMs + REST_SLACK_MS;
  }
  logDecision(context, { part: "workers", text: "holding a worker" }, {
    workerId: worker.info.workerId,
    fence: worker.fence,
    runs: worker.runs.size,
  });
}

/** Decides when the worker is called next. */
function scheduleHold(context: ReduceContext, worker: OwnedWorker): void {
  const { state } = context;
  if (worker.retainedSequences.size > 0) {
    const isAway = (state.scheduler?.records.unavailableSinceMs ?? 0) > 0;
    worker.nextPollAtMs = state.nowMs +
      (isAway ? HELD_ENDS_AWAY_MS : HELD_ENDS_MS);
    return;
  }
  if (worker.runs.size > 0) {
    holdBusy(context, worker);
    return;
  }
  worker.nextPollAtMs = worker.acknowledgedSequence < worker.processedSequence
    ? state.nowMs + ACKNOWLEDGE_MS
    : Infinity;
}

/**
 * Renews what runs on a worker, and waits for an end. Runs that no job here
 * claims are not renewed: their own leader counts on it that they lapse.
 */
function holdBusy(context: ReduceContext, worker: OwnedWorker): void {
  const renews = worker.unsizedRunCount === 0;
  const busyWaitMs = renews ? HOLD_WAIT_MS : UNKNOWN_WAIT_MS;
  // A worker that lists ends answers at once.
  const waitMs = worker.retainedSequences.size > 0 ? 0 : busyWaitMs;
  sendHold(context, worker, { waitMs, renews });
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
  worker.leaseExpiresAtMs = state.nowMs + ADOPTION_MS + state.stopMs +
    longestLeaseMs(state);
  worker.fence += FENCE_JUMP_TERMS * FENCES_PER_TERM;
  worker.retryAtMs = state.nowMs + (rivalLikely ? RETAKE_MS : RETAKE_ALONE_MS);
  logDecision(context, {
    level: "warn",
    part: "workers",
    text: "another instance holds the worker",
  }, { workerId: worker.info.workerId, rivalLikely });
}

function loseWorker(
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
    (worker.pollFailures === 1 ? 0 : RETRY_WORKER_MS);
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
  if (!rereadWanted || state.nowMs - rereadAtMs < REREAD_EVERY_MS) return;
  scheduler.rereadWanted = false;
  scheduler.rereadAtMs = state.nowMs;
  for (const worker of scheduler.workers.values()) {
    if (worker.phase !== "ready" || worker.released) continue;
    if (worker.pollSentAtMs >= state.nowMs) continue;
    const renews = worker.runs.size > 0 && worker.unsizedRunCount === 0;
    sendHold(context, worker, { waitMs: 0, renews });
  }
}

/** Looks after every worker: leases, calls that are due, lost workers. */
export function checkWorkers(
  context: ReduceContext,
  scheduler: Scheduler,
): void {
  const { state } = context;
  for (const worker of scheduler.workers.values()) {
    dropLapsedRuns(context, worker);
    if (worker.phase === "lost") {
      if (state.nowMs >= worker.retryAtMs) {
        worker.retryAtMs = Infinity;
        resolveByFence(context, worker);
      }
      continue;
    }
    stopUnclaimedRuns(context, worker);
    checkRuns(context, worker);
    if (state.nowMs < worker.nextPollAtMs || worker.phase !== "ready") continue;
    if (worker.runs.size > 0) holdBusy(context, worker);
    else sendHold(context, worker, { waitMs: 0, renews: false });
  }
}

/** Nothing runs any more on a worker that was out of reach for a lease. */
function dropLapsedRuns(context: ReduceContext, worker: OwnedWorker): void {
  const { state } = context;
  if (worker.phase !== "lost" || worker.runs.size === 0) return;
  if (!state.guards.hasExpired(state.nowMs, worker.leaseExpiresAtMs)) return;
  for (const run of [...worker.runs.values()]) {
    const lapsesAtMs = run.placedAtMs + longestLeaseMs(state);
    if (!state.guards.hasExpired(state.nowMs, lapsesAtMs)) continue;
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

function stopUnclaimedRuns(context: ReduceContext, worker: OwnedWorker): void {
  const { scheduler } = context.state;
  // A record that was not read yet may claim them.
  if (scheduler === null || mayHaveRecord(context.state, scheduler)) return;
  for (const run of worker.runs.values()) {
    if (run.job !== null) continue;
    if (context.state.nowMs - run.placedAtMs < ADOPTION_MS) continue;
    stopRun(context, worker, run);
  }
}
