import { test } from "node:test";
import { expect } from "earl";
import type { JobSpec, QueueRule } from "../schemas.ts";
import {
  createTestLeader,
  effectsOf,
  messagesOf,
  testConfiguration,
  type TestInstance,
  testJob,
  testQueue,
  testSubmission,
  testWorker,
} from "../testing.ts";
import { expectedWaitMs } from "../admission.ts";
import type { Effect, Job, ReduceContext } from "../types.ts";
import {
  overloadPolicies,
  overloadPolicyName,
  refusalPolicyOf,
} from "./policies.ts";

const urgentQueue: QueueRule = { ...testQueue, name: "urgent", priority: 0 };
const laterQueue: QueueRule = { ...testQueue, name: "later", priority: 2 };
/** Has run times of its own, so that its jobs can have earlier objectives. */
const soonQueue: QueueRule = { ...laterQueue, name: "soon" };

/**
 * Creates a leader with two workers of 32 cores and two queues that share them.
 * With `isCell` it is the leader of a zone of a large fleet. `w1` has the labels.
 */
function createLeader(
  { isCell, labels = [] }: { isCell: boolean; labels?: string[] },
): TestInstance {
  const leader = createTestLeader();
  // Until runs of leaders before this instance's start have expired.
  for (let poll = 0; poll < 5; poll += 1) {
    leader.tick(400);
    for (const workerId of ["w1", "w2"]) leader.completePoll(workerId);
  }
  leader.after(0, {
    type: "configurationRead",
    configuration: {
      ...testConfiguration,
      version: 2,
      queues: [urgentQueue, laterQueue, soonQueue],
    },
  });
  const workers = [{ ...testWorker("w1"), labels }, testWorker("w2")];
  leader.after(0, { type: "workersRead", workers });
  // As with a list of more than 100 workers.
  leader.state.hasZoneCells = isCell;
  return leader;
}

function jobOf(count: number, step: Partial<JobSpec["steps"][0]>): JobSpec {
  const [first] = testJob(count).steps;
  if (first === undefined) throw new Error("no step");
  return { spec: "", steps: [{ ...first, ...step }] };
}

/** Submits a job; returns the effects. */
function submit(
  leader: TestInstance,
  name: string,
  { queue, job }: { queue: QueueRule; job: JobSpec },
): Effect[] {
  const jobId = name.padStart(16, "0");
  const fields = { jobId, queue, job, timeLeftMs: 60_000 };
  return leader.receive("p", testSubmission(fields));
}

function startedTasks(effects: Effect[]): string[] {
  return effectsOf(effects, "startTask").map(({ taskName }) =>
    taskName.replace(/^0*/, "")
  );
}

/** Returns the reasons for which jobs were refused. */
function refusalReasons(effects: Effect[]): string[] {
  return messagesOf(effects, "jobEnded").flatMap(({ outcome }) =>
    outcome.kind === "refused" ? [outcome.reason] : []
  );
}

test("the policy by cost applies only where zones are cells and priorities share a service", () => {
  const cases = [
    { isCell: false, queues: [urgentQueue, laterQueue], policy: "objective" },
    { isCell: true, queues: [urgentQueue, laterQueue], policy: "cost" },
    { isCell: true, queues: [urgentQueue], policy: "objective" },
    {
      isCell: true,
      queues: [urgentQueue, { ...laterQueue, service: "t" }],
      policy: "objective",
    },
  ];
  for (const { isCell, queues, policy } of cases) {
    const { state } = createLeader({ isCell });
    state.configuration = { ...testConfiguration, queues };
    expect(overloadPolicyName(state, "s")).toEqual(policy as "cost");
  }
});

test("time is set aside for slow runs, out of the queue's slack", () => {
  const cases = [
    { policy: "objective", stretch: 1.6, plannedMs: 100 },
    { policy: "cost", stretch: 1.6, plannedMs: 115 },
    { policy: "cost", stretch: 0.5, plannedMs: 100 },
  ] as const;
  for (const { policy, stretch, plannedMs } of cases) {
    const job = { criticalPathMs: 100, queue: { stretch } } as never;
    const planned = overloadPolicies[policy].plannedRunMs(job);
    expect(Math.round(planned)).toEqual(plannedMs);
  }
});

// Early refusals of a queue leave its share of the workers to less urgent ones.
test("only new jobs of the least urgent queue get time for later arrivals", () => {
  const { state } = createLeader({ isCell: true });
  const middleQueue = { ...laterQueue, name: "middle", priority: 1 };
  const cases = [
    { queue: urgentQueue, plannedMs: 50 },
    { queue: middleQueue, plannedMs: 50 },
    { queue: laterQueue, plannedMs: 100 },
  ];
  for (const { queue, plannedMs } of cases) {
    const job = { queue } as never;
    expect(overloadPolicies.cost.plannedWaitMs(state, job, 50))
      .toEqual(plannedMs);
    expect(overloadPolicies.objective.plannedWaitMs(state, job, 50))
      .toEqual(50);
  }
});

// A refused job is handed to the leader of another zone, which doesn't know of runs
// that go on here; and a recorded job was accepted before.
test("a job that has a record or may have runs is refused as by its objective", () => {
  const { state } = createLeader({ isCell: true });
  const { nowMs } = state;
  const plain = { record: null, mayHaveStarted: false };
  const cases = [
    { job: { ...plain, previousRunsExpireAtMs: 0 }, policy: "cost" },
    { job: { ...plain, previousRunsExpireAtMs: nowMs }, policy: "cost" },
    {
      job: { ...plain, previousRunsExpireAtMs: nowMs + 1 },
      policy: "objective",
    },
    {
      job: { ...plain, previousRunsExpireAtMs: 0, mayHaveStarted: true },
      policy: "objective",
    },
    {
      job: { ...plain, previousRunsExpireAtMs: 0, record: {} },
      policy: "objective",
    },
  ] as const;
  for (const { job, policy } of cases) {
    const found = refusalPolicyOf(
      state,
      { ...job, queue: laterQueue } as never,
    );
    expect(found === overloadPolicies[policy]).toEqual(true);
  }
});

/**
 * Load: a wide job of the less urgent queue has one of its two places, and the
 * other worker has room for one more small task.
 */
const beginCases: {
  name: string;
  isCell: boolean;
  queue: QueueRule;
  count: number;
  started: string[];
}[] = [
  {
    name: "a less urgent job with room for a part of its tasks waits",
    isCell: true,
    queue: laterQueue,
    count: 2,
    started: [],
  },
  {
    name: "a less urgent job that fits whole begins",
    isCell: true,
    queue: laterQueue,
    count: 1,
    started: ["c.0.0.0"],
  },
  {
    name: "the most urgent job begins with what fits",
    isCell: true,
    queue: urgentQueue,
    count: 2,
    started: ["c.0.0.0"],
  },
  {
    name: "any job begins with what fits in a single cell",
    isCell: false,
    queue: laterQueue,
    count: 2,
    started: ["c.0.0.0"],
  },
];

for (const { name, isCell, queue, count, started } of beginCases) {
  test(`while a wide job is partly started, ${name}`, () => {
    const leader = createLeader({ isCell });
    submit(leader, "a", { queue: urgentQueue, job: jobOf(1, {}) });
    const wide = jobOf(2, { cpuMilli: 28_000, estimatedMs: 5_000 });
    // The wide job is not starved: it gets its workers one by one.
    expect(startedTasks(submit(leader, "b", { queue: laterQueue, job: wide })))
      .toEqual(["b.0.0.0"]);
    // Admitted although it has to wait for the wide job.
    const job = { ...jobOf(count, { estimatedMs: 2_000 }), lateFactor: 10 };
    expect(startedTasks(submit(leader, "c", { queue, job }))).toEqual(started);
  });
}

/**
 * The only worker with a label is suspended. A job that can't collect its workers
 * must not keep the others of its priority from beginning.
 */
const stuckCases: { name: string; steps: Partial<JobSpec["steps"][0]>[] }[] = [
  { name: "has not started", steps: [{ requiredLabel: "gpu" }] },
  { name: "is partly started", steps: [{}, { requiredLabel: "gpu" }] },
];

for (const { name, steps } of stuckCases) {
  test(`a job that waits for a suspended worker and ${name} holds back no other`, () => {
    const leader = createLeader({ isCell: true, labels: ["gpu"] });
    const worker = leader.state.scheduler?.workers.get("w1");
    if (worker === undefined) throw new Error("no worker");
    const large = jobOf(1, { cpuMilli: 28_000, requiredLabel: "gpu" });
    submit(leader, "0", { queue: urgentQueue, job: large });
    if (steps.length === 1) {
      submit(leader, "a", { queue: urgentQueue, job: jobOf(1, {}) });
    }
    const stuck: JobSpec = {
      ...jobOf(1, {}),
      steps: steps.flatMap((step) => jobOf(1, step).steps),
      lateFactor: 10,
    };
    const started = startedTasks(
      submit(leader, "b", { queue: laterQueue, job: stuck }),
    );
    expect(started.length).toEqual(steps.length - 1);
    worker.suspendedUntilMs = leader.state.nowMs + 4_000;
    const job = { ...jobOf(2, { estimatedMs: 2_000 }), lateFactor: 10 };
    expect(startedTasks(submit(leader, "c", { queue: laterQueue, job })))
      .toEqual(["c.0.0.0"]);
  });
}

/**
 * Load: all places are taken, one of them by a job that waits for its second, and
 * a job of the same priority with an earlier objective arrives. Then a run ends.
 */
for (
  const { isCell, first } of [
    { isCell: true, first: "b.0.0.1" },
    { isCell: false, first: "c.0.0.0" },
  ]
) {
  test(`a place that becomes free goes to ${first} ${isCell ? "in a cell of a large fleet" : "in a single cell"}`, () => {
    const leader = createLeader({ isCell });
    const busy = effectsOf(
      submit(leader, "a", { queue: urgentQueue, job: jobOf(3, {}) }),
      "startTask",
    );
    submit(leader, "b", {
      queue: laterQueue,
      job: jobOf(2, { estimatedMs: 5_000 }),
    });
    // Admitted although it may have to wait for the other.
    const soon = { ...jobOf(1, { estimatedMs: 2_000 }), lateFactor: 10 };
    const submitted = submit(leader, "c", { queue: soonQueue, job: soon });
    expect(refusalReasons(submitted)).toEqual([]);
    const [ended] = busy;
    if (ended === undefined) throw new Error("no task started");
    const { workerId, taskName } = ended;
    const effects = leader.completePoll(workerId, {
      running: busy.filter((start) => start !== ended)
        .filter((start) => start.workerId === workerId)
        .map((start) => ({ taskName: start.taskName, run: 1, percent: 1 })),
      finished: [[taskName, "done"]],
    });
    expect(startedTasks(effects)).toEqual([first]);
  });
}

// The expected wait of a recorded job decides whether it is refused, so that it must
// not grow with the jobs that the policy puts first.
test("a recorded job's expected wait leaves out that partly started jobs go first", () => {
  const leader = createLeader({ isCell: true });
  submit(leader, "a", { queue: urgentQueue, job: jobOf(3, {}) });
  submit(leader, "b", {
    queue: laterQueue,
    job: jobOf(2, { estimatedMs: 5_000 }),
  });
  const job = { ...jobOf(1, { estimatedMs: 2_000 }), lateFactor: 10 };
  submit(leader, "c", { queue: soonQueue, job });
  const { state } = leader;
  const { scheduler } = state;
  const inMemory = scheduler?.jobs.get("c".padStart(16, "0"));
  if (!scheduler || inMemory === undefined) throw new Error("no job");
  const context = { state } as ReduceContext;
  // The queued task of 14 cores and 5,000 ms, on 64 cores.
  expect(expectedWaitMs(context, scheduler, inMemory) > 1_000).toEqual(true);
  const recorded = { ...inMemory, record: {} } as Job;
  expect(expectedWaitMs(context, scheduler, recorded) < 1_000).toEqual(true);
});

test("a worker that drains is no room for a job that has to fit whole", () => {
  const cases = [
    // The first job fits whole, and the second one collects workers.
    {
      isDraining: false,
      started: ["b.0.0.0", "b.0.0.1", "b.0.0.2", "c.0.0.0"],
    },
    // The first job collects workers.
    { isDraining: true, started: ["b.0.0.0", "b.0.0.1"] },
  ];
  for (const { isDraining, started } of cases) {
    const leader = createLeader({ isCell: true });
    const worker = leader.state.scheduler?.workers.get("w1");
    if (worker === undefined) throw new Error("no worker");
    worker.info = { ...worker.info, draining: isDraining };
    const queue = laterQueue;
    const effects = [
      ...submit(leader, "b", { queue, job: jobOf(3, {}) }),
      ...submit(leader, "c", { queue, job: jobOf(2, { cpuMilli: 16_000 }) }),
    ];
    expect(startedTasks(effects)).toEqual(started);
  }
});

/**
 * Jobs that can't run on the workers as they are. A refusal as `overloaded` would
 * tell callers to come again soon.
 */
const unsuitedCases: {
  name: string;
  isCell: boolean;
  step: Partial<JobSpec["steps"][0]>;
  reasons: string[];
}[] = [
  {
    name: "requires a label that no worker has",
    isCell: true,
    step: { requiredLabel: "gpu" },
    reasons: ["noWorker"],
  },
  {
    name: "is larger than each worker",
    isCell: true,
    step: { cpuMilli: 33_000 },
    reasons: ["noWorker"],
  },
  {
    name: "requires a label that no worker of a single cell has",
    isCell: false,
    step: { requiredLabel: "gpu" },
    reasons: [],
  },
  { name: "fits", isCell: true, step: {}, reasons: [] },
];

for (const { name, isCell, step, reasons } of unsuitedCases) {
  test(`a job that ${name} is ${reasons.length > 0 ? "refused at once as noWorker" : "not refused at once"}`, () => {
    const leader = createLeader({ isCell });
    const job = jobOf(1, step);
    const effects = submit(leader, "a", { queue: laterQueue, job });
    expect(refusalReasons(effects)).toEqual(reasons);
  });
}

test("a job whose only suited worker is suspended waits, and is then refused as noWorker", () => {
  const leader = createLeader({ isCell: true, labels: ["gpu"] });
  const worker = leader.state.scheduler?.workers.get("w1");
  if (worker === undefined) throw new Error("no worker");
  worker.suspendedUntilMs = leader.state.nowMs + 4_000;
  const job = jobOf(1, { requiredLabel: "gpu" });
  const submitted = submit(leader, "a", { queue: laterQueue, job });
  expect(refusalReasons(submitted)).toEqual([]);
  expect(refusalReasons(leader.tick(300))).toEqual(["noWorker"]);
  expect([...leader.state.refusals.values()])
    .toEqual([{ reason: "noWorker", priority: 2, count: 1 }]);
});

// Refusing a job of which a task may have run would be untrue, however late it is.
test("a partly started job is not refused when its objective can't be met", () => {
  const leader = createLeader({ isCell: true });
  submit(leader, "a", { queue: urgentQueue, job: jobOf(3, {}) });
  submit(leader, "b", { queue: laterQueue, job: jobOf(2, {}) });
  expect(refusalReasons(leader.tick(400))).toEqual([]);
});
