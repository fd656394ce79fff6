/**
 * The reducer: every event of an instance, and what follows from it. The state
 * is changed in place; effects are returned as data, in order.
 */

import {
  checkCallerJobs,
  onCallerGone,
  onCallerSubmit,
  onJobAccepted,
  onJobEnded,
  resubmitAll,
} from "./callers.ts";
import { noteWaits } from "./admit.ts";
import { adoptConfiguration, onConfigurationWanted } from "./configuration.ts";
import { defaultGuards } from "./guards.ts";
import { checkJobs } from "./job_watch.ts";
import { onWithdraw, settleTaskEnds } from "./jobs.ts";
import {
  checkPeers,
  heartbeatAll,
  learnInstances,
  noteHeard,
  onHeartbeat,
  onHello,
  onPeerDown,
  onPeerUp,
  workersAgeMs,
} from "./membership.ts";
import {
  checkLeadership,
  handOver,
  onReleased,
  onStalled,
} from "./ownership.ts";
import { placeWaiting } from "./place.ts";
import {
  checkQuestions,
  onCallerAsked,
  onQuestion,
  onReply,
} from "./questions.ts";
import { onRecordsOpened } from "./record_opening.ts";
import { checkRecords, onRecordsWritten } from "./recording.ts";
import { flushRecords } from "./records.ts";
import { sampleShares } from "./shares.ts";
import { onStartEnded, onStopEnded } from "./starts.ts";
import { onSubmit } from "./submissions.ts";
import type { InstanceInfo, PeerMessage } from "./schemas.ts";
import { logDecision, sendPeer } from "./turn.ts";
import type {
  Effect,
  EngineEvent,
  EngineEventOf,
  EngineState,
  Guards,
  Turn,
} from "./types.ts";
import {
  checkWorkers,
  onHoldEnded,
  rereadForJobs,
  syncWorkers,
} from "./workers.ts";
import {
  onPeerWorkers,
  onWorkersRead,
  onWorkersUnread,
} from "./worker_list.ts";

/** What a new engine is made from. */
export interface EngineOptions {
  readonly self: InstanceInfo;
  /** The longest lease that workers grant. */
  readonly leaseMs: number;
  /** The longest that a worker takes to stop a run. */
  readonly stopMs: number;
  readonly nowMs: number;
  readonly wallMs: number;
  /** Conditions to replace, in runs that show that they are needed. */
  readonly guards?: Partial<Guards>;
}

/**
 * The state of an instance that has just started.
 *
 * @example
 * ```ts
 * const options = { self, leaseMs: 1_000, stopMs: 50, nowMs: 0, wallMs };
 * const state = createEngine(options);
 * const effects = reduce(state, { type: "tick", nowMs: 25, wallMs });
 * ```
 */
export function createEngine(options: EngineOptions): EngineState {
  const { self, leaseMs, stopMs, nowMs, wallMs } = options;
  return {
    self,
    leaseMs,
    stopMs,
    bornAtMs: nowMs,
    nowMs,
    wallMs,
    lastTickMs: nowMs,
    configuration: null,
    peers: new Map(),
    leaderId: null,
    leaderTerm: 0,
    leaderProvisional: false,
    leaderlessSinceMs: nowMs,
    candidateSinceMs: 0,
    maxTermSeen: 0,
    draining: false,
    workers: new Map(),
    hasZoneCells: false,
    zoneListedAtMs: new Map(),
    vanishedAtMs: new Map(),
    workersReadAtMs: -Infinity,
    workersUnreadSinceMs: 0,
    listReturnedAtMs: -Infinity,
    callerJobs: new Map(),
    questions: new Map(),
    recordsZone: null,
    recordsExist: true,
    guards: { ...defaultGuards, ...options.guards },
    runTimes: new Map(),
    scheduler: null,
    nextCallId: 0,
    nextSubmission: 0,
    nextWriteId: 0,
    counters: {
      jobsReceived: 0,
      jobsDone: 0,
      jobsFailed: 0,
      jobsRefused: 0,
      jobsUnknown: 0,
      jobsCancelled: 0,
      jobsAccepted: 0,
      recordWrites: 0,
      callersGone: 0,
      tasksStarted: 0,
      tasksDone: 0,
      tasksFailed: 0,
      tasksLapsed: 0,
      tasksStopped: 0,
      startsRefused: 0,
      startsUnknown: 0,
      holds: 0,
      takeovers: 0,
      peerMessages: 0,
    },
  };
}

type PeerHandlers = {
  [T in PeerMessage["type"]]: (
    turn: Turn,
    from: string,
    message: Extract<PeerMessage, { type: T }>,
  ) => void;
};

const peerHandlers: PeerHandlers = {
  heartbeat: (turn, from, message) => {
    onHeartbeat(turn, from, message);
    checkLeadership(turn);
  },
  hello: onHello,
  submit: onSubmit,
  withdraw: onWithdraw,
  jobEnded: onJobEnded,
  jobAccepted: onJobAccepted,
  question: onQuestion,
  reply: onReply,
  released: onReleased,
  configuration: (turn, _from, message) =>
    adoptConfiguration(turn, message.configuration),
  configurationWanted: onConfigurationWanted,
  workers: (turn, _from, message) => {
    onPeerWorkers(turn, message);
    holdListed(turn);
  },
};

function handlePeerMessage(
  turn: Turn,
  from: string,
  message: PeerMessage,
): void {
  const handler = peerHandlers[message.type] as (
    turn: Turn,
    from: string,
    message: PeerMessage,
  ) => void;
  handler(turn, from, message);
}

type EventHandlers = {
  [T in EngineEvent["type"]]: (turn: Turn, event: EngineEventOf<T>) => void;
};

const eventHandlers: EventHandlers = {
  tick: onTick,
  callerSubmit: onCallerSubmit,
  callerGone: onCallerGone,
  callerAsked: onCallerAsked,
  recordsOpened: onRecordsOpened,
  recordsWritten: onRecordsWritten,
  configurationRead: (turn, event) =>
    adoptConfiguration(turn, event.configuration),
  workersRead: (turn, event) => {
    onWorkersRead(turn, event);
    holdListed(turn);
  },
  workersUnread: onWorkersUnread,
  instancesRead: (turn, event) => learnInstances(turn, event.instances),
  peerUp: (turn, event) => {
    onPeerUp(turn, event);
    welcomePeer(turn, event.instanceId);
  },
  peerDown: (turn, event) => {
    onPeerDown(turn, event);
    checkLeadership(turn);
  },
  peerMessage: (turn, event) => {
    noteHeard(turn.state, event.from);
    handlePeerMessage(turn, event.from, event.message);
  },
  holdEnded: (turn, event) => {
    const worker = onHoldEnded(turn, event);
    settleTaskEnds(turn);
    if (worker !== null) placeWaiting(turn, worker.info.service);
  },
  startEnded: (turn, event) => {
    const worker = onStartEnded(turn, event);
    settleTaskEnds(turn);
    if (worker !== null) placeWaiting(turn, worker.info.service);
  },
  stopEnded: onStopEnded,
  stalled: onStalled,
  drainRequested: (turn) => {
    turn.state.draining = true;
    logDecision(turn, { part: "instance", text: "draining" }, {
      callerJobs: turn.state.callerJobs.size,
      isLeader: turn.state.scheduler !== null,
    });
    heartbeatAll(turn);
    handOver(turn);
  },
};

/** Takes workers that are new in the list, and lets go those that left it. */
function holdListed(turn: Turn): void {
  const { scheduler } = turn.state;
  if (scheduler !== null) syncWorkers(turn, scheduler);
}

/** A peer that connected may lack what was sent while it was away. */
function welcomePeer(turn: Turn, instanceId: string): void {
  const { state } = turn;
  resubmitAll(turn, instanceId);
  if (state.scheduler === null || state.workers.size === 0) return;
  sendPeer(turn, instanceId, {
    type: "workers",
    ageMs: workersAgeMs(state),
    workers: [...state.workers.values()],
  });
}

function onTick(turn: Turn, event: EngineEventOf<"tick">): void {
  const { state } = turn;
  state.wallMs = event.wallMs;
  state.lastTickMs = state.nowMs;
  checkPeers(turn);
  checkLeadership(turn);
  const { scheduler } = state;
  if (scheduler !== null) {
    syncWorkers(turn, scheduler);
    checkRecords(turn, scheduler);
    rereadForJobs(turn, scheduler);
    checkWorkers(turn, scheduler);
    sampleShares(scheduler, state.nowMs);
    noteWaits(state, scheduler);
    settleTaskEnds(turn);
    checkJobs(turn, scheduler);
    for (const service of scheduler.waiting.keys()) placeWaiting(turn, service);
  }
  checkCallerJobs(turn);
  checkQuestions(turn);
}

/** Applies one event to the state, and returns what the shell has to do. */
export function reduce(state: EngineState, event: EngineEvent): Effect[] {
  const turn: Turn = { state, effects: [], taskEnds: [], toSelf: [] };
  state.nowMs = Math.max(state.nowMs, event.nowMs);
  const handler = eventHandlers[event.type] as (
    turn: Turn,
    event: EngineEvent,
  ) => void;
  handler(turn, event);
  for (let next = 0; next < turn.toSelf.length; next += 1) {
    const message = turn.toSelf[next];
    if (message === undefined) continue;
    handlePeerMessage(turn, state.self.instanceId, message);
  }
  settleTaskEnds(turn);
  flushRecords(turn);
  return turn.effects;
}
