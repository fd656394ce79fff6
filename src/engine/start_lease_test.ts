import { test } from "node:test";
import { expect } from "earl";
import {
  createTestInstance,
  effectsOf,
  type TestInstance,
  testSubmission,
  testWorker,
} from "./testing.ts";
import type { Effect } from "./types.ts";

const LONG_JOB_ID = "00000000000000aa";
const LATER_JOB_ID = "00000000000000bb";
/** Maximum duration of a lease of 1,000 ms, with drift and delay. */
const MAX_LEASE_MS = 1_080;

function startsOf(effects: readonly Effect[]) {
  return effectsOf(effects, "startTask");
}

/** A leader of `w1`, which runs the long job, and of `w2`, which is empty. */
function createLeaderWithRun(): TestInstance {
  const leader = createTestInstance();
  const workers = [testWorker("w1"), testWorker("w2")];
  leader.after(0, { type: "workersRead", workers: workers.slice(0, 1) });
  leader.tick(1_000);
  leader.tick();
  leader.completePoll("w1");
  leader.tick(2_000);
  const message = testSubmission({ jobId: LONG_JOB_ID });
  const [start] = startsOf(leader.receive("p", message));
  leader.acknowledgeStart(start!);
  leader.after(0, { type: "workersRead", workers });
  leader.completePoll("w2");
  return leader;
}

function failPoll(leader: TestInstance, workerId: string): Effect[] {
  const worker = leader.state.scheduler?.workers.get(workerId);
  return leader.after(0, {
    type: "pollCompleted",
    workerId,
    callId: worker?.pollCallId ?? 0,
    outcome: { kind: "unreachable", detail: "ECONNRESET" },
  });
}

// A worker has one lease for all its runs, which a start prolongs as a poll does.
test("a run on a lost worker is repeated after the lease that a later start on that worker granted", () => {
  const leader = createLeaderWithRun();
  const [poll] = effectsOf(leader.tick(), "hold");
  expect(poll?.leaseEndsMs !== null).toEqual(true);
  leader.tick(300);
  const message = testSubmission({ jobId: LATER_JOB_ID });
  const [later] = startsOf(leader.receive("p", message));
  expect(later?.workerId).toEqual("w1");
  leader.acknowledgeStart(later!);
  const expiresAtMs = leader.state.nowMs + MAX_LEASE_MS;
  const effects = failPoll(leader, "w1");
  while (leader.state.nowMs + 25 < expiresAtMs) {
    effects.push(...leader.tick(), ...failPoll(leader, "w1"));
  }
  expect(startsOf(effects)).toEqual([]);
  expect(startsOf(leader.tick(100)).map(({ workerId }) => workerId))
    .toEqual(["w2", "w2"]);
});
