import { test } from "node:test";
import { expect } from "earl";
import { simulateRun } from "./engine_runs.ts";
import { drawLeavingRun } from "./leaving_runs.ts";

// While zones become cells, and one of them is lost or cut off.
for (const seed of [2, 7]) {
  test(`callers that leave unnoticed, seed ${seed}: no guarantee is violated`, async () => {
    expect((await simulateRun(drawLeavingRun(seed))).violations).toEqual([]);
  });
}
