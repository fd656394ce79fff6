import { test } from "node:test";
import { expect } from "earl";
import type { Step } from "./schemas.ts";
import {
  createTestLeader,
  effectsOf,
  messagesOf,
  openRecords,
  testJob,
  testStoredRecord,
  testSubmission,
} from "./testing.ts";

const JOB_ID = "00000000000000aa";
const OTHER_JOB_ID = "00000000000000bb";
const step = testJob(1).steps[0]!;

/** A step that can't be read. */
const unreadableStep: Step = {
  ...step,
  get after(): never {
    throw new RangeError("Maximum call stack size exceeded");
  },
};
const unreadableJob = { spec: "", steps: [unreadableStep] };

const lists = [{ length: 1 }, { length: 130_000 }, { length: 1_000_000 }];

// The list was passed on as arguments, which are limited by the stack. The error
// ended each process that the entry handed the job to.
for (const { length } of lists) {
  test(`a leader takes a job with a list of ${length} earlier steps`, () => {
    const leader = createTestLeader();
    leader.tick(2_000);
    const after = Array<number>(length).fill(0);
    const job = { spec: "", steps: [step, { ...step, after }] };
    leader.receive("p", testSubmission({ jobId: JOB_ID, job }));
    expect(leader.state.scheduler?.jobs.get(JOB_ID)?.criticalPathMs)
      .toEqual(200);
  });
}

test("a job that can't be created ends alone, and is not tried again", () => {
  const leader = createTestLeader();
  leader.tick(2_000);
  for (const attempt of [1, 2]) {
    const submissionId = `p.${attempt}`;
    const effects = leader.receive(
      "p",
      testSubmission({ jobId: JOB_ID, submissionId, job: unreadableJob }),
    );
    expect(messagesOf(effects, "jobEnded")).toEqual([{
      type: "jobEnded",
      jobId: JOB_ID,
      submissionId,
      outcome: { kind: "unknown", reason: "internalError" },
    }]);
  }
  expect(leader.state.counters.jobFaults).toEqual(1);
  const others = leader.receive("p", testSubmission({ jobId: OTHER_JOB_ID }));
  expect(effectsOf(others, "startTask").length).toEqual(1);
});

test("a record from which no job can be created doesn't hold up the others", () => {
  const leader = createTestLeader();
  leader.state.recordsExist = true;
  leader.tick(2_000);
  const job = { ...unreadableJob, isRecorded: true };
  openRecords(leader, [
    testStoredRecord({ jobId: JOB_ID, job }),
    testStoredRecord({ jobId: OTHER_JOB_ID }),
  ]);
  const { jobs, records } = leader.state.scheduler!;
  expect(records.phase).toEqual("open");
  expect([...jobs.keys()]).toEqual([OTHER_JOB_ID]);
});
