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
import { logDecision, sendPeer } from "./effects.ts";
import type {
  Effect,
  EngineEvent,
  EngineEventOf,
  EngineState,
  Guards,
  ReduceContext,
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
    startedAtMs: nowMs,
    nowMs,
    wallMs,
    lastTickAtMs: nowMs,
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
    workersUnreadableSinceMs: 0,
    listRecoveredAtMs: -Infinity,
    callerJobs: new Map(),
    pendingQueries: new Map(),
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
    context: ReduceContext,
    from: string,
    message: Extract<PeerMessage, { type: T }>,
  ) => void;
};

const peerHandlers: PeerHandlers = {
  heartbeat: (context, from, message) => {
    onHeartbeat(context, from, message);
    checkLeadership(context);
  },
  hello: onHello,
  submit: onSubmit,
  withdraw: onWithdraw,
  jobEnded: onJobEnded,
  jobAccepted: onJobAccepted,
  question: onQuestion,
  reply: onReply,
  released: onReleased,
  configuration: (context, _from, message) =>
    adoptConfiguration(context, message.configuration),
  configurationWanted: onConfigurationWanted,
  workers: (context, _from, message) => {
    onPeerWorkers(context, message);
    holdListed(context);
  },
};

function handlePeerMessage(
  context: ReduceContext,
  from: string,
  message: PeerMessage,
): void {
  const handler = peerHandlers[message.type] as (
    context: ReduceContext,
    from: string,
    message: PeerMessage,
  ) => void;
  handler(context, from, message);
}

type EventHandlers = {
  [T in EngineEvent["type"]]: (
    context: ReduceContext,
    event: EngineEventOf<T>,
  ) => void;
};

const eventHandlers: EventHandlers = {
  tick: onTick,
  callerSubmit: onCallerSubmit,
  callerGone: onCallerGone,
  callerAsked: onCallerAsked,
  recordsOpened: onRecordsOpened,
  recordsWritten: onRecordsWritten,
  configurationRead: (context, event) =>
    adoptConfiguration(context, event.configuration),
  workersRead: (context, event) => {
    onWorkersRead(context, event);
    holdListed(context);
  },
  workersUnread: onWorkersUnread,
  instancesRead: (context, event) => learnInstances(context, event.instances),
  peerUp: (context, event) => {
    onPeerUp(context, event);
    welcomePeer(context, event.instanceId);
  },
  peerDown: (context, event) => {
    onPeerDown(context, event);
    checkLeadership(context);
  },
  peerMessage: (context, event) => {
    noteHeard(context.state, event.from);
    handlePeerMessage(context, event.from, event.message);
  },
  holdEnded: (context, event) => {
    const worker = onHoldEnded(context, event);
    settleTaskEnds(context);
    if (worker !== null) placeWaiting(context, worker.info.service);
  },
  startEnded: (context, event) => {
    const worker = onStartEnded(context, event);
    settleTaskEnds(context);
    if (worker !== null) placeWaiting(context, worker.info.service);
  },
  stopEnded: onStopEnded,
  stalled: onStalled,
  drainRequested: (context) => {
    context.state.draining = true;
    logDecision(context, { part: "instance", text: "draining" }, {
      callerJobs: context.state.callerJobs.size,
      isLeader: context.state.scheduler !== null,
    });
    heartbeatAll(context);
    handOver(context);
  },
};

/** Takes workers that are new in the list, and lets go those that left it. */
function holdListed(context: ReduceContext): void {
  const { scheduler } = context.state;
  if (scheduler !== null) syncWorkers(context, scheduler);
}

/** A peer that connected may lack what was sent while it was away. */
function welcomePeer(context: ReduceContext, instanceId: string): void {
  const { state } = context;
  resubmitAll(context, instanceId);
  if (state.scheduler === null || state.workers.size === 0) return;
  sendPeer(context, instanceId, {
    type: "workers",
    ageMs: workersAgeMs(state),
    workers: [...state.workers.values()],
  });
}

function onTick(context: ReduceContext, event: EngineEventOf<"tick">): void {
  const { state } = context;
  state.wallMs = event.wallMs;
  state.lastTickAtMs = state.nowMs;
  checkPeers(context);
  checkLeadership(context);
  const { scheduler } = state;
  if (scheduler !== null) {
    syncWorkers(context, scheduler);
    checkRecords(context, scheduler);
    rereadForJobs(context, scheduler);
    checkWorkers(context, scheduler);
    sampleShares(scheduler, state.nowMs);
    noteWaits(state, scheduler);
    settleTaskEnds(context);
    checkJobs(context, scheduler);
    for (const service of scheduler.waiting.keys()) {
      placeWaiting(context, service);
    }
  }
  checkCallerJobs(context);
  checkQuestions(context);
}

/** Applies one event to the state, and returns what the shell has to do. */
export function reduce(state: EngineState, event: EngineEvent): Effect[] {
  const context: ReduceContext = {
    state,
    effects: [],
    taskCompletions: [],
    selfMessages: [],
  };
  state.nowMs = Math.max(state.nowMs, event.nowMs);
  const handler = eventHandlers[event.type] as (
    context: ReduceContext,
    event: EngineEvent,
  ) => void;
  handler(context, event);
  for (let next = 0; next < context.selfMessages.length; next += 1) {
    const message = context.selfMessages[next];
    if (message === undefined) continue;
    handlePeerMessage(context, state.self.instanceId, message);
  }
  settleTaskEnds(context);
  flushRecords(context);
  return context.effects;
}
