import { test } from "node:test";
import { expect } from "earl";
import { createFakeStoreHost } from "../host/fake_store.ts";
import { readRows, type StoreTransaction } from "../instance/hosts.ts";
import {
  acceptProposal,
  checkProposal,
  InvalidConfigurationError,
  type Proposal,
  type ProposalResult,
} from "./configuration_changes.ts";

const base = { services: {}, teams: {} };

function proposal(expectedVersion: number, changeId: string): Proposal {
  return { expectedVersion, changeId, base, overlays: {} };
}

function summarize(result: ProposalResult): string {
  return result.kind === "accepted"
    ? `accepted ${result.document.version}`
    : `conflict at ${result.version}`;
}

const proposalSequences: {
  name: string;
  proposals: Proposal[];
  expected: string[];
}[] = [
  {
    name: "consecutive changes are both accepted",
    proposals: [proposal(0, "a"), proposal(1, "b")],
    expected: ["accepted 1", "accepted 2"],
  },
  {
    name: "the second change to the same version conflicts",
    proposals: [proposal(0, "a"), proposal(0, "b")],
    expected: ["accepted 1", "conflict at 1"],
  },
  {
    name: "a resubmitted change returns its first result",
    proposals: [proposal(0, "a"), proposal(0, "a")],
    expected: ["accepted 1", "accepted 1"],
  },
];

for (const { name, proposals, expected } of proposalSequences) {
  test(`acceptProposal: ${name}`, async () => {
    const store = createFakeStoreHost();
    const results: string[] = [];
    for (const next of proposals) {
      results.push(summarize(await acceptProposal(store, next)));
    }
    expect(results).toEqual(expected);
  });
}

test("acceptProposal: a lost response is resolved by reading, not by writing", async () => {
  const store = createFakeStoreHost();
  store.loseAnswers = 1;
  const result = summarize(await acceptProposal(store, proposal(0, "a")));
  expect(result).toEqual("accepted 1");
  const rows = await readRows(store, { table: "configuration", part: "" });
  expect(rows.map(({ version }) => version)).toEqual([1, 1]);
});

// Another operator's change is accepted just before a read or the write.
for (const moment of ["read 1", "read 2", "write 1"]) {
  test(`acceptProposal: one of two changes is accepted, raced at ${moment}`, async () => {
    const store = createFakeStoreHost();
    const counts = { read: 0, write: 0 };
    const results: string[] = [];
    async function race(call: "read" | "write"): Promise<void> {
      counts[call] += 1;
      if (`${call} ${counts[call]}` !== moment) return;
      results.push(summarize(await acceptProposal(store, proposal(0, "b"))));
    }
    const raced = {
      ...store,
      async *readPages(tablePart: { table: string; part: string }) {
        await race("read");
        yield* store.readPages(tablePart);
      },
      async transact(transaction: StoreTransaction) {
        await race("write");
        return await store.transact(transaction);
      },
    };
    results.push(summarize(await acceptProposal(raced, proposal(0, "a"))));
    const accepted = results.filter((result) => result === "accepted 1");
    expect(accepted.length).toEqual(1);
  });
}

const invalidProposals: {
  name: string;
  change: Partial<Proposal>;
  field: string;
}[] = [
  {
    name: "an unknown field in the base",
    change: { base: { ...base, servcies: {} } },
    field: "base",
  },
  {
    name: "a limit out of range in an overlay",
    change: { overlays: { poa: { limits: { defaultDeadlineMs: -1 } } } },
    field: "overlays.poa.limits.defaultDeadlineMs",
  },
  {
    name: "an overlay of an unknown availability zone",
    change: { overlays: { nowhere: {} } },
    field: "overlays.nowhere",
  },
];

for (const { name, change, field } of invalidProposals) {
  test(`checkProposal rejects ${name}`, () => {
    const invalidProposal = { ...proposal(0, "a"), ...change };
    let message = "";
    try {
      checkProposal(invalidProposal, ["poa"]);
    } catch (error) {
      expect(error).toBeA(InvalidConfigurationError);
      message = (error as Error).message;
    }
    expect(message.startsWith(field)).toEqual(true);
  });
}
