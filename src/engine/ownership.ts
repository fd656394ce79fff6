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
import { isLeading } from "./leads.ts";
import {
  countInstances,
  heartbeatAll,
  liveCellPeers,
  seesMajority,
  workersAgeMs,
} from "./membership.ts";
import { isInReach, peerRank, rankOfSelf } from "./ranking.ts";
import { createRecords } from "./records.ts";
import { logDecision, sendPeer } from "./turn.ts";
import type {
  EngineEventOf,
  EngineState,
  Peer,
  Scheduler,
  Turn,
} from "./types.ts";

/** Terms count the wall clock in steps of so many milliseconds. */
const TERM_STEP_MS = 100;
/** Distinct instances within one step of terms. */
const TERM_INSTANCES = 512;
/** Fencing tokens of one term. */
export const FENCES_PER_TERM = 512;
/** After its start an instance listens so long before it leads. */
const LISTEN_FIRST_MS = 900;
/** While peers hear a leader, an instance that does not waits so long. */
const HEARSAY_MS = 1_500;
/** A side that grew takes more workers after so long. */
const GROW_AFTER_MS = 400;
/** A provisional lead lasts at least so long. */
const CONFIRM_MS = 3_000;
/** The next in rank leads if those before it did not by then. */
const RANK_DELAY_MS = 400;

/** A hash of a name, below the number of instances within a term's step. */
function nameHash(name: string): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < name.length; i += 1) {
    hash = Math.imul(hash ^ name.charCodeAt(i), 0x01000193);
  }
  return (hash >>> 0) % TERM_INSTANCES;
}

/**
 * A term above every term seen, and unlike that of any other instance. It
 * follows the wall clock, so that it rises also when all instances forgot.
 */
export function nextTerm(state: EngineState): number {
  const byClock = Math.floor(state.wallMs / TERM_STEP_MS);
  const bySeen = Math.floor(state.maxTermSeen / TERM_INSTANCES) + 1;
  return Math.max(byClock, bySeen) * TERM_INSTANCES +
    nameHash(state.self.instanceId);
}

/** The first fencing token of a term. */
export function firstFence(term: number): number {
  return term * FENCES_PER_TERM;
}

/** Follows, leads or steps down as the peers' states ask for. */
export function checkLeadership(turn: Turn): void {
  const { state } = turn;
  followHighestLeader(turn);
  if (state.scheduler !== null) {
    confirmLead(state, state.scheduler);
    return;
  }
  const leader = state.leaderId === null
    ? undefined
    : state.peers.get(state.leaderId);
  const isOwnLeader = leader !== undefined && isOfCell(state, leader.info);
  if (isOwnLeader && isLeading(state, leader)) return;
  if (state.leaderId !== null) loseLeader(turn);
  if (mayLead(state)) becomeLeader(turn);
}

/** A claim to lead: its term, and whether most instances were heard. */
interface Claim {
  readonly term: number;
  readonly provisional: boolean;
}

/** Whether the first claim to lead goes before the second. */
function outranks(a: Claim, b: Claim): boolean {
  if (a.provisional !== b.provisional) return b.provisional;
  return a.term > b.term;
}

function followHighestLeader(turn: Turn): void {
  const { state } = turn;
  let best: Peer | null = null;
  for (const peer of cellPeers(state)) {
    if (!isLeading(state, peer)) continue;
    if (best === null || outranks(peer, best)) best = peer;
  }
  if (best === null || best.info.instanceId === state.leaderId) return;
  const present = {
    term: state.leaderTerm,
    provisional: state.leaderProvisional,
  };
  if (state.leaderId !== null && !outranks(best, present)) return;
  if (state.scheduler !== null) stepDown(turn, "a peer's claim outranks ours");
  follow(turn, best);
}

/** A lead is provisional until most instances were heard for a while. */
function confirmLead(state: EngineState, scheduler: Scheduler): void {
  if (!seesMajority(state)) scheduler.minorityAtMs = state.nowMs;
  const sinceMs = Math.max(scheduler.sinceMs, scheduler.minorityAtMs);
  if (!seesMajority(state)) scheduler.provisional = true;
  else if (state.nowMs - sinceMs >= CONFIRM_MS) scheduler.provisional = false;
  state.leaderProvisional = scheduler.provisional;
}

function follow(turn: Turn, peer: Peer): void {
  const { state } = turn;
  state.leaderId = peer.info.instanceId;
  state.candidateSinceMs = 0;
  state.leaderTerm = peer.term;
  state.leaderProvisional = peer.provisional;
  state.maxTermSeen = Math.max(state.maxTermSeen, peer.term);
  logDecision(turn, { part: "leader", text: "following a leader" }, {
    leaderId: state.leaderId,
    term: peer.term,
    leaderlessMs: Math.round(state.nowMs - state.leaderlessSinceMs),
  });
  resubmitAll(turn);
}

function loseLeader(turn: Turn): void {
  const { state } = turn;
  logDecision(turn, {
    level: "warn",
    part: "leader",
    text: "the leader is not heard from",
  }, {
    leaderId: state.leaderId,
    term: state.leaderTerm,
    ...peerFields(state, state.leaderId),
  });
  state.leaderId = null;
  state.leaderTerm = 0;
  state.leaderlessSinceMs = state.nowMs;
  heartbeatAll(turn);
}

function peerFields(
  state: EngineState,
  instanceId: string | null,
): Record<string, unknown> {
  const peer = state.peers.get(instanceId ?? "");
  if (peer === undefined) return {};
  return {
    silentMs: Math.round(state.nowMs - peer.lastHeardMs),
    connected: peer.connected,
    isLeader: peer.isLeader,
  };
}

/** Whether this instance is the one that leads now that nobody does. */
function mayLead(state: EngineState): boolean {
  if (state.configuration === null || state.workers.size === 0) return false;
  const upMs = state.nowMs - state.bornAtMs;
  if (upMs < LISTEN_FIRST_MS && !everyPeerAnswered(state)) return false;
  const leaderlessMs = state.nowMs - state.leaderlessSinceMs;
  if (leaderlessMs < HEARSAY_MS && othersHearLeader(state)) return false;
  if (state.candidateSinceMs === 0) state.candidateSinceMs = state.nowMs;
  const waitedMs = state.nowMs - state.candidateSinceMs;
  return waitedMs >= rankOfSelf(state) * RANK_DELAY_MS;
}

/** Whether a peer that is heard now follows a leader that may be alive. */
function othersHearLeader(state: EngineState): boolean {
  for (const peer of liveCellPeers(state)) {
    if (!isInReach(state, peer)) continue;
    const { leaderId } = peer;
    if (leaderId === null || leaderId === state.self.instanceId) continue;
    const leader = state.peers.get(leaderId);
    if (leader !== undefined && !isOfCell(state, leader.info)) continue;
    const ended = leader !== undefined &&
      leader.refusedAtMs > leader.lastHeardMs;
    if (!ended) return true;
  }
  return false;
}

function everyPeerAnswered(state: EngineState): boolean {
  const peers = cellPeers(state);
  return peers.length > 0 &&
    peers.every((peer) => peer.lastHeardMs > 0 || peer.refusedAtMs > 0);
}

/** Starts to lead: in a new term, with no worker taken yet. */
export function becomeLeader(turn: Turn): void {
  const { state } = turn;
  const term = nextTerm(state);
  state.maxTermSeen = term;
  state.leaderTerm = term;
  state.leaderId = state.self.instanceId;
  state.candidateSinceMs = 0;
  state.scheduler = createScheduler(state, term);
  state.leaderProvisional = state.scheduler.provisional;
  state.counters.takeovers += 1;
  logDecision(turn, { part: "leader", text: "leading from now on" }, {
    term,
    ...countInstances(state),
    workersAgeMs: Math.round(state.nowMs - state.workersReadAtMs),
    leaderlessMs: Math.round(state.nowMs - state.leaderlessSinceMs),
  });
  heartbeatAll(turn);
  shareWorkers(turn);
  resubmitAll(turn);
}

/** Whoever leads next has the list also while the store is away. */
function shareWorkers(turn: Turn): void {
  const { state } = turn;
  for (const peer of liveCellPeers(state)) {
    if (peer.workersAgeMs <= workersAgeMs(state)) continue;
    sendPeer(turn, peer.info.instanceId, {
      type: "workers",
      ageMs: workersAgeMs(state),
      workers: [...state.workers.values()],
    });
  }
}

function createScheduler(state: EngineState, term: number): Scheduler {
  return {
    term,
    sinceMs: state.nowMs,
    provisional: !seesMajority(state),
    minorityAtMs: -Infinity,
    jobs: new Map(),
    waiting: new Map(),
    workers: new Map(),
    ended: [],
    records: createRecords(term),
    rereadAtMs: -Infinity,
    rereadWanted: false,
    waitMsByService: new Map(),
    shares: new Map(),
    sharesSampledAtMs: state.nowMs,
  };
}

/** Gives up the lead; the entries hand their jobs to the next leader. */
export function stepDown(turn: Turn, reason: string): void {
  const { state } = turn;
  const { scheduler } = state;
  if (scheduler === null) return;
  logDecision(turn, { part: "leader", text: "no longer leading" }, {
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
export function onStalled(turn: Turn, event: EngineEventOf<"stalled">): void {
  const { state } = turn;
  logDecision(turn, { level: "warn", part: "instance", text: "stood still" }, {
    forMs: Math.round(event.forMs),
    isLeader: state.scheduler !== null,
  });
  const stalledMs = state.nowMs - state.lastTickMs;
  for (const peer of state.peers.values()) {
    if (peer.lastHeardMs > 0) peer.lastHeardMs += stalledMs;
  }
  stepDown(turn, "the process stood still");
}

/** Hands the lead to a peer that does not drain, if there is one. */
export function handOver(turn: Turn): void {
  const { state } = turn;
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
  stepDown(turn, "draining");
  sendPeer(turn, successorId, { type: "released", successorId, jobs });
  for (const peer of state.peers.values()) {
    if (peer === successor) continue;
    sendPeer(turn, peer.info.instanceId, {
      type: "released",
      successorId,
      jobs,
    });
  }
  noteDone(state, jobs);
}

/** A leader gave up the lead: its successor leads at once. */
export function onReleased(
  turn: Turn,
  from: string,
  message: PeerMessageOf<"released">,
): void {
  const { state } = turn;
  noteDone(state, message.jobs);
  const peer = state.peers.get(from);
  if (peer !== undefined) peer.isLeader = false;
  if (state.leaderId === from) loseLeader(turn);
  const isSuccessor = message.successorId === state.self.instanceId;
  if (isSuccessor && state.scheduler === null && state.leaderId === null) {
    becomeLeader(turn);
  }
}

function noteDone(
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
function withinLead(state: EngineState, workers: WorkerInfo[]): WorkerInfo[] {
  const { scheduler } = state;
  if (scheduler === null) return workers;
  if (state.nowMs - scheduler.minorityAtMs >= GROW_AFTER_MS) return workers;
  return workers.filter(({ workerId }) => scheduler.workers.has(workerId));
}

/**
 * The workers that this leader should hold: all of them while it hears most of
 * the instances, else its side's part, those of its own zone first. So two
 * sides of a cut that reach the same workers divide them.
 */
export function workersOfSide(state: EngineState): WorkerInfo[] {
  const workers = cellWorkers(state);
  if (seesMajority(state)) return withinLead(state, workers);
  const { visible, expected } = countInstances(state);
  const share = Math.ceil(workers.length * visible / expected);
  const home = state.self.availabilityZone;
  const order = (worker: WorkerInfo): string =>
    `${worker.availabilityZone === home ? 0 : 1}${worker.workerId}`;
  return workers.sort((a, b) => order(a) < order(b) ? -1 : 1).slice(0, share);
}
