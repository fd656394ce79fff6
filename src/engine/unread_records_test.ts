import { test } from "node:test";
import { expect } from "earl";
import type { JobOutcome, JobQuery, PeerMessage, Reply } from "./schemas.ts";
import {
  createTestLeader,
  effectsOf,
  openRecords,
  type TestInstance,
  testJob,
  testQueue,
  testStoredRecord,
  testSubmission,
} from "./testing.ts";
import type { Effect, StoredRecord } from "./types.ts";

const JOB_ID = "00000000000000aa";
const recorded = { ...testJob(2), isRecorded: true };

function storedRecord(outcome: JobOutcome | null = null): StoredRecord {
  return testStoredRecord({ jobId: JOB_ID, job: recorded, outcome });
}

/** The outcome of opening the records while the store turns the leader away. */
function turnedAway(leader: TestInstance): Effect[] {
  return leader.after(5, {
    type: "recordsOpened",
    term: leader.state.leaderTerm,
    outcome: { kind: "unavailable", detail: "503" },
  });
}

/** The leader reads all records at its next attempt. */
function open(
  leader: TestInstance,
  records: readonly StoredRecord[],
): Effect[] {
  leader.tick(300);
  return openRecords(leader, records);
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

function repliesOf(effects: readonly Effect[]): Reply[] {
  return effectsOf(effects, "sendPeer").flatMap(({ message }) =>
    message.type === "reply" ? [message.reply] : []
  );
}

const requests: { name: string; question: JobQuery }[] = [
  {
    name: "a cancellation of a job that is submitted again",
    question: { kind: "cancel", jobId: JOB_ID },
  },
  {
    name: "a query for a job that is submitted again",
    question: { kind: "job", jobId: JOB_ID },
  },
  {
    name: "a query for an unknown job",
    question: { kind: "job", jobId: "00000000000000bb" },
  },
  {
    name: "a query for the number of waiting jobs",
    question: { kind: "pending", queueName: testQueue.name },
  },
];

// A job ran on after its cancellation was acknowledged, and no job was reported
// to wait while some thousand did.
for (const { name, question } of requests) {
  test(`before the records were read, ${name} is answered as unavailable`, () => {
    const leader = createTestLeader();
    leader.state.recordsExist = true;
    submit(leader);
    const effects = leader.receive("p", {
      type: "question",
      questionId: "q",
      question,
    });
    expect(repliesOf(effects)).toEqual([{ kind: "unavailable" }]);
  });
}

const restored: {
  outcome: JobOutcome | null;
  messages: PeerMessage["type"][];
}[] = [
  { outcome: null, messages: ["jobAccepted"] },
  { outcome: { kind: "done" }, messages: ["jobEnded"] },
  {
    outcome: { kind: "unknown", reason: "storeAway" },
    messages: ["jobEnded"],
  },
];

// A retry of a job that had ended as unknown was answered as accepted, and the
// job never ran.
for (const { outcome, messages } of restored) {
  test(`a submission of a job recorded with the outcome ${outcome?.kind ?? "none"} is answered by ${messages}`, () => {
    const leader = createTestLeader();
    submit(leader);
    const effects = open(leader, [storedRecord(outcome)]);
    expect(
      effectsOf(effects, "sendPeer").map(({ message }) => message.type),
    ).toEqual(messages);
  });
}
