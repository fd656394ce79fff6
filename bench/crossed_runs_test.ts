import { test } from "node:test";
import { expect } from "earl";
import { faultsOf } from "./crossed_runs.ts";
import {
  drawMomentRun,
  type EngineRun,
  simulateRun,
  unequalCoresOf,
} from "./engine_runs.ts";

function drawMomentBase(seed: number): EngineRun {
  return { ...drawMomentRun(seed), lateStartShare: 0, leaveShare: 0.15 };
}

/**
 * Runs with faults of several kinds at once that violated a guarantee. The
 * faults are listed, since the drawn ones change with each new fault.
 */
const regressions: {
  failure: string;
  seed: number;
  faults: string;
  options?: Pick<EngineRun, "lateStartShare" | "cpuCoresOf">;
}[] = [
  {
    failure:
      "a leader of another layout of cells started tasks of a job again that ran in its former cell",
    seed: 40_424,
    faults: "killAll@6102+880 reborn@6637+3152 leaderStallsAtRenewal@8936+2992",
    options: { lateStartShare: 0.2 },
  },
  {
    failure:
      "a restarted leader, whose list lacked a worker, started the task that ran there",
    seed: 71_000,
    faults: "keysLapse@4697+479 leaderRestarts@5061+3063",
  },
  {
    failure:
      "a large instance led again after a restart and started a task that it had started before",
    seed: 70_224,
    faults:
      "reborn@6721+1422 leaderFreezesAtRenewal@6795+1014 leaderRestarts@7156+2968 leaderRestarts@8339+2833 keysLapse@8347+2021",
    options: { cpuCoresOf: unequalCoresOf },
  },
];

for (const { failure, seed, faults, options } of regressions) {
  test(`crossed faults, seed ${seed}: ${failure}`, async () => {
    const run = {
      ...drawMomentBase(seed),
      faults: faultsOf(faults),
      ...options,
    };
    expect((await simulateRun(run)).violations).toEqual([]);
  });
}
