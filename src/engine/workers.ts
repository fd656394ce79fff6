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
import { emit, logDecision } from "./turn.ts";
import type {
  EngineEventOf,
  EngineState,
  HoldOutcome,
  Job,
  OwnedWorker,
  Scheduler,
  Turn,
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
export function syncWorkers(turn: Turn, scheduler: Scheduler): void {
  const { state } = turn;
  const wanted = new Map(
    workersOfSide(state).map((info) => [info.workerId, info]),
  );
  for (const [workerId, worker] of scheduler.workers) {
    const info = wanted.get(workerId);
    if (info !== undefined) updateWorker(turn, worker, info);
    else letGo(turn, scheduler, worker);
  }
  for (const [workerId, info] of wanted) {
    if (scheduler.workers.has(workerId)) continue;
    const worker = createWorker(state, scheduler, info);
    scheduler.workers.set(workerId, worker);
    take(turn, worker);
  }
}

function updateWorker(turn: Turn, worker: OwnedWorker, info: WorkerInfo): void {
  const reborn = info.bornMs !== null && worker.bornMs !== null &&
    info.bornMs > worker.bornMs;
  const moved = info.address !== worker.info.address;
  worker.info = info;
  const returned = worker.released;
  worker.released = false;
  if (reborn || moved || returned) resolveByFence(turn, worker);
}

/**
 * A worker that left the list keeps what it runs; one of the other side of a
 * cut is not renewed any more, so that its runs lapse.
 */
function letGo(turn: Turn, scheduler: Scheduler, worker: OwnedWorker): void {
  const { state } = turn;
  const { workerId } = worker.info;
  if (worker.runs.size === 0) {
    scheduler.workers.delete(workerId);
    return;
  }
  worker.released = true;
  if (!state.workers.has(workerId) || worker.phase === "lost") return;
  worker.phase = "lost";
  worker.retryAtMs = Infinity;
  worker.holdCallId = NO_CALL;
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
    bornMs: null,
    clockOffsetMs: 0,
    takenEnd: 0,
    heldEnds: new Set(),
    orphanEnds: [],
    forgottenEnd: 0,
    holdCallId: 0,
    holdSentAtMs: 0,
    readAtMs: -Infinity,
    holdFailures: 0,
    nextHoldMs: state.nowMs,
    leaseLapsesAtMs: 0,
    usableFromMs: 0,
    runs: new Map(),
    usedCpuMilli: 0,
    usedMemoryMb: 0,
    usedAccelerators: 0,
    unknownRuns: 0,
    failuresInRow: 0,
    suspendedUntilMs: 0,
    slowness: 1,
    retryAtMs: 0,
  };
}

/** Reads a worker's lists under its token, without renewing any lease. */
function take(turn: Turn, worker: OwnedWorker): void {
  worker.phase = "taking";
  sendHold(turn, worker, { waitMs: 0, renews: false });
}

/**
 * Raises a worker's token and reads its lists. Whatever was sent under the
 * token before either shows there, or never takes effect.
 */
export function resolveByFence(turn: Turn, worker: OwnedWorker): void {
  worker.fence += 1;
  take(turn, worker);
}

function sendHold(
  turn: Turn,
  worker: OwnedWorker,
  { waitMs, renews }: { waitMs: number; renews: boolean },
): void {
  const { state } = turn;
  state.nextCallId += 1;
  state.counters.holds += 1;
  worker.holdCallId = state.nextCallId;
  worker.holdSentAtMs = state.nowMs;
  worker.nextHoldMs = Infinity;
  worker.forgottenEnd = forgettableEnd(worker);
  if (renews) {
    worker.leaseLapsesAtMs = state.nowMs + longestLeaseMs(state);
  }
  emit(turn, {
    type: "hold",
    workerId: worker.info.workerId,
    address: worker.info.address,
    callId: worker.holdCallId,
    fence: worker.fence,
    lastSeenEnd: worker.forgottenEnd,
    leaseEndsMs: renews ? leaseEndsOnWorkerMs(state, worker) : null,
    waitMs,
  });
}

/** Ends up to this one are known here for good. */
function forgettableEnd({ takenEnd, heldEnds }: OwnedWorker): number {
  return heldEnds.size === 0 ? takenEnd : Math.min(...heldEnds) - 1;
}

type HoldHandlers = {
  [K in HoldOutcome["kind"]]: (
    turn: Turn,
    worker: OwnedWorker,
    outcome: Extract<HoldOutcome, { kind: K }>,
  ) => void;
};

const holdHandlers: HoldHandlers = {
  held: onHeld,
  fenced: (turn, worker) => yieldWorker(turn, worker),
  replaced: (turn, worker) => loseWorker(turn, worker, "replaced"),
  unhealthy: (turn, worker) => loseWorker(turn, worker, "unhealthy"),
  unreachable: (turn, worker, { detail }) => loseWorker(turn, worker, detail),
};

/** A worker answered a hold, or did not. Returns the worker to place on. */
export function onHoldEnded(
  turn: Turn,
  event: EngineEventOf<"holdEnded">,
): OwnedWorker | null {
  const worker = turn.state.scheduler?.workers.get(event.workerId);
  if (worker === undefined || worker.holdCallId !== event.callId) return null;
  const handler = holdHandlers[event.outcome.kind] as (
    turn: Turn,
    worker: OwnedWorker,
    outcome: HoldOutcome,
  ) => void;
  handler(turn, worker, event.outcome);
  return worker;
}

function onHeld(
  turn: Turn,
  worker: OwnedWorker,
  outcome: Extract<HoldOutcome, { kind: "held" }>,
): void {
  const { state } = turn;
  const fresh = worker.phase !== "ready";
  worker.holdFailures = 0;
  worker.readAtMs = worker.holdSentAtMs;
  worker.clockOffsetMs = outcome.clockMs - state.nowMs;
  noteLife(turn, worker, outcome.bornMs);
  for (const row of outcome.finished) {
    if (row.sequence <= worker.takenEnd) continue;
    worker.takenEnd = row.sequence;
    takeEnd(turn, worker, row);
  }
  reconcileRuns(turn, worker, {
    running: outcome.running,
    sentAtMs: worker.holdSentAtMs,
    fresh,
  });
  if (fresh) becomeReady(turn, worker);
  scheduleHold(turn, worker);
}

/** A worker that started again has forgotten its ends and its runs. */
function noteLife(
  turn: Turn,
  worker: OwnedWorker,
  bornMs: number | null,
): void {
  if (bornMs === null || bornMs === worker.bornMs) return;
  if (worker.bornMs !== null) {
    logDecision(turn, { part: "workers", text: "a worker started again" }, {
      workerId: worker.info.workerId,
      bornMs,
      runsLost: worker.runs.size,
    });
    worker.takenEnd = 0;
    worker.forgottenEnd = 0;
    worker.heldEnds = new Set();
    worker.orphanEnds = [];
    worker.failuresInRow = 0;
    // Whatever was ordered may have begun, and is not listed any more.
    for (const run of worker.runs.values()) {
      if (run.state === "starting") run.state = "running";
    }
  }
  worker.bornMs = bornMs;
}

function becomeReady(turn: Turn, worker: OwnedWorker): void {
  const { state } = turn;
  worker.phase = "ready";
  // A run that another holder stopped is not listed, but may not be gone.
  if (worker.usableFromMs === 0) {
    worker.usableFromMs = state.nowMs + state.stopMs + REST_SLACK_MS;
  }
  logDecision(turn, { part: "workers", text: "holding a worker" }, {
    workerId: worker.info.workerId,
    fence: worker.fence,
    runs: worker.runs.size,
  });
}

/** Decides when the worker is called next. */
function scheduleHold(turn: Turn, worker: OwnedWorker): void {
  const { state } = turn;
  if (worker.heldEnds.size > 0) {
    const isAway = (state.scheduler?.records.awaySinceMs ?? 0) > 0;
    worker.nextHoldMs = state.nowMs +
      (isAway ? HELD_ENDS_AWAY_MS : HELD_ENDS_MS);
    return;
  }
  if (worker.runs.size > 0) {
    holdBusy(turn, worker);
    return;
  }
  worker.nextHoldMs = worker.forgottenEnd < worker.takenEnd
    ? state.nowMs + ACKNOWLEDGE_MS
    : Infinity;
}

/**
 * Renews what runs on a worker, and waits for an end. Runs that no job here
 * claims are not renewed: their own leader counts on it that they lapse.
 */
function holdBusy(turn: Turn, worker: OwnedWorker): void {
  const renews = worker.unknownRuns === 0;
  const busyWaitMs = renews ? HOLD_WAIT_MS : UNKNOWN_WAIT_MS;
  // A worker that lists ends answers at once.
  const waitMs = worker.heldEnds.size > 0 ? 0 : busyWaitMs;
  sendHold(turn, worker, { waitMs, renews });
}

/** Another instance holds the worker under a higher token. */
export function yieldWorker(turn: Turn, worker: OwnedWorker): void {
  const { state } = turn;
  const rivalLikely = !seesMajority(state) || hasMissingPeers(state);
  worker.phase = "lost";
  worker.usableFromMs = 0;
  // A hold that still waits was accepted under the token of before.
  worker.holdCallId = NO_CALL;
  // The other holder renewed what runs, until it stops what it can't claim.
  worker.leaseLapsesAtMs = state.nowMs + ADOPTION_MS + state.stopMs +
    longestLeaseMs(state);
  worker.fence += FENCE_JUMP_TERMS * FENCES_PER_TERM;
  worker.retryAtMs = state.nowMs + (rivalLikely ? RETAKE_MS : RETAKE_ALONE_MS);
  logDecision(turn, {
    level: "warn",
    part: "workers",
    text: "another instance holds the worker",
  }, { workerId: worker.info.workerId, rivalLikely });
}

function loseWorker(turn: Turn, worker: OwnedWorker, reason: string): void {
  const { state } = turn;
  worker.holdFailures += 1;
  if (worker.holdFailures === 1) {
    logDecision(turn, {
      level: "warn",
      part: "workers",
      text: "a worker does not answer",
    }, { workerId: worker.info.workerId, reason, runs: worker.runs.size });
  }
  worker.phase = "lost";
  worker.usableFromMs = 0;
  worker.retryAtMs = state.nowMs +
    (worker.holdFailures === 1 ? 0 : RETRY_WORKER_MS);
}

/**
 * Reads the workers anew for jobs that a former leader had: one that led beside
 * this one may have taken some of them and started tasks there.
 */
export function rereadForJobs(turn: Turn, scheduler: Scheduler): void {
  const { state } = turn;
  const { rereadWanted, rereadAtMs } = scheduler;
  if (!rereadWanted || state.nowMs - rereadAtMs < REREAD_EVERY_MS) return;
  scheduler.rereadWanted = false;
  scheduler.rereadAtMs = state.nowMs;
  for (const worker of scheduler.workers.values()) {
    if (worker.phase !== "ready" || worker.released) continue;
    if (worker.holdSentAtMs >= state.nowMs) continue;
    const renews = worker.runs.size > 0 && worker.unknownRuns === 0;
    sendHold(turn, worker, { waitMs: 0, renews });
  }
}

/** Looks after every worker: leases, calls that are due, lost workers. */
export function checkWorkers(turn: Turn, scheduler: Scheduler): void {
  const { state } = turn;
  for (const worker of scheduler.workers.values()) {
    dropLapsedRuns(turn, worker);
    if (worker.phase === "lost") {
      if (state.nowMs >= worker.retryAtMs) {
        worker.retryAtMs = Infinity;
        resolveByFence(turn, worker);
      }
      continue;
    }
    stopUnclaimedRuns(turn, worker);
    checkRuns(turn, worker);
    if (state.nowMs < worker.nextHoldMs || worker.phase !== "ready") continue;
    if (worker.runs.size > 0) holdBusy(turn, worker);
    else sendHold(turn, worker, { waitMs: 0, renews: false });
  }
}

/** Nothing runs any more on a worker that was out of reach for a lease. */
function dropLapsedRuns(turn: Turn, worker: OwnedWorker): void {
  const { state } = turn;
  if (worker.phase !== "lost" || worker.runs.size === 0) return;
  if (!state.guards.hasLapsed(state.nowMs, worker.leaseLapsesAtMs)) return;
  for (const run of [...worker.runs.values()]) {
    const lapsesAtMs = run.placedAtMs + longestLeaseMs(state);
    if (!state.guards.hasLapsed(state.nowMs, lapsesAtMs)) continue;
    if (run.job !== null && mayBeRenewedElsewhere(state, worker, run.job)) {
      continue;
    }
    state.counters.tasksLapsed += 1;
    dropRun(turn, worker, { run, kind: "lost" });
  }
}

/**
 * Whether an entry may have handed a job to another leader, which renews its
 * runs: it was not heard as following this one since the lease ran out.
 */
function mayBeRenewedElsewhere(
  state: EngineState,
  { leaseLapsesAtMs }: OwnedWorker,
  job: Job,
): boolean {
  if (job.record !== null) return false;
  for (const entryId of job.entries.keys()) {
    const peer = state.peers.get(entryId);
    if (peer === undefined) continue;
    const isOwnCell = isOfCell(state, peer.info);
    const follows = !isOwnCell || peer.leaderId === state.self.instanceId;
    if (!follows || peer.lastHeardMs < leaseLapsesAtMs) return true;
  }
  return false;
}

function stopUnclaimedRuns(turn: Turn, worker: OwnedWorker): void {
  const { scheduler } = turn.state;
  // A record that was not read yet may claim them.
  if (scheduler === null || mayHaveRecord(turn.state, scheduler)) return;
  for (const run of worker.runs.values()) {
    if (run.job !== null) continue;
    if (turn.state.nowMs - run.placedAtMs < ADOPTION_MS) continue;
    stopRun(turn, worker, run);
  }
}
