import { test } from "node:test";
import { expect } from "earl";
import {
  drawStepsRun,
  drawTakeoverRun,
  simulateRun,
  STEPS_FAULTS,
  TAKEOVER_ROWS,
} from "./engine_runs.ts";

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
