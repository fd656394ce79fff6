import { test } from "node:test";
import { expect } from "earl";
import type { Slot } from "./types.ts";
import { pollPeriodMs } from "./membership.ts";
import { createCore, reduce } from "./reduce.ts";
import { effectsOf, fromPeer, heartbeat, testCore } from "./testing.ts";

/** An instance among so many of its zone, each heard from once. */
function instanceOf(place: number, zoneSize: number) {
  const slots: Slot[] = Array.from({ length: zoneSize }, (_, index) => ({
    slot: `poa-${index}`,
    availabilityZone: "poa",
    region: "south",
  }));
  const self = { ...slots[place]!, incarnation: 1 };
  const core = createCore({ self, slots, nowMs: 0, wallMs: 0, seed: 1 });
  for (const { slot } of slots) {
    reduce(core, fromPeer(slot, heartbeat(), { nowMs: 1 }));
  }
  return core;
}

const readers = [
  { place: 0, zoneSize: 1, periodMs: 1_000 },
  { place: 1, zoneSize: 2, periodMs: 1_000 },
  { place: 1, zoneSize: 9, periodMs: 1_000 },
  { place: 2, zoneSize: 9, periodMs: 10_000 },
  { place: 8, zoneSize: 9, periodMs: 10_000 },
];

for (const { place, zoneSize, periodMs } of readers) {
  test(`polls of instance ${place} in a zone of ${zoneSize}`, () => {
    expect(pollPeriodMs(instanceOf(place, zoneSize), 1_000)).toEqual(periodMs);
  });
}

test("a reader that is silent is replaced", () => {
  const core = instanceOf(2, 3);
  expect(pollPeriodMs(core, 1_000)).toEqual(10_000);
  reduce(core, fromPeer("poa-1", heartbeat(), { nowMs: 2_000 }));
  expect(pollPeriodMs(core, 1_000)).toEqual(1_000);
});

const versions = [
  { name: "a newer list is asked for", theirs: 7, asks: 1 },
  { name: "an older one is not", theirs: -2, asks: 0 },
];

for (const { name, theirs, asks } of versions) {
  test(`membership: ${name}`, () => {
    const core = testCore("poa-1");
    const told = { ...heartbeat(), membershipVersion: theirs };
    const message = told as ReturnType<typeof heartbeat>;
    const effects = reduce(core, fromPeer("poa-2", message, { nowMs: 1 }));
    const asked = effectsOf(effects, "sendPeer")
      .filter((effect) => effect.message.type === "membershipRequest");
    expect(asked.length).toEqual(asks);
  });
}

test("a message of an older incarnation is dropped", () => {
  const core = testCore("poa-1");
  const newer = { nowMs: 1, incarnation: 2 };
  reduce(core, fromPeer("poa-2", heartbeat(), newer));
  reduce(core, fromPeer("poa-2", heartbeat(), { nowMs: 2, incarnation: 1 }));
  expect(core.peers.get("poa-2")?.incarnation).toEqual(2);
  expect(core.peers.get("poa-2")?.lastHeardMs).toEqual(1);
});

test("leaving is sticky within an incarnation", () => {
  const core = testCore("poa-1");
  const leaving = { ...heartbeat(), leaving: true };
  const message = leaving as ReturnType<typeof heartbeat>;
  reduce(core, fromPeer("poa-2", message, { nowMs: 1 }));
  reduce(core, fromPeer("poa-2", heartbeat(), { nowMs: 2 }));
  expect(core.peers.get("poa-2")?.leaving).toEqual(true);
});
