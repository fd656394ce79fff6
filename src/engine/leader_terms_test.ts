import { test } from "node:test";
import { expect } from "earl";
import {
  createTestInstance,
  createTestLeader,
  effectsOf,
  testHeartbeat,
  type TestInstance,
  testJob,
  testQueue,
  testSubmission,
  testWorker,
} from "./testing.ts";
import type { Effect, StartOutcome } from "./types.ts";

type StartEffect = Extract<Effect, { type: "startTask" }>;

/** More than the time until a lease of an earlier leader has expired. */
const LEASE_MS = 1_100;
const JOB_ID = "00000000000000aa";
const FIRST_TERM = 900;
const SECOND_TERM = 901;

/** An instance that follows the leader `a`, and has submitted a job to it. */
function createFollower({ isRecorded }: { isRecorded: boolean }): TestInstance {
  const follower = createTestInstance({ peers: ["a"] });
  const workers = [testWorker("w1")];
  follower.after(0, { type: "workersRead", workers });
  hearLeader(follower, FIRST_TERM);
  follower.after(0, {
    type: "callerSubmit",
    requestId: "r",
    jobId: JOB_ID,
    queue: testQueue,
    job: { ...testJob(1), isRecorded },
    timeoutMs: 6_000,
    answerAt: "ended",
  });
  return follower;
}

function hearLeader(follower: TestInstance, term: number): Effect[] {
  return follower.receive(
    "a",
    testHeartbeat({
      sentAtMs: follower.state.nowMs,
      isLeader: true,
      leaderId: "a",
      term,
    }),
  );
}

function submissionsOf(effects: readonly Effect[]) {
  return effectsOf(effects, "sendPeer").flatMap(({ message }) =>
    message.type === "submit" ? [message] : []
  );
}

// A leader that steps down, such as after a pause, and is the next leader as well
// has lost its jobs. Its followers may not hear from it in between.
for (const isRecorded of [false, true]) {
  test(`a job is submitted again to a leader in a new term, recorded: ${isRecorded}`, () => {
    const follower = createFollower({ isRecorded });
    follower.tick(100);
    const effects = hearLeader(follower, SECOND_TERM);
    expect(submissionsOf(effects).map(({ resubmitted }) => resubmitted))
      .toEqual([true]);
    follower.tick(100);
    expect(submissionsOf(hearLeader(follower, SECOND_TERM))).toEqual([]);
  });
}

/** A leader whose process was paused, and which is the leader again. */
function createReelectedLeader(): TestInstance {
  const leader = createTestLeader();
  leader.tick(2_000);
  leader.after(420, { type: "processPaused", pausedMs: 420 });
  while (leader.state.scheduler === null) leader.tick();
  return leader;
}

function startsOf(effects: readonly Effect[]): string[] {
  return effectsOf(effects, "startTask").map(({ taskName }) => taskName);
}

/** Submissions by an entry that may not have heard of the leader's term. */
const submissions: { name: string; termsAgo: number; starts: string[] }[] = [
  { name: "the present term", termsAgo: 0, starts: [`${JOB_ID}.0.0.0`] },
  { name: "an earlier term", termsAgo: 1, starts: [] },
];

// The users' own run: two tasks of a job ran twice, both started by one leader.
// An entry that reconnects submits its jobs again, as to the leader that has
// them. That one had begun a new term, took them for new ones, and started them
// beside their runs on workers that it had not read yet.
for (const { name, termsAgo, starts } of submissions) {
  test(`a job submitted for ${name} starts ${starts.length} times before all workers are read`, () => {
    const leader = createReelectedLeader();
    leader.completePoll("w2");
    leader.tick(100);
    const term = leader.state.leaderTerm - termsAgo;
    const message = testSubmission({ jobId: JOB_ID, term });
    expect(startsOf(leader.receive("p", message))).toEqual(starts);
    leader.completePoll("w1", {
      running: [{ taskName: `${JOB_ID}.0.0.0`, run: 1, percent: 50 }],
    });
    const later = [...leader.completePoll("w2"), ...leader.tick(100)];
    expect(startsOf(later)).toEqual([]);
  });
}

test("a job submitted for an earlier term is not refused", () => {
  const leader = createReelectedLeader();
  const term = leader.state.leaderTerm - 1;
  const message = testSubmission({ jobId: JOB_ID, term, timeLeftMs: 20 });
  const effects = leader.receive("p", message);
  const refusals = effectsOf(effects, "sendPeer").filter(({ message }) =>
    message.type === "jobEnded" && message.outcome.kind === "refused"
  );
  expect(refusals).toEqual([]);
});

const lateOutcomes = [
  { name: "fenced", outcome: { kind: "refused", reason: "fenced" } },
  { name: "unhealthy", outcome: { kind: "unhealthy" } },
  { name: "not sent", outcome: { kind: "notSent", detail: "ECONNREFUSED" } },
] as const;

// The runs of a job are numbered anew in each term.
for (const { name, outcome } of lateOutcomes) {
  test(`the outcome of a start in an earlier term ends no run: ${name}`, () => {
    const leader = createTestLeader();
    leader.tick(2_000);
    const message = testSubmission({ jobId: JOB_ID });
    const [before] = effectsOf(leader.receive("p", message), "startTask");
    leader.after(420, { type: "processPaused", pausedMs: 420 });
    while (leader.state.scheduler === null) leader.tick();
    for (const workerId of ["w1", "w2"]) leader.completePoll(workerId);
    leader.tick(100);
    const again = testSubmission({ jobId: JOB_ID, resubmitted: true });
    const effects = [
      ...leader.receive("p", again),
      ...leader.completePoll("w1"),
      ...leader.completePoll("w2"),
    ];
    const [start] = effectsOf(effects, "startTask");
    expect(start?.workerId).toEqual(before?.workerId);
    expect(start?.run).toEqual(before?.run);
    leader.acknowledgeStart(start!);
    const { workerId, taskName, run, fence } = before!;
    const late = leader.after(1, {
      type: "startCompleted",
      workerId,
      taskName,
      run,
      fence,
      outcome,
    });
    expect(startsOf([...late, ...leader.tick(400)])).toEqual([]);
  });
}

/** A full leader, and its starts of the same runs in its two terms. */
function createFullLeader() {
  const leader = createTestLeader();
  leader.tick(2_000);
  const job = testJob(4);
  const message = testSubmission({ jobId: JOB_ID, job });
  const before = effectsOf(leader.receive("p", message), "startTask");
  leader.after(420, { type: "processPaused", pausedMs: 420 });
  while (leader.state.scheduler === null) leader.tick();
  for (const workerId of ["w1", "w2"]) leader.completePoll(workerId);
  leader.tick(100);
  const starts = effectsOf([
    ...leader.receive("p", { ...message, resubmitted: true }),
    ...leader.completePoll("w1"),
    ...leader.completePoll("w2"),
  ], "startTask");
  expect(starts.length).toEqual(4);
  expect(starts.map(({ workerId, taskName, run }) => [workerId, taskName, run]))
    .toEqual(
      before.map(({ workerId, taskName, run }) => [workerId, taskName, run]),
    );
  return { leader, before, starts };
}

function completeStart(
  leader: TestInstance,
  { workerId, taskName, run, fence }: StartEffect,
  outcome: StartOutcome,
): Effect[] {
  return leader.after(1, {
    type: "startCompleted",
    workerId,
    taskName,
    run,
    fence,
    outcome,
  });
}

test("outcomes of starts in an earlier term free no capacity for other jobs", () => {
  const { leader, before, starts } = createFullLeader();
  for (const start of starts) leader.acknowledgeStart(start);
  const message = testSubmission({ jobId: "00000000000000bb" });
  expect(startsOf(leader.receive("p", message))).toEqual([]);
  const late = before.flatMap((start) =>
    completeStart(leader, start, { kind: "notSent", detail: "ECONNREFUSED" })
  );
  expect(startsOf([...late, ...leader.tick(400)])).toEqual([]);
  const workers = [...leader.state.scheduler?.workers.values() ?? []];
  expect(workers.map(({ usedCpuMilli }) => usedCpuMilli))
    .toEqual([28_000, 28_000]);
});

// Only lists that are read under a higher token show whether the run started.
test("a start that was acknowledged in an earlier term only is looked for", () => {
  const { leader, before, starts } = createFullLeader();
  completeStart(leader, before[0]!, { kind: "started", clockMs: null });
  const start = starts[0]!;
  const effects = completeStart(leader, start, {
    kind: "unknown",
    detail: "timeout",
  });
  expect(
    effectsOf(effects, "hold").map(({ workerId, fence }) => ({
      workerId,
      fence,
    })),
  ).toEqual([{ workerId: start.workerId, fence: start.fence + 1 }]);
});

/** Submissions of a known job by another entry, for an earlier term. */
const laterEntries = [
  { name: "this leader's earlier term", isOwn: true, waitMs: 0 },
  { name: "an unknown earlier term", isOwn: false, waitMs: LEASE_MS },
];

for (const { name, isOwn, waitMs } of laterEntries) {
  test(`a known job that another entry submits for ${name} starts after all workers are read and ${waitMs} ms`, () => {
    const leader = createReelectedLeader();
    const { leaderTerm, previousList } = leader.state;
    leader.receive("p", testSubmission({ jobId: JOB_ID, term: leaderTerm }));
    const submissionId = `q.${JOB_ID}`;
    const term = isOwn ? previousList?.term ?? 0 : leaderTerm - 1;
    leader.receive("q", testSubmission({ jobId: JOB_ID, submissionId, term }));
    const early = [...leader.completePoll("w2"), ...leader.tick(100)];
    expect(startsOf(early)).toEqual([]);
    const later = [
      ...leader.completePoll("w1"),
      ...leader.completePoll("w2"),
      ...leader.tick(100),
    ];
    const starts = [`${JOB_ID}.0.0.0`];
    expect(startsOf(later)).toEqual(waitMs === 0 ? starts : []);
    if (waitMs > 0) expect(startsOf(leader.tick(waitMs))).toEqual(starts);
  });
}
