import { test } from "node:test";
import { expect } from "earl";
import type { JobSpec, PeerMessageOf } from "../schemas.ts";
import {
  createTestInstance,
  effectsOf,
  messagesOf,
  testHeartbeat,
  type TestInstance,
  testJob,
  testSubmission,
  testWorker,
} from "../testing.ts";
import { mayStartTrial } from "../trials.ts";
import type { Effect } from "../types.ts";

const EVACUATE_MS = 5_000;
const JOB_ID = "00000000000000aa";

/** Workers of two zones, with room for two tasks each. */
const workers = [
  testWorker("w1"),
  { ...testWorker("w2"), availabilityZone: "caxias" },
];

/** The store answers the latest read of the instance, by default at once. */
function answerRead(
  instance: TestInstance,
  zones: readonly string[] | null,
  afterMs = 0,
): Effect[] {
  const requestedAtMs = instance.state.evacuation?.pendingSinceMs ?? 0;
  return instance.after(
    afterMs,
    zones === null
      ? { type: "evacuationsUnreadable", requestedAtMs, detail: "timeout" }
      : { type: "evacuationsRead", requestedAtMs, zones },
  );
}

/** The peer `q` tells what it knows, having heard this instance just now. */
function report(
  instance: TestInstance,
  fields: Partial<PeerMessageOf<"heartbeat">>,
): Effect[] {
  const { nowMs } = instance.state;
  return instance.receive(
    "q",
    testHeartbeat({
      sentAtMs: nowMs,
      heardAtMs: nowMs,
      workersAgeMs: 1e6,
      ...fields,
    }),
  );
}

/** An instance with workers that knows of no leader yet. */
function createCandidate(
  evacuateMs: number | null = EVACUATE_MS,
): TestInstance {
  const instance = createTestInstance({
    peers: ["q"],
    evacuateMs: evacuateMs ?? undefined,
  });
  instance.after(0, { type: "workersRead", workers });
  return instance;
}

/** The instance becomes the leader and owns its workers; its peer has ended. */
function lead(instance: TestInstance): void {
  instance.after(0, { type: "peerDown", instanceId: "q", refused: true });
  for (let ticks = 0; ticks < 60; ticks += 1) instance.tick();
  for (const { workerId } of workers) instance.completePoll(workerId);
  instance.tick(100);
  for (const { workerId } of workers) instance.completePoll(workerId);
}

/** Returns the workers on which the tasks of a new job start. */
function startsOf(instance: TestInstance, jobId = JOB_ID): string[] {
  const job = testSubmission({ jobId, job: testJob(3) });
  return workersOf(instance.receive("p", job));
}

function workersOf(effects: readonly Effect[]): string[] {
  return [
    ...new Set(
      effectsOf(effects, "startTask").map(({ workerId }) => workerId),
    ),
  ].sort();
}

function knownZones({ state }: TestInstance): string[] {
  return [...state.evacuation?.zones.keys() ?? []];
}

test("without the setting nothing is read, kept, told or taken over", () => {
  const instance = createCandidate(null);
  const effects = [
    ...instance.tick(1_300),
    ...report(instance, { evacuation: { zones: ["poa"], ageMs: 1 } }),
    ...answerRead(instance, ["poa"]),
  ];
  expect(effectsOf(effects, "readEvacuations")).toEqual([]);
  expect(instance.state.evacuation).toEqual(null);
  const told = messagesOf(effects, "heartbeat")
    .filter((heartbeat) => "evacuation" in heartbeat);
  expect(told).toEqual([]);
});

/** When reads are sent, by the time since the instance became the leader. */
test("a leader reads at once, every 1.5 s, and 250 ms after a failure", () => {
  const instance = createCandidate();
  const sentAtMs: number[] = [];
  let ledSinceMs: number | null = null;
  for (let ticks = 0; ticks < 200; ticks += 1) {
    const effects = instance.tick();
    const { nowMs, scheduler } = instance.state;
    if (scheduler !== null) ledSinceMs ??= nowMs;
    if (effectsOf(effects, "readEvacuations").length === 0) continue;
    sentAtMs.push(nowMs - (ledSinceMs ?? Infinity));
    answerRead(instance, sentAtMs.length === 2 ? null : []);
  }
  expect(sentAtMs.slice(0, 4)).toEqual([0, 1_500, 1_750, 3_250]);
});

for (const zones of [["caxias"], null]) {
  const outcome = zones === null ? "has failed" : "is answered";
  test(`a leader that knows nothing starts no task until its read ${outcome}`, () => {
    const instance = createCandidate();
    lead(instance);
    expect(startsOf(instance)).toEqual([]);
    answerRead(instance, zones);
    expect(workersOf(instance.tick()))
      .toEqual(zones === null ? ["w1", "w2"] : ["w1"]);
  });
}

/** What a leader of two zones reads, and where the tasks of a job start. */
const reads = [
  { name: "no row", zones: [], starts: ["w1", "w2"] },
  { name: "a row for one of two zones", zones: ["poa"], starts: ["w2"] },
  {
    name: "a row for an unknown zone",
    zones: ["nowhere"],
    starts: ["w1", "w2"],
  },
  { name: "a row without a zone", zones: [""], starts: ["w1", "w2"] },
];

for (const { name, zones, starts } of reads) {
  test(`tasks start only in zones that are not evacuated: ${name}`, () => {
    const instance = createCandidate();
    lead(instance);
    answerRead(instance, zones);
    expect(startsOf(instance)).toEqual(starts);
  });
}

test("a job is refused for lack of workers while all zones are evacuated", () => {
  const instance = createCandidate();
  lead(instance);
  answerRead(instance, ["poa", "caxias"]);
  const job = testSubmission({ jobId: JOB_ID, job: testJob(1) });
  const [ended] = messagesOf(instance.receive("p", job), "jobEnded");
  expect(ended?.outcome).toEqual({
    kind: "refused",
    reason: "noWorker",
    retryAfterMs: 250,
  });
});

/**
 * Jobs at a leader of two zones of which `caxias` is evacuated, where the worker
 * has a label and more memory. Such a job would wait until it is too late.
 */
const demands = [
  { name: "a label of an evacuated worker", demand: { requiredLabel: "x" } },
  { name: "the size of an evacuated worker", demand: { memoryMb: 1_500 } },
  {
    name: "such a label in a later step",
    demand: {},
    later: { requiredLabel: "x" },
  },
  { name: "a label that no worker has", demand: { requiredLabel: "y" } },
  { name: "what another worker has, too", demand: {} },
];
const refusedDemands = demands.slice(0, 3);

for (const { name, demand, later } of demands) {
  const isRefused = refusedDemands.some((refused) => refused.name === name);
  const verb = isRefused ? "is refused at once" : "is admitted";
  test(`a job that needs ${name} ${verb}`, () => {
    const instance = createCandidate();
    const special = {
      ...testWorker("w2"),
      availabilityZone: "caxias",
      memoryMb: 2_000,
      labels: ["x"],
    };
    const list = [testWorker("w1"), special];
    instance.after(0, { type: "workersRead", workers: list });
    lead(instance);
    answerRead(instance, ["caxias"]);
    const [step] = testJob(1).steps;
    const job = {
      spec: "text",
      steps: [
        { ...step, ...demand },
        ...(later === undefined ? [] : [{ ...step, ...later, after: [0] }]),
      ],
    } as JobSpec;
    const effects = instance.receive(
      "p",
      testSubmission({ jobId: JOB_ID, job }),
    );
    const outcomes = messagesOf(effects, "jobEnded").map(({ outcome }) =>
      outcome
    );
    expect(outcomes).toEqual(
      isRefused
        ? [{ kind: "refused", reason: "noWorker", retryAfterMs: 250 }]
        : [],
    );
  });
}

test("a leader takes an evacuation back once the row is gone", () => {
  const instance = createCandidate();
  lead(instance);
  answerRead(instance, ["poa"]);
  instance.tick(1_500);
  const logged = effectsOf(answerRead(instance, []), "log");
  expect(logged.map(({ text, fields }) => [text, fields["zone"]]))
    .toEqual([["evacuation of zone ended", "poa"]]);
  expect(startsOf(instance)).toEqual(["w1", "w2"]);
});

test("known zones stay evacuated while the store can't be read, with one log line", () => {
  const instance = createCandidate();
  lead(instance);
  answerRead(instance, ["poa"]);
  const effects: Effect[] = [];
  for (let ticks = 0; ticks < 400; ticks += 1) {
    effects.push(...instance.tick());
    if (instance.state.evacuation?.pendingSinceMs !== null) {
      effects.push(...answerRead(instance, null));
    }
  }
  expect(knownZones(instance)).toEqual(["poa"]);
  const lines = effectsOf(effects, "log").filter(({ part }) =>
    part === "zones"
  );
  expect(lines.map(({ level }) => level)).toEqual(["warn"]);
});

test("runs of an evacuated zone end and keep their leases", () => {
  const instance = createCandidate();
  lead(instance);
  answerRead(instance, ["caxias"]);
  const job = testSubmission({ jobId: JOB_ID, job: testJob(1) });
  const [start] = effectsOf(instance.receive("p", job), "startTask");
  instance.acknowledgeStart(start as NonNullable<typeof start>);
  instance.tick(1_500);
  answerRead(instance, ["poa"]);
  const polls = effectsOf(instance.tick(400), "hold");
  const poll = polls.find(({ workerId }) => workerId === "w1");
  expect(poll?.leaseEndsMs !== null).toEqual(true);
  const effects = instance.completePoll("w1", {
    finished: [[`${JOB_ID}.0.0.0`, "done"]],
  });
  expect(messagesOf(effects, "jobEnded").map(({ outcome }) => outcome.kind))
    .toEqual(["done"]);
});

test("a new leader knows from heartbeats what the previous one knew", () => {
  const instance = createCandidate();
  report(instance, { evacuation: { zones: ["poa"], ageMs: 400 } });
  lead(instance);
  expect(startsOf(instance)).toEqual(["w2"]);
});

/**
 * Ages of what a new leader knows at its first job. The rows of that read may have
 * been a second old, and a start takes time to reach its worker.
 */
const ages = [
  { ageMs: 2_900, starts: ["w1", "w2"] },
  { ageMs: 3_100, starts: [] },
  { ageMs: EVACUATE_MS - 100, starts: [] },
  { ageMs: EVACUATE_MS, starts: [] },
];

for (const { ageMs, starts } of ages) {
  const verb = starts.length > 0 ? "starts" : "does not start";
  test(`a new leader ${verb} tasks by what was known ${ageMs} ms before`, () => {
    const instance = createCandidate();
    report(instance, { evacuation: { zones: [], ageMs: 0 } });
    const { nowMs: reportedAtMs } = instance.state;
    lead(instance);
    const { evacuation, nowMs } = instance.state;
    if (evacuation === null) throw new Error("nothing is known");
    expect(evacuation.knownAtMs).toEqual(reportedAtMs - 1);
    evacuation.knownAtMs = nowMs - ageMs;
    expect(startsOf(instance)).toEqual(starts);
    answerRead(instance, null);
    expect(workersOf(instance.tick()))
      .toEqual(starts.length > 0 ? [] : ["w1", "w2"]);
  });
}

/**
 * What reaches a leader that knew of no evacuation before its host was suspended
 * for 10 s, which its clock does not show, and whether it then starts tasks.
 */
const resumptions = [
  { name: "nothing", act: () => {}, startsTasks: false },
  {
    name: "the answer to a request before the suspension",
    act: (instance: TestInstance, beforeMs: number) =>
      instance.after(0, {
        type: "evacuationsRead",
        requestedAtMs: beforeMs,
        zones: [],
      }),
    startsTasks: false,
  },
  {
    name: "a report sent before the suspension",
    act: (instance: TestInstance, beforeMs: number) =>
      report(instance, {
        heardAtMs: beforeMs,
        evacuation: { zones: [], ageMs: 0 },
      }),
    startsTasks: false,
  },
  {
    name: "a report sent after the suspension",
    act: (instance: TestInstance) =>
      report(instance, { evacuation: { zones: [], ageMs: 0 } }),
    startsTasks: true,
  },
];

for (const { name, act, startsTasks } of resumptions) {
  const verb = startsTasks ? "starts" : "does not start";
  test(`a leader whose host was suspended ${verb} tasks after ${name}`, () => {
    const instance = createCandidate();
    lead(instance);
    answerRead(instance, []);
    const { nowMs: beforeMs } = instance.state;
    instance.tick(10);
    instance.after(20, { type: "processPaused", pausedMs: 10_000 });
    instance.tick(5);
    act(instance, beforeMs);
    lead(instance);
    expect(startsOf(instance)).toEqual(startsTasks ? ["w1", "w2"] : []);
  });
}

test("a pause that the clock shows is not counted twice", () => {
  const instance = createCandidate();
  lead(instance);
  answerRead(instance, ["poa"]);
  instance.tick(10);
  const { evacuation } = instance.state;
  const knownAtMs = evacuation?.knownAtMs;
  instance.after(10_000, { type: "processPaused", pausedMs: 10_000 });
  expect(evacuation?.knownAtMs).toEqual(knownAtMs);
});

// Attempts to read are up to 2.4 s apart: a shorter bound can't be kept.
test("a leader whose bound is short starts tasks between its reads", () => {
  const instance = createCandidate(1_000);
  lead(instance);
  answerRead(instance, []);
  instance.tick(1_400);
  expect(startsOf(instance)).toEqual(["w1", "w2"]);
});

test("the failure of a read of an earlier term does not let a leader start tasks", () => {
  const instance = createCandidate();
  lead(instance);
  answerRead(instance, null);
  instance.after(0, { type: "processPaused", pausedMs: 10 });
  lead(instance);
  expect(startsOf(instance)).toEqual([]);
  answerRead(instance, []);
  expect(workersOf(instance.tick())).toEqual(["w1", "w2"]);
});

/** Heartbeats of a peer at a leader that read `poa` 300 ms before. */
const reports = [
  {
    name: "a fresher report replaces what was read",
    report: { zones: ["caxias"], ageMs: 100 },
    known: ["caxias"],
  },
  {
    name: "a fresher report that the row is gone counts",
    report: { zones: [], ageMs: 100 },
    known: [],
  },
  {
    name: "an older report is ignored",
    report: { zones: [], ageMs: 400 },
    known: ["poa"],
  },
  {
    name: "a report that was delayed on its way is ignored",
    heardMsAgo: 500,
    report: { zones: [], ageMs: 0 },
    known: ["poa"],
  },
  {
    name: "a report of a peer that has heard nothing yet is ignored",
    heardMsAgo: null,
    report: { zones: [], ageMs: 0 },
    known: ["poa"],
  },
  {
    // The machine has been restarted, and its monotonic clock with it.
    name: "a report to this instance's process before is ignored",
    heardMsAgo: -5_000,
    report: { zones: [], ageMs: 0 },
    known: ["poa"],
  },
  { name: "an older release tells nothing", report: null, known: ["poa"] },
];

for (const { name, heardMsAgo = 0, report: evacuation, known } of reports) {
  test(`leaders that know different zones: ${name}`, () => {
    const instance = createCandidate();
    lead(instance);
    answerRead(instance, ["poa"]);
    instance.tick(1_500);
    answerRead(instance, ["poa"]);
    instance.after(0, { type: "peerUp", instanceId: "q" });
    instance.tick(300);
    const { nowMs } = instance.state;
    report(instance, {
      heardAtMs: heardMsAgo === null ? undefined : nowMs - heardMsAgo,
      ...(evacuation === null ? {} : { evacuation }),
    });
    expect(knownZones(instance)).toEqual(known);
  });
}

/** Workers of a fleet in which each zone has a leader; the instance leads `poa`. */
const zoneWorkers = [
  testWorker("w1"),
  testWorker("w2"),
  ...Array.from({ length: 110 }, (_, index) => ({
    ...testWorker(`c${index}`),
    availabilityZone: "caxias",
  })),
];

/** A leader of its zone that has read that no zone is evacuated. */
function createZoneLeader(): TestInstance {
  const instance = createTestInstance({
    peers: ["q"],
    evacuateMs: EVACUATE_MS,
  });
  instance.after(0, { type: "workersRead", workers: zoneWorkers });
  lead(instance);
  answerRead(instance, []);
  instance.tick(1_500);
  answerRead(instance, []);
  for (const { workerId } of workers) instance.completePoll(workerId);
  return instance;
}

/** A job of two steps of one task each. */
const twoSteps = {
  spec: "text",
  steps: [...testJob(1).steps, { ...testJob(1).steps[0], after: [0] }],
} as JobSpec;

// A job that has started is not refused, and its cell has no other workers: it
// would wait until its deadline.
test("a job that has started goes on in its evacuated zone until 2 s before the bound", () => {
  for (const isLate of [false, true]) {
    const instance = createZoneLeader();
    const knownAtMs = instance.state.evacuation?.knownAtMs ?? 0;
    const job = testSubmission({ jobId: JOB_ID, job: twoSteps });
    const [start] = effectsOf(instance.receive("p", job), "startTask");
    instance.acknowledgeStart(start as NonNullable<typeof start>);
    instance.tick(1_500);
    answerRead(instance, ["poa"]);
    expect(startsOf(instance, "00000000000000bb")).toEqual([]);
    const beginMs = knownAtMs + EVACUATE_MS - 2_000 - (isLate ? 0 : 50);
    instance.tick(beginMs - instance.state.nowMs);
    const effects = instance.completePoll(start?.workerId ?? "", {
      finished: [[`${JOB_ID}.0.0.0`, "done"]],
    });
    expect(workersOf(effects).length).toEqual(isLate ? 0 : 1);
  }
});

// It can't be refused either, and no other worker has the label.
test("a job that has started in a fleet of one cell may finish on the only worker with a label", () => {
  for (const isLate of [false, true]) {
    const instance = createCandidate();
    const special = {
      ...testWorker("w2"),
      availabilityZone: "caxias",
      labels: ["x"],
    };
    const list = [testWorker("w1"), special];
    instance.after(0, { type: "workersRead", workers: list });
    lead(instance);
    answerRead(instance, []);
    const knownAtMs = instance.state.evacuation?.knownAtMs ?? 0;
    const [first, second] = twoSteps.steps;
    const job = {
      spec: "text",
      steps: [first, { ...second, requiredLabel: "x" }],
    } as JobSpec;
    const effects = instance.receive(
      "p",
      testSubmission({ jobId: JOB_ID, job }),
    );
    const [start] = effectsOf(effects, "startTask");
    instance.acknowledgeStart(start as NonNullable<typeof start>);
    instance.tick(1_500);
    answerRead(instance, ["caxias"]);
    const endMs = knownAtMs + EVACUATE_MS - 2_000 - (isLate ? 0 : 50);
    instance.tick(endMs - instance.state.nowMs);
    const finished: [string, "done"][] = [[`${JOB_ID}.0.0.0`, "done"]];
    const started = instance.completePoll(start?.workerId ?? "", { finished });
    expect(workersOf(started)).toEqual(isLate ? [] : ["w2"]);
  }
});

test("a leader of an evacuated zone lends no workers", () => {
  const wanted = {
    type: "workersWanted" as const,
    demands: [{
      service: "s",
      cpuMilli: 14_000,
      memoryMb: 64,
      accelerators: 0,
      count: 1,
    }],
    seenLoanId: 0,
    kept: [],
    returned: [],
  };
  for (
    const { zones, loans } of [{ zones: [], loans: 1 }, {
      zones: ["poa"],
      loans: 0,
    }]
  ) {
    const instance = createZoneLeader();
    const { nowMs } = instance.state;
    instance.after(0, { type: "evacuationsRead", zones, requestedAtMs: nowMs });
    const [lent] = messagesOf(instance.receive("q", wanted), "workersLent");
    expect(lent?.loans.length).toEqual(loans);
  }
});

test("trials on evacuated workers don't count against those on others", () => {
  const instance = createCandidate();
  lead(instance);
  answerRead(instance, []);
  startsOf(instance);
  const { scheduler } = instance.state;
  if (scheduler === null) throw new Error("the instance is no leader");
  const job = scheduler.jobs.get(JOB_ID);
  const worker = scheduler.workers.get("w1");
  if (job === undefined || worker === undefined) throw new Error("unknown");
  worker.trialCount = 1;
  expect(mayStartTrial(instance.state, scheduler, job)).toEqual(false);
  instance.tick(1_500);
  answerRead(instance, ["poa"]);
  expect(mayStartTrial(instance.state, scheduler, job)).toEqual(true);
});
