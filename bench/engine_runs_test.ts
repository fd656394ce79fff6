import { test } from "node:test";
import { expect } from "earl";
import {
  drawRun,
  type EngineRun,
  recordedKinds,
  referenceKinds,
  simulateRun,
} from "./engine_runs.ts";

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
