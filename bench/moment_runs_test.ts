import { test } from "node:test";
import { expect } from "earl";
import { drawMomentRun, simulateRun } from "./engine_runs.ts";

for (const seed of [30_002, 30_003, 30_006, 30_007, 30_011]) {
  test(`drawMomentRun ${seed} violates no guarantee`, async () => {
    expect((await simulateRun(drawMomentRun(seed))).violations).toEqual([]);
  });
}
