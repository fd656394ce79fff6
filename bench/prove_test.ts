import { test } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { mutants } from "./mutants.ts";
import { runScenario, scenarioArbitrary } from "./scenario.ts";

const SEEDS = [1, 2, 3];
const RUNS = 40;
const MUTANT_RUNS = 200;

for (const seed of SEEDS) {
  test(`randomised runs hold at seed ${seed}`, () => {
    const property = fc.property(scenarioArbitrary, (scenario) => {
      runScenario(scenario);
    });
    fc.assert(property, { seed, numRuns: RUNS });
  });
}

for (const [name, { promise, guards }] of Object.entries(mutants)) {
  test(`mutant ${name} is caught: ${promise}`, () => {
    const property = fc.property(scenarioArbitrary, (scenario) => {
      runScenario(scenario, guards);
    });
    const options = { seed: 1, numRuns: MUTANT_RUNS, endOnFailure: true };
    expect(fc.check(property, options).failed).toEqual(true);
  });
}
