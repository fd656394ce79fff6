import { test } from "node:test";
import { expect } from "earl";
import { createFakeStoreHost } from "../host/fake_store.ts";
import {
  type Acceptance,
  acceptProposal,
  checkProposal,
  InvalidConfigurationError,
  type Proposal,
} from "./accept.ts";

const base = { services: {}, teams: {} };

function proposal(expectedVersion: number, changeId: string): Proposal {
  return { expectedVersion, changeId, base, overlays: {} };
}

function summary(acceptance: Acceptance): string {
  return acceptance.kind === "accepted"
    ? `accepted ${acceptance.document.version}`
    : `conflict at ${acceptance.version}`;
}

const races: { name: string; proposals: Proposal[]; ends: string[] }[] = [
  {
    name: "one operator after another",
    proposals: [proposal(0, "a"), proposal(1, "b")],
    ends: ["accepted 1", "accepted 2"],
  },
  {
    name: "two on the same version",
    proposals: [proposal(0, "a"), proposal(0, "b")],
    ends: ["accepted 1", "conflict at 1"],
  },
  {
    name: "the same change again",
    proposals: [proposal(0, "a"), proposal(0, "a")],
    ends: ["accepted 1", "accepted 1"],
  },
];

for (const { name, proposals, ends } of races) {
  test(`accept: ${name}`, async () => {
    const store = createFakeStoreHost();
    const told: string[] = [];
    for (const each of proposals) {
      told.push(summary(await acceptProposal(store, each)));
    }
    expect(told).toEqual(ends);
  });
}

test("accept: a lost answer is resolved by reading, not by writing", async () => {
  const store = createFakeStoreHost();
  store.loseAnswers = 1;
  const told = summary(await acceptProposal(store, proposal(0, "a")));
  expect(told).toEqual("accepted 1");
  const rows = await store.readRows({ table: "configuration", part: "" });
  expect(rows.map(({ version }) => version)).toEqual([1, 1]);
});

const invalid: { name: string; change: Partial<Proposal>; place: string }[] = [
  {
    name: "an unknown field",
    change: { base: { ...base, servcies: {} } },
    place: "base",
  },
  {
    name: "a limit out of range in an overlay",
    change: { overlays: { poa: { limits: { defaultDeadlineMs: -1 } } } },
    place: "overlays.poa.limits.defaultDeadlineMs",
  },
  {
    name: "an overlay of no zone",
    change: { overlays: { nowhere: {} } },
    place: "overlays.nowhere",
  },
];

for (const { name, change, place } of invalid) {
  test(`check: ${name}`, () => {
    const checked = { ...proposal(0, "a"), ...change };
    let message = "";
    try {
      checkProposal(checked, ["poa"]);
    } catch (error) {
      expect(error).toBeA(InvalidConfigurationError);
      message = (error as Error).message;
    }
    expect(message.startsWith(place)).toEqual(true);
  });
}
