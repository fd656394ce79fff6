import { test } from "node:test";
import { expect } from "earl";
import type { PeerMessageOf } from "./schemas.ts";
import {
  createTestInstance,
  effectsOf,
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
const WORKER_ID = "w1";
/** Time after which an entry that hears nothing from its leader has left it. */
const LEAVE_MS = 500;
const HEARTBEAT_MS = 150;

const startsIn = (effects: readonly Effect[]): number =>
  effectsOf(effects, "startTask").length;

function hear(
  leader: TestInstance,
  from: string,
  fields: Partial<PeerMessageOf<"heartbeat">> = {},
): Effect[] {
  const { nowMs, leaderTerm } = leader.state;
  const heartbeat = testHeartbeat({
    sentAtMs: nowMs,
    leaderId: "self",
    term: leaderTerm,
    heardAtMs: nowMs,
    ...fields,
  });
  return leader.receive(from, heartbeat);
}

/**
 * A leader with a free worker. The entries `p` and `q` are in its cell, `z` is in
 * another one.
 */
function createLeader(): TestInstance {
  const leader = createTestInstance({ peers: ["p", "q"] });
  const distant = { ...testInstanceInfo("z"), availabilityZone: "caxias" };
  leader.after(0, { type: "instancesRead", instances: [distant] });
  leader.after(0, { type: "peerUp", instanceId: "z" });
  leader.after(0, { type: "workersRead", workers: [testWorker(WORKER_ID)] });
  const ids = ["p", "q", "z"];
  for (const id of ids) hear(leader, id, { leaderId: null });
  leader.tick(1_000);
  while (leader.state.scheduler === null) leader.tick(100);
  leader.completePoll(WORKER_ID);
  leader.tick(100);
  for (const id of ids) hear(leader, id);
  return leader;
}

function submit(
  leader: TestInstance,
  from: string,
  fields: Partial<PeerMessageOf<"submit">> = {},
): Effect[] {
  return leader.receive(from, testSubmission({ jobId: JOB_ID, ...fields }));
}

/** A leader that has received a submission that was delayed. */
function createLeaderWithDelayed(from: string): TestInstance {
  const leader = createLeader();
  const heardAtMs = leader.state.nowMs - LEAVE_MS;
  expect(startsIn(submit(leader, from, { heardAtMs }))).toEqual(0);
  expect(startsIn(leader.tick())).toEqual(0);
  return leader;
}

const submissions = [
  { heardMsAgo: 0, starts: 1 },
  { heardMsAgo: LEAVE_MS - 1, starts: 1 },
  { heardMsAgo: LEAVE_MS, starts: 0 },
];

for (const { heardMsAgo, starts } of submissions) {
  test(`a job of an entry that heard its leader ${heardMsAgo} ms ago starts at once: ${starts}`, () => {
    const leader = createLeader();
    const heardAtMs = leader.state.nowMs - heardMsAgo;
    expect(startsIn(submit(leader, "p", { heardAtMs }))).toEqual(starts);
  });
}

for (const termsAgo of [0, 1]) {
  test(`a job of a submission for ${termsAgo} terms ago is paused: ${termsAgo}`, () => {
    const leader = createLeader();
    const { nowMs: heardAtMs, leaderTerm } = leader.state;
    const term = leaderTerm - termsAgo;
    const effects = submit(leader, "p", { heardAtMs, term });
    const paused = effectsOf(effects, "log")
      .filter(({ text }) => text === "job received")
      .map(({ fields }) => Number(fields["paused"]));
    expect(paused).toEqual([termsAgo]);
  });
}

const heartbeats: {
  name: string;
  from?: string;
  fields: (leader: TestInstance) => Partial<PeerMessageOf<"heartbeat">>;
  starts: number;
}[] = [
  { name: "a current one", fields: () => ({}), starts: 1 },
  {
    name: "one that was delayed as well",
    fields: ({ state }) => ({ heardAtMs: state.nowMs - LEAVE_MS }),
    starts: 0,
  },
  {
    name: "one of a follower of another leader",
    fields: () => ({ leaderId: "q" }),
    starts: 0,
  },
  {
    name: "one of a follower in an earlier term",
    fields: ({ state }) => ({ term: state.leaderTerm - 1 }),
    starts: 0,
  },
  {
    name: "one that a newer one has overtaken",
    fields: () => ({ sentAtMs: 0 }),
    starts: 0,
  },
  { name: "one of another entry", from: "q", fields: () => ({}), starts: 0 },
];

// The entry may have submitted the job to another leader by then, and its
// withdrawal may be behind the submission.
for (const { name, from = "p", fields, starts } of heartbeats) {
  test(`a job of a delayed submission, then a heartbeat, starts ${starts} times: ${name}`, () => {
    const leader = createLeaderWithDelayed("p");
    hear(leader, from, fields(leader));
    expect(startsIn(leader.tick())).toEqual(starts);
  });
}

test("a job that a distant cell hands over in a delayed submission starts after a heartbeat", () => {
  const leader = createLeaderWithDelayed("z");
  leader.state.hasZoneCells = true;
  hear(leader, "z", { leaderId: "z1", term: 9, hasZoneCells: true });
  expect(startsIn(leader.tick())).toEqual(1);
});

test("a job starts when an entry that hears the leader submits it as well", () => {
  const leader = createLeaderWithDelayed("p");
  submit(leader, "q", { submissionId: "q", heardAtMs: leader.state.nowMs });
  expect(startsIn(leader.tick())).toEqual(1);
});

/** Lets time pass, in which the worker answers the leader's polls. */
function pass(leader: TestInstance, forMs: number): Effect[] {
  const effects: Effect[] = [];
  for (let ms = 0; ms < forMs; ms += 25) {
    effects.push(...leader.tick(), ...leader.completePoll(WORKER_ID));
  }
  return effects;
}

// An earlier version of the entry doesn't tell when it heard the leader.
test("a job of an entry that doesn't tell starts 500 ms after its silence", () => {
  const leader = createLeader();
  const hearUntold = (): Effect[] => {
    const { nowMs, leaderTerm: term } = leader.state;
    const sentAtMs = nowMs;
    const heartbeat = testHeartbeat({ leaderId: "self", term, sentAtMs });
    return leader.receive("p", heartbeat);
  };
  pass(leader, 600);
  const steps = testJob(1).steps.map((step) => ({
    ...step,
    estimatedMs: 1_000,
  }));
  const early = submit(leader, "p", { job: { ...testJob(1), steps } });
  for (let ms = 0; ms < 450; ms += HEARTBEAT_MS) {
    early.push(...hearUntold(), ...pass(leader, HEARTBEAT_MS));
  }
  expect(startsIn(early)).toEqual(0);
  hearUntold();
  pass(leader, 50);
  hearUntold();
  expect(startsIn(leader.tick())).toEqual(1);
});

/** A leader with a task of the entry `p` that waits behind two others. */
function createLeaderWithQueued(): TestInstance {
  const leader = createLeader();
  const heardAtMs = leader.state.nowMs;
  const effects = submit(leader, "p", { heardAtMs, job: testJob(3) });
  for (const start of effectsOf(effects, "startTask")) {
    leader.acknowledgeStart(start);
  }
  return leader;
}

/** Ends a run, which makes room for the next task. */
function endRun(leader: TestInstance): Effect[] {
  const taskName = `${JOB_ID}.0.0.0`;
  const running = [{ taskName: `${JOB_ID}.0.0.1`, run: 1, percent: 50 }];
  return leader.completePoll(WORKER_ID, {
    running,
    finished: [[taskName, "done"]],
  });
}

test("a queued task starts as soon as there is room", () => {
  expect(startsIn(endRun(createLeaderWithQueued()))).toEqual(1);
});

const delays: { name: string; apply: (leader: TestInstance) => void }[] = [
  {
    name: "a silence of its entry that ends with a delayed heartbeat",
    apply: (leader) => {
      const heardAtMs = leader.state.nowMs;
      for (let ms = 0; ms < 600; ms += 25) leader.tick();
      hear(leader, "p", { heardAtMs });
    },
  },
  {
    name: "its leader was busy",
    apply: (leader) =>
      void leader.after(600, { type: "processBusy", busyMs: 600 }),
  },
];

// The withdrawal is on its way, or not read yet.
for (const { name, apply } of delays) {
  test(`a queued task starts only after a current heartbeat of its entry: ${name}`, () => {
    const leader = createLeaderWithQueued();
    apply(leader);
    const early = [...leader.tick(), ...endRun(leader), ...leader.tick()];
    expect(startsIn(early)).toEqual(0);
    hear(leader, "p");
    expect(startsIn(leader.tick())).toEqual(1);
  });
}

/** Instances whose messages arrive at once, and their worker. */
function createFleet(instanceIds: readonly string[]) {
  const instances = new Map<string, TestInstance>();
  const started: string[] = [];
  let jobCount = 0;

  function perform(from: string, effects: readonly Effect[]): void {
    for (const effect of effects) {
      if (effect.type === "startTask") started.push(effect.taskName);
      if (effect.type !== "sendPeer") continue;
      const target = instances.get(effect.instanceId);
      if (target === undefined) continue;
      perform(effect.instanceId, target.receive(from, effect.message));
    }
  }

  for (const instanceId of instanceIds) {
    const self = testInstanceInfo(instanceId);
    const instance = createTestInstance({ self });
    const infos = instanceIds.map(testInstanceInfo);
    instance.after(0, { type: "instancesRead", instances: infos });
    instance.after(0, {
      type: "workersRead",
      workers: [testWorker(WORKER_ID)],
    });
    instances.set(instanceId, instance);
  }
  for (const [from, instance] of instances) {
    for (const instanceId of instanceIds) {
      if (instanceId === from) continue;
      perform(from, instance.after(0, { type: "peerUp", instanceId }));
    }
  }

  return {
    instances,
    started,
    leaderIds: () =>
      [...instances].filter(([, { state }]) => state.scheduler !== null)
        .map(([instanceId]) => instanceId),
    kill(instanceId: string): void {
      instances.delete(instanceId);
      for (const [other, instance] of instances) {
        const type = "peerDown";
        perform(other, instance.after(0, { type, instanceId, refused: true }));
      }
    },
    /** Lets a tick pass, after which the worker answers the leader's poll. */
    tick(): void {
      for (const [id, instance] of instances) perform(id, instance.tick());
      for (const [id, instance] of instances) {
        if (instance.state.scheduler === null) continue;
        const running = started.map((taskName) => (
          { taskName, run: 1, percent: 10 }
        ));
        perform(id, instance.completePoll(WORKER_ID, { running }));
      }
    },
    /** Submits a job with a small task, the name of which it returns. */
    submit(entryId: string): string {
      jobCount += 1;
      const jobId = String(jobCount).padStart(16, "0");
      const steps = testJob(1).steps.map((step) => ({
        ...step,
        cpuMilli: 1,
        memoryMb: 1,
      }));
      const effects = instances.get(entryId)?.after(0, {
        type: "callerSubmit",
        requestId: jobId,
        jobId,
        queue: testQueue,
        job: { ...testJob(1), steps },
        timeoutMs: 6_000,
        answerAt: "ended",
      });
      perform(entryId, effects ?? []);
      return `${jobId}.0.0.0`;
    },
  };
}

test("jobs of a follower start as early as those of its leader, also after a takeover", () => {
  const fleet = createFleet(["a", "b", "c"]);
  for (let ms = 0; ms < 3_000; ms += 25) fleet.tick();
  const [former = ""] = fleet.leaderIds();
  fleet.kill(former);
  // The new leader polls the worker, and refuses jobs before.
  fleet.tick();
  const submitted: string[] = [];
  for (let count = 0; count < 24; count += 1) {
    submitted.push(...[...fleet.instances.keys()].map(fleet.submit));
    fleet.tick();
    // At first, the worker may have to stop runs of the former leader.
    if (count < 5 && fleet.started.length === 0) continue;
    expect(fleet.started).toEqual(submitted);
  }
});
