/** The configuration in effect; its version only increases. */

import {
  applyChange,
  changeBetween,
  changesSince,
  keepChange,
} from "./configuration_changes.ts";
import { assert } from "./debug.ts";
import { logDecision, sendPeer } from "./effects.ts";
import { sendHeartbeat } from "./membership.ts";
import { updateQueueRules } from "./queue_rules.ts";
import type { Configuration, PeerMessageOf, QueueRule } from "./schemas.ts";
import type { EngineState, Peer, ReduceContext } from "./types.ts";
import { zoneRanking } from "./zone_ranking.ts";

/** Number of instances to which each one passes a new configuration on. */
const RELAY_FAN_OUT = 4;
/**
 * Least time between two whole configurations that an instance sends, so that
 * its link has room for heartbeats and jobs.
 */
const COPY_INTERVAL_MS = 500;

/**
 * Puts a configuration into effect if it is newer than the present one, and
 * passes it on to some instances of the zone. `source` tells in the log where
 * the configuration came from.
 */
export function applyConfiguration(
  context: ReduceContext,
  configuration: Configuration,
  source: string,
): void {
  const { state } = context;
  const { configuration: present, configurationSync: sync } = state;
  const before = present?.version ?? -1;
  if (configuration.version === before) adoptRowVersion(state, configuration);
  if (!state.guards.isNewer(configuration.version, before)) return;
  assert(configuration.version > before, "configuration_rises", `${before}`);
  const change = present === null
    ? null
    : changeBetween(present, configuration);
  if (change !== null) sync.changes = keepChange(sync.changes, change);
  sync.changeMessages.clear();
  state.configuration = configuration;
  updateQueueRules(state, configuration);
  logDecision(
    context,
    { part: "config", text: "configuration applied" },
    {
      version: configuration.version,
      before,
      source,
      rowVersion: configuration.rowVersion ?? null,
      queues: configuration.queues.length,
      changedQueues: change?.changedQueues.length ?? null,
      droppedQueues: change?.droppedQueues.length ?? null,
      // Time since the version before was known to be the newest.
      provenMsAgo: Number.isFinite(sync.provenAtMs)
        ? Math.round(state.nowMs - sync.provenAtMs)
        : null,
      behindMs: sync.behindSinceMs === 0
        ? 0
        : Math.round(state.nowMs - sync.behindSinceMs),
    },
  );
  if (present !== null) passOn(context, configuration);
}

/** Takes over the row version of the configuration in effect. */
function adoptRowVersion(
  state: EngineState,
  { rowVersion }: Configuration,
): void {
  const { configuration } = state;
  if (configuration === null || rowVersion === undefined) return;
  if (configuration.rowVersion === rowVersion) return;
  state.configuration = { ...configuration, rowVersion };
}

/**
 * Passes what a new configuration changes on along a tree of the zone's
 * instances, or, to an instance that lacks an earlier version, only that there
 * is a new one.
 */
function passOn(context: ReduceContext, { version }: Configuration): void {
  const { state } = context;
  const { instanceId } = state.self;
  const ranking = zoneRanking(state);
  const firstChild = RELAY_FAN_OUT * ranking.indexOf(instanceId) + 1;
  for (const id of ranking.slice(firstChild, firstChild + RELAY_FAN_OUT)) {
    const peer = state.peers.get(id);
    if (peer === undefined || peer.configurationVersion >= version) continue;
    if (!sendChanges(context, peer)) sendHeartbeat(context, peer);
  }
}

/** Sends a peer what it lacks; returns false if the changes are not known. */
function sendChanges(
  context: ReduceContext,
  { info, configurationVersion }: Pick<Peer, "info" | "configurationVersion">,
): boolean {
  const { state } = context;
  const message = changesMessage(state, configurationVersion);
  if (message === null) return false;
  state.counters.configurationChangesSent += 1;
  sendPeer(context, info.instanceId, message);
  return true;
}

/**
 * Returns the message with the changes since a version, or null if they are not
 * known. All peers get the same one, so that it is serialised once.
 */
function changesMessage(
  { configurationSync: { changes, changeMessages } }: EngineState,
  version: number,
): PeerMessageOf<"configurationChanges"> | null {
  const known = changeMessages.get(version);
  if (known !== undefined) return known;
  const missing = changesSince(changes, version);
  if (missing.length === 0) return null;
  const type = "configurationChanges";
  const message: PeerMessageOf<typeof type> = { type, changes: [...missing] };
  changeMessages.set(version, message);
  return message;
}

/**
 * Answers a peer that requested the configuration: with the changes since its
 * version, or with the whole configuration, unless one was sent just before.
 */
export function onConfigurationWanted(
  context: ReduceContext,
  from: string,
  { baseVersion }: PeerMessageOf<"configurationWanted">,
): void {
  const { state } = context;
  const { configuration, configurationSync: sync } = state;
  const peer = state.peers.get(from);
  if (configuration === null || peer === undefined) return;
  if (baseVersion >= configuration.version) return;
  const { info } = peer;
  if (sendChanges(context, { info, configurationVersion: baseVersion })) return;
  if (state.nowMs - sync.copySentAtMs < COPY_INTERVAL_MS) {
    sendPeer(context, from, { type: "configurationChanges", changes: [] });
    return;
  }
  sync.copySentAtMs = state.nowMs;
  state.counters.configurationCopiesSent += 1;
  sendPeer(context, from, { type: "configuration", configuration });
}

/** Applies the changes that a peer sent, as far as they fit the version here. */
export function onConfigurationChanges(
  context: ReduceContext,
  from: string,
  { changes }: PeerMessageOf<"configurationChanges">,
): void {
  const { state } = context;
  const { configurationSync: sync } = state;
  state.counters.configurationChangesReceived += 1;
  onRequestAnswered(state, from, changes.at(-1)?.version ?? -1);
  let configuration = state.configuration;
  for (const change of changes) {
    if (configuration === null) break;
    configuration = applyChange(configuration, change) ?? configuration;
  }
  if (configuration !== null && configuration !== state.configuration) {
    applyConfiguration(context, configuration, from);
    return;
  }
  // The peer can't send what is missing here.
  if (changes.length === 0) sync.mustCompare = true;
}

/** Notes that a peer sent a version, requested or not. */
function onRequestAnswered(
  state: EngineState,
  instanceId: string,
  version: number,
): void {
  const { configurationSync: sync } = state;
  if (sync.request?.peerId === instanceId) sync.request = null;
  updatePeerVersion(state, instanceId, version);
}

/** Records that a peer has at least the given version. */
export function updatePeerVersion(
  { peers }: EngineState,
  instanceId: string,
  version: number,
): void {
  const peer = peers.get(instanceId);
  if (peer === undefined) return;
  peer.configurationVersion = Math.max(peer.configurationVersion, version);
}

/** Applies a whole configuration that a peer sent. */
export function onConfigurationCopy(
  context: ReduceContext,
  from: string,
  { configuration }: PeerMessageOf<"configuration">,
): void {
  const { state } = context;
  state.counters.configurationCopiesReceived += 1;
  onRequestAnswered(state, from, configuration.version);
  applyConfiguration(context, configuration, from);
}

/**
 * Returns the queue that a request belongs to: the queue of its host with the
 * longest prefix that matches its path; null if there is none.
 *
 * @example
 * ```ts
 * findQueue(state.configuration, { host: "a.example", path: "/quotes/5c0e" });
 * ```
 */
export function findQueue(
  { configuration }: Pick<EngineState, "configuration">,
  { host, path }: { host: string; path: string },
): QueueRule | null {
  let best: QueueRule | null = null;
  for (const queue of configuration?.queues ?? []) {
    if (queue.host !== host || !path.startsWith(queue.pathPrefix)) continue;
    const isLongerPrefix = best === null ||
      queue.pathPrefix.length > best.pathPrefix.length;
    if (isLongerPrefix) best = queue;
  }
  return best;
}
