import { test } from "node:test";
import { expect } from "earl";
import {
  chooseZone,
  type HandOver,
  leftMilli,
  type MovableJob,
  type OtherZone,
} from "./hand_over.ts";

/** A job of 20 cores that would miss its objective in its own cell. */
const lateJob: MovableJob = {
  jobId: "00000000000000aa",
  neededMilli: 20_000,
  runMs: 200,
  slackMs: 180,
  waitMs: 400,
  isExcess: false,
  triedZones: [],
};
const idleZone: OtherZone = {
  zone: "b",
  idleMilli: 500_000,
  capacityMilli: 1_000_000,
  usualUsedMilli: 500_000,
  waitMs: 0,
  ageMs: 100,
};
const fullZone: OtherZone = { ...idleZone, idleMilli: 0, waitMs: 300 };

const cases: {
  name: string;
  job?: Partial<MovableJob>;
  zones?: OtherZone[];
  reason: HandOver["reason"] | null;
}[] = [
  { name: "it would miss its objective here only", reason: "objective" },
  {
    name: "it can start here at once",
    job: { waitMs: 0 },
    reason: null,
  },
  {
    name: "it would wait here, for less than half of its slack",
    job: { waitMs: 80 },
    reason: null,
  },
  {
    name: "it would wait clearly longer here, within its slack",
    job: { slackMs: 600, waitMs: 400 },
    reason: "wait",
  },
  {
    name: "its zone has more work than the others",
    job: { waitMs: 0, isExcess: true },
    reason: "uneven",
  },
  {
    name: "the other zone is as full",
    zones: [{ ...fullZone, waitMs: 400 }],
    reason: null,
  },
  {
    name: "no worker is usable here, and the other zone is full",
    job: { waitMs: Infinity },
    zones: [fullZone],
    reason: "noWorker",
  },
  {
    name: "no worker is usable anywhere",
    job: { waitMs: Infinity },
    zones: [{ ...fullZone, capacityMilli: 0 }],
    reason: null,
  },
  {
    name: "the report is stale",
    zones: [{ ...idleZone, ageMs: 1_501 }],
    reason: null,
  },
  {
    name: "the zone has had it",
    job: { triedZones: ["b"] },
    reason: null,
  },
  {
    name: "it was handed over once, and would miss its objective here",
    job: { triedZones: ["a"] },
    reason: "objective",
  },
  {
    name: "it was handed over once, and would only wait here",
    job: { triedZones: ["a"], slackMs: 600, waitMs: 400 },
    reason: null,
  },
  {
    name: "it was handed over twice",
    job: { triedZones: ["a", "c"], waitMs: Infinity },
    reason: null,
  },
];

for (const { name, job, zones = [idleZone], reason } of cases) {
  test(`a job ${reason === null ? "stays" : "is handed over"}: ${name}`, () => {
    const chosen = chooseZone({ ...lateJob, ...job }, zones);
    expect(chosen?.reason ?? null).toEqual(reason);
  });
}

// Leaders that see the same reports must not all choose the same zone.
test("zones with room are chosen in proportion to what is left", () => {
  const zones = [
    { ...idleZone, idleMilli: 300_000 },
    { ...idleZone, zone: "c", idleMilli: 100_000 },
  ];
  let count = 0;
  for (let index = 0; index < 1_000; index += 1) {
    const jobId = index.toString(16).padStart(16, "0");
    if (chooseZone({ ...lateJob, jobId }, zones)?.zone.zone === "b") count += 1;
  }
  expect(count > 700 && count < 800).toEqual(true);
});

test("hand-overs count until a report can include them", () => {
  const recent = [{ cpuMilli: 10, atMs: 900 }, { cpuMilli: 5, atMs: 1_020 }];
  expect(leftMilli(100, { recent, reportedAtMs: 900 })).toEqual(85);
  expect(leftMilli(100, { recent, reportedAtMs: 1_000 })).toEqual(95);
  expect(leftMilli(100, { recent, reportedAtMs: 1_100 })).toEqual(100);
});
