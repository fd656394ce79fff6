import { test } from "node:test";
import { expect } from "earl";
import {
  createTestInstance,
  createTestLeader,
  effectsOf,
  TEST_WALL_MS,
  testHeartbeat,
  type TestInstance,
  testInstance,
  testJob,
  testQueue,
  testWorker,
} from "./testing.ts";
import type { PeerMessageOf } from "./schemas.ts";
import type { Effect } from "./types.ts";

const JOB = "00000000000000aa";

function submission(
  fields: Partial<PeerMessageOf<"submit">> = {},
): PeerMessageOf<"submit"> {
  return {
    type: "submit",
    jobId: JOB,
    submissionId: "p.1.1",
    queue: testQueue,
    job: testJob(2),
    availabilityZone: "poa",
    ageMs: 0,
    timeLeftMs: 6_000,
    resubmitted: false,
    leftCell: false,
    answerAt: "ended",
    doneTasks: [],
    ...fields,
  };
}

function callerSubmit(instance: TestInstance): Effect[] {
  return instance.after(0, {
    type: "callerSubmit",
    requestId: "r1",
    jobId: JOB,
    queue: testQueue,
    job: testJob(2),
    timeoutMs: 6_000,
    answerAt: "ended",
  });
}

function startsOf(effects: readonly Effect[]): string[] {
  return effectsOf(effects, "startTask").map((effect) => effect.taskName);
}

function run(index: number, runNumber = 1) {
  return { taskName: `${JOB}.0.0.${index}`, run: runNumber, percent: 0 };
}

test("a leader starts tasks where they fit and answers when all are done", () => {
  const leader = createTestLeader();
  const effects = callerSubmit(leader);
  expect(startsOf(effects).length).toEqual(2);
  leader.tick();
  const both = [0, 1].map((index): [string, "done"] => [
    `${JOB}.0.0.${index}`,
    "done",
  ]);
  const worker = effectsOf(effects, "startTask")[0]?.workerId ?? "";
  const answers = effectsOf(
    leader.held(worker, { finished: both }),
    "answerCaller",
  );
  expect(answers.map((answer) => answer.reply.kind)).toEqual(["done"]);
});

test("tasks beyond the capacity of the workers wait", () => {
  const leader = createTestLeader();
  const job = testJob(6);
  const effects = leader.hear("p", submission({ job }));
  expect(startsOf(effects).length).toEqual(4);
});

test("a refusal from a leader of the past is not believed", () => {
  const instance = createTestInstance({ peers: ["old", "new"] });
  instance.hear("old", testHeartbeat({ isLeader: true, term: 512 }));
  const [first] = effectsOf(callerSubmit(instance), "sendPeer");
  instance.hear("new", testHeartbeat({ isLeader: true, term: 1_024 }));
  const submissionId = first?.message.type === "submit"
    ? first.message.submissionId
    : "";
  const effects = instance.hear("old", {
    type: "jobEnded",
    jobId: JOB,
    submissionId,
    outcome: { kind: "refused", reason: "overloaded", retryAfterMs: 250 },
  });
  expect(effectsOf(effects, "answerCaller")).toEqual([]);
});

test("a job sent twice to one leader is refused twice, not started", () => {
  const leader = createTestLeader();
  const hopeless = submission({ timeLeftMs: 1 });
  for (let round = 0; round < 2; round += 1) {
    const effects = leader.hear("p", hopeless);
    expect(startsOf(effects)).toEqual([]);
    const told = effectsOf(effects, "sendPeer").map((one) => one.message);
    expect(told.map((one) => one.type === "jobEnded" && one.outcome.kind))
      .toEqual(["refused"]);
  }
});

test("a job that a former leader had is not refused", () => {
  const leader = createTestLeader();
  const late = submission({ ageMs: 5_000, timeLeftMs: 900, resubmitted: true });
  const effects = leader.hear("p", late);
  const told = effectsOf(effects, "sendPeer").map((one) => one.message.type);
  expect(told.includes("jobEnded")).toEqual(false);
});

test("a resubmitted job waits until every worker was read", () => {
  const instance = createTestInstance();
  const workers = [testWorker("w1"), testWorker("w2")];
  instance.after(0, { type: "workersRead", workers });
  instance.tick(1_000);
  instance.tick();
  instance.held("w1");
  instance.tick(100);
  const job = submission({ resubmitted: true });
  expect(startsOf(instance.hear("p", job))).toEqual([]);
  instance.held("w2", { running: [run(0), run(1)] });
  expect(startsOf(instance.tick(100))).toEqual([]);
  const finished: [string, "done"][] = [[`${JOB}.0.0.0`, "done"]];
  const effects = instance.held("w2", { finished });
  expect(startsOf(effects)).toEqual([]);
});

test("a job that comes again as new waits for workers that may run it", () => {
  const instance = createTestInstance();
  const workers = [testWorker("w1"), testWorker("w2")];
  instance.after(0, { type: "workersRead", workers });
  instance.tick(1_000);
  instance.tick();
  instance.held("w1");
  instance.tick(100);
  // Its first entry and leader are gone, so nothing says that it ran before.
  expect(startsOf(instance.hear("p", submission()))).toEqual([]);
});

test("a worker with a run of unknown size takes nothing", () => {
  const instance = createTestInstance();
  instance.after(0, { type: "workersRead", workers: [testWorker("w1")] });
  instance.tick(1_000);
  instance.tick();
  instance.held("w1", {
    running: [run(0), { taskName: "bb.0.0.0", run: 1, percent: 0 }],
  });
  instance.hear("p", submission({ resubmitted: true }));
  instance.tick(70);
  const other = submission({ jobId: "cc", job: testJob(1) });
  expect(startsOf(instance.hear("p", other))).toEqual([]);
});

test("holds renew no lease while unclaimed runs are on the worker", () => {
  const instance = createTestInstance();
  instance.after(0, { type: "workersRead", workers: [testWorker("w1")] });
  instance.tick(1_000);
  instance.tick();
  const effects = instance.held("w1", { running: [run(0)] });
  const holds = effectsOf(effects, "hold");
  expect(holds.map((hold) => hold.leaseEndsMs)).toEqual([null]);
  const stops = effectsOf(instance.tick(150), "stopTask");
  expect(stops.map((stop) => stop.taskName)).toEqual([`${JOB}.0.0.0`]);
});

test("an unanswered start is settled under a higher token", () => {
  const leader = createTestLeader();
  const effects = leader.hear("p", submission({ job: testJob(1) }));
  const [start] = effectsOf(effects, "startTask");
  const fence = start?.fence ?? 0;
  const workerId = start?.workerId ?? "";
  const next = leader.after(200, {
    type: "startEnded",
    workerId,
    taskName: `${JOB}.0.0.0`,
    run: 1,
    fence,
    outcome: { kind: "unknown", detail: "timeout" },
  });
  const holds = effectsOf(next, "hold");
  expect(holds.map((hold) => hold.fence)).toEqual([fence + 1]);
  const again = effectsOf(leader.held(workerId), "startTask");
  expect(again.map((one) => one.run)).toEqual([2]);
});

test("a worker taken back from another holder rests before it takes tasks", () => {
  const leader = createTestLeader();
  for (const workerId of ["w1", "w2"]) {
    const worker = leader.state.scheduler?.workers.get(workerId);
    leader.after(0, {
      type: "startEnded",
      workerId,
      taskName: "none",
      run: 1,
      fence: 0,
      outcome: { kind: "started", clockMs: 0 },
    });
    if (worker !== undefined) worker.nextPollAtMs = 0;
    leader.tick();
    leader.after(1, {
      type: "holdEnded",
      workerId,
      callId: worker?.pollCallId ?? 0,
      outcome: { kind: "fenced" },
    });
  }
  leader.tick(250);
  leader.held("w1");
  leader.held("w2");
  expect(startsOf(leader.hear("p", submission()))).toEqual([]);
  expect(startsOf(leader.tick(70)).length).toEqual(2);
});

test("a hold from before a worker was lost does not make it usable", () => {
  const leader = createTestLeader();
  const effects = leader.hear("p", submission({ job: testJob(1) }));
  const [start] = effectsOf(effects, "startTask");
  const workerId = start?.workerId ?? "";
  leader.tick();
  const worker = leader.state.scheduler?.workers.get(workerId);
  const callId = worker?.pollCallId ?? 0;
  leader.after(5, {
    type: "startEnded",
    workerId,
    taskName: `${JOB}.0.0.0`,
    run: 1,
    fence: start?.fence ?? 0,
    outcome: { kind: "refused", reason: "fenced" },
  });
  const outcome = {
    kind: "held",
    clockMs: 0,
    bornMs: 1,
    running: [],
    finished: [],
  } as const;
  leader.after(100, { type: "holdEnded", workerId, callId, outcome });
  expect(worker?.phase).toEqual("lost");
});

test("a worker given to the other side of a cut is not renewed", () => {
  const leader = createTestLeader();
  const instances = ["p", "q", "r"].map((instanceId) => ({
    instanceId,
    availabilityZone: "caxias",
    region: "sul",
    address: `${instanceId}:1`,
    bornMs: 0,
  }));
  leader.after(0, { type: "instancesRead", instances });
  for (const { instanceId } of instances) {
    leader.hear(instanceId, testHeartbeat({ bornMs: 0 }));
  }
  leader.after(0, {
    type: "callerSubmit",
    requestId: "r9",
    jobId: JOB,
    queue: testQueue,
    job: testJob(4),
    timeoutMs: 6_000,
    answerAt: "ended",
  });
  leader.tick();
  const workers = [...leader.state.scheduler?.workers.values() ?? []];
  const callIds = workers.map((worker) => worker.pollCallId);
  leader.tick(1_400);
  const at = workers.findIndex((worker) => worker.released);
  const released = workers[at];
  const effects = leader.after(1, {
    type: "holdEnded",
    workerId: released?.info.workerId ?? "",
    callId: callIds[at] ?? 0,
    outcome: {
      kind: "held",
      clockMs: 0,
      bornMs: 1,
      running: [...released?.runs.values() ?? []].map((one) => ({
        taskName: one.taskName,
        run: one.run,
        percent: 0,
      })),
      finished: [],
    },
  });
  expect(effectsOf(effects, "hold")).toEqual([]);
  expect(released?.phase).toEqual("lost");
});

test("an instance that joins does not lead while its peers hear a leader", () => {
  const instance = createTestInstance({ peers: ["p"] });
  instance.after(0, { type: "workersRead", workers: [testWorker("w1")] });
  for (let round = 0; round < 20; round += 1) {
    instance.hear(
      "p",
      testHeartbeat({ leaderId: "far", term: 512, sentAtMs: round }),
    );
    instance.tick(50);
  }
  expect(instance.state.scheduler).toEqual(null);
});

const claims = [
  {
    name: "a later term outranks an earlier one",
    heard: { term: Number.MAX_SAFE_INTEGER - 1, provisional: false },
    follows: true,
  },
  {
    name: "an earlier term does not",
    heard: { term: 512, provisional: false },
    follows: false,
  },
  {
    name: "a lead of the smaller side of a cut never does",
    heard: { term: Number.MAX_SAFE_INTEGER - 1, provisional: true },
    follows: false,
  },
];

for (const { name, heard, follows } of claims) {
  test(`claims to lead: ${name}`, () => {
    const leader = createTestLeader();
    leader.after(0, {
      type: "instancesRead",
      instances: [{
        instanceId: "p",
        availabilityZone: "poa",
        region: "sul",
        address: "p:1",
        bornMs: 0,
      }],
    });
    leader.hear("p", testHeartbeat({ isLeader: true, ...heard }));
    expect(leader.state.leaderId).toEqual(follows ? "p" : "self");
  });
}

test("a heartbeat that a newer one overtook changes nothing", () => {
  const instance = createTestInstance({ peers: ["p"] });
  instance.hear("p", testHeartbeat({ sentAtMs: 900 }));
  instance.hear("p", testHeartbeat({ sentAtMs: 100, isLeader: true, term: 9 }));
  expect(instance.state.leaderId).toEqual(null);
});

const rebirths = [
  { name: "later", bornMs: TEST_WALL_MS },
  { name: "earlier, by a clock set back", bornMs: TEST_WALL_MS - 90_000 },
];

for (const { name, bornMs } of rebirths) {
  test(`a peer that started again is heard though its clock is behind: ${name}`, () => {
    const instance = createTestInstance({ peers: ["p"] });
    instance.hear("p", testHeartbeat({ sentAtMs: 9_000 }));
    const reborn = { ...testInstance("p"), bornMs };
    instance.hear("p", { type: "hello", instance: reborn, known: [] });
    const claim = { bornMs, sentAtMs: 5, isLeader: true, term: 512 };
    instance.hear("p", testHeartbeat(claim));
    expect(instance.state.leaderId).toEqual("p");
  });
}

test("a leader that stood still gives up the lead", () => {
  const leader = createTestLeader();
  leader.after(0, { type: "stalled", pausedMs: 1_500 });
  expect(leader.state.scheduler).toEqual(null);
  expect(startsOf(leader.hear("p", submission()))).toEqual([]);
});

test("what runs for an entry that went silent is stopped", () => {
  const leader = createTestLeader();
  leader.after(0, {
    type: "instancesRead",
    instances: [{
      instanceId: "p",
      availabilityZone: "poa",
      region: "sul",
      address: "p:1",
      bornMs: 0,
    }],
  });
  leader.hear("p", submission());
  expect(effectsOf(leader.tick(700), "stopTask").length).toEqual(0);
  expect(effectsOf(leader.tick(100), "stopTask").length).toEqual(2);
});

test("a draining leader names a successor and what is done", () => {
  const leader = createTestLeader();
  const instances = ["p", "q"].map((instanceId) => ({
    instanceId,
    availabilityZone: "poa",
    region: "sul",
    address: `${instanceId}:1`,
    bornMs: 0,
  }));
  leader.after(0, { type: "instancesRead", instances });
  for (const { instanceId } of instances) {
    leader.after(0, { type: "peerUp", instanceId });
    leader.hear(instanceId, testHeartbeat({ bornMs: 0 }));
  }
  leader.hear("p", submission());
  const worker = [...leader.state.scheduler?.workers.values() ?? []]
    .find((one) => one.runs.size > 0);
  const finished: [string, "done"][] = [[`${JOB}.0.0.0`, "done"]];
  leader.held(worker?.info.workerId ?? "", { finished });
  const effects = leader.after(0, { type: "drainRequested" });
  const released = effectsOf(effects, "sendPeer").map((one) => one.message)
    .filter((message) => message.type === "released");
  expect(released.length).toEqual(2);
  expect(released[0]?.jobs).toEqual([
    { jobId: JOB, doneTasks: [`${JOB}.0.0.0`] },
  ]);
  expect(leader.state.scheduler).toEqual(null);
});

test("a leaving worker gets no more tasks", () => {
  const leader = createTestLeader();
  const workers = ["w1", "w2"].map((workerId) => ({
    ...testWorker(workerId),
    draining: true,
  }));
  leader.after(0, { type: "workersRead", workers });
  expect(startsOf(callerSubmit(leader))).toEqual([]);
});

test("a configuration never reverts", () => {
  const instance = createTestInstance();
  const { configuration } = instance.state;
  if (configuration === null) throw new Error("no configuration");
  const older = { ...configuration, version: 0, queues: [] };
  instance.after(0, { type: "configurationRead", configuration: older });
  expect(instance.state.configuration?.version).toEqual(1);
});
