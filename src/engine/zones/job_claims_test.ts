import { test } from "node:test";
import { expect } from "earl";
import type { PeerMessageOf } from "../schemas.ts";
import {
  effectsOf,
  messagesOf,
  testHeartbeat,
  type TestInstance,
} from "../testing.ts";
import type { Effect } from "../types.ts";
import { createLeader, hear, submit } from "./testing.ts";

const OTHER_LEADER = "lcaxias";

/** The leader of `poa`, to which the leader of `caxias` sends its claims. */
function createClaimingLeader(): TestInstance {
  const leader = createLeader();
  hear(leader, ["caxias"], { announcesClaims: true });
  leader.receive(OTHER_LEADER, { type: "claimsWanted" });
  return leader;
}

/** Receives claims of the leader of `caxias`. */
function receiveClaims(
  leader: TestInstance,
  fields: Partial<PeerMessageOf<"claims">>,
): Effect[] {
  return leader.receive(OTHER_LEADER, {
    type: "claims",
    term: 9,
    isComplete: false,
    claims: {},
    released: [],
    ...fields,
  });
}

function claimsOf(effects: readonly Effect[]): string[] {
  return messagesOf(effects, "claims")
    .flatMap(({ claims }) => Object.keys(claims));
}

function releasedOf(effects: readonly Effect[]): string[] {
  return messagesOf(effects, "claims").flatMap(({ released }) => released);
}

function logsOf(effects: readonly Effect[]): string[] {
  return effectsOf(effects, "log").map(({ text }) => text);
}

test("a leader requests claims until they arrive, and again in a new term", () => {
  const leader = createLeader();
  const requests = (): number =>
    messagesOf(leader.tick(), "claimsWanted").length;
  expect(requests()).toEqual(0);
  hear(leader, ["caxias"], { announcesClaims: true });
  expect([requests(), requests()]).toEqual([1, 0]);
  leader.after(300, { type: "workersUnreadable" });
  expect(requests()).toEqual(1);
  receiveClaims(leader, { isComplete: true });
  leader.after(300, { type: "workersUnreadable" });
  hear(leader, ["caxias"], { announcesClaims: true });
  expect(requests()).toEqual(0);
  hear(leader, ["caxias"], { announcesClaims: true, term: 10 });
  expect(requests()).toEqual(1);
});

test("a leader tells of each new job, and of all of them on request", () => {
  const leader = createClaimingLeader();
  expect(claimsOf(submit(leader, "0a"))).toEqual(["0a"]);
  const again = leader.receive(OTHER_LEADER, { type: "claimsWanted" });
  expect(claimsOf(again)).toEqual(["0a"]);
  const resent = leader.after(0, {
    type: "peerUp",
    instanceId: OTHER_LEADER,
  });
  expect(claimsOf(resent)).toEqual(["0a"]);
});

test("a leader that leads no more gets no claims", () => {
  const leader = createClaimingLeader();
  leader.receive(
    OTHER_LEADER,
    testHeartbeat({ sentAtMs: leader.state.nowMs, workersAgeMs: 1e6 }),
  );
  leader.tick(1_000);
  expect(claimsOf(submit(leader, "0a"))).toEqual([]);
});

// Its runs go on until their workers have stopped them.
test("a withdrawn job is released once its runs are gone", () => {
  const leader = createClaimingLeader();
  const starts = effectsOf(submit(leader, "0a"), "startTask");
  for (const start of starts) leader.acknowledgeStart(start);
  const withdrawn = leader.receive("p", { type: "withdraw", jobId: "0a" });
  expect(logsOf(withdrawn).includes("job withdrawn by its entry")).toEqual(
    true,
  );
  expect(releasedOf(leader.tick())).toEqual([]);
  const released: string[] = [];
  for (const { workerId } of starts) {
    const finished = starts.filter((start) => start.workerId === workerId)
      .map(({ taskName }): [string, "stopped"] => [taskName, "stopped"]);
    leader.completePoll(workerId, { finished });
    released.push(...releasedOf(leader.tick()));
  }
  expect(released).toEqual(["0a"]);
});

const conflicts: {
  name: string;
  triedZones: string[];
  isReported: boolean;
}[] = [
  { name: "it got no notice of a hand-over", triedZones: [], isReported: true },
  {
    name: "that zone has handed it over",
    triedZones: ["caxias"],
    isReported: false,
  },
];

for (const { name, triedZones, isReported } of conflicts) {
  test(`a job that another zone claims is ${isReported ? "" : "not "}reported: ${name}`, () => {
    const leader = createClaimingLeader();
    submit(leader, "0a", { triedZones });
    const claims = { "0a": { forMs: 7_000, heldMs: 1 } };
    const texts = logsOf(receiveClaims(leader, { claims }));
    expect(texts.includes("job is in work in two zones")).toEqual(isReported);
    expect(leader.state.counters.jobsInTwoZones).toEqual(isReported ? 1 : 0);
  });
}

const removals: {
  name: string;
  message?: Partial<PeerMessageOf<"claims">>;
  afterMs?: number;
  left: number;
}[] = [
  { name: "is kept beside others", left: 1 },
  { name: "is released", message: { released: ["0a"] }, left: 0 },
  { name: "is not among all claims", message: { isComplete: true }, left: 0 },
  { name: "expires", afterMs: 7_100, left: 0 },
];

for (const { name, message = {}, afterMs = 0, left } of removals) {
  test(`a claim of another leader ${name}`, () => {
    const leader = createClaimingLeader();
    receiveClaims(leader, { claims: { "0a": { forMs: 7_000, heldMs: 1 } } });
    receiveClaims(leader, message);
    leader.tick(afterMs);
    leader.tick(1_000);
    expect(leader.state.scheduler?.claims.byJob.size).toEqual(left);
  });
}

test("claims are bounded; the oldest ones are dropped", () => {
  const leader = createClaimingLeader();
  const claims = Object.fromEntries(
    Array.from({ length: 65_537 }, (_, index) => [
      `j${index}`,
      { forMs: 7_000, heldMs: 1 },
    ]),
  );
  receiveClaims(leader, { claims });
  const { byJob } = leader.state.scheduler!.claims;
  expect([byJob.size, byJob.has("j0")]).toEqual([65_536, false]);
});
