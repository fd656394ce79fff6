import { test } from "node:test";
import { expect } from "earl";
import { findDetection, grownMutants } from "./engine_mutants.ts";

/** Number of seeds within which randomized runs must detect every mutant. */
const SEEDS = 4;

for (const name of Object.keys(grownMutants)) {
  test(`runs of a large fleet detect mutant ${name}`, async () => {
    expect(await findDetection(name, { seeds: SEEDS })).not.toEqual(null);
  });
}
