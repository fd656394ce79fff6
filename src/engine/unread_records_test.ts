import { test } from "node:test";
import { expect } from "earl";
import type { JobOutcome } from "./schemas.ts";
import {
  createTestLeader,
  effectsOf,
  type TestInstance,
  testJob,
  testQueue,
  testSubmission,
} from "./testing.ts";
import type { Effect, StoredRecord } from "./types.ts";

const JOB_ID = "00000000000000aa";
const recorded = { ...testJob(2), isRecorded: true };

function storedRecord(outcome: JobOutcome | null = null): StoredRecord {
  return {
    record: {
      jobId: JOB_ID,
      queue: testQueue,
      job: recorded,
      acceptedAtMs: 0,
      outcome,
      endedAtMs: 0,
      done: [],
      failures: {},
      results: {},
    },
    version: 7,
  };
}

/** The outcome of opening the records while the store turns the leader away. */
function turnedAway(leader: TestInstance): Effect[] {
  return leader.after(5, {
    type: "recordsOpened",
    term: leader.state.leaderTerm,
    outcome: { kind: "unavailable", detail: "503" },
  });
}

function open(
  leader: TestInstance,
  records: readonly StoredRecord[],
): Effect[] {
  leader.tick(300);
  return leader.after(5, {
    type: "recordsOpened",
    term: leader.state.leaderTerm,
    outcome: { kind: "opened", records },
  });
}

function submit(leader: TestInstance): Effect[] {
  return leader.receive(
    "p",
    testSubmission({ jobId: JOB_ID, job: recorded, answerAt: "accepted" }),
  );
}

function outcomesOf(effects: readonly Effect[]): JobOutcome[] {
  return effectsOf(effects, "sendPeer").flatMap(({ message }) =>
    message.type === "jobEnded" ? [message.outcome] : []
  );
}

function writtenRows(effects: readonly Effect[]) {
  return effectsOf(effects, "writeRecords").flatMap(({ rows }) => rows);
}

const endings = [
  { name: "is still kept in memory", idleMs: 0 },
  { name: "was discarded from memory", idleMs: 7_000 },
];

// A second submission of an accepted job ended as unknown at a leader that the
// store turned away. Once the store was back, its end was written over the record
// of the accepted job, which then stopped.
for (const { name, idleMs } of endings) {
  test(`a submission that ended before the records were read and ${name} is not written`, () => {
    const leader = createTestLeader();
    turnedAway(leader);
    submit(leader);
    expect(outcomesOf(leader.tick(400))).toEqual([
      { kind: "unknown", reason: "storeAway" },
    ]);
    leader.tick(idleMs);
    leader.tick();
    turnedAway(leader);
    const effects = [
      ...open(leader, [storedRecord()]),
      ...leader.tick(),
      ...leader.tick(),
    ];
    expect(writtenRows(effects)).toEqual([]);
    expect(leader.state.scheduler?.jobs.get(JOB_ID)?.outcome).toEqual(null);
  });
}

test("a submission that is refused before its first write is not written", () => {
  const leader = createTestLeader();
  open(leader, []);
  const outcome = { kind: "unknown" as const, detail: "timeout" };
  const [write] = effectsOf(
    leader.receive(
      "p",
      testSubmission({ jobId: "bb", job: recorded, answerAt: "accepted" }),
    ),
    "writeRecords",
  );
  const writeId = write?.writeId ?? 0;
  leader.after(900, { type: "recordsWritten", writeId, outcome });
  submit(leader);
  expect(outcomesOf(leader.tick(110))).toEqual([]);
  leader.state.scheduler!.records.retryAtMs = leader.state.nowMs + 1_000;
  expect(outcomesOf(leader.tick(300)).map(({ kind }) => kind))
    .toEqual(["refused"]);
  const rows = writtenRows([...leader.tick(1_000), ...leader.tick()]);
  expect(rows.map(({ jobId }) => jobId)).toEqual(["bb"]);
});
