/**
 * Randomised runs of the engine by hand.
 * Usage: engine_prove.js [FIRST_SEED] [LAST_SEED]
 */

import { drawRun, playRun } from "./engine_runs.ts";

const first = Number(process.argv[2] ?? 1);
const last = Number(process.argv[3] ?? first + 59);
let failures = 0;
for (let seed = first; seed <= last; seed += 1) {
  const run = drawRun(seed);
  const { broken } = playRun(run);
  if (broken.length === 0) continue;
  failures += 1;
  const faults = run.faults.map(({ name, atMs, forMs }) =>
    `${name}@${Math.round(atMs)}+${Math.round(forMs)}`
  );
  process.stdout.write(
    `seed ${seed}: ${broken.length} broken; ${broken[0]}; ${
      faults.join(" ")
    }\n`,
  );
}
process.stdout.write(
  `${last - first + 1} runs, ${failures} with a broken promise\n`,
);
process.exitCode = failures > 0 ? 1 : 0;
