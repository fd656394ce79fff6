import { createHash } from "node:crypto";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { expect } from "earl";
import { stringify } from "yaml";
import { callControl, waitUntil } from "../bench/control.ts";
import {
  type FleetProcess,
  kill,
  startScript,
  waitUntilReady,
} from "../bench/processes.ts";
import { startClients } from "./clients.ts";
import { findFreePorts, isAlive, peakRssMb } from "./fleet.ts";

const HEAP_MB = 48;
const MAX_RSS_MB = 180;
const OPERATOR_KEY = "operator";
const TEAM_KEY = "team";

const sha256Hex = (text: string): string =>
  createHash("sha256").update(text).digest("hex");

function head(method: string, path: string, key: string, length = 0): string {
  return `${method} ${path} HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer ${key}` +
    `\r\nContent-Length: ${length}\r\n\r\n`;
}

/** A job whose task runs for 20 ms, with a payload of 4,000 bytes. */
function submission(path = "/v1/jobs"): string {
  const payload = { runMs: 20, echo: "e", pad: "p".repeat(3_964) };
  const body = JSON.stringify({
    service: "oficina",
    kind: "repair",
    tasks: [{ payload }],
  });
  return head("POST", path, TEAM_KEY, body.length) + body;
}

/** The head of a request whose body has an unknown length. */
function chunkedHead(method: string, path: string, key: string): string {
  return head(method, path, key)
    .replace("Content-Length: 0", "Transfer-Encoding: chunked");
}

const ONE_BYTE_CHUNK = "1\r\nc\r\n";

const cases: {
  name: string;
  text: string;
  writes: number;
  /** What each connection sends first; nothing by default. */
  first?: string;
  isAdmin?: boolean;
}[] = [
  {
    name: "chunked jobs of one byte a chunk, short of their end",
    first: chunkedHead("POST", "/v1/jobs", TEAM_KEY),
    text: ONE_BYTE_CHUNK,
    writes: 1_000,
  },
  {
    name: "chunked configurations of one byte a chunk, short of their end",
    first: chunkedHead("PUT", "/v1/configuration", OPERATOR_KEY),
    text: ONE_BYTE_CHUNK,
    writes: 1_000,
    isAdmin: true,
  },
  { name: "pipelined jobs", text: submission(), writes: 10 },
  {
    name: "pipelined jobs to be stored",
    text: submission("/v1/jobs?wait=false"),
    writes: 10,
  },
  {
    name: "pipelined GETs of a job",
    text: head(
      "GET",
      `/v1/jobs/${sha256Hex("sul").slice(0, 8)}00?wait=true`,
      TEAM_KEY,
    ),
    writes: 300,
  },
  {
    name: "pipelined state dumps",
    text: head("GET", "/v1/state", OPERATOR_KEY),
    writes: 50,
    isAdmin: true,
  },
];

/** Starts one instance of our own interface, its store and one worker. */
async function startInstance() {
  const directory = mkdtempSync(join(tmpdir(), "bronzemill-own-"));
  const ports = await findFreePorts(6) as
    & number[]
    & [number, number, number, number, number, number];
  const [callerPort, adminPort, peerPort, storePort, control, worker] = ports;
  const started: FleetProcess[] = [];
  const start = async (script: string, args: unknown[]) => {
    const options = { args: args.map(String) };
    const standIn = startScript(script, `standins/${script}.js`, options);
    started.push(standIn);
    await waitUntilReady(standIn);
  };
  await start("store", [storePort]);
  await start("workers", [control, worker, 1, 8, "a"]);
  const workers = [{
    workerId: "a-x0",
    service: "oficina",
    availabilityZone: "a",
    address: `127.0.0.1:${worker}`,
    cpuMilli: 8_000,
    memoryMb: 0,
    accelerators: 0,
    labels: [],
    draining: false,
    bornMs: null,
  }];
  await callControl(storePort, "/control/workers", { body: workers });
  const file = join(directory, "base.yaml");
  writeFileSync(
    file,
    stringify({
      instances: [{
        slot: "a-1",
        availabilityZone: "a",
        callerAddress: `127.0.0.1:${callerPort}`,
        adminAddress: `127.0.0.1:${adminPort}`,
        peerAddress: `127.0.0.1:${peerPort}`,
      }],
      platform: { address: `127.0.0.1:${storePort}` },
      admin: { operatorKeysSha256: [sha256Hex(OPERATOR_KEY)] },
    }),
  );
  const NODE_OPTIONS =
    `--max-old-space-size=${HEAP_MB} --max-semi-space-size=2`;
  const child = startScript("a-1", "src/cli/main.js", {
    args: ["entry", "--settings", file, "--slot", "a-1"],
    env: { ...process.env, NODE_OPTIONS },
  });
  child.child.stdout?.resume();
  started.push(child);
  const keys = [{ sha256Hex: sha256Hex(TEAM_KEY), role: "team" }];
  const base = {
    services: { oficina: { kinds: { repair: {} } } },
    teams: { sul: { keys } },
  };
  await waitUntil("the configuration to be accepted", async () => {
    const reply = await callControl<{ version?: number }>(
      adminPort,
      "/v1/configuration",
      {
        method: "PUT",
        key: OPERATOR_KEY,
        body: { expectedVersion: 0, changeId: "1", base, overlays: {} },
      },
    );
    return reply.version === 1;
  });
  await waitUntil("the instance to be ready", async () => {
    return (await fetch(`http://127.0.0.1:${callerPort}/ready`)).ok;
  });
  return {
    instance: {
      ip: "127.0.0.1",
      ports: { callers: callerPort, peers: 0, metrics: 0, readiness: 0 },
      process: child,
    },
    adminPort,
    async stop() {
      await Promise.all(started.map(kill));
      rmSync(directory, { recursive: true });
    },
  };
}

// As untrusted_clients_test.ts, for callers and operators of our own interface.
for (const { name, text, writes, first = "", isAdmin = false } of cases) {
  test(`an instance of our own interface withstands ${name}`, async () => {
    const { instance, adminPort, stop } = await startInstance();
    const { ip, ports: { callers } } = instance;
    const clients = startClients({ ip, port: isAdmin ? adminPort : callers }, {
      connections: 8,
      writes,
      write: (_, write) => (write === 0 ? first : "") + text.repeat(200),
    });
    const readJobs = async () => {
      const { sizes } = await callControl<{ sizes: { callerJobs: number } }>(
        adminPort,
        "/v1/state",
        { method: "GET", key: OPERATOR_KEY },
      );
      return sizes.callerJobs;
    };
    try {
      await clients.settled;
      await delay(500);
      const seen = {
        isAlive: isAlive(instance),
        rssMb: Math.round(peakRssMb(instance)),
      };
      console.log(`own interface, ${name}: ${JSON.stringify(seen)}`);
      expect(seen).toLooseEqual({
        isAlive: true,
        rssMb: expect.satisfies((mb) => Number(mb) < MAX_RSS_MB),
      });
      clients.close();
      await waitUntil("an ordinary job to be complete", async () => {
        const response = await fetch(`http://${ip}:${callers}/v1/jobs`, {
          method: "POST",
          headers: { authorization: `Bearer ${TEAM_KEY}` },
          body: submission().split("\r\n\r\n")[1] ?? "",
        });
        return response.status === 200;
      }, { timeoutMs: 60_000 });
      await waitUntil(
        "the clients' jobs to be gone",
        async () => await readJobs() === 0,
      );
    } finally {
      clients.close();
      await stop();
    }
  });
}
