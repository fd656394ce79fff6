import { test } from "node:test";
import { expect } from "earl";
import { drawIdleRun, simulateRun } from "./engine_runs.ts";

// An order that a cut holds up arrives after its run has been replaced.
for (const seed of [2, 3, 4, 6]) {
  test(`first starts on idle workers, seed ${seed}: no guarantee is violated`, async () => {
    expect((await simulateRun(drawIdleRun(seed))).violations).toEqual([]);
  });
}
