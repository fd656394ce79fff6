import { test } from "node:test";
import { expect } from "earl";
import {
  createTestLeader,
  effectsOf,
  type TestInstance,
  testJob,
  testSubmission,
} from "./testing.ts";
import type { Effect } from "./types.ts";

const RUNNING_ID = "00000000000000aa";
const NEW_ID = "00000000000000bb";
/** Interval of the worker's answers. */
const POLL_INTERVAL_MS = 100;

function submit(leader: TestInstance, jobId: string, count: number): Effect[] {
  const job = testJob(count);
  const submission = testSubmission({ jobId, job, timeLeftMs: 60_000 });
  return leader.receive("p", submission);
}

/**
 * Fills both workers with four tasks, which then progress by `percentPerPoll`
 * with each answer.
 */
function fillWorkers(
  leader: TestInstance,
  { percentPerPoll, polls }: { percentPerPoll: number; polls: number },
): void {
  const starts = effectsOf(submit(leader, RUNNING_ID, 4), "startTask");
  for (const start of starts) leader.acknowledgeStart(start);
  for (let poll = 1; poll <= polls; poll += 1) {
    leader.tick(POLL_INTERVAL_MS);
    for (const workerId of ["w1", "w2"]) {
      const running = starts.filter((start) => start.workerId === workerId)
        .map(({ taskName, run }) => {
          return { taskName, run, percent: poll * percentPerPoll };
        });
      leader.completePoll(workerId, { running });
    }
  }
}

/**
 * A job that needs 100 ms and has 120 ms more until its objective arrives while
 * all workers are full and no job waits.
 */
const cases: {
  name: string;
  progress: { percentPerPoll: number; polls: number };
  isRefused: boolean;
}[] = [
  {
    name: "run for seconds more",
    progress: { percentPerPoll: 2, polls: 5 },
    isRefused: true,
  },
  {
    name: "end soon, though they have run longer than others",
    progress: { percentPerPoll: 9, polls: 11 },
    isRefused: false,
  },
];

test("a job is not refused if the running tasks are being stopped", () => {
  const leader = createTestLeader();
  fillWorkers(leader, { percentPerPoll: 2, polls: 5 });
  leader.receive("p", { type: "withdraw", jobId: RUNNING_ID });
  const outcomes = effectsOf(submit(leader, NEW_ID, 1), "sendPeer")
    .filter(({ message }) => message.type === "jobEnded");
  expect(outcomes).toEqual([]);
});

for (const { name, progress, isRefused } of cases) {
  test(`a job is ${isRefused ? "" : "not "}refused at once if the running tasks ${name}`, () => {
    const leader = createTestLeader();
    fillWorkers(leader, progress);
    const refusals = effectsOf(submit(leader, NEW_ID, 1), "sendPeer")
      .map(({ message }) => message)
      .filter((message) =>
        message.type === "jobEnded" && message.outcome.kind === "refused"
      );
    expect(refusals.length).toEqual(isRefused ? 1 : 0);
  });
}
