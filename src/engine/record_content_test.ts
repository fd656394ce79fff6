import { test } from "node:test";
import { expect } from "earl";
import { createJob, setTaskState } from "./job_state.ts";
import {
  hasRoomForCounts,
  isPlacedEnough,
  maxRecordBytes,
  mergeRecord,
  recordOf,
} from "./record_content.ts";
import { createRecordState } from "./records.ts";
import type { Step } from "./schemas.ts";
import { createTestLeader, testJob, testQueue } from "./testing.ts";
import type { Job, RecordState } from "./types.ts";

/** The store's limit of a row, in bytes of base64. */
const ROW_BYTES = 65_536;
const leader = createTestLeader();
const step = testJob(1).steps[0]!;

function createRecordedJob(
  { spec = "{}", steps }: { spec?: string; steps: readonly Step[] },
): { job: Job; record: RecordState } {
  const record = createRecordState(1_700_000_000_000);
  const job = createJob(leader.state, {
    jobId: "00000000000000aa",
    queue: testQueue,
    spec: { spec, steps: [...steps], isRecorded: true },
    receivedAtMs: 0,
    deadlineAtMs: Infinity,
    isResumed: false,
    previousRunsExpireAtMs: 0,
    previousList: { kind: "none" },
    record,
    isSurplus: false,
  });
  return { job, record };
}

function encodedBytes(job: Job, record: RecordState): number {
  return Buffer.from(JSON.stringify(recordOf(job, record))).toString("base64")
    .length;
}

/** Fails as many tasks as a job may have with counts, and with runs beside. */
function failAll(job: Job, record: RecordState): void {
  for (const task of job.tasks) {
    record.troubledCount = Math.min(task.index, 256);
    const isFirst = hasRoomForCounts(job, task);
    if (!isFirst && isPlacedEnough(job)) break;
    if (!isFirst) setTaskState(job, task, "placed");
    task.failures = 99;
    task.crashes = 2;
    task.unresolvedLosses = 2;
  }
}

/** A step of as many tasks. */
function tasks(count: number): Step[] {
  return [{ ...step, count }];
}

const manySteps = Array.from({ length: 1_024 }, () => step);
const sizes = [
  { name: "one task", steps: tasks(1), fits: true },
  { name: "170 tasks", steps: tasks(170), fits: true },
  { name: "12,000 tasks", steps: tasks(12_000), fits: true },
  { name: "65,536 tasks", steps: tasks(65_536), fits: true },
  { name: "1,024 steps", steps: manySteps, fits: false },
];
const lengths = [
  { name: "4,000 control characters", spec: "\u0001".repeat(4_000) },
  { name: "4,000 bytes of long characters", spec: "\u3042".repeat(1_333) },
].map((row) => ({ ...row, steps: tasks(170), fits: true }));
const longest = {
  name: "40,000 characters of three bytes",
  spec: "\u3042".repeat(40_000),
  steps: tasks(1),
  fits: false,
};

// The store refuses a larger row, and with it every write of the same batch.
for (const { name, fits, ...options } of [...sizes, ...lengths, longest]) {
  test(`the record of a job of ${name} ${fits ? "fits a row in each state" : "is known not to fit"}`, () => {
    const { job, record } = createRecordedJob(options);
    const { fitsRow } = leader.state.guards;
    expect(fitsRow(maxRecordBytes(job, record))).toEqual(fits);
    if (!fits) return;
    failAll(job, record);
    expect(encodedBytes(job, record) <= ROW_BYTES).toEqual(true);
    for (const task of job.tasks) {
      if (task.index % 2 === 1 && task.state === "waiting") {
        setTaskState(job, task, "done");
      }
    }
    expect(encodedBytes(job, record) <= ROW_BYTES).toEqual(true);
  });
}

for (const doneCount of [0, 1, 256, 257, 999, 1_000]) {
  test(`a record with ${doneCount} of 1,000 tasks done restores them`, () => {
    const before = createRecordedJob({ steps: tasks(1_000) });
    for (const task of before.job.tasks.slice(1_000 - doneCount)) {
      setTaskState(before.job, task, "done");
    }
    const stored = JSON.parse(
      JSON.stringify(recordOf(before.job, before.record)),
    );
    const { job } = createRecordedJob({ steps: tasks(1_000) });
    mergeRecord(job, stored);
    expect(job.tasks.map(({ state }) => state))
      .toEqual(before.job.tasks.map(({ state }) => state));
    expect(job.unfinished).toEqual(1_000 - doneCount);
  });
}

test("a job with many failed tasks repeats these before it starts others", () => {
  const { job, record } = createRecordedJob({ steps: tasks(2_000) });
  const [failed, fresh] = job.tasks;
  failed!.failures = 1;
  record.troubledCount = 256;
  expect(hasRoomForCounts(job, failed!)).toEqual(true);
  expect(hasRoomForCounts(job, fresh!)).toEqual(false);
});
