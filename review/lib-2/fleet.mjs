/**
 * Starts the project's daemon as processes on loopback, with the command and
 * the settings template of the deploy file, beside the stand-ins of the store
 * and of the executors.
 */

import { spawn } from "node:child_process";
import {
  closeSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { Agent, request as httpRequest } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { startStore } from "./store.mjs";
import { startWorker } from "./worker.mjs";

const ROOT = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
const PORTS = { front: 8161, ready: 8167, control: 8166, peer: 7720 };
const METRICS_PORT = 9464;

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Waits until a condition holds; returns whether it did in time. */
export async function waitFor(condition, limitMs) {
  const endMs = performance.now() + limitMs;
  while (performance.now() < endMs) {
    if (await condition()) return true;
    await sleep(10);
  }
  return false;
}

/** Writes what happens to `record.txt`, and keeps it for the check. */
export function createRecord(folder) {
  const file = openSync(join(folder, "record.txt"), "w");
  const startMs = performance.now();
  const events = [];
  return {
    events,
    add(kind, fields = {}) {
      const event = { atMs: performance.now() - startMs, kind, ...fields };
      events.push(event);
      const at = (event.atMs / 1_000).toFixed(3);
      writeFileSync(file, `${at} ${kind} ${JSON.stringify(fields)}\n`);
      return event;
    },
    close: () => closeSync(file),
  };
}

/** Sends one request; resolves with the status, or with `error`. */
export function send(
  { ip },
  { method, path, host, body, timeoutMs = 1_500, agent, port = PORTS.front },
) {
  return new Promise((resolve) => {
    const text = body === undefined ? "" : JSON.stringify(body);
    const sentAtMs = performance.now();
    const settle = (result) => {
      clearTimeout(timer);
      resolve({ ...result, tookMs: Math.round(performance.now() - sentAtMs) });
    };
    const request = httpRequest({
      host: ip,
      port,
      method,
      path,
      agent: agent ?? new Agent(),
      headers: {
        host,
        "content-type": "application/json",
        "content-length": Buffer.byteLength(text),
        "timeout-ms": timeoutMs,
      },
    }, (response) => {
      let content = "";
      response.setEncoding("utf8");
      response.on("data", (chunk) => content += chunk);
      response.on("error", ({ message }) => settle({ error: message }));
      response.on("end", () => {
        const parsed = content === "" ? null : JSON.parse(content);
        settle({ status: response.statusCode, body: parsed });
      });
    });
    const timer = setTimeout(
      () => request.destroy(new Error("timeout")),
      timeoutMs,
    );
    request.on(
      "error",
      ({ message, code }) => settle({ error: code ?? message }),
    );
    request.end(text);
  });
}

/** The command and the template that the deploy file names. */
function readDeployFile() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  const role = text.slice(text.indexOf("[roles.entry]"));
  const valueOf = (name) =>
    new RegExp(`^${name} = "(.*)"$`, "m").exec(role)?.[1] ?? "";
  return {
    words: valueOf("run").split(" "),
    template: readFileSync(join(ROOT, valueOf("template")), "utf8"),
  };
}

/** Fills in the placeholders of the kinds that the template uses. */
function fillTemplate(template, fields) {
  const find = (path) => path.split(".").reduce((at, key) => at?.[key], fields);
  return template
    .replace(
      /\{\{#([\w.]+)\}\}\n([^]*?)\{\{\/\1\}\}\n/g,
      (_, path, content) => find(path) === undefined ? "" : content,
    )
    .replace(
      /\{\{#([\w.]+)\}\}\{\{\.\|json\}\}\{\{,\}\}\{\{\/\1\}\}/g,
      (_, path) => find(path).map((item) => JSON.stringify(item)).join(","),
    )
    .replace(
      /\{\{([\w.]+)\|json\}\}/g,
      (_, path) => JSON.stringify(find(path) ?? null),
    );
}

/**
 * Finds a range of loopback addresses that no other fleet uses. The server that
 * is returned with it reserves the range.
 */
async function reserveNet() {
  for (let attempt = 0; attempt < 50; attempt += 1) {
    const net = `127.${30 + Math.floor(Math.random() * 200)}`;
    const server = createServer();
    const isFree = await new Promise((resolve) => {
      server.once("error", () => resolve(false));
      server.listen(PORTS.front, `${net}.255.1`, () => resolve(true));
    });
    if (isFree) return { net, server };
  }
  throw new Error("no free loopback addresses");
}

/**
 * Starts a fleet and waits until it is ready. `zones` maps each zone to its
 * number of instances.
 */
export async function startFleet(
  { zones, routes, services, record, readyMs = 15_000 },
) {
  const store = await startStore();
  const directory = mkdtempSync(join(tmpdir(), "bronzemill-review-"));
  const { words, template } = readDeployFile();
  const { net, server: reservation } = await reserveNet();
  const workers = [];
  const allProcesses = new Set();
  let isStopping = false;
  process.on("exit", () => {
    for (const child of allProcesses) child.kill("SIGKILL");
  });
  const instances = Object.entries(zones).flatMap(([zone, count], zoneIndex) =>
    Array.from({ length: count }, (_, index) => ({
      name: `edge-${zone}-${index + 1}`,
      zone,
      ip: `${net}.${zoneIndex + 1}.${index + 1}`,
      process: null,
      exits: [],
    }))
  );
  const seeds = instances.slice(0, 3).map(({ ip }) => `${ip}:${PORTS.control}`);

  function writeSettings({ name, zone, ip }) {
    const fields = {
      node: name,
      zone,
      region: "sul",
      ip,
      listen: {
        front: `${ip}:${PORTS.front}`,
        ready: `${ip}:${PORTS.ready}`,
        control: `${ip}:${PORTS.control}`,
      },
      port_range: [PORTS.peer, PORTS.peer + 15],
      seeds,
      limits: { cpu_share: 0.675, cores: 1 },
      bounds: { hold_max_ms: 1_000, stop_ms: 50, grace_s: 6 },
      platform: { addr: store.address },
    };
    const path = join(directory, `${name}.json`);
    writeFileSync(path, fillTemplate(template, fields));
    return path;
  }

  function start(instance) {
    if (isStopping || allProcesses.has(instance.process)) return;
    const { PATH, HOME, LANG } = process.env;
    const BRONZEMILL_CONFIG = writeSettings(instance);
    const log = openSync(join(directory, `${instance.name}.log`), "a");
    const child = spawn(words[0], words.slice(1), {
      cwd: ROOT,
      env: { PATH, HOME, LANG, BRONZEMILL_CONFIG },
      stdio: ["ignore", log, log],
    });
    closeSync(log);
    instance.process = child;
    allProcesses.add(child);
    record.add("process started", { instance: instance.name });
    child.on("exit", (code, signal) => {
      allProcesses.delete(child);
      instance.exits.push({ code, signal });
      record.add("process ended", { instance: instance.name, code, signal });
    });
  }

  function signal(instance, name) {
    record.add("signal", { instance: instance.name, signal: name });
    instance.process.kill(name);
  }

  /**
   * Takes the power from a machine: it answers nothing, and is back after a time
   * with nothing of before. What it has sent already arrives.
   */
  function powerOff(instance, forMs) {
    record.add("power off", { instance: instance.name, forMs });
    signal(instance, "SIGSTOP");
    setTimeout(() => {
      if (!allProcesses.has(instance.process)) return;
      instance.process.once("exit", () => start(instance));
      signal(instance, "SIGKILL");
    }, forMs);
  }

  async function isReady(instance) {
    const { status } = await send(instance, {
      method: "GET",
      path: "/bronzemill/readyz",
      host: "ready",
      port: PORTS.ready,
      timeoutMs: 500,
    });
    return status === 200;
  }

  async function gauges(instance) {
    const agent = new Agent();
    return await new Promise((resolve) => {
      const request = httpRequest({
        host: instance.ip,
        port: METRICS_PORT,
        path: "/metrics",
        agent,
        timeout: 300,
      }, (response) => {
        let text = "";
        response.on("data", (chunk) => text += chunk);
        response.on("end", () => resolve(text));
        response.on("error", () => resolve(""));
      });
      request.on("timeout", () => request.destroy());
      request.on("error", () => resolve(""));
      request.end();
    });
  }

  /** The instances that take themselves for the leader. */
  async function leaders() {
    const live = instances.filter((instance) =>
      allProcesses.has(instance.process)
    );
    const texts = await Promise.all(live.map(gauges));
    return live.filter((_, index) =>
      /^bronzemill_isLeader 1$/m.test(texts[index])
    );
  }

  async function stop() {
    if (isStopping) return;
    isStopping = true;
    for (const child of allProcesses) {
      child.kill("SIGCONT");
      child.kill("SIGKILL");
    }
    await waitFor(() => allProcesses.size === 0, 5_000);
    for (const worker of workers) worker.close();
    store.close();
    reservation.close();
    if (process.env.KEEP === undefined) {
      rmSync(directory, { recursive: true, force: true });
    } else console.log(directory);
  }

  async function addWorker(options) {
    const worker = await startWorker({
      store,
      record: (kind, fields) => record.add(kind, fields),
      ...options,
    });
    workers.push(worker);
    return worker;
  }

  function configure(version, changedRoutes = routes) {
    store.put({ table: "op", key: "config" }, {
      version,
      routes: changedRoutes,
      services: services.map((name) => ({ name, enforces_capacity: false })),
      limits: { max_body_bytes: 262_144 },
    });
    record.add("configuration", { version });
  }

  /** Starts all processes; resolves once each is ready. */
  async function begin() {
    configure(1);
    for (const instance of instances) start(instance);
    const isUp = await waitFor(async () => {
      const ready = await Promise.all(instances.map(isReady));
      return ready.every((answer) => answer);
    }, readyMs);
    record.add("ready", { isUp });
    return isUp;
  }

  return {
    store,
    instances,
    workers,
    start,
    signal,
    powerOff,
    isReady,
    leaders,
    addWorker,
    configure,
    begin,
    stop,
    isRunning: (instance) => allProcesses.has(instance.process),
  };
}

/**
 * Runs a case and ends the process: 1 if the rule was broken, 0 if it held, 2 if
 * the case couldn't run.
 */
export async function runCase(folder, play) {
  const record = createRecord(folder);
  const cleanups = [];
  let code = 2;
  // An error of the script itself is not a broken rule.
  for (const name of ["uncaughtException", "unhandledRejection"]) {
    process.on(name, (error) => {
      console.log(`the case couldn't run: ${error?.stack ?? error}`);
      process.exit(2);
    });
  }
  try {
    const broken = await play({
      record,
      trouble: process.env.TROUBLE !== "0",
      onEnd: (cleanup) => cleanups.push(cleanup),
    });
    for (const text of broken) record.add("BROKEN", { text });
    for (const text of broken) console.log(`broken: ${text}`);
    code = broken.length > 0 ? 1 : 0;
    console.log(code === 1 ? "the rule was broken" : "the rule held");
  } catch (error) {
    console.log(`the case couldn't run: ${error.stack}`);
  }
  for (const cleanup of cleanups) await cleanup();
  record.close();
  process.exit(code);
}
