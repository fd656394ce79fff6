import { test } from "node:test";
import { expect } from "earl";
import { evacuationMutants, findDetection } from "./engine_mutants.ts";

/** Number of seeds within which randomized runs must detect every mutant. */
const SEEDS = 24;

for (const name of Object.keys(evacuationMutants)) {
  test(`runs with evacuated zones detect mutant ${name}`, async () => {
    expect(await findDetection(name, { seeds: SEEDS })).not.toEqual(null);
  });
}
