/**
 * Measures what docs/CAPACITY.md is worked out from: the cost of a task at
 * several rates over real processes, and the cost of control as instances,
 * upstreams and claims grow, on the core alone.
 */

import { defineCommand, runMain } from "citty";
import type { CoreState, Effect, Slot } from "../src/core/types.ts";
import type { PeerMessage, UpstreamMember } from "../src/core/schemas.ts";
import { peerMessageSchema } from "../src/core/schemas.ts";
import { createCore, reduce } from "../src/core/reduce.ts";
import { createCaller } from "./caller.ts";
import { callControl } from "./control.ts";
import { type Fleet, OPERATOR_KEY, startFleet } from "./fleet.ts";
import { createWorkload, workKinds } from "./workload.ts";
import { sleep } from "../standins/http_service.ts";

const PORT_BASE = 29_000;
/** The shape of the design size: 13 zones in 4 regions. */
const INSTANCES_PER_ZONE = 12;
const ZONES_PER_REGION = 4;
/** Run times are divided by this much, so that rates are not slot-bound. */
const SPEED_UP = 0.02;
const RATES = [20, 60, 120, 200];
const STEP_SECONDS = 5;
const IDLE_SECONDS = 8;
/** Start-up is over by then: code is loaded and compiled. */
const SETTLE_MS = 5_000;

interface Usage {
  cpuMs: number;
  tasks: number;
  peerBytes: number;
  rssMb: number;
}

async function usage(fleet: Fleet): Promise<Usage> {
  const total: Usage = { cpuMs: 0, tasks: 0, peerBytes: 0, rssMb: 0 };
  for (const { adminPort } of fleet.entries) {
    const dump = await callControl<{
      counters: { tasksSent: number };
      measures: {
        cpuMs: number;
        rssMb: number;
        peerTraffic: { sent: number };
      };
    }>(adminPort, "/v1/state", { method: "GET", key: OPERATOR_KEY });
    total.cpuMs += dump.measures.cpuMs;
    total.tasks += dump.counters.tasksSent;
    total.peerBytes += dump.measures.peerTraffic.sent;
    total.rssMb = Math.max(total.rssMb, dump.measures.rssMb);
  }
  return total;
}

function print(line: object): void {
  process.stdout.write(`${JSON.stringify(line)}\n`);
}

async function measureIdle(fleet: Fleet): Promise<void> {
  await sleep(SETTLE_MS);
  const before = await usage(fleet);
  await sleep(IDLE_SECONDS * 1_000);
  const after = await usage(fleet);
  const nodes = fleet.entries.length;
  print({
    slope: "idle",
    instances: nodes,
    corePercent: (after.cpuMs - before.cpuMs) / IDLE_SECONDS / nodes / 10,
    peerBytesPerSecond: Math.round(
      (after.peerBytes - before.peerBytes) / IDLE_SECONDS / nodes,
    ),
    rssMb: after.rssMb,
  });
}

/** Jobs at a steady rate over all instances; answers are not looked at. */
async function measureRate(fleet: Fleet, jobsPerSecond: number): Promise<void> {
  const callers = fleet.entries.map((entry) =>
    createCaller(entry.callerPort, { connections: 100 })
  );
  const workload = createWorkload(jobsPerSecond, `slope${jobsPerSecond}`);
  const quote = workKinds[0];
  const before = await usage(fleet);
  const pending: Promise<unknown>[] = [];
  const startMs = performance.now();
  const jobs = jobsPerSecond * STEP_SECONDS;
  for (let index = 0; index < jobs; index += 1) {
    const dueMs = startMs + index * 1_000 / jobsPerSecond;
    const waitMs = dueMs - performance.now();
    if (waitMs > 1) await sleep(waitMs);
    const caller = callers[index % callers.length];
    const job = workload.nextJob(quote);
    pending.push(caller?.attempt(job, { attempt: 1 }) ?? Promise.resolve());
  }
  await Promise.all(pending);
  const seconds = (performance.now() - startMs) / 1_000;
  const after = await usage(fleet);
  const tasks = after.tasks - before.tasks;
  print({
    slope: "tasks",
    jobsPerSecond,
    tasksPerSecond: Math.round(tasks / seconds),
    cpuMsPerTask: (after.cpuMs - before.cpuMs) / tasks,
    cpuMsPerSecond: (after.cpuMs - before.cpuMs) / seconds,
    peerBytesPerTask: Math.round(
      (after.peerBytes - before.peerBytes) / tasks,
    ),
    rssMb: after.rssMb,
  });
  await Promise.all(callers.map((caller) => caller.close()));
}

async function measureFleet(): Promise<void> {
  const fleet = await startFleet({
    portBase: PORT_BASE,
    services: ["oficina"],
  });
  for (const port of fleet.upstreamPorts.values()) {
    const body = { knobs: { slowFactor: SPEED_UP } };
    await callControl(port, "/knobs", { body });
    await callControl(port, "/record", { body: { record: false } });
  }
  await measureIdle(fleet);
  for (const rate of RATES) await measureRate(fleet, rate);
  await fleet.stop();
}

/** A core among so many instances, in zones of twelve. */
function coreAmong(instances: number, upstreams: number): CoreState {
  const slots: Slot[] = Array.from({ length: instances }, (_, index) => ({
    slot: `z${Math.floor(index / INSTANCES_PER_ZONE)}-${index}`,
    availabilityZone: `z${Math.floor(index / INSTANCES_PER_ZONE)}`,
    region: `r${Math.floor(index / INSTANCES_PER_ZONE / ZONES_PER_REGION)}`,
  }));
  const self = { ...slots[0]!, incarnation: 1 };
  const core = createCore({ self, slots, nowMs: 0, wallMs: 0, seed: 1 });
  const zones = Math.ceil(instances / INSTANCES_PER_ZONE);
  reduce(core, {
    type: "configurationRead",
    nowMs: 0,
    document: {
      version: 1,
      changeId: "c",
      base: { services: { oficina: { kinds: { quote: {} } } }, teams: {} },
      overlays: {},
    },
  });
  reduce(core, {
    type: "membershipRead",
    nowMs: 0,
    membershipVersion: 1,
    upstreams: Array.from(
      { length: upstreams },
      (_, index): UpstreamMember => ({
        id: `x${index}`,
        service: "oficina",
        availabilityZone: `z${index % zones}`,
        address: "127.0.0.1:1",
        slots: 8,
        state: "live",
      }),
    ),
  });
  return core;
}

/** One second of control in a core: ticks, its heartbeats, its peers'. */
function measureControl(instances: number, upstreams: number): void {
  const core = coreAmong(instances, upstreams);
  const heartbeat: PeerMessage = {
    type: "heartbeat",
    virgin: true,
    leaving: false,
    ready: true,
    configurationVersion: 1,
    membershipVersion: 1,
    periodMs: 250,
    leavingUpstreams: [],
    suspects: [],
    lacksRecords: [],
    loads: [{ service: "oficina", freeSlots: 5, queuedTasks: 0 }],
    borrowed: [],
  };
  const seconds = 4;
  let sentBytes = 0;
  let messages = 0;
  const startMs = performance.now();
  for (let nowMs = 20; nowMs <= seconds * 1_000; nowMs += 20) {
    const effects = reduce(core, { type: "tick", nowMs, wallMs: nowMs });
    for (const effect of effects) {
      if (effect.type !== "sendPeer") continue;
      sentBytes += JSON.stringify(effect.message).length;
      messages += 1;
    }
    for (const peer of core.peers.values()) {
      // Each peer is heard as often as it is told.
      if (peer.nextHeartbeatMs !== nowMs + periodOf(effects, peer.slot)) {
        continue;
      }
      const message = peerMessageSchema.parse(
        JSON.parse(JSON.stringify(heartbeat)),
      );
      const from = { slot: peer.slot, incarnation: 1 };
      reduce(core, { type: "peerMessage", nowMs, from, message });
    }
  }
  const cpuMs = performance.now() - startMs;
  print({
    slope: "control",
    instances,
    upstreams,
    corePercent: cpuMs / seconds / 10,
    messagesPerSecond: Math.round(messages / seconds),
    bytesPerSecond: Math.round(sentBytes / seconds),
  });
}

/** The period that a heartbeat sent in this step names, or none. */
function periodOf(effects: readonly Effect[], slot: string): number {
  for (const effect of effects) {
    if (effect.type !== "sendPeer" || effect.slot !== slot) continue;
    if (effect.message.type === "heartbeat") return effect.message.periodMs;
  }
  return NaN;
}

/** Memory of claims: what one record takes. */
function measureClaims(count: number): void {
  const core = coreAmong(24, 30);
  globalThis.gc?.();
  const before = process.memoryUsage().heapUsed;
  const group = core.groups.keys().next().value ?? "";
  const role = core.groups.get(group)?.role ?? "owner";
  for (let index = 0; index < count; index += 1) {
    reduce(core, {
      type: "peerMessage",
      nowMs: 1,
      from: { slot: "z0-5", incarnation: 1 },
      message: {
        type: "claim",
        claimId: `z0-5.1.${index}`,
        group,
        role,
        key: `benches/0192f3a4-0000-7000-8000-${index}`,
        payloadHash: `${index}`.padEnd(64, "0"),
        jobId: `z0-5.1.${index}`,
        holder: { slot: "z0-5", incarnation: 1 },
        oldestPossibleAgeMs: 0,
        receivedAgeMs: 0,
      },
    });
  }
  globalThis.gc?.();
  const { size } = core.groups.get(group)?.records ?? new Map();
  const bytes = (process.memoryUsage().heapUsed - before) / count;
  print({ slope: "claims", count: size, bytesPerClaim: Math.round(bytes) });
}

const command = defineCommand({
  meta: { name: "slopes", description: "Measure what CAPACITY.md rests on" },
  args: {
    only: { type: "string", description: "fleet, control or claims" },
  },
  async run({ args }) {
    const all = args.only === undefined;
    if (all || args.only === "control") {
      for (const instances of [7, 30, 100, 156]) {
        measureControl(instances, 30);
      }
      for (const upstreams of [300, 3_000, 9_400]) {
        measureControl(30, upstreams);
      }
    }
    if (all || args.only === "claims") {
      for (const count of [10_000, 50_000, 100_000]) measureClaims(count);
    }
    if (all || args.only === "fleet") await measureFleet();
  },
});

await runMain(command);
