import { test } from "node:test";
import { expect } from "earl";
import {
  createTestInstance,
  effectsOf,
  testHeartbeat,
  type TestInstance,
  testJob,
  testQueue,
} from "./testing.ts";

const JOB_ID = "00000000000000aa";
const TERM = 900_000_000_000_000;

function hear(instance: TestInstance, from: string, fields = {}) {
  const sentAtMs = instance.state.nowMs;
  return instance.receive(from, testHeartbeat({ sentAtMs, ...fields }));
}

function submissionIds(effects: ReturnType<TestInstance["tick"]>): string[] {
  return effectsOf(effects, "sendPeer").flatMap(({ message }) =>
    message.type === "submit" ? [message.submissionId] : []
  );
}

// The entry follows its leader anew and submits the job again. The leader refuses
// the first copy, steps down, and gets the second one in its next term.
test("a refusal of the first copy doesn't answer for a second copy on its way", () => {
  const entry = createTestInstance({ peers: ["a", "b", "c"] });
  const isLeader = { isLeader: true, term: TERM, leaderId: "a" };
  for (const id of ["b", "c"]) hear(entry, id, { leaderId: "a" });
  hear(entry, "a", isLeader);
  entry.tick();
  const [first] = submissionIds(entry.after(0, {
    type: "callerSubmit",
    requestId: "r",
    jobId: JOB_ID,
    queue: testQueue,
    job: testJob(1),
    timeoutMs: 6_000,
    answerAt: "ended",
  }));
  for (let ms = 0; ms < 600; ms += 100) {
    entry.tick(100);
    for (const id of ["b", "c"]) hear(entry, id, { leaderId: "a" });
  }
  expect(entry.state.leaderId).toEqual(null);
  const [second] = submissionIds([
    ...hear(entry, "a", isLeader),
    ...entry.tick(0),
  ]);
  expect(second === undefined).toEqual(false);
  const answers = effectsOf(
    entry.receive("a", {
      type: "jobEnded",
      jobId: JOB_ID,
      submissionId: first ?? "",
      outcome: { kind: "refused", reason: "overloaded", retryAfterMs: 250 },
    }),
    "answerCaller",
  );
  expect(answers.length).toEqual(0);
});
