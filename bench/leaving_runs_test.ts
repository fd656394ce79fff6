import { test } from "node:test";
import { expect } from "earl";
import { simulateRun } from "./engine_runs.ts";
import { drawLeavingRun } from "./leaving_runs.ts";

// Without faults; leaving_faults_runs_test.ts and leaving_zones_runs_test.ts have
// the other seeds, since the time of each file is limited.
for (const seed of [1, 3, 6, 9]) {
  test(`callers that leave unnoticed, seed ${seed}: no guarantee is violated`, async () => {
    expect((await simulateRun(drawLeavingRun(seed))).violations).toEqual([]);
  });
}
