import { test } from "node:test";
import { expect } from "earl";
import type { JobRecord, JobSpec } from "./schemas.ts";
import {
  createTestInstance,
  effectsOf,
  type TestInstance,
  testJob,
  testQueue,
  testSubmission,
  testWorker,
} from "./testing.ts";
import type { Effect, PollOutcome } from "./types.ts";

const JOB_ID = "00000000000000aa";
const OTHER_ID = "00000000000000bb";
const recorded: JobSpec = { ...testJob(1), isRecorded: true };

type Start = Extract<Effect, { type: "startTask" }>;

/** A leader of a few workers, and the effects of all events so far. */
interface Fleet {
  readonly leader: TestInstance;
  readonly effects: Effect[];
  readonly bornMs: Map<string, number>;
}

function createFleet(
  { workers = 6, records = [] }: {
    workers?: number;
    records?: readonly JobRecord[];
  } = {},
): Fleet {
  const leader = createTestInstance();
  const ids = Array.from({ length: workers }, (_, index) => `w${index}`);
  leader.after(0, { type: "workersRead", workers: ids.map(testWorker) });
  leader.tick(1_000);
  leader.tick();
  const effects = ids.flatMap((workerId) => leader.completePoll(workerId));
  effects.push(...leader.tick(100));
  leader.state.recordsExist = true;
  effects.push(...leader.tick());
  effects.push(...leader.after(5, {
    type: "recordsOpened",
    term: leader.state.leaderTerm,
    outcome: {
      kind: "opened",
      records: records.map((record) => ({ record, version: 7 })),
    },
  }));
  const fleet = { leader, effects, bornMs: new Map<string, number>() };
  pass(fleet, 25);
  return fleet;
}

/** Submits a job; what is written to the store is acknowledged at once. */
function submit(fleet: Fleet, jobId: string, job: JobSpec): void {
  const { leader, effects } = fleet;
  effects.push(...leader.receive("p", testSubmission({ jobId, job })));
  acknowledgeWrites(fleet);
}

function acknowledgeWrites({ leader, effects }: Fleet): void {
  const writes = leader.state.scheduler?.records.inFlightWrites ?? new Map();
  for (const { writeId } of [...writes.values()]) {
    const outcome = { kind: "written" as const, version: writeId + 10 };
    effects.push(
      ...leader.after(1, { type: "recordsWritten", writeId, outcome }),
    );
  }
}

/** Lets time pass; workers that are reachable answer their polls. */
function pass(
  fleet: Fleet,
  ms: number,
  isAnswering: (workerId: string) => boolean = () => true,
): void {
  const { leader, effects, bornMs } = fleet;
  for (let passedMs = 0; passedMs < ms; passedMs += 25) {
    effects.push(...leader.tick());
    acknowledgeWrites(fleet);
    for (const worker of leader.state.scheduler?.workers.values() ?? []) {
      const { workerId } = worker.info;
      if (!isAnswering(workerId)) continue;
      if (worker.phase === "ready" && worker.nextPollAtMs !== Infinity) {
        continue;
      }
      if (worker.pollCallId === 0) continue;
      effects.push(...leader.completePoll(workerId, {
        running: [...worker.runs.values()].map(({ taskName, run }) => ({
          taskName,
          run,
          percent: 50,
        })),
        bornMs: bornMs.get(workerId) ?? 1,
      }));
    }
  }
}

function startsOf({ effects }: Fleet, jobId: string): Start[] {
  return effectsOf(effects, "startTask").filter(({ taskName }) =>
    taskName.startsWith(jobId)
  );
}

function outcomesOf({ effects, leader }: Fleet, jobId: string): string[] {
  const reported = effectsOf(effects, "sendPeer").flatMap(({ message }) =>
    message.type === "jobEnded" && message.jobId === jobId
      ? [message.outcome.kind]
      : []
  );
  const outcome = leader.state.scheduler?.jobs.get(jobId)?.outcome;
  return reported.length > 0 ? reported : outcome ? [outcome.kind] : [];
}

function failPoll(
  { leader, effects }: Fleet,
  workerId: string,
  outcome: PollOutcome,
): void {
  const callId = leader.state.scheduler?.workers.get(workerId)?.pollCallId ?? 0;
  effects.push(
    ...leader.after(1, { type: "pollCompleted", workerId, callId, outcome }),
  );
}

const reset: PollOutcome = { kind: "unreachable", detail: "ECONNRESET" };
const timeout: PollOutcome = { kind: "unreachable", detail: "timeout" };
const notListening: PollOutcome = { kind: "notListening" };

/** Lets workers fail their polls in a way until all leases have expired. */
function outage(
  fleet: Fleet,
  workerIds: readonly string[],
  outcomes: readonly PollOutcome[],
): void {
  for (let round = 0; round < 60; round += 1) {
    const outcome = outcomes[Math.min(round, outcomes.length - 1)];
    for (const workerId of workerIds) {
      if (outcome !== undefined) failPoll(fleet, workerId, outcome);
    }
    pass(fleet, 25, (workerId) => !workerIds.includes(workerId));
  }
}

/** What happens to the workers after the latest start of a task. */
type Fate =
  | "crash"
  | "crashUnseen"
  | "partition"
  | "refusingPartition"
  | "unlistedPartition"
  | "unlistedCrash"
  | "restartAsPlanned"
  | "done";

function crash(fleet: Fleet, workerId: string, outcomes: PollOutcome[]): void {
  outage(fleet, [workerId], outcomes);
  fleet.bornMs.set(workerId, (fleet.bornMs.get(workerId) ?? 1) + 5_000);
  pass(fleet, 1_500);
}

/** A silent worker leaves the list of workers and is listed again later. */
function unlist(fleet: Fleet, workerId: string): void {
  outage(fleet, [workerId], [timeout]);
  const workers = [...fleet.leader.state.workers.values()];
  const others = workers.filter((worker) => worker.workerId !== workerId);
  fleet.effects.push(
    ...fleet.leader.after(1, { type: "workersRead", workers: others }),
  );
  pass(fleet, 500);
  fleet.effects.push(
    ...fleet.leader.after(1, { type: "workersRead", workers }),
  );
  pass(fleet, 1_500);
}

const fates: Record<Fate, (fleet: Fleet, start: Start) => void> = {
  crash: (fleet, { workerId }) => crash(fleet, workerId, [reset, notListening]),
  // The host of the worker is gone with it, so nothing refuses connections.
  crashUnseen: (fleet, { workerId }) => crash(fleet, workerId, [timeout]),
  partition(fleet, { workerId }) {
    outage(fleet, [workerId], [timeout]);
    pass(fleet, 1_500);
  },
  refusingPartition(fleet, { workerId }) {
    const others = [...fleet.leader.state.workers.keys()].filter((id) =>
      id !== workerId
    );
    outage(fleet, [workerId, ...others.slice(0, 4)], [notListening]);
    pass(fleet, 1_500);
  },
  unlistedPartition: (fleet, { workerId }) => unlist(fleet, workerId),
  unlistedCrash(fleet, { workerId }) {
    const bornMs = fleet.bornMs.get(workerId) ?? 1;
    fleet.bornMs.set(workerId, bornMs + 5_000);
    unlist(fleet, workerId);
  },
  restartAsPlanned(fleet, { workerId }) {
    const workers = [...fleet.leader.state.workers.values()].map((worker) => ({
      ...worker,
      draining: worker.workerId === workerId,
    }));
    fleet.leader.after(1, { type: "workersRead", workers });
    outage(fleet, [workerId], [notListening]);
    const back = workers.map((worker) => ({ ...worker, draining: false }));
    fleet.bornMs.set(workerId, 9_000);
    fleet.leader.after(1, { type: "workersRead", workers: back });
    pass(fleet, 1_500);
  },
  done(fleet, { workerId, taskName }) {
    fleet.effects.push(...fleet.leader.completePoll(workerId, {
      finished: [[taskName, "done"]],
      bornMs: fleet.bornMs.get(workerId) ?? 1,
    }));
    pass(fleet, 100);
  },
};

/** Applies each fate in turn; returns the number of starts of the job's task. */
function play(fleet: Fleet, jobId: string, series: readonly Fate[]): number {
  let handled = 0;
  for (const fate of series) {
    const start = startsOf(fleet, jobId)[handled];
    if (start === undefined) break;
    handled += 1;
    fleet.effects.push(...fleet.leader.acknowledgeStart(start));
    pass(fleet, 25);
    fates[fate](fleet, start);
  }
  pass(fleet, 6_000);
  return startsOf(fleet, jobId).length;
}

const many = <T>(item: T): T[] => Array.from({ length: 9 }, () => item);

/** A recorded task, the fates of its runs, and what becomes of its job. */
const series: {
  readonly name: string;
  readonly fates: readonly Fate[];
  readonly maxStarts: number;
  readonly outcomes: readonly string[];
}[] = [
  {
    name: "crashes each worker",
    fates: many("crash"),
    maxStarts: 2,
    outcomes: ["failed"],
  },
  {
    name: "crashes each worker, which nobody sees before it is back",
    fates: many("crashUnseen"),
    maxStarts: 4,
    outcomes: ["failed"],
  },
  {
    name: "is on a worker that crashes once",
    fates: ["crash", "done"],
    maxStarts: 2,
    outcomes: ["done"],
  },
  {
    name: "is on workers that are partitioned again and again",
    fates: [...many<Fate>("partition").slice(0, 4), "done"],
    maxStarts: 5,
    outcomes: ["done"],
  },
  {
    name: "is on workers whose partitions refuse connections",
    fates: ["refusingPartition", "refusingPartition", "done"],
    maxStarts: 3,
    outcomes: ["done"],
  },
  {
    name: "is on partitioned workers that are unlisted meanwhile",
    fates: [...many<Fate>("unlistedPartition").slice(0, 4), "done"],
    maxStarts: 5,
    outcomes: ["done"],
  },
  {
    name: "crashes workers that are unlisted meanwhile",
    fates: many("unlistedCrash"),
    maxStarts: 4,
    outcomes: ["failed"],
  },
  {
    name: "is on workers that restart as planned",
    fates: ["restartAsPlanned", "restartAsPlanned", "done"],
    maxStarts: 3,
    outcomes: ["done"],
  },
];

for (const { name, fates, maxStarts, outcomes } of series) {
  test(`a recorded task that ${name}`, () => {
    const fleet = createFleet();
    submit(fleet, JOB_ID, recorded);
    const starts = play(fleet, JOB_ID, fates);
    expect(outcomesOf(fleet, JOB_ID).slice(-1)).toEqual([...outcomes]);
    expect([starts, starts <= maxStarts]).toEqual([starts, true]);
  });
}

test("a task that crashed two workers fails its job without waiting", () => {
  const fleet = createFleet();
  submit(fleet, JOB_ID, testJob(1));
  const starts = play(fleet, JOB_ID, ["crash", "crash"]);
  expect(outcomesOf(fleet, JOB_ID)).toEqual(["failed"]);
  expect(starts).toEqual(2);
});

test("callers are told of the second crash before its lease has expired", () => {
  const fleet = createFleet();
  submit(fleet, JOB_ID, testJob(1));
  const [first] = startsOf(fleet, JOB_ID);
  if (first === undefined) throw new Error("no task was started");
  fleet.effects.push(...fleet.leader.acknowledgeStart(first));
  outage(fleet, [first.workerId], [reset, notListening]);
  const again = startsOf(fleet, JOB_ID)[1];
  if (again === undefined) throw new Error("the task was not started again");
  const startedAtMs = fleet.leader.state.nowMs;
  failPoll(fleet, again.workerId, reset);
  for (let round = 0; round < 20; round += 1) {
    failPoll(fleet, again.workerId, notListening);
    pass(fleet, 25, (workerId) => workerId !== again.workerId);
  }
  expect(fleet.leader.state.nowMs - startedAtMs < 1_000).toEqual(true);
  expect(outcomesOf(fleet, JOB_ID)).toEqual(["failed"]);
});

test("a task beside one that crashes its worker is not given up", () => {
  const fleet = createFleet({ workers: 2 });
  // Each worker has room for two tasks; the recorded one crashes its worker.
  submit(fleet, OTHER_ID, { ...testJob(1), isRecorded: true });
  pass(fleet, 500);
  submit(fleet, JOB_ID, recorded);
  play(fleet, JOB_ID, many("crash"));
  expect(outcomesOf(fleet, JOB_ID)).toEqual(["failed"]);
  expect(outcomesOf(fleet, OTHER_ID)).toEqual([]);
  const [last] = startsOf(fleet, OTHER_ID).slice(-1);
  if (last === undefined) throw new Error("the other task was not started");
  fates.done(fleet, last);
  expect(outcomesOf(fleet, OTHER_ID)).toEqual(["done"]);
});

test("a task under suspicion runs alone", () => {
  const fleet = createFleet({ workers: 3 });
  submit(fleet, JOB_ID, recorded);
  const [first] = startsOf(fleet, JOB_ID);
  if (first === undefined) throw new Error("no task was started");
  fleet.effects.push(...fleet.leader.acknowledgeStart(first));
  fates.crash(fleet, first);
  const again = startsOf(fleet, JOB_ID)[1];
  if (again === undefined) throw new Error("the task was not started again");
  for (const digit of [1, 2, 3, 4]) {
    submit(fleet, `00000000000000c${digit}`, testJob(1));
  }
  const beside = effectsOf(fleet.effects, "startTask").filter((start) =>
    start.taskName !== again.taskName && start.workerId === again.workerId &&
    fleet.effects.indexOf(start) > fleet.effects.indexOf(again)
  );
  expect(beside).toEqual([]);
});

// The workers of the lost runs are not in the record, so waiting for what became
// of them would be in vain.
test("a new leader tries a task with unresolved losses once more", () => {
  const before = createFleet();
  submit(before, JOB_ID, recorded);
  for (const number of [0, 1]) {
    const start = startsOf(before, JOB_ID)[number];
    if (start === undefined) throw new Error("no task was started");
    before.effects.push(...before.leader.acknowledgeStart(start));
    outage(before, [start.workerId], [reset, notListening]);
  }
  const row = effectsOf(before.effects, "writeRecords")
    .flatMap(({ rows }) => rows).at(-1);
  if (row?.record == null) throw new Error("no record was written");
  const after = createFleet({ records: [row.record] });
  pass(after, 4_000);
  expect(startsOf(after, JOB_ID).length).toEqual(1);
  expect(play(after, JOB_ID, many("crash"))).toEqual(1);
  expect(outcomesOf(after, JOB_ID)).toEqual(["failed"]);
});

test("a new leader goes on from the crashes in the job's record", () => {
  const before = createFleet();
  submit(before, JOB_ID, recorded);
  const [first] = startsOf(before, JOB_ID);
  if (first === undefined) throw new Error("no task was started");
  before.effects.push(...before.leader.acknowledgeStart(first));
  fates.crash(before, first);
  const row = effectsOf(before.effects, "writeRecords")
    .flatMap(({ rows }) => rows).at(-1);
  if (row?.record == null) throw new Error("no record was written");
  const after = createFleet({ records: [row.record] });
  pass(after, 4_000);
  const starts = play(after, JOB_ID, many("crash"));
  expect(outcomesOf(after, JOB_ID)).toEqual(["failed"]);
  expect(starts).toEqual(1);
});

/** Lets the workers of the first tasks of new jobs crash, one after another. */
function crashInTurn(fleet: Fleet, count: number): string[] {
  const down: string[] = [];
  for (let number = 1; number <= count; number += 1) {
    const jobId = `00000000000000d${number}`;
    submit(fleet, jobId, testJob(1));
    const [start] = startsOf(fleet, jobId);
    if (start === undefined) throw new Error("no task was started");
    fleet.effects.push(...fleet.leader.acknowledgeStart(start));
    down.push(start.workerId);
    outage(fleet, down, [reset, notListening]);
  }
  return down;
}

function submitTo(fleet: Fleet, jobId: string, queueName: string): void {
  const queue = { ...testQueue, name: queueName };
  const message = testSubmission({ jobId, queue, timeLeftMs: 900 });
  fleet.effects.push(...fleet.leader.receive("p", message));
}

/** Crashes of one queue, and what becomes of the next job of some queue. */
const suspicions: {
  readonly name: string;
  readonly crashes: number;
  readonly queueName: string;
  readonly outcomes: readonly string[];
}[] = [
  {
    name: "a job of a queue with two crashes is started",
    crashes: 2,
    queueName: testQueue.name,
    outcomes: [],
  },
  {
    name:
      "a queue that has over a third of the workers down is refused at once",
    crashes: 3,
    queueName: testQueue.name,
    outcomes: ["refused"],
  },
  {
    name: "another queue is served while that one is held back",
    crashes: 3,
    queueName: "another",
    outcomes: [],
  },
];

for (const { name, crashes, queueName, outcomes } of suspicions) {
  test(name, () => {
    const fleet = createFleet({ workers: 8 });
    crashInTurn(fleet, crashes);
    submitTo(fleet, JOB_ID, queueName);
    expect(outcomesOf(fleet, JOB_ID)).toEqual([...outcomes]);
    expect(startsOf(fleet, JOB_ID).length).toEqual(1 - outcomes.length);
  });
}

test("a queue that was held back is served once its workers are back", () => {
  const fleet = createFleet({ workers: 8 });
  const down = crashInTurn(fleet, 3);
  for (const workerId of down) fleet.bornMs.set(workerId, 9_000);
  pass(fleet, 1_000);
  submitTo(fleet, JOB_ID, testQueue.name);
  expect(startsOf(fleet, JOB_ID).length).toEqual(1);
});

test("tasks of a queue that crashes workers are kept apart from others", () => {
  const fleet = createFleet({ workers: 12 });
  crashInTurn(fleet, 3);
  submitTo(fleet, JOB_ID, testQueue.name);
  submitTo(fleet, OTHER_ID, "another");
  const workerOf = (jobId: string) => startsOf(fleet, jobId)[0]?.workerId;
  expect(workerOf(JOB_ID)).not.toEqual(undefined);
  expect(workerOf(OTHER_ID)).not.toEqual(workerOf(JOB_ID));
});

const guarantees = [
  { name: "in memory", job: testJob(1) },
  { name: "recorded", job: recorded },
];

for (const { name, job } of guarantees) {
  test(`workers lost at the same time blame no task: ${name}`, () => {
    const fleet = createFleet({ workers: 6 });
    submit(fleet, JOB_ID, job);
    play(fleet, JOB_ID, ["refusingPartition"]);
    const task = fleet.leader.state.scheduler?.jobs.get(JOB_ID)?.tasks[0];
    expect([task?.crashes, task?.runsAlone]).toEqual([0, false]);
  });
}

test("no worker that is too small for a task is kept free for its trial", () => {
  const fleet = createFleet({ workers: 2 });
  submit(fleet, JOB_ID, recorded);
  const [first] = startsOf(fleet, JOB_ID);
  if (first === undefined) throw new Error("no task was started");
  fleet.effects.push(...fleet.leader.acknowledgeStart(first));
  const otherId = first.workerId === "w0" ? "w1" : "w0";
  const workers = [
    testWorker(otherId),
    { ...testWorker(first.workerId), cpuMilli: 10_000 },
  ];
  submit(fleet, OTHER_ID, { ...testJob(2), isRecorded: true });
  fleet.leader.after(1, { type: "workersRead", workers });
  fates.crash(fleet, first);
  const reserved = [...fleet.leader.state.scheduler?.workers.values() ?? []]
    .filter(({ reservedUntilMs }) => reservedUntilMs > 0)
    .map(({ info }) => info.workerId);
  expect(reserved).toEqual([otherId]);
});
