import { test } from "node:test";
import { expect } from "earl";
import { findDetection, leavingMutants } from "./engine_mutants.ts";

for (const name of Object.keys(leavingMutants)) {
  test(`runs with callers that leave unnoticed detect mutant ${name}`, async () => {
    expect(await findDetection(name, { seeds: 1 })).not.toEqual(null);
  });
}
