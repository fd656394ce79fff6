import { test } from "node:test";
import { expect } from "earl";
import type {
  InstanceInfo,
  JobSpec,
  PeerMessageOf,
  Step,
  WorkerDemand,
  WorkerInfo,
} from "./schemas.ts";
import {
  confirmWrites,
  createTestInstance,
  effectsOf,
  messagesOf,
  testHeartbeat,
  type TestInstance,
  testInstanceInfo,
  testJob,
  testSubmission,
  testWorker,
} from "./testing.ts";
import type { Effect } from "./types.ts";
import { tasksThatFit } from "./worker_loans.ts";

const JOB_ID = "00000000000000aa";
/** The leader of the zone `caxias`; the instance under test leads `poa`. */
const OTHER_ID = "other";
const LABEL = "rack-caxias";

function zoneWorker(workerId: string, availabilityZone: string): WorkerInfo {
  return {
    ...testWorker(workerId),
    availabilityZone,
    labels: [`rack-${availabilityZone}`],
  };
}

/** Enough workers for a leader in each zone, of which `poa` has four. */
const WORKERS: readonly WorkerInfo[] = [
  ...Array.from({ length: 4 }, (_, index) => zoneWorker(`p${index}`, "poa")),
  ...Array.from(
    { length: 110 },
    (_, index) => zoneWorker(`c${index}`, "caxias"),
  ),
];

/** The other leader is heard from, by default as one without the records. */
function hearOther(
  leader: TestInstance,
  fields: Partial<PeerMessageOf<"heartbeat">> = {},
): Effect[] {
  return leader.receive(
    OTHER_ID,
    testHeartbeat({
      sentAtMs: leader.state.nowMs,
      workersAgeMs: 1e6,
      isLeader: true,
      leaderId: OTHER_ID,
      term: 9,
      hasZoneCells: true,
      recordsExist: true,
      ...fields,
    }),
  );
}

/**
 * Advances by `ms` in ticks. The store and the workers of the given ids answer,
 * and the other leader is heard from.
 */
function pass(
  leader: TestInstance,
  ms: number,
  { hears = true, workerIds = [], fields = {} }: {
    hears?: boolean;
    workerIds?: readonly string[];
    fields?: Partial<PeerMessageOf<"heartbeat">>;
  } = {},
): Effect[] {
  const effects: Effect[] = [];
  for (let passedMs = 0; passedMs < ms; passedMs += 25) {
    if (hears) hearOther(leader, fields);
    const ticked = leader.tick();
    effects.push(...ticked, ...confirmWrites(leader, ticked));
    for (const { workerId } of effectsOf(ticked, "hold")) {
      if (workerIds.includes(workerId)) {
        effects.push(...leader.completePoll(workerId));
      }
    }
  }
  return effects;
}

/** The leader of `poa`. */
function createLeader(evacuateMs?: number): TestInstance {
  const leader = createTestInstance({ evacuateMs });
  const other: InstanceInfo = {
    ...testInstanceInfo(OTHER_ID),
    availabilityZone: "caxias",
  };
  leader.after(0, { type: "instancesRead", instances: [other] });
  leader.after(0, { type: "peerUp", instanceId: OTHER_ID });
  leader.after(0, { type: "workersRead", workers: [...WORKERS] });
  leader.state.recordsZone = "poa";
  pass(leader, 1_000);
  for (let index = 0; index < 4; index += 1) leader.completePoll(`p${index}`);
  pass(leader, 100);
  return leader;
}

/** The leader of `poa`, which owns the records. */
function createOwner(evacuateMs?: number): TestInstance {
  const owner = createLeader(evacuateMs);
  const { term } = owner.state.scheduler!.records;
  const outcome = { kind: "opened" as const, records: [] };
  owner.after(5, { type: "recordsOpened", term, outcome });
  pass(owner, 2_000);
  return owner;
}

function jobWith(step: Partial<Step>): JobSpec {
  const { steps, ...job } = testJob(2);
  return { ...job, isRecorded: true, steps: [{ ...steps[0]!, ...step }] };
}

function submit(owner: TestInstance, job: JobSpec): Effect[] {
  const submission = testSubmission({ jobId: JOB_ID, job });
  return confirmWrites(owner, owner.receive("p", submission));
}

const DEMAND: WorkerDemand = {
  service: "s",
  cpuMilli: 14_000,
  memoryMb: 64,
  accelerators: 0,
  count: 2,
};

const waiting: {
  name: string;
  job: JobSpec;
  demands: readonly WorkerDemand[];
}[] = [
  {
    name: "fit on workers of its zone",
    job: jobWith({}),
    demands: [],
  },
  {
    name: "require a label of another zone",
    job: jobWith({ requiredLabel: LABEL }),
    demands: [{ ...DEMAND, requiredLabel: LABEL }],
  },
  {
    name: "are more than fit there",
    job: jobWith({ count: 11 }),
    demands: [{ ...DEMAND, count: 3 }],
  },
  {
    name: "require a label that no worker has",
    job: jobWith({ requiredLabel: "none" }),
    demands: [],
  },
  {
    name: "are larger than any worker",
    job: jobWith({ cpuMilli: 64_000 }),
    demands: [],
  },
  {
    name: "may not be together on a worker",
    job: jobWith({ count: 5, maxPerWorker: 1 }),
    demands: [{ ...DEMAND, maxPerWorker: 1, count: 1 }],
  },
  {
    name: "belong to a job in memory",
    job: { ...jobWith({ requiredLabel: LABEL }), isRecorded: false },
    demands: [],
  },
];

// Tasks of recorded jobs ran on workers of the owner's zone only: those that
// required a label of another zone were queued for good (review case 8).
for (const { name, job, demands } of waiting) {
  test(`workers asked for by the owner of the records, whose tasks ${name}: ${demands.length} kinds`, () => {
    const owner = createOwner();
    submit(owner, job);
    const [first] = messagesOf(pass(owner, 600), "workersWanted");
    expect(first?.demands ?? []).toEqual([...demands]);
  });
}

// A zone may have no worker of a service that other zones have.
test("a recorded job is admitted without a worker of its service in the owner's zone", () => {
  const owner = createOwner();
  const workers = WORKERS.map((info) =>
    info.availabilityZone === "poa" ? { ...info, service: "t" } : info
  );
  owner.after(0, { type: "workersRead", workers });
  pass(owner, 100);
  submit(owner, jobWith({}));
  const [first] = messagesOf(pass(owner, 600), "workersWanted");
  expect(first?.demands).toEqual([DEMAND]);
});

// Recorded jobs would wait beside idle workers of other zones, or a lender would
// be asked for workers on which nothing may start.
for (
  const { zone, step, demands } of [
    { zone: "poa", step: {}, demands: [DEMAND] },
    { zone: "caxias", step: { requiredLabel: LABEL }, demands: [] },
  ]
) {
  test(`workers asked for by the owner of the records while ${zone} is evacuated: ${demands.length} kinds`, () => {
    const owner = createOwner(5_000);
    const requestedAtMs = owner.state.nowMs;
    owner.after(0, { type: "evacuationsRead", zones: [zone], requestedAtMs });
    const started = submit(owner, jobWith(step));
    const effects = [...started, ...pass(owner, 600)];
    const [first] = messagesOf(effects, "workersWanted");
    expect(first?.demands ?? []).toEqual(demands);
    expect(effectsOf(effects, "startTask")).toEqual([]);
  });
}

/** The owner of the records, which has borrowed the worker `c0` for a task. */
function createBorrower(): { owner: TestInstance; fence: number } {
  const owner = createOwner();
  submit(owner, jobWith({ count: 1, requiredLabel: LABEL }));
  pass(owner, 300);
  owner.receive(OTHER_ID, {
    type: "workersLent",
    term: 9,
    loans: [{ workerId: "c0", loanId: 1, fence: 1e15 }],
    returned: [],
  });
  const effects = pass(owner, 300, { workerIds: ["c0"] });
  const starts = effectsOf(effects, "startTask");
  expect(starts.map(({ workerId }) => workerId)).toEqual(["c0"]);
  owner.acknowledgeStart(starts[0]!);
  return { owner, fence: starts[0]!.fence };
}

test("a borrowed worker is acquired above the token of its lender and runs the task", () => {
  const { owner, fence } = createBorrower();
  expect(fence > 1e15).toEqual(true);
  expect(owner.state.scheduler?.jobs.get(JOB_ID)?.tasks[0]?.workerId)
    .toEqual("c0");
});

test("a borrowed worker is returned after its last run until the lender confirms", () => {
  const { owner } = createBorrower();
  const kept = messagesOf(pass(owner, 1_000), "workersWanted");
  expect(kept.length >= 4).toEqual(true);
  expect(kept.every(({ returned }) => returned.length === 0)).toEqual(true);
  const ended = owner.completePoll("c0", {
    finished: [[`${JOB_ID}.0.0.0`, "done"]],
  });
  confirmWrites(owner, ended);
  const after = pass(owner, 1_500, { workerIds: ["c0"] });
  const returned = messagesOf(after, "workersWanted").at(-1)?.returned ?? [];
  expect(returned.map(({ workerId }) => workerId)).toEqual(["c0"]);
  expect(owner.state.scheduler?.workers.has("c0")).toEqual(false);
  const confirmation = { term: 9, loans: [], returned: ["c0"] };
  owner.receive(OTHER_ID, { type: "workersLent", ...confirmation });
  expect(messagesOf(pass(owner, 1_000), "workersWanted")).toEqual([]);
});

// The lender owns the worker again after a time without messages.
test("a borrower doesn't take a worker back that its lender owns again", () => {
  const { owner } = createBorrower();
  const worker = owner.state.scheduler!.workers.get("c0")!;
  owner.after(1, {
    type: "pollCompleted",
    workerId: "c0",
    callId: worker.pollCallId,
    outcome: { kind: "fenced" },
  });
  const effects = pass(owner, 8_000);
  const polls = effectsOf(effects, "hold")
    .filter(({ workerId }) => workerId === "c0");
  expect(polls).toEqual([]);
});

test("a task of a job in memory is not placed on a borrowed worker", () => {
  const { owner } = createBorrower();
  const job = testJob(12);
  owner.receive("q", testSubmission({ jobId: "00000000000000bb", job }));
  const effects = pass(owner, 300, { workerIds: ["c0"] });
  const workerIds = effectsOf(effects, "startTask")
    .map(({ workerId }) => workerId);
  expect(workerIds.includes("c0")).toEqual(false);
});

// A new leader of the lender's zone doesn't know of the loans.
test("a borrower tells a new lender which workers it keeps", () => {
  const { owner } = createBorrower();
  const answer = { term: 9, loans: [], returned: [] };
  owner.receive(OTHER_ID, { type: "workersLent", ...answer });
  const before = messagesOf(pass(owner, 400), "workersWanted");
  expect(before.map(({ kept }) => kept.length)).toEqual([0, 0]);
  const after = pass(owner, 400, { fields: { term: 10 } });
  const kept = messagesOf(after, "workersWanted").map((message) =>
    message.kept.map(({ workerId }) => workerId)
  );
  expect(kept).toEqual([["c0"], ["c0"]]);
});

test("the workers of a zone without instances are used without asking", () => {
  const owner = createOwner();
  submit(owner, jobWith({ count: 1, requiredLabel: LABEL }));
  const effects = pass(owner, 6_000, { hears: false, workerIds: ["c0"] });
  const starts = effectsOf(effects, "startTask");
  expect(starts.map(({ workerId }) => workerId)).toEqual(["c0"]);
});

/** The leader of `poa`, which is asked for workers. */
function askForWorkers(
  lender: TestInstance,
  fields: Partial<PeerMessageOf<"workersWanted">> = {},
): Effect[] {
  return lender.receive(OTHER_ID, {
    type: "workersWanted",
    demands: [],
    seenLoanId: 0,
    kept: [],
    returned: [],
    ...fields,
  });
}

function lentIn(effects: readonly Effect[]): string[] {
  return messagesOf(effects, "workersLent")
    .flatMap(({ loans }) => loans.map(({ workerId }) => workerId));
}

const requests: { name: string; demand: WorkerDemand; lent: string[] }[] = [
  { name: "one worker is enough for", demand: DEMAND, lent: ["p0"] },
  {
    name: "need all workers, of which a quarter is kept",
    demand: { ...DEMAND, count: 40 },
    lent: ["p0", "p1", "p2"],
  },
  {
    name: "need one worker each",
    demand: { ...DEMAND, maxPerWorker: 1 },
    lent: ["p0", "p1"],
  },
  {
    name: "require a label of another zone",
    demand: { ...DEMAND, requiredLabel: LABEL },
    lent: [],
  },
  {
    name: "are larger than any worker",
    demand: { ...DEMAND, cpuMilli: 33_000 },
    lent: [],
  },
  {
    name: "are of another service",
    demand: { ...DEMAND, service: "t" },
    lent: [],
  },
];

for (const { name, demand, lent } of requests) {
  test(`workers lent for tasks that ${name}: ${lent.length}`, () => {
    const lender = createLeader();
    const effects = askForWorkers(lender, { demands: [demand] });
    expect(lentIn(effects)).toEqual(lent);
    const ticked = pass(lender, 500);
    const polled = effectsOf(ticked, "hold").map(({ workerId }) => workerId);
    expect(polled.filter((workerId) => lent.includes(workerId))).toEqual([]);
  });
}

test("a worker with a run is lent once the run has ended", () => {
  const lender = createLeader();
  // Two tasks occupy a worker; no worker is empty.
  const job = testJob(8);
  const started = lender.receive(
    "p",
    testSubmission({ jobId: JOB_ID, job }),
  );
  const starts = effectsOf(started, "startTask");
  for (const start of starts) lender.acknowledgeStart(start);
  const full = askForWorkers(lender, { demands: [DEMAND] });
  expect(lentIn(full)).toEqual([]);
  const ended = starts.filter(({ workerId }) => workerId !== "p0");
  for (const workerId of ["p1", "p2", "p3"]) {
    const finished = ended.filter((start) => start.workerId === workerId)
      .map(({ taskName }): [string, "done"] => [taskName, "done"]);
    lender.completePoll(workerId, { finished });
  }
  const freed = askForWorkers(lender, { demands: [DEMAND] });
  expect(lentIn(freed)).toEqual(["p1"]);
});

const ends: { name: string; passMs: number; returned: boolean }[] = [
  { name: "is returned", passMs: 0, returned: true },
  {
    name: "was lent to a borrower that isn't heard from",
    passMs: 1_500,
    returned: false,
  },
];

for (const { name, passMs, returned } of ends) {
  test(`a worker that ${name} is acquired again above the borrower's token`, () => {
    const lender = createLeader();
    askForWorkers(lender, { demands: [DEMAND] });
    const fence = 1e15;
    const before = pass(lender, passMs);
    const answer = returned
      ? askForWorkers(lender, { returned: [{ workerId: "p0", fence }] })
      : [];
    const effects = [...before, ...answer, ...pass(lender, 50)];
    const [poll] = effectsOf(effects, "hold")
      .filter(({ workerId }) => workerId === "p0");
    expect(poll?.leaseEndsMs).toEqual(null);
    expect((poll?.fence ?? 0) > (returned ? fence : 0)).toEqual(true);
    expect(
      messagesOf(answer, "workersLent").flatMap(({ returned }) => returned),
    )
      .toEqual(returned ? ["p0"] : []);
  });
}

test("a loan that was told is not told again, and goes on while it is renewed", () => {
  const lender = createLeader();
  const [told] = messagesOf(
    askForWorkers(lender, { demands: [DEMAND] }),
    "workersLent",
  );
  const seenLoanId = told?.loans[0]?.loanId ?? 0;
  for (let count = 0; count < 10; count += 1) {
    const effects = [
      ...pass(lender, 400),
      ...askForWorkers(lender, { seenLoanId }),
    ];
    expect(lentIn(effects)).toEqual([]);
    expect(lender.state.scheduler?.workers.has("p0")).toEqual(false);
  }
});

const kept: { name: string; isAcquired: boolean; isLent: boolean }[] = [
  { name: "has not acquired", isAcquired: false, isLent: true },
  { name: "has acquired", isAcquired: true, isLent: false },
];

for (const { name, isAcquired, isLent } of kept) {
  test(`a new leader ${isLent ? "goes on" : "doesn't go on"} with the loan of a worker that it ${name}`, () => {
    const lender = createLeader();
    const worker = lender.state.scheduler!.workers.get("p0")!;
    if (!isAcquired) {
      worker.phase = "lost";
      worker.hasNewOwner = true;
    }
    const effects = askForWorkers(lender, {
      kept: [{ workerId: "p0", fence: 1e15 }],
    });
    expect(lentIn(effects)).toEqual(isLent ? ["p0"] : []);
  });
}

const fits: { name: string; demand: Partial<WorkerDemand>; count: number }[] = [
  { name: "its cores", demand: { cpuMilli: 8_000, count: 9 }, count: 4 },
  { name: "its memory", demand: { memoryMb: 600, count: 9 }, count: 1 },
  { name: "its accelerators", demand: { accelerators: 1 }, count: 0 },
  { name: "the number of tasks", demand: { cpuMilli: 0, count: 3 }, count: 3 },
  { name: "the tasks per worker", demand: { maxPerWorker: 1 }, count: 1 },
  { name: "its label", demand: { requiredLabel: "none" }, count: 0 },
  { name: "its service", demand: { service: "t" }, count: 0 },
];

for (const { name, demand, count } of fits) {
  test(`tasks that fit on a worker by ${name}: ${count}`, () => {
    expect(tasksThatFit(testWorker("w"), { ...DEMAND, ...demand }))
      .toEqual(count);
  });
}

test("no task fits on a worker that drains", () => {
  const info = { ...testWorker("w"), draining: true };
  expect(tasksThatFit(info, DEMAND)).toEqual(0);
});
