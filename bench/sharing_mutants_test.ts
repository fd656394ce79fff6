import { test } from "node:test";
import { expect } from "earl";
import { findDetection, sharingMutants } from "./engine_mutants.ts";

/** Number of seeds within which randomized runs must detect every mutant. */
const SEEDS = 8;

for (const name of Object.keys(sharingMutants)) {
  test(`runs with hand-overs between zones detect mutant ${name}`, async () => {
    expect(await findDetection(name, { seeds: SEEDS })).not.toEqual(null);
  });
}
