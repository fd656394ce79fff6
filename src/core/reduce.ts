/**
 * The reducer: every event of an entry instance, and what follows from it.
 * The state is changed in place; effects are returned as data, in order.
 */

import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { InstanceRef, PeerMessage } from "./schemas.ts";
import type {
  CoreEvent,
  CoreEventOf,
  CoreState,
  Effect,
  Peer,
  Slot,
  Step,
} from "./types.ts";
import {
  cancelJobs,
  checkAttaches,
  onAttach,
  onAttachReply,
  onCallerCancel,
  onCallerQuery,
} from "./attach.ts";
import { onLend } from "./borrowing.ts";
import {
  expireLoanRequests,
  onBorrow,
  onReturnSlots,
  sendLoans,
} from "./lending.ts";
import { onClaimReply } from "./claiming.ts";
import {
  adoptDocument,
  onConfigurationDelta,
  onConfigurationRequest,
  pushConfiguration,
} from "./configuration.ts";
import { checkDrain, onDrainRequested } from "./drain.ts";
import { sampleFlows } from "./flows.ts";
import { defaultGuards, type Guards } from "./guards.ts";
import { checkJobs, onCallerSubmit } from "./jobs.ts";
import {
  checkPeers,
  noteHeard,
  onHeartbeat,
  onPeerDown,
} from "./membership.ts";
import { dispatch } from "./placement.ts";
import { onHandover } from "./handover.ts";
import {
  createGroups,
  expireRecords,
  onClaim,
  onOutcome,
  onSeal,
  onVirginBoot,
} from "./registrar.ts";
import { onSendEnded } from "./sends.ts";
import { adoptMembership } from "./upstreams.ts";
import { selfRef, sendPeer } from "./utilities.ts";

/** How often retention is looked after, in ticks. */
const EXPIRE_EVERY_MS = 1_000;

/** What a new core is made from. */
export interface CoreOptions {
  readonly self: Slot & InstanceRef;
  /** Every entry slot of the settings, this instance's among them. */
  readonly slots: readonly Slot[];
  readonly nowMs: number;
  readonly wallMs: number;
  readonly seed: number;
  readonly guards?: Partial<Guards>;
}

/**
 * The state of an instance that has just started.
 *
 * @example
 * ```ts
 * const state = createCore({ self, slots, nowMs: 0, wallMs: 0, seed: 1 });
 * const effects = reduce(state, { type: "tick", nowMs: 20, wallMs: 20 });
 * ```
 */
export function createCore(options: CoreOptions): CoreState {
  const { self, slots, nowMs } = options;
  return {
    self,
    bornAtMs: nowMs,
    slots,
    guards: { ...defaultGuards, ...options.guards },
    nowMs,
    wallMs: options.wallMs,
    virgin: false,
    random: xoroshiro128plus(options.seed),
    sequence: 0,
    peers: createPeers(self, slots),
    groups: createGroups(slots, { self: self.slot, bornAtMs: nowMs }),
    jobs: new Map(),
    jobsByKey: new Map(),
    claimsById: new Map(),
    attaches: new Map(),
    sends: new Map(),
    upstreams: new Map(),
    leavingUpstreams: new Set(),
    owned: new Map(),
    sharers: new Set(),
    borrowed: new Map(),
    loanRequests: new Map(),
    borrowAskedAtMs: new Map(),
    flows: new Map(),
    membershipVersion: -1,
    document: null,
    configuration: null,
    patches: new Map(),
    drain: "none",
    drainSinceMs: 0,
    lastTickMs: nowMs,
    lastShareSampleMs: nowMs,
    lastExpiryMs: nowMs,
    roundRobinNext: 0,
    counters: {
      jobsAccepted: 0,
      jobsComplete: 0,
      jobsFailed: 0,
      jobsRefused: 0,
      jobsUnknown: 0,
      tasksSent: 0,
      sendsNotRun: 0,
      sendsUnknown: 0,
      answersUnmatched: 0,
      claimsSealed: 0,
      claimsTaken: 0,
      borrowsAsked: 0,
      borrowsEmpty: 0,
      peerMessagesSent: 0,
      messagesMalformed: 0,
    },
  };
}

function createPeers(self: Slot, slots: readonly Slot[]): Map<string, Peer> {
  const peers = new Map<string, Peer>();
  for (const slot of slots) {
    if (slot.slot === self.slot) continue;
    peers.set(slot.slot, {
      ...slot,
      incarnation: null,
      lastHeardMs: -Infinity,
      lost: false,
      virgin: false,
      leaving: false,
      ready: false,
      configurationVersion: -1,
      membershipVersion: -1,
      loads: [],
      lent: new Map(),
      suspects: new Map(),
      lastLentMs: -Infinity,
      askedUntilMs: -Infinity,
      periodMs: 0,
      nextHeartbeatMs: 0,
    });
  }
  return peers;
}

type PeerHandlers = {
  [T in PeerMessage["type"]]: (
    step: Step,
    from: InstanceRef,
    message: Extract<PeerMessage, { type: T }>,
  ) => void;
};

const peerHandlers: PeerHandlers = {
  claim: onClaim,
  claimReply: (step, _from, message) => onClaimReply(step, message),
  seal: onSeal,
  outcome: onOutcome,
  handover: onHandover,
  attach: onAttach,
  attachReply: (step, _from, message) => onAttachReply(step, message),
  cancel: (step, _from, message) =>
    cancelJobs(step, message.team, message.jobIds),
  heartbeat: onHeartbeat,
  borrow: onBorrow,
  lend: onLend,
  returnSlots: onReturnSlots,
  configurationDelta: onConfigurationDelta,
  configurationFull: (step, _from, message) =>
    adoptDocument(step, message.document),
  configurationRequest: onConfigurationRequest,
  membership: (step, _from, message) => {
    if (message.membershipVersion > step.state.membershipVersion) {
      adoptMembership(step, message.upstreams, message.membershipVersion);
    }
  },
  membershipRequest: onMembershipRequest,
};

function onMembershipRequest(step: Step, from: InstanceRef): void {
  const { state } = step;
  sendPeer(step, from.slot, {
    type: "membership",
    membershipVersion: state.membershipVersion,
    upstreams: [...state.upstreams.values()].map((upstream) => ({
      id: upstream.id,
      service: upstream.service,
      availabilityZone: upstream.availabilityZone,
      address: upstream.address,
      slots: upstream.slots,
      state: upstream.leaving ? "leaving" : "live",
    })),
  });
}

function handlePeerMessage(
  step: Step,
  from: InstanceRef,
  message: PeerMessage,
): void {
  const handler = peerHandlers[message.type] as (
    step: Step,
    from: InstanceRef,
    message: PeerMessage,
  ) => void;
  handler(step, from, message);
}

type EventHandlers = {
  [T in CoreEvent["type"]]: (step: Step, event: CoreEventOf<T>) => void;
};

const eventHandlers: EventHandlers = {
  tick: onTick,
  callerSubmit: onCallerSubmit,
  callerQuery: onCallerQuery,
  callerCancel: onCallerCancel,
  callerGone: onCallerGone,
  sendEnded: onSendEnded,
  peerMessage: (step, event) => {
    if (noteHeard(step, event.from)) {
      handlePeerMessage(step, event.from, event.message);
    }
  },
  peerDown: (step, event) => onPeerDown(step, event.slot),
  membershipRead: (step, event) => {
    if (event.membershipVersion < step.state.membershipVersion) return;
    adoptMembership(step, event.upstreams, event.membershipVersion);
  },
  configurationRead: (step, event) => {
    const before = step.state.document?.version;
    adoptDocument(step, event.document);
    if (step.state.document?.version !== before) pushConfiguration(step);
  },
  virginBoot: onVirginBoot,
  drainRequested: onDrainRequested,
};

/** A caller went away: its job runs on, for it may ask again. */
function onCallerGone(step: Step, event: CoreEventOf<"callerGone">): void {
  for (const job of step.state.jobs.values()) {
    const at = job.waiters.findIndex((waiter) =>
      waiter.kind === "caller" && waiter.requestId === event.requestId
    );
    if (at >= 0) job.waiters.splice(at, 1);
  }
}

function onTick(step: Step, event: CoreEventOf<"tick">): void {
  const { state } = step;
  state.wallMs = event.wallMs;
  checkPeers(step);
  checkJobs(step);
  checkAttaches(step);
  sampleFlows(state);
  expireLoanRequests(state);
  for (const service of servicesWithWork(state)) dispatch(step, service);
  if (state.nowMs - state.lastExpiryMs >= EXPIRE_EVERY_MS) {
    state.lastExpiryMs = state.nowMs;
    expireRecords(state);
  }
  checkDrain(step);
  state.lastTickMs = state.nowMs;
}

function servicesWithWork(state: CoreState): Set<string> {
  const services = new Set<string>();
  for (const flow of state.flows.values()) {
    if (flow.queuedTasks > 0) services.add(flow.service);
  }
  return services;
}

/** Applies one event to the state, and returns what the shell has to do. */
export function reduce(state: CoreState, event: CoreEvent): Effect[] {
  const step: Step = { state, effects: [], toSelf: [], loans: new Map() };
  state.nowMs = Math.max(state.nowMs, event.nowMs);
  const handler = eventHandlers[event.type] as (
    step: Step,
    event: CoreEvent,
  ) => void;
  handler(step, event);
  sendLoans(step);
  const self = selfRef(state);
  for (let next = 0; next < step.toSelf.length; next += 1) {
    const message = step.toSelf[next];
    if (message !== undefined) handlePeerMessage(step, self, message);
  }
  sendLoans(step);
  return step.effects;
}
