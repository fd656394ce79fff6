import { test } from "node:test";
import { expect } from "earl";
import type { PeerMessageOf } from "./schemas.ts";
import {
  createTestInstance,
  effectsOf,
  openRecords,
  TEST_WALL_MS,
  testHeartbeat,
  type TestInstance,
  testInstanceInfo,
  testJob,
  testQueue,
  testStoredRecord,
  testWorker,
} from "./testing.ts";
import type { Effect } from "./types.ts";

const JOB_ID = "00000000000000aa";
const TASK_NAME = `${JOB_ID}.0.0.0`;
const FIRST_START_MS = TEST_WALL_MS - 60_000;
const SECOND_START_MS = TEST_WALL_MS - 1_000;
const FIRST_TERM = 900;
const SECOND_TERM = 901;

type Heartbeat = Partial<PeerMessageOf<"heartbeat">>;

function hear(
  instance: TestInstance,
  from: string,
  fields: Heartbeat,
): Effect[] {
  const sentAtMs = instance.state.nowMs;
  return instance.receive(from, testHeartbeat({ sentAtMs, ...fields }));
}

function greet(instance: TestInstance, from: string, bornMs: number): Effect[] {
  return instance.receive(from, {
    type: "hello",
    instance: { ...testInstanceInfo(from), bornMs },
    known: [],
  });
}

/** The heartbeat of the leader `a`, by its incarnation and its term. */
function claim(bornMs: number, term: number): Heartbeat {
  return { bornMs, isLeader: true, leaderId: "a", term };
}

function callerSubmit(follower: TestInstance, jobId: string): Effect[] {
  return follower.after(0, {
    type: "callerSubmit",
    requestId: `r.${jobId}`,
    jobId,
    queue: testQueue,
    job: testJob(1),
    timeoutMs: 6_000,
    answerAt: "ended",
  });
}

function submissionsOf(effects: readonly Effect[]) {
  return effectsOf(effects, "sendPeer").flatMap(({ instanceId, message }) =>
    message.type === "submit"
      ? [{ to: instanceId, jobId: message.jobId, term: message.term }]
      : []
  );
}

function createFollower(): TestInstance {
  const follower = createTestInstance({ peers: ["a", "b"] });
  follower.after(0, { type: "workersRead", workers: [testWorker("w1")] });
  hear(follower, "a", claim(FIRST_START_MS, FIRST_TERM));
  return follower;
}

// The messages of two incarnations are on different connections, so those of the
// previous one may arrive after the first one of the present, such as at an
// instance whose process was paused meanwhile.
test("a late claim of a leader that has restarted gets no job", () => {
  const follower = createFollower();
  expect(submissionsOf(callerSubmit(follower, JOB_ID)).length).toEqual(1);
  greet(follower, "a", SECOND_START_MS);
  hear(follower, "a", claim(FIRST_START_MS, FIRST_TERM));
  expect(submissionsOf(callerSubmit(follower, "00000000000000bb")))
    .toEqual([]);
});

const lateMessages: {
  name: string;
  receive: (follower: TestInstance) => Effect[];
}[] = [
  {
    name: "heartbeat",
    receive: (follower) =>
      hear(follower, "a", claim(FIRST_START_MS, FIRST_TERM)),
  },
  {
    name: "introduction",
    receive: (follower) => greet(follower, "a", FIRST_START_MS),
  },
];

for (const { name, receive } of lateMessages) {
  test(`a late ${name} of a leader's previous incarnation costs it no job`, () => {
    const follower = createFollower();
    greet(follower, "a", SECOND_START_MS);
    hear(follower, "a", claim(SECOND_START_MS, SECOND_TERM));
    const to = { to: "a", term: SECOND_TERM };
    expect(submissionsOf(callerSubmit(follower, JOB_ID)))
      .toEqual([{ ...to, jobId: JOB_ID }]);
    const effects = [
      ...receive(follower),
      ...follower.tick(),
      ...callerSubmit(follower, "00000000000000bb"),
    ];
    expect(submissionsOf(effects))
      .toEqual([{ ...to, jobId: "00000000000000bb" }]);
  });
}

/** An instance that has become the leader, `b` having owned the records. */
function createSuccessor(): TestInstance {
  const instance = createTestInstance({ peers: ["a", "b"] });
  instance.after(0, { type: "workersRead", workers: [testWorker("w1")] });
  const noRecords = {
    ...claim(FIRST_START_MS, FIRST_TERM),
    holdsRecords: true,
    recordsExist: false,
  };
  hear(instance, "a", noRecords);
  greet(instance, "a", SECOND_START_MS);
  hear(instance, "b", {
    isLeader: true,
    leaderId: "b",
    term: SECOND_TERM,
    holdsRecords: true,
    recordsExist: true,
  });
  hear(instance, "a", noRecords);
  while (instance.state.scheduler === null) {
    hear(instance, "a", { bornMs: SECOND_START_MS });
    instance.tick(100);
  }
  return instance;
}

// A leader that believes that there are no records has the worker discard the
// completion, and starts the task again once it has read the record of its job.
test("a late word of no records makes no worker discard a completion", () => {
  const leader = createSuccessor();
  const effects = leader.completePoll("w1", {
    finished: [[TASK_NAME, "done"]],
  });
  for (let passedMs = 0; passedMs < 200; passedMs += 25) {
    hear(leader, "a", { bornMs: SECOND_START_MS });
    effects.push(...leader.tick(), ...leader.completePoll("w1"));
  }
  const acknowledged = effectsOf(effects, "hold")
    .map(({ lastSeenEnd }) => lastSeenEnd);
  expect(acknowledged.every((sequence) => sequence === 0)).toEqual(true);
  const opened = openRecords(leader, [testStoredRecord({ jobId: JOB_ID })]);
  for (let passedMs = 0; passedMs < 3_000; passedMs += 25) {
    hear(leader, "a", { bornMs: SECOND_START_MS });
    opened.push(...leader.tick(), ...leader.completePoll("w1"));
  }
  expect(effectsOf(opened, "startTask")).toEqual([]);
  const rows = effectsOf(opened, "writeRecords").flatMap(({ rows }) => rows);
  expect(rows.map(({ record }) => record?.outcome))
    .toEqual([{ kind: "done" }]);
});
