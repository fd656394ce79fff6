/**
 * A small deployment on loopback addresses: the project's program as processes
 * of their own, started with the command of the deploy file, between stand-ins
 * of the store, the executors and the clients.
 */

import { spawn } from "node:child_process";
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { send } from "./client.mjs";
import { createExecutor } from "./executor.mjs";
import { createNetwork, FIRST_MACHINE } from "./network.mjs";
import { createRuns } from "./runs.mjs";
import { readRole, renderTemplate } from "./settings.mjs";
import { createStore } from "./store.mjs";
import { sleep, waitFor } from "./time.mjs";

const ROOT = resolve(import.meta.dirname, "../..");
const PORTS = {
  front: 8161,
  ready: 8167,
  control: 8166,
  peer: 7720,
  store: 8169,
  executor: 8080,
};
const SERVICE = "repairs";
const HOST_HEADER = "bench.example";
const PREFIX = "/jobs/";
/** Bounds of the small site files. */
const BOUNDS = { hold_max_ms: 1_000, stop_ms: 50, grace_s: 6 };
/** The network without proxies. */
const directNetwork = {
  open: () => Promise.resolve(),
  translate: {
    toStore: (_instance, { value }) => value,
    fromStore: (_instance, { value }) => value,
  },
  close: () => {},
};
/** A process that was killed is down for as long; the site file has 3.5 s. */
const RESTART_DELAY_MS = 1_000;
/** All machines start within 0.3 s of each other. */
const START_GAP_MS = 100;
/** Whether the logs of the instances stay, in a folder that is printed. */
const KEEPS_LOGS = process.env.KEEP_LOGS === "1";
const READY_LIMIT_MS = 20_000;
/** Time before the traffic, so that every instance is in touch. */
const SETTLE_MS = 3_500;

/**
 * Reserves the first half of the addresses of a deployment, so that deployments
 * that run at the same time don't share any.
 */
async function reservePrefix() {
  while (true) {
    const prefix = `127.${20 + Math.floor(Math.random() * 200)}`;
    const guard = createServer();
    const isFree = await new Promise((done) => {
      guard.once("error", () => done(false));
      guard.listen(PORTS.store, `${prefix}.255.1`, () => done(true));
    });
    if (isFree) return { prefix, guard };
  }
}

/**
 * Options: numbers of instances and executors, the cores of an executor in
 * thousandths, the attempts and the latency objective of the queue, and whether
 * machines are to be cut off from each other, which takes proxies between them.
 */
export async function startDeployment({
  record,
  instances = 3,
  executors = 4,
  cpu = 32_000,
  attempts = 4,
  canCut = false,
  objectiveMs = 20_000,
}) {
  const { prefix, guard } = await reservePrefix();
  const folder = mkdtempSync(join(tmpdir(), "review-"));
  const role = readRole(readFileSync(join(ROOT, "deploy/system.toml"), "utf8"));
  const template = readFileSync(join(ROOT, role.template), "utf8");
  const network = canCut
    ? createNetwork({
      prefix,
      peerPort: PORTS.peer,
      count: instances,
      record,
    })
    : directNetwork;
  const store = createStore({ record, translate: network.translate });
  const runs = createRuns(record);
  const processes = [];
  const servers = [];
  let closing = false;
  const restarts = [];
  const unexpectedEnds = [];

  const hostOf = (index) => `${prefix}.0.${FIRST_MACHINE + index}`;

  function fieldsOf(index) {
    const ip = hostOf(index);
    const zone = ["poa", "caxias", "pelotas"][index % 3];
    return {
      node: `edge-${zone}-${index + 1}`,
      role: "entry",
      class: "edge",
      serves: ["edge", "control"],
      ip,
      zone,
      region: "sul",
      listen: {
        front: `${ip}:${PORTS.front}`,
        ready: `${ip}:${PORTS.ready}`,
        control: `${ip}:${PORTS.control}`,
      },
      port_range: [PORTS.peer, PORTS.peer + 15],
      seeds: [],
      bootstrap: true,
      limits: { cpu_share: 0.675, cores: 1, memory_mb: 350, max_fds: 4_100 },
      bounds: BOUNDS,
      orders: "rpc",
      platform: {
        addr: `${prefix}.201.${FIRST_MACHINE + index}:${PORTS.store}`,
      },
    };
  }

  function startProcess(index) {
    const path = join(folder, `node-${index}.json`);
    writeFileSync(path, renderTemplate(template, fieldsOf(index)));
    const [program, ...args] = role.run.split(" ");
    const child = spawn(program, args, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LANG: process.env.LANG ?? "C.UTF-8",
        BRONZEMILL_CONFIG: path,
      },
      stdio: ["ignore", "pipe", "pipe"],
    });
    const entry = { index, child, killed: false };
    processes[index] = entry;
    const log = join(folder, `node-${index}.log`);
    for (const stream of [child.stdout, child.stderr]) {
      if (KEEPS_LOGS) stream.on("data", (chunk) => appendFileSync(log, chunk));
      else stream.resume();
    }
    child.on("exit", (code, signal) => {
      if (closing || entry.killed) return;
      unexpectedEnds.push({ index, code, signal });
      record(`instance ${index}: ended by itself, code ${code} ${signal}`);
    });
  }

  async function startExecutor(index) {
    const server = createExecutor({
      id: `i-${index + 1}`,
      host: `${prefix}.200.${1 + index}`,
      port: PORTS.executor,
      service: SERVICE,
      zone: ["poa", "caxias", "pelotas"][index % 3],
      cpu,
      store,
      events: runs.events,
    });
    await server.listen();
    servers[index] = server;
  }

  async function request(index, method, path, body, timeoutMs) {
    const answer = await send({
      host: hostOf(index),
      port: PORTS.front,
      method,
      path: `${PREFIX}${path}`,
      hostHeader: HOST_HEADER,
      body,
      timeoutMs,
    });
    record(
      `client: ${method} ${path} at instance ${index} -> ${answer.status} ${answer.content}`,
    );
    return answer;
  }

  async function isReady(index) {
    const { status } = await send({
      host: hostOf(index),
      port: PORTS.ready,
      method: "GET",
      path: "/bronzemill/readyz",
      hostHeader: HOST_HEADER,
      timeoutMs: 500,
    });
    return status === 200;
  }

  async function close() {
    closing = true;
    for (const timer of restarts) clearTimeout(timer);
    for (const { child } of processes) child.kill("SIGKILL");
    await Promise.all(
      processes.map(({ child }) =>
        child.exitCode === null && child.signalCode === null
          ? new Promise((done) => child.once("exit", done))
          : undefined
      ),
    );
    for (const server of servers) server.close();
    network.close();
    store.close();
    guard.close();
    if (!KEEPS_LOGS) rmSync(folder, { recursive: true, force: true });
  }

  try {
    await network.open();
    for (let index = 0; index < instances; index += 1) {
      const host = `${prefix}.201.${FIRST_MACHINE + index}`;
      await store.listen(index, host, PORTS.store);
    }
    store.put("op", "config", {
      version: 7,
      routes: [{
        name: "r-jobs",
        host: HOST_HEADER,
        prefix: PREFIX,
        kind: "non_idempotent",
        timeout_ms: 20_000,
        slo_ms: objectiveMs,
        priority: 0,
        service: SERVICE,
        attempts,
        stretch: 1.6,
      }],
      services: [{
        name: SERVICE,
        health_path: "/healthz",
        max_conns: 64,
        protocol: "h1",
        tls: false,
        enforces_capacity: false,
        spare: false,
      }],
      limits: {
        max_header_bytes: 16_384,
        max_body_bytes: 262_144,
        header_timeout_ms: 3_000,
        idle_timeout_ms: 15_000,
      },
    });
    for (let index = 0; index < executors; index += 1) {
      await startExecutor(index);
    }
    for (let index = 0; index < instances; index += 1) {
      startProcess(index);
      await sleep(START_GAP_MS);
    }
    for (let index = 0; index < instances; index += 1) {
      const ready = await waitFor(() => isReady(index), {
        limitMs: READY_LIMIT_MS,
        everyMs: 100,
      });
      if (!ready) throw new Error(`instance ${index} did not become ready`);
    }
    await sleep(SETTLE_MS);
  } catch (error) {
    await close();
    throw error;
  }
  record(
    `deployment: ${instances} instances, ${executors} executors, logs in a temporary folder`,
  );
  if (KEEPS_LOGS) console.log(folder);

  return {
    store,
    network,
    runs,
    unexpectedEnds,
    request,
    /** The instance that last wrote to the store under a condition. */
    leader: () => store.lastConditionalWriter(),
    /** Sends a signal to the process of an instance. */
    signal(index, name) {
      const entry = processes[index];
      if (name === "SIGKILL" || name === "SIGTERM") entry.killed = true;
      entry.child.kill(name);
      record(`instance ${index}: ${name}`);
    },
    executors: servers,
    startExecutor,
    processOf: (index) => processes[index].child,
    /** Kills the process of an instance; it is started again after a moment. */
    kill(index) {
      const entry = processes[index];
      entry.killed = true;
      entry.child.kill("SIGKILL");
      record(`instance ${index}: SIGKILL`);
      restarts.push(setTimeout(() => {
        startProcess(index);
        record(`instance ${index}: started again`);
      }, RESTART_DELAY_MS));
    },
    restart(index) {
      startProcess(index);
      record(`instance ${index}: started again`);
    },
    isReady,
    close,
  };
}

/** A job of one step or more; `spec` says what the executors do with it. */
export function jobBody({ steps, ms, end, bestEffort = false }) {
  return {
    spec: JSON.stringify({ ms, ...(end === undefined ? {} : { end }) }),
    steps,
    ...(bestEffort ? { best_effort: true } : {}),
  };
}

let jobCount = 0;
/** A new job id of 16 hexadecimal digits. */
export function newJobId() {
  jobCount += 1;
  const random = Math.floor(Math.random() * 2 ** 40).toString(16);
  return (random.padStart(12, "0") + jobCount.toString(16).padStart(4, "0"))
    .slice(-16);
}
