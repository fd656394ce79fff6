/**
 * Two instances of the platform's daemon as processes on loopback, with a
 * lowered heap limit, beside stand-ins of the store and of the workers.
 */

import { once } from "node:events";
import {
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { request } from "node:http";
import { type AddressInfo, createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { callControl, waitUntil } from "../bench/control.ts";
import {
  type FleetProcess,
  kill,
  startScript,
  waitUntilReady,
} from "../bench/processes.ts";
import { createStore } from "../platform/store.ts";
import {
  encodeConfiguration,
  encodeJob,
  processEnvironment,
} from "../platform/soak/wire.ts";

/** The host that callers name, which selects the queue. */
export const HOST = "clients.example";
export const SERVICE = "repairs";
const WORKERS = 2;
const WORKER_CPU_MILLI = 4_000;

/** The addresses of one listener or more of an instance. */
export interface TestInstance {
  readonly ip: string;
  readonly ports: Readonly<Record<ListenerName, number>>;
  readonly process: FleetProcess;
}

export type ListenerName = "callers" | "peers" | "metrics" | "readiness";

/** The processes of a test. */
export interface TestFleet {
  /** The instance that clients connect to; it follows `leader`. */
  readonly entry: TestInstance;
  readonly leader: TestInstance;
  readonly stop: () => Promise<void>;
}

/** Returns ports that are free on all addresses. */
export async function findFreePorts(count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => createServer());
  const ports: number[] = [];
  for (const server of servers) {
    server.listen(0, "0.0.0.0");
    await once(server, "listening");
    ports.push((server.address() as AddressInfo).port);
  }
  for (const server of servers) {
    server.close();
    await once(server, "close");
  }
  return ports;
}

/** Starts the processes, and waits until both instances are ready. */
export async function startTestFleet(
  { heapMb, maxFds }: { heapMb: number; maxFds: number },
): Promise<TestFleet> {
  const directory = mkdtempSync(join(tmpdir(), "bronzemill-clients-"));
  const ports = await findFreePorts(6 + WORKERS);
  const [callers, peers, metrics, readiness, storePort, controlPort] =
    ports as [number, number, number, number, number, number];
  const workerPorts = ports.slice(6);
  const started: FleetProcess[] = [];

  async function startStandIn(name: string, args: readonly unknown[]) {
    const script = `platform/soak/${name}.js`;
    const process = startScript(name, script, { args: args.map(String) });
    started.push(process);
    await waitUntilReady(process);
  }

  function startInstance(
    instanceId: string,
    { ip, cores }: { ip: string; cores: number },
  ): TestInstance {
    const file = join(directory, `${instanceId}.json`);
    const settings = {
      instanceId,
      availabilityZone: "a",
      region: "main",
      ip,
      callerAddress: `${ip}:${callers}`,
      readinessAddress: `${ip}:${readiness}`,
      storeAddress: `127.0.0.1:${storePort}`,
      peerPort: peers,
      metricsPort: metrics,
      seeds: [],
      cpuShare: 1,
      cores,
      leaseMs: 1_000,
      stopMs: 50,
      graceSeconds: 6,
      maxFds,
    };
    writeFileSync(file, JSON.stringify(settings));
    const env = {
      ...processEnvironment(file),
      NODE_OPTIONS: `--max-old-space-size=${heapMb} --max-semi-space-size=2`,
    };
    const process = startScript(instanceId, "platform/main.js", { env });
    started.push(process);
    process.child.stdout?.resume();
    return { ip, ports: { callers, peers, metrics, readiness }, process };
  }

  await startStandIn("store", [storePort]);
  const workers = [];
  for (const [index, port] of workerPorts.entries()) {
    const control = index === 0 ? controlPort : 0;
    await startStandIn("workers", [`a${index}`, control, port, 1, 4_000]);
    workers.push({
      workerId: `a${index}-x0`,
      service: SERVICE,
      availabilityZone: "a",
      address: `127.0.0.1:${port}`,
      cpuMilli: WORKER_CPU_MILLI,
      memoryMb: 0,
      accelerators: 0,
      labels: [],
      draining: false,
      bornMs: null,
    });
  }
  await callControl(storePort, "/control/workers", { body: workers });
  const store = createStore(`127.0.0.1:${storePort}`);
  const value = encodeConfiguration(1, {
    services: [SERVICE],
    host: HOST,
    timeoutMs: 15_000,
    objectiveMs: 10_000,
  });
  await store.transact({
    part: "",
    expected: [],
    writes: [{ table: "op", key: "config", value }],
    removes: [],
  });
  await store.close();
  // The instance that is alone at first becomes the leader.
  const leader = startInstance("leader", { ip: "127.0.1.10", cores: 1.3 });
  await waitUntil(
    "the first instance to lead",
    async () =>
      await isReady(leader) &&
      await readMetric(leader, "bronzemill_isLeader") === 1,
  );
  const entry = startInstance("entry", { ip: "127.0.1.11", cores: 0.3 });
  await waitUntil(
    "the second instance to follow",
    async () =>
      await isReady(entry) &&
      await readMetric(entry, "bronzemill_isLeader") === 0,
  );

  return {
    entry,
    leader,
    async stop() {
      await Promise.all(started.map(kill));
      rmSync(directory, { recursive: true });
    },
  };
}

async function isReady({ ip, ports }: TestInstance): Promise<boolean> {
  return (await fetch(`http://${ip}:${ports.readiness}/`)).ok;
}

/** Whether the process of an instance has not ended. */
export function isAlive({ process: { child } }: TestInstance): boolean {
  return child.exitCode === null && child.signalCode === null;
}

/** The greatest resident memory of a process so far; 0 if it has ended. */
export function peakRssMb({ process }: TestInstance): number {
  try {
    const status = readFileSync(`/proc/${process.child.pid}/status`, "utf8");
    return Number(/VmHWM:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1_024;
  } catch {
    return 0;
  }
}

/** The number of open descriptors of a process; 0 if it has ended. */
export function descriptorCount({ process }: TestInstance): number {
  try {
    return readdirSync(`/proc/${process.child.pid}/fd`).length;
  } catch {
    return 0;
  }
}

/** Reads a value of an instance's metrics; undefined if there is none. */
export async function readMetric(
  { ip, ports }: TestInstance,
  name: string,
): Promise<number | undefined> {
  const response = await fetch(`http://${ip}:${ports.metrics}/metrics`);
  const lines = (await response.text()).split("\n");
  const line = lines.find((text) => text.startsWith(`${name} `));
  return line === undefined ? undefined : Number(line.split(" ")[1]);
}

/** Returns a random job ID. */
export function newJobId(): string {
  return Math.floor(Math.random() * 2 ** 48).toString(16).padStart(16, "0");
}

/** Sends one request about a job, and returns the status of the response. */
export async function callJob(
  { ip, ports }: TestInstance,
  { method, jobId, body = "" }: {
    method: "POST" | "GET" | "DELETE";
    jobId: string;
    body?: string;
  },
): Promise<number> {
  const sent = request({
    host: ip,
    port: ports.callers,
    method,
    path: `/${SERVICE}/${jobId}`,
    agent: false,
    headers: { host: HOST, "timeout-ms": "10000" },
    timeout: 12_000,
  });
  sent.on("timeout", () => sent.destroy(new Error("no answer")));
  sent.end(body);
  const [response] = await once(sent, "response");
  response.resume();
  return response.statusCode as number;
}

/** Submits one job of 20 ms in memory, and returns the status. */
export async function callOrdinary(instance: TestInstance): Promise<number> {
  const body = JSON.stringify(encodeJob({
    spec: JSON.stringify({ runMs: 20, cpuMilli: 100 }),
    tasks: 1,
    cpuMilli: 100,
    runMs: 20,
  }));
  return await callJob(instance, { method: "POST", jobId: newJobId(), body });
}
