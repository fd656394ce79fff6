import { test } from "node:test";
import { expect } from "earl";
import {
  createTestInstance,
  effectsOf,
  testHeartbeat,
  type TestInstance,
  testJob,
  testQueue,
  testWorker,
} from "./testing.ts";
import type { Effect } from "./types.ts";

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
