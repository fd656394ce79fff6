/**
 * The reducer: applies each event of an instance to the state, which is changed
 * in place, and returns the resulting effects as data, in order.
 */

import { updateWaitsByService } from "./admission.ts";
import {
  checkCallerJobs,
  onCallerGone,
  onCallerSubmit,
  onJobAccepted,
  onJobEnded,
  onJobFault,
  resendWithdrawals,
  resubmitAll,
} from "./callers.ts";
import {
  applyConfiguration,
  onConfigurationChanges,
  onConfigurationCopy,
  onConfigurationWanted,
} from "./configuration.ts";
import {
  checkConfiguration,
  createConfigurationSync,
  onConfigurationAnswered,
} from "./configuration_sync.ts";
import { logDecision, sendPeer } from "./effects.ts";
import { onFollowerHeartbeat } from "./followers.ts";
import { defaultGuards } from "./guards.ts";
import { checkJobs } from "./job_watch.ts";
import {
  applyTaskCompletions,
  endFaultyJobs,
  onWithdraw,
  withdrawAll,
} from "./jobs.ts";
import {
  checkLeadership,
  handOverLeadership,
  onProcessBusy,
  onProcessPaused,
  onReleased,
} from "./leadership.ts";
import { checkLentWorkers, onWorkersWanted } from "./loan_grants.ts";
import { checkBorrowedWorkers, onWorkersLent } from "./loan_requests.ts";
import {
  checkPeers,
  hasRestarted,
  heartbeatAll,
  onHeartbeat,
  onHello,
  onPeerDown,
  onPeerUp,
  updateKnownInstances,
  updateLastHeard,
  workersAgeMs,
} from "./membership.ts";
import { logPolicyChanges } from "./overload/reports.ts";
import { placeQueuedTasks } from "./placement.ts";
import {
  checkPendingQueries,
  onCallerQuery,
  onQuery,
  onReply,
} from "./queries.ts";
import { sampleDemands } from "./queue_demand.ts";
import { createQueueRules } from "./queue_rules.ts";
import {
  onOpeningContinued,
  onRecordsClaimed,
  onRecordsOpened,
} from "./record_opening.ts";
import { checkRecords, onRecordsWritten } from "./record_ownership.ts";
import {
  checkReports,
  onCompletionsFound,
  onCompletionsRecorded,
  onRunsGone,
  onRunsWanted,
} from "./record_reports.ts";
import { flushRecords } from "./records.ts";
import { onRecordsChecked } from "./records_absence.ts";
import { onHolderRead } from "./records_holder.ts";
import type { InstanceInfo, PeerMessage } from "./schemas.ts";
import { onStartCompleted, onStopCompleted } from "./starts.ts";
import { onSubmit } from "./submissions.ts";
import type {
  Effect,
  EngineEvent,
  EngineEventOf,
  EngineState,
  Guards,
  LoadLimits,
  ReduceContext,
} from "./types.ts";
import {
  forgetVanishedWorkers,
  onPeerWorkers,
  onWorkersRead,
  onWorkersUnreadable,
} from "./worker_list.ts";
import { unlimitedLoad } from "./load_limits.ts";
import {
  checkWorkers,
  onPollCompleted,
  rereadWorkers,
  syncWorkers,
} from "./workers.ts";
import {
  checkEvacuations,
  createEvacuationState,
  onEvacuationsRead,
  onEvacuationsUnreadable,
} from "./zones/evacuation.ts";
import { onClaims } from "./zones/claim_conflicts.ts";
import {
  checkClaims,
  onClaimsWanted,
  resendClaims,
} from "./zones/job_claims.ts";
import { handOverWaiting, updateRoom } from "./zones/sharing.ts";

/** Options for creating the state of an engine. */
export interface EngineOptions {
  readonly self: InstanceInfo;
  /** Duration of the leases on workers, the longest that workers grant. */
  readonly leaseMs: number;
  /** Upper bound of the time that a worker takes to stop a run. */
  readonly stopMs: number;
  /**
   * Time after the write of an evacuation from which on no task starts in its
   * zone; if undefined, zones can't be evacuated.
   */
  readonly evacuateMs?: number | undefined;
  readonly nowMs: number;
  readonly wallMs: number;
  /** Guards to override, in runs that verify that each guard is needed. */
  readonly guards?: Partial<Guards>;
  /** Bounds on what callers may have in flight; none by default. */
  readonly limits?: LoadLimits | undefined;
}

/**
 * Creates the state of an instance that has just started.
 *
 * @example
 * ```ts
 * const options = { self, leaseMs: 1_000, stopMs: 50, nowMs: 0, wallMs };
 * const state = createEngine(options);
 * const effects = reduce(state, { type: "tick", nowMs: 25, wallMs });
 * ```
 */
export function createEngine(options: EngineOptions): EngineState {
  const { self, leaseMs, stopMs, evacuateMs, nowMs, wallMs } = options;
  return {
    self,
    leaseMs,
    stopMs,
    startedAtMs: nowMs,
    nowMs,
    wallMs,
    lastTickAtMs: nowMs,
    delayEndedAtMs: -Infinity,
    configuration: null,
    configurationSync: createConfigurationSync(self.instanceId),
    queueRules: createQueueRules(),
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
    listDigest: "",
    listedNames: new Set(),
    leaderList: null,
    previousList: null,
    firstLedAtMs: Infinity,
    registeredLists: new Map(),
    registeredListsReadAtMs: -Infinity,
    zoneListedAtMs: new Map(),
    vanishedWorkers: new Map(),
    hasReadInstances: false,
    workersReadAtMs: -Infinity,
    workersUnreadableSinceMs: 0,
    listRecoveredAtMs: -Infinity,
    evacuation: createEvacuationState(evacuateMs),
    callerJobs: new Map(),
    withdrawals: [],
    pendingQueries: new Map(),
    unansweredCancels: new Map(),
    recordsZone: null,
    recordsExist: true,
    faultyJobs: new Map(),
    guards: { ...defaultGuards, ...options.guards },
    limits: options.limits ?? unlimitedLoad,
    runTimes: new Map(),
    scheduler: null,
    lastCallId: 0,
    lastSubmissionNumber: 0,
    lastWriteId: 0,
    refusals: new Map(),
    counters: {
      jobsReceived: 0,
      jobsOverMemory: 0,
      queriesOverLimit: 0,
      jobsDone: 0,
      jobsFailed: 0,
      jobsRefused: 0,
      jobsUnknown: 0,
      jobsCancelled: 0,
      jobsAccepted: 0,
      jobFaults: 0,
      recordWrites: 0,
      callersGone: 0,
      jobsHandedOver: 0,
      jobsFromOtherZones: 0,
      jobsSentWithoutLeader: 0,
      handOversFailed: 0,
      jobClaimsSent: 0,
      jobClaimsReceived: 0,
      jobsInTwoZones: 0,
      jobsFollowed: 0,
      tasksStarted: 0,
      tasksDone: 0,
      tasksFailed: 0,
      tasksLapsed: 0,
      workersCrashed: 0,
      tasksCrashed: 0,
      tasksGivenUp: 0,
      tasksStopped: 0,
      startsRefused: 0,
      startsUnknown: 0,
      holds: 0,
      takeovers: 0,
      peerMessages: 0,
      configurationCopiesSent: 0,
      configurationCopiesReceived: 0,
      configurationChangesSent: 0,
      configurationChangesReceived: 0,
      configurationCalls: 0,
      configurationCallsFailed: 0,
      evacuationReads: 0,
      evacuationReadsFailed: 0,
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
    endPreviousIncarnation(context, from, message.bornMs);
    if (onHeartbeat(context, from, message)) {
      onFollowerHeartbeat(context.state, from, message);
    }
    checkLeadership(context);
  },
  hello: (context, from, message) => {
    endPreviousIncarnation(context, from, message.instance.bornMs);
    // Outcomes that a leader reported while its connection to this entry was down
    // are lost; the leader answers again for jobs that are submitted again.
    if (onHello(context, from, message)) resubmitAll(context, from);
  },
  submit: onSubmit,
  withdraw: onWithdraw,
  jobEnded: onJobEnded,
  jobAccepted: onJobAccepted,
  jobFault: onJobFault,
  // On the wire, a query is named `question`.
  question: onQuery,
  reply: onReply,
  released: onReleased,
  configuration: onConfigurationCopy,
  configurationChanges: onConfigurationChanges,
  configurationWanted: onConfigurationWanted,
  workers: (context, _from, message) => {
    onPeerWorkers(context, message);
    syncOwnedWorkers(context);
  },
  completionsFound: onCompletionsFound,
  completionsRecorded: onCompletionsRecorded,
  workersWanted: onWorkersWanted,
  workersLent: onWorkersLent,
  runsWanted: onRunsWanted,
  runsGone: onRunsGone,
  claimsWanted: onClaimsWanted,
  claims: onClaims,
};

/** Withdraws the jobs of a peer if the message is the first since its restart. */
function endPreviousIncarnation(
  context: ReduceContext,
  from: string,
  startedAtMs: number,
): void {
  if (hasRestarted(context.state, from, startedAtMs)) {
    withdrawAll(context, { instanceId: from, startedAtMs });
  }
}

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
  callerQuery: onCallerQuery,
  recordsOpened: onRecordsOpened,
  recordsClaimed: onRecordsClaimed,
  holderRead: onHolderRead,
  recordsChecked: onRecordsChecked,
  openingContinued: onOpeningContinued,
  recordsWritten: onRecordsWritten,
  configurationRead: (context, event) =>
    applyConfiguration(context, event.configuration, "operator"),
  configurationAnswered: onConfigurationAnswered,
  workersRead: (context, event) => {
    onWorkersRead(context, event);
    syncOwnedWorkers(context);
  },
  workersUnreadable: onWorkersUnreadable,
  evacuationsRead: onEvacuationsRead,
  evacuationsUnreadable: onEvacuationsUnreadable,
  instancesRead: (context, event) => {
    context.state.hasReadInstances = true;
    updateKnownInstances(context, event.instances);
  },
  registeredListsRead: ({ state }, { lists }) => {
    for (const list of lists) state.registeredLists.set(list.cell, list);
    state.registeredListsReadAtMs = state.nowMs;
  },
  peerUp: (context, event) => {
    onPeerUp(context, event);
    resendToPeer(context, event.instanceId);
  },
  peerDown: (context, event) => {
    onPeerDown(context, event);
    checkLeadership(context);
  },
  peerMessage: (context, event) => {
    updateLastHeard(context.state, event.from);
    handlePeerMessage(context, event.from, event.message);
  },
  pollCompleted: (context, event) => {
    const worker = onPollCompleted(context, event);
    applyTaskCompletions(context);
    if (worker !== null) placeQueuedTasks(context, worker.info.service);
  },
  startCompleted: (context, event) => {
    const worker = onStartCompleted(context, event);
    applyTaskCompletions(context);
    if (worker !== null) placeQueuedTasks(context, worker.info.service);
  },
  stopCompleted: onStopCompleted,
  processPaused: onProcessPaused,
  processBusy: onProcessBusy,
  drainRequested: (context) => {
    context.state.draining = true;
    logDecision(context, { part: "instance", text: "instance is draining" }, {
      callerJobs: context.state.callerJobs.size,
      isLeader: context.state.scheduler !== null,
    });
    heartbeatAll(context);
    handOverLeadership(context);
  },
};

/**
 * Acquires and releases workers as the list of workers requires, if this
 * instance is the leader.
 */
function syncOwnedWorkers(context: ReduceContext): void {
  const { scheduler } = context.state;
  if (scheduler !== null) syncWorkers(context, scheduler);
}

/**
 * Sends a newly connected peer what it may have missed: recent withdrawals, the
 * caller jobs of this instance, if the peer is their leader, and, if this instance
 * is the leader, its claims and the list of workers.
 */
function resendToPeer(context: ReduceContext, instanceId: string): void {
  const { state } = context;
  resendWithdrawals(context, instanceId);
  resubmitAll(context, instanceId);
  resendClaims(context, instanceId);
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
  checkConfiguration(context);
  forgetVanishedWorkers(state);
  checkLeadership(context);
  checkEvacuations(context);
  const { scheduler } = state;
  if (scheduler !== null) {
    checkLentWorkers(context, scheduler);
    checkBorrowedWorkers(context, scheduler);
    syncWorkers(context, scheduler);
    checkRecords(context, scheduler);
    rereadWorkers(context, scheduler);
    checkWorkers(context, scheduler);
    checkReports(context, scheduler);
    sampleDemands(scheduler, state.nowMs);
    updateWaitsByService(context, scheduler);
    logPolicyChanges(context, scheduler);
    updateRoom(context, scheduler);
    applyTaskCompletions(context);
    checkClaims(context, scheduler);
    handOverWaiting(context, scheduler);
    checkJobs(context, scheduler);
    for (const service of scheduler.waiting.keys()) {
      placeQueuedTasks(context, service);
    }
  }
  checkCallerJobs(context);
  checkPendingQueries(context);
}

/**
 * Handles what the reduction of an event has left: messages of this instance to
 * itself, task completions and faults of jobs, which may lead to further ones.
 */
function settle(context: ReduceContext): void {
  const { state, selfMessages, taskCompletions, jobFaults } = context;
  while (selfMessages.length + taskCompletions.length + jobFaults.length > 0) {
    for (const message of selfMessages.splice(0)) {
      handlePeerMessage(context, state.self.instanceId, message);
    }
    applyTaskCompletions(context);
    endFaultyJobs(context);
  }
}

/**
 * Applies one event to the state, and returns the effects that the instance has
 * to carry out.
 */
export function reduce(state: EngineState, event: EngineEvent): Effect[] {
  const context: ReduceContext = {
    state,
    effects: [],
    taskCompletions: [],
    jobFaults: [],
    selfMessages: [],
  };
  state.nowMs = Math.max(state.nowMs, event.nowMs);
  const handler = eventHandlers[event.type] as (
    context: ReduceContext,
    event: EngineEvent,
  ) => void;
  handler(context, event);
  settle(context);
  flushRecords(context);
  settle(context);
  return context.effects;
}
