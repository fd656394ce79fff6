/**
 * Measures the input of docs/CAPACITY.md: the cost of a task with real
 * processes at several rates, and the cost of the leader, with the engine alone,
 * as the numbers of workers, jobs and instances grow.
 */

import { defineCommand, runMain } from "citty";
import { createEngine, reduce } from "../src/engine/reduce.ts";
import {
  testConfiguration,
  testHeartbeat,
  testInstanceInfo,
  testQueue,
  testWorker,
} from "../src/engine/testing.ts";
import type { EngineEvent, EngineState } from "../src/engine/types.ts";
import { sleep } from "../standins/http_service.ts";
import { createCaller } from "./caller.ts";
import { callControl } from "./control.ts";
import { type Fleet, OPERATOR_KEY, startFleet } from "./fleet.ts";
import { createWorkload, workKinds } from "./workload.ts";

const PORT_BASE = 29_000;
/** Factor that shortens run times, so that slots do not bound the rates. */
const RUN_TIME_SCALE = 0.02;
/** Measured rates, in jobs per second. */
const RATES = [20, 60, 120, 200];
const STEP_SECONDS = 5;
const IDLE_SECONDS = 8;
/** Delay before the first measurement, for code to be loaded and compiled. */
const SETTLE_MS = 5_000;
/** Number of ticks in one measurement of the engine, and their period. */
const TICKS = 400;
const TICK_MS = 25;
/** Number of tasks in each job of the engine measurement. */
const TASKS_PER_JOB = 4;

interface Usage {
  cpuMs: number;
  tasks: number;
  peerBytes: number;
  rssMb: number;
}

async function readUsage(fleet: Fleet): Promise<Usage> {
  const total: Usage = { cpuMs: 0, tasks: 0, peerBytes: 0, rssMb: 0 };
  for (const { adminPort } of fleet.entries) {
    const dump = await callControl<{
      counters: { tasksStarted: number };
      measures: {
        cpuMs: number;
        rssMb: number;
        peerTraffic: { sent: number };
      };
    }>(adminPort, "/v1/state", { method: "GET", key: OPERATOR_KEY });
    total.cpuMs += dump.measures.cpuMs;
    total.tasks += dump.counters.tasksStarted;
    total.peerBytes += dump.measures.peerTraffic.sent;
    total.rssMb = Math.max(total.rssMb, dump.measures.rssMb);
  }
  return total;
}

function print(line: object): void {
  process.stdout.write(`${JSON.stringify(line)}\n`);
}

async function measureFleet(): Promise<void> {
  const fleet = await startFleet({
    portBase: PORT_BASE,
    services: ["oficina"],
  });
  const caller = createCaller(fleet.balancerPort);
  await sleep(SETTLE_MS);
  const idle = await readUsage(fleet);
  await sleep(IDLE_SECONDS * 1_000);
  printUsage("idle", idle, await readUsage(fleet), IDLE_SECONDS);
  const work = workKinds[0];
  for (const [step, rate] of RATES.entries()) {
    const workload = createWorkload(step + 1, `slope${rate}`);
    const before = await readUsage(fleet);
    const running: Promise<unknown>[] = [];
    for (let sent = 0; sent < rate * STEP_SECONDS; sent += 1) {
      const job = workload.nextJob(work);
      const tasks = job.tasks.map((task) => ({
        ...task,
        runMs: task.runMs * RUN_TIME_SCALE,
      }));
      running.push(caller.attempt({ ...job, tasks }, { attempt: 1 }));
      await sleep(1_000 / rate);
    }
    await Promise.all(running);
    printUsage(`rate ${rate}`, before, await readUsage(fleet), STEP_SECONDS);
  }
  await caller.close();
  await fleet.stop();
}

function printUsage(
  what: string,
  before: Usage,
  after: Usage,
  seconds: number,
): void {
  print({
    slope: "fleet",
    what,
    cpuMsPerSecond: Math.round((after.cpuMs - before.cpuMs) / seconds),
    tasksPerSecond: Math.round((after.tasks - before.tasks) / seconds),
    peerBytesPerSecond: Math.round(
      (after.peerBytes - before.peerBytes) / seconds,
    ),
    rssMb: after.rssMb,
  });
}

/** Creates a leader with the given numbers of workers, peers and queued jobs. */
function createLeader(
  { workers, peers, jobs }: { workers: number; peers: number; jobs: number },
): { state: EngineState; apply: (event: object) => void } {
  let nowMs = 10_000;
  const state = createEngine({
    self: testInstanceInfo("self"),
    leaseMs: 1_000,
    stopMs: 50,
    nowMs,
    wallMs: 1e12,
  });
  const apply = (event: object): void => {
    nowMs += TICK_MS;
    answerPolls(reduce(state, { ...event, nowMs } as EngineEvent));
  };
  function answerPolls(effects: ReturnType<typeof reduce>): void {
    for (const effect of effects) {
      if (effect.type !== "hold") continue;
      const { workerId, callId } = effect;
      const outcome = {
        kind: "held" as const,
        clockMs: nowMs,
        bornMs: 1,
        running: [],
        finished: [],
      };
      reduce(state, {
        type: "pollCompleted",
        nowMs,
        workerId,
        callId,
        outcome,
      });
    }
  }
  const peerIds = Array.from({ length: peers }, (_, index) => `p${index}`);
  apply({ type: "configurationRead", configuration: testConfiguration });
  apply({ type: "instancesRead", instances: peerIds.map(testInstanceInfo) });
  for (const instanceId of peerIds) apply({ type: "peerUp", instanceId });
  const workerList = Array.from(
    { length: workers },
    (_, index) => testWorker(`w${index}`),
  );
  apply({ type: "workersRead", workers: workerList });
  for (let tick = 0; tick < 60; tick += 1) {
    apply({ type: "tick", wallMs: 1e12 });
    for (const from of peerIds) {
      const message = testHeartbeat({ sentAtMs: nowMs });
      apply({ type: "peerMessage", from, message });
    }
  }
  for (let job = 0; job < jobs; job += 1) {
    apply({
      type: "callerSubmit",
      requestId: `r${job}`,
      jobId: `j${job}`,
      queue: { ...testQueue, objectiveMs: 1e9 },
      job: {
        spec: "",
        steps: [{
          count: TASKS_PER_JOB,
          cpuMilli: 14_000,
          memoryMb: 64,
          accelerators: 0,
          estimatedMs: 100,
          after: [],
        }],
      },
      timeoutMs: 1e9,
      answerAt: "ended",
    });
  }
  return { state, apply };
}

function measureLeader(size: {
  workers: number;
  peers: number;
  jobs: number;
}): void {
  const { state, apply } = createLeader(size);
  const before = process.cpuUsage();
  for (let tick = 0; tick < TICKS; tick += 1) {
    apply({ type: "tick", wallMs: 1e12 });
  }
  const { user, system } = process.cpuUsage(before);
  print({
    slope: "leader",
    ...size,
    isLeader: state.scheduler !== null,
    corePercent: Math.round((user + system) / (TICKS * TICK_MS) * 10) / 100,
  });
}

const command = defineCommand({
  meta: { name: "slopes", description: "Measure slopes for docs/CAPACITY.md" },
  args: {
    only: {
      type: "string",
      description: "Part to measure: fleet or leader; default: both",
    },
  },
  async run({ args }) {
    if (args.only !== "fleet") {
      for (const workers of [33, 100, 350, 700]) {
        measureLeader({ workers, peers: 6, jobs: 0 });
      }
      for (const peers of [35, 150, 300]) {
        measureLeader({ workers: 100, peers, jobs: 0 });
      }
      for (const jobs of [200, 1_000]) {
        measureLeader({ workers: 100, peers: 6, jobs });
      }
    }
    if (args.only !== "leader") await measureFleet();
  },
});

await runMain(command);
