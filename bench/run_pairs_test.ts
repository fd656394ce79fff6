import { test } from "node:test";
import { expect } from "earl";
import type { RunRecord } from "../standins/run_records.ts";
import { findOverloads, findRunPairs } from "./run_pairs.ts";

function record(fields: Partial<RunRecord>): RunRecord {
  return {
    workerId: "w1",
    taskName: "t",
    run: 1,
    fence: 1,
    startedAtMs: 0,
    stopCalledAtMs: null,
    endedAtMs: 1_000,
    end: "done",
    notedAtMs: null,
    isWorkerUp: true,
    ...fields,
  };
}

const cases: {
  name: string;
  second: Partial<RunRecord>;
  first?: Partial<RunRecord>;
  overlapsMs: number[];
}[] = [
  {
    name: "a run that starts before the other has ended is a pair",
    second: { workerId: "w2", startedAtMs: 900, endedAtMs: 1_400 },
    overlapsMs: [100],
  },
  {
    name: "a run that starts as the other has ended is none",
    second: { workerId: "w2", startedAtMs: 1_000, endedAtMs: 1_400 },
    overlapsMs: [],
  },
  {
    name: "a stop that was called but has not ended the run doesn't count",
    first: { stopCalledAtMs: 500, end: "stopped" },
    second: { workerId: "w2", startedAtMs: 700, endedAtMs: 1_400 },
    overlapsMs: [300],
  },
  {
    name: "a run on a worker that went down has ended then",
    first: { endedAtMs: 300, end: "broken", isWorkerUp: false },
    second: { workerId: "w2", startedAtMs: 400, endedAtMs: 1_400 },
    overlapsMs: [],
  },
  {
    name: "a run that has not ended overlaps each later one",
    first: { endedAtMs: null, end: null },
    second: { workerId: "w2", startedAtMs: 5_000, endedAtMs: 5_200 },
    overlapsMs: [200],
  },
  {
    name: "runs of two tasks are none",
    second: { taskName: "u", startedAtMs: 500, endedAtMs: 1_400 },
    overlapsMs: [],
  },
];

for (const { name, first = {}, second, overlapsMs } of cases) {
  test(`pairs of runs: ${name}`, () => {
    const pairs = findRunPairs([record(second), record(first)]);
    expect(pairs.map(({ overlapMs }) => overlapMs)).toEqual(overlapsMs);
  });
}

test("a run that starts on a full worker is an overload", () => {
  const records = [
    record({ taskName: "t1" }),
    record({ taskName: "t2", startedAtMs: 500, endedAtMs: 700 }),
    record({ taskName: "t3", startedAtMs: 700, endedAtMs: 800 }),
    record({ taskName: "t4", startedAtMs: 750, endedAtMs: 900 }),
  ];
  const overloads = findOverloads(records, { maxRuns: 2 });
  expect(overloads.map(({ taskName }) => taskName)).toEqual(["t4"]);
});
