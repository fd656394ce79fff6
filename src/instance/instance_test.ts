import { connect } from "node:net";
import { test } from "node:test";
import { expect } from "earl";
import { parseLogLine, traceJob } from "../cli/trace_command.ts";
import {
  createTestInstance,
  testConfiguration,
  testJob,
  testQueue,
  testWorker,
} from "../engine/testing.ts";
import { createClock } from "../host/clock.ts";
import { createFakeStoreHost } from "../host/fake_store.ts";
import { startInstance } from "./instance.ts";
import { createJsonLog } from "./json_log.ts";
import { createMetrics } from "./metrics.ts";
import { createPauseDetector } from "./pause_detector.ts";
import { createPeerMesh } from "./peer_mesh.ts";

test("a log bounds its lines per part and counts the omitted lines", () => {
  const lines: string[] = [];
  let nowMs = 1_000;
  const output = {
    writableLength: 0,
    write: (text: string) => lines.push(text),
  };
  const log = createJsonLog({
    instanceId: "i",
    nowMs: () => nowMs,
    output,
    schedule: (flush) => flush(),
  });
  for (let n = 0; n < 1_000; n += 1) {
    log.write("info", { part: "a", text: "x" });
  }
  log.write("info", { part: "b", text: "other parts are still written" });
  nowMs += 1_000;
  log.write("info", { part: "a", text: "y" });
  expect(lines.length).toEqual(402);
  expect(lines.some((line) => line.includes('"linesLeftOut":600')))
    .toEqual(true);
});

test("a log omits lines while too many bytes are buffered for its reader", () => {
  let written = 0;
  const output = { writableLength: 2_000_000, write: () => written += 1 };
  const log = createJsonLog({
    instanceId: "i",
    output,
    schedule: (flush) => flush(),
  });
  log.write("info", { part: "a", text: "x" });
  expect(written).toEqual(0);
});

test("a log writes the lines of one turn together, and errors at once", () => {
  const written: string[] = [];
  const flushes: (() => void)[] = [];
  const log = createJsonLog({
    instanceId: "i",
    output: { writableLength: 0, write: (text: string) => written.push(text) },
    schedule: (flush) => flushes.push(flush),
  });
  for (let n = 0; n < 3; n += 1) log.write("info", { part: "a", text: "x" });
  expect(written).toEqual([]);
  for (const flush of flushes) flush();
  expect(written.map((text) => text.split("\n").length - 1)).toEqual([3]);
  log.write("error", { part: "a", text: "y" });
  expect(written.length).toEqual(2);
});

const pauseCases = [
  {
    name: "a regular tick is not a pause",
    monotonicMs: 25,
    wallMs: 25,
    uptimeMs: 25,
    pausedMs: 0,
  },
  {
    name: "a blocked event loop is a pause",
    monotonicMs: 900,
    wallMs: 900,
    uptimeMs: 900,
    cpuMs: 20,
    pausedMs: 900,
  },
  {
    name: "an event loop that the process's own work blocks is no pause",
    monotonicMs: 900,
    wallMs: 900,
    uptimeMs: 900,
    cpuMs: 600,
    pausedMs: 0,
    busyMs: 900,
  },
  {
    name: "a host that is suspended after work is a pause",
    monotonicMs: 25,
    wallMs: 3_025,
    uptimeMs: 3_025,
    cpuMs: 25,
    pausedMs: 3_000,
  },
  {
    name: "a suspended host is a pause",
    monotonicMs: 25,
    wallMs: 3_025,
    uptimeMs: 3_025,
    pausedMs: 3_000,
  },
  {
    name: "setting the wall clock forward is not a pause",
    monotonicMs: 25,
    wallMs: 3_025,
    uptimeMs: 25,
    pausedMs: 0,
  },
  {
    name: "setting the wall clock back is not a pause",
    monotonicMs: 25,
    wallMs: -2_000,
    uptimeMs: 25,
    pausedMs: 0,
  },
];

for (const { name, pausedMs, busyMs = 0, ...elapsed } of pauseCases) {
  test(`pause detector: ${name}`, () => {
    const now = { monotonicMs: 0, wallMs: 1e12, uptimeMs: 0, cpuMs: 0 };
    const clock = { nowMs: () => now.monotonicMs, wallMs: () => now.wallMs };
    const measureDelay = createPauseDetector(clock, {
      uptimeS: () => now.uptimeMs / 1_000,
      cpuMs: () => now.cpuMs,
    });
    now.monotonicMs += elapsed.monotonicMs;
    now.wallMs += elapsed.wallMs;
    now.uptimeMs += elapsed.uptimeMs;
    now.cpuMs += elapsed.cpuMs ?? 0;
    const delay = measureDelay();
    expect(Math.round(delay.pausedMs)).toEqual(pausedMs);
    expect(Math.round(delay.busyMs)).toEqual(busyMs);
  });
}

test("a reset of a peer connection does not terminate the process", async () => {
  const malformed: string[] = [];
  const self = {
    instanceId: "a",
    availabilityZone: "z",
    region: "r",
    address: "127.0.0.1:17391",
    bornMs: 1,
  };
  const mesh = await createPeerMesh({
    self,
    handlers: {
      onMessage: () => {},
      onUp: () => {},
      onDown: () => {},
      onMalformed: (detail) => malformed.push(detail),
    },
  });
  const socket = connect({ host: "127.0.0.1", port: 17_391 });
  await new Promise<void>((resolve) => socket.once("connect", resolve));
  socket.write("not json\n{");
  while (malformed.length === 0) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  socket.resetAndDestroy();
  await new Promise((resolve) => setTimeout(resolve, 20));
  await mesh.close();
  expect(malformed.length).toEqual(1);
});

/** Checks what an instance does whose state is damaged, if it gets the job. */
async function checkInternalError(jobId?: string): Promise<void> {
  const lines: string[] = [];
  const failures: Error[] = [];
  const never = () => new Promise<never>(() => {});
  const idle = () => Promise.resolve();
  const instance = await startInstance({
    self: {
      instanceId: "a",
      availabilityZone: "z",
      region: "r",
      address: "127.0.0.1:17392",
      bornMs: 1,
    },
    leaseMs: 1_000,
    stopMs: 50,
    seeds: [],
    clock: createClock(),
    workers: { poll: never, start: never, stop: never, close: idle },
    store: {
      configuration: { read: never, await: never, compare: never },
      readWorkers: never,
      readEvacuations: never,
      readPages: async function* () {
        yield await never();
      },
      transact: never,
      close: idle,
    },
    log: {
      write: (level, { text, fields }) =>
        lines.push(`${level} ${text} ${fields?.jobId ?? ""}`),
    },
    onFailure: (error) => failures.push(error),
  });
  Object.defineProperty(instance.state, "callerJobs", {
    get() {
      throw new TypeError("damaged");
    },
  });
  if (jobId !== undefined) {
    instance.submit({
      jobId,
      queue: testQueue,
      job: testJob(1),
      timeoutMs: 1_000,
      answerAt: "ended",
      onAnswer: () => {},
    });
  }
  await new Promise((resolve) => setTimeout(resolve, 300));
  await instance.stop();
  expect(failures.map((error) => error.message)).toEqual(["damaged"]);
  expect(lines.filter((line) => line.startsWith("error")))
    .toEqual([`error instance ends by an internal error ${jobId ?? ""}`]);
}

// Without a handler of its own the process would end without a log line, and the
// peers would resubmit the job to the next leader.
test("an internal error is logged, ends the instance and is not repeated", async () => {
  await checkInternalError();
});

test("an internal error at a submission names its job", async () => {
  await checkInternalError("00000000000000aa");
});

// An outcome that is not passed on would leave a leader waiting for it for good.
test("an instance that leads reads evacuations until they are known", async () => {
  const outcomes = ["fails", "answered"];
  const self = {
    instanceId: "a",
    availabilityZone: "z",
    region: "r",
    address: "127.0.0.1:0",
    bornMs: 1,
  };
  const instance = await startInstance({
    self,
    leaseMs: 1_000,
    stopMs: 50,
    evacuateMs: 5_000,
    seeds: [],
    clock: createClock(),
    workers: {
      poll: () => Promise.resolve({ kind: "unhealthy" }),
      start: () => Promise.resolve({ kind: "unhealthy" }),
      stop: () => Promise.resolve({ kind: "stopped" }),
      close: () => Promise.resolve(),
    },
    store: {
      ...createFakeStoreHost(),
      readWorkers: () => Promise.resolve([testWorker("w1")]),
      readEvacuations: () =>
        outcomes.shift() === "fails"
          ? Promise.reject(new Error("store is away"))
          : Promise.resolve(["z"]),
    },
    log: { write: () => {} },
  });
  instance.applyConfiguration(testConfiguration);
  const { state } = instance;
  while (state.evacuation?.zones.has("z") !== true) {
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  await instance.stop();
  expect(outcomes).toEqual([]);
  expect(state.counters.evacuationReadsFailed).toEqual(1);
  expect(instance.metrics.text().includes("\nbronzemill_zonesEvacuated 1\n"))
    .toEqual(true);
});

test("each line of the metrics is a name and a value", () => {
  const { state } = createTestInstance();
  const metrics = createMetrics(state);
  metrics.observeAnswer({ kind: "done" }, 180);
  const lines = metrics.text().trim().split("\n");
  expect(lines.every((line) => /^bronzemill_\w+(\{.*\})? -?[\d.]+$/.test(line)))
    .toEqual(true);
  expect(lines.includes('bronzemill_answer_ms{outcome="done",p="50"} 180'))
    .toEqual(true);
  expect(lines.includes("bronzemill_longestEventMs 0")).toEqual(true);
});

test("a trace shows a job, its workers and leader changes around it", () => {
  const log = [
    {
      timeMs: 100,
      part: "leader",
      text: "following a leader",
      instanceId: "a",
    },
    {
      timeMs: 500,
      part: "place",
      text: "task started",
      instanceId: "b",
      task: "ab.0.0.0",
      workerId: "w1",
    },
    {
      timeMs: 600,
      part: "workers",
      text: "worker did not respond",
      instanceId: "b",
      workerId: "w1",
    },
    {
      timeMs: 610,
      part: "workers",
      text: "worker did not respond",
      instanceId: "b",
      workerId: "w2",
    },
    {
      timeMs: 700,
      part: "callers",
      text: "job unknown",
      instanceId: "a",
      jobId: "ab",
    },
    {
      timeMs: 800,
      part: "callers",
      text: "job done",
      instanceId: "a",
      jobId: "cd",
    },
  ].map((line) => `  12.3 edge ${JSON.stringify({ level: "info", ...line })}`);
  const entries = log.map(parseLogLine).filter((entry) => entry !== null);
  const found = traceJob(entries, "ab");
  expect(found.map((entry) => entry.timeMs)).toEqual([100, 500, 600, 700]);
});
