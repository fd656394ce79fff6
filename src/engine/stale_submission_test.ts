import { test } from "node:test";
import { expect } from "earl";
import {
  createTestInstance,
  effectsOf,
  testHeartbeat,
  type TestInstance,
  testSubmission,
  testWorker,
} from "./testing.ts";

const JOB_ID = "00000000000000aa";

function hear(instance: TestInstance, from: string, fields = {}) {
  const sentAtMs = instance.state.nowMs;
  return instance.receive(from, testHeartbeat({ sentAtMs, ...fields }));
}

function createLeader(): TestInstance {
  const leader = createTestInstance({ peers: ["p", "q", "r"] });
  leader.after(0, { type: "workersRead", workers: [testWorker("w1")] });
  for (const id of ["p", "q", "r"]) hear(leader, id);
  leader.tick(1_000);
  while (leader.state.scheduler === null) leader.tick(100);
  leader.completePoll("w1");
  leader.tick(100);
  for (const id of ["p", "q", "r"]) hear(leader, id);
  return leader;
}

// Its peers have another leader by then, to which the entry submitted the job
// too; a cut has delayed the submission, and the withdrawal is behind it.
for (const silentMs of [600, 1_250, 1_450]) {
  test(`a submission that ends ${silentMs} ms of silence of all peers starts nothing at once`, () => {
    const leader = createLeader();
    for (let ms = 0; ms < silentMs; ms += 25) leader.tick(25);
    const effects = leader.receive("p", testSubmission({ jobId: JOB_ID }));
    expect(effectsOf(effects, "startTask").length).toEqual(0);
  });
}
