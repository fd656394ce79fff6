import { test } from "node:test";
import { expect } from "earl";
import {
  drawCellsRun,
  drawRecordedRun,
  drawRun,
  type EngineRun,
  playRun,
} from "./engine_runs.ts";
import { loadPatterns, simulateLoad } from "./load_model.ts";

/** Runs that once broke a promise, with the cause. */
const regressions: { cause: string; seeds: number[] }[] = [
  {
    cause: "a job sent twice to one leader started after it was refused",
    seeds: [37, 199, 205, 233, 236],
  },
  {
    cause: "a lease renewed by another side counted as lapsed",
    seeds: [17, 109],
  },
  {
    cause: "a job dropped for its silent entry was refused when it came back",
    seeds: [6, 8, 61, 96, 111, 134, 140, 167],
  },
  {
    cause: "a leader that thawed acted on submissions that had waited",
    seeds: [355, 420],
  },
  { cause: "a worker that hung kept runs past their lease", seeds: [333] },
];

for (const { cause, seeds } of regressions) {
  for (const seed of seeds) {
    test(`seed ${seed}: ${cause}`, async () => {
      expect((await playRun(drawRun(seed))).broken).toEqual([]);
    });
  }
}

/** The same for runs with records, and with a leader in each zone. */
const drawnRegressions: {
  cause: string;
  draw: (seed: number) => EngineRun;
  seeds: number[];
}[] = [
  {
    cause: "a job was refused by one leader while another kept it",
    draw: drawRecordedRun,
    seeds: [26],
  },
  {
    cause: "jobs began before ends from before the records were taken in",
    draw: drawRecordedRun,
    seeds: [68],
  },
  {
    cause: "runs of dropped records kept their ends from the next holder",
    draw: drawRecordedRun,
    seeds: [617],
  },
  {
    cause: "cells changed under jobs that their leader went on with",
    draw: drawCellsRun,
    seeds: [5, 13, 14, 642],
  },
  {
    cause: "a job came back from another cell whose runs went on",
    draw: drawCellsRun,
    seeds: [22, 25],
  },
  {
    cause: "records were taken from a zone that was only cut off",
    draw: drawCellsRun,
    seeds: [10, 70, 92],
  },
  {
    cause: "cells changed, and ends lay on workers of another cell",
    draw: drawCellsRun,
    seeds: [648],
  },
  {
    cause: "two leaders of one zone held the records one after the other",
    draw: drawCellsRun,
    seeds: [734, 770],
  },
];

for (const { cause, draw, seeds } of drawnRegressions) {
  for (const seed of seeds) {
    test(`${draw.name} ${seed}: ${cause}`, async () => {
      expect((await playRun(draw(seed))).broken).toEqual([]);
    });
  }
}

/** Faults in series, one after the other. */
const series: { name: string; run: Omit<EngineRun, "seed"> }[] = [
  {
    name: "a zone is cut during a rolling restart",
    run: {
      load: 1,
      faults: [
        { atMs: 5_000, name: "drain", forMs: 0 },
        { atMs: 6_000, name: "zoneCut", forMs: 4_000 },
        { atMs: 7_000, name: "drain", forMs: 0 },
      ],
    },
  },
  {
    name: "the leader changes while the store is away",
    run: {
      load: 1,
      faults: [
        { atMs: 5_000, name: "storeAway", forMs: 6_000 },
        { atMs: 6_000, name: "kill", forMs: 0 },
        { atMs: 8_000, name: "kill", forMs: 0 },
      ],
    },
  },
  {
    name: "all instances are killed, orders are late, workers start again",
    run: {
      load: 1,
      lateShare: 0.05,
      faults: [
        { atMs: 5_000, name: "killAll", forMs: 0 },
        { atMs: 8_000, name: "workerRestart", forMs: 0 },
        { atMs: 9_000, name: "freeze", forMs: 1_500 },
      ],
    },
  },
];

for (const { name, run } of series) {
  for (const seed of [1, 2, 3]) {
    test(`series, seed ${seed}: ${name}`, async () => {
      const result = await playRun({ ...run, seed });
      expect(result.broken).toEqual([]);
      // After the faults the instances serve again.
      expect(result.done > result.jobs / 2).toEqual(true);
    });
  }
}

/** The stated target of a quiet day: 0.99 served. */
const QUIET_CREDIT = 0.99;

for (const name of ["steady", "high"]) {
  test(`load ${name}: nearly everything is in time`, async () => {
    const pattern = loadPatterns.find((one) => one.name === name);
    if (pattern === undefined) throw new Error(name);
    expect((await simulateLoad(pattern, { seed: 1 })).credit >= QUIET_CREDIT)
      .toEqual(true);
  });
}

test("a flood of the least urgent kind leaves the urgent kinds in time", async () => {
  const pattern = loadPatterns.find((one) => one.name === "stock burst");
  if (pattern === undefined) throw new Error("no pattern");
  const [quote] = (await simulateLoad(pattern, { seed: 1 })).kinds;
  // The brief asks that the other kinds keep their usual service.
  expect((quote?.onTime ?? 0) >= 0.95 * (quote?.jobs ?? 1)).toEqual(true);
});
