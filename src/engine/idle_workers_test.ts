import { test } from "node:test";
import { expect } from "earl";
import {
  answerPolls,
  createTestLeader,
  effectsOf,
  type TestInstance,
  testJob,
  testSubmission,
  testWorker,
} from "./testing.ts";
import type { Effect } from "./types.ts";

const JOB_ID = "00000000000000aa";
const LEASE_MS = 1_000;
const IDLE_MS = 60_000;

/** A leader of `workerCount` workers that had no tasks for the given time. */
function createIdleLeader(
  { idleMs = IDLE_MS, workerCount = 2 } = {},
): TestInstance {
  const leader = createTestLeader();
  const workers = Array.from(
    { length: workerCount },
    (_, index) => testWorker(`w${index + 1}`),
  );
  leader.after(0, { type: "workersRead", workers });
  for (const { workerId } of workers.slice(2)) leader.completePoll(workerId);
  for (let ms = 0; ms < idleMs; ms += 500) leader.tick(500);
  return leader;
}

function submitTo(leader: TestInstance, taskCount = 1): Effect[] {
  const message = testSubmission({ jobId: JOB_ID, job: testJob(taskCount) });
  return leader.receive("p", message);
}

function pollIds(effects: readonly Effect[]): string[] {
  return effectsOf(effects, "hold").map(({ workerId }) => workerId);
}

const starts = [
  { idleMs: 1_000, waits: false },
  { idleMs: 20_000, waits: false },
  { idleMs: 26_000, waits: true },
  { idleMs: 600_000, waits: true },
];

// A deadline that allows for a slow clock leaves less time if the clock is not
// slow; the run would lapse before the next poll renews its lease.
for (const { idleMs, waits } of starts) {
  const title = waits ? "follows a poll of its clock" : "waits for no poll";
  test(`the first start on a worker that was idle for ${idleMs} ms ${title}`, () => {
    const leader = createIdleLeader({ idleMs });
    const effects = submitTo(leader);
    expect(effectsOf(effects, "startTask").length).toEqual(waits ? 0 : 1);
    effects.push(...answerPolls(leader, effects));
    const [start] = effectsOf(effects, "startTask");
    const leftMs = (start?.leaseEndsMs ?? 0) - leader.state.nowMs;
    expect(leftMs >= LEASE_MS / 2 - 2).toEqual(true);
  });
}

const reads = [
  { name: "one task", taskCount: 1, workerCount: 8, polls: 2 },
  { name: "several tasks", taskCount: 5, workerCount: 8, polls: 6 },
  { name: "more tasks than workers", taskCount: 30, workerCount: 8, polls: 8 },
  { name: "many tasks", taskCount: 90, workerCount: 90, polls: 33 },
];

for (const { name, taskCount, workerCount, polls } of reads) {
  test(`the clocks of as many idle workers are read as ${name} may need, once`, () => {
    const leader = createIdleLeader({ workerCount });
    expect(pollIds(submitTo(leader, taskCount)).length).toEqual(polls);
    expect(pollIds(leader.tick()).length).toEqual(0);
  });
}

test("a task starts on another idle worker if one can't be reached", () => {
  const leader = createIdleLeader();
  const [cutOff, other] = pollIds(submitTo(leader));
  const [start] = effectsOf(leader.completePoll(other!), "startTask");
  expect(start?.workerId).toEqual(other);
  expect(start?.workerId === cutOff).toEqual(false);
});

test("the clock of a worker that refused a start as too late is read again", () => {
  const leader = createIdleLeader({ idleMs: 1_000 });
  const [start] = effectsOf(submitTo(leader), "startTask");
  const { workerId, taskName, run, fence } = start!;
  const effects = leader.after(1, {
    type: "startCompleted",
    workerId,
    taskName,
    run,
    fence,
    outcome: { kind: "refused", reason: "late" },
  });
  expect(pollIds(effects)).toEqual([workerId]);
});
