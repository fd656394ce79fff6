import { test } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { chainOf, groupOf, homeZoneOf } from "./chain.ts";
import { testSlots } from "./testing.ts";

const homes = [
  { key: "poa:1", zone: "poa" },
  { key: "nowhere:1", zone: null },
  { key: "poa", zone: null },
  { key: ":poa", zone: null },
];

for (const { key, zone } of homes) {
  test(`home zone of ${key}`, () => {
    expect(homeZoneOf(testSlots, key)).toEqual(zone);
  });
}

test("a chain starts at home and shares no slot between groups", () => {
  fc.assert(
    fc.property(fc.string(), fc.constantFrom("poa", "caxias"), (key, zone) => {
      const chain = chainOf(testSlots, { key, homeZone: zone });
      const members = chain.flatMap((group) => [group.owner, group.witness]);
      expect(new Set(members).size).toEqual(members.length);
      const home = testSlots.find((slot) => slot.slot === chain[0]?.owner);
      expect(home?.availabilityZone).toEqual(zone);
    }),
    { seed: 1 },
  );
});

test("the witness is another instance of the zone", () => {
  expect(groupOf(testSlots, "poa-2").witness).toEqual("poa-1");
});
