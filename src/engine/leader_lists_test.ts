import { test } from "node:test";
import { expect } from "earl";
import { listsSameWorkers, listToRegister } from "./leader_lists.ts";
import { createTestLeader, testWorker } from "./testing.ts";
import type { RegisteredList } from "./types.ts";

type Registered = "nothing" | "the same list" | "another list";

/** What a leader registers, by what is registered and what has changed lately. */
const cases: {
  readonly registered: Registered;
  /** Time since the leader's list has changed; it has not if undefined. */
  readonly changedMsAgo?: number;
  /** Workers of the leader's list before the change, which lists w1 to w3. */
  readonly listedBefore?: readonly string[];
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
    listedBefore: ["w1", "w2"],
    passedMs: 3_000,
    expected: "the list",
  },
  {
    registered: "another list",
    changedMsAgo: 1_000,
    listedBefore: ["w1", "w2", "w3 at another address"],
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

for (const testCase of cases) {
  const { registered, changedMsAgo, hasLost, passedMs, expected } = testCase;
  const { listedBefore = [] } = testCase;
  const change = changedMsAgo === undefined
    ? ""
    : `, changed from ${listedBefore} ${changedMsAgo} ms ago`;
  const loss = hasLost ? ", after a worker left the list" : "";
  test(`a leader for ${passedMs} ms that finds ${registered} registered${change}${loss}, registers ${expected}`, () => {
    const leader = createTestLeader();
    const { state } = leader;
    if (changedMsAgo !== undefined) {
      const before = listedBefore.map((name) => ({
        ...testWorker(name.slice(0, 2)),
        address: name,
      }));
      leader.after(0, { type: "workersRead", workers: before });
    }
    leader.tick(passedMs - (changedMsAgo ?? 0));
    if (changedMsAgo !== undefined) {
      const workers = ["w1", "w2", "w3"].map((workerId) => ({
        ...testWorker(workerId),
        address: workerId,
      }));
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

const ages = [
  { readMsAgo: 1_000, isSame: true },
  { readMsAgo: 3_000, isSame: false },
];

for (const { readMsAgo, isSame } of ages) {
  test(`a registered list that was read ${readMsAgo} ms ago ${isSame ? "is" : "is not"} believed`, () => {
    const leader = createTestLeader();
    const { state } = leader;
    state.firstLedAtMs = Infinity;
    const digest = state.listDigest;
    const lists: RegisteredList[] = [
      { cell: "all", version: 3, term: 1, digest },
    ];
    leader.after(0, { type: "registeredListsRead", lists });
    leader.tick(readMsAgo);
    expect(listsSameWorkers(state, { kind: "none" })).toEqual(isSame);
  });
}
