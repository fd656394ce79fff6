import { test } from "node:test";
import { expect } from "earl";
import { drawCellsRun, simulateRun } from "./engine_runs.ts";

/**
 * Runs with a leader in each zone that violated a guarantee in the past, with
 * the failure.
 */
const regressions: { failure: string; seeds: number[] }[] = [
  {
    failure: "a leader continued its jobs after the cells had changed",
    seeds: [5, 13, 14, 642],
  },
  {
    failure: "a job was resubmitted from another cell where its runs continued",
    seeds: [22, 25],
  },
];

for (const { failure, seeds } of regressions) {
  for (const seed of seeds) {
    test(`drawCellsRun ${seed}: ${failure}`, async () => {
      expect((await simulateRun(drawCellsRun(seed))).violations).toEqual([]);
    });
  }
}
