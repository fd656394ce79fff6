import { test } from "node:test";
import { expect } from "earl";
import { listToRegister } from "./leader_lists.ts";
import type { InstanceInfo } from "./schemas.ts";
import {
  createTestInstance,
  createTestLeader,
  effectsOf,
  TEST_WALL_MS,
  type TestInstance,
  testInstanceInfo,
  testJob,
  testQueue,
  testSubmission,
  testWorker,
} from "./testing.ts";
import type { Effect, RunningRow } from "./types.ts";

const JOB_ID = "00000000000000aa";
const TASK_NAME = `${JOB_ID}.0.0.0`;
const WORKER_IDS = ["w1", "w2", "w3"];
/** Less than the duration of a lease. */
const OBSERVED_MS = 900;

/** Instances whose messages to each other arrive at once. */
function createFleet(instanceIds: readonly string[]) {
  const instances = new Map<string, TestInstance>();
  /** Ids of the workers on which the task was started, in order. */
  const startedOn: string[] = [];

  function perform(from: string, effects: readonly Effect[]): void {
    for (const effect of effects) {
      if (effect.type === "startTask") startedOn.push(effect.workerId);
      if (effect.type !== "sendPeer") continue;
      const target = instances.get(effect.instanceId);
      if (target === undefined) continue;
      perform(effect.instanceId, target.receive(from, effect.message));
    }
  }

  function connect(a: string, b: string): void {
    for (const [from, instanceId] of [[a, b], [b, a]] as const) {
      const effects = instances.get(from)?.after(0, {
        type: "peerUp",
        instanceId,
      });
      perform(from, effects ?? []);
    }
  }

  return {
    startedOn,
    /** Starts the process of an instance, which reads a list of workers. */
    start(self: InstanceInfo, workerIds: readonly string[]): TestInstance {
      const { instanceId } = self;
      const instance = createTestInstance({ self });
      const infos = instanceIds.map(testInstanceInfo);
      instance.after(0, { type: "instancesRead", instances: infos });
      const workers = workerIds.map(testWorker);
      instance.after(0, { type: "workersRead", workers });
      instances.set(instanceId, instance);
      for (const other of instances.keys()) {
        if (other !== instanceId) connect(instanceId, other);
      }
      return instance;
    },
    /** Ends the process of an instance; its peers notice at once. */
    kill(instanceId: string): void {
      instances.delete(instanceId);
      for (const [other, instance] of instances) {
        const type = "peerDown";
        perform(other, instance.after(0, { type, instanceId, refused: true }));
      }
    },
    submit(entryId: string): void {
      const effects = instances.get(entryId)?.after(0, {
        type: "callerSubmit",
        requestId: "r1",
        jobId: JOB_ID,
        queue: testQueue,
        job: testJob(1),
        timeoutMs: 6_000,
        answerAt: "ended",
      });
      perform(entryId, effects ?? []);
    },
    /** Lets time pass, in which the workers of a leader answer its polls. */
    pass(
      forMs: number,
      { leaderId, running }: {
        leaderId: string;
        running: (workerId: string) => RunningRow[];
      },
    ): void {
      for (let passedMs = 0; passedMs < forMs; passedMs += 25) {
        for (const [id, instance] of instances) perform(id, instance.tick());
        const leader = instances.get(leaderId);
        const workerIds = leader?.state.scheduler?.workers.keys() ?? [];
        for (const workerId of [...workerIds]) {
          const lists = { running: running(workerId) };
          perform(leaderId, leader?.completePoll(workerId, lists) ?? []);
        }
      }
    },
  };
}

/** The larger instance `a`, which leads whenever it runs. */
function infoOfLeader(startedAtMs: number): InstanceInfo {
  return { ...testInstanceInfo("a"), cpuCores: 2, bornMs: startedAtMs };
}

const cases = [
  {
    name: "which doesn't list the worker of its run, waits for the lease",
    isListed: false,
    isRunning: true,
    starts: 0,
  },
  {
    name: "which reads its run on a worker, does not start",
    isListed: true,
    isRunning: true,
    starts: 0,
  },
  {
    name: "which lists the same workers and reads no run, starts",
    isListed: true,
    isRunning: false,
    starts: 1,
  },
];

// The leader is killed while the entries of some workers have lapsed, and leads
// again at once, with no memory of the list by which it started the task.
for (const { name, isListed, isRunning, starts } of cases) {
  test(`a task that an entry submits again to a restarted leader, ${name}`, () => {
    const fleet = createFleet(["a", "b"]);
    const idle = { leaderId: "a", running: () => [] };
    fleet.start(testInstanceInfo("b"), WORKER_IDS);
    fleet.start(infoOfLeader(TEST_WALL_MS - 50_000), WORKER_IDS);
    fleet.pass(3_000, idle);
    fleet.submit("b");
    const [runsOn] = fleet.startedOn.splice(0);
    fleet.kill("a");
    const listedIds = WORKER_IDS.filter((id) => isListed || id !== runsOn);
    const leader = fleet.start(infoOfLeader(TEST_WALL_MS), listedIds);
    const running = (workerId: string) =>
      isRunning && workerId === runsOn
        ? [{ taskName: TASK_NAME, run: 1, percent: 10 }]
        : [];
    fleet.pass(OBSERVED_MS, { leaderId: "a", running });
    expect(leader.state.scheduler?.jobs.has(JOB_ID)).toEqual(true);
    expect(fleet.startedOn.length).toEqual(starts);
  });
}

/** How long ago the entry of a job was lost when its caller comes again. */
const RETRY_MS = 1_250;

const retries = [
  {
    name: "whose list a follower of the leader before confirms, starts",
    hasFollower: true,
    isListed: true,
    starts: 1,
  },
  {
    name: "whose list lacks a worker of the leader before, waits",
    hasFollower: true,
    isListed: false,
    starts: 0,
  },
  {
    name: "of which no instance knows the list before, waits",
    hasFollower: false,
    isListed: true,
    starts: 0,
  },
  {
    name: "whose list only the store confirms, starts",
    hasFollower: false,
    isRegistered: true,
    isListed: true,
    starts: 1,
  },
  {
    name: "whose list lacks a worker of the list in the store, waits",
    hasFollower: false,
    isRegistered: true,
    isListed: false,
    starts: 0,
  },
];

// The leader, which was also the entry of the job, starts again together with
// the entry to which the caller comes.
for (
  const { name, hasFollower, isRegistered = false, isListed, starts } of retries
) {
  test(`a caller's retry through an entry that has just started, at a restarted leader ${name}`, () => {
    const fleet = createFleet(["a", "b", "c"]);
    const idle = { leaderId: "a", running: () => [] };
    fleet.start(testInstanceInfo("b"), WORKER_IDS);
    const first = fleet.start(
      infoOfLeader(TEST_WALL_MS - 50_000),
      WORKER_IDS,
    );
    fleet.pass(3_000, idle);
    fleet.submit("a");
    const [runsOn] = fleet.startedOn.splice(0);
    fleet.kill("a");
    if (!hasFollower) fleet.kill("b");
    const listedIds = WORKER_IDS.filter((id) => isListed || id !== runsOn);
    const leader = fleet.start(infoOfLeader(TEST_WALL_MS), listedIds);
    if (isRegistered) {
      const list = listToRegister(first.state);
      const lists = list === null ? [] : [list];
      leader.after(0, { type: "registeredListsRead", lists });
    }
    fleet.start(testInstanceInfo("c"), listedIds);
    fleet.pass(RETRY_MS, idle);
    fleet.submit("c");
    fleet.pass(300, idle);
    expect(fleet.startedOn.length).toEqual(starts);
  });
}

const vanished = [
  { leftMsAgo: 10_000, draining: false, starts: 0 },
  // Its entry may have lapsed while the last runs were at work.
  { leftMsAgo: 10_000, draining: true, starts: 0 },
  { leftMsAgo: 16_000, draining: false, starts: 1 },
];

// The worker was forgotten only when the list changed again.
for (const { leftMsAgo, draining, starts } of vanished) {
  const kind = draining ? "draining worker" : "worker";
  test(`${starts} jobs submitted again start at once ${leftMsAgo} ms after a ${kind} left the list, which has not changed since`, () => {
    const leader = createTestLeader();
    const workers = [testWorker("w1")];
    const before = [...workers, { ...testWorker("w2"), draining }];
    leader.after(0, { type: "workersRead", workers: before });
    leader.after(0, { type: "workersRead", workers });
    leader.tick(leftMsAgo);
    leader.completePoll("w1");
    const term = leader.state.leaderTerm;
    const message = testSubmission({ jobId: JOB_ID, term, resubmitted: true });
    leader.receive("p", message);
    const effects = [...leader.tick(), ...leader.completePoll("w1")];
    expect(effectsOf(effects, "startTask").length).toEqual(starts);
  });
}
