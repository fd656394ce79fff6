/**
 * Keeps the configuration up to date. In each availability zone a few instances
 * follow the store and pass what changes on to the others, which ask the store
 * only if they have lost touch: nobody has proved for too long that theirs is
 * the newest version, or a peer has a newer one and can't send it.
 */

import { applyConfiguration } from "./configuration.ts";
import { emit, logDecision, sendPeer } from "./effects.ts";
import { isLive } from "./membership.ts";
import type {
  ConfigurationCall,
  ConfigurationOutcome,
  ConfigurationSync,
  EngineEventOf,
  EngineState,
  Peer,
  ReduceContext,
} from "./types.ts";
import { zoneRanking } from "./zone_ranking.ts";

/** Number of instances of each zone that follow the store. */
const FOLLOWERS_PER_ZONE = 2;
/** Interval at which these compare their version with that of the store. */
const COMPARE_INTERVAL_MS = 1_000;
/**
 * Time without a proof after which the other instances compare. Added for each
 * instance that ranks before this one, so that usually one does it for all.
 */
const MAX_PROOF_AGE_MS = 2_000;
const PROOF_AGE_STEP_MS = 30;
const MAX_PROOF_AGE_STEPS = 20;
/** Bounds of the delay of the next call of the store after a failed one. */
const MIN_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 800;
/** Delay before the row is read again if there is none that can be used. */
const READ_AGAIN_DELAY_MS = 250;
/** Time after which a request to a peer counts as unanswered. */
const REQUEST_TIMEOUT_MS = 400;
/**
 * Time for which an instance waits for its own zone when only instances of other
 * zones have a newer version.
 */
const OTHER_ZONES_DELAY_MS = 400;

/** Creates the state of an instance that knows no configuration. */
export function createConfigurationSync(selfId: string): ConfigurationSync {
  return {
    provenAtMs: -Infinity,
    changes: [],
    changeMessages: new Map(),
    call: null,
    nextCallAtMs: 0,
    mustCompare: false,
    failures: 0,
    invalidRowVersion: 0,
    request: null,
    lastRequestedId: selfId,
    behindSinceMs: 0,
    copySentAtMs: -Infinity,
  };
}

/**
 * Whether this instance has a configuration to serve callers by: one that was
 * the newest at some time since its start, or any while the store is
 * unavailable.
 */
export function isConfigured(
  { configuration, configurationSync: sync }: EngineState,
): boolean {
  if (configuration === null) return false;
  return Number.isFinite(sync.provenAtMs) || sync.failures > 0;
}

/** Asks the store or a peer for the configuration, if it is time to. */
export function checkConfiguration(context: ReduceContext): void {
  const { state } = context;
  requestFromPeer(context);
  const call = nextCall(state);
  if (call === null) return;
  const { configuration, configurationSync: sync } = state;
  state.lastCallId += 1;
  state.counters.configurationCalls += 1;
  sync.call = {
    callId: state.lastCallId,
    kind: call,
    startedAtMs: state.nowMs,
  };
  emit(context, {
    type: "callConfiguration",
    callId: state.lastCallId,
    call,
    rowVersion: Math.max(
      configuration?.rowVersion ?? 0,
      sync.invalidRowVersion,
    ),
  });
}

/** Returns the call of the store to make now, or null. */
function nextCall(state: EngineState): ConfigurationCall | null {
  const { configuration, configurationSync: sync, nowMs, guards } = state;
  if (sync.call !== null || nowMs < sync.nextCallAtMs) return null;
  if (configuration?.rowVersion === undefined) return "read";
  if (sync.mustCompare) return "compare";
  const proofAgeMs = nowMs - sync.provenAtMs;
  const rank = zoneRanking(state).indexOf(state.self.instanceId);
  const follows = rank < FOLLOWERS_PER_ZONE;
  const maxAgeMs = follows ? COMPARE_INTERVAL_MS : MAX_PROOF_AGE_MS +
    PROOF_AGE_STEP_MS * Math.min(rank, MAX_PROOF_AGE_STEPS);
  if (guards.mustCompare(proofAgeMs, maxAgeMs)) return "compare";
  return follows ? "await" : null;
}

type OutcomeHandlers = {
  [K in ConfigurationOutcome["kind"]]: (
    context: ReduceContext,
    outcome: Extract<ConfigurationOutcome, { kind: K }>,
    call: ConfigurationCall,
  ) => void;
};

const outcomeHandlers: OutcomeHandlers = {
  found: (context, { configuration }, call) => {
    // A read may have returned an old row.
    context.state.configurationSync.mustCompare = call === "read";
    applyConfiguration(context, configuration, `store, ${call}`);
  },
  unchanged: ({ state }, _outcome, call) => {
    if (call === "compare") state.configurationSync.mustCompare = false;
  },
  historyLost: ({ state }) => {
    state.configurationSync.mustCompare = true;
  },
  invalid: (context, { rowVersion, detail }) => {
    const { configurationSync: sync, configuration } = context.state;
    sync.mustCompare = false;
    if (rowVersion <= sync.invalidRowVersion) return;
    sync.invalidRowVersion = rowVersion;
    logDecision(context, {
      level: "error",
      part: "config",
      text: "stored configuration is invalid and was ignored",
    }, { rowVersion, detail, version: configuration?.version ?? -1 });
  },
  failed: (context, { detail }, call) => {
    const { state } = context;
    const { configurationSync: sync } = state;
    sync.failures += 1;
    sync.mustCompare = true;
    sync.nextCallAtMs = state.nowMs + retryDelayMs(sync.failures);
    state.counters.configurationCallsFailed += 1;
    if (sync.failures > 1) return;
    logDecision(context, {
      level: "warn",
      part: "config",
      text: "store call for the configuration failed",
    }, {
      call,
      detail,
      tookMs: Math.round(state.nowMs - (sync.call?.startedAtMs ?? 0)),
    });
  },
};

/** Handles the outcome of a call of the store. */
export function onConfigurationAnswered(
  context: ReduceContext,
  { callId, outcome }: EngineEventOf<"configurationAnswered">,
): void {
  const { state } = context;
  const { configurationSync: sync } = state;
  const { call } = sync;
  if (call?.callId !== callId) return;
  const handler = outcomeHandlers[outcome.kind] as (
    context: ReduceContext,
    outcome: ConfigurationOutcome,
    call: ConfigurationCall,
  ) => void;
  handler(context, outcome, call.kind);
  sync.call = null;
  if (outcome.kind === "failed") return;
  sync.failures = 0;
  if (call.kind === "read" && state.configuration?.rowVersion === undefined) {
    sync.nextCallAtMs = state.nowMs + READ_AGAIN_DELAY_MS;
  }
  // A read may return an old row, and the feed may leave out a change.
  if (call.kind === "compare") {
    sync.provenAtMs = Math.max(sync.provenAtMs, call.startedAtMs);
  }
}

function retryDelayMs(failures: number): number {
  return Math.min(
    MAX_RETRY_DELAY_MS,
    MIN_RETRY_DELAY_MS * 2 ** Math.min(failures - 1, 10),
  );
}

/**
 * Requests the configuration from one peer at a time that has a newer one, and
 * not while this instance reads the store itself. After each request that gets
 * no answer, the store is asked.
 */
function requestFromPeer(context: ReduceContext): void {
  const { state } = context;
  const { configurationSync: sync, nowMs } = state;
  const ahead = peersAhead(state);
  if (ahead.length === 0) {
    sync.behindSinceMs = 0;
    sync.request = null;
    return;
  }
  if (sync.behindSinceMs === 0) sync.behindSinceMs = nowMs;
  if (sync.request !== null) {
    if (nowMs - sync.request.sentAtMs < REQUEST_TIMEOUT_MS) return;
    sync.request = null;
    sync.mustCompare = true;
  }
  const asksStore = sync.mustCompare ||
    (sync.call !== null && sync.call.kind !== "await") ||
    (state.configuration === null && sync.failures === 0);
  if (asksStore && sync.failures === 0) return;
  const peer = chooseSource(state, ahead);
  if (peer === null) return;
  const { instanceId } = peer.info;
  sync.request = { peerId: instanceId, sentAtMs: nowMs };
  sync.lastRequestedId = instanceId;
  sendPeer(context, instanceId, {
    type: "configurationWanted",
    baseVersion: state.configuration?.version ?? -1,
  });
}

/** The live peers that have a newer configuration. */
function peersAhead(state: EngineState): Peer[] {
  const version = state.configuration?.version ?? -1;
  return [...state.peers.values()].filter((peer) =>
    peer.configurationVersion > version && isLive(state, peer)
  );
}

/**
 * Returns the peer to request the configuration from: each time the next one, by
 * id, of those with the newest version in this instance's zone; of the other
 * zones only if no peer in this one gets it.
 */
function chooseSource(state: EngineState, ahead: readonly Peer[]): Peer | null {
  const { configurationSync: sync, self, nowMs } = state;
  const near = ahead.filter(({ info }) =>
    info.availabilityZone === self.availabilityZone
  );
  const waitsForZone = nowMs - sync.behindSinceMs < OTHER_ZONES_DELAY_MS;
  if (near.length === 0 && waitsForZone) return null;
  const candidates = near.length > 0 ? near : ahead;
  const newest = Math.max(
    ...candidates.map(({ configurationVersion }) => configurationVersion),
  );
  const holders = candidates
    .filter(({ configurationVersion }) => configurationVersion === newest)
    .sort((a, b) => (a.info.instanceId < b.info.instanceId ? -1 : 1));
  const next = holders.find(({ info }) =>
    info.instanceId > sync.lastRequestedId
  );
  return next ?? holders[0] ?? null;
}
