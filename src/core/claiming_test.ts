import { test } from "node:test";
import { expect } from "earl";
import type { PeerMessage, PeerMessageOf } from "./schemas.ts";
import type { CoreState, Effect } from "./types.ts";
import { reduce } from "./reduce.ts";
import { effectsOf, fromPeer, heartbeat, submit, testCore } from "./testing.ts";

/** poa-1 asks a group of the zone caxias. */
function claiming(): { core: CoreState; claims: PeerMessageOf<"claim">[] } {
  const core = testCore("poa-1");
  for (const slot of ["caxias-1", "caxias-2"]) {
    reduce(core, fromPeer(slot, heartbeat(), { nowMs: 1 }));
  }
  const event = submit({ nowMs: 2, key: "caxias:k", attempt: 1 });
  return { core, claims: sentOf(reduce(core, event), "claim") };
}

function sentOf<T extends PeerMessage["type"]>(
  effects: readonly Effect[],
  type: T,
): PeerMessageOf<T>[] {
  return effectsOf(effects, "sendPeer")
    .map(({ message }) => message)
    .filter((message): message is PeerMessageOf<T> => message.type === type);
}

function granted(
  claim: PeerMessageOf<"claim"> | undefined,
  partnerIncarnation: number,
): { slot: string; reply: PeerMessage } {
  if (claim === undefined) throw new Error("nothing was claimed");
  const other = claim.group === "caxias-1" ? "caxias-2" : "caxias-1";
  const slot = claim.role === "owner" ? claim.group : other;
  const partner = claim.role === "owner" ? other : claim.group;
  const reply: PeerMessage = {
    type: "claimReply",
    claimId: claim.claimId,
    group: claim.group,
    role: claim.role,
    verdict: "granted",
    registrar: { slot, incarnation: 1 },
    partner: { slot: partner, incarnation: partnerIncarnation },
  };
  return { slot, reply };
}

/** What two grants lead to, by the partner that each of them knows. */
const pairs = [
  { name: "both know each other", known: [1, 1], seals: 0, running: true },
  {
    name: "one knows an older partner",
    known: [1, 0],
    seals: 2,
    running: false,
  },
];

for (const { name, known, seals, running } of pairs) {
  test(`claim: ${name}`, () => {
    const { core, claims } = claiming();
    const effects = claims.flatMap((claim, index) => {
      const { slot, reply } = granted(claim, known[index] ?? 1);
      return reduce(core, fromPeer(slot, reply, { nowMs: 3 }));
    });
    expect(sentOf(effects, "seal").length).toEqual(seals);
    const states = [...core.jobs.values()].map((job) => job.state);
    expect(states).toEqual([running ? "running" : "claiming"]);
  });
}

test("claim: a registrar known to be gone is not waited for", () => {
  const { core, claims } = claiming();
  const { slot, reply } = granted(claims[0], 1);
  const gone = slot === "caxias-1" ? "caxias-2" : "caxias-1";
  reduce(core, { type: "peerDown", nowMs: 3, slot: gone });
  const effects = reduce(core, fromPeer(slot, reply, { nowMs: 4 }));
  expect(sentOf(effects, "seal").length).toEqual(2);
});

test("claim: a silent registrar is waited for, then the key is sealed", () => {
  const { core, claims } = claiming();
  const { slot, reply } = granted(claims[0], 1);
  const early = reduce(core, fromPeer(slot, reply, { nowMs: 4 }));
  expect(sentOf(early, "seal").length).toEqual(0);
  const late = reduce(core, { type: "tick", nowMs: 153, wallMs: 0 });
  expect(sentOf(late, "seal").length).toEqual(2);
});

test("claim: two attempts that race are split by the owner's grant", () => {
  const { core, claims } = claiming();
  const owner = claims.find((claim) => claim.role === "owner");
  const witness = claims.find((claim) => claim.role === "witness");
  const won = granted(owner, 1);
  reduce(core, fromPeer(won.slot, won.reply, { nowMs: 3 }));
  const lost = granted(witness, 1);
  const taken = {
    ...lost.reply,
    verdict: "taken",
    holder: { slot: "poa-2", incarnation: 1 },
    holderJobId: "poa-2.1.1",
  } as PeerMessage;
  const effects = reduce(core, fromPeer(lost.slot, taken, { nowMs: 4 }));
  const [again] = sentOf(effects, "claim");
  expect(again?.ownerGrant?.slot).toEqual(owner?.group);
});
