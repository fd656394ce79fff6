import { test } from "node:test";
import { expect } from "earl";
import type { PeerMessageOf } from "./schemas.ts";
import {
  createTestInstance,
  createTestLeader,
  effectsOf,
  TEST_WALL_MS,
  testHeartbeat,
  type TestInstance,
  testInstanceInfo,
  testJob,
  testQueue,
  testSubmission,
  testWorker,
} from "./testing.ts";
import type { Effect } from "./types.ts";

const JOB_ID = "00000000000000aa";

function submission(
  fields: Partial<PeerMessageOf<"submit">> = {},
): PeerMessageOf<"submit"> {
  return testSubmission({ jobId: JOB_ID, job: testJob(2), ...fields });
}

function callerSubmit(instance: TestInstance): Effect[] {
  return instance.after(0, {
    type: "callerSubmit",
    requestId: "r1",
    jobId: JOB_ID,
    queue: testQueue,
    job: testJob(2),
    timeoutMs: 6_000,
    answerAt: "ended",
  });
}

function startsOf(effects: readonly Effect[]): string[] {
  return effectsOf(effects, "startTask").map((effect) => effect.taskName);
}

function runningRow(index: number, run = 1) {
  return { taskName: `${JOB_ID}.0.0.${index}`, run, percent: 0 };
}

test("a leader starts tasks that fit and answers once all are done", () => {
  const leader = createTestLeader();
  leader.tick(2_000);
  const effects = callerSubmit(leader);
  expect(startsOf(effects).length).toEqual(2);
  leader.tick();
  const finished = [0, 1].map((index): [string, "done"] => [
    `${JOB_ID}.0.0.${index}`,
    "done",
  ]);
  const workerId = effectsOf(effects, "startTask")[0]?.workerId ?? "";
  const answers = effectsOf(
    leader.completePoll(workerId, { finished }),
    "answerCaller",
  );
  expect(answers.map((answer) => answer.reply.kind)).toEqual(["done"]);
});

test("tasks beyond the capacity of the workers are not started", () => {
  const leader = createTestLeader();
  const job = testJob(6);
  const effects = leader.receive("p", submission({ job }));
  expect(startsOf(effects).length).toEqual(4);
});

// The new leader may have started the job since.
test("a refusal by a previous leader is not passed to the caller", () => {
  const instance = createTestInstance({ peers: ["old", "new"] });
  instance.receive("old", testHeartbeat({ isLeader: true, term: 512 }));
  const [first] = effectsOf(callerSubmit(instance), "sendPeer");
  instance.receive("new", testHeartbeat({ isLeader: true, term: 1_024 }));
  const submissionId = first?.message.type === "submit"
    ? first.message.submissionId
    : "";
  const effects = instance.receive("old", {
    type: "jobEnded",
    jobId: JOB_ID,
    submissionId,
    outcome: { kind: "refused", reason: "overloaded", retryAfterMs: 250 },
  });
  expect(effectsOf(effects, "answerCaller")).toEqual([]);
});

test("a refused submission that is repeated is refused, not started", () => {
  const leader = createTestLeader();
  const tooLate = submission({ timeLeftMs: 1 });
  for (let round = 0; round < 2; round += 1) {
    const effects = leader.receive("p", tooLate);
    expect(startsOf(effects)).toEqual([]);
    const messages = effectsOf(effects, "sendPeer").map((sent) => sent.message);
    expect(
      messages.map((message) =>
        message.type === "jobEnded" && message.outcome.kind
      ),
    ).toEqual(["refused"]);
  }
});

test("a job that a previous leader may have started is not refused", () => {
  const leader = createTestLeader();
  const late = submission({ ageMs: 5_000, timeLeftMs: 900, resubmitted: true });
  const effects = leader.receive("p", late);
  const types = effectsOf(effects, "sendPeer").map((sent) => sent.message.type);
  expect(types.includes("jobEnded")).toEqual(false);
});

// The previous leader may have started tasks of the job on any worker.
test("a resubmitted job waits until the lists of all workers are read", () => {
  const instance = createTestInstance();
  const workers = [testWorker("w1"), testWorker("w2")];
  instance.after(0, { type: "workersRead", workers });
  instance.tick(1_000);
  instance.tick();
  instance.completePoll("w1");
  instance.tick(100);
  const job = submission({ resubmitted: true });
  expect(startsOf(instance.receive("p", job))).toEqual([]);
  instance.completePoll("w2", { running: [runningRow(0), runningRow(1)] });
  expect(startsOf(instance.tick(100))).toEqual([]);
  const finished: [string, "done"][] = [[`${JOB_ID}.0.0.0`, "done"]];
  const effects = instance.completePoll("w2", { finished });
  expect(startsOf(effects)).toEqual([]);
});

test("a job resubmitted as new waits for workers that may run it", () => {
  const instance = createTestInstance();
  const workers = [testWorker("w1"), testWorker("w2")];
  instance.after(0, { type: "workersRead", workers });
  instance.tick(1_000);
  instance.tick();
  instance.completePoll("w1");
  instance.tick(100);
  // The job's first entry and leader are gone, so it is not known that a leader
  // had the job before.
  expect(startsOf(instance.receive("p", submission()))).toEqual([]);
});

test("a worker with a run of unknown size gets no tasks", () => {
  const instance = createTestInstance();
  instance.after(0, { type: "workersRead", workers: [testWorker("w1")] });
  instance.tick(1_000);
  instance.tick();
  instance.completePoll("w1", {
    running: [runningRow(0), { taskName: "bb.0.0.0", run: 1, percent: 0 }],
  });
  instance.receive("p", submission({ resubmitted: true }));
  instance.tick(70);
  const other = submission({ jobId: "cc", job: testJob(1) });
  expect(startsOf(instance.receive("p", other))).toEqual([]);
});

// The runs may belong to another leader, which relies on the expiry of their
// leases.
test("polls renew no lease while unattached runs are on the worker", () => {
  const instance = createTestInstance();
  instance.after(0, { type: "workersRead", workers: [testWorker("w1")] });
  instance.tick(1_000);
  instance.tick();
  const effects = instance.completePoll("w1", { running: [runningRow(0)] });
  const polls = effectsOf(effects, "hold");
  expect(polls.map((poll) => poll.leaseEndsMs)).toEqual([null]);
  const stops = effectsOf(instance.tick(150), "stopTask");
  expect(stops.map((stop) => stop.taskName)).toEqual([`${JOB_ID}.0.0.0`]);
});

// The start may still reach the worker. Once the worker has seen a higher token,
// the run either is in its list or never starts.
test("an unanswered start is resolved under a higher token, then retried", () => {
  const leader = createTestLeader();
  const effects = leader.receive("p", submission({ job: testJob(1) }));
  const [start] = effectsOf(effects, "startTask");
  const fence = start?.fence ?? 0;
  const workerId = start?.workerId ?? "";
  const effectsOnTimeout = leader.after(200, {
    type: "startCompleted",
    workerId,
    taskName: `${JOB_ID}.0.0.0`,
    run: 1,
    fence,
    outcome: { kind: "unknown", detail: "timeout" },
  });
  const polls = effectsOf(effectsOnTimeout, "hold");
  expect(polls.map((poll) => poll.fence)).toEqual([fence + 1]);
  const retries = effectsOf(leader.completePoll(workerId), "startTask");
  expect(retries.map((retry) => retry.run)).toEqual([2]);
});

// Runs that the other owner stopped are not listed any more, but may occupy the
// worker until the stop is complete.
test("a worker acquired from another owner gets no tasks in its cool-down", () => {
  const leader = createTestLeader();
  for (const workerId of ["w1", "w2"]) {
    const worker = leader.state.scheduler?.workers.get(workerId);
    leader.after(0, {
      type: "startCompleted",
      workerId,
      taskName: "none",
      run: 1,
      fence: 0,
      outcome: { kind: "started", clockMs: 0 },
    });
    if (worker !== undefined) worker.nextPollAtMs = 0;
    leader.tick();
    leader.after(1, {
      type: "pollCompleted",
      workerId,
      callId: worker?.pollCallId ?? 0,
      outcome: { kind: "fenced" },
    });
  }
  leader.tick(250);
  leader.completePoll("w1");
  leader.completePoll("w2");
  expect(startsOf(leader.receive("p", submission()))).toEqual([]);
  expect(startsOf(leader.tick(70)).length).toEqual(2);
});

// The worker accepted the poll under a token that is no longer valid.
test("a poll sent before a worker was lost does not make it usable", () => {
  const leader = createTestLeader();
  const effects = leader.receive("p", submission({ job: testJob(1) }));
  const [start] = effectsOf(effects, "startTask");
  const workerId = start?.workerId ?? "";
  leader.tick();
  const worker = leader.state.scheduler?.workers.get(workerId);
  const callId = worker?.pollCallId ?? 0;
  leader.after(5, {
    type: "startCompleted",
    workerId,
    taskName: `${JOB_ID}.0.0.0`,
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
  leader.after(100, { type: "pollCompleted", workerId, callId, outcome });
  expect(worker?.phase).toEqual("lost");
});

// The leases of its runs must expire, and a poll would renew them.
test("a worker released to another partition side is not polled again", () => {
  const leader = createTestLeader();
  leader.tick(2_000);
  const instances = ["p", "q", "r"].map((instanceId) => ({
    instanceId,
    availabilityZone: "caxias",
    region: "sul",
    address: `${instanceId}:1`,
    bornMs: 0,
  }));
  leader.after(0, { type: "instancesRead", instances });
  for (const { instanceId } of instances) {
    leader.receive(instanceId, testHeartbeat({ bornMs: 0 }));
  }
  leader.after(0, {
    type: "callerSubmit",
    requestId: "r9",
    jobId: JOB_ID,
    queue: testQueue,
    job: testJob(4),
    timeoutMs: 6_000,
    answerAt: "ended",
  });
  leader.tick();
  const workers = [...leader.state.scheduler?.workers.values() ?? []];
  const callIds = workers.map((worker) => worker.pollCallId);
  leader.tick(1_400);
  const index = workers.findIndex((worker) => worker.released);
  const released = workers[index];
  const effects = leader.after(1, {
    type: "pollCompleted",
    workerId: released?.info.workerId ?? "",
    callId: callIds[index] ?? 0,
    outcome: {
      kind: "held",
      clockMs: 0,
      bornMs: 1,
      running: [...released?.runs.values() ?? []].map((run) => ({
        taskName: run.taskName,
        run: run.run,
        percent: 0,
      })),
      finished: [],
    },
  });
  expect(effectsOf(effects, "hold")).toEqual([]);
  expect(released?.phase).toEqual("lost");
});

test("a new instance does not become leader while its peer follows one", () => {
  const instance = createTestInstance({ peers: ["p"] });
  instance.after(0, { type: "workersRead", workers: [testWorker("w1")] });
  for (let round = 0; round < 20; round += 1) {
    instance.receive(
      "p",
      testHeartbeat({ leaderId: "far", term: 512, sentAtMs: round }),
    );
    instance.tick(50);
  }
  expect(instance.state.scheduler).toEqual(null);
});

const rivalLeaders = [
  {
    name: "a higher term outranks a lower one",
    claim: { term: Number.MAX_SAFE_INTEGER - 1, provisional: false },
    isFollowed: true,
  },
  {
    name: "a lower term does not outrank a higher one",
    claim: { term: 512, provisional: false },
    isFollowed: false,
  },
  {
    name: "a provisional leader does not outrank a confirmed one",
    claim: { term: Number.MAX_SAFE_INTEGER - 1, provisional: true },
    isFollowed: false,
  },
];

for (const { name, claim, isFollowed } of rivalLeaders) {
  test(`rival leaders: ${name}`, () => {
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
    leader.receive("p", testHeartbeat({ isLeader: true, ...claim }));
    expect(leader.state.leaderId).toEqual(isFollowed ? "p" : "self");
  });
}

// A later heartbeat on a newer connection can arrive first.
test("a heartbeat that a newer one has overtaken is ignored", () => {
  const instance = createTestInstance({ peers: ["p"] });
  instance.receive("p", testHeartbeat({ sentAtMs: 900 }));
  instance.receive(
    "p",
    testHeartbeat({ sentAtMs: 100, isLeader: true, term: 9 }),
  );
  expect(instance.state.leaderId).toEqual(null);
});

const restarts = [
  { name: "later start time", bornMs: TEST_WALL_MS },
  { name: "earlier start time, clock set back", bornMs: TEST_WALL_MS - 90_000 },
];

// The monotonic clock restarts with the process, so the heartbeats of the new
// incarnation look older than those of the previous one.
for (const { name, bornMs } of restarts) {
  test(`heartbeats of a restarted peer are not ignored: ${name}`, () => {
    const instance = createTestInstance({ peers: ["p"] });
    instance.receive("p", testHeartbeat({ sentAtMs: 9_000 }));
    const restarted = { ...testInstanceInfo("p"), bornMs };
    instance.receive("p", { type: "hello", instance: restarted, known: [] });
    const claim = { bornMs, sentAtMs: 5, isLeader: true, term: 512 };
    instance.receive("p", testHeartbeat(claim));
    expect(instance.state.leaderId).toEqual("p");
  });
}

// The peers may have another leader by now, and jobs that waited here may run
// elsewhere.
test("a leader whose process was paused steps down", () => {
  const leader = createTestLeader();
  leader.after(0, { type: "processPaused", pausedMs: 1_500 });
  expect(leader.state.scheduler).toEqual(null);
  expect(startsOf(leader.receive("p", submission()))).toEqual([]);
});

// An entry across a network partition resubmits the job to another leader.
test("runs of a job whose entry is not heard from are stopped", () => {
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
  leader.receive("p", submission());
  expect(effectsOf(leader.tick(700), "stopTask").length).toEqual(0);
  expect(effectsOf(leader.tick(100), "stopTask").length).toEqual(2);
});

test("a draining leader reports its successor and the done tasks", () => {
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
    leader.receive(instanceId, testHeartbeat({ bornMs: 0 }));
  }
  leader.receive("p", submission());
  const worker = [...leader.state.scheduler?.workers.values() ?? []]
    .find((candidate) => candidate.runs.size > 0);
  const finished: [string, "done"][] = [[`${JOB_ID}.0.0.0`, "done"]];
  leader.completePoll(worker?.info.workerId ?? "", { finished });
  const effects = leader.after(0, { type: "drainRequested" });
  const messages = effectsOf(effects, "sendPeer").map((sent) => sent.message)
    .filter((message) => message.type === "released");
  expect(messages.length).toEqual(2);
  expect(messages[0]?.jobs).toEqual([
    { jobId: JOB_ID, doneTasks: [`${JOB_ID}.0.0.0`] },
  ]);
  expect(leader.state.scheduler).toEqual(null);
});

test("a draining worker gets no tasks", () => {
  const leader = createTestLeader();
  const workers = ["w1", "w2"].map((workerId) => ({
    ...testWorker(workerId),
    draining: true,
  }));
  leader.after(0, { type: "workersRead", workers });
  expect(startsOf(callerSubmit(leader))).toEqual([]);
});

test("a configuration is not replaced by an older one", () => {
  const instance = createTestInstance();
  const { configuration } = instance.state;
  if (configuration === null) throw new Error("configuration is missing");
  const older = { ...configuration, version: 0, queues: [] };
  instance.after(0, { type: "configurationRead", configuration: older });
  expect(instance.state.configuration?.version).toEqual(1);
});
