import { test } from "node:test";
import { expect } from "earl";
import type { Guards } from "../src/engine/types.ts";
import { drawUntrustedRun, simulateRun } from "./engine_runs.ts";

for (const seed of [1, 2, 3, 4]) {
  test(`jobs of untrusted callers, seed ${seed}: no guarantee is violated`, async () => {
    expect((await simulateRun(drawUntrustedRun(seed))).violations).toEqual([]);
  });
}

const always = (): boolean => true;
const mutants: { name: string; guards: Partial<Guards> }[] = [
  { name: "startAllAtOnce", guards: { mayStartMore: always } },
  { name: "acceptLargeRecords", guards: { fitsRow: always } },
];

for (const { name, guards } of mutants) {
  test(`jobs of untrusted callers detect mutant ${name}`, async () => {
    let violations: readonly string[] = [];
    for (let seed = 1; seed <= 4 && violations.length === 0; seed += 1) {
      const run = drawUntrustedRun(seed);
      violations = (await simulateRun(run, { guards })).violations;
    }
    expect(violations[0]?.startsWith("bounds")).toEqual(true);
  });
}
