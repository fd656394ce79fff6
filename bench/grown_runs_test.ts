import { test } from "node:test";
import { expect } from "earl";
import { drawGrownRun, simulateRun } from "./engine_runs.ts";

/** Runs that violated a guarantee in the past, with the failure. */
const regressions = [
  {
    failure: "a leader refused jobs that it had started in its previous term",
    seed: 1,
  },
  {
    failure: "a run of a later step was not attached to its job",
    seed: 4,
  },
  {
    failure: "a leader ran jobs on whose entry had restarted",
    seed: 52,
  },
];

for (const { failure, seed } of regressions) {
  test(`drawGrownRun ${seed}: ${failure}`, async () => {
    expect((await simulateRun(drawGrownRun(seed))).violations).toEqual([]);
  });
}
