import { test } from "node:test";
import { expect } from "earl";
import { MAX_TASKS_PER_EVENT } from "./guards.ts";
import {
  createTestLeader,
  effectsOf,
  openRecords,
  type TestInstance,
  testStoredRecord,
} from "./testing.ts";
import type { Effect, StoredRecord } from "./types.ts";

const RECORD_COUNT = 3_000;

function storedRecords(count: number): StoredRecord[] {
  return Array.from(
    { length: count },
    (_, index) =>
      testStoredRecord({ jobId: index.toString(16).padStart(16, "0") }),
  );
}

/** Takes over records; returns the effects of each event that this needs. */
function takeOver(leader: TestInstance, count: number): Effect[][] {
  const term = leader.state.leaderTerm;
  let effects = openRecords(leader, storedRecords(count));
  const events = [effects];
  while (effects.some(({ type }) => type === "continueOpening")) {
    effects = leader.after(1, { type: "openingContinued", term });
    events.push(effects);
  }
  return events;
}

function resumedIn(effects: readonly Effect[]): number {
  return effectsOf(effects, "log")
    .filter(({ text }) => text === "recorded job resumed").length;
}

// A leader that restored some thousand jobs in one event was silent for longer
// than its peers wait for a leader, and so was each of its successors.
test("no event of a takeover restores or resumes all jobs of many records", () => {
  const leader = createTestLeader();
  const events = takeOver(leader, RECORD_COUNT);
  const resumed = events.map(resumedIn);
  expect(Math.max(...resumed) <= MAX_TASKS_PER_EVENT).toEqual(true);
  expect(resumed.reduce((sum, count) => sum + count, 0)).toEqual(RECORD_COUNT);
  // The events before those only restore jobs.
  const minimum = 2 * RECORD_COUNT / MAX_TASKS_PER_EVENT - 1;
  expect(events.length >= minimum).toEqual(true);
  expect(leader.state.scheduler?.waiting.get("s")?.length)
    .toEqual(RECORD_COUNT);
});

// Each restored job was searched for and inserted in the queue, and then the
// whole queue was gone through.
test("a takeover goes through the queue a number of times that doesn't grow", () => {
  const leader = createTestLeader();
  let jobsLookedAt = 0;
  const { mayRunElsewhere } = leader.state.guards;
  Object.assign(leader.state.guards, {
    mayRunElsewhere: (nowMs: number, expiresAtMs: number) => {
      jobsLookedAt += 1;
      return mayRunElsewhere(nowMs, expiresAtMs);
    },
  });
  takeOver(leader, RECORD_COUNT);
  expect(jobsLookedAt <= 2 * RECORD_COUNT).toEqual(true);
});

// A busy leader that stepped down left the same work to each of its successors.
test("a leader that was kept busy by its own work remains the leader", () => {
  const leader = createTestLeader();
  leader.after(1_400, { type: "processBusy", busyMs: 1_400 });
  leader.tick();
  expect(leader.state.leaderId).toEqual("self");
  expect(leader.state.scheduler === null).toEqual(false);
});

// The record of a job that is not restored yet may be among the remaining ones.
test("while jobs are restored, none of them is reported as unknown", () => {
  const leader = createTestLeader();
  openRecords(leader, storedRecords(RECORD_COUNT));
  const replies = ["0".repeat(16), (RECORD_COUNT - 1).toString(16)].map(
    (jobId) => {
      const effects = leader.receive("p", {
        type: "question",
        questionId: jobId,
        question: { kind: "job", jobId: jobId.padStart(16, "0") },
      });
      const [reply] = effectsOf(effects, "sendPeer");
      return reply?.message.type === "reply" ? reply.message.reply.kind : null;
    },
  );
  expect(replies).toEqual(["unavailable", "unavailable"]);
});

// A completion that arrives before its job is resumed queues the job. A task whose
// run had been found, but not attached, would start a second time.
test("runs found on workers are attached before any further event", () => {
  const leader = createTestLeader();
  const records = storedRecords(RECORD_COUNT);
  // The jobs are resumed from the last record to the first.
  const [first] = records;
  const taskName = `${first?.record.jobId}.0.0.0`;
  leader.state.recordsExist = true;
  leader.completePoll("w1", {
    running: [{ taskName, run: 1, percent: 10 }],
  });
  const run = () =>
    [...leader.state.scheduler?.workers.get("w1")?.runs.values() ?? []][0];
  const term = leader.state.leaderTerm;
  openRecords(leader, records);
  expect(run()?.job ?? null).toEqual(null);
  const { scheduler } = leader.state;
  while (scheduler?.records.phase !== "open") {
    leader.after(1, { type: "openingContinued", term });
  }
  expect((scheduler?.records.resuming.length ?? 0) > 0).toEqual(true);
  expect(run()?.job?.jobId).toEqual(first?.record.jobId);
});
