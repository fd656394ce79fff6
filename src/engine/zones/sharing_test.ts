import { test } from "node:test";
import { expect } from "earl";
import {
  type JobSpec,
  type PeerMessageOf,
  peerMessageSchema,
} from "../schemas.ts";
import {
  effectsOf,
  messagesOf,
  testHeartbeat,
  type TestInstance,
  testInstanceInfo,
  testJob,
  testQueue,
  testSubmission,
} from "../testing.ts";
import type { Effect } from "../types.ts";
import {
  createEntry,
  createLeader,
  endJob,
  hear,
  IDLE,
  JOB_ID,
  OTHER_ZONES,
  START_MS,
  submit,
  submitCaller,
  targetsOf,
  zonesOf,
  zoneWorkers,
} from "./testing.ts";

test("a leader hands a job over that would wait too long", () => {
  const leader = createLeader();
  expect(effectsOf(submit(leader, "0a"), "startTask").length).toEqual(4);
  const [zone] = zonesOf(submit(leader, "0b"));
  expect(OTHER_ZONES.includes(zone ?? "")).toEqual(true);
});

const kept: {
  name: string;
  fields?: Partial<PeerMessageOf<"submit">>;
  heard?: Partial<PeerMessageOf<"heartbeat">>;
  silentMs?: number;
}[] = [
  // An entry of the previous release would tell its caller of a refusal.
  { name: "its entry can't follow", fields: { triedZones: undefined } },
  { name: "it may have started", fields: { resubmitted: true } },
  { name: "it was handed over twice", fields: { triedZones: ["x", "y"] } },
  {
    name: "the reports can't be used",
    heard: { roomByService: { s: { idleMilli: -1, capacityMilli: 1 } } },
  },
  { name: "the other leaders are not heard from", silentMs: 600 },
];

for (const { name, fields = {}, heard = {}, silentMs = 0 } of kept) {
  test(`a leader keeps a job: ${name}`, () => {
    const leader = createLeader();
    submit(leader, "0a");
    hear(leader, OTHER_ZONES, heard);
    leader.after(silentMs, { type: "workersUnreadable" });
    const effects = submit(leader, "0b", fields);
    expect(zonesOf(effects).filter((zone) => zone !== undefined)).toEqual([]);
  });
}

// All workers of the zone drain, and jobs wait there.
test("waiting jobs are handed over when no worker is usable any more", () => {
  const leader = createLeader();
  submit(leader, "0a");
  submit(leader, "0b", { triedZones: undefined });
  submit(leader, "0c", { queue: { ...testQueue, objectiveMs: 1e6 } });
  const drained = zoneWorkers("poa", 2).map((worker) => ({
    ...worker,
    draining: true,
  }));
  const others = OTHER_ZONES.flatMap((zone) => zoneWorkers(zone, 55));
  leader.after(0, { type: "workersRead", workers: [...drained, ...others] });
  hear(leader, OTHER_ZONES);
  const zones = zonesOf(leader.tick()).filter((zone) => zone !== undefined);
  expect(zones.length).toEqual(1);
});

// The job may run in the other zone for the first entry.
test("a second entry is sent to the zone that has the job", () => {
  const leader = createLeader();
  submit(leader, "0a");
  const [zone] = zonesOf(submit(leader, "0b"));
  const again = leader.receive(
    "q",
    testSubmission({ jobId: "0b", submissionId: "q.1", triedZones: [] }),
  );
  expect(zonesOf(again)).toEqual([zone]);
  expect(effectsOf(again, "startTask")).toEqual([]);
});

// A zone without such a worker would keep the job until its objective is missed.
const demands: { name: string; step: Partial<JobSpec["steps"][0]> }[] = [
  { name: "label", step: { requiredLabel: "large" } },
  { name: "size", step: { cpuMilli: 40_000 } },
];

for (const { name, step } of demands) {
  const job = { ...testJob(1) };
  job.steps = job.steps.map((one) => ({ ...one, ...step }));
  for (const largeZone of OTHER_ZONES) {
    test(`a job goes to the zone with workers of its ${name}: ${largeZone}`, () => {
      const leader = createLeader({ largeZone });
      expect(zonesOf(submit(leader, "0a", { job }))).toEqual([largeZone]);
      const entry = createLeaderlessEntry(500, { largeZone });
      submitCaller(entry, job);
      expect(targetsOf(entry.tick(125))).toEqual([`l${largeZone}`]);
    });
  }
  test(`without a leader, a job of the only zone of its ${name} stays`, () => {
    const entry = createLeaderlessEntry(500, { largeZone: "poa" });
    submitCaller(entry, job);
    expect(targetsOf(entry.tick(125))).toEqual([]);
  });
}

// The job may run in the other zone for the first entry, which has followed.
const unfollowed: {
  name: string;
  fields: Partial<PeerMessageOf<"submit">>;
}[] = [
  {
    name: "its entry does not reach that zone",
    fields: { triedZones: OTHER_ZONES },
  },
  { name: "its entry can't follow", fields: { triedZones: undefined } },
  { name: "it may have started there", fields: { resubmitted: true } },
];

for (const { name, fields } of unfollowed) {
  test(`a handed-over job that another entry has is not started: ${name}`, () => {
    const leader = createLeader();
    submit(leader, "0a");
    submit(leader, "0b");
    const again = testSubmission({ jobId: "0b", submissionId: "q.1" });
    leader.receive("q", { ...again, triedZones: [] });
    const effects = leader.receive("q", { ...again, ...fields });
    const [ended] = messagesOf(effects, "jobEnded");
    expect(ended?.outcome).toEqual({ kind: "unknown", reason: "leaderLost" });
    const alone = submit(leader, "0b", { submissionId: "p.2", ...fields });
    expect(messagesOf(alone, "jobEnded")).toEqual([]);
  });
}

// Two entries that chose a zone by themselves made both zones start the job.
test("the leader names the zone for a refused job of two entries", () => {
  const leader = createLeader();
  hear(leader, OTHER_ZONES, { roomByService: undefined });
  submit(leader, "0a");
  const queue = { ...testQueue, objectiveMs: 100 };
  submit(leader, "0b", { queue });
  const again = { jobId: "0b", submissionId: "q.1", queue, triedZones: [] };
  leader.receive("q", testSubmission(again));
  const zones: (string | undefined)[] = [];
  for (let passedMs = 0; passedMs < 400 && zones.length === 0; passedMs += 25) {
    hear(leader, OTHER_ZONES, { roomByService: undefined });
    zones.push(...zonesOf(leader.tick()));
  }
  expect(zones.length).toEqual(2);
  expect(zones[0]).toEqual(zones[1]);
  expect(OTHER_ZONES.includes(zones[0] ?? "")).toEqual(true);
});

// Otherwise a caller's attempts go to the same full zone for seconds.
test("an attempt after a refusal elsewhere is not handed over as the one before", () => {
  const leader = createLeader();
  submit(leader, "0a");
  submit(leader, "0b");
  leader.receive("p", { type: "withdraw", jobId: "0b" });
  hear(leader, OTHER_ZONES, { roomByService: undefined });
  const queue = { ...testQueue, objectiveMs: 1e6 };
  const effects = submit(leader, "0b", { submissionId: "p.2", queue });
  expect(messagesOf(effects, "jobEnded")).toEqual([]);
});

// Entries that choose a zone by its wait would send refused jobs there.
test("a leader whose workers all drain reports no wait that it measured before", () => {
  const leader = createLeader();
  const drained = zoneWorkers("poa", 2).map((worker) => ({
    ...worker,
    draining: true,
  }));
  const others = OTHER_ZONES.flatMap((zone) => zoneWorkers(zone, 55));
  const waits = (): (number | undefined)[] =>
    messagesOf(leader.tick(500), "heartbeat").map((one) =>
      one.waitMsByService["s"]
    );
  expect(waits().includes(0)).toEqual(true);
  leader.after(0, { type: "workersRead", workers: [...drained, ...others] });
  leader.tick();
  expect(waits().filter((waitMs) => waitMs !== undefined)).toEqual([]);
});

test("a fleet of one cell reports no room and hands nothing over", () => {
  const leader = createLeader({ otherWorkers: 40 });
  const heartbeats = messagesOf(leader.tick(500), "heartbeat");
  const reported = heartbeats.filter((one) => one.roomByService !== undefined);
  expect(leader.state.hasZoneCells).toEqual(false);
  expect(reported).toEqual([]);
  submit(leader, "0a");
  expect(zonesOf(submit(leader, "0b")).filter((zone) => zone)).toEqual([]);
});

/** A leader refuses the job of an entry and names a zone. */
function refuse(
  entry: TestInstance,
  from: string,
  elsewhere: string | null,
): Effect[] {
  return endJob(entry, from, {
    kind: "refused",
    reason: "overloaded",
    retryAfterMs: 250,
    elsewhere,
  });
}

// Another entry may have followed the last hand-over: the job may run there.
test("an entry follows two hand-overs, and doesn't tell of the third as a refusal", () => {
  const entry = createEntry(OTHER_ZONES);
  expect(targetsOf(submitCaller(entry))).toEqual(["lpoa"]);
  expect(targetsOf(refuse(entry, "lpoa", "caxias"))).toEqual(["lcaxias"]);
  expect(targetsOf(refuse(entry, "lcaxias", "pelotas"))).toEqual(["lpelotas"]);
  const last = refuse(entry, "lpelotas", "poa");
  expect(targetsOf(last)).toEqual([]);
  const replies = effectsOf(last, "answerCaller").map(({ reply }) =>
    reply.kind
  );
  expect(replies).toEqual(["unknown"]);
});

// Its leader reaches the other zone, and the entry does not.
test("an entry that does not hear the other zone's leader returns the job", () => {
  const entry = createEntry([]);
  submitCaller(entry);
  refuse(entry, "lpoa", "caxias");
  hear(entry, ["poa"]);
  const [submitted] = messagesOf(entry.tick(), "submit");
  expect(submitted?.resubmitted).toEqual(false);
  expect(submitted?.triedZones).toEqual(["caxias"]);
});

test("an entry tells the leaders before that a job was refused in the end", () => {
  const entry = createEntry(OTHER_ZONES);
  submitCaller(entry);
  refuse(entry, "lpoa", "caxias");
  const last = refuse(entry, "lcaxias", null);
  const replies = effectsOf(last, "answerCaller").map(({ reply }) =>
    reply.kind
  );
  expect(replies).toEqual(["refused"]);
  const told = effectsOf(last, "sendPeer")
    .filter(({ message }) => message.type === "withdraw");
  expect(told.map(({ instanceId }) => instanceId)).toEqual(["lpoa"]);
});

test("an entry chooses no zone for a job for which its leader names none", () => {
  const entry = createEntry(OTHER_ZONES);
  submitCaller(entry);
  expect(targetsOf(refuse(entry, "lpoa", null))).toEqual([]);
});

// Otherwise its home leader would name the first zone again, and the caller get a
// refusal.
test("an entry that can't follow a second hand-over names both zones at home", () => {
  const entry = createEntry(["caxias"]);
  submitCaller(entry);
  refuse(entry, "lpoa", "caxias");
  refuse(entry, "lcaxias", "pelotas");
  hear(entry, ["poa", "caxias"]);
  const effects = entry.tick();
  expect(targetsOf(effects)).toEqual(["lpoa"]);
  const [submitted] = messagesOf(effects, "submit");
  expect(submitted?.triedZones?.sort()).toEqual(["caxias", "pelotas", "poa"]);
});

/**
 * An entry whose zone has just lost its leader, and another instance some time
 * before. A third one is live and becomes the leader later.
 */
function createLeaderlessEntry(
  sinceLossMs: number,
  options?: { largeZone: string },
): TestInstance {
  const entry = createEntry(OTHER_ZONES, options);
  entry.state.draining = true;
  const instances = ["lost", "next"].map(testInstanceInfo);
  entry.after(0, { type: "instancesRead", instances });
  for (const { instanceId } of instances) {
    entry.after(0, { type: "peerUp", instanceId });
  }
  const follower = {
    isLeader: false,
    leaderId: "lpoa",
    roomByService: undefined,
  };
  const passMs = (ms: number, peers: readonly string[]): void => {
    for (let passedMs = 0; passedMs < ms; passedMs += 100) {
      hear(entry, ["poa", ...OTHER_ZONES]);
      for (const peer of peers) {
        const sentAtMs = entry.state.nowMs;
        const fields = { sentAtMs, workersAgeMs: 1e6, term: 9, ...follower };
        entry.receive(peer, testHeartbeat({ hasZoneCells: true, ...fields }));
      }
      entry.tick(100);
    }
  };
  passMs(START_MS, ["lost", "next"]);
  entry.after(0, { type: "peerDown", instanceId: "lost", refused: true });
  passMs(sinceLossMs, ["next"]);
  entry.after(0, { type: "peerDown", instanceId: "lpoa", refused: true });
  expect(entry.state.leaderId).toEqual(null);
  return entry;
}

test("without a leader, an entry sends jobs to another zone after 100 ms", () => {
  const entry = createLeaderlessEntry(500);
  submitCaller(entry);
  expect(targetsOf(entry.tick(75))).toEqual([]);
  const [target] = targetsOf(entry.tick(50));
  expect(target === "lcaxias" || target === "lpelotas").toEqual(true);
});

// Runs of the earlier attempt may go on, and only the own zone's leader sees them.
test("without a leader, a retry that may follow a lost entry stays", () => {
  const entry = createLeaderlessEntry(1_300);
  submitCaller(entry);
  expect(targetsOf(entry.tick(75))).toEqual([]);
  expect(targetsOf(entry.tick(50))).toEqual([]);
});

// The schemas drop fields that they don't name.
test("messages keep the fields of hand-overs on the wire", () => {
  const messages = [
    testHeartbeat({ roomByService: IDLE }),
    testSubmission({
      jobId: JOB_ID,
      previousList: { kind: "none" },
      triedZones: ["poa"],
    }),
    {
      type: "jobEnded",
      jobId: JOB_ID,
      submissionId: "p.1",
      outcome: {
        kind: "refused",
        reason: "overloaded",
        retryAfterMs: 250,
        elsewhere: "poa",
      },
    },
  ];
  for (const message of messages) {
    const received = JSON.parse(JSON.stringify(message));
    expect<unknown>(peerMessageSchema.parse(received)).toEqual(received);
  }
});
