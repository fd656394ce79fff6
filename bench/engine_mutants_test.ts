import { test } from "node:test";
import { expect } from "earl";
import { engineMutants, findCatch } from "./engine_mutants.ts";

/** Randomised runs notice every mutant within so many seeds. */
const SEEDS = 24;

test("runs like those of the mutants break nothing without one", async () => {
  expect(await findCatch("none", { seeds: 4 })).toEqual(null);
});

for (const name of Object.keys(engineMutants)) {
  test(`mutant ${name} is noticed`, async () => {
    expect(await findCatch(name, { seeds: SEEDS })).not.toEqual(null);
  });
}
