/** A whole deployment on loopback: stand-ins, entry instances, a balancer. */

import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { parse, stringify } from "yaml";
import type { WorkerInfo } from "../src/engine/schemas.ts";
import { SLOT_CPU_MILLI } from "../src/entry/job_translation.ts";
import { CONFIGURATION_ROW } from "../src/host/store_client.ts";
import type { InstanceSettings } from "../src/settings/schema.ts";
import { callControl, until } from "./control.ts";
import {
  type FleetProcess,
  kill,
  startScript,
  terminate,
  whenReady,
} from "./processes.ts";

/** The key of the fleet's operator. */
export const OPERATOR_KEY = "operator-key";

/** What a fleet is made from. */
export interface FleetOptions {
  readonly portBase: number;
  readonly workersPerZone?: number;
  readonly slotsPerWorker?: number;
  /** The services that workers serve in turn. */
  readonly services?: readonly string[];
  /** One-way latency between availability zones. */
  readonly zoneLatencyMs?: number;
  readonly verbose?: boolean;
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
  /** The control port of each zone's workers. */
  readonly workerPorts: ReadonlyMap<string, number>;
  readonly workers: readonly WorkerInfo[];
  readonly startEntry: (entry: FleetEntry) => Promise<void>;
  readonly applyConfiguration: (
    change: (base: Record<string, unknown>) => void,
  ) => Promise<number>;
  /** The newest accepted version, as the store holds it. */
  readonly newestVersion: () => Promise<number>;
  /** Instances that do not have a version in force within a time. */
  readonly lateInForce: (
    entries: readonly FleetEntry[],
    options: { version: number; withinMs: number },
  ) => Promise<FleetEntry[]>;
  /** Ends every process at once. */
  readonly kill: () => Promise<void>;
  /** Drains every instance, then ends the stand-ins. */
  readonly stop: () => Promise<void>;
}

/** Where each kind of port starts, from the fleet's base. */
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
/** Link ports of one zone. */
const LINK_PORTS_PER_ZONE = 20;
/** Ports of one zone's workers. */
const WORKER_PORTS_PER_ZONE = 20;

interface SiteFile {
  instances: InstanceSettings[];
  configuration: Record<string, unknown>;
  [section: string]: unknown;
}

function readSite(site: string): SiteFile {
  const file = new URL(`../../examples/${site}/base.yaml`, import.meta.url);
  return parse(readFileSync(file, "utf8")) as SiteFile;
}

/** Both users' services and teams in one configuration. */
function bothConfigurations(): Record<string, unknown> {
  const sul = readSite("sul").configuration;
  const fes = readSite("fes").configuration;
  return {
    services: { ...sul["services"] as object, ...fes["services"] as object },
    teams: { ...sul["teams"] as object, ...fes["teams"] as object },
    limits: sul["limits"],
  };
}

function workerList(
  zones: readonly string[],
  { portBase, workers, slots, services }: {
    portBase: number;
    workers: number;
    slots: number;
    services: readonly string[];
  },
): WorkerInfo[] {
  return zones.flatMap((availabilityZone, zone) =>
    Array.from({ length: workers }, (_, index) => ({
      workerId: `${availabilityZone}-x${index}`,
      service: services[index % services.length] ?? "",
      availabilityZone,
      address: `127.0.0.1:${
        portBase + PORTS.worker + zone * WORKER_PORTS_PER_ZONE + index
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

async function lateInForce(
  entries: readonly FleetEntry[],
  { version, withinMs }: { version: number; withinMs: number },
): Promise<FleetEntry[]> {
  const late: FleetEntry[] = [];
  await Promise.all(entries.map(async (entry) => {
    const has = async () => {
      const { configurationVersion } = await callControl<
        { configurationVersion: number }
      >(entry.adminPort, "/v1/state", { method: "GET", key: OPERATOR_KEY });
      return configurationVersion >= version;
    };
    const options = { timeoutMs: withinMs };
    await until(`${entry.slot} has version ${version}`, has, options)
      .catch(() => late.push(entry));
  }));
  return late;
}

/** Starts a fleet and waits until every entry instance is ready. */
export async function startFleet(options: FleetOptions): Promise<Fleet> {
  const { portBase, verbose = false } = options;
  const count = options.workersPerZone ?? 10;
  const slots = options.slotsPerWorker ?? 8;
  const site = readSite("sul");
  const zones = [...new Set(site.instances.map((i) => i.availabilityZone))];
  const folder = mkdtempSync(join(tmpdir(), "bronzemill-"));
  const standins: FleetProcess[] = [];
  let version = 0;
  const configuration = bothConfigurations();

  const rows = site.instances.map((instance, index) => ({
    ...instance,
    callerAddress: `127.0.0.1:${portBase + PORTS.caller + index}`,
    adminAddress: `127.0.0.1:${portBase + PORTS.admin + index}`,
    peerAddress: `127.0.0.1:${portBase + PORTS.peer + index}`,
  }));

  function linkPort(zone: number, index: number): number {
    return portBase + PORTS.linkListen + zone * LINK_PORTS_PER_ZONE + index;
  }

  /** The instances as a zone sees them: others are behind a link. */
  function rowsOfZone(zone: number): object[] {
    return rows.map((row, index) =>
      row.availabilityZone === zones[zone] ? row : {
        ...row,
        peerDialAddress: `127.0.0.1:${linkPort(zone, index)}`,
      }
    );
  }

  function writeSettings(): void {
    const base = {
      ...site,
      instances: rows,
      platform: { address: `127.0.0.1:${portBase}` },
      log: { level: verbose ? "info" : "error" },
    };
    writeFileSync(join(folder, "base.yaml"), stringify(base));
    for (const [index, zone] of zones.entries()) {
      const overlay = { instances: rowsOfZone(index) };
      writeFileSync(join(folder, `${zone}.yaml`), stringify(overlay));
    }
  }

  async function standin(name: string, args: readonly unknown[]) {
    const script = `standins/${name}.js`;
    const process = startScript(name, script, { args: args.map(String) });
    standins.push(process);
    await whenReady(process);
  }

  function spawnEntry(slot: string, zone: string): FleetProcess {
    const args = ["entry", "--settings", join(folder, "base.yaml")];
    args.push("--overlay", join(folder, `${zone}.yaml`), "--slot", slot);
    return startScript(slot, "src/cli/main.js", { args, verbose });
  }

  function whenEntryReady(entry: FleetEntry, path: string): Promise<void> {
    const port = path === "/ready" ? entry.callerPort : entry.adminPort;
    return until(`${entry.slot} ready`, async () => {
      const response = await fetch(`http://127.0.0.1:${port}${path}`);
      return path === "/ready" ? response.ok : true;
    });
  }

  async function startEntry(entry: FleetEntry): Promise<void> {
    entry.process = spawnEntry(entry.slot, entry.availabilityZone);
    await whenEntryReady(entry, "/ready");
  }

  async function applyConfiguration(
    change: (base: Record<string, unknown>) => void,
  ): Promise<number> {
    change(configuration);
    const port = entries.find((e) => e.process.child.exitCode === null)
      ?.adminPort ?? 0;
    const answer = await callControl<{ version: number }>(
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
    version = answer.version;
    return version;
  }

  writeSettings();
  const services = options.services ?? ["oficina", "vigil-desk"];
  const workers = workerList(zones, {
    portBase,
    workers: count,
    slots,
    services,
  });
  const workerPorts = new Map<string, number>();
  await standin("store", [portBase + PORTS.store]);
  for (const [index, zone] of zones.entries()) {
    const control = portBase + PORTS.workerControl + index;
    const first = portBase + PORTS.worker + index * WORKER_PORTS_PER_ZONE;
    workerPorts.set(zone, control);
    await standin("workers", [control, first, count, slots]);
  }
  await callControl(portBase, "/control/workers", { body: workers });
  const routes = zones.flatMap((zone, zoneIndex) =>
    rows.flatMap((row, index) =>
      row.availabilityZone === zone ? [] : [
        `${linkPort(zoneIndex, index)}=${
          portBase + PORTS.peer + index
        }:${zone}-${row.availabilityZone}`,
      ]
    )
  );
  const latency = options.zoneLatencyMs ?? 0;
  await standin("link", [portBase + PORTS.link, latency, ...routes]);

  const entries: FleetEntry[] = rows.map((row, index) => ({
    slot: row.slot,
    availabilityZone: row.availabilityZone,
    callerPort: portBase + PORTS.caller + index,
    adminPort: portBase + PORTS.admin + index,
    peerPort: portBase + PORTS.peer + index,
    process: spawnEntry(row.slot, row.availabilityZone),
  }));
  await Promise.all(entries.map((entry) => whenEntryReady(entry, "/v1/state")));
  await applyConfiguration(() => {});
  await Promise.all(entries.map((entry) => whenEntryReady(entry, "/ready")));
  await standin("balancer", [
    portBase + PORTS.balancer,
    portBase + PORTS.balancerControl,
    ...rows.map((row) => row.callerAddress),
  ]);

  return {
    entries,
    zones,
    balancerPort: portBase + PORTS.balancer,
    storePort: portBase + PORTS.store,
    linkPort: portBase + PORTS.link,
    workerPorts,
    workers,
    startEntry,
    applyConfiguration,
    async newestVersion() {
      const { rows } = await callControl<
        { rows: { key: string; value: { version: number } }[] }
      >(portBase, "/rows/read", { body: CONFIGURATION_ROW });
      const row = rows.find(({ key }) => key === CONFIGURATION_ROW.key);
      return row?.value.version ?? 0;
    },
    lateInForce,
    async kill() {
      await Promise.all(entries.map((entry) => kill(entry.process)));
      await Promise.all(standins.map(kill));
      rmSync(folder, { recursive: true });
    },
    async stop() {
      await Promise.all(entries.map((entry) => terminate(entry.process)));
      await Promise.all(standins.map(kill));
      rmSync(folder, { recursive: true });
    },
  };
}
