import { test } from "node:test";
import { expect } from "earl";
import { partOf } from "./records.ts";
import type { JobSpec } from "./schemas.ts";
import {
  confirmWrites,
  createTestLeader,
  effectsOf,
  openRecords,
  type TestInstance,
  testJob,
  testStoredRecord,
  testSubmission,
} from "./testing.ts";
import type { Effect, WriteOutcome } from "./types.ts";

const JOB_ID = "00000000000000bb";
/** A job of which the record is in another part of the records table. */
const OTHER_JOB_ID = "00000000000000aa";
const DEADLINE_MS = 2_000;
/** Time for which the outcome of a job with a record is kept. */
const RETENTION_MS = 150_000;
const recorded: JobSpec = { ...testJob(1), isRecorded: true };
const unanswered: WriteOutcome = { kind: "unknown", detail: "timeout" };

function submit(
  leader: TestInstance,
  fields: { jobId?: string; submissionId: string; job: JobSpec },
): Effect[] {
  return leader.receive(
    "p",
    testSubmission({ jobId: JOB_ID, answerAt: "accepted", ...fields }),
  );
}

/** The store answers the write of a part among the effects, if there is one. */
function answerWrite(
  leader: TestInstance,
  effects: readonly Effect[],
  { jobId, outcome }: { jobId: string; outcome: WriteOutcome },
): Effect[] {
  const writes = effectsOf(effects, "writeRecords");
  const write = writes.findLast(({ part }) => part === partOf(jobId));
  const writeId = write?.writeId ?? 0;
  return leader.after(1, { type: "recordsWritten", writeId, outcome });
}

/** Advances by `ms` in ticks. */
function pass(leader: TestInstance, ms: number): Effect[] {
  const effects: Effect[] = [];
  for (let passedMs = 0; passedMs < ms; passedMs += 25) {
    effects.push(...leader.tick());
  }
  return effects;
}

function rowsOf(effects: readonly Effect[]) {
  return effectsOf(effects, "writeRecords").flatMap(({ rows }) => rows)
    .filter(({ jobId }) => jobId === JOB_ID);
}

function messagesOf(effects: readonly Effect[]) {
  return effectsOf(effects, "sendPeer").map(({ message }) => message);
}

/**
 * The store answers no write of the job before its deadline, when the job is
 * refused. The refusal is to be written, since a row of the job may exist.
 */
function refuseAtDeadline(leader: TestInstance): Effect[] {
  const job = { ...recorded, deadlineMs: DEADLINE_MS };
  const submitted = submit(leader, { submissionId: "p.1.1", job });
  leader.tick(900);
  answerWrite(leader, submitted, { jobId: JOB_ID, outcome: unanswered });
  const retried = leader.tick(125);
  leader.tick(900);
  answerWrite(leader, retried, { jobId: JOB_ID, outcome: unanswered });
  return leader.tick(90);
}

/** What becomes of an attempt until it is replaced, and after that. */
interface Replacement {
  readonly name: string;
  readonly prepare: (leader: TestInstance) => Effect[];
  /** Outcome of the write of the earlier attempt that is in flight. */
  readonly outcome?: WriteOutcome;
}

const replacements: Replacement[] = [
  { name: "is yet to be written", prepare: refuseAtDeadline },
  {
    name: "is being written, without an answer",
    prepare: (leader) => {
      refuseAtDeadline(leader);
      return leader.tick(50);
    },
    outcome: unanswered,
  },
  {
    name: "is being written, to a row that has changed",
    prepare: (leader) => {
      refuseAtDeadline(leader);
      return leader.tick(50);
    },
    outcome: {
      kind: "changed",
      records: [testStoredRecord({ jobId: JOB_ID, job: recorded })],
    },
  },
  {
    name: "is being removed, without an answer",
    prepare: (leader) => {
      refuseAtDeadline(leader);
      confirmWrites(leader, leader.tick(50));
      const removal = leader.tick(RETENTION_MS);
      // No task starts on a worker whose clock was read so long ago.
      for (const workerId of ["w1", "w2"]) leader.completePoll(workerId);
      return removal;
    },
    outcome: unanswered,
  },
];

// The earlier attempt stays among the jobs to be written, or returns to them when
// its write fails. Its refusal or removal must not be written to the row of the
// present attempt.
for (const { name, prepare, outcome } of replacements) {
  test(`only the present attempt at a job is written if the refusal of the earlier one ${name}`, () => {
    const leader = createTestLeader();
    openRecords(leader);
    const other = submit(leader, {
      jobId: OTHER_JOB_ID,
      submissionId: "p.2.1",
      job: recorded,
    });
    const prepared = prepare(leader);
    const written: WriteOutcome = { kind: "written", version: 9 };
    answerWrite(leader, other, { jobId: OTHER_JOB_ID, outcome: written });
    const effects = submit(leader, { submissionId: "p.3.1", job: recorded });
    expect(messagesOf(effects)).toEqual([]);
    if (outcome !== undefined) {
      effects.push(
        ...answerWrite(leader, prepared, { jobId: JOB_ID, outcome }),
      );
    }
    effects.push(...pass(leader, 150));
    expect(rowsOf(effects).map(({ record }) => record?.outcome))
      .toEqual([null]);
    const accepted = confirmWrites(leader, effects);
    expect(messagesOf(accepted)).toEqual([
      { type: "jobAccepted", jobId: JOB_ID, submissionId: "p.3.1" },
    ]);
    expect(effectsOf(accepted, "startTask").length).toEqual(1);
    expect(rowsOf(pass(leader, 1_000))).toEqual([]);
  });
}

// Its callers were told that the outcome is unknown, which is recorded.
test("a recorded job that ended as unknown is not run again for a later submission", () => {
  const leader = createTestLeader();
  openRecords(leader);
  leader.tick(2_000);
  const job = { ...recorded, deadlineMs: DEADLINE_MS };
  const submitted = submit(leader, { submissionId: "p.1.1", job });
  const started = confirmWrites(leader, submitted);
  expect(effectsOf(started, "startTask").length).toEqual(1);
  const ended = confirmWrites(leader, leader.tick(DEADLINE_MS));
  const outcome = { kind: "unknown", reason: "deadline" } as const;
  const report = { type: "jobEnded", jobId: JOB_ID, outcome } as const;
  expect(messagesOf(ended)).toEqual([{ ...report, submissionId: "p.1.1" }]);
  const again = submit(leader, { submissionId: "p.2.1", job });
  expect(messagesOf(again)).toEqual([{ ...report, submissionId: "p.2.1" }]);
  const later = [...again, ...confirmWrites(leader, again)];
  for (const workerId of ["w1", "w2"]) {
    later.push(...leader.completePoll(workerId));
  }
  later.push(...pass(leader, 1_000));
  expect(effectsOf(later, "startTask")).toEqual([]);
});
