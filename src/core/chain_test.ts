import { test } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { chainOf, groupOf, homeZoneOf } from "./chain.ts";
import { testSlots } from "./testing.ts";
import type { ClaimGroup, Slot } from "./types.ts";

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

/** Zones of three, two and one instance. */
const mixedSlots: readonly Slot[] = ["a-1", "a-2", "a-3", "b-1", "b-2", "c-1"]
  .map((slot) => ({
    slot,
    availabilityZone: slot.slice(0, 1),
    region: "south",
  }));

function zoneOfGroup({ owner }: ClaimGroup): string {
  return owner.slice(0, 1);
}

test("a chain asks its home zone first and no pair twice", () => {
  const zones = fc.constantFrom("a", "b", "c");
  fc.assert(
    fc.property(fc.string(), zones, (key, zone) => {
      const chain = chainOf(mixedSlots, { key, homeZone: zone });
      const pairs = chain.map(({ owner, witness }) =>
        [owner, witness].sort().join()
      );
      expect(new Set(pairs).size).toEqual(pairs.length);
      const inZones = chain.map(zoneOfGroup);
      const home = inZones.filter((each) => each === zone).length;
      expect(inZones.slice(0, home).every((each) => each === zone))
        .toEqual(true);
      expect(home > 0 && chain.length > home).toEqual(true);
    }),
    { seed: 1 },
  );
});

test("a zone of three that lost one instance keeps a pair for every key", () => {
  const lost = fc.constantFrom("a-1", "a-2", "a-3");
  fc.assert(
    fc.property(fc.string(), lost, (key, slot) => {
      const whole = chainOf(mixedSlots, { key, homeZone: "a" })
        .filter((group) => zoneOfGroup(group) === "a")
        .filter(({ owner, witness }) => owner !== slot && witness !== slot);
      expect(whole.length).toEqual(1);
    }),
    { seed: 1 },
  );
});

test("the witness is another instance of the zone", () => {
  expect(groupOf(testSlots, "poa-2").witness).toEqual("poa-1");
});
