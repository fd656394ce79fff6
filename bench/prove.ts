/**
 * Simulates randomized runs of the engine for a range of seeds, 60 by default,
 * and prints the runs that violated a guarantee.
 *
 * Usage: prove.js [FIRST_SEED] [LAST_SEED] [KIND]
 */

import { drawCrossedRun } from "./crossed_runs.ts";
import {
  drawCellsRun,
  drawDeadlyRun,
  drawGrownRun,
  drawMomentRun,
  drawRecordedRun,
  drawRun,
  drawStepsRun,
  drawTakeoverRun,
  type EngineRun,
  simulateRun,
} from "./engine_runs.ts";

const first = Number(process.argv[2] ?? 1);
const last = Number(process.argv[3] ?? first + 59);
const onlyKind = process.argv[4];
const kinds: Record<string, (seed: number) => EngineRun> = {
  memory: drawRun,
  recorded: drawRecordedRun,
  cells: drawCellsRun,
  deadly: drawDeadlyRun,
  takeover: drawTakeoverRun,
  steps: drawStepsRun,
  grown: drawGrownRun,
  moment: drawMomentRun,
  crossed: drawCrossedRun,
};
let runs = 0;
let failures = 0;
for (let seed = first; seed <= last; seed += 1) {
  for (const [name, draw] of Object.entries(kinds)) {
    if (onlyKind !== undefined && name !== onlyKind) continue;
    const run = draw(seed);
    const { violations } = await simulateRun(run);
    runs += 1;
    if (violations.length === 0) continue;
    failures += 1;
    const faults = run.faults.map(({ name, atMs, forMs }) =>
      `${name}@${Math.round(atMs)}+${Math.round(forMs)}`
    );
    process.stdout.write(
      `${name} seed ${seed}: ${violations.length} broken; ${violations[0]}; ${
        faults.join(" ")
      }\n`,
    );
  }
}
process.stdout.write(`${runs} runs, ${failures} with a broken promise\n`);
process.exitCode = failures > 0 ? 1 : 0;
