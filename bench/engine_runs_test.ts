import { test } from "node:test";
import { expect } from "earl";
import { drawRun, type EngineRun, playRun } from "./engine_runs.ts";
import { loadPatterns, playLoad } from "./load_model.ts";

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
    expect((await playLoad(pattern, { seed: 1 })).credit >= QUIET_CREDIT)
      .toEqual(true);
  });
}

test("a flood of the least urgent kind leaves the urgent kinds in time", async () => {
  const pattern = loadPatterns.find((one) => one.name === "stock burst");
  if (pattern === undefined) throw new Error("no pattern");
  const [quote] = (await playLoad(pattern, { seed: 1 })).kinds;
  // The brief asks that the other kinds keep their usual service.
  expect((quote?.onTime ?? 0) >= 0.95 * (quote?.jobs ?? 1)).toEqual(true);
});
