import { test } from "node:test";
import { expect } from "earl";
import { engineMutants, findDetection } from "./engine_mutants.ts";
import {
  drawStepsRun,
  drawTakeoverRun,
  simulateRun,
  STEPS_FAULTS,
  TAKEOVER_ROWS,
} from "./engine_runs.ts";

/** Number of seeds within which randomized runs must detect every mutant. */
const SEEDS = 24;

test("without a mutant, the same runs violate no guarantee", async () => {
  expect(await findDetection("none", { seeds: 4 })).toEqual(null);
});

// Each row of faults by itself or beside others, at least once.
const drawnRuns = [
  { draw: drawTakeoverRun, seeds: 2 * TAKEOVER_ROWS },
  { draw: drawStepsRun, seeds: STEPS_FAULTS },
];

for (const { draw, seeds } of drawnRuns) {
  for (let seed = 1; seed <= seeds; seed += 1) {
    test(`${draw.name} ${seed} violates no guarantee`, async () => {
      expect((await simulateRun(draw(seed))).violations).toEqual([]);
    });
  }
}

for (const name of Object.keys(engineMutants)) {
  test(`runs detect mutant ${name}`, async () => {
    expect(await findDetection(name, { seeds: SEEDS })).not.toEqual(null);
  });
}
