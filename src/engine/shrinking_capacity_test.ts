import { test } from "node:test";
import { expect } from "earl";
import type { JobSpec, WorkerInfo } from "./schemas.ts";
import {
  createTestInstance,
  createTestLeader,
  effectsOf,
  type TestInstance,
  testJob,
  testSubmission,
  testWorker,
} from "./testing.ts";
import type { Effect, RunningRow } from "./types.ts";

const JOB_ID = "00000000000000aa";
const NEXT_ID = "00000000000000bb";

type Capacity = Partial<
  Pick<WorkerInfo, "cpuMilli" | "memoryMb" | "accelerators">
>;

/** What the tasks of these tests need: two fit on a worker of 32 cores. */
const job: JobSpec = {
  ...testJob(1),
  steps: [{ ...testJob(1).steps[0]!, memoryMb: 400, accelerators: 2 }],
};
const full: Required<Capacity> = {
  cpuMilli: 32_000,
  memoryMb: 1_000,
  accelerators: 4,
};

function listWorker(instance: TestInstance, capacity: Capacity): Effect[] {
  const workers = [{ ...testWorker("w1"), ...full, ...capacity }];
  return instance.after(1, { type: "workersRead", workers });
}

function submit(instance: TestInstance, jobId: string): Effect[] {
  return instance.receive("p", testSubmission({ jobId, job }));
}

function startsOf(effects: readonly Effect[]): string[] {
  return effectsOf(effects, "startTask").map(({ taskName }) =>
    taskName.slice(0, 16)
  );
}

/** A leader with one worker, on which a task of `JOB_ID` runs. */
function createBusyLeader(): TestInstance {
  const leader = createTestInstance();
  listWorker(leader, {});
  leader.tick(1_000);
  leader.tick();
  leader.completePoll("w1");
  leader.tick(100);
  const [start] = effectsOf(submit(leader, JOB_ID), "startTask");
  if (start === undefined) throw new Error("no task was started");
  leader.acknowledgeStart(start);
  leader.tick();
  leader.completePoll("w1", { running: [runningRow(JOB_ID)] });
  return leader;
}

function runningRow(jobId: string): RunningRow {
  return { taskName: `${jobId}.0.0.0`, run: 1, percent: 50 };
}

const resources: { readonly name: string; readonly small: Capacity }[] = [
  { name: "cores", small: { cpuMilli: 20_000 } },
  { name: "memory", small: { memoryMb: 500 } },
  { name: "accelerators", small: { accelerators: 3 } },
];

for (const { name, small } of resources) {
  test(`a worker whose ${name} shrink gets no task beyond them`, () => {
    const leader = createBusyLeader();
    const shrunk = listWorker(leader, small);
    const next = [...shrunk, ...submit(leader, NEXT_ID), ...leader.tick()];
    expect(startsOf(next)).toEqual([]);
  });

  test(`a worker whose ${name} grow again gets the waiting task`, () => {
    const leader = createBusyLeader();
    listWorker(leader, small);
    const next = submit(leader, NEXT_ID);
    next.push(...listWorker(leader, {}), ...leader.tick());
    expect(startsOf(next)).toEqual([NEXT_ID]);
  });
}

test("a worker that shrinks below what it runs gets no task until that ends", () => {
  const leader = createBusyLeader();
  listWorker(leader, { cpuMilli: 10_000 });
  const next = [...submit(leader, NEXT_ID), ...leader.tick()];
  // The stopped run counts until the worker lists its end.
  const gone = leader.receive("p", { type: "withdraw", jobId: JOB_ID });
  expect(effectsOf(gone, "stopTask").length).toEqual(1);
  next.push(...listWorker(leader, { cpuMilli: 20_000 }), ...leader.tick());
  expect(startsOf(next)).toEqual([]);
  const ended = leader.completePoll("w1", {
    finished: [[`${JOB_ID}.0.0.0`, "stopped"]],
  });
  expect(startsOf(ended)).toEqual([NEXT_ID]);
});

test("a leader that takes over a shrunk worker counts the runs it finds", () => {
  const leader = createTestInstance();
  listWorker(leader, { cpuMilli: 20_000 });
  leader.tick(1_000);
  leader.tick();
  const taken = submit(leader, NEXT_ID);
  const found = [
    ...leader.receive(
      "p",
      testSubmission({ jobId: JOB_ID, job, resubmitted: true }),
    ),
    ...leader.completePoll("w1", { running: [runningRow(JOB_ID)] }),
    ...leader.tick(100),
    ...leader.tick(100),
  ];
  expect(startsOf([...taken, ...found])).toEqual([]);
});

test("an older list of a peer doesn't bring back a worker's capacity", () => {
  const leader = createTestLeader();
  leader.after(1, {
    type: "workersRead",
    workers: [{ ...testWorker("w1"), cpuMilli: 10_000 }],
  });
  leader.tick(500);
  leader.receive("p", {
    type: "workers",
    ageMs: 5_000,
    workers: [testWorker("w1")],
  });
  const next = [
    ...leader.receive("p", testSubmission({ jobId: NEXT_ID })),
    ...leader.tick(),
  ];
  expect(startsOf(next)).toEqual([]);
});
