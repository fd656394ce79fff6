import { test } from "node:test";
import { expect } from "earl";
import { createTestLeader, testWorker } from "../engine/testing.ts";
import { workersReadIntervalMs } from "./store_readers.ts";

/** What a leader knows, and after which time it reads the list of workers. */
const intervals: {
  readonly name: string;
  readonly workers: number;
  readonly hasCrashed: boolean;
  readonly intervalMs: number;
}[] = [
  { name: "no worker", workers: 0, hasCrashed: false, intervalMs: 250 },
  { name: "calm workers", workers: 2, hasCrashed: false, intervalMs: 700 },
  { name: "a crashed worker", workers: 2, hasCrashed: true, intervalMs: 200 },
  {
    name: "a crashed worker in a long list",
    workers: 1_001,
    hasCrashed: true,
    intervalMs: 700,
  },
];

for (const { name, workers, hasCrashed, intervalMs } of intervals) {
  test(`interval of reading the list of workers: ${name}`, () => {
    const { state, after } = createTestLeader();
    const listed = Array.from(
      { length: workers },
      (_, index) => testWorker(`w${index + 1}`),
    );
    after(1, { type: "workersRead", workers: listed });
    if (hasCrashed) {
      const callId = state.scheduler?.workers.get("w1")?.pollCallId ?? 0;
      const outcome = { kind: "notListening" as const };
      after(1, { type: "pollCompleted", workerId: "w1", callId, outcome });
    }
    expect(workersReadIntervalMs(state)).toEqual(intervalMs);
  });
}
