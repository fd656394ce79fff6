import { test } from "node:test";
import { expect } from "earl";
import {
  confirmWrites,
  createTestInstance,
  createTestLeader,
  effectsOf,
  openRecords,
  testHeartbeat,
  type TestInstance,
  testJob,
  testSubmission,
  testWorker,
} from "./testing.ts";
import type { Effect, FinishedRow, RunningRow } from "./types.ts";

type StartEffect = Extract<Effect, { type: "startTask" }>;

const JOB_ID = "00000000000000aa";
const OTHER_JOB_ID = "00000000000000bb";
const TASK_NAME = `${JOB_ID}.0.0.0`;
const TICK_MS = 25;
/** Duration of the leases that workers grant, on their own clocks. */
const LEASE_MS = 1_000;
/** Maximum duration of a lease of 1,000 ms, with drift and delay. */
const MAX_LEASE_MS = 1_080;
/** Rate of the slowest clock of a worker. */
const MIN_CLOCK_RATE = 0.98;
/** Time after which a call to a worker is abandoned. */
const CALL_TIMEOUT_MS = 200;
/** Maximum number of completions in one answer of a worker. */
const MAX_LISTED_COMPLETIONS = 500;

function startsOf(effects: readonly Effect[]): StartEffect[] {
  return effectsOf(effects, "startTask");
}

function startedTasks(effects: readonly Effect[]): string[] {
  return startsOf(effects).map(({ taskName }) => taskName);
}

/** A leader that has started a task, and the start. */
function createLeaderWithRun(): { leader: TestInstance; start: StartEffect } {
  const leader = createTestLeader();
  leader.tick(2_000);
  const effects = leader.receive("p", testSubmission({ jobId: JOB_ID }));
  const [start] = startsOf(effects);
  return { leader, start: start! };
}

function failPoll(leader: TestInstance, workerId: string): Effect[] {
  const worker = leader.state.scheduler?.workers.get(workerId);
  return leader.after(0, {
    type: "pollCompleted",
    workerId,
    callId: worker?.pollCallId ?? 0,
    outcome: { kind: "unreachable", detail: "timeout" },
  });
}

/** Advances to a time in ticks while a worker answers no poll. */
function passWithout(
  leader: TestInstance,
  { workerId, untilMs }: { workerId: string; untilMs: number },
): Effect[] {
  const effects: Effect[] = [];
  while (leader.state.nowMs + TICK_MS < untilMs) {
    effects.push(...leader.tick(TICK_MS), ...failPoll(leader, workerId));
  }
  return effects;
}

// The worker restarted while it was idle, so that no poll failed. The poll that
// follows the start overtakes it, on another connection, and is answered by the
// new incarnation. That one has seen no token yet and accepts the start later.
test("a list that overtakes a start to a restarted worker doesn't show that its run is lost", () => {
  const { leader, start } = createLeaderWithRun();
  const effects = [
    ...leader.tick(),
    ...leader.completePoll(start.workerId, { bornMs: 2 }),
    ...leader.tick(),
  ];
  expect(startedTasks(effects)).toEqual([]);
});

// A lease that a start grants covers everything on its worker, so the run of an
// earlier start as well. No further poll is sent before the pending one fails.
test("a start prolongs the lease of the other runs on its worker", () => {
  const { leader, start } = createLeaderWithRun();
  const { workerId } = start;
  leader.acknowledgeStart(start);
  leader.tick();
  leader.after(390, { type: "workersUnreadable" });
  const other = testSubmission({ jobId: OTHER_JOB_ID });
  const [otherStart] = startsOf(leader.receive("p", other));
  expect(otherStart?.workerId).toEqual(workerId);
  const untilMs = leader.state.nowMs + LEASE_MS / MIN_CLOCK_RATE;
  const effects = [
    ...failPoll(leader, workerId),
    ...passWithout(leader, { workerId, untilMs }),
  ];
  expect(startedTasks(effects)).toEqual([]);
});

// The offset of the worker's clock is as old as its latest answer. A worker
// shortens a longer lease to the maximum, counted from when the call arrives. After
// a long idle time the start follows the answer of a poll, which tells the clock.
for (const idleMs of [1_000, 10_000, 60_000]) {
  test(`a lease on a worker that was idle for ${idleMs} ms ends in time if its clock is slow`, () => {
    const leader = createTestLeader();
    const readAtMs = leader.state.nowMs;
    for (let ms = 0; ms < idleMs; ms += 500) leader.tick(500);
    const lagMs = () => (leader.state.nowMs - readAtMs) * (1 - MIN_CLOCK_RATE);
    const effects = leader.receive("p", testSubmission({ jobId: JOB_ID }));
    for (const { workerId } of effectsOf(effects, "hold")) {
      effects.push(...leader.completePoll(workerId, { delayMs: lagMs() }));
    }
    const [start] = startsOf(effects);
    const clockMs = leader.state.nowMs - lagMs();
    const endsInMs = Math.min(
      (start!.leaseEndsMs - clockMs) / MIN_CLOCK_RATE,
      CALL_TIMEOUT_MS + LEASE_MS / MIN_CLOCK_RATE,
    );
    expect(endsInMs <= MAX_LEASE_MS).toEqual(true);
  });
}

// The run was done, and its completion is behind those in the answer. The worker
// retains completions of recorded jobs while the store is unavailable.
test("a full list of completions doesn't show that a run that it lacks is lost", () => {
  const { leader, start } = createLeaderWithRun();
  const { workerId } = start;
  leader.acknowledgeStart(start);
  leader.tick();
  const running: RunningRow[] = [{ taskName: TASK_NAME, run: 1, percent: 90 }];
  leader.completePoll(workerId, { running });
  leader.tick();
  const finished = Array.from(
    { length: MAX_LISTED_COMPLETIONS },
    (_, index): [string, FinishedRow["end"]] => [
      `${OTHER_JOB_ID}.0.0.${index}`,
      "done",
    ],
  );
  const effects = [
    ...leader.completePoll(workerId, { finished }),
    ...leader.tick(),
  ];
  expect(startedTasks(effects)).toEqual([]);
});

/** How a worker with a run left the list of a leader. */
const departures: {
  name: string;
  leave: (leader: TestInstance, workerId: string) => void;
}[] = [
  {
    name: "drained and has left the list",
    leave: (leader, workerId) => {
      listWorkers(leader, { ...testWorker(workerId), draining: true });
      listWorkers(leader);
    },
  },
  {
    name: "left the list 16 s ago",
    leave: (leader, workerId) => {
      listWorkers(leader);
      for (let percent = 11; percent < 90; percent += 1) {
        leader.tick(200);
        const running = [{ taskName: TASK_NAME, run: 1, percent }];
        leader.completePoll(workerId, { running });
      }
      listWorkers(leader, testWorker("w3"));
    },
  },
];

/** The leader reads a list of its other worker and the given ones. */
function listWorkers(
  leader: TestInstance,
  ...workers: ReturnType<typeof testWorker>[]
): void {
  const busyId = [...leader.state.scheduler?.workers.values() ?? []]
    .find(({ runs }) => runs.size > 0)?.info.workerId;
  const otherId = busyId === "w1" ? "w2" : "w1";
  leader.after(0, {
    type: "workersRead",
    workers: [testWorker(otherId), ...workers],
  });
  leader.tick();
}

function answerAll(leader: TestInstance, workerIds: readonly string[]) {
  return workerIds.flatMap((workerId) => leader.completePoll(workerId));
}

// The leader went on polling the worker for its run. After a pause it is the
// leader again, has lost its jobs, and no list shows the run.
for (const { name, leave } of departures) {
  test(`a leader in a new term waits for the lease on a worker that ${name}`, () => {
    const { leader, start } = createLeaderWithRun();
    const { workerId } = start;
    leader.acknowledgeStart(start);
    leader.tick();
    const running = [{ taskName: TASK_NAME, run: 1, percent: 10 }];
    leader.completePoll(workerId, { running });
    leave(leader, workerId);
    const polled = leader.completePoll(workerId, {
      running: [{ taskName: TASK_NAME, run: 1, percent: 95 }],
    });
    const [lastPoll] = effectsOf(polled, "hold")
      .filter((poll) => poll.workerId === workerId);
    expect(lastPoll?.leaseEndsMs === null).toEqual(false);
    leader.after(420, { type: "processPaused", pausedMs: 420 });
    while (leader.state.scheduler === null) leader.tick();
    const workerIds = [...leader.state.workers.keys()];
    expect(workerIds.includes(workerId)).toEqual(false);
    answerAll(leader, workerIds);
    leader.tick(100);
    const effects = [
      ...leader.receive(
        "p",
        testSubmission({ jobId: JOB_ID, resubmitted: true }),
      ),
      ...answerAll(leader, workerIds),
      ...leader.tick(),
    ];
    expect(startedTasks(effects)).toEqual([]);
  });
}

/** What takes an unread worker out of those that a job waits for. */
const removals: {
  name: string;
  remove: (leader: TestInstance) => void;
}[] = [
  {
    name: "its worker drained and has left the list",
    remove: (leader) => {
      const draining = { ...testWorker("w2"), draining: true };
      const workers = [testWorker("w1"), draining];
      leader.after(0, { type: "workersRead", workers });
      leader.after(0, { type: "workersRead", workers: [testWorker("w1")] });
    },
  },
  {
    name: "its worker is one of another cell now",
    remove: (leader) => {
      const { nowMs: sentAtMs } = leader.state;
      const hasZoneCells = true;
      leader.receive("p", testHeartbeat({ sentAtMs, hasZoneCells }));
    },
  },
];

// The job has a run of this leader's earlier term on a worker whose lists were
// not read since.
for (const { name, remove } of removals) {
  test(`a job that was submitted again goes on waiting for a run though ${name}`, () => {
    const leader = createTestInstance({ peers: ["p"] });
    const workers = [
      testWorker("w1"),
      { ...testWorker("w2"), availabilityZone: "cwb" },
    ];
    leader.after(0, { type: "workersRead", workers });
    while (leader.state.scheduler === null) {
      follow(leader, { leaderId: null });
      leader.tick(100);
    }
    leader.completePoll("w1");
    for (let ms = 0; ms < 2_000; ms += 100) {
      follow(leader, { leaderId: "self" });
      leader.tick(100);
    }
    const message = testSubmission({ jobId: JOB_ID, resubmitted: true });
    const effects = [
      ...leader.receive("p", message),
      ...leader.completePoll("w1"),
      ...leader.tick(),
    ];
    expect(startedTasks(effects)).toEqual([]);
    remove(leader);
    const later = [
      ...leader.tick(),
      ...leader.completePoll("w1"),
      ...leader.tick(),
    ];
    expect(startedTasks(later)).toEqual([]);
  });
}

// The entry's copy of a job may have runs in another cell, though the leader has
// the job by another entry already and no worker had room for it.
test("a known job that is submitted again after it left its cell waits for leases", () => {
  const leader = createTestLeader();
  leader.tick(2_000);
  const blocking = { jobId: OTHER_JOB_ID, job: testJob(4) };
  const blockers = startsOf(leader.receive("p", testSubmission(blocking)));
  expect(blockers.length).toEqual(4);
  for (const start of blockers) leader.acknowledgeStart(start);
  leader.receive("q", testSubmission({ jobId: JOB_ID, submissionId: "q.1" }));
  const again = { jobId: JOB_ID, resubmitted: true, leftCell: true };
  const effects = [
    ...leader.receive("p", testSubmission(again)),
    ...leader.tick(),
    ...["w1", "w2"].flatMap((workerId) =>
      leader.completePoll(workerId, {
        finished: blockers.filter((start) => start.workerId === workerId)
          .map(({ taskName }) => [taskName, "done"]),
      })
    ),
    ...leader.tick(),
  ];
  expect(startedTasks(effects)).toEqual([]);
});

/** The entry `p` is heard from, and follows a leader. */
function follow(
  leader: TestInstance,
  { leaderId, sentAtMs = leader.state.nowMs }: {
    leaderId: string | null;
    sentAtMs?: number;
  },
): void {
  leader.receive("p", testHeartbeat({ sentAtMs, leaderId }));
}

/** A leader with a run of a job of the entry `p`, and a poll just sent. */
function createLeaderOfEntry(): { leader: TestInstance; workerId: string } {
  const leader = createTestInstance({ peers: ["p"] });
  const workers = [testWorker("w1"), testWorker("w2")];
  leader.after(0, { type: "workersRead", workers });
  while (leader.state.scheduler === null) {
    follow(leader, { leaderId: null });
    leader.tick(100);
  }
  answerAll(leader, ["w1", "w2"]);
  // Until then, runs of leaders before this instance started may go on.
  for (let ms = 0; ms < 2_000; ms += 100) {
    follow(leader, { leaderId: "self" });
    leader.tick(100);
  }
  const message = testSubmission({ jobId: JOB_ID });
  const [start] = startsOf(leader.receive("p", message));
  leader.acknowledgeStart(start!);
  leader.tick();
  follow(leader, { leaderId: "self" });
  return { leader, workerId: start!.workerId };
}

/** Why an entry that is not heard from seems to follow the leader. */
const silences: {
  name: string;
  pass: (leader: TestInstance, workerId: string) => Effect[];
}[] = [
  {
    name: "counts as heard from since the process was busy",
    pass: (leader, workerId) => [
      ...leader.after(1_100, { type: "processBusy", busyMs: 1_100 }),
      ...leader.tick(0),
      ...failPoll(leader, workerId),
      ...leader.tick(),
    ],
  },
  {
    name: "sent its last heartbeat before the lease expired",
    pass: (leader, workerId) => {
      const startedAtMs = leader.state.nowMs;
      const effects: Effect[] = [];
      while (leader.state.nowMs < startedAtMs + 400) {
        effects.push(...leader.tick(), ...failPoll(leader, workerId));
        follow(leader, { leaderId: "self" });
      }
      const sentAtMs = leader.state.nowMs + 50;
      const untilMs = startedAtMs + MAX_LEASE_MS + TICK_MS;
      effects.push(
        ...passWithout(leader, { workerId, untilMs }),
        ...leader.tick(),
      );
      follow(leader, { leaderId: "self", sentAtMs });
      return [...effects, ...leader.tick()];
    },
  },
];

// The entry has submitted its jobs to another leader by then, which attached the
// run to its job and renews the lease. The leader reaches neither.
for (const { name, pass } of silences) {
  test(`a run on a lost worker is not repeated if its entry ${name}`, () => {
    const { leader, workerId } = createLeaderOfEntry();
    expect(startedTasks(pass(leader, workerId))).toEqual([]);
    const job = leader.state.scheduler?.jobs.get(JOB_ID);
    expect(job?.outcome).toEqual(null);
  });
}

// Runs of a restored job are numbered anew, and a worker that has restarted may
// get one with a number that it had before.
test("an end that is reported late of a worker's earlier incarnation ends no run", () => {
  const leader = createTestLeader();
  openRecords(leader);
  leader.tick(2_000);
  const job = { ...testJob(1), isRecorded: true };
  const submitted = leader.receive("p", testSubmission({ jobId: JOB_ID, job }));
  const [start] = startsOf([
    ...submitted,
    ...confirmWrites(leader, submitted),
  ]);
  const { workerId, taskName, run } = start!;
  leader.acknowledgeStart(start!);
  const effects = leader.receive("q", {
    type: "completionsFound",
    workerId,
    startedAtMs: 0,
    completions: [{ sequence: 1, taskName, run, end: "lapsed" }],
  });
  effects.push(...leader.tick());
  expect(startedTasks(effects)).toEqual([]);
});

/** Start times of a peer's incarnations, and the leader that the last follows. */
const restarts = [
  { startsMs: [1, 2], leaderId: "b" },
  { startsMs: [1, 2, 3], leaderId: "c" },
];

// The heartbeats of the present incarnation would be ignored from then on, and
// the peer would seem to follow this leader as long as it is heard from.
for (const { startsMs, leaderId } of restarts) {
  test(`a late heartbeat doesn't hide the incarnation of a peer that restarted ${startsMs.length - 1} times`, () => {
    const instance = createTestInstance({ peers: ["p"] });
    const hear = (bornMs: number, leaderId: string) => {
      const { nowMs: sentAtMs } = instance.state;
      instance.receive("p", testHeartbeat({ bornMs, sentAtMs, leaderId }));
      instance.tick();
    };
    for (const bornMs of startsMs) hear(bornMs, "a");
    hear(1, "self");
    hear(startsMs.length, leaderId);
    expect(instance.state.peers.get("p")?.leaderId).toEqual(leaderId);
  });
}
