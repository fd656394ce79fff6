import { test } from "node:test";
import { expect } from "earl";
import { loadPatterns, mixPatterns, simulateLoad } from "./load_model.ts";

/**
 * Lowest acceptable share of the worth earned, which is the stated target for a
 * day without overload.
 */
const MIN_CREDIT = 0.99;

/**
 * Lowest acceptable share of the jobs of a kind that are done while kinds compete:
 * half of what the mix at 1.40 of the cores could get if all kinds fared alike.
 */
const MIN_SERVED = 0.5 / 1.4;

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

// Several kinds compete for workers that can do a part of their work. By the order
// of objectives alone, the tenth of the least urgent kind with the most work was
// served less than half as often as the kind (overlapping bursts).
for (const name of ["mix 1.40", "mix 0.75 bursts"]) {
  test(`load ${name}: no size of a kind is starved, nor the least urgent kind`, async () => {
    const pattern = mixPatterns.find((candidate) => candidate.name === name);
    if (pattern === undefined) throw new Error(name);
    const { kinds, violations } = await simulateLoad(pattern, { seed: 1 });
    expect(violations).toEqual([]);
    for (const { kind, served } of kinds) {
      const { all, ...sizes } = served;
      const starved = Object.entries(sizes).filter(([, share]) =>
        share < 0.5 * all
      );
      expect([kind, starved]).toEqual([kind, []]);
      expect(all >= MIN_SERVED).toEqual(true);
    }
  });
}
