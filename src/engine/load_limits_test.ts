import { test } from "node:test";
import { expect } from "earl";
import { createJobTable } from "./job_table.ts";
import {
  createTestInstance,
  createTestLeader,
  effectsOf,
  messagesOf,
  testJob,
  testSubmission,
} from "./testing.ts";
import type { Effect, EngineState, Job, LoadLimits } from "./types.ts";

const JOB_ID = "00000000000000aa";

function limit(state: EngineState, limits: Partial<LoadLimits>): void {
  Object.assign(state, { limits: { ...state.limits, ...limits } });
}

function refusalsOf(effects: Effect[]): unknown[] {
  return messagesOf(effects, "jobEnded").map(({ outcome }) => outcome);
}

const refusal = {
  kind: "refused",
  reason: "overloaded",
  retryAfterMs: 1_000,
} as const;

// Clients of one entry could fill the memory of its leader.
test("a leader without memory for a job refuses it and keeps nothing of it", () => {
  const leader = createTestLeader();
  limit(leader.state, { maxJobBytesAtLeader: 2_000 });
  const submission = testSubmission({ jobId: JOB_ID, job: testJob(1) });
  expect(refusalsOf(leader.receive("p", submission))).toEqual([refusal]);
  expect(leader.state.scheduler?.jobs.size).toEqual(0);
  expect(leader.state.counters.jobsOverMemory).toEqual(1);
});

// A refusal says that no task of the job has run.
test("a leader without memory admits a job that it may have started before", () => {
  const leader = createTestLeader();
  limit(leader.state, { maxJobBytesAtLeader: 2_000 });
  const submission = testSubmission({
    jobId: JOB_ID,
    job: testJob(1),
    resubmitted: true,
  });
  expect(refusalsOf(leader.receive("p", submission))).toEqual([]);
  expect(leader.state.scheduler?.jobs.size).toEqual(1);
});

test("a leader that has not read the records admits a recorded job", () => {
  const leader = createTestLeader();
  limit(leader.state, { maxJobBytesAtLeader: 2_000 });
  const job = { ...testJob(1), isRecorded: true };
  const submission = testSubmission({ jobId: JOB_ID, job });
  expect(refusalsOf(leader.receive("p", submission))).toEqual([]);
});

test("an entry that uses its share of a leader leaves room for others", () => {
  const leader = createTestLeader();
  limit(leader.state, { maxJobBytesAtLeader: 10_000 });
  const outcomes = ["p", "p", "p", "q"].map((entryId, index) => {
    const jobId = `00000000000000a${index}`;
    const submission = testSubmission({ jobId, job: testJob(1) });
    return refusalsOf(leader.receive(entryId, submission)).length;
  });
  expect(outcomes).toEqual([0, 0, 1, 0]);
});

test("the sizes of jobs that left the table are not counted any more", () => {
  const table = createJobTable();
  const job = {
    spec: testJob(1),
    submissionIdByEntry: new Map([["p", "1"]]),
  } as unknown as Job;
  table.set(JOB_ID, job);
  table.set(JOB_ID, job);
  expect(table.totalBytes).toEqual(table.bytesOf("p"));
  table.delete(JOB_ID);
  table.delete(JOB_ID);
  expect([table.totalBytes, table.bytesOf("p")]).toEqual([0, 0]);
});

test("queries above the limit are answered as unavailable at once", () => {
  const entry = createTestInstance();
  limit(entry.state, { maxQueries: 1 });
  const ask = (requestId: string) =>
    effectsOf(
      entry.after(0, {
        type: "callerQuery",
        requestId,
        query: { kind: "job", jobId: JOB_ID },
      }),
      "answerQuery",
    ).map(({ reply }) => reply.kind);
  expect([ask("1"), ask("2")]).toEqual([[], ["unavailable"]]);
  expect(entry.state.pendingQueries.size).toEqual(1);
  expect(entry.state.counters.queriesOverLimit).toEqual(1);
});
