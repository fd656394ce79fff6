import { test } from "node:test";
import { expect } from "earl";
import { simulateRun } from "./engine_runs.ts";
import { drawLeavingRun, LEAVING_BASES } from "./leaving_runs.ts";

// Each kind of run at least twice, with other callers.
for (let seed = 1; seed <= 2 * LEAVING_BASES; seed += 1) {
  test(`callers that leave unnoticed, seed ${seed}: no guarantee is violated`, async () => {
    expect((await simulateRun(drawLeavingRun(seed))).violations).toEqual([]);
  });
}
