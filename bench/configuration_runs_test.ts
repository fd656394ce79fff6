import { test } from "node:test";
import { expect } from "earl";
import {
  type ConfigurationRun,
  simulateConfiguration,
} from "./configuration_world.ts";

const storm = Array.from({ length: 8 }, (_, index) => ({
  atMs: 8_000 + 333 * index,
  addedQueues: index % 2,
}));

/** 17.5 Mbit/s. */
const SMALL_LINK_BYTES_PER_MS = 2_187;

const fleet: ConfigurationRun = {
  seed: 1,
  zones: 5,
  instancesPerZone: 19,
  queues: 24,
  linkBytesPerMs: SMALL_LINK_BYTES_PER_MS,
  changes: [{ atMs: 6_000, addedQueues: 1_400 }, ...storm],
  durationMs: 15_000,
};

const cases: { name: string; run: ConfigurationRun; mostCopies?: number }[] = [
  {
    name: "changes of a large document in a storm, 95 instances",
    run: fleet,
    mostCopies: 16,
  },
  {
    name: "a change that the feeds miss before a compaction",
    run: {
      ...fleet,
      zones: 3,
      instancesPerZone: 3,
      changes: [{ atMs: 7_500, addedQueues: 1 }, {
        atMs: 8_300,
        addedQueues: 1,
      }],
      faults: [{ kind: "compact", atMs: 8_000, forMs: 10_000, staleMs: 5_500 }],
      durationMs: 24_000,
    },
  },
  {
    name: "the store refuses a third of the instances",
    run: {
      ...fleet,
      zones: 3,
      instancesPerZone: 6,
      changes: [{ atMs: 8_000, addedQueues: 1_000 }, {
        atMs: 9_000,
        addedQueues: 0,
      }],
      faults: [{ kind: "refuse", atMs: 7_000, forMs: 6_000, share: 0.33 }],
      durationMs: 20_000,
    },
  },
];

for (const { name, run, mostCopies = Infinity } of cases) {
  test(`configurations are in force in time: ${name}`, async () => {
    const result = await simulateConfiguration(run);
    expect(result.violations).toEqual([]);
    expect(result.mostCopiesSent <= mostCopies).toEqual(true);
  });
}
