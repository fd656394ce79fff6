import { test } from "node:test";
import { expect } from "earl";
import { createFakeWorker } from "./worker_model.ts";

const LEASE_MS = 1_000;

function createWorker({ clockRate = 1 }: { clockRate?: number } = {}) {
  return createFakeWorker({
    workerId: "w",
    availabilityZone: "a",
    cpuMilli: 8_000,
    runTimeFactor: 1,
    leaseMs: LEASE_MS,
    clockRate,

    taskOf: () => ({ cpuMilli: 1_000, runMs: 60_000, fails: false }),
    onStart: () => {},
    onCompletion: () => {},
  });
}

type Worker = ReturnType<typeof createWorker>;

function start(
  worker: Worker,
  { run = 1, leaseEndsMs, nowMs }: {
    run?: number;
    leaseEndsMs: number;
    nowMs: number;
  },
): string {
  const call = {
    type: "startTask" as const,
    workerId: "w",
    address: "w",
    taskName: "t",
    run,
    spec: "",
    fence: 1,
    leaseEndsMs,
  };
  worker.advance(nowMs);
  const outcome = worker.start(call, nowMs);
  return outcome.kind === "refused" ? outcome.reason : outcome.kind;
}

/** Polls a worker, and returns the numbers of the runs that go on. */
function poll(
  worker: Worker,
  { leaseEndsMs, nowMs }: { leaseEndsMs: number | null; nowMs: number },
): number[] {
  const call = {
    type: "hold" as const,
    workerId: "w",
    address: "w",
    callId: 1,
    fence: 1,
    lastSeenEnd: 0,
    leaseEndsMs,
    waitMs: 0,
  };
  const outcome = worker.poll(call, nowMs, nowMs);
  return outcome?.kind === "held" ? outcome.running.map(({ run }) => run) : [];
}

test("a renewal doesn't bring back a run whose lease has expired", () => {
  const worker = createWorker();
  expect(start(worker, { leaseEndsMs: 500, nowMs: 0 })).toEqual("started");
  expect(poll(worker, { leaseEndsMs: 1_600, nowMs: 600 })).toEqual([]);
});

test("a refused start of an old run extends the lease", () => {
  const worker = createWorker();
  expect(start(worker, { run: 2, leaseEndsMs: 500, nowMs: 0 }))
    .toEqual("started");
  expect(start(worker, { run: 1, leaseEndsMs: 900, nowMs: 400 }))
    .toEqual("oldRun");
  expect(poll(worker, { leaseEndsMs: null, nowMs: 800 })).toEqual([2]);
  expect(poll(worker, { leaseEndsMs: null, nowMs: 1_000 })).toEqual([]);
});

test("a lease lasts longer on a clock that runs slow", () => {
  const worker = createWorker({ clockRate: 0.5 });
  expect(start(worker, { leaseEndsMs: 500, nowMs: 0 })).toEqual("started");
  expect(poll(worker, { leaseEndsMs: null, nowMs: 900 })).toEqual([1]);
  expect(poll(worker, { leaseEndsMs: null, nowMs: 1_100 })).toEqual([]);
});
