import { test } from "node:test";
import { expect } from "earl";
import { findDetection, restartMutants } from "./engine_mutants.ts";

/** Number of seeds within which randomized runs must detect every mutant. */
const SEEDS = 4;

for (const name of Object.keys(restartMutants)) {
  test(`runs of a large fleet detect mutant ${name}`, async () => {
    expect(await findDetection(name, { seeds: SEEDS })).not.toEqual(null);
  });
}
