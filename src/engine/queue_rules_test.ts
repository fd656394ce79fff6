import { test } from "node:test";
import { expect } from "earl";
import type { QueueRule } from "./schemas.ts";
import {
  createTestLeader,
  effectsOf,
  openRecords,
  testConfiguration,
  type TestInstance,
  testJob,
  testQueue,
  testStoredRecord,
  testSubmission,
  testWorker,
} from "./testing.ts";
import type { Effect } from "./types.ts";

const moved: QueueRule = { ...testQueue, service: "t" };

/** A leader with a worker of the service `s` and one of the service `t`. */
function createLeader(): TestInstance {
  const leader = createTestLeader();
  const other = { ...testWorker("w3"), service: "t" };
  leader.after(0, {
    type: "workersRead",
    workers: [testWorker("w1"), testWorker("w2"), other],
  });
  leader.tick();
  leader.completePoll("w3");
  leader.tick(100);
  return leader;
}

function configure(
  leader: TestInstance,
  { version, queues }: { version: number; queues: QueueRule[] },
): Effect[] {
  // A configuration without any queue leaves the rules to the submissions.
  const other = { ...testQueue, name: "other", pathPrefix: "/other/" };
  return leader.after(0, {
    type: "configurationRead",
    configuration: {
      ...testConfiguration,
      version,
      queues: [...queues, other],
    },
  });
}

let submissions = 0;

function submit(
  leader: TestInstance,
  fields: {
    queue: QueueRule;
    configurationVersion: number;
    ageMs?: number;
  },
): Effect[] {
  submissions += 1;
  const jobId = submissions.toString(16).padStart(16, "0");
  return leader.receive("p", testSubmission({ jobId, ...fields }));
}

/** Returns the workers on which tasks started, and the refusals. */
function resultsOf(effects: readonly Effect[]): string[] {
  const starts = effectsOf(effects, "startTask");
  const refusals = effectsOf(effects, "sendPeer").flatMap(({ message }) =>
    message.type === "jobEnded" && message.outcome.kind === "refused"
      ? [message.outcome.reason]
      : []
  );
  return [...starts.map(({ workerId }) => workerId), ...refusals];
}

const cases: {
  name: string;
  run: (leader: TestInstance) => Effect[];
  expected: string[];
}[] = [
  {
    name: "the entry has an older configuration than the leader",
    run(leader) {
      configure(leader, { version: 9, queues: [moved] });
      return submit(leader, { queue: testQueue, configurationVersion: 1 });
    },
    expected: ["w3"],
  },
  {
    name:
      "one entry has a newer configuration than the leader, another has not",
    run(leader) {
      const first = submit(leader, { queue: moved, configurationVersion: 9 });
      leader.tick();
      return [
        ...first,
        ...submit(leader, { queue: testQueue, configurationVersion: 1 }),
      ];
    },
    expected: ["w3", "w3"],
  },
  {
    name: "the leader learns a rule and then a configuration that is older",
    run(leader) {
      submit(leader, { queue: moved, configurationVersion: 9 });
      configure(leader, { version: 4, queues: [testQueue] });
      return submit(leader, { queue: testQueue, configurationVersion: 4 });
    },
    expected: ["w3"],
  },
  {
    name: "the entry doesn't know yet that the queue is dropped",
    run(leader) {
      configure(leader, { version: 9, queues: [] });
      leader.tick(500);
      const told = { queue: testQueue, configurationVersion: 1 };
      return submit(leader, { ...told, ageMs: 10 });
    },
    expected: ["unknownQueue"],
  },
  {
    name: "the request came before the queue was dropped",
    run(leader) {
      leader.tick(500);
      configure(leader, { version: 9, queues: [] });
      leader.tick();
      const told = { queue: testQueue, configurationVersion: 1 };
      return submit(leader, { ...told, ageMs: 60 });
    },
    expected: ["w1"],
  },
  {
    name: "the queue was dropped by an earlier one of several versions",
    run(leader) {
      configure(leader, { version: 9, queues: [] });
      leader.tick(500);
      configure(leader, { version: 12, queues: [] });
      const told = { queue: testQueue, configurationVersion: 1 };
      return submit(leader, { ...told, ageMs: 10 });
    },
    expected: ["unknownQueue"],
  },
  {
    name: "the leader does not know yet that the queue is added",
    run(leader) {
      configure(leader, { version: 4, queues: [] });
      leader.tick(500);
      return submit(leader, { queue: testQueue, configurationVersion: 9 });
    },
    expected: ["w1"],
  },
  {
    name: "a recorded job is restored after its queue got another service",
    run(leader) {
      configure(leader, { version: 9, queues: [moved] });
      const jobId = "00000000000000aa";
      leader.receive(
        "p",
        testSubmission({
          jobId,
          job: { ...testJob(1), isRecorded: true },
          answerAt: "accepted",
        }),
      );
      const effects = openRecords(leader, [testStoredRecord({ jobId })]);
      for (let round = 0; round < 60; round += 1) {
        effects.push(...leader.tick(50));
        for (const workerId of ["w1", "w2", "w3"]) {
          effects.push(...leader.completePoll(workerId));
        }
      }
      return effects.filter((effect) => effect.type === "startTask")
        .slice(0, 1);
    },
    expected: ["w3"],
  },
];

for (const { name, run, expected } of cases) {
  test(`a leader goes by the newest rule of a queue: ${name}`, () => {
    expect(resultsOf(run(createLeader()))).toEqual(expected);
  });
}

test("a waiting job goes by the rule that a new configuration gives its queue", () => {
  const leader = createLeader();
  const told = { queue: testQueue, configurationVersion: 1 };
  // Each of the two workers of the service has room for two tasks.
  for (let job = 0; job < 4; job += 1) submit(leader, told);
  expect(resultsOf(submit(leader, told))).toEqual([]);
  const effects = configure(leader, { version: 9, queues: [moved] });
  expect(resultsOf([...effects, ...leader.tick()])).toEqual(["w3"]);
});

test("the rule of the leader's configuration detects mutant hasOwnRule", () => {
  const leader = createLeader();
  Object.assign(leader.state.guards, { hasOwnRule: () => false });
  configure(leader, { version: 9, queues: [moved] });
  const told = { queue: testQueue, configurationVersion: 1 };
  expect(resultsOf(submit(leader, told))).toEqual(["w1"]);
});
