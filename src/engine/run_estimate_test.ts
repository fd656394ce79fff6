import { test } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import {
  createEstimate,
  estimateTaskMs,
  highQuantileMs,
  observeRun,
} from "./run_estimate.ts";

/**
 * How declared times relate to run times, and whether the estimates for short
 * and long tasks then differ by more than a factor of two.
 */
const cases = [
  {
    name: "follow exact declared times",
    declare: (ms: number) => ms,
    spread: true,
  },
  {
    name: "follow declared times that are ten times too long",
    declare: (ms: number) => ms * 10,
    spread: true,
  },
  {
    name: "ignore declared times that are the same for all tasks",
    declare: () => 500,
    spread: false,
  },
  {
    name: "ignore declared times that are inversely proportional",
    declare: (ms: number) => 40_000 / ms,
    spread: false,
  },
];

for (const { name, declare, spread } of cases) {
  test(`estimates ${name}`, () => {
    const estimate = createEstimate(200);
    for (let round = 0; round < 400; round += 1) {
      const ranMs = round % 2 === 0 ? 100 : 400;
      observeRun(estimate, ranMs, declare(ranMs));
    }
    const short = estimateTaskMs(estimate, declare(100));
    const long = estimateTaskMs(estimate, declare(400));
    expect(long > short * 2).toEqual(spread);
    expect(long <= highQuantileMs(estimate)).toEqual(true);
  });
}

test("estimates stay positive and finite, whatever was declared", () => {
  const ms = fc.double({ min: 0.001, max: 600_000, noNaN: true });
  fc.assert(
    fc.property(fc.array(fc.tuple(ms, ms)), ms, (runs, taskDeclaredMs) => {
      const estimate = createEstimate(200);
      for (const [ranMs, declaredMs] of runs) {
        observeRun(estimate, ranMs, declaredMs);
      }
      const estimateMs = estimateTaskMs(estimate, taskDeclaredMs);
      expect(Number.isFinite(estimateMs) && estimateMs > 0).toEqual(true);
    }),
    { seed: 1 },
  );
});
