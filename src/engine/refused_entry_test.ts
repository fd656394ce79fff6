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
  testSubmission,
  testWorker,
} from "./testing.ts";

const JOB_ID = "00000000000000aa";
/** Shorter than the silence after which a leader drops a job in memory. */
const CUT_MS = 600;

function hear(instance: TestInstance, from: string, fields = {}) {
  const sentAtMs = instance.state.nowMs;
  return instance.receive(from, testHeartbeat({ sentAtMs, ...fields }));
}

test("leader: a job whose entry was cut off goes on only if submitted again", () => {
  const leader = createTestInstance({ peers: ["p", "q", "r"] });
  leader.after(0, { type: "workersRead", workers: [testWorker("w1")] });
  for (const id of ["p", "q", "r"]) hear(leader, id);
  leader.tick(1_000);
  while (leader.state.scheduler === null) leader.tick(100);
  leader.completePoll("w1");
  leader.tick(100);
  for (const id of ["p", "q", "r"]) hear(leader, id);
  const [start] = effectsOf(
    leader.receive("p", testSubmission({ jobId: JOB_ID, job: testJob(1) })),
    "startTask",
  );
  if (start === undefined) throw new Error("not started");
  leader.acknowledgeStart(start);
  leader.after(0, { type: "peerDown", instanceId: "p", refused: true });
  for (let ms = 0; ms < CUT_MS; ms += 100) {
    leader.tick(100);
    for (const id of ["q", "r"]) hear(leader, id);
    leader.completePoll("w1", {
      running: [{
        taskName: start.taskName,
        run: start.run,
        percent: 5 + ms / 20,
      }],
    });
  }
  leader.after(0, { type: "peerUp", instanceId: "p" });
  const instance = testInstanceInfo("p");
  const effects = [
    ...leader.receive("p", { type: "hello", instance, known: [] }),
    ...hear(leader, "p"),
  ];
  for (let ms = 0; ms < 500; ms += 100) {
    effects.push(...leader.tick(100));
    for (const id of ["p", "q", "r"]) effects.push(...hear(leader, id));
    effects.push(...leader.completePoll("w1", {
      running: [{
        taskName: start.taskName,
        run: start.run,
        percent: 40 + ms / 20,
      }],
    }));
  }
  expect(effectsOf(effects, "stopTask").map(({ taskName }) => taskName))
    .toEqual([start.taskName]);
});

test("entry: a withdrawal that was lost is sent again to the former leader", () => {
  const entry = createTestInstance({ peers: ["a", "b", "c"] });
  const term = 900_000_000_000_000;
  for (const id of ["a", "b", "c"]) hear(entry, id, { leaderId: "a" });
  hear(entry, "a", { isLeader: true, term, leaderId: "a" });
  entry.tick();
  const submitted = entry.after(0, {
    type: "callerSubmit",
    requestId: "r",
    jobId: JOB_ID,
    queue: testQueue,
    job: testJob(1),
    timeoutMs: 6_000,
    answerAt: "ended",
  });
  const peersOf = (effects: readonly unknown[], type: string) =>
    (effects as {
      type: string;
      instanceId: string;
      message: { type: string };
    }[])
      .filter((e) => e.type === "sendPeer" && e.message.type === type)
      .map((e) => e.instanceId);
  expect(peersOf(submitted, "submit")).toEqual(["a"]);
  entry.after(0, { type: "peerDown", instanceId: "a", refused: true });
  entry.tick(100);
  const next = [
    ...hear(entry, "b", { isLeader: true, term: term + 512, leaderId: "b" }),
    ...entry.tick(),
  ];
  expect(peersOf(next, "submit")).toEqual(["b"]);
  // Lost: the connection to `a` is refused.
  expect(peersOf(next, "withdraw")).toEqual(["a"]);
  entry.tick(CUT_MS);
  hear(entry, "b", { isLeader: true, term: term + 512, leaderId: "b" });
  const up = [
    ...entry.after(0, { type: "peerUp", instanceId: "a" }),
    ...entry.receive("a", {
      type: "hello",
      instance: testInstanceInfo("a"),
      known: [],
    }),
    ...hear(entry, "a", { leaderId: "b" }),
    ...entry.tick(),
  ];
  expect(peersOf(up, "withdraw")).toEqual(["a"]);
});
