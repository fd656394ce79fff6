/**
 * Leader election and the assignment of workers to leaders. Each leadership has
 * a term, higher than every term seen. The leader of a cell owns each of the
 * cell's workers under a fencing token of its term, which the worker checks.
 * An instance that hears no leader takes over by polling the workers under
 * higher tokens, without a vote and without the store: the worker is the
 * arbiter, and calls of a deposed leader have no effect.
 */

import { resubmitAll } from "./callers.ts";
import { cellPeers, cellWorkers, isInOwnCell } from "./cells.ts";
import { logDecision, sendPeer } from "./effects.ts";
import { createJobTable } from "./job_table.ts";
import { suspectFollowers } from "./followers.ts";
import { isolateJob } from "./job_faults.ts";
import { isActiveLeader } from "./leader_lookup.ts";
import { isReachable, peerRankKey, rankOfSelf } from "./leader_ranking.ts";
import {
  countInstances,
  heartbeatAll,
  liveCellPeers,
  seesMajority,
  sendHeartbeat,
  workersAgeMs,
} from "./membership.ts";
import { leaveLeaderList, trackLeaderList } from "./leader_lists.ts";
import { createRecordStoreState } from "./records.ts";
import type { PeerMessageOf, WorkerInfo } from "./schemas.ts";
import { createWorkerLoans } from "./worker_loans.ts";
import { ageEvacuations, beginEvacuationReads } from "./zones/evacuation.ts";
import type {
  EngineEventOf,
  EngineState,
  Peer,
  ReduceContext,
  Scheduler,
} from "./types.ts";
import { createJobClaims, createZoneSharing } from "./zones/zone_types.ts";

/** Length of one step of the wall clock, from which terms are derived. */
const TERM_STEP_MS = 100;
/**
 * Number of terms in one step. The hash of an instance's id selects one of
 * them, so that instances rarely choose equal terms.
 */
const TERMS_PER_STEP = 512;
/** Number of fencing tokens in one term. */
export const FENCES_PER_TERM = 512;
/**
 * Time after its start for which an instance listens for a leader before it may
 * become one, unless all peers of the cell have answered.
 */
const STARTUP_LISTEN_MS = 900;
/**
 * Time for which an instance without a leader defers to indirect reports, that
 * is, to peers that still follow one.
 */
const INDIRECT_REPORT_TIMEOUT_MS = 1_500;
/**
 * Time for which a leader that heard no majority of instances must hear one
 * again before it acquires further workers.
 */
const ACQUIRE_DELAY_MS = 400;
/**
 * Time for which a provisional leader must hear a majority of instances before
 * it is confirmed.
 */
const CONFIRM_DELAY_MS = 3_000;
/**
 * Delay of a candidate for each peer ranked before it, which gives that peer
 * time to become the leader.
 */
const RANK_DELAY_MS = 400;

/** FNV-1a hash of a name, reduced to a value below `TERMS_PER_STEP`. */
function nameHash(name: string): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < name.length; i += 1) {
    hash = Math.imul(hash ^ name.charCodeAt(i), 0x01000193);
  }
  return (hash >>> 0) % TERMS_PER_STEP;
}

/**
 * Returns a term above every term seen. It differs from the terms of other
 * instances unless the hashes of their ids are equal. It follows the wall
 * clock, so that terms also increase after all instances have restarted.
 */
export function nextTerm(state: EngineState): number {
  const byClock = Math.floor(state.wallMs / TERM_STEP_MS) * TERMS_PER_STEP +
    nameHash(state.self.instanceId);
  return Math.max(byClock, nextTermAfter(state, state.maxTermSeen));
}

/** Returns the first term of this instance that is above another term. */
export function nextTermAfter({ self }: EngineState, term: number): number {
  return (Math.floor(term / TERMS_PER_STEP) + 1) * TERMS_PER_STEP +
    nameHash(self.instanceId);
}

/** The lowest fencing token of a term. */
export function firstFence(term: number): number {
  return term * FENCES_PER_TERM;
}

/** The term in which a fencing token is used. */
export function termOfFence(fence: number): number {
  return Math.floor(fence / FENCES_PER_TERM);
}

/**
 * Follows the active leader that outranks all others of the cell. If that is
 * this instance, updates whether it is confirmed. If there is none, becomes the
 * leader as soon as `mayBecomeLeader` allows it.
 */
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
  const isCellLeader = leader !== undefined && isInOwnCell(state, leader.info);
  if (isCellLeader && isActiveLeader(state, leader)) return;
  if (state.leaderId !== null) clearLeader(context);
  if (mayBecomeLeader(state)) becomeLeader(context);
}

/** A leader's term, and whether it lacks confirmation by a majority. */
interface LeadershipClaim {
  readonly term: number;
  readonly provisional: boolean;
}

/** Whether `a` outranks `b`: confirmed before provisional, then higher term. */
function outranks(a: LeadershipClaim, b: LeadershipClaim): boolean {
  if (a.provisional !== b.provisional) return b.provisional;
  return a.term > b.term;
}

/**
 * Follows the active leader that outranks all others among the cell's peers, if
 * it outranks the present leader too or there is none. If the present leader is
 * this instance, it steps down first. A leader is followed anew in each of its
 * terms: it may have stepped down in between, unnoticed here.
 */
function followHighestLeader(context: ReduceContext): void {
  const { state } = context;
  let best: Peer | null = null;
  for (const peer of cellPeers(state)) {
    if (!isActiveLeader(state, peer)) continue;
    if (best === null || outranks(peer, best)) best = peer;
  }
  if (best === null) return;
  if (best.info.instanceId === state.leaderId) {
    if (state.guards.mustFollowAnew(best.term, state.leaderTerm)) {
      followLeader(context, best);
    }
    return;
  }
  const current = {
    term: state.leaderTerm,
    provisional: state.leaderProvisional,
  };
  if (state.leaderId !== null && !outranks(best, current)) return;
  if (state.scheduler !== null) {
    stepDown(context, "outranked by a peer");
  }
  followLeader(context, best);
}

/**
 * Makes a leader that hears no majority of instances provisional, and confirms
 * it once it has heard one for `CONFIRM_DELAY_MS`.
 */
function updateProvisional(state: EngineState, scheduler: Scheduler): void {
  if (!seesMajority(state)) scheduler.lastMinorityAtMs = state.nowMs;
  const majoritySinceMs = Math.max(
    scheduler.startedAtMs,
    scheduler.lastMinorityAtMs,
  );
  if (!seesMajority(state)) scheduler.provisional = true;
  else if (state.nowMs - majoritySinceMs >= CONFIRM_DELAY_MS) {
    scheduler.provisional = false;
  }
  state.leaderProvisional = scheduler.provisional;
}

function followLeader(context: ReduceContext, peer: Peer): void {
  const { state } = context;
  leaveLeaderList(state);
  trackLeaderList(state, peer);
  state.leaderId = peer.info.instanceId;
  state.candidateSinceMs = 0;
  state.leaderTerm = peer.term;
  state.leaderProvisional = peer.provisional;
  state.maxTermSeen = Math.max(state.maxTermSeen, peer.term);
  logDecision(context, {
    part: "leader",
    text: "instance started following leader",
  }, {
    leaderId: state.leaderId,
    term: peer.term,
    list: peer.listDigest,
    leaderlessMs: Math.round(state.nowMs - state.leaderlessSinceMs),
  });
  // The leader learns by which list the leader before started tasks.
  sendHeartbeat(context, peer);
  resubmitAll(context);
}

/**
 * Clears the leader that this instance follows, and sends heartbeats to all
 * peers, which then reply with the leaders that they follow.
 */
function clearLeader(context: ReduceContext): void {
  const { state } = context;
  logDecision(context, {
    level: "warn",
    part: "leader",
    text: "leader lost",
  }, {
    leaderId: state.leaderId,
    term: state.leaderTerm,
    ...peerLogFields(state, state.leaderId),
  });
  leaveLeaderList(state);
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

/**
 * Whether this instance should become the leader while none is known. Records
 * in `candidateSinceMs` when it first met all conditions other than the delay
 * for its rank.
 */
function mayBecomeLeader(state: EngineState): boolean {
  if (state.configuration === null || state.workers.size === 0) return false;
  const upMs = state.nowMs - state.startedAtMs;
  if (upMs < STARTUP_LISTEN_MS && !everyPeerAnswered(state)) return false;
  const leaderlessMs = state.nowMs - state.leaderlessSinceMs;
  if (leaderlessMs < INDIRECT_REPORT_TIMEOUT_MS && peersReportLeader(state)) {
    return false;
  }
  if (state.candidateSinceMs === 0) state.candidateSinceMs = state.nowMs;
  const waitedMs = state.nowMs - state.candidateSinceMs;
  return waitedMs >= rankOfSelf(state) * RANK_DELAY_MS;
}

/**
 * Whether a reachable peer of the cell follows another instance as the leader.
 * Ignores leaders that are in another cell, or that refused a connection since
 * they were last heard from.
 */
function peersReportLeader(state: EngineState): boolean {
  for (const peer of liveCellPeers(state)) {
    if (!isReachable(state, peer)) continue;
    const { leaderId } = peer;
    if (leaderId === null || leaderId === state.self.instanceId) continue;
    const leader = state.peers.get(leaderId);
    if (leader !== undefined && !isInOwnCell(state, leader.info)) continue;
    const hasEnded = leader !== undefined &&
      leader.refusedAtMs > leader.lastHeardAtMs;
    if (!hasEnded) return true;
  }
  return false;
}

/**
 * Whether the cell has peers and each of them has sent a message or refused a
 * connection. Before the list of instances is read, only peers that have
 * connected are known, not those that may follow a leader. A peer that refused
 * and then connects has just started, and knows no leader; small instances take
 * half a second from there to their first message.
 */
function everyPeerAnswered(state: EngineState): boolean {
  const peers = cellPeers(state);
  return state.hasReadInstances && peers.length > 0 &&
    peers.every((peer) => peer.lastHeardAtMs > 0 || peer.hasRefused);
}

/** Makes this instance the leader in a new term; it owns no workers yet. */
export function becomeLeader(context: ReduceContext): void {
  const { state } = context;
  const term = nextTerm(state);
  state.maxTermSeen = term;
  state.leaderTerm = term;
  state.leaderId = state.self.instanceId;
  state.candidateSinceMs = 0;
  state.scheduler = createScheduler(state, term);
  trackLeaderList(state, { term, listDigest: state.listDigest });
  state.leaderProvisional = state.scheduler.provisional;
  state.counters.takeovers += 1;
  logDecision(context, { part: "leader", text: "instance became leader" }, {
    term,
    ...countInstances(state),
    upMs: Math.round(state.nowMs - state.startedAtMs),
    workers: cellWorkers(state).length,
    list: state.listDigest,
    workersAgeMs: Math.round(state.nowMs - state.workersReadAtMs),
    leaderlessMs: Math.round(state.nowMs - state.leaderlessSinceMs),
  });
  beginEvacuationReads(context);
  heartbeatAll(context);
  sendWorkerList(context);
  resubmitAll(context);
}

/**
 * Sends the list of workers to live peers of the cell whose lists are older, so
 * that the next leader has it even while the store is unavailable.
 */
function sendWorkerList(context: ReduceContext): void {
  const { state } = context;
  const ageMs = workersAgeMs(state);
  const message: PeerMessageOf<"workers"> = {
    type: "workers",
    ageMs,
    workers: [...state.workers.values()],
  };
  for (const peer of liveCellPeers(state)) {
    if (peer.workersAgeMs <= ageMs) continue;
    sendPeer(context, peer.info.instanceId, message);
  }
}

function createScheduler(state: EngineState, term: number): Scheduler {
  return {
    term,
    startedAtMs: state.nowMs,
    provisional: !seesMajority(state),
    lastMinorityAtMs: -Infinity,
    jobs: createJobTable(),
    waiting: new Map(),
    workers: new Map(),
    endedJobs: [],
    lostRuns: [],
    startsInFlight: new Set(),
    offers: new Map(),
    queueCrashesAtMs: new Map(),
    records: createRecordStoreState(term),
    loans: createWorkerLoans(),
    reportedCompletions: new Map(),
    rereadAtMs: -Infinity,
    rereadWanted: false,
    waitMsByService: new Map(),
    overload: { policyByService: new Map() },
    callerTimes: new Map(),
    sharing: createZoneSharing(),
    claims: createJobClaims(),
    queueDemands: new Map(),
    demandsSampledAtMs: state.nowMs,
  };
}

/**
 * Ends this instance's leadership, if it is the leader. Entries resubmit its
 * jobs to the next leader.
 */
export function stepDown(context: ReduceContext, reason: string): void {
  const { state } = context;
  const { scheduler } = state;
  if (scheduler === null) return;
  logDecision(context, {
    part: "leader",
    text: "instance stepped down as leader",
  }, {
    reason,
    term: scheduler.term,
    jobs: scheduler.jobs.size,
  });
  leaveLeaderList(state);
  rememberUnlistedWorkers(state, scheduler);
  state.scheduler = null;
  state.leaderId = null;
  state.leaderTerm = 0;
  state.leaderlessSinceMs = state.nowMs;
}

/**
 * Remembers the workers that have left the list, but had runs of this leader
 * until now: its polls have renewed their leases.
 */
function rememberUnlistedWorkers(
  { workers, vanishedWorkers, nowMs }: EngineState,
  scheduler: Scheduler,
): void {
  for (const [workerId, { runs, info }] of scheduler.workers) {
    if (runs.size === 0 || workers.has(workerId)) continue;
    const { availabilityZone } = info;
    vanishedWorkers.set(workerId, { availabilityZone, leftAtMs: nowMs });
  }
}

/**
 * Handles a pause of this process. The pause does not count as time without
 * messages from the peers. A leader steps down, because the peers may have
 * another leader by now, and jobs that waited here may run elsewhere.
 */
export function onProcessPaused(
  context: ReduceContext,
  event: EngineEventOf<"processPaused">,
): void {
  const { state } = context;
  logDecision(
    context,
    {
      level: "warn",
      part: "instance",
      text: "process was paused; events were delayed",
    },
    {
      forMs: Math.round(event.pausedMs),
      isLeader: state.scheduler !== null,
    },
  );
  ageEvacuations(state, event.pausedMs);
  excuseSilence(state);
  stepDown(context, "process was paused");
}

/**
 * Handles a delay by this process's own work, which does not count as time
 * without messages from the peers either. A leader remains one, since a
 * successor would have the same work to do. If the peers have another leader by
 * now, its higher term and its fencing tokens take effect.
 */
export function onProcessBusy(
  context: ReduceContext,
  event: EngineEventOf<"processBusy">,
): void {
  const { state } = context;
  logDecision(context, {
    level: "warn",
    part: "instance",
    text: "process was busy; events were delayed",
  }, {
    forMs: Math.round(event.busyMs),
    isLeader: state.scheduler !== null,
  });
  excuseSilence(state);
  suspectFollowers(state);
}

/**
 * Leaves the time since the latest tick, for which this process was delayed, out
 * of the silence of the peers.
 */
function excuseSilence(state: EngineState): void {
  state.delayEndedAtMs = state.nowMs;
  const sinceLastTickMs = state.nowMs - state.lastTickAtMs;
  for (const peer of state.peers.values()) {
    if (peer.lastHeardAtMs > 0) peer.lastHeardAtMs += sinceLastTickMs;
  }
}

/**
 * Hands leadership to the highest-ranked live peer of the cell that is not
 * draining and has a configuration. If there is no such peer, this instance
 * remains the leader. Otherwise all peers are sent the names of the done tasks
 * of its unrecorded open jobs.
 */
export function handOverLeadership(context: ReduceContext): void {
  const { state } = context;
  const { scheduler } = state;
  if (scheduler === null) return;
  const successor = liveCellPeers(state)
    .filter((peer) => !peer.draining && peer.configurationVersion >= 0)
    .sort((a, b) => peerRankKey(state, a) < peerRankKey(state, b) ? -1 : 1)[0];
  if (successor === undefined) return;
  const successorId = successor.info.instanceId;
  const jobs = [...scheduler.jobs.values()]
    .filter((job) => job.outcome === null && job.record === null)
    .map((job) => ({
      jobId: job.jobId,
      doneTasks: isolateJob<string[]>(context, job, {
        stage: "handOver",
        fallback: [],
        run: () =>
          job.tasks.filter((task) => task.state === "done")
            .map((task) => task.name),
      }),
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

/**
 * Handles a leader's release of its leadership. The designated successor
 * becomes the leader at once, unless it is the leader or follows another one.
 */
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

/**
 * Records which tasks of this instance's callers' jobs are done, so that they
 * are not run again when the jobs are resubmitted.
 */
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
 * Limits a leader that only recently regained a majority to workers that it
 * owns already: another leader may be about to outrank it.
 */
function limitAcquisition(
  state: EngineState,
  workers: WorkerInfo[],
): WorkerInfo[] {
  const { scheduler } = state;
  if (scheduler === null) return workers;
  if (state.nowMs - scheduler.lastMinorityAtMs >= ACQUIRE_DELAY_MS) {
    return workers;
  }
  return workers.filter(({ workerId }) => scheduler.workers.has(workerId));
}

/**
 * The workers that this leader should own: those of its cell but the lent ones,
 * and the borrowed ones.
 */
export function workersToOwn(state: EngineState): WorkerInfo[] {
  const own = cellWorkersToOwn(state);
  const { loans } = state.scheduler ?? {};
  if (loans === undefined || !state.hasZoneCells) return own;
  const borrowed = [...loans.borrowed.keys()].flatMap((workerId) =>
    state.workers.get(workerId) ?? []
  );
  const kept = own.filter(({ workerId }) => !loans.lent.has(workerId));
  return [...kept, ...borrowed];
}

/**
 * The workers of the cell that this leader should own. While it hears a majority of
 * instances, these are all workers of the cell; for the first
 * `ACQUIRE_DELAY_MS` after it regained a majority, only those that it owns
 * already. Otherwise they are a share in proportion to the instances that it
 * hears, workers of its own zone first: partition sides in different zones that
 * reach the same workers thus divide them.
 */
function cellWorkersToOwn(state: EngineState): WorkerInfo[] {
  const workers = cellWorkers(state);
  if (seesMajority(state)) return limitAcquisition(state, workers);
  const { visible, expected } = countInstances(state);
  const share = Math.ceil(workers.length * visible / expected);
  const ownZone = state.self.availabilityZone;
  const order = (worker: WorkerInfo): string =>
    `${worker.availabilityZone === ownZone ? 0 : 1}${worker.workerId}`;
  return workers.sort((a, b) => order(a) < order(b) ? -1 : 1).slice(0, share);
}
