import { test } from "node:test";
import { expect } from "earl";
import { drawConfigurationRun } from "./configuration_runs.ts";
import {
  type ConfigurationRun,
  simulateConfiguration,
} from "./configuration_world.ts";

/** 17.5 Mbit/s. */
const SMALL_LINK_BYTES_PER_MS = 2_187;
/** Number of drawn runs; more are played by `prove FIRST LAST configuration`. */
const DRAWN_SEEDS = 8;
/** Most whole configurations that an instance may send for one change. */
const MAX_COPIES = 4;

const storm = Array.from({ length: 8 }, (_, index) => ({
  atMs: 8_000 + 333 * index,
  addedQueues: index % 2,
}));

const fleet: ConfigurationRun = {
  seed: 1,
  zones: 5,
  instancesPerZone: 19,
  queues: 24,
  linkBytesPerMs: SMALL_LINK_BYTES_PER_MS,
  changes: [{ atMs: 6_000, addedQueues: 1_400 }, ...storm],
  durationMs: 15_000,
};

const nine: ConfigurationRun = { ...fleet, zones: 3, instancesPerZone: 3 };

const missedChange: ConfigurationRun = {
  ...nine,
  changes: [
    { atMs: 7_500, addedQueues: 1 },
    { atMs: 8_300, addedQueues: 1 },
  ],
  faults: [{ kind: "compact", atMs: 8_000, forMs: 10_000, staleMs: 5_500 }],
  durationMs: 24_000,
};

const deafFeeds: ConfigurationRun = {
  ...missedChange,
  faults: [{ kind: "deaf", atMs: 7_000, forMs: 20_000 }],
};

const refusedFollowers: ConfigurationRun = {
  ...fleet,
  zones: 3,
  instancesPerZone: 7,
  changes: [{ atMs: 8_000, addedQueues: 1 }],
  faults: [
    { kind: "refuse", atMs: 7_000, forMs: 20_000, largestOnly: true },
  ],
  durationMs: 22_000,
};

const cases: { name: string; run: ConfigurationRun }[] = [
  { name: "changes of a large document in a storm, 95 instances", run: fleet },
  {
    name: "changes of a large document in a storm, 36 instances",
    run: { ...fleet, zones: 4, instancesPerZone: 9 },
  },
  { name: "changes of a large document in a storm, 9 instances", run: nine },
  {
    name: "a change that the feeds miss before a compaction",
    run: missedChange,
  },
  { name: "feeds that hear of no change", run: deafFeeds },
  {
    name: "the store refuses a third of the instances",
    run: {
      ...fleet,
      zones: 3,
      instancesPerZone: 6,
      changes: [
        { atMs: 8_000, addedQueues: 1_000 },
        { atMs: 9_000, addedQueues: 0 },
      ],
      faults: [{ kind: "refuse", atMs: 7_000, forMs: 6_000, share: 0.33 }],
      durationMs: 20_000,
    },
  },
  {
    name: "the store refuses all instances that follow it",
    run: refusedFollowers,
  },
  {
    name: "the store doesn't answer the instances that follow it",
    run: {
      ...refusedFollowers,
      faults: [
        { kind: "silent", atMs: 7_000, forMs: 20_000, largestOnly: true },
      ],
    },
  },
  {
    name: "half of the instances restart during changes",
    run: {
      ...fleet,
      zones: 3,
      instancesPerZone: 6,
      changes: [{ atMs: 6_000, addedQueues: 900 }, ...storm],
      faults: [{ kind: "restart", atMs: 8_500, forMs: 700, share: 0.5 }],
      durationMs: 18_000,
    },
  },
];

for (const { name, run } of cases) {
  test(`configurations are in force in time: ${name}`, async () => {
    const result = await simulateConfiguration(run);
    expect(result.violations).toEqual([]);
    expect(result.mostCopiesSent <= MAX_COPIES * run.changes.length)
      .toEqual(true);
  });
}

for (let seed = 1; seed <= DRAWN_SEEDS; seed += 1) {
  test(`drawConfigurationRun ${seed} has configurations in force in time`, async () => {
    const run = drawConfigurationRun(seed);
    expect((await simulateConfiguration(run)).violations).toEqual([]);
  });
}

const comparedRuns = [
  { name: "feeds that hear of no change", run: deafFeeds },
  { name: "refused instances", run: refusedFollowers },
];

for (const { name, run } of comparedRuns) {
  test(`late configurations detect mutant neverCompare: ${name}`, async () => {
    const guards = { mustCompare: () => false };
    const { violations } = await simulateConfiguration({ ...run, guards });
    expect(violations).not.toEqual([]);
  });
}
