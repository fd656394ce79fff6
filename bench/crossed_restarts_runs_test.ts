import { test } from "node:test";
import { expect } from "earl";
import { drawCrossedRun, faultsOf } from "./crossed_runs.ts";
import { simulateRun } from "./engine_runs.ts";

/**
 * Runs in which leaders start again beside lists with holes that violated a
 * guarantee. The faults are listed, since the drawn ones change with each new
 * fault.
 */
const regressions: { failure: string; seed: number; faults: string }[] = [
  {
    failure:
      "a leader restarted twice beside draining workers whose rows had lapsed, and started their tasks",
    seed: 78_473,
    faults:
      "drainingRowsLapse@8031+1664 leaderRestartsAgain@8236+1711 callsDelayed@10787+2131 starterKilled@10491+783 leaderKill@10585+2322",
  },
  {
    failure:
      "leaders of one zone restarted in turn beside a list with holes, and started tasks of each other",
    seed: 78_537,
    faults:
      "leaderRestartsAgain@7663+545 listsHaveHoles@7362+2851 starterStalls@7122+1148 starterCut@8300+805",
  },
];

for (const { failure, seed, faults } of regressions) {
  test(`crossed faults, seed ${seed}: ${failure}`, async () => {
    const run = { ...drawCrossedRun(seed), faults: faultsOf(faults) };
    expect((await simulateRun(run)).violations).toEqual([]);
  });
}
