/**
 * Simulates randomized runs of the engine for a range of seeds, 60 by default,
 * and prints the runs that violated a guarantee.
 *
 * Usage: prove.js [FIRST_SEED] [LAST_SEED] [KIND]
 */

import { drawConfigurationRun } from "./configuration_runs.ts";
import { simulateConfiguration } from "./configuration_world.ts";
import { drawCrossedRun } from "./crossed_runs.ts";
import {
  drawCellsRun,
  drawDeadlyRun,
  drawEvacuationRun,
  drawGrownRun,
  drawIdleRun,
  drawMomentRun,
  drawRecordedRun,
  drawRun,
  drawSharingRun,
  drawStepsRun,
  drawTakeoverRun,
  drawUntrustedRun,
  drawZonesRun,
  type EngineRun,
  simulateRun,
} from "./engine_runs.ts";
import { drawLeavingRun } from "./leaving_runs.ts";

const first = Number(process.argv[2] ?? 1);
const last = Number(process.argv[3] ?? first + 59);
const onlyKind = process.argv[4];

/** What is printed of a run. */
interface Played {
  readonly violations: readonly string[];
  readonly faults: readonly {
    readonly name: string;
    readonly atMs: number;
    readonly forMs: number;
  }[];
}

/** Returns a function that plays the run that is drawn for a seed. */
function play(
  draw: (seed: number) => EngineRun,
): (seed: number) => Promise<Played> {
  return async (seed) => {
    const run = draw(seed);
    const { violations } = await simulateRun(run);
    return { violations, faults: run.faults };
  };
}

async function playConfiguration(seed: number): Promise<Played> {
  const run = drawConfigurationRun(seed);
  const { violations } = await simulateConfiguration(run);
  const faults = (run.faults ?? []).map(({ kind, atMs, forMs }) => ({
    name: kind,
    atMs,
    forMs,
  }));
  return { violations, faults };
}

const kinds: Record<string, (seed: number) => Promise<Played>> = {
  memory: play(drawRun),
  recorded: play(drawRecordedRun),
  cells: play(drawCellsRun),
  deadly: play(drawDeadlyRun),
  takeover: play(drawTakeoverRun),
  steps: play(drawStepsRun),
  grown: play(drawGrownRun),
  moment: play(drawMomentRun),
  crossed: play(drawCrossedRun),
  zones: play(drawZonesRun),
  evacuation: play(drawEvacuationRun),
  sharing: play(drawSharingRun),
  leaving: play(drawLeavingRun),
  idle: play(drawIdleRun),
  untrusted: play(drawUntrustedRun),
  configuration: playConfiguration,
};
let runs = 0;
let failures = 0;
for (let seed = first; seed <= last; seed += 1) {
  for (const [name, playSeed] of Object.entries(kinds)) {
    if (onlyKind !== undefined && name !== onlyKind) continue;
    const run = await playSeed(seed);
    const { violations } = run;
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
