import { test } from "node:test";
import { expect } from "earl";
import {
  createTestInstance,
  createTestLeader,
  effectsOf,
  testHeartbeat,
  type TestInstance,
  testJob,
  testSubmission,
  testWorker,
} from "./testing.ts";
import type { Effect, RunningRow } from "./types.ts";

const JOB_ID = "00000000000000aa";
const TASK_NAME = `${JOB_ID}.0.0.0`;
const listed: RunningRow = { taskName: TASK_NAME, run: 1, percent: 10 };

function startsOf(effects: readonly Effect[]): string[] {
  return effectsOf(effects, "startTask").map(({ taskName }) => taskName);
}

// Attached to its task, the run would be lost once it is no longer listed, and
// the task would start again.
test("a run that is found of a task that is done is not attached to it", () => {
  const leader = createTestLeader();
  leader.tick(2_000);
  leader.receive("p", testSubmission({ jobId: JOB_ID, job: testJob(2) }));
  leader.completePoll("w1", { finished: [[TASK_NAME, "done"]] });
  leader.tick();
  leader.completePoll("w2", { running: [{ ...listed, run: 5 }] });
  const effects = [...leader.completePoll("w2"), ...leader.tick(400)];
  expect(startsOf(effects)).toEqual([]);
  const [task] = leader.state.scheduler?.jobs.get(JOB_ID)?.tasks ?? [];
  expect(task?.state).toEqual("done");
});

/** A leader of `w1` and `w2`, with a run of a job of the entry `p`. */
function createLeaderOfEntry() {
  const leader = createTestInstance({ peers: ["p"] });
  const workers = [testWorker("w1"), testWorker("w2")];
  leader.after(0, { type: "workersRead", workers });
  while (leader.state.scheduler === null) {
    follow(leader, null);
    leader.tick(100);
  }
  for (const { workerId } of workers) leader.completePoll(workerId);
  follow(leader, "self");
  leader.tick(100);
  const message = testSubmission({ jobId: JOB_ID });
  const [start] = effectsOf(leader.receive("p", message), "startTask");
  leader.acknowledgeStart(start!);
  return { leader, workerId: start!.workerId };
}

/** The entry is heard from, and follows a leader. */
function follow(leader: TestInstance, leaderId: string | null): void {
  const { nowMs: sentAtMs } = leader.state;
  leader.receive("p", testHeartbeat({ sentAtMs, leaderId }));
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

const followed = [
  { leaderId: "self", starts: [TASK_NAME] },
  { leaderId: "other", starts: [] },
];

// An entry that follows another leader has submitted its jobs there, and that one
// may renew the lease of the run.
for (const { leaderId, starts } of followed) {
  test(`a run on a lost worker whose entry follows the leader ${leaderId} is repeated ${starts.length} times`, () => {
    const { leader, workerId } = createLeaderOfEntry();
    const effects: Effect[] = [];
    for (let passedMs = 0; passedMs < 1_500; passedMs += 100) {
      follow(leader, leaderId);
      effects.push(...leader.tick(100), ...failPoll(leader, workerId));
    }
    expect(startsOf(effects)).toEqual(starts);
  });
}

// The leader that has the job relies on the expiry of the lease.
test("workers that are read again for a job get no lease for runs of unknown size", () => {
  const leader = createTestLeader();
  leader.tick(2_000);
  leader.tick();
  leader.receive("p", testSubmission({ jobId: "00000000000000bb" }));
  const [worker] = [...leader.state.scheduler?.workers.values() ?? []]
    .filter(({ runs }) => runs.size > 0);
  const { workerId } = worker!.info;
  leader.tick();
  leader.completePoll(workerId, { running: [listed] });
  leader.tick();
  const effects = leader.receive(
    "p",
    testSubmission({ jobId: "00000000000000cc", resubmitted: true }),
  );
  const polls = effectsOf([...effects, ...leader.tick()], "hold")
    .filter((poll) => poll.workerId === workerId);
  expect(polls.length > 0).toEqual(true);
  expect(polls.map(({ leaseEndsMs }) => leaseEndsMs))
    .toEqual(polls.map(() => null));
});

const clocks = [
  { name: "ahead of", offsetMs: 700 },
  { name: "behind", offsetMs: -700 },
];

for (const { name, offsetMs } of clocks) {
  test(`a lease ends by the clock of a worker that is ${name} the leader's`, () => {
    const leader = createTestLeader();
    leader.tick(2_000);
    leader.receive("p", testSubmission({ jobId: JOB_ID, job: testJob(4) }));
    const effects = leader.tick();
    for (const workerId of ["w1", "w2"]) {
      // The answer takes 1 ms.
      const delayMs = -offsetMs - 1;
      effects.push(...leader.completePoll(workerId, { delayMs }));
    }
    const polls = effectsOf(effects, "hold").slice(-2);
    const { leaseMs } = leader.state;
    expect(polls.map(({ leaseEndsMs }) => leaseEndsMs)).toEqual(
      ["w1", "w2"].map((workerId) => {
        const worker = leader.state.scheduler?.workers.get(workerId);
        return Math.floor((worker?.pollSentAtMs ?? 0) + offsetMs + leaseMs);
      }),
    );
  });
}
