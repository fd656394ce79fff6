import { test } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import type { JsonObject, PeerMessage } from "./schemas.ts";
import type { CoreState } from "./types.ts";
import { applyPatch, diffPatch } from "./merge_patch.ts";
import { reduce } from "./reduce.ts";
import { effectsOf, fromPeer, testCore } from "./testing.ts";

function delta(fromVersion: number, toVersion: number): PeerMessage {
  const patch = { base: { limits: { headroomPercent: toVersion } } };
  const changeId = `c${toVersion}`;
  return {
    type: "configurationDelta",
    fromVersion,
    toVersion,
    changeId,
    patch,
  };
}

function receive(core: CoreState, message: PeerMessage): string[] {
  const effects = reduce(core, fromPeer("poa-2", message, { nowMs: 9 }));
  return effectsOf(effects, "sendPeer").map((effect) => effect.message.type);
}

const cases = [
  { name: "the next version", messages: [delta(1, 2)], version: 2, asks: 0 },
  { name: "an old version", messages: [delta(0, 1)], version: 1, asks: 0 },
  {
    name: "a version with a gap before it is asked for",
    messages: [delta(4, 5)],
    version: 1,
    asks: 1,
  },
  {
    name: "two in the wrong order",
    messages: [delta(2, 3), delta(1, 2)],
    version: 2,
    asks: 1,
  },
];

for (const { name, messages, version, asks } of cases) {
  test(`configuration: ${name}`, () => {
    const core = testCore("poa-1");
    const sent = messages.flatMap((message) => receive(core, message));
    expect(core.document?.version).toEqual(version);
    expect(core.configuration?.limits.headroomPercent)
      .toEqual(version === 1 ? 8 : version);
    expect(sent.filter((type) => type === "configurationRequest").length)
      .toEqual(asks);
  });
}

test("configuration: a peer that is behind is sent patches", () => {
  const core = testCore("poa-1");
  receive(core, delta(1, 2));
  receive(core, delta(2, 3));
  const sent = receive(core, { type: "configurationRequest", haveVersion: 1 });
  expect(sent).toEqual(["configurationDelta", "configurationDelta"]);
});

test("configuration: a peer too far behind is sent all", () => {
  const core = testCore("poa-1");
  const sent = receive(core, { type: "configurationRequest", haveVersion: -1 });
  expect(sent).toEqual(["configurationFull"]);
});

test("a patch made of two objects turns one into the other", () => {
  const leaf = fc.oneof(fc.integer(), fc.string(), fc.boolean());
  const plain = { noNullPrototype: true };
  const object = fc.dictionary(
    fc.constantFrom("a", "b", "c"),
    fc.oneof(leaf, fc.dictionary(fc.constantFrom("x", "y"), leaf, plain)),
    plain,
  );
  fc.assert(
    fc.property(object, object, (from, to) => {
      const source = { ...from } as JsonObject;
      const target = { ...to } as JsonObject;
      expect(applyPatch(source, diffPatch(source, target))).toEqual(target);
    }),
    { seed: 1 },
  );
});
