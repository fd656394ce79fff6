import { test } from "node:test";
import { expect } from "earl";
import { demoteIfLate } from "./job_watch.ts";
import {
  createTestInstance,
  createTestLeader,
  effectsOf,
  testHeartbeat,
  type TestInstance,
  testSubmission,
  testWorker,
} from "./testing.ts";
import type { Effect } from "./types.ts";

function submit(
  leader: TestInstance,
  fields: Parameters<typeof testSubmission>[0],
): Effect[] {
  return leader.receive("p", testSubmission(fields));
}

const startsOf = (effects: readonly Effect[]) =>
  effectsOf(effects, "startTask").map((effect) => effect.taskName);

// Another leader may have acquired a worker after this leader read its lists,
// and started the job there. The job must not start here on outdated lists.
test("a resubmitted job starts only after all workers are read again", () => {
  const leader = createTestLeader();
  leader.tick(2_000);
  const effects = submit(leader, { jobId: "aa", resubmitted: true });
  expect(startsOf(effects)).toEqual([]);
  const polledIds = effectsOf(effects, "hold").map((poll) => poll.workerId);
  expect(polledIds.sort()).toEqual(["w1", "w2"]);
  leader.completePoll("w1");
  expect(startsOf(leader.completePoll("w2"))).toEqual(["aa.0.0.0"]);
});

test("jobs waiting for leases of a previous leader do not delay others", () => {
  const leader = createTestLeader();
  leader.tick(2_000);
  for (const jobId of ["aa", "ab", "ac", "ad", "ae", "af"]) {
    submit(leader, { jobId, resubmitted: true, ageMs: 400 });
  }
  const effects = submit(leader, { jobId: "ba" });
  const admitted = effectsOf(effects, "log").find(({ fields }) =>
    fields["jobId"] === "ba"
  );
  expect(admitted?.fields["expectedWaitMs"]).toEqual(0);
  expect(startsOf(effects)).toEqual(["ba.0.0.0"]);
});

test("a job past its objective is queued behind jobs that can meet theirs", () => {
  const leader = createTestLeader();
  leader.tick(2_000);
  const { scheduler } = leader.state;
  if (scheduler === null) throw new Error("the instance is not the leader");
  for (const jobId of ["aa", "ab", "ac", "ad"]) submit(leader, { jobId });
  submit(leader, { jobId: "ba" });
  submit(leader, { jobId: "bb" });
  const late = scheduler.jobs.get("ba");
  if (late === undefined) throw new Error("job ba is not known to the leader");
  late.mayHaveStarted = true;
  leader.state.nowMs = late.objectiveAtMs + 1;
  demoteIfLate(leader.state, scheduler, late);
  expect(scheduler.waiting.get("s")?.map(({ jobId }) => jobId))
    .toEqual(["bb", "ba"]);
});

// All peers become unreachable at once. Waiting for each peer that is ranked
// before this instance would only delay the takeover.
test("a partitioned instance becomes the leader without waiting for peers", () => {
  const peers = ["a", "b", "c", "d"];
  const instance = createTestInstance({ peers });
  instance.after(0, { type: "workersRead", workers: [testWorker("w1")] });
  const term = 9e12;
  const heartbeat = testHeartbeat({ isLeader: true, term, leaderId: "a" });
  for (let sentAtMs = 0; sentAtMs < 10; sentAtMs += 1) {
    instance.receive("a", { ...heartbeat, sentAtMs });
    const follower = testHeartbeat({ leaderId: "a", sentAtMs });
    for (const peer of ["b", "c", "d"]) instance.receive(peer, follower);
    instance.tick(150);
  }
  // From here on no peer is heard from.
  let waitedMs = 0;
  while (instance.state.scheduler === null && waitedMs < 3_000) {
    instance.tick(25);
    waitedMs += 25;
  }
  expect(waitedMs <= 800).toEqual(true);
});

test("above 100 workers, a leader owns only the workers of its zone", () => {
  const instance = createTestInstance({ peers: ["other"] });
  const workers = Array.from({ length: 120 }, (_, index) => ({
    ...testWorker(`w${index}`),
    availabilityZone: index < 40 ? "poa" : "caxias",
  }));
  instance.after(0, { type: "workersRead", workers });
  instance.tick(1_000);
  const effects = [...instance.tick(), ...instance.tick()];
  expect(instance.state.hasZoneCells).toEqual(true);
  const owned = [...instance.state.scheduler?.workers.keys() ?? []];
  expect(owned.length).toEqual(40);
  expect(
    effectsOf(effects, "hold").every(({ workerId }) =>
      owned.includes(workerId)
    ),
  ).toEqual(true);
});

// The entry may have resubmitted the job to another leader, which renews the
// run's lease. Starting the task again would then run it twice.
test("an expired run restarts only if its entry follows the leader", () => {
  const leader = createTestInstance({ peers: ["p"] });
  const workers = [testWorker("w1"), testWorker("w2")];
  leader.after(0, { type: "workersRead", workers });
  leader.tick(2_000);
  leader.tick();
  for (const { workerId } of workers) leader.completePoll(workerId);
  leader.tick(100);
  const term = leader.state.leaderTerm;
  const followerHeartbeat = testHeartbeat({ leaderId: "self", term });
  leader.receive("p", { ...followerHeartbeat, sentAtMs: 1 });
  const submitted = { jobId: "aa", heardAtMs: leader.state.nowMs };
  const [first] = effectsOf(submit(leader, submitted), "startTask");
  const workerId = first?.workerId ?? "";
  // The worker is unreachable; another leader may own it and renew the run.
  const callId = leader.state.scheduler?.workers.get(workerId)?.pollCallId ?? 0;
  const outcome = { kind: "unreachable" as const, detail: "timeout" };
  leader.after(5, { type: "pollCompleted", workerId, callId, outcome });
  const worker = leader.state.scheduler?.workers.get(workerId);
  if (worker === undefined) throw new Error("the worker is not owned");
  worker.phase = "lost";
  worker.retryAtMs = Infinity;
  leader.state.nowMs += 450;
  worker.leaseExpiresAtMs = leader.state.nowMs - 10;
  const run = [...worker.runs.values()][0];
  if (run !== undefined) Object.assign(run, { placedAtMs: 0 });
  const before = leader.tick(460);
  expect(startsOf(before)).toEqual([]);
  const heardAtMs = leader.state.nowMs;
  leader.receive("p", { ...followerHeartbeat, sentAtMs: 2, heardAtMs });
  const after = [...leader.tick(), ...leader.tick()];
  expect(startsOf(after)).toEqual(["aa.0.0.0"]);
});
