import { test } from "node:test";
import { expect } from "earl";
import type { JobSpec, PeerMessage } from "./schemas.ts";
import {
  confirmWrites,
  createTestLeader,
  effectsOf,
  openRecords,
  type TestInstance,
  testJob,
  testStoredRecord,
  testSubmission,
} from "./testing.ts";
import type { Effect, OwnedWorker, RunningRow, TaskState } from "./types.ts";

const JOB_ID = "00000000000000aa";
const FIRST = `${JOB_ID}.0.0.0`;
const SECOND = `${JOB_ID}.0.1.0`;
const [step] = testJob(1).steps;
/** Two steps of one task each, the second after the first. */
const chain: JobSpec = {
  spec: "text",
  steps: [step!, { ...step!, after: [0] }],
};
const recordedChain: JobSpec = { ...chain, isRecorded: true };

function startsOf(effects: readonly Effect[]): string[] {
  return effectsOf(effects, "startTask").map(({ taskName }) => taskName);
}

function startedRuns(effects: readonly Effect[], taskName: string) {
  return effectsOf(effects, "startTask").filter((start) =>
    start.taskName === taskName
  );
}

function workerOf(leader: TestInstance, workerId: string): OwnedWorker {
  const worker = leader.state.scheduler?.workers.get(workerId);
  if (worker === undefined) throw new Error(`${workerId} is not owned`);
  return worker;
}

function stateOf(leader: TestInstance, taskName: string): TaskState | null {
  const job = leader.state.scheduler?.jobs.get(JOB_ID);
  return job?.tasks.find(({ name }) => name === taskName)?.state ?? null;
}

function listed(taskName: string): RunningRow {
  return { taskName, run: 1, percent: 10 };
}

/** Advances by `ms` in ticks; all workers keep answering with empty lists. */
function pass(leader: TestInstance, ms: number): Effect[] {
  const effects: Effect[] = [];
  for (let passedMs = 0; passedMs < ms; passedMs += 25) {
    effects.push(...leader.tick());
  }
  return effects;
}

/** A leader that must read the records, of which the store has some. */
function createLeaderBeforeRecords(): TestInstance {
  const leader = createTestLeader();
  leader.state.recordsExist = true;
  return leader;
}

/** A leader that has restored the recorded chain, of which nothing is done. */
function createRestoringLeader(): TestInstance {
  const leader = createLeaderBeforeRecords();
  openRecords(leader, [
    testStoredRecord({ jobId: JOB_ID, job: recordedChain }),
  ]);
  return leader;
}

function reportOf(taskName: string, sequence: number): PeerMessage {
  return {
    type: "completionsFound",
    workerId: "elsewhere",
    startedAtMs: 1,
    completions: [{ sequence, taskName, run: 1, end: "done" }],
  };
}

type Arrival = (leader: TestInstance, taskNames: readonly string[]) => Effect[];

/** The ways in which the end of a run that is not tracked here arrives. */
const arrivals: Record<string, Arrival> = {
  "in its worker's list": (leader, taskNames) =>
    leader.completePoll("w1", {
      finished: taskNames.map((taskName) => [taskName, "done"]),
    }),
  "in lists of two workers": (leader, taskNames) =>
    taskNames.flatMap((taskName, index) =>
      leader.completePoll(index === 0 ? "w1" : "w2", {
        finished: [[taskName, "done"]],
      })
    ),
  "in reports of another leader": (leader, taskNames) =>
    taskNames.flatMap((taskName, index) =>
      leader.receive("q", reportOf(taskName, index + 1))
    ),
};

/** The ends that arrive while a task is in the state, the latest last. */
const orders: { name: string; taskNames: string[] }[] = [
  { name: "in order", taskNames: [FIRST, SECOND] },
  { name: "the later step first", taskNames: [SECOND, FIRST] },
];

// Review case 5: the end of the second step arrived before that of the first was
// applied. It was dropped, since its task still waited, and the task started
// again.
for (const [source, arrive] of Object.entries(arrivals)) {
  for (const { name, taskNames } of orders) {
    test(`ends of two steps count: ${source}, ${name}`, () => {
      const leader = createRestoringLeader();
      const effects = arrive(leader, taskNames);
      const later = [...effects, ...confirmWrites(leader, effects)];
      expect(stateOf(leader, FIRST)).toEqual("done");
      expect(stateOf(leader, SECOND)).toEqual("done");
      expect(startsOf([...later, ...pass(leader, 3_000)])).toEqual([]);
    });
  }
}

/** What the leader knows of the job when the worker's lists arrive. */
const beforeRecords: {
  name: string;
  prepare: (leader: TestInstance) => void;
}[] = [
  { name: "unknown", prepare: () => {} },
  {
    name: "submitted again",
    prepare: (leader) =>
      void leader.receive(
        "p",
        testSubmission({
          jobId: JOB_ID,
          job: recordedChain,
          answerAt: "accepted",
        }),
      ),
  },
];

for (const { name, prepare } of beforeRecords) {
  for (const order of orders) {
    test(`ends found before the records count for a job ${name}: ${order.name}`, () => {
      const leader = createLeaderBeforeRecords();
      prepare(leader);
      leader.tick();
      leader.completePoll("w1", {
        finished: order.taskNames.map((taskName) => [taskName, "done"]),
      });
      const retained = [...workerOf(leader, "w1").retainedSequences];
      expect(retained).toEqual([1, 2]);
      const effects = openRecords(leader, [
        testStoredRecord({ jobId: JOB_ID, job: recordedChain }),
      ]);
      expect(stateOf(leader, SECOND)).toEqual("done");
      // The record includes both ends before the worker may discard them.
      const [row] = effectsOf(effects, "writeRecords").flatMap(({ rows }) =>
        rows
      );
      expect(row?.record?.done).toEqual([0, 1]);
      const later = [...confirmWrites(leader, effects), ...pass(leader, 3_000)];
      expect(startsOf([...effects, ...later])).toEqual([]);
      expect([...workerOf(leader, "w1").retainedSequences]).toEqual([]);
    });
  }

  test(`a run found before the records is attached to a job ${name}`, () => {
    const leader = createLeaderBeforeRecords();
    prepare(leader);
    leader.tick();
    leader.completePoll("w1", { running: [listed(SECOND)] });
    openRecords(leader, [
      testStoredRecord({ jobId: JOB_ID, job: recordedChain }),
    ]);
    expect(stateOf(leader, SECOND)).toEqual("placed");
    expect(workerOf(leader, "w1").unsizedRunCount).toEqual(0);
  });
}

/** When the job of a run that another leader started becomes known. */
const attachments: { name: string; find: (leader: TestInstance) => void }[] = [
  {
    name: "after its job was submitted again",
    find: (leader) => {
      submitAgain(leader);
      leader.completePoll("w1", { running: [listed(SECOND)] });
    },
  },
  {
    name: "before its job was submitted again",
    find: (leader) => {
      leader.completePoll("w1", { running: [listed(SECOND)] });
      submitAgain(leader);
    },
  },
];

function submitAgain(leader: TestInstance): Effect[] {
  const message = testSubmission({
    jobId: JOB_ID,
    job: chain,
    resubmitted: true,
  });
  return leader.receive("p", message);
}

// A run of the second step was stopped after 120 ms, and the task started again
// beside it once the first step was done.
for (const { name, find } of attachments) {
  test(`a run of a later step is kept, found ${name}`, () => {
    const leader = createTestLeader();
    leader.tick(2_000);
    find(leader);
    expect(stateOf(leader, SECOND)).toEqual("placed");
    const running = [listed(SECOND)];
    leader.completePoll("w1", { running });
    const [start] = effectsOf(leader.completePoll("w2"), "startTask");
    expect(start?.taskName).toEqual(FIRST);
    leader.acknowledgeStart(start!);
    const effects = [
      ...leader.completePoll(start!.workerId, {
        running,
        finished: [[FIRST, "done"]],
      }),
      ...pass(leader, 200),
    ];
    expect(startsOf(effects)).toEqual([]);
    expect(effectsOf(effects, "stopTask")).toEqual([]);
    const ended = leader.completePoll("w1", { finished: [[SECOND, "done"]] });
    const outcomes = effectsOf(ended, "sendPeer").flatMap(({ message }) =>
      message.type === "jobEnded" ? [message.outcome.kind] : []
    );
    expect(outcomes).toEqual(["done"]);
  });
}

test("a task whose earlier step is not done waits again when its run is lost", () => {
  const leader = createTestLeader();
  leader.tick(2_000);
  submitAgain(leader);
  leader.completePoll("w1", { running: [listed(SECOND)] });
  leader.completePoll("w1", { finished: [[SECOND, "lapsed"]] });
  expect(stateOf(leader, SECOND)).toEqual("waiting");
  const starts = startsOf([
    ...leader.completePoll("w1"),
    ...leader.completePoll("w2"),
    ...pass(leader, 100),
  ]);
  expect(starts).toEqual([FIRST]);
});

/** States of a run that is at work when an earlier run turns out to be done. */
const placements = [
  { name: "starting", isAcknowledged: false },
  { name: "running", isAcknowledged: true },
];

// The end of an earlier run counts, and the later run of the task is stopped.
for (const { name, isAcknowledged } of placements) {
  test(`an end counts for a task with a run that is ${name} elsewhere`, () => {
    const leader = createTestLeader();
    leader.tick(2_000);
    const effects = leader.receive(
      "p",
      testSubmission({ jobId: JOB_ID, job: testJob(2) }),
    );
    const [start] = startedRuns(effects, FIRST);
    if (isAcknowledged) leader.acknowledgeStart(start!);
    const other = start!.workerId === "w1" ? "w2" : "w1";
    const ended = leader.completePoll(other, { finished: [[FIRST, "done"]] });
    expect(stateOf(leader, FIRST)).toEqual("done");
    const stops = effectsOf(ended, "stopTask");
    expect(stops.map(({ workerId, taskName }) => ({ workerId, taskName })))
      .toEqual([{ workerId: start!.workerId, taskName: FIRST }]);
  });
}

test("an end counts for a run that is tracked, but belongs to no job yet", () => {
  const leader = createLeaderBeforeRecords();
  leader.tick();
  leader.completePoll("w1", { running: [listed(FIRST)] });
  leader.completePoll("w1", { finished: [[FIRST, "done"]] });
  const effects = openRecords(leader, [
    testStoredRecord({ jobId: JOB_ID, job: recordedChain }),
  ]);
  expect(stateOf(leader, FIRST)).toEqual("done");
  expect(startedRuns(effects, FIRST)).toEqual([]);
});

// An end was recorded as read, but not applied, while the record of its job was
// damaged.
test("an end counts for a tracked run though its job counts as not persisted", () => {
  const leader = createRestoringLeader();
  const effects = [
    ...leader.completePoll("w1"),
    ...leader.completePoll("w2"),
    ...pass(leader, 3_000),
  ];
  const [start] = effectsOf(effects, "startTask");
  leader.acknowledgeStart(start!);
  const record = leader.state.scheduler?.jobs.get(JOB_ID)?.record;
  Object.assign(record!, { accepted: false });
  leader.completePoll(start!.workerId, { finished: [[FIRST, "done"]] });
  expect(stateOf(leader, FIRST)).toEqual("done");
});

// The end was reported by the leader that owns the worker of the earlier run.
test("the latest run of a task that was done elsewhere is stopped until it is gone", () => {
  const leader = createRestoringLeader();
  const [start] = effectsOf([
    ...leader.completePoll("w1"),
    ...leader.completePoll("w2"),
    ...pass(leader, 3_000),
  ], "startTask");
  leader.acknowledgeStart(start!);
  const { workerId } = start!;
  const running = [listed(FIRST)];
  const stops = [...leader.receive("q", reportOf(FIRST, 1))];
  leader.completePoll(workerId, { running });
  stops.push(...pass(leader, 300));
  const stop = { workerId, taskName: FIRST };
  expect(
    effectsOf(stops, "stopTask").map(({ workerId, taskName }) => ({
      workerId,
      taskName,
    })),
  ).toEqual([stop, stop]);
  leader.completePoll(workerId, { finished: [[FIRST, "stopped"]] });
  expect(effectsOf(pass(leader, 300), "stopTask")).toEqual([]);
  expect(stateOf(leader, FIRST)).toEqual("done");
});

// The record may have another outcome, such as that of a cancellation.
test("an end found before the records ends no job that is submitted again", () => {
  const leader = createLeaderBeforeRecords();
  const job: JobSpec = { ...testJob(1), isRecorded: true };
  leader.receive("p", testSubmission({ jobId: JOB_ID, job }));
  leader.tick();
  const effects = [
    ...leader.completePoll("w1", { finished: [[FIRST, "done"]] }),
    ...pass(leader, 200),
    ...openRecords(leader, [
      testStoredRecord({
        jobId: JOB_ID,
        job,
        outcome: { kind: "cancelled", begun: true },
      }),
    ]),
    ...pass(leader, 200),
  ];
  const outcomes = effectsOf(effects, "sendPeer").flatMap(({ message }) =>
    message.type === "jobEnded" ? [message.outcome.kind] : []
  );
  expect(outcomes).toEqual(["cancelled"]);
});
