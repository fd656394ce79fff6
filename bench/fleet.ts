/** A complete deployment on loopback: stand-ins and entry instances. */

import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { parse, stringify } from "yaml";
import type { WorkerInfo } from "../src/engine/schemas.ts";
import { SLOT_CPU_MILLI } from "../src/entry/job_translation.ts";
import { CONFIGURATION_ROW } from "../src/host/store_client.ts";
import type { InstanceSettings } from "../src/settings/schema.ts";
import type { RunRecord } from "../standins/run_records.ts";
import { callControl, waitUntil } from "./control.ts";
import type { InstanceLogs } from "./instance_logs.ts";
import {
  type FleetProcess,
  kill,
  startScript,
  terminate,
  waitUntilReady,
} from "./processes.ts";

/** The operator's key, which the settings list by hash. */
export const OPERATOR_KEY = "operator-key";

/** Options of a fleet. */
export interface FleetOptions {
  readonly portBase: number;
  readonly workersPerZone?: number;
  readonly slotsPerWorker?: number;
  /** Services, assigned to the workers of a zone in round-robin order. */
  readonly services?: readonly string[];
  /** One-way latency between availability zones, in milliseconds. */
  readonly zoneLatencyMs?: number;
  /** Whether instances log to stderr. */
  readonly verbose?: boolean;
  /** Collects the log lines of the instances, at the level `info`. */
  readonly logs?: InstanceLogs;
}

/** One entry instance of a fleet. */
export interface FleetEntry {
  readonly slot: string;
  readonly availabilityZone: string;
  readonly callerPort: number;
  readonly adminPort: number;
  readonly peerPort: number;
  process: FleetProcess;
}

/** A running fleet. */
export interface Fleet {
  readonly entries: FleetEntry[];
  readonly zones: readonly string[];
  readonly balancerPort: number;
  readonly storePort: number;
  readonly linkPort: number;
  /** The control port of the workers stand-in, by zone. */
  readonly workerPorts: ReadonlyMap<string, number>;
  readonly workers: readonly WorkerInfo[];
  /** Reads the records of all runs on the workers. */
  readonly readRuns: () => Promise<RunRecord[]>;
  /** Starts the process of an instance again, without waiting for it. */
  readonly spawnEntry: (entry: FleetEntry) => void;
  /** Starts the process of an instance again and waits until it is ready. */
  readonly startEntry: (entry: FleetEntry) => Promise<void>;
  /** Applies a change to the configuration and returns the new version. */
  readonly applyConfiguration: (
    change: (base: Record<string, unknown>) => void,
  ) => Promise<number>;
  /** Reads the latest accepted configuration version from the store. */
  readonly readLatestVersion: () => Promise<number>;
  /** Returns the instances on which a version is not in force in time. */
  readonly findOutdatedEntries: (
    entries: readonly FleetEntry[],
    options: { version: number; withinMs: number },
  ) => Promise<FleetEntry[]>;
  /** Kills every process with SIGKILL and removes the settings. */
  readonly kill: () => Promise<void>;
  /** Drains every instance, kills the stand-ins and removes the settings. */
  readonly stop: () => Promise<void>;
}

/** First port of each kind, relative to the fleet's base port. */
const PORTS = {
  store: 0,
  balancer: 1,
  balancerControl: 2,
  link: 3,
  caller: 10,
  admin: 30,
  peer: 50,
  linkListen: 100,
  workerControl: 200,
  worker: 210,
} as const;
/** Number of link ports reserved for each zone. */
const LINK_PORTS_PER_ZONE = 20;
/** Number of worker ports reserved for each zone. */
const WORKER_PORTS_PER_ZONE = 20;

/** The parts of an example's settings that a fleet uses. */
interface ExampleSettings {
  instances: InstanceSettings[];
  configuration: Record<string, unknown>;
  [section: string]: unknown;
}

function readExample(name: string): ExampleSettings {
  const file = new URL(`../../examples/${name}/base.yaml`, import.meta.url);
  return parse(readFileSync(file, "utf8")) as ExampleSettings;
}

/**
 * Merges the services and teams of the examples `sul` and `fes` into one
 * configuration, with the limits of `sul`.
 */
function mergeConfigurations(): Record<string, unknown> {
  const sul = readExample("sul").configuration;
  const fes = readExample("fes").configuration;
  return {
    services: { ...sul["services"] as object, ...fes["services"] as object },
    teams: { ...sul["teams"] as object, ...fes["teams"] as object },
    limits: sul["limits"],
  };
}

function createWorkerList(
  zones: readonly string[],
  { portBase, workers, slots, services }: {
    portBase: number;
    workers: number;
    slots: number;
    services: readonly string[];
  },
): WorkerInfo[] {
  return zones.flatMap((availabilityZone, zoneIndex) =>
    Array.from({ length: workers }, (_, index) => ({
      workerId: `${availabilityZone}-x${index}`,
      service: services[index % services.length] ?? "",
      availabilityZone,
      address: `127.0.0.1:${
        portBase + PORTS.worker + zoneIndex * WORKER_PORTS_PER_ZONE + index
      }`,
      cpuMilli: slots * SLOT_CPU_MILLI,
      memoryMb: 0,
      accelerators: 0,
      labels: [],
      draining: false,
      bornMs: null,
    }))
  );
}

async function findOutdatedEntries(
  entries: readonly FleetEntry[],
  { version, withinMs }: { version: number; withinMs: number },
): Promise<FleetEntry[]> {
  const outdated: FleetEntry[] = [];
  await Promise.all(entries.map(async (entry) => {
    const hasVersion = async () => {
      const { configurationVersion } = await callControl<
        { configurationVersion: number }
      >(entry.adminPort, "/v1/state", { method: "GET", key: OPERATOR_KEY });
      return configurationVersion >= version;
    };
    const options = { timeoutMs: withinMs };
    await waitUntil(
      `${entry.slot} to apply configuration version ${version}`,
      hasVersion,
      options,
    )
      .catch(() => outdated.push(entry));
  }));
  return outdated;
}

/** Starts a fleet and waits until every entry instance and stand-in is ready. */
export async function startFleet(options: FleetOptions): Promise<Fleet> {
  const { portBase, verbose = false, logs } = options;
  const workersPerZone = options.workersPerZone ?? 10;
  const slots = options.slotsPerWorker ?? 8;
  const settings = readExample("sul");
  const zones = [...new Set(settings.instances.map((i) => i.availabilityZone))];
  const settingsDirectory = mkdtempSync(join(tmpdir(), "bronzemill-"));
  const standInProcesses: FleetProcess[] = [];
  let version = 0;
  const configuration = mergeConfigurations();

  const instances = settings.instances.map((instance, index) => ({
    ...instance,
    callerAddress: `127.0.0.1:${portBase + PORTS.caller + index}`,
    adminAddress: `127.0.0.1:${portBase + PORTS.admin + index}`,
    peerAddress: `127.0.0.1:${portBase + PORTS.peer + index}`,
  }));

  function linkPort(zoneIndex: number, index: number): number {
    return portBase + PORTS.linkListen + zoneIndex * LINK_PORTS_PER_ZONE +
      index;
  }

  /** Settings of all instances, with links to those in other zones. */
  function instancesSeenFromZone(zoneIndex: number): object[] {
    return instances.map((instance, index) =>
      instance.availabilityZone === zones[zoneIndex] ? instance : {
        ...instance,
        peerDialAddress: `127.0.0.1:${linkPort(zoneIndex, index)}`,
      }
    );
  }

  function writeSettings(): void {
    const base = {
      ...settings,
      instances,
      platform: { address: `127.0.0.1:${portBase}` },
      log: { level: verbose || logs !== undefined ? "info" : "error" },
    };
    writeFileSync(join(settingsDirectory, "base.yaml"), stringify(base));
    for (const [index, zone] of zones.entries()) {
      const overlay = { instances: instancesSeenFromZone(index) };
      writeFileSync(
        join(settingsDirectory, `${zone}.yaml`),
        stringify(overlay),
      );
    }
  }

  async function startStandIn(name: string, args: readonly unknown[]) {
    const script = `standins/${name}.js`;
    const process = startScript(name, script, { args: args.map(String) });
    standInProcesses.push(process);
    await waitUntilReady(process);
  }

  function spawnEntry(slot: string, zone: string): FleetProcess {
    const args = ["entry", "--settings", join(settingsDirectory, "base.yaml")];
    args.push(
      "--overlay",
      join(settingsDirectory, `${zone}.yaml`),
      "--slot",
      slot,
    );
    const process = startScript(slot, "src/cli/main.js", { args, verbose });
    logs?.attach(process);
    return process;
  }

  /**
   * Waits until an instance reports on `/ready` that it is ready, or, for
   * another path, until its admin listener answers.
   */
  function waitForEntry(entry: FleetEntry, path: string): Promise<void> {
    const port = path === "/ready" ? entry.callerPort : entry.adminPort;
    return waitUntil(`${entry.slot} to be ready`, async () => {
      const response = await fetch(`http://127.0.0.1:${port}${path}`);
      return path === "/ready" ? response.ok : true;
    });
  }

  function respawnEntry(entry: FleetEntry): void {
    entry.process = spawnEntry(entry.slot, entry.availabilityZone);
  }

  async function startEntry(entry: FleetEntry): Promise<void> {
    respawnEntry(entry);
    await waitForEntry(entry, "/ready");
  }

  async function applyConfiguration(
    change: (base: Record<string, unknown>) => void,
  ): Promise<number> {
    change(configuration);
    const port = entries.find((e) => e.process.child.exitCode === null)
      ?.adminPort ?? 0;
    const reply = await callControl<{ version: number }>(
      port,
      "/v1/configuration",
      {
        method: "PUT",
        key: OPERATOR_KEY,
        body: {
          expectedVersion: version,
          changeId: `change-${version}`,
          base: configuration,
          overlays: {},
        },
      },
    );
    version = reply.version;
    return version;
  }

  writeSettings();
  const services = options.services ?? ["oficina", "vigil-desk"];
  const workers = createWorkerList(zones, {
    portBase,
    workers: workersPerZone,
    slots,
    services,
  });
  const workerPorts = new Map<string, number>();
  await startStandIn("store", [portBase + PORTS.store]);
  for (const [index, zone] of zones.entries()) {
    const controlPort = portBase + PORTS.workerControl + index;
    const firstPort = portBase + PORTS.worker + index * WORKER_PORTS_PER_ZONE;
    workerPorts.set(zone, controlPort);
    await startStandIn("workers", [
      controlPort,
      firstPort,
      workersPerZone,
      slots,
      zone,
    ]);
  }
  await callControl(portBase, "/control/workers", { body: workers });
  const routes = zones.flatMap((zone, zoneIndex) =>
    instances.flatMap((instance, index) =>
      instance.availabilityZone === zone ? [] : [
        `${linkPort(zoneIndex, index)}=${
          portBase + PORTS.peer + index
        }:${zone}-${instance.availabilityZone}`,
      ]
    )
  );
  const latency = options.zoneLatencyMs ?? 0;
  await startStandIn("link", [portBase + PORTS.link, latency, ...routes]);

  const entries: FleetEntry[] = instances.map((instance, index) => ({
    slot: instance.slot,
    availabilityZone: instance.availabilityZone,
    callerPort: portBase + PORTS.caller + index,
    adminPort: portBase + PORTS.admin + index,
    peerPort: portBase + PORTS.peer + index,
    process: spawnEntry(instance.slot, instance.availabilityZone),
  }));
  await Promise.all(entries.map((entry) => waitForEntry(entry, "/v1/state")));
  await applyConfiguration(() => {});
  await Promise.all(entries.map((entry) => waitForEntry(entry, "/ready")));
  await startStandIn("balancer", [
    portBase + PORTS.balancer,
    portBase + PORTS.balancerControl,
    ...instances.map((instance) => instance.callerAddress),
  ]);

  return {
    entries,
    zones,
    balancerPort: portBase + PORTS.balancer,
    storePort: portBase + PORTS.store,
    linkPort: portBase + PORTS.link,
    workerPorts,
    workers,
    async readRuns() {
      const records = await Promise.all(
        [...workerPorts.values()].map((port) =>
          callControl<RunRecord[]>(port, "/runs")
        ),
      );
      return records.flat();
    },
    spawnEntry: respawnEntry,
    startEntry,
    applyConfiguration,
    async readLatestVersion() {
      const { rows } = await callControl<
        { rows: { key: string; value: { version: number } }[] }
      >(portBase, "/rows/read", { body: CONFIGURATION_ROW });
      const row = rows.find(({ key }) => key === CONFIGURATION_ROW.key);
      return row?.value.version ?? 0;
    },
    findOutdatedEntries,
    async kill() {
      await Promise.all(entries.map((entry) => kill(entry.process)));
      await Promise.all(standInProcesses.map(kill));
      rmSync(settingsDirectory, { recursive: true });
    },
    async stop() {
      await Promise.all(entries.map((entry) => terminate(entry.process)));
      await Promise.all(standInProcesses.map(kill));
      rmSync(settingsDirectory, { recursive: true });
    },
  };
}
