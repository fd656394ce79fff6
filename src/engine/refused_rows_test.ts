import { test } from "node:test";
import { expect } from "earl";
import { partOf } from "./records.ts";
import type { JobSpec } from "./schemas.ts";
import {
  confirmWrites,
  createRecordsLeader,
  effectsOf,
  messagesOf,
  type TestInstance,
  testJob,
  testSubmission,
} from "./testing.ts";
import type { Effect, WriteOutcome } from "./types.ts";

const recorded: JobSpec = {
  ...testJob(1),
  steps: [{ ...testJob(1).steps[0]!, cpuMilli: 0 }],
  isRecorded: true,
};

/** Returns ids of jobs whose records are in the same part. */
function jobIdsOfOnePart(count: number): string[] {
  const ids: string[] = [];
  for (let number = 1; ids.length < count; number += 1) {
    const id = number.toString(16).padStart(16, "0");
    if (partOf(id) === 0) ids.push(id);
  }
  return ids;
}

/**
 * Answers all writes, and those that follow, as a store that refuses one row while
 * `refuses` holds. Returns all effects and the number of refused writes.
 */
function answerWrites(
  leader: TestInstance,
  effects: readonly Effect[],
  refuses: (row: Effect & { type: "writeRecords" }) => boolean,
): { effects: Effect[]; refusedCount: number } {
  const all = [...effects];
  let refusedCount = 0;
  for (let at = 0; at < all.length; at += 1) {
    const effect = all[at];
    if (effect?.type !== "writeRecords") continue;
    const isRefused = refuses(effect);
    refusedCount += Number(isRefused);
    const outcome: WriteOutcome = isRefused
      ? { kind: "invalid", detail: "status 400" }
      : { kind: "written", version: 9 };
    const { writeId } = effect;
    all.push(...leader.after(1, { type: "recordsWritten", writeId, outcome }));
  }
  return { effects: all, refusedCount };
}

const batches = [
  { jobCount: 1, refusedAt: 0, maxRefused: 1 },
  { jobCount: 3, refusedAt: 1, maxRefused: 2 },
  { jobCount: 41, refusedAt: 0, maxRefused: 1 },
  { jobCount: 41, refusedAt: 1, maxRefused: 7 },
  { jobCount: 41, refusedAt: 40, maxRefused: 7 },
];

// The refusal counted as a lost answer: the same batch was written again without
// end, and no other record of its part.
for (const { jobCount, refusedAt, maxRefused } of batches) {
  test(`row ${refusedAt} of ${jobCount} that the store refuses ends its job only`, () => {
    const leader = createRecordsLeader();
    const jobIds = jobIdsOfOnePart(jobCount);
    const refusedId = jobIds[refusedAt]!;
    // All but the first are submitted while its write is in flight.
    const submitted = jobIds.flatMap((jobId) =>
      leader.receive(
        "p",
        testSubmission({ jobId, job: recorded, answerAt: "accepted" }),
      )
    );
    const { effects, refusedCount } = answerWrites(
      leader,
      submitted,
      ({ rows }) => rows.some(({ jobId }) => jobId === refusedId),
    );
    expect(refusedCount <= maxRefused).toEqual(true);
    const accepted = messagesOf(effects, "jobAccepted");
    expect(accepted.map(({ jobId }) => jobId).sort())
      .toEqual(jobIds.filter((id) => id !== refusedId));
    const ended = messagesOf(effects, "jobEnded");
    expect(ended.map(({ jobId }) => jobId)).toEqual([refusedId]);
    expect(ended[0]?.outcome)
      .toEqual({ kind: "refused", reason: "tooLarge", retryAfterMs: 0 });
  });
}

/** What the task of a job returns. */
const RESULT = "a rib";

/** What the store refuses of an accepted job that is done, and what is written. */
const laterRefusals = [
  { name: "its result", refuses: RESULT, outcome: "done" },
  { name: "every row of it", refuses: "", outcome: undefined },
];

for (const { name, refuses, outcome } of laterRefusals) {
  test(`an accepted job is answered though the store refuses ${name}`, () => {
    const leader = createRecordsLeader();
    const [jobId = ""] = jobIdsOfOnePart(1);
    const submission = testSubmission({ jobId, job: recorded });
    const accepted = confirmWrites(leader, leader.receive("p", submission));
    const [start] = effectsOf(accepted, "startTask");
    leader.acknowledgeStart(start!);
    const { workerId, taskName, run } = start!;
    const ended = leader.after(1, {
      type: "pollCompleted",
      workerId,
      callId: leader.state.scheduler?.workers.get(workerId)?.pollCallId ?? 0,
      outcome: {
        kind: "held",
        clockMs: leader.state.nowMs,
        bornMs: 1,
        running: [],
        finished: [
          { sequence: 1, taskName, run, end: "done", result: RESULT },
        ],
      },
    });
    const { effects } = answerWrites(
      leader,
      [...ended, ...leader.tick()],
      ({ rows }) => JSON.stringify(rows).includes(refuses),
    );
    const reported = messagesOf(effects, "jobEnded");
    expect(reported.map(({ outcome }) => outcome.kind)).toEqual(["done"]);
    const rows = effectsOf(effects, "writeRecords").flatMap(({ rows }) => rows)
      .filter((row) => !JSON.stringify(row).includes(refuses));
    expect(rows.map(({ record }): string | undefined => record?.outcome?.kind))
      .toEqual(outcome === undefined ? [] : [outcome]);
    const later = effectsOf(leader.tick(1_000), "writeRecords");
    expect(later.flatMap(({ rows }) => rows)).toEqual([]);
  });
}
