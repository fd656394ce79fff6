import { test } from "node:test";
import { expect } from "earl";
import {
  createTestInstance,
  effectsOf,
  testHeartbeat,
  type TestInstance,
  testInstanceInfo,
  testJob,
  testQueue,
} from "./testing.ts";
import type { Effect } from "./types.ts";

const JOB_ID = "00000000000000aa";

function hearLeader(entry: TestInstance, leaderId: string, term: number) {
  return entry.receive(
    leaderId,
    testHeartbeat({
      sentAtMs: entry.state.nowMs,
      isLeader: true,
      leaderId,
      term,
    }),
  );
}

function submit(entry: TestInstance, { isRecorded = false } = {}): Effect[] {
  return entry.after(0, {
    type: "callerSubmit",
    requestId: "r",
    jobId: JOB_ID,
    queue: testQueue,
    job: { ...testJob(1), isRecorded },
    timeoutMs: 6_000,
    answerAt: "ended",
  });
}

/** An entry that follows the leader `a`, and has submitted a job to it. */
function createEntry({ isRecorded = false } = {}): TestInstance {
  const entry = createTestInstance({ peers: ["a", "b"] });
  hearLeader(entry, "a", 900);
  submit(entry, { isRecorded });
  return entry;
}

const leave = (entry: TestInstance): Effect[] =>
  entry.after(0, { type: "callerGone", requestId: "r", jobId: JOB_ID });

/** The connection to the leader `a` is lost and there again. */
function reconnect(entry: TestInstance, downMs: number): Effect[] {
  const instanceId = "a";
  return [
    ...entry.after(0, { type: "peerDown", instanceId, refused: false }),
    ...entry.after(downMs, { type: "peerUp", instanceId }),
  ];
}

const sentToLeader = (effects: readonly Effect[], type: string) =>
  effectsOf(effects, "sendPeer").filter(({ instanceId, message }) =>
    instanceId === "a" && message.type === type
  ).length;

const withdrawals: {
  name: string;
  isRecorded?: boolean;
  downMs?: number;
  apply: (entry: TestInstance) => void;
  sent: number;
}[] = [
  { name: "its caller has left", apply: leave, sent: 1 },
  {
    name: "its entry follows another leader",
    apply: (entry) => hearLeader(entry, "b", 901),
    sent: 1,
  },
  {
    name: "its caller has left and come again",
    apply: (entry) => {
      leave(entry);
      submit(entry);
    },
    sent: 0,
  },
  {
    name: "its caller has left, but it is recorded",
    isRecorded: true,
    apply: leave,
    sent: 0,
  },
  { name: "its caller waits", apply: () => {}, sent: 0 },
  {
    name: "its caller left so long ago that the leader has dropped it",
    apply: (entry) => {
      leave(entry);
      entry.tick(3_000);
    },
    sent: 0,
  },
];

// The withdrawal was lost with the connection. The leader started the job while
// its caller had it run in another zone.
for (const { name, isRecorded = false, apply, sent } of withdrawals) {
  test(`after a lost connection, ${sent} withdrawals of a job are sent again: ${name}`, () => {
    const entry = createEntry({ isRecorded });
    apply(entry);
    expect(sentToLeader(reconnect(entry, 100), "withdraw")).toEqual(sent);
    expect(sentToLeader(reconnect(entry, 2_000), "withdraw")).toEqual(0);
  });
}

const introductions = [
  { name: "its leader", from: "a", sent: 1 },
  { name: "another instance", from: "b", sent: 0 },
];

// A leader reported the outcome while its own connection to the entry was lost.
// The entry's connection was there before it, so nothing asked again.
for (const { name, from, sent } of introductions) {
  test(`an entry submits its jobs again when ${name} has a connection again: ${sent}`, () => {
    const entry = createEntry();
    const effects = entry.receive(from, {
      type: "hello",
      instance: testInstanceInfo(from),
      known: [],
    });
    expect(sentToLeader(effects, "submit")).toEqual(sent);
  });
}
