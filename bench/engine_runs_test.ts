import { test } from "node:test";
import { expect } from "earl";
import {
  drawCellsRun,
  drawRecordedRun,
  drawRun,
  type EngineRun,
  recordedKinds,
  referenceKinds,
  simulateRun,
} from "./engine_runs.ts";
import { loadPatterns, simulateLoad } from "./load_model.ts";

/** Runs that violated a guarantee in the past, with the failure. */
const regressions: { failure: string; seeds: number[] }[] = [
  {
    failure:
      "a job submitted twice to one leader was started after its refusal",
    seeds: [37, 199, 205, 233, 236],
  },
  {
    failure:
      "a lease renewed from another partition side was considered expired",
    seeds: [17, 109],
  },
  {
    failure:
      "a job dropped while its entry was unreachable was refused on resubmission",
    seeds: [6, 8, 61, 96, 111, 134, 140, 167],
  },
  {
    failure: "a leader acted on submissions that a process pause had delayed",
    seeds: [355, 420],
  },
  {
    failure: "a hung worker continued runs after their lease had expired",
    seeds: [333],
  },
];

for (const { failure, seeds } of regressions) {
  for (const seed of seeds) {
    test(`seed ${seed}: ${failure}`, async () => {
      expect((await simulateRun(drawRun(seed))).violations).toEqual([]);
    });
  }
}

/**
 * Runs with records, or with a leader in each zone, that violated a guarantee
 * in the past, with the failure.
 */
const drawnRegressions: {
  failure: string;
  draw: (seed: number) => EngineRun;
  seeds: number[];
}[] = [
  {
    failure: "a job was refused by one leader while another still had it",
    draw: drawRecordedRun,
    seeds: [26],
  },
  {
    failure:
      "jobs started before completions older than the records were processed",
    draw: drawRecordedRun,
    seeds: [68],
  },
  {
    failure: "completions of relinquished records did not reach the next owner",
    draw: drawRecordedRun,
    seeds: [617],
  },
  {
    failure: "a leader continued its jobs after the cells had changed",
    draw: drawCellsRun,
    seeds: [5, 13, 14, 642],
  },
  {
    failure: "a job was resubmitted from another cell where its runs continued",
    draw: drawCellsRun,
    seeds: [22, 25],
  },
  {
    failure:
      "records were taken over from a zone that was alive but partitioned",
    draw: drawCellsRun,
    seeds: [10, 70, 92],
  },
  {
    failure:
      "workers of another cell retained completions after the cells had changed",
    draw: drawCellsRun,
    seeds: [648],
  },
  {
    failure: "two leaders of one zone owned the records one after the other",
    draw: drawCellsRun,
    seeds: [734, 770],
  },
];

for (const { failure, draw, seeds } of drawnRegressions) {
  for (const seed of seeds) {
    test(`${draw.name} ${seed}: ${failure}`, async () => {
      expect((await simulateRun(draw(seed))).violations).toEqual([]);
    });
  }
}

/** Sequences of faults at fixed times. */
const faultSequences: { name: string; run: Omit<EngineRun, "seed"> }[] = [
  {
    name: "a network partition isolates a zone during a rolling restart",
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
    name: "the leader changes while the store is unavailable",
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
    name: "all instances are killed, starts arrive late, and a worker restarts",
    run: {
      load: 1,
      lateStartShare: 0.05,
      faults: [
        { atMs: 5_000, name: "killAll", forMs: 0 },
        { atMs: 8_000, name: "workerRestart", forMs: 0 },
        { atMs: 9_000, name: "freeze", forMs: 1_500 },
      ],
    },
  },
];

/** Kinds of jobs, and whether their callers wait for the end of each job. */
const damagedKinds = [
  { name: "in memory", kinds: referenceKinds, waitsForEnd: true },
  { name: "recorded", kinds: recordedKinds, waitsForEnd: false },
];

// An instance that ends by an error counts as a violated guarantee.
for (const { name, kinds, waitsForEnd } of damagedKinds) {
  test(`jobs damaged one after another end no instance: ${name}`, async () => {
    const faults = Array.from({ length: 120 }, (_, number) => ({
      atMs: 4_000 + 100 * number,
      name: "damageJob" as const,
      forMs: 0,
    }));
    const result = await simulateRun({ seed: 1, load: 1, faults, kinds });
    expect(result.violations).toEqual([]);
    expect(result.unknown <= faults.length).toEqual(true);
    if (waitsForEnd) expect(result.unanswered).toEqual(0);
  });
}

for (const { name, run } of faultSequences) {
  for (const seed of [1, 2, 3]) {
    test(`fault sequence, seed ${seed}: ${name}`, async () => {
      const result = await simulateRun({ ...run, seed });
      expect(result.violations).toEqual([]);
      // Most jobs complete: the instances serve again after the faults.
      expect(result.done > result.jobs / 2).toEqual(true);
    });
  }
}

/**
 * Lowest acceptable share of the worth earned, which is the stated target for a
 * day without overload.
 */
const MIN_CREDIT = 0.99;

for (const name of ["steady", "high"]) {
  test(`load ${name}: nearly everything is in time`, async () => {
    const pattern = loadPatterns.find((candidate) => candidate.name === name);
    if (pattern === undefined) throw new Error(name);
    expect((await simulateLoad(pattern, { seed: 1 })).credit >= MIN_CREDIT)
      .toEqual(true);
  });
}

// Some tasks take nine times as long as the others of their jobs. None of them
// hangs, so none may be stopped and run again.
test("load long tail: runs that progress are left to run", async () => {
  const pattern = loadPatterns.find(({ name }) => name === "long tail");
  if (pattern === undefined) throw new Error("no load pattern long tail");
  const result = await simulateLoad(pattern, { seed: 1 });
  expect(result.discardedCoreS).toEqual(0);
  expect(result.credit >= MIN_CREDIT).toEqual(true);
});

test("a burst of the lowest-priority kind leaves the highest-priority kind in time", async () => {
  const pattern = loadPatterns.find((candidate) =>
    candidate.name === "stock burst"
  );
  if (pattern === undefined) throw new Error("no load pattern stock burst");
  const [quote] = (await simulateLoad(pattern, { seed: 1 })).kinds;
  // A burst of one kind must not degrade the usual service of other kinds.
  expect((quote?.onTime ?? 0) >= 0.95 * (quote?.jobs ?? 1)).toEqual(true);
});
