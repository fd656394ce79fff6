import { test } from "node:test";
import { expect } from "earl";
import {
  createTestInstance,
  effectsOf,
  testHeartbeat,
  testInstanceInfo,
  testQueue,
  testSubmission,
  testWorker,
} from "./testing.ts";

const JOB_ID = "00000000000000aa";

/** A follower whose process is paused after the loss of its leader. */
const cases = [
  { pausedMs: 0, delayMs: 1_250 },
  { pausedMs: 0, delayMs: 1_350 },
  { pausedMs: 150, delayMs: 1_400 },
  { pausedMs: 300, delayMs: 1_400 },
  { pausedMs: 600, delayMs: 1_700 },
  { pausedMs: 600, delayMs: 2_000 },
];

for (const { pausedMs, delayMs } of cases) {
  test(`a retry ${delayMs} ms after the last message of its entry, which led, waits for an unread worker; paused for ${pausedMs} ms`, () => {
    const leader = createTestInstance({ peers: ["p", "q"] });
    const workers = [testWorker("w1"), testWorker("w2")];
    leader.after(0, { type: "workersRead", workers });
    const hearQ = () => {
      const { nowMs: sentAtMs, leaderId } = leader.state;
      leader.receive("q", testHeartbeat({ sentAtMs, leaderId }));
    };
    for (let passedMs = 0; passedMs < 3_000; passedMs += 100) {
      const { nowMs: sentAtMs } = leader.state;
      const heartbeat = { sentAtMs, isLeader: true, leaderId: "p", term: 900 };
      leader.receive("p", testHeartbeat(heartbeat));
      hearQ();
      leader.tick(100);
    }
    const lostAtMs = leader.state.peers.get("p")?.lastHeardAtMs ?? 0;
    if (pausedMs > 0) {
      leader.after(pausedMs, { type: "processPaused", pausedMs });
    }
    while (leader.state.scheduler === null) {
      hearQ();
      leader.tick();
    }
    leader.completePoll("w1");
    while (leader.state.nowMs < lostAtMs + delayMs) {
      hearQ();
      leader.tick(5);
    }
    const effects = leader.receive("q", testSubmission({ jobId: JOB_ID }));
    expect(effectsOf(effects, "startTask").map(({ taskName }) => taskName))
      .toEqual([]);
  });
}

/** Times since the start of a process at which it receives a job as the leader. */
const youngLeaders = [
  { upMs: 200, waitsMs: 600, startsWithinMs: 700 },
  { upMs: 900, waitsMs: 600, startsWithinMs: 700 },
  { upMs: 1_500, waitsMs: 300, startsWithinMs: 400 },
];

// A retry comes 1.2 s after the loss of its entry at the earliest, by when most
// of the time for which runs of that entry's jobs may continue has passed.
for (const { upMs, waitsMs, startsWithinMs } of youngLeaders) {
  test(`a leader that started ${upMs} ms ago holds a possible retry for ${waitsMs} ms, and not for ${startsWithinMs} ms`, () => {
    const self = { ...testInstanceInfo("self"), cpuCores: 2 };
    const leader = createTestInstance({ peers: ["p"], self });
    const hearP = () => {
      const { nowMs: sentAtMs, leaderId } = leader.state;
      leader.receive("p", testHeartbeat({ sentAtMs, leaderId }));
    };
    hearP();
    leader.after(0, { type: "workersRead", workers: [testWorker("w1")] });
    leader.tick();
    leader.completePoll("w1");
    const { startedAtMs } = leader.state;
    while (leader.state.nowMs < startedAtMs + upMs) {
      hearP();
      leader.tick();
    }
    const message = testSubmission({
      jobId: JOB_ID,
      queue: { ...testQueue, objectiveMs: 3_000 },
      previousList: { kind: "none" },
    });
    const startsIn = (forMs: number) => {
      const effects = [];
      for (let ms = 0; ms < forMs; ms += 25) {
        hearP();
        effects.push(...leader.tick());
      }
      return effectsOf(effects, "startTask").length;
    };
    leader.receive("p", message);
    expect(startsIn(waitsMs)).toEqual(0);
    expect(startsIn(startsWithinMs - waitsMs)).toEqual(1);
  });
}
