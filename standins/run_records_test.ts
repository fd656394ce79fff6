import { test } from "node:test";
import { expect } from "earl";
import { createRunRecorder } from "./run_records.ts";
import { createFakeWorker } from "./worker_model.ts";

const RUN_MS = 100;
const LEASE_MS = 1_000;

function createRecordedWorker() {
  const recorder = createRunRecorder({ nowMs: () => 0 });
  const worker = createFakeWorker({
    workerId: "w",
    availabilityZone: "a",
    cpuMilli: 8_000,
    runTimeFactor: 1,
    leaseMs: LEASE_MS,
    taskOf: () => ({ cpuMilli: 1_000, runMs: RUN_MS, fails: false }),
    onStart: recorder.onStart,
    onCompletion: recorder.onCompletion,
  });
  worker.start({
    type: "startTask",
    workerId: "w",
    address: "w",
    taskName: "t",
    run: 1,
    spec: "",
    fence: 7,
    leaseEndsMs: LEASE_MS,
  }, 0);
  return { recorder, worker };
}

const poll = {
  type: "hold" as const,
  workerId: "w",
  address: "w",
  callId: 1,
  fence: 7,
  lastSeenEnd: 1,
  leaseEndsMs: null,
  waitMs: 0,
};

test("a run is recorded with its token and the time at which it ended", () => {
  const { recorder, worker } = createRecordedWorker();
  worker.advance(700);
  const [record] = recorder.records;
  expect(record?.fence).toEqual(7);
  expect(record?.end).toEqual("done");
  const tookMs = (record?.endedAtMs ?? 0) - (record?.startedAtMs ?? 0);
  expect(Math.round(tookMs)).toEqual(RUN_MS);
});

test("a completion is noted by a poll under a valid token only", () => {
  const { recorder, worker } = createRecordedWorker();
  worker.advance(700);
  recorder.onPoll(worker, { ...poll, fence: 6 });
  expect(recorder.records[0]?.notedAtMs).toEqual(null);
  recorder.onPoll(worker, poll);
  expect(recorder.records[0]?.notedAtMs).not.toEqual(null);
});

test("a run on a worker that goes down ends as broken", () => {
  const { recorder, worker } = createRecordedWorker();
  worker.crash();
  expect(recorder.records[0]?.end).toEqual("broken");
  expect(recorder.records[0]?.isWorkerUp).toEqual(false);
});
