/**
 * Which instance may start tasks on which worker. One instance leads; it holds
 * each worker under a fencing token of its own, which the worker checks. An
 * instance that hears no leader takes over by holding the workers under higher
 * tokens, with no vote and no store: the worker is the arbiter, and what a
 * deposed leader still sends does nothing.
 */

import { cellPeers, cellWorkers, isOfCell } from "./cells.ts";
import type { PeerMessageOf, WorkerInfo } from "./schemas.ts";
import { resubmitAll } from "./callers.ts";
import { isActiveLeader } from "./leads.ts";
import {
  countInstances,
  heartbeatAll,
  liveCellPeers,
  seesMajority,
  workersAgeMs,
} from "./membership.ts";
import { isInReach, peerRank, rankOfSelf } from "./ranking.ts";
import { createRecords } from "./records.ts";
import { logDecision, sendPeer } from "./effects.ts";
import type {
  EngineEventOf,
  EngineState,
  Peer,
  ReduceContext,
  Scheduler,
} from "./types.ts";

/** Terms count the wall clock in steps of so many milliseconds. */
const TERM_STEP_MS = 100;
/** Distinct instances within one step of terms. */
const TERMS_PER_STEP = 512;
/** Fencing tokens of one term. */
export const FENCES_PER_TERM = 512;
/** After its start an instance listens so long before it leads. */
const STARTUP_LISTEN_MS = 900;
/** While peers hear a leader, an instance that does not waits so long. */
const INDIRECT_REPORT_TIMEOUT_MS = 1_500;
/** A side that grew takes more workers after so long. */
const ACQUIRE_DELAY_MS = 400;
/** A provisional lead lasts at least so long. */
const CONFIRM_DELAY_MS = 3_000;
/** The next in rank leads if those before it did not by then. */
const RANK_DELAY_MS = 400;

/** A hash of a name, below the number of instances within a term's step. */
function nameHash(name: string): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < name.length; i += 1) {
    hash = Math.imul(hash ^ name.charCodeAt(i), 0x01000193);
  }
  return (hash >>> 0) % TERMS_PER_STEP;
}

/**
 * A term above every term seen, and unlike that of any other instance. It
 * follows the wall clock, so that it rises also when all instances forgot.
 */
export function nextTerm(state: EngineState): number {
  const byClock = Math.floor(state.wallMs / TERM_STEP_MS);
  const bySeen = Math.floor(state.maxTermSeen / TERMS_PER_STEP) + 1;
  return Math.max(byClock, bySeen) * TERMS_PER_STEP +
    nameHash(state.self.instanceId);
}

/** The first fencing token of a term. */
export function firstFence(term: number): number {
  return term * FENCES_PER_TERM;
}

/** Follows, leads or steps down as the peers' states ask for. */
export function checkLeadership(context: ReduceContext): void {
  const { state } = context;
  followHighestLeader(context);
  if (state.scheduler !== null) {
    updateProvisional(state, state.scheduler);
    return;
  }
  const leader = state.leaderId === null
    ? undefined
    : state.peers.get(state.leaderId);
  const isOwnLeader = leader !== undefined && isOfCell(state, leader.info);
  if (isOwnLeader && isActiveLeader(state, leader)) return;
  if (state.leaderId !== null) clearLeader(context);
  if (mayBecomeLeader(state)) becomeLeader(context);
}

/** A claim to lead: its term, and whether most instances were heard. */
interface LeadershipClaim {
  readonly term: number;
  readonly provisional: boolean;
}

/** Whether the first claim to lead goes before the second. */
function outranks(a: LeadershipClaim, b: LeadershipClaim): boolean {
  if (a.provisional !== b.provisional) return b.provisional;
  return a.term > b.term;
}

function followHighestLeader(context: ReduceContext): void {
  const { state } = context;
  let best: Peer | null = null;
  for (const peer of cellPeers(state)) {
    if (!isActiveLeader(state, peer)) continue;
    if (best === null || outranks(peer, best)) best = peer;
  }
  if (best === null || best.info.instanceId === state.leaderId) return;
  const current = {
    term: state.leaderTerm,
    provisional: state.leaderProvisional,
  };
  if (state.leaderId !== null && !outranks(best, current)) return;
  if (state.scheduler !== null) {
    stepDown(context, "a peer's claim outranks ours");
  }
  followLeader(context, best);
}

/** A lead is provisional until most instances were heard for a while. */
function updateProvisional(state: EngineState, scheduler: Scheduler): void {
  if (!seesMajority(state)) scheduler.lastMinorityAtMs = state.nowMs;
  const majoritySinceMs = Math.max(scheduler.startedAtMs, scheduler.lastMinorityAtMs);
  if (!seesMajority(state)) scheduler.provisional = true;
  else if (state.nowMs - majoritySinceMs >= CONFIRM_DELAY_MS) scheduler.provisional = false;
  state.leaderProvisional = scheduler.provisional;
}

function followLeader(context: ReduceContext, peer: Peer): void {
  const { state } = context;
  state.leaderId = peer.info.instanceId;
  state.candidateSinceMs = 0;
  state.leaderTerm = peer.term;
  state.leaderProvisional = peer.provisional;
  state.maxTermSeen = Math.max(state.maxTermSeen, peer.term);
  logDecision(context, { part: "leader", text: "following a leader" }, {
    leaderId: state.leaderId,
    term: peer.term,
    leaderlessMs: Math.round(state.nowMs - state.leaderlessSinceMs),
  });
  resubmitAll(context);
}

function clearLeader(context: ReduceContext): void {
  const { state } = context;
  logDecision(context, {
    level: "warn",
    part: "leader",
    text: "the leader is not heard from",
  }, {
    leaderId: state.leaderId,
    term: state.leaderTerm,
    ...peerLogFields(state, state.leaderId),
  });
  state.leaderId = null;
  state.leaderTerm = 0;
  state.leaderlessSinceMs = state.nowMs;
  heartbeatAll(context);
}

function peerLogFields(
  state: EngineState,
  instanceId: string | null,
): Record<string, unknown> {
  const peer = state.peers.get(instanceId ?? "");
  if (peer === undefined) return {};
  return {
    silentMs: Math.round(state.nowMs - peer.lastHeardAtMs),
    connected: peer.connected,
    isLeader: peer.isLeader,
  };
}

/** Whether this instance is the one that leads now that nobody does. */
function mayBecomeLeader(state: EngineState): boolean {
  if (state.configuration === null || state.workers.size === 0) return false;
  const upMs = state.nowMs - state.startedAtMs;
  if (upMs < STARTUP_LISTEN_MS && !everyPeerAnswered(state)) return false;
  const leaderlessMs = state.nowMs - state.leaderlessSinceMs;
  if (leaderlessMs < INDIRECT_REPORT_TIMEOUT_MS && peersReportLeader(state)) return false;
  if (state.candidateSinceMs === 0) state.candidateSinceMs = state.nowMs;
  const waitedMs = state.nowMs - state.candidateSinceMs;
  return waitedMs >= rankOfSelf(state) * RANK_DELAY_MS;
}

/** Whether a peer that is heard now follows a leader that may be alive. */
function peersReportLeader(state: EngineState): boolean {
  for (const peer of liveCellPeers(state)) {
    if (!isInReach(state, peer)) continue;
    const { leaderId } = peer;
    if (leaderId === null || leaderId === state.self.instanceId) continue;
    const leader = state.peers.get(leaderId);
    if (leader !== undefined && !isOfCell(state, leader.info)) continue;
    const hasEnded = leader !== undefined &&
      leader.refusedAtMs > leader.lastHeardAtMs;
    if (!hasEnded) return true;
  }
  return false;
}

function everyPeerAnswered(state: EngineState): boolean {
  const peers = cellPeers(state);
  return peers.length > 0 &&
    peers.every((peer) => peer.lastHeardAtMs > 0 || peer.refusedAtMs > 0);
}

/** Starts to lead: in a new term, with no worker taken yet. */
export function becomeLeader(context: ReduceContext): void {
  const { state } = context;
  const term = nextTerm(state);
  state.maxTermSeen = term;
  state.leaderTerm = term;
  state.leaderId = state.self.instanceId;
  state.candidateSinceMs = 0;
  state.scheduler = createScheduler(state, term);
  state.leaderProvisional = state.scheduler.provisional;
  state.counters.takeovers += 1;
  logDecision(context, { part: "leader", text: "leading from now on" }, {
    term,
    ...countInstances(state),
    workersAgeMs: Math.round(state.nowMs - state.workersReadAtMs),
    leaderlessMs: Math.round(state.nowMs - state.leaderlessSinceMs),
  });
  heartbeatAll(context);
  sendWorkerList(context);
  resubmitAll(context);
}

/** Whoever leads next has the list also while the store is away. */
function sendWorkerList(context: ReduceContext): void {
  const { state } = context;
  for (const peer of liveCellPeers(state)) {
    if (peer.workersAgeMs <= workersAgeMs(state)) continue;
    sendPeer(context, peer.info.instanceId, {
      type: "workers",
      ageMs: workersAgeMs(state),
      workers: [...state.workers.values()],
    });
  }
}

function createScheduler(state: EngineState, term: number): Scheduler {
  return {
    term,
    startedAtMs: state.nowMs,
    provisional: !seesMajority(state),
    lastMinorityAtMs: -Infinity,
    jobs: new Map(),
    waiting: new Map(),
    workers: new Map(),
    endedJobs: [],
    records: createRecords(term),
    rereadAtMs: -Infinity,
    rereadWanted: false,
    waitMsByService: new Map(),
    queueDemands: new Map(),
    demandsSampledAtMs: state.nowMs,
  };
}

/** Gives up the lead; the entries hand their jobs to the next leader. */
export function stepDown(context: ReduceContext, reason: string): void {
  const { state } = context;
  const { scheduler } = state;
  if (scheduler === null) return;
  logDecision(context, { part: "leader", text: "no longer leading" }, {
    reason,
    term: scheduler.term,
    jobs: scheduler.jobs.size,
  });
  state.scheduler = null;
  state.leaderId = null;
  state.leaderTerm = 0;
  state.leaderlessSinceMs = state.nowMs;
}

/**
 * The process stood still. Peers were not silent meanwhile, but may have
 * another leader by now, and jobs that waited here may run elsewhere.
 */
export function onStalled(
  context: ReduceContext,
  event: EngineEventOf<"processPaused">,
): void {
  const { state } = context;
  logDecision(
    context,
    { level: "warn", part: "instance", text: "stood still" },
    {
      forMs: Math.round(event.pausedMs),
      isLeader: state.scheduler !== null,
    },
  );
  const sinceLastTickMs = state.nowMs - state.lastTickAtMs;
  for (const peer of state.peers.values()) {
    if (peer.lastHeardAtMs > 0) peer.lastHeardAtMs += sinceLastTickMs;
  }
  stepDown(context, "the process stood still");
}

/** Hands the lead to a peer that does not drain, if there is one. */
export function handOver(context: ReduceContext): void {
  const { state } = context;
  const { scheduler } = state;
  if (scheduler === null) return;
  const successor = liveCellPeers(state)
    .filter((peer) => !peer.draining && peer.configurationVersion >= 0)
    .sort((a, b) => peerRank(state, a) < peerRank(state, b) ? -1 : 1)[0];
  if (successor === undefined) return;
  const successorId = successor.info.instanceId;
  const jobs = [...scheduler.jobs.values()]
    .filter((job) => job.outcome === null && job.record === null)
    .map((job) => ({
      jobId: job.jobId,
      doneTasks: job.tasks.filter((task) => task.state === "done")
        .map((task) => task.name),
    }));
  stepDown(context, "draining");
  sendPeer(context, successorId, { type: "released", successorId, jobs });
  for (const peer of state.peers.values()) {
    if (peer === successor) continue;
    sendPeer(context, peer.info.instanceId, {
      type: "released",
      successorId,
      jobs,
    });
  }
  updateDoneTasks(state, jobs);
}

/** A leader gave up the lead: its successor leads at once. */
export function onReleased(
  context: ReduceContext,
  from: string,
  message: PeerMessageOf<"released">,
): void {
  const { state } = context;
  updateDoneTasks(state, message.jobs);
  const peer = state.peers.get(from);
  if (peer !== undefined) peer.isLeader = false;
  if (state.leaderId === from) clearLeader(context);
  const isSuccessor = message.successorId === state.self.instanceId;
  if (isSuccessor && state.scheduler === null && state.leaderId === null) {
    becomeLeader(context);
  }
}

function updateDoneTasks(
  state: EngineState,
  jobs: PeerMessageOf<"released">["jobs"],
): void {
  for (const { jobId, doneTasks } of jobs) {
    const callerJob = state.callerJobs.get(jobId);
    if (callerJob !== undefined) callerJob.doneTasks = doneTasks;
  }
}

/**
 * A leader that has just come to hear most instances again takes no more
 * workers yet: another leader may be about to outrank it.
 */
function limitAcquisition(state: EngineState, workers: WorkerInfo[]): WorkerInfo[] {
  const { scheduler } = state;
  if (scheduler === null) return workers;
  if (state.nowMs - scheduler.lastMinorityAtMs >= ACQUIRE_DELAY_MS) return workers;
  return workers.filter(({ workerId }) => scheduler.workers.has(workerId));
}

/**
 * The workers that this leader should hold: all of them while it hears most of
 * the instances, else its side's part, those of its own zone first. So two
 * sides of a cut that reach the same workers divide them.
 */
export function workersOfSide(state: EngineState): WorkerInfo[] {
  const workers = cellWorkers(state);
  if (seesMajority(state)) return limitAcquisition(state, workers);
  const { visible, expected } = countInstances(state);
  const share = Math.ceil(workers.length * visible / expected);
  const ownZone = state.self.availabilityZone;
  const order = (worker: WorkerInfo): string =>
    `${worker.availabilityZone === ownZone ? 0 : 1}${worker.workerId}`;
  return workers.sort((a, b) => order(a) < order(b) ? -1 : 1).slice(0, share);
}
