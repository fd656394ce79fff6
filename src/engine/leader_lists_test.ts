import { test } from "node:test";
import { expect } from "earl";
import { listToRegister } from "./leader_lists.ts";
import { createTestLeader, testWorker } from "./testing.ts";
import type { RegisteredList } from "./types.ts";

type Registered = "nothing" | "the same list" | "another list";

/** What a leader registers, by what is registered and what has changed lately. */
const cases: {
  readonly registered: Registered;
  /** Time since the leader's list has changed; it has not if undefined. */
  readonly changedMsAgo?: number;
  readonly hasLost?: boolean;
  readonly passedMs: number;
  readonly expected: "nothing" | "the list" | "an unknown list";
}[] = [
  { registered: "nothing", passedMs: 500, expected: "nothing" },
  { registered: "nothing", passedMs: 3_000, expected: "the list" },
  { registered: "another list", passedMs: 500, expected: "an unknown list" },
  { registered: "another list", passedMs: 3_000, expected: "the list" },
  { registered: "the same list", passedMs: 500, expected: "nothing" },
  {
    registered: "another list",
    changedMsAgo: 1_000,
    passedMs: 3_000,
    expected: "an unknown list",
  },
  {
    registered: "the same list",
    hasLost: true,
    passedMs: 3_000,
    expected: "an unknown list",
  },
];

for (const { registered, changedMsAgo, hasLost, passedMs, expected } of cases) {
  const change = changedMsAgo === undefined
    ? ""
    : `, changed ${changedMsAgo} ms ago`;
  const loss = hasLost ? ", after a worker left the list" : "";
  test(`a leader for ${passedMs} ms that finds ${registered} registered${change}${loss}, registers ${expected}`, () => {
    const leader = createTestLeader();
    const { state } = leader;
    leader.tick(passedMs - (changedMsAgo ?? 0));
    if (changedMsAgo !== undefined) {
      const workers = ["w1", "w2", "w3"].map(testWorker);
      leader.after(0, { type: "workersRead", workers });
      leader.tick(changedMsAgo);
    }
    if (hasLost) {
      const workers = [testWorker("w1")];
      leader.after(0, { type: "workersRead", workers });
    }
    const digests: Record<Registered, string | null> = {
      "nothing": null,
      "the same list": state.listDigest,
      "another list": "other",
    };
    const before = { cell: "all", version: 3, term: 1 };
    const lists: RegisteredList[] = [
      { ...before, digest: digests[registered] },
    ];
    leader.after(0, { type: "registeredListsRead", lists });
    const term = state.leaderTerm;
    const results = {
      "nothing": null,
      "the list": { ...before, term, digest: state.listDigest },
      "an unknown list": { ...before, term, digest: null },
    };
    expect(listToRegister(state)).toEqual(results[expected]);
  });
}
