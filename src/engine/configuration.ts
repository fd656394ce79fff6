/** The configuration in effect; its version only increases. */

import { assert } from "./debug.ts";
import { logDecision, sendPeer } from "./effects.ts";
import type { Configuration, QueueRule } from "./schemas.ts";
import type { EngineState, ReduceContext } from "./types.ts";

/**
 * Puts a configuration into effect if it is newer than the present one, and
 * sends it to the peers that have an older one. `source` is the id of the peer
 * that sent it, or `store`.
 */
export function applyConfiguration(
  context: ReduceContext,
  configuration: Configuration,
  source: string,
): void {
  const { state } = context;
  const before = state.configuration?.version ?? -1;
  if (!state.guards.isNewer(configuration.version, before)) return;
  assert(configuration.version > before, "configuration_rises", `${before}`);
  state.configuration = configuration;
  logDecision(
    context,
    { part: "config", text: "configuration applied" },
    {
      version: configuration.version,
      before,
      source,
      queues: configuration.queues.length,
    },
  );
  for (const peer of state.peers.values()) {
    if (peer.configurationVersion >= configuration.version) continue;
    state.counters.configurationCopiesSent += 1;
    sendPeer(context, peer.info.instanceId, {
      type: "configuration",
      configuration,
    });
  }
}

/** Sends the configuration in effect to a peer that requested it. */
export function onConfigurationWanted(
  context: ReduceContext,
  from: string,
): void {
  const { configuration } = context.state;
  if (configuration === null) return;
  context.state.counters.configurationCopiesSent += 1;
  sendPeer(context, from, { type: "configuration", configuration });
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
