import { test } from "node:test";
import { expect } from "earl";
import { simulateRun } from "./engine_runs.ts";
import { drawLeavingRun } from "./leaving_runs.ts";

// Beside faults of leaders, links and workers.
for (const seed of [4, 5, 8, 10]) {
  test(`callers that leave unnoticed, seed ${seed}: no guarantee is violated`, async () => {
    expect((await simulateRun(drawLeavingRun(seed))).violations).toEqual([]);
  });
}
