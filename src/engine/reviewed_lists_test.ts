import { test } from "node:test";
import { expect } from "earl";
import { listToRegister } from "./leader_lists.ts";
import {
  createTestInstance,
  createTestLeader,
  effectsOf,
  openRecords,
  TEST_WALL_MS,
  testHeartbeat,
  type TestInstance,
  testInstanceInfo,
  testJob,
  testQueue,
  testStoredRecord,
  testSubmission,
  testWorker,
} from "./testing.ts";
import type { Effect } from "./types.ts";

const JOB_ID = "00000000000000aa";
const TASK_NAME = `${JOB_ID}.0.0.0`;
/** Longer than any run of an earlier leader may last. */
const AWAY_MS = 10_000;

/** A heartbeat of a leader that says by which list it goes. */
function leaderHeartbeat(
  leaderId: string,
  { term, sentAtMs, listDigest }: {
    term: number;
    sentAtMs: number;
    listDigest: string;
  },
) {
  return testHeartbeat({
    isLeader: true,
    leaderId,
    term,
    maxTermSeen: term,
    sentAtMs,
    listDigest,
    workersAgeMs: 1e6,
  });
}

/** Follows the leader `a` for long enough to know its list. */
function followA(instance: TestInstance, forMs: number): void {
  const listDigest = "of a";
  for (let atMs = 0; atMs < forMs; atMs += 100) {
    instance.tick(100);
    const sentAtMs = atMs;
    const message = leaderHeartbeat("a", { term: 10, sentAtMs, listDigest });
    instance.receive("a", message);
  }
}

function submitNew(instance: TestInstance): Effect[] {
  return instance.after(0, {
    type: "callerSubmit",
    requestId: "r1",
    jobId: JOB_ID,
    queue: testQueue,
    job: testJob(1),
    timeoutMs: 6_000,
    answerAt: "ended",
  });
}

const absences = [
  {
    name: "has heard no leader",
    pass: (entry: TestInstance) => {
      for (let ms = 0; ms < AWAY_MS; ms += 100) entry.tick(100);
    },
  },
  {
    name: "was paused",
    pass: (entry: TestInstance) => {
      const pausedMs = AWAY_MS;
      entry.after(AWAY_MS, { type: "processPaused", pausedMs });
    },
  },
];

// Meanwhile another leader, which this entry has not followed, may have led by
// another list and have had the job through an entry that is lost now.
for (const { name, pass } of absences) {
  test(`an entry that ${name} for ${AWAY_MS} ms knows no list for a new job`, () => {
    const entry = createTestInstance({ peers: ["a", "b"] });
    followA(entry, 5_000);
    pass(entry);
    const listDigest = "of b";
    const message = leaderHeartbeat("b", { term: 30, sentAtMs: 1, listDigest });
    entry.receive("b", message);
    // Submissions are deferred for a moment after a pause.
    entry.tick(100);
    const [sent] = effectsOf(submitNew(entry), "sendPeer")
      .filter(({ message }) => message.type === "submit");
    expect(sent?.instanceId).toEqual("b");
    const kind = sent?.message.type === "submit"
      ? sent.message.previousList.kind
      : null;
    expect(kind === "known").toEqual(false);
  });
}

/** A leader with a run on `w2`, which left the list 16 s ago and runs on. */
function createLeaderWithUnlistedRun(): TestInstance {
  const leader = createTestLeader();
  const term = leader.state.leaderTerm;
  leader.after(0, { type: "peerUp", instanceId: "p" });
  const effects = leader.receive("p", testSubmission({ jobId: JOB_ID, term }));
  const [start] = effectsOf([...effects, ...leader.tick()], "startTask");
  if (start === undefined) throw new Error("the task was not started");
  leader.acknowledgeStart(start);
  const running = [{ taskName: TASK_NAME, run: start.run, percent: 10 }];
  const lists = { running };
  leader.completePoll(start.workerId, lists);
  const workers = ["w1", "w2"].filter((id) => id !== start.workerId)
    .map(testWorker);
  leader.after(0, { type: "workersRead", workers });
  for (let ms = 0; ms < 16_000; ms += 25) {
    leader.tick();
    leader.completePoll(start.workerId, lists);
    if (ms % 500 === 0) {
      leader.receive("p", testSubmission({ jobId: JOB_ID, term }));
    }
  }
  return leader;
}

// A successor that takes this list for whole would start the task again.
test("a leader with a run on a worker that left the list 16 s ago registers no list", () => {
  const leader = createLeaderWithUnlistedRun();
  const { scheduler } = leader.state;
  const runs = [...scheduler?.workers.values() ?? []]
    .map(({ runs }) => runs.size);
  expect(Math.max(...runs)).toEqual(1);
  const lists = [{ cell: "all", version: 3, term: 1, digest: "other" }];
  leader.after(0, { type: "registeredListsRead", lists });
  expect(listToRegister(leader.state)?.digest).toEqual(null);
});

// A confirmed leader outranks a provisional one of a higher term, which may have
// registered its list before it stepped down.
test("a leader withdraws a list registered in a higher term when its own list changes", () => {
  const leader = createTestLeader();
  const { state } = leader;
  const term = state.leaderTerm + 1;
  const { listDigest: digest } = state;
  const lists = [{ cell: "all", version: 3, term, digest }];
  leader.after(0, { type: "registeredListsRead", lists });
  const workers = ["w1", "w2", "w3"].map(testWorker);
  leader.after(0, { type: "workersRead", workers });
  leader.tick(3_000);
  expect(listToRegister(state)?.digest === undefined).toEqual(false);
});

// The write may come too late, or fail for as long as the store refuses writes.
test("no task starts on a worker that the registered list lacks and the present one adds", () => {
  const leader = createTestLeader();
  const { state } = leader;
  const term = state.leaderTerm;
  const { listDigest: digest } = state;
  const lists = [{ cell: "all", version: 3, term, digest }];
  leader.after(0, { type: "registeredListsRead", lists });
  const small = { ...testWorker("w3"), cpuMilli: 16_000 };
  const workers = [testWorker("w1"), testWorker("w2"), small];
  leader.after(0, { type: "workersRead", workers });
  leader.tick();
  leader.completePoll("w3");
  leader.tick(100);
  const effects = leader.receive("p", testSubmission({ jobId: JOB_ID, term }));
  const starts = effectsOf([...effects, ...leader.tick()], "startTask");
  const isKnown = state.registeredLists.get("all")?.digest !== digest;
  const startedOn = starts.map(({ workerId }) => workerId);
  expect(startedOn.includes("w3") && !isKnown).toEqual(false);
});

// The entry leaves a leader after 500 ms, or at once if connections are refused;
// that leader renews leases until 750 ms, and may then end.
test("a job waits for leases that the leader before renewed after its entry had left", () => {
  const leader = createTestLeader();
  const term = leader.state.leaderTerm;
  const previousList = { kind: "known" as const, digest: "other" };
  const message = testSubmission({
    jobId: JOB_ID,
    term,
    resubmitted: true,
    previousList,
  });
  const effects = leader.receive("p", message);
  const { state } = leader;
  // Of the 750 ms and the lease of 1,080 ms, 500 ms have passed.
  const untilMs = state.nowMs + 1_300 - 27;
  while (state.nowMs < untilMs) {
    effects.push(...leader.tick());
    for (const id of ["w1", "w2"]) effects.push(...leader.completePoll(id));
  }
  expect(effectsOf(effects, "startTask").length).toEqual(0);
});

// The owner of the records may have been a leader before `a`, or one beyond a
// network partition, of which this instance does not know.
test("a stored job waits at a new leader that has followed a leader for 300 ms only", () => {
  const self = { ...testInstanceInfo("self"), bornMs: TEST_WALL_MS };
  const leader = createTestInstance({ peers: ["a", "b"], self });
  const workers = ["w1", "w2"].map(testWorker);
  leader.after(0, { type: "workersRead", workers });
  const { state } = leader;
  const { listDigest } = state;
  leader.tick();
  const message = leaderHeartbeat("a", { term: 10, sentAtMs: 1, listDigest });
  leader.receive("a", message);
  leader.tick(300);
  leader.after(0, { type: "peerDown", instanceId: "a", refused: true });
  state.recordsExist = true;

  function pass(forMs: number): Effect[] {
    const effects: Effect[] = [];
    for (let ms = 0; ms < forMs; ms += 25) {
      effects.push(...leader.tick());
      const { leaderTerm: term, leaderId, nowMs: sentAtMs } = state;
      const heartbeat = { sentAtMs, term, leaderId, recordsExist: true };
      leader.receive("b", testHeartbeat(heartbeat));
      for (const id of ["w1", "w2"]) effects.push(...leader.completePoll(id));
    }
    return effects;
  }

  pass(2_000);
  expect(state.scheduler?.records.phase).toEqual("opening");
  const effects = openRecords(leader, [testStoredRecord({ jobId: JOB_ID })]);
  effects.push(...pass(600));
  expect(state.scheduler?.jobs.has(JOB_ID)).toEqual(true);
  expect(effectsOf(effects, "startTask").length).toEqual(0);
});

const ZONE_OF_OTHERS = "ria";

/** A leader of the zone `poa` in a fleet of which each zone is a cell. */
function createZoneLeader(): TestInstance {
  const leader = createTestInstance();
  const others = Array.from({ length: 100 }, (_, index) => ({
    ...testWorker(`other-${index}`),
    availabilityZone: ZONE_OF_OTHERS,
  }));
  const workers = [testWorker("w1"), testWorker("w2"), ...others];
  leader.after(0, { type: "workersRead", workers });
  leader.tick(1_000);
  leader.tick();
  for (const id of ["w1", "w2"]) leader.completePoll(id);
  leader.tick(5_000);
  return leader;
}

const losses = [
  { name: "lost in this term", isEarlier: false },
  { name: "lost before this term", isEarlier: true },
];

// The leader of the entry's zone, which is lost as well, renewed the leases for
// up to 750 ms. It started the tasks on workers that this leader does not read.
for (const { name, isEarlier } of losses) {
  test(`a caller's retry waits at the leader of another zone than that of its entry, ${name}`, () => {
    const leader = createZoneLeader();
    const info = {
      ...testInstanceInfo("x"),
      availabilityZone: ZONE_OF_OTHERS,
    };
    leader.after(0, { type: "instancesRead", instances: [info] });
    leader.after(0, { type: "peerUp", instanceId: "x" });
    leader.receive("x", testHeartbeat({ hasZoneCells: true }));
    leader.after(10, { type: "peerDown", instanceId: "x", refused: true });
    if (isEarlier) {
      const { nowMs, scheduler } = leader.state;
      Object.assign(scheduler as object, { startedAtMs: nowMs + 1 });
    }
    leader.tick(1_250);
    const term = leader.state.leaderTerm;
    const message = testSubmission({ jobId: JOB_ID, term });
    const effects = [...leader.receive("p", message), ...leader.tick()];
    for (const id of ["w1", "w2"]) effects.push(...leader.completePoll(id));
    expect(leader.state.hasZoneCells).toEqual(true);
    expect(leader.state.scheduler?.jobs.has(JOB_ID)).toEqual(true);
    expect(effectsOf(effects, "startTask").length).toEqual(0);
  });
}

/** Instances whose messages arrive at once, or not at all once `a` is cut off. */
function createFleet(instanceIds: readonly string[]) {
  const instances = new Map<string, TestInstance>();
  /** The starts of tasks of `JOB_ID`: who started them, and on which worker. */
  const starts: { by: string; workerId: string }[] = [];
  let isCut = false;

  function perform(from: string, effects: readonly Effect[]): void {
    for (const effect of effects) {
      if (effect.type === "startTask" && effect.taskName.startsWith(JOB_ID)) {
        starts.push({ by: from, workerId: effect.workerId });
      }
      if (effect.type === "startTask") {
        perform(from, instances.get(from)?.acknowledgeStart(effect) ?? []);
      }
      if (effect.type !== "sendPeer") continue;
      const to = effect.instanceId;
      if (isCut && (from === "a" || to === "a") && from !== to) continue;
      const target = instances.get(to);
      if (target !== undefined) {
        perform(to, target.receive(from, effect.message));
      }
    }
  }

  for (const instanceId of instanceIds) {
    const cpuCores = instanceId === "a" ? 2 : 1;
    const self = { ...testInstanceInfo(instanceId), cpuCores };
    instances.set(instanceId, createTestInstance({ self }));
  }
  for (const instance of instances.values()) {
    const infos = instanceIds.map(testInstanceInfo);
    instance.after(0, { type: "instancesRead", instances: infos });
  }
  for (const from of instanceIds) {
    for (const instanceId of instanceIds) {
      if (instanceId === from) continue;
      const type = "peerUp";
      perform(from, instances.get(from)?.after(0, { type, instanceId }) ?? []);
    }
  }

  return {
    starts,
    of: (instanceId: string) => instances.get(instanceId) as TestInstance,
    cutOffA: () => isCut = true,
    apply(instanceId: string, event: Parameters<TestInstance["after"]>[1]) {
      const effects = instances.get(instanceId)?.after(0, event);
      perform(instanceId, effects ?? []);
    },
    /** Lets time pass; polls of all leaders are answered. */
    pass(forMs: number): void {
      for (let ms = 0; ms < forMs; ms += 25) {
        for (const [id, instance] of instances) perform(id, instance.tick());
        for (const [id, instance] of instances) {
          const owned = instance.state.scheduler?.workers ?? new Map();
          for (const [workerId, { runs }] of [...owned]) {
            const running = [...runs.values()].map(({ taskName, run }) => ({
              taskName,
              run,
              percent: 10,
            }));
            perform(id, instance.completePoll(workerId, { running }));
          }
        }
      }
    },
  };
}

function submitEvent(jobId: string, count: number) {
  return {
    type: "callerSubmit" as const,
    requestId: jobId,
    jobId,
    queue: { ...testQueue, objectiveMs: 60_000 },
    job: testJob(count),
    timeoutMs: 60_000,
    answerAt: "ended" as const,
  };
}

// The followers don't learn of the list by which the leader starts the task. Its
// leases last for more than 1,000 ms after the start.
test("a task that a leader which is cut off started on a worker that it has just listed does not start again", () => {
  const fleet = createFleet(["a", "b", "c", "d"]);
  const workers = ["w1", "w2"].map(testWorker);
  for (const id of ["a", "b", "c", "d"]) {
    fleet.apply(id, { type: "workersRead", workers });
  }
  fleet.pass(5_000);
  expect(fleet.of("b").state.leaderId).toEqual("a");
  fleet.apply("b", submitEvent("00000000000000bb", 4));
  fleet.pass(50);
  fleet.apply("b", submitEvent(JOB_ID, 1));
  expect(fleet.starts).toEqual([]);
  fleet.cutOffA();
  const listed = [...workers, testWorker("w3")];
  fleet.apply("a", { type: "workersRead", workers: listed });
  // The other runs are not of interest any more.
  const jobId = "00000000000000bb";
  fleet.apply("b", { type: "callerGone", requestId: jobId, jobId });
  fleet.pass(400);
  expect(fleet.starts).toEqual([{ by: "a", workerId: "w3" }]);
  fleet.pass(600);
  expect(fleet.starts).toEqual([{ by: "a", workerId: "w3" }]);
});

// The followers have forgotten that the worker left the list, which therefore
// looks whole to the next leader. The leader goes on renewing the lease.
test("a task whose worker left the list 16 s ago does not start again at the next leader", () => {
  const fleet = createFleet(["a", "b", "c", "d"]);
  const ids = ["a", "b", "c", "d"];
  const workers = ["w1", "w2", "w3"].map(testWorker);
  for (const id of ids) fleet.apply(id, { type: "workersRead", workers });
  fleet.pass(5_000);
  fleet.apply("b", submitEvent(JOB_ID, 1));
  fleet.pass(50);
  const [first] = fleet.starts;
  const listed = workers.filter(({ workerId }) => workerId !== first?.workerId);
  for (const id of ids) {
    fleet.apply(id, { type: "workersRead", workers: listed });
  }
  fleet.pass(16_000);
  expect(fleet.starts.length).toEqual(1);
  const owner = fleet.of("a").state.scheduler?.workers;
  expect(owner?.get(first?.workerId ?? "")?.runs.size).toEqual(1);
  fleet.cutOffA();
  fleet.pass(1_000);
  expect(fleet.starts.length).toEqual(1);
});
