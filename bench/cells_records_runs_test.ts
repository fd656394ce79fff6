import { test } from "node:test";
import { expect } from "earl";
import { drawCellsRun, simulateRun } from "./engine_runs.ts";

/**
 * Runs with a leader in each zone and records that violated a guarantee in the past, with
 * the failure.
 */
const regressions: { failure: string; seeds: number[] }[] = [
  {
    failure:
      "records were taken over from a zone that was alive but partitioned",
    seeds: [10, 70, 92],
  },
  {
    failure:
      "workers of another cell retained completions after the cells had changed",
    seeds: [648],
  },
  {
    failure: "two leaders of one zone owned the records one after the other",
    seeds: [734, 770],
  },
  {
    failure: "tasks started again after their completions were acknowledged",
    seeds: [26],
  },
];

for (const { failure, seeds } of regressions) {
  for (const seed of seeds) {
    test(`drawCellsRun ${seed}: ${failure}`, async () => {
      expect((await simulateRun(drawCellsRun(seed))).violations).toEqual([]);
    });
  }
}
