import { test } from "node:test";
import { expect } from "earl";
import { engineMutants, findDetection } from "./engine_mutants.ts";

/** Number of seeds within which randomized runs must detect every mutant. */
const SEEDS = 24;

test("without a mutant, the same runs violate no guarantee", async () => {
  expect(await findDetection("none", { seeds: 4 })).toEqual(null);
});

for (const name of Object.keys(engineMutants)) {
  test(`runs detect mutant ${name}`, async () => {
    expect(await findDetection(name, { seeds: SEEDS })).not.toEqual(null);
  });
}
