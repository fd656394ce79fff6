import { test } from "node:test";
import { expect } from "earl";
import type { Configuration, PeerMessage } from "./schemas.ts";
import {
  createTestInstance,
  effectsOf,
  testConfiguration,
  testHeartbeat,
  type TestInstance,
  testQueue,
} from "./testing.ts";
import type { ConfigurationOutcome, Effect } from "./types.ts";

const stored: Configuration = { ...testConfiguration, rowVersion: 40 };
const added = { ...testQueue, name: "added", pathPrefix: "/added/" };
const newer: Configuration = {
  ...stored,
  version: 2,
  rowVersion: 50,
  queues: [testQueue, added],
};

/** Answers the call of the store that the instance has made last. */
function answer(
  instance: TestInstance,
  outcome: ConfigurationOutcome,
): Effect[] {
  const callId = instance.state.configurationSync.call?.callId ?? 0;
  return instance.after(5, { type: "configurationAnswered", callId, outcome });
}

/** An instance whose version a comparison has just proved to be the newest. */
function createProvenInstance(peers: readonly string[] = []): TestInstance {
  const instance = createTestInstance({ peers });
  for (const peerId of peers) instance.receive(peerId, testHeartbeat());
  instance.tick();
  answer(instance, { kind: "found", configuration: stored });
  instance.tick();
  answer(instance, { kind: "unchanged" });
  return instance;
}

function callsOf(effects: readonly Effect[]): string[] {
  return effectsOf(effects, "callConfiguration")
    .map(({ call, rowVersion }) => `${call} ${rowVersion}`);
}

/** Returns the messages about the configuration, with their recipients. */
function messagesOf(effects: readonly Effect[]): [string, PeerMessage][] {
  return effectsOf(effects, "sendPeer")
    .filter(({ message }) => message.type.startsWith("configuration"))
    .map(({ instanceId, message }) => [instanceId, message]);
}

const calls: {
  name: string;
  prepare: () => TestInstance;
  expected: string[];
}[] = [
  {
    name: "an instance that has just started reads the row",
    prepare: () => createTestInstance(),
    expected: ["read 0"],
  },
  {
    name: "a row that was read is compared, since it may be an old one",
    prepare() {
      const instance = createTestInstance();
      instance.tick();
      answer(instance, { kind: "found", configuration: stored });
      return instance;
    },
    expected: ["compare 40"],
  },
  {
    name: "a proven version is awaited to change",
    prepare: () => createProvenInstance(),
    expected: ["await 40"],
  },
  {
    name: "a version is compared after each wait, though the feed is silent",
    prepare() {
      const instance = createProvenInstance();
      instance.tick();
      instance.after(1_000, { type: "tick", wallMs: 0 });
      answer(instance, { kind: "unchanged" });
      return instance;
    },
    expected: ["compare 40"],
  },
  {
    name: "a version is compared when the feed has lost its history",
    prepare() {
      const instance = createProvenInstance();
      instance.tick();
      answer(instance, { kind: "historyLost" });
      return instance;
    },
    expected: ["compare 40"],
  },
  {
    name: "a smaller instance of the zone makes no call while others prove",
    prepare: () => createProvenInstance(["a", "b"]),
    expected: [],
  },
  {
    name: "a smaller instance compares when nobody has proved for too long",
    prepare() {
      const instance = createProvenInstance(["a", "b"]);
      for (let round = 0; round < 5; round += 1) {
        instance.tick(450);
        for (const peerId of ["a", "b"]) {
          instance.receive(peerId, testHeartbeat({ sentAtMs: round }));
        }
      }
      return instance;
    },
    expected: ["compare 40"],
  },
  {
    name: "an invalid row is known by its version, and not fetched again",
    prepare() {
      const instance = createProvenInstance();
      instance.tick();
      answer(instance, { kind: "invalid", rowVersion: 60, detail: "queues" });
      return instance;
    },
    expected: ["await 60"],
  },
];

for (const { name, prepare, expected } of calls) {
  test(`calls for the configuration: ${name}`, () => {
    const instance = prepare();
    const pending = instance.state.configurationSync.call;
    const made = pending === null ? [] : [`${pending.kind} 40`];
    const next = callsOf(instance.tick());
    expect([...made, ...next].slice(-1)).toEqual(expected);
  });
}

const unusable: ConfigurationOutcome[] = [
  { kind: "unchanged" },
  { kind: "invalid", rowVersion: 40, detail: "queues" },
  { kind: "found", configuration: { ...stored, version: 0 } },
];

for (const outcome of unusable) {
  test(`the row is read again after a delay: ${outcome.kind}`, () => {
    const instance = createTestInstance();
    instance.tick();
    answer(instance, outcome);
    expect(callsOf(instance.tick())).toEqual([]);
    expect(callsOf(instance.tick(250)).length).toEqual(1);
  });
}

test("a change is passed on to a peer as what it changes", () => {
  const instance = createProvenInstance(["a", "z"]);
  instance.tick();
  const effects = instance.after(0, {
    type: "configurationRead",
    configuration: newer,
  });
  // Ranks by id: a, self, z; the fourth child of rank 0 is rank 4.
  expect(messagesOf(effects)).toEqual([]);
  const requested = instance.receive("z", {
    type: "configurationWanted",
    baseVersion: 1,
  });
  expect(messagesOf(requested)).toEqual([["z", {
    type: "configurationChanges",
    changes: [{
      version: 2,
      rowVersion: 50,
      services: stored.services,
      maxBodyBytes: stored.maxBodyBytes,
      maxHeaderBytes: stored.maxHeaderBytes,
      idleTimeoutMs: stored.idleTimeoutMs,
      baseVersion: 1,
      changedQueues: [added],
      droppedQueues: [],
      queueCount: 2,
    }],
  }]]);
});

test("the largest instance passes a change on without a request", () => {
  const instance = createProvenInstance(["t", "z"]);
  instance.tick();
  const effects = instance.after(0, {
    type: "configurationRead",
    configuration: newer,
  });
  expect(messagesOf(effects).map(([peerId, { type }]) => [peerId, type]))
    .toEqual([["t", "configurationChanges"], ["z", "configurationChanges"]]);
});

test("the peers that a change is passed on to get one message", () => {
  const instance = createProvenInstance(["t", "z"]);
  instance.tick();
  const messages = messagesOf(instance.after(0, {
    type: "configurationRead",
    configuration: newer,
  })).map(([, message]) => message);
  expect(messages.length).toEqual(2);
  expect(messages[0] === messages[1]).toEqual(true);
});

test("whole configurations are sent at intervals, and else refused at once", () => {
  const instance = createProvenInstance(["a", "z"]);
  const request: PeerMessage = {
    type: "configurationWanted",
    baseVersion: -1,
  };
  const types = [
    ...messagesOf(instance.receive("a", request)),
    ...messagesOf(instance.receive("z", request)),
  ].map(([, message]) =>
    message.type === "configurationChanges"
      ? message.changes.length
      : message.type
  );
  expect(types).toEqual(["configuration", 0]);
  instance.tick(500);
  const later = messagesOf(instance.receive("z", request));
  expect(later.map(([, { type }]) => type)).toEqual(["configuration"]);
});

test("an instance asks one peer at a time for a newer version", () => {
  const instance = createProvenInstance(["a", "b", "z"]);
  const requests: [string, PeerMessage][] = [];
  for (const peerId of ["a", "b", "z"]) {
    const heartbeat = testHeartbeat({ configurationVersion: 2, sentAtMs: 9 });
    requests.push(...messagesOf(instance.receive(peerId, heartbeat)));
  }
  for (let round = 0; round < 10; round += 1) {
    requests.push(...messagesOf(instance.tick()));
  }
  expect(requests.map(([peerId]) => peerId)).toEqual(["z"]);
});

test("a change for another version leaves the configuration as it is", () => {
  const instance = createProvenInstance(["a"]);
  const change = {
    ...newer,
    version: 9,
    baseVersion: 8,
    changedQueues: [],
    droppedQueues: ["quotes"],
    queueCount: 1,
  };
  instance.receive("a", { type: "configurationChanges", changes: [change] });
  expect(instance.state.configuration?.version).toEqual(1);
});
