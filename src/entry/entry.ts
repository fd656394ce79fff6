/**
 * An entry instance as a library: an engine instance with the HTTP interfaces
 * for callers and operators. The daemon in `src/cli/` is a thin wrapper.
 */

import type { ServerResponse } from "node:http";
import VError from "verror";
import { createAdminListener } from "../admin/admin_listener.ts";
import { isConfigured } from "../engine/configuration_sync.ts";
import type { InstanceInfo } from "../engine/schemas.ts";
import type { EngineState } from "../engine/types.ts";
import {
  type ClientLimits,
  deriveClientLimits,
} from "../host/client_limits.ts";
import { createClock } from "../host/clock.ts";
import type { ClockHost } from "../host/clock_host.ts";
import { createClientBudget, guardServer } from "../host/guarded_server.ts";
import { listen } from "../host/listen.ts";
import { readProcessResources } from "../host/process_resources.ts";
import { drainServer } from "../host/request_tracker.ts";
import { sleep } from "../host/sleep.ts";
import { createStoreClient } from "../host/store_client.ts";
import { createWorkerClient } from "../host/worker_client.ts";
import type { StoreHost, WorkerHost } from "../instance/hosts.ts";
import { startInstance } from "../instance/instance.ts";
import type { JsonLog } from "../instance/json_log.ts";
import type { InstanceSettings, Settings } from "../settings/schema.ts";
import { createAccessTable } from "./access.ts";
import { createCallerListener } from "./caller_listener.ts";
import {
  createEffectiveConfigurationView,
  toEngineConfiguration,
} from "./configuration.ts";
import { closeListener, sendDiagnostic } from "./http.ts";
import { createLog } from "./log.ts";
import { startMetrics } from "./metrics.ts";

/** Thrown when an entry instance cannot be started. */
export class EntryError extends VError {}

/** Interval at which a drain checks whether all callers were answered. */
const DRAIN_POLL_INTERVAL_MS = 20;

/**
 * Options of an entry instance. The optional members default to the
 * implementations used in production.
 */
export interface EntryOptions {
  readonly settings: Settings;
  readonly slot: string;
  readonly clock?: ClockHost;
  readonly workers?: WorkerHost;
  readonly store?: StoreHost;
  readonly log?: JsonLog;
}

/** A running entry instance. */
export interface Entry {
  readonly state: EngineState;
  /** Drains the instance; resolves once all jobs are answered and it stopped. */
  readonly drain: () => Promise<void>;
  /** Stops at once; requests in progress are aborted. */
  readonly stop: () => Promise<void>;
  /** Resolves once the instance has stopped, whoever requested it. */
  readonly stopped: Promise<void>;
}

function findInstanceSettings(
  settings: Settings,
  slot: string,
): InstanceSettings {
  const found = settings.instances.find((instance) => instance.slot === slot);
  if (found !== undefined) return found;
  const configuredSlots = settings.instances.map((instance) => instance.slot)
    .join(", ");
  throw new EntryError(
    "the settings define no instance with slot %s; known slots: %s",
    slot,
    configuredSlots,
  );
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
  const instanceSettings = findInstanceSettings(settings, slot);
  const clock = options.clock ?? createClock();
  const log = options.log ?? createLog(settings.log, { instanceId: slot });
  const store = options.store ??
    createStoreClient(settings.platform.address, {
      timeoutMs: settings.platform.timeoutMs,
    });
  const self = toInstanceInfo(instanceSettings, clock.wallMs());
  const dialAddresses = dialAddressesOf(settings, slot);
  const limits = clientLimitsOf(settings);
  const budget = createClientBudget(limits);
  const instance = await startInstance({
    self,
    leaseMs: settings.workers.leaseMs,
    stopMs: settings.workers.stopMs,
    evacuateMs: settings.workers.evacuateMs,
    seeds: [...dialAddresses.values()],
    dialAddress: ({ instanceId, address }) =>
      dialAddresses.get(instanceId) ?? address,
    clock,
    workers: options.workers ?? createWorkerClient(),
    store,
    log,
    limits,
    budget,
  });
  const { state } = instance;
  let onStopped = () => {};
  const stopped = new Promise<void>((resolve) => {
    onStopped = resolve;
  });
  let draining = false;

  const effectiveConfiguration = createEffectiveConfigurationView(
    () => state.configuration,
    instanceSettings.availabilityZone,
  );
  const access = createAccessTable(
    settings.admin.operatorKeysSha256,
    effectiveConfiguration,
  );
  const guardOptions = {
    budget,
    log,
    refuse: (response: ServerResponse) =>
      sendDiagnostic(response, "overloaded"),
  };
  const callerListener = createCallerListener({
    instance,
    access,
    effectiveConfiguration,
    isReady: () =>
      isConfigured(state) && effectiveConfiguration() !== null && !draining &&
      state.leaderId !== null,
    isDraining: () => draining,
    onError: (error) => logError("callers", error),
  }, settings.entry);
  const callers = guardServer(callerListener, {
    listener: "callers",
    limits: limits.callers,
    ...guardOptions,
  });
  const adminListener = createAdminListener({
    access,
    store,
    state,
    effectiveConfiguration,
    zones: [
      ...new Set(
        settings.instances.map((configured) => configured.availabilityZone),
      ),
    ],
    onConfigurationAccepted: (document) =>
      instance.applyConfiguration(toEngineConfiguration(document)),
    onDrainRequested: () => void drain(),
    collectMeasures: () => ({
      ...collectMeasures(instance.peerBytes()),
      clients: Object.fromEntries(
        budget.values().map(([name, labels, value]) => [
          labels === "" ? name : `${name}{${labels}}`,
          value,
        ]),
      ),
    }),
    log,
  }, settings.entry);
  const admin = guardServer(adminListener, {
    listener: "admin",
    limits: limits.admin,
    ...guardOptions,
  });
  const stopMetrics = startMetrics(settings.metrics, state, budget.values);
  await listen(admin.server, instanceSettings.adminAddress);
  await listen(
    callers.server,
    settings.entry.listen ?? instanceSettings.callerAddress,
  );
  log.write("info", {
    part: "instance",
    text: "instance started",
    fields: { ...self, callerAddress: instanceSettings.callerAddress },
  });

  function logError(part: string, error: unknown): void {
    const fields = { detail: String(error) };
    log.write("error", {
      part,
      text: "request failed with an unexpected error",
      fields,
    });
  }

  async function drain(): Promise<void> {
    if (draining) return await stopped;
    draining = true;
    instance.drain();
    while (state.callerJobs.size > 0) await sleep(DRAIN_POLL_INTERVAL_MS);
    await drainServer(callers);
    await drainServer(admin);
    await shutDown();
  }

  async function shutDown(): Promise<void> {
    stopMetrics();
    await instance.stop();
    log.write("info", { part: "instance", text: "instance stopped" });
    onStopped();
  }

  return {
    state,
    stopped,
    drain,
    async stop() {
      callers.server.closeAllConnections();
      admin.server.closeAllConnections();
      await Promise.all([
        closeListener(callers.server),
        closeListener(admin.server),
      ]);
      await shutDown();
    },
  };
}

/** Returns the limits on clients, with the settings' number of connections. */
function clientLimitsOf({ entry, process }: Settings): ClientLimits {
  const derived = deriveClientLimits(readProcessResources({
    maxFds: process.maxFds ?? null,
    memoryMb: process.memoryMb ?? null,
  }));
  const maxConnections = process.maxFds === undefined
    ? entry.maxConnections
    : Math.min(entry.maxConnections, derived.callers.maxConnections);
  return { ...derived, callers: { ...derived.callers, maxConnections } };
}

function toInstanceInfo(
  instanceSettings: InstanceSettings,
  startedAtWallMs: number,
): InstanceInfo {
  return {
    instanceId: instanceSettings.slot,
    availabilityZone: instanceSettings.availabilityZone,
    region: instanceSettings.region,
    address: instanceSettings.peerAddress,
    // The start time identifies this incarnation of the instance.
    bornMs: startedAtWallMs,
  };
}

/**
 * Returns the address at which this instance connects to each other instance,
 * by slot.
 */
function dialAddressesOf(
  settings: Settings,
  slot: string,
): Map<string, string> {
  return new Map(
    settings.instances
      .filter((instance) => instance.slot !== slot)
      .map((instance) => [
        instance.slot,
        instance.peerDialAddress ?? instance.peerAddress,
      ]),
  );
}

function collectMeasures(
  peerTraffic: { sent: number; received: number },
): object {
  const { user, system } = process.cpuUsage();
  return {
    cpuMs: Math.round((user + system) / 1_000),
    rssMb: Math.round(process.memoryUsage.rss() / 1_048_576),
    peerTraffic,
  };
}
