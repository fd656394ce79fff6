import { test } from "node:test";
import { expect } from "earl";
import {
  drawEvacuationRun,
  EVACUATION_ROWS,
  simulateRun,
} from "./engine_runs.ts";

// Each row of faults once: a task that starts in an evacuated zone after the
// bound, or a leader that misses the end of an evacuation, is a violation.
for (let seed = 1; seed <= EVACUATION_ROWS; seed += 1) {
  test(`evacuated zones stay free of new tasks, seed ${seed}`, async () => {
    expect((await simulateRun(drawEvacuationRun(seed))).violations)
      .toEqual([]);
  });
}
