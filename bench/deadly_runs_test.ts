import { test } from "node:test";
import { expect } from "earl";
import { drawDeadlyRun, simulateRun } from "./engine_runs.ts";

/** Runs with deadly tasks that violated a guarantee in the past. */
const regressions: { failure: string; seeds: number[] }[] = [
  {
    failure: "a new leader waited for evidence that could not come",
    seeds: [10, 18],
  },
];

for (const { failure, seeds } of regressions) {
  for (const seed of seeds) {
    test(`drawDeadlyRun ${seed}: ${failure}`, async () => {
      expect((await simulateRun(drawDeadlyRun(seed))).violations).toEqual([]);
    });
  }
}

for (const seed of [1, 2, 3, 4]) {
  test(`deadly tasks and shrinking workers, seed ${seed}`, async () => {
    const result = await simulateRun(drawDeadlyRun(seed));
    expect(result.violations).toEqual([]);
    expect(result.done > result.jobs / 2).toEqual(true);
  });
}
