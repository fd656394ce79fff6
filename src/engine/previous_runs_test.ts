import { test } from "node:test";
import { expect } from "earl";
import {
  createTestInstance,
  effectsOf,
  testHeartbeat,
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
