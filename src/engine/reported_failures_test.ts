/**
 * Failures that operators of similar systems reported, played on the engine.
 * docs/PROOFS.md lists which test stands for which report.
 */

import { test } from "node:test";
import { expect } from "earl";
import type { PeerMessageOf } from "./schemas.ts";
import {
  createTestInstance,
  createTestLeader,
  effectsOf,
  testHeartbeat,
  type TestInstance,
  testInstanceInfo,
  testJob,
  testSubmission,
  testWorker,
} from "./testing.ts";
import type { Effect, PollOutcome } from "./types.ts";

const JOB_ID = "00000000000000aa";
const TASK_NAME = `${JOB_ID}.0.0.0`;

function submit(
  leader: TestInstance,
  fields: Partial<PeerMessageOf<"submit">> = {},
): Effect[] {
  const heardAtMs = leader.state.nowMs;
  const message = testSubmission({ jobId: JOB_ID, heardAtMs, ...fields });
  return leader.receive("p", message);
}

function startsOf(effects: readonly Effect[]): string[] {
  return effectsOf(effects, "startTask").map(({ taskName }) => taskName);
}

/** Effects by which a leader acts on workers. */
function actionsOf(effects: readonly Effect[]): Effect[] {
  return effects.filter(({ type }) =>
    type === "startTask" || type === "stopTask" || type === "hold"
  );
}

function startOnly(effects: readonly Effect[]) {
  const [start] = effectsOf(effects, "startTask");
  if (start === undefined) throw new Error("no task was started");
  return start;
}

function failPoll(leader: TestInstance, workerId: string): Effect[] {
  const worker = leader.state.scheduler?.workers.get(workerId);
  const outcome: PollOutcome = { kind: "unreachable", detail: "timeout" };
  const callId = worker?.pollCallId ?? 0;
  return leader.after(1, { type: "pollCompleted", workerId, callId, outcome });
}

function addPeer(leader: TestInstance, instanceId: string): void {
  const info = { ...testInstanceInfo(instanceId), bornMs: 0 };
  leader.after(0, { type: "instancesRead", instances: [info] });
  leader.after(0, { type: "peerUp", instanceId });
  leader.receive(instanceId, testHeartbeat({ bornMs: 0, leaderId: "self" }));
}

test("a run on a worker that is silent for less than its lease goes on", () => {
  const leader = createTestLeader();
  const start = startOnly(submit(leader));
  leader.acknowledgeStart(start);
  const { workerId, taskName, run } = start;
  leader.tick();
  leader.completePoll(workerId, { running: [{ taskName, run, percent: 10 }] });
  const silent: Effect[] = [];
  for (let round = 0; round < 6; round += 1) {
    silent.push(...failPoll(leader, workerId), ...leader.tick(100));
  }
  expect(startsOf(silent)).toEqual([]);
  expect(effectsOf(silent, "stopTask")).toEqual([]);
  const back = leader.completePoll(workerId, {
    running: [{ taskName, run, percent: 60 }],
  });
  expect(startsOf([...back, ...leader.tick()])).toEqual([]);
  const ended = leader.completePoll(workerId, {
    finished: [[taskName, "done"]],
  });
  const outcomes = effectsOf(ended, "sendPeer").map(({ message }) =>
    message.type === "jobEnded" && message.outcome.kind
  );
  expect(outcomes).toEqual(["done"]);
});

test("a job whose entry is silent for less than its limit is not given up", () => {
  const leader = createTestLeader();
  addPeer(leader, "p");
  const start = startOnly(submit(leader));
  const silent = [...leader.tick(400), ...leader.tick(200)];
  expect(effectsOf(silent, "stopTask")).toEqual([]);
  leader.receive("p", testHeartbeat({ bornMs: 0, leaderId: "self" }));
  const later = leader.tick(400);
  expect(effectsOf(later, "stopTask")).toEqual([]);
  expect(leader.state.scheduler?.jobs.get(start.taskName.slice(0, 16))?.outcome)
    .toEqual(null);
});

test("a leader that handed over acts on no worker, whatever arrives later", () => {
  const leader = createTestLeader();
  addPeer(leader, "p");
  const start = startOnly(submit(leader, { job: testJob(6) }));
  leader.after(0, { type: "drainRequested" });
  expect(leader.state.scheduler).toEqual(null);
  const later = [
    ...leader.acknowledgeStart(start),
    ...leader.completePoll(start.workerId, { finished: [[TASK_NAME, "done"]] }),
    ...submit(leader, { jobId: "00000000000000bb" }),
    ...leader.tick(),
    ...leader.tick(200),
  ];
  expect(actionsOf(later)).toEqual([]);
});

test("a successor starts nothing before it has read the workers' lists", () => {
  const successor = createTestInstance({ peers: ["old"] });
  const workers = [testWorker("w1"), testWorker("w2")];
  successor.receive(
    "old",
    testHeartbeat({ isLeader: true, term: 512, leaderId: "old" }),
  );
  successor.after(0, { type: "workersRead", workers });
  const taken = successor.receive("old", {
    type: "released",
    successorId: "self",
    jobs: [],
  });
  const early = [...taken, ...submit(successor, { resubmitted: true })];
  expect(startsOf(early)).toEqual([]);
  early.push(...successor.tick());
  const tokens = effectsOf(early, "hold").map(({ fence }) => fence);
  expect(tokens.length >= 2).toEqual(true);
  // Higher than every token of the previous leader's term.
  expect(tokens.every((fence) => fence > 513 * 512)).toEqual(true);
  const found = successor.completePoll("w1", {
    running: [{ taskName: TASK_NAME, run: 1, percent: 50 }],
  });
  const all = [...found, ...successor.completePoll("w2")];
  expect(startsOf([...all, ...successor.tick(100)])).toEqual([]);
});

test("a leader that was paused beyond its lease acts on no worker", () => {
  const leader = createTestLeader();
  const start = startOnly(submit(leader, { job: testJob(6) }));
  leader.after(3_000, { type: "processPaused", pausedMs: 3_000 });
  const later = [
    ...leader.acknowledgeStart(start),
    ...leader.completePoll(start.workerId, { finished: [[TASK_NAME, "done"]] }),
    ...submit(leader, { jobId: "00000000000000bb" }),
  ];
  expect(actionsOf(later)).toEqual([]);
});

test("an older list of workers doesn't bring back one that left", () => {
  const instance = createTestInstance({ peers: ["p"] });
  const leaving = { ...testWorker("w1"), draining: true };
  instance.after(0, { type: "workersRead", workers: [leaving] });
  instance.tick();
  instance.receive("p", {
    type: "workers",
    ageMs: 5_000,
    workers: [testWorker("w1"), testWorker("gone")],
  });
  const listed = [...instance.state.workers.values()];
  expect(listed.map(({ workerId, draining }) => [workerId, draining]))
    .toEqual([["w1", true]]);
});

test("a peer's older configuration doesn't bring back what was withdrawn", () => {
  const instance = createTestInstance({ peers: ["p"] });
  const { configuration } = instance.state;
  if (configuration === null) throw new Error("configuration is missing");
  const newer = { ...configuration, version: 7, queues: [] };
  instance.after(0, { type: "configurationRead", configuration: newer });
  instance.receive("p", { type: "configuration", configuration });
  expect(instance.state.configuration?.version).toEqual(7);
});

test("a completion whose answer was lost is found, and its task not rerun", () => {
  const leader = createTestLeader();
  const start = startOnly(submit(leader));
  leader.acknowledgeStart(start);
  const { workerId, taskName } = start;
  leader.tick();
  const lost = [...failPoll(leader, workerId), ...leader.tick()];
  expect(startsOf(lost)).toEqual([]);
  const found = leader.completePoll(workerId, {
    finished: [[taskName, "done"]],
  });
  expect(startsOf([...found, ...leader.tick()])).toEqual([]);
  const outcomes = effectsOf(found, "sendPeer").map(({ message }) =>
    message.type === "jobEnded" && message.outcome.kind
  );
  expect(outcomes).toEqual(["done"]);
});

test("a job whose start got no answer is never refused as not run", () => {
  const leader = createTestLeader();
  const start = startOnly(submit(leader, { timeLeftMs: 900 }));
  const { workerId, run, fence } = start;
  const effects = leader.after(200, {
    type: "startCompleted",
    workerId,
    taskName: TASK_NAME,
    run,
    fence,
    outcome: { kind: "unknown", detail: "timeout" },
  });
  for (let round = 0; round < 12; round += 1) {
    effects.push(...failPoll(leader, workerId), ...leader.tick(100));
  }
  const outcomes = effectsOf(effects, "sendPeer").flatMap(({ message }) =>
    message.type === "jobEnded" ? [message.outcome.kind] : []
  );
  expect(outcomes).toEqual(["unknown"]);
});
