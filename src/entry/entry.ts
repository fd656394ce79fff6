/**
 * An entry instance as a library: the shell that feeds the reducer with events
 * and carries out its effects. The daemon in `src/cli/` is a thin wrapper.
 */

import VError from "verror";
import { createAdminListener } from "../admin/admin_listener.ts";
import { createCore, reduce } from "../core/reduce.ts";
import type { CoreEvent, CoreState, Effect, Slot } from "../core/types.ts";
import {
  type ClockHost,
  type PeerHost,
  type PlatformHost,
  type UpstreamHost,
} from "../host/hosts.ts";
import { createClock } from "../host/clock.ts";
import { createPeerTransport } from "../host/peer_transport.ts";
import { createPlatformClient } from "../host/platform_client.ts";
import { createUpstreamClient } from "../host/upstream_client.ts";
import type { InstanceSettings, Settings } from "../settings/schema.ts";
import { createAccessTable } from "./access.ts";
import { createFreezeWatch } from "./freeze_watch.ts";
import { createCallerListener } from "./caller_listener.ts";
import { listen } from "../host/listen.ts";
import { closeListener } from "./http.ts";
import { registerIncarnation } from "./incarnation.ts";
import { createLogger, type Logger } from "./log.ts";
import { startMetrics } from "./metrics.ts";
import { startPolling } from "./polling.ts";

/** The entry instance could not be started. */
export class EntryError extends VError {}

/** What an entry instance is made from; hosts default to the real ones. */
export interface EntryOptions {
  readonly settings: Settings;
  readonly slot: string;
  readonly clock?: ClockHost;
  readonly upstreams?: UpstreamHost;
  readonly platform?: PlatformHost;
  readonly log?: Logger;
}

/** A running entry instance. */
export interface Entry {
  readonly state: CoreState;
  /** Starts to drain; resolves once everything in progress was answered. */
  readonly drain: () => Promise<void>;
  /** Stops at once; what was in progress is cut off. */
  readonly stop: () => Promise<void>;
  /** Resolves once a drain has ended, whoever asked for it. */
  readonly stopped: Promise<void>;
}

function instanceOf(settings: Settings, slot: string): InstanceSettings {
  const instance = settings.instances.find((row) => row.slot === slot);
  if (instance !== undefined) return instance;
  const known = settings.instances.map((row) => row.slot).join(", ");
  throw new EntryError("no instance %s in the settings (%s)", slot, known);
}

/**
 * Starts an entry instance.
 *
 * @example
 * ```ts
 * const entry = await startEntry({ settings, slot: "poa-1" });
 * await entry.drain();
 * ```
 */
export async function startEntry(options: EntryOptions): Promise<Entry> {
  const { settings, slot } = options;
  const instance = instanceOf(settings, slot);
  const clock = options.clock ?? createClock();
  const log = options.log ?? createLogger(settings.log);
  const platform = options.platform ??
    createPlatformClient(settings.platform.address, {
      timeoutMs: settings.platform.timeoutMs,
    });
  const upstreams = options.upstreams ?? createUpstreamClient();
  const incarnation = clock.wallMs();
  const state = createCore({
    self: { ...placeOf(instance), incarnation },
    slots: settings.instances.map(placeOf),
    nowMs: clock.nowMs(),
    wallMs: incarnation,
    seed: incarnation % 0x7fffffff,
  });
  let onStopped = () => {};
  const stopped = new Promise<void>((resolve) => {
    onStopped = resolve;
  });
  let peers: PeerHost | null = null;

  function dispatch(event: CoreEvent): void {
    for (const effect of reduce(state, event)) perform(effect);
  }

  const performers: {
    [T in Effect["type"]]: (effect: Extract<Effect, { type: T }>) => void;
  } = {
    replyCaller: ({ requestId, reply }) => callers.reply(requestId, reply),
    sendTask: (effect) => {
      const { sendId } = effect;
      void upstreams.send(effect).then((outcome) => {
        const nowMs = clock.nowMs();
        dispatch({ type: "sendEnded", nowMs, sendId, outcome });
      });
    },
    sendPeer: ({ slot, message }) => peers?.send(slot, message),
    log: ({ level, part, text }) => log[level](part, text),
    drained: () => void finish(),
  };

  function perform(effect: Effect): void {
    const performer = performers[effect.type] as (effect: Effect) => void;
    performer(effect);
  }

  const access = createAccessTable(
    settings.admin.operatorKeysSha256,
    () => state.configuration,
  );
  const freezes = createFreezeWatch(clock, settings.entry.tickMs);
  const callers = createCallerListener({
    clock,
    receivedMs: freezes.receivedMs,
    access,
    dispatch,
    isReady: () => state.configuration !== null && state.drain === "none",
    onError: (error) => log.error("callers", String(error)),
  }, settings.entry);
  const admin = createAdminListener({
    clock,
    access,
    platform,
    state,
    dispatch,
    log,
    measures: () => measuresOf(peers),
  }, settings.entry);

  const self = { slot, incarnation };
  const { registered, virgin } = await registerIncarnation(platform, self);
  if (virgin) dispatch({ type: "virginBoot", nowMs: clock.nowMs() });
  peers = await createPeerTransport({
    self,
    listen: instance.peerAddress,
    peers: peerAddresses(settings, slot),
    handlers: {
      onMessage: (from, message) =>
        dispatch({ type: "peerMessage", nowMs: clock.nowMs(), from, message }),
      onDown: (down) =>
        dispatch({ type: "peerDown", nowMs: clock.nowMs(), slot: down }),
      onMalformed: () => {
        state.counters.messagesMalformed += 1;
      },
    },
  });
  const ticker = setInterval(() => {
    freezes.noteTick();
    const wallMs = clock.wallMs();
    dispatch({ type: "tick", nowMs: clock.nowMs(), wallMs });
  }, settings.entry.tickMs);
  const stopPolling = startPolling({
    settings,
    clock,
    platform,
    state,
    dispatch,
    registered,
  });
  const stopMetrics = startMetrics(settings.metrics, state);
  await listen(admin, instance.adminAddress);
  await listen(callers.server, settings.entry.listen ?? instance.callerAddress);
  log.info("entry", `${slot} is listening at ${instance.callerAddress}`);

  async function close(): Promise<void> {
    clearInterval(ticker);
    stopPolling();
    stopMetrics();
    await peers?.close();
    await upstreams.close();
    await platform.close();
  }

  async function finish(): Promise<void> {
    await closeListener(callers.server);
    await peers?.flush();
    admin.closeAllConnections();
    await closeListener(admin);
    await close();
    log.info("entry", `${slot} has drained`);
    onStopped();
  }

  return {
    state,
    stopped,
    async drain() {
      dispatch({ type: "drainRequested", nowMs: clock.nowMs() });
      await stopped;
    },
    async stop() {
      callers.server.closeAllConnections();
      admin.closeAllConnections();
      await Promise.all([closeListener(callers.server), closeListener(admin)]);
      await close();
      onStopped();
    },
  };
}

function placeOf({ slot, availabilityZone, region }: InstanceSettings): Slot {
  return { slot, availabilityZone, region };
}

function peerAddresses(
  settings: Settings,
  self: string,
): Map<string, string> {
  return new Map(
    settings.instances
      .filter((row) => row.slot !== self)
      .map((row) => [row.slot, row.peerDialAddress ?? row.peerAddress]),
  );
}

function measuresOf(peers: PeerHost | null): object {
  const { user, system } = process.cpuUsage();
  return {
    cpuMs: Math.round((user + system) / 1_000),
    rssMb: Math.round(process.memoryUsage.rss() / 1_048_576),
    peerTraffic: peers?.trafficBytes() ?? { sent: 0, received: 0 },
  };
}
