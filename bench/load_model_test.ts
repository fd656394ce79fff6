import { test } from "node:test";
import { expect } from "earl";
import { loadPatterns, simulateLoad } from "./load_model.ts";

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
