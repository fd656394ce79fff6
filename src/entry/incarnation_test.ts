import { test } from "node:test";
import { expect } from "earl";
import { createFakePlatform } from "../host/fake_platform.ts";
import { registerIncarnation } from "./incarnation.ts";

/** Incarnations that register one after another, and what each is told. */
const cases = [
  {
    name: "the first of a slot",
    tries: [{ incarnation: 1 }],
    told: [{ registered: true, virgin: true }],
  },
  {
    name: "its successor",
    tries: [{ incarnation: 1 }, { incarnation: 2 }],
    told: [
      { registered: true, virgin: true },
      { registered: true, virgin: false },
    ],
  },
  {
    name: "one whose answer was lost tries again",
    tries: [{ incarnation: 1, loseAnswers: 1 }, { incarnation: 1 }],
    told: [
      { registered: false, virgin: false },
      { registered: true, virgin: false },
    ],
  },
  {
    name: "one that met an outage leaves its trace later",
    tries: [{ incarnation: 1, down: true }, { incarnation: 1 }],
    told: [
      { registered: false, virgin: false },
      { registered: true, virgin: true },
    ],
  },
];

for (const { name, tries, told } of cases) {
  test(`incarnation: ${name}`, async () => {
    const platform = createFakePlatform();
    for (const [index, each] of tries.entries()) {
      const { incarnation, loseAnswers = 0, down = false } = {
        loseAnswers: 0,
        down: false,
        ...each,
      };
      Object.assign(platform, { loseAnswers, down });
      const ref = { slot: "poa-1", incarnation };
      const result = await registerIncarnation(platform, ref);
      expect(result).toEqual(told[index] ?? result);
    }
  });
}
