import { test } from "node:test";
import { expect } from "earl";
import type { ClaimRecordCopy, PeerMessageOf, Verdict } from "./schemas.ts";
import { reduce } from "./reduce.ts";
import { effectsOf, fromPeer, heartbeat, testCore } from "./testing.ts";

type Claim = PeerMessageOf<"claim">;

function claim(change: Partial<Claim> = {}): Claim {
  return {
    type: "claim",
    claimId: "a",
    group: "poa-1",
    role: "owner",
    key: "benches/k",
    payloadHash: "h",
    jobId: "caxias-1.1.1",
    holder: { slot: "caxias-1", incarnation: 1 },
    oldestPossibleAgeMs: null,
    receivedAgeMs: 0,
    ...change,
  };
}

const released: PeerMessageOf<"outcome"> = {
  type: "outcome",
  group: "poa-1",
  key: "benches/k",
  jobId: "caxias-1.1.1",
  released: true,
};
const seal: PeerMessageOf<"seal"> = {
  type: "seal",
  claimId: "s",
  group: "poa-1",
  role: "owner",
  key: "benches/k",
  jobId: "caxias-1.1.1",
  holder: { slot: "caxias-1", incarnation: 1 },
};
const other: Partial<Claim> = {
  jobId: "caxias-2.1.1",
  holder: { slot: "caxias-2", incarnation: 1 },
};
const RETENTION_MS = 600_000;

/** Messages at given times to the owner poa-1, and the last one's verdict. */
interface Case {
  readonly name: string;
  readonly virgin?: boolean;
  readonly steps: readonly [
    nowMs: number,
    message: Claim | PeerMessageOf<"outcome"> | PeerMessageOf<"seal">,
  ][];
  readonly verdict: Verdict;
}

const cases: readonly Case[] = [
  { name: "a new key", steps: [[10, claim()]], verdict: "granted" },
  {
    name: "the same holder asks again",
    steps: [[10, claim()], [20, claim()]],
    verdict: "granted",
  },
  {
    name: "another holder",
    steps: [[10, claim()], [20, claim(other)]],
    verdict: "taken",
  },
  {
    name: "the same key with another payload",
    steps: [[10, claim()], [20, claim({ ...other, payloadHash: "x" })]],
    verdict: "conflict",
  },
  {
    name: "another team's same key",
    steps: [[10, claim()], [20, claim({ ...other, key: "couriers/k" })]],
    verdict: "granted",
  },
  {
    name: "the holder seals its key",
    steps: [[10, claim()], [20, seal]],
    verdict: "sealed",
  },
  {
    name: "another holder may not seal it",
    steps: [[10, claim(other)], [20, seal]],
    verdict: "taken",
  },
  {
    name: "a sealed key is never granted",
    steps: [[10, claim()], [20, seal], [30, claim(other)]],
    verdict: "sealed",
  },
  {
    name: "a refused key is granted to a later attempt",
    steps: [[10, claim()], [20, released], [40, claim(other)]],
    verdict: "granted",
  },
  {
    name: "an attempt received before the refusal is overtaken",
    steps: [
      [10, claim()],
      [20, released],
      [40, claim({ ...other, receivedAgeMs: 30 })],
    ],
    verdict: "superseded",
  },
  {
    name: "a key just younger than the retention",
    steps: [[10, claim({ oldestPossibleAgeMs: RETENTION_MS })]],
    verdict: "granted",
  },
  {
    name: "a key older than the retention",
    steps: [[10, claim({ oldestPossibleAgeMs: RETENTION_MS + 1 })]],
    verdict: "expired",
  },
  {
    name: "a claim is remembered to the end of its retention",
    steps: [[10, claim()], [RETENTION_MS, claim(other)]],
    verdict: "taken",
  },
  {
    name: "a replaced instance does not speak for keys of unknown age",
    virgin: false,
    steps: [[10, claim()]],
    verdict: "amnesic",
  },
  {
    name: "a replaced instance grants keys made after it met its partner",
    virgin: false,
    steps: [[100, claim({ oldestPossibleAgeMs: 20 })]],
    verdict: "granted",
  },
  {
    name: "a key from between birth and meeting is sealed",
    virgin: false,
    steps: [[100, claim({ oldestPossibleAgeMs: 97 })]],
    verdict: "sealed",
  },
];

for (const { name, steps, verdict, virgin = true } of cases) {
  test(`registrar: ${name}`, () => {
    const core = testCore("poa-1", { virgin });
    reduce(core, fromPeer("poa-2", heartbeat(virgin), { nowMs: 5 }));
    let replies: PeerMessageOf<"claimReply">[] = [];
    for (const [nowMs, message] of steps) {
      const from = message.type === "claim" ? message.holder.slot : "caxias-1";
      reduce(core, { type: "tick", nowMs, wallMs: nowMs });
      const effects = reduce(core, fromPeer(from, message, { nowMs }));
      replies = effectsOf(effects, "sendPeer")
        .map((effect) => effect.message)
        .filter((sent) => sent.type === "claimReply");
    }
    expect(replies.map((reply) => reply.verdict)).toEqual([verdict]);
  });
}

function record(change: Partial<ClaimRecordCopy>): ClaimRecordCopy {
  return {
    key: "benches/k",
    payloadHash: "h",
    jobId: "caxias-1.1.1",
    holder: { slot: "caxias-1", incarnation: 1 },
    state: "claimed",
    ageMs: 0,
    ...change,
  };
}

function handover(
  records: ClaimRecordCopy[],
  change: Partial<PeerMessageOf<"handover">> = {},
): PeerMessageOf<"handover"> {
  return {
    type: "handover",
    group: "poa-1",
    part: 0,
    parts: 1,
    records,
    formedAgeMs: null,
    memoryAgeMs: null,
    leaving: true,
    ...change,
  };
}

const handovers = [
  {
    name: "agreeing records stay claimed",
    before: [claim()],
    message: handover([record({})]),
    state: "claimed",
  },
  {
    name: "disagreeing holders seal the key",
    before: [claim(other)],
    message: handover([record({})]),
    state: "sealed",
  },
  {
    name: "an unknown claim is taken over",
    before: [],
    message: handover([record({})]),
    state: "claimed",
  },
] as const;

for (const { name, before, message, state } of handovers) {
  test(`handover: ${name}`, () => {
    const core = testCore("poa-1");
    reduce(core, fromPeer("poa-2", heartbeat(), { nowMs: 5 }));
    for (const sent of before) {
      reduce(core, fromPeer(sent.holder.slot, sent, { nowMs: 10 }));
    }
    reduce(core, fromPeer("poa-2", message, { nowMs: 20 }));
    const kept = core.groups.get("poa-1")?.records.get("benches/k");
    expect(kept?.state).toEqual(state);
  });
}

test("handover: a lost part proves nothing about the past", () => {
  const core = testCore("poa-1", { virgin: false });
  reduce(core, fromPeer("poa-2", heartbeat(false), { nowMs: 5 }));
  const parts = { part: 1, parts: 2, leaving: false };
  reduce(core, fromPeer("poa-2", handover([], parts), { nowMs: 20 }));
  expect(core.groups.get("poa-1")?.memorySinceMs).toEqual(0);
});

test("handover: after a clean one, the next partner forms without a gap", () => {
  const core = testCore("poa-1");
  reduce(core, fromPeer("poa-2", heartbeat(), { nowMs: 5 }));
  reduce(core, fromPeer("poa-2", handover([]), { nowMs: 20 }));
  const next = { nowMs: 30, incarnation: 2 };
  reduce(core, fromPeer("poa-2", heartbeat(false), next));
  expect(core.groups.get("poa-1")?.formedAtMs).toEqual(-Infinity);
});

test("a partner that died without handover leaves a gap", () => {
  const core = testCore("poa-1");
  reduce(core, fromPeer("poa-2", heartbeat(), { nowMs: 5 }));
  const next = { nowMs: 30, incarnation: 2 };
  reduce(core, fromPeer("poa-2", heartbeat(false), next));
  expect(core.groups.get("poa-1")?.formedAtMs).toEqual(30);
});

test("handover: a partner that says it lacks records is sent them again", () => {
  const core = testCore("poa-1");
  reduce(core, fromPeer("poa-2", heartbeat(), { nowMs: 5 }));
  reduce(core, fromPeer("caxias-1", claim(), { nowMs: 10 }));
  const lacking = { ...heartbeat(false), lacksRecords: ["poa-1"] };
  const message = lacking as ReturnType<typeof heartbeat>;
  const next = { incarnation: 2 };
  reduce(core, fromPeer("poa-2", message, { ...next, nowMs: 30 }));
  const again = reduce(
    core,
    fromPeer("poa-2", message, { ...next, nowMs: 280 }),
  );
  const sent = effectsOf(again, "sendPeer")
    .flatMap(({ message }) =>
      message.type === "handover" ? message.records : []
    );
  expect(sent.map((record) => record.key)).toEqual(["benches/k"]);
});
