import { test } from "node:test";
import { expect } from "earl";
import { faultsOf } from "./crossed_runs.ts";
import {
  drawRecordedRun,
  drawSharingRun,
  drawZonesRun,
  simulateRun,
} from "./engine_runs.ts";

/**
 * Runs with faults of whole zones that violated a guarantee. The faults are
 * listed, since the drawn ones change with each new fault.
 */
const regressions: { failure: string; seed: number; faults: string }[] = [
  {
    failure:
      "no instance opened the records after all instances of their zone had started again",
    seed: 4,
    faults: "scaleOut@4700+0 recordsZoneRestarts@6700+0",
  },
  {
    failure:
      "no other zone took the records over when theirs lost its instances",
    seed: 4,
    faults: "scaleOut@4700+0 recordsZoneLost@6700+0",
  },
  {
    failure: "recorded tasks that require a label of another zone never ran",
    seed: 6,
    faults: "scaleOut@5050+0",
  },
];

for (const { failure, seed, faults } of regressions) {
  test(`faults of zones, seed ${seed}: ${failure}`, async () => {
    const run = { ...drawZonesRun(seed), faults: faultsOf(faults) };
    expect((await simulateRun(run)).violations).toEqual([]);
  });
}

// With fewer than three instances left, peers that are lost count as instances for
// 12 s, which is beyond the end of the run.
test("losses one after the other: no instance opened the records without a quorum", async () => {
  const faults = faultsOf("lossesInTurn@15000+0");
  const run = { ...drawRecordedRun(8), lostResponseShare: 0, faults };
  expect((await simulateRun(run)).violations).toEqual([]);
});

test("drawSharingRun 56: a second entry submitted a job that the first had spilled without the leader's knowledge", async () => {
  expect((await simulateRun(drawSharingRun(56))).violations).toEqual([]);
});
