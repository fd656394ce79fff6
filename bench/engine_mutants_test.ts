import { test } from "node:test";
import { expect } from "earl";
import { engineMutants, findDetection } from "./engine_mutants.ts";
import { drawTakeoverRun, simulateRun, TAKEOVER_ROWS } from "./engine_runs.ts";

/** Number of seeds within which randomized runs must detect every mutant. */
const SEEDS = 24;

test("without a mutant, the same runs violate no guarantee", async () => {
  expect(await findDetection("none", { seeds: 4 })).toEqual(null);
});

// One run of each row of faults with itself alone, and one beside other faults.
for (let seed = 1; seed <= 2 * TAKEOVER_ROWS; seed += 1) {
  test(`drawTakeoverRun ${seed} violates no guarantee`, async () => {
    const { violations } = await simulateRun(drawTakeoverRun(seed));
    expect(violations).toEqual([]);
  });
}

for (const name of Object.keys(engineMutants)) {
  test(`runs detect mutant ${name}`, async () => {
    expect(await findDetection(name, { seeds: SEEDS })).not.toEqual(null);
  });
}
