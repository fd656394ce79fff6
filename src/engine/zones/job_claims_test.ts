import { test } from "node:test";
import { expect } from "earl";
import type { JobOutcome, PeerMessageOf } from "../schemas.ts";
import {
  effectsOf,
  messagesOf,
  testHeartbeat,
  type TestInstance,
  testInstanceInfo,
  testQueue,
} from "../testing.ts";
import type { Effect } from "../types.ts";
import { isHeldElsewhere } from "./job_claims.ts";
import {
  createEntry,
  createInstance,
  createLeader,
  endJob,
  hear,
  OTHER_ZONES,
  submit,
  submitCaller,
  targetsOf,
  zoneWorkers,
} from "./testing.ts";

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

// After a change of the cells, three leaders may have a job of three entries.
test("a job that two other zones have waits for both", () => {
  const leader = createClaimingLeader();
  const message: PeerMessageOf<"claims"> = {
    type: "claims",
    term: 9,
    isComplete: false,
    claims: { "0a": { forMs: 7_000, heldMs: 1 } },
    released: [],
  };
  for (const zone of OTHER_ZONES) leader.receive(`l${zone}`, message);
  submit(leader, "0a", { triedZones: undefined });
  const release = { ...message, claims: {}, released: ["0a"] };
  const startCounts = OTHER_ZONES.map((zone) => {
    leader.receive(`l${zone}`, release);
    hear(leader, OTHER_ZONES);
    return effectsOf(leader.tick(), "startTask").length;
  });
  expect(startCounts).toEqual([0, 4]);
});

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

const CLAIM = { forMs: 12_000, heldMs: 500 };

function startsOf(effects: readonly Effect[]): number {
  return effectsOf(effects, "startTask").length;
}

function outcomesOf(effects: readonly Effect[]): JobOutcome[] {
  return messagesOf(effects, "jobEnded").map(({ outcome }) => outcome);
}

const SENT_ON: JobOutcome = {
  kind: "refused",
  reason: "overloaded",
  retryAfterMs: 250,
  elsewhere: "caxias",
  isHeldElsewhere: true,
};
const SENT_ON_STARTED: JobOutcome = {
  kind: "unknown",
  reason: "leaderLost",
  elsewhere: "caxias",
};

const submissions: {
  name: string;
  fields?: Partial<PeerMessageOf<"submit">>;
  claimTerm?: number;
  outcomes: JobOutcome[];
}[] = [
  { name: "goes to the zone that has it", outcomes: [SENT_ON] },
  {
    name: "that may have started goes there as such",
    fields: { resubmitted: true },
    outcomes: [SENT_ON_STARTED],
  },
  {
    name: "of an earlier term of its leader goes there as started",
    claimTerm: 8,
    outcomes: [SENT_ON_STARTED],
  },
  {
    name: "waits if its entry can't follow",
    fields: { triedZones: undefined },
    outcomes: [],
  },
  {
    name: "waits if its entry has been there",
    fields: { triedZones: ["caxias"] },
    outcomes: [],
  },
];

// The retry of a caller of which the first entry had not learned that it had left
// started beside the run for that entry.
for (const { name, fields = {}, claimTerm = 9, outcomes } of submissions) {
  test(`a job that another zone has ${name}`, () => {
    const leader = createClaimingLeader();
    receiveClaims(leader, { term: claimTerm, claims: { "0a": CLAIM } });
    const effects = submit(leader, "0a", fields);
    expect(outcomesOf(effects)).toEqual(outcomes);
    expect(startsOf(effects)).toEqual(0);
    hear(leader, OTHER_ZONES);
    expect(startsOf(leader.tick())).toEqual(0);
    receiveClaims(leader, { released: ["0a"] });
    hear(leader, OTHER_ZONES);
    expect(startsOf(leader.tick())).toEqual(outcomes.length === 0 ? 4 : 0);
  });
}

// The zones have just become one cell, whose leader had another zone before.
test("a job that a zone had before the cells changed waits for its runs", () => {
  const leader = createClaimingLeader();
  receiveClaims(leader, { claims: { "0a": CLAIM } });
  const workers = OTHER_ZONES.concat("poa")
    .flatMap((zone) => zoneWorkers(zone, zone === "poa" ? 2 : 20));
  leader.after(0, { type: "workersRead", workers });
  expect(leader.state.hasZoneCells).toEqual(false);
  const queue = { ...testQueue, objectiveMs: 1e6 };
  expect(startsOf(submit(leader, "0a", { queue }))).toEqual(0);
  expect(leader.state.scheduler?.jobs.get("0a")?.mayHaveStarted).toEqual(true);
});

test("a job that another zone has released starts", () => {
  const leader = createClaimingLeader();
  receiveClaims(leader, { claims: { "0a": CLAIM } });
  receiveClaims(leader, { released: ["0a"] });
  expect(startsOf(submit(leader, "0a"))).toEqual(4);
});

/** Ways in which the leader of `caxias` is lost, and how long its runs go on. */
const losses: { name: string; hearsFollower: boolean; waitMs: number }[] = [
  // 500 ms until its last entry is silent, 750 ms until it drops the job, and the
  // longest lease.
  { name: "alone", hearsFollower: true, waitMs: 2_330 },
  {
    name: "with its zone, until the deadline",
    hearsFollower: false,
    waitMs: 6_000,
  },
];

for (const { name, hearsFollower, waitMs } of losses) {
  test(`a job waits for the runs of a leader that is lost ${name}`, () => {
    const leader = createClaimingLeader();
    const info = testInstanceInfo("f");
    const follower = { ...info, availabilityZone: "caxias" };
    leader.after(0, { type: "instancesRead", instances: [follower] });
    leader.after(0, { type: "peerUp", instanceId: "f" });
    receiveClaims(leader, { claims: { "0a": CLAIM } });
    leader.receive("f", testHeartbeat({ workersAgeMs: 1e6 }));
    const lastHeardMs = leader.state.nowMs;
    leader.after(0, {
      type: "peerDown",
      instanceId: OTHER_LEADER,
      refused: false,
    });
    const queue = { ...testQueue, objectiveMs: 1e6 };
    submit(leader, "0a", { timeLeftMs: 20_000, triedZones: undefined, queue });
    let waitedMs = 0;
    for (let starts = 0; starts === 0 && waitedMs < 9_000;) {
      hear(leader, ["pelotas"]);
      if (hearsFollower) {
        const sentAtMs = leader.state.nowMs;
        leader.receive("f", testHeartbeat({ sentAtMs, workersAgeMs: 1e6 }));
      }
      const effects = leader.tick();
      for (const { workerId } of effectsOf(effects, "hold")) {
        leader.completePoll(workerId);
      }
      // The entry of the job is heard from.
      leader.receive("p", testHeartbeat({ workersAgeMs: 1e6 }));
      starts = startsOf(effects);
      waitedMs = leader.state.nowMs - lastHeardMs;
    }
    expect(waitedMs).toBeGreaterThanOrEqual(waitMs);
    expect(waitedMs).toBeLessThan(waitMs + 50);
  });
}

const meetings: {
  name: string;
  fields?: Partial<PeerMessageOf<"submit">>;
  isStarted: boolean;
  heldThereMs: number;
  outcomes: JobOutcome[];
  /** Jobs that are claimed once more. */
  repeats?: string[];
}[] = [
  {
    name: "keeps it if it is older, and says so once",
    isStarted: true,
    heldThereMs: 0,
    outcomes: [],
    repeats: ["0a"],
  },
  {
    name: "ends it if it is younger, as one that has started",
    isStarted: true,
    heldThereMs: 900,
    outcomes: [SENT_ON_STARTED],
  },
  {
    name: "ends it if it is younger, as one that has not started",
    isStarted: false,
    heldThereMs: 900,
    outcomes: [SENT_ON],
  },
  {
    name: "ends it if they have crossed, by the order of the zones",
    isStarted: true,
    heldThereMs: 470,
    outcomes: [SENT_ON_STARTED],
  },
  {
    name: "keeps it if that zone has handed it over",
    fields: { triedZones: ["caxias"] },
    isStarted: true,
    heldThereMs: 900,
    outcomes: [],
  },
];

for (const meeting of meetings) {
  const { name, fields = {}, isStarted, heldThereMs, outcomes, repeats = [] } =
    meeting;
  test(`a leader with a job that another one claims ${name}`, () => {
    const leader = createClaimingLeader();
    const queue = { ...testQueue, objectiveMs: 1e6 };
    if (!isStarted) submit(leader, "first", { triedZones: undefined, queue });
    submit(leader, "0a", { ageMs: 500, queue, ...fields });
    const claims = { "0a": { forMs: 7_000, heldMs: heldThereMs } };
    const effects = receiveClaims(leader, { claims });
    expect(outcomesOf(effects)).toEqual(outcomes);
    // Otherwise each of the two would wait for the claim of the other to end.
    expect(claimsOf(effects)).toEqual(repeats);
    expect(claimsOf(receiveClaims(leader, { claims }))).toEqual([]);
  });
}

const entries: {
  name: string;
  outcome: JobOutcome;
  heard: string[];
  targets: string[];
  resubmitted?: boolean;
  replies: JobOutcome["kind"][];
}[] = [
  {
    name: "submits it there",
    outcome: SENT_ON,
    heard: OTHER_ZONES,
    targets: ["lcaxias"],
    resubmitted: false,
    replies: [],
  },
  {
    name: "submits it there as started",
    outcome: SENT_ON_STARTED,
    heard: OTHER_ZONES,
    targets: ["lcaxias"],
    resubmitted: true,
    replies: [],
  },
  // Its job may run there, so it is not refused.
  {
    name: "answers at once if it does not hear that zone",
    outcome: SENT_ON,
    heard: [],
    targets: [],
    replies: ["unknown"],
  },
  {
    name: "answers at once if it does not hear that zone and it has started",
    outcome: SENT_ON_STARTED,
    heard: [],
    targets: [],
    replies: ["unknown"],
  },
];

for (const { name, outcome, heard, targets, resubmitted, replies } of entries) {
  test(`an entry whose job another zone has ${name}`, () => {
    const entry = createEntry(heard);
    submitCaller(entry);
    const effects = endJob(entry, "lpoa", outcome);
    expect(targetsOf(effects)).toEqual(targets);
    const [submitted] = messagesOf(effects, "submit");
    expect(submitted?.resubmitted).toEqual(resubmitted);
    const kinds = effectsOf(effects, "answerCaller")
      .map(({ reply }) => reply.kind);
    expect<string[]>(kinds).toEqual(replies);
  });
}

for (const isAnswered of [false, true]) {
  const suffix = isAnswered ? "only until it has" : "for 300 ms without";
  test(`a new leader starts no job ${suffix} the others' claims`, () => {
    const leader = createInstance();
    const hearOthers = () =>
      hear(leader, OTHER_ZONES, { announcesClaims: true });
    const isAwaited = (): boolean => {
      const { scheduler } = leader.state;
      const job = scheduler?.jobs.get("0a");
      return scheduler !== null && job !== undefined &&
        isHeldElsewhere(leader.state, scheduler, job);
    };
    for (let ticks = 0; leader.state.scheduler === null; ticks += 1) {
      expect(ticks).toBeLessThan(50);
      hearOthers();
      leader.tick(100);
    }
    submit(leader, "0a");
    expect(isAwaited()).toEqual(true);
    leader.tick();
    if (isAnswered) {
      for (const zone of OTHER_ZONES) {
        leader.receive(`l${zone}`, {
          type: "claims",
          term: 9,
          isComplete: true,
          claims: {},
          released: [],
        });
      }
    }
    expect(isAwaited()).toEqual(!isAnswered);
    hearOthers();
    leader.tick(300);
    expect(isAwaited()).toEqual(false);
  });
}
