import { test } from "node:test";
import { expect } from "earl";
import {
  createTestInstance,
  effectsOf,
  testHeartbeat,
  type TestInstance,
  testJob,
  testSubmission,
  testWorker,
} from "./testing.ts";
import type { Effect, StartOutcome } from "./types.ts";

const PEERS = ["a", "b"];
const WORKERS = ["w1", "w2"];

function hearFollowers(leader: TestInstance): void {
  for (const peer of PEERS) {
    leader.receive(
      peer,
      testHeartbeat({ leaderId: "self", sentAtMs: leader.state.nowMs }),
    );
  }
}

/** A leader with two followers and two workers that starts a job's tasks. */
function createLeader({ taskCount = 1 } = {}) {
  const leader = createTestInstance({ peers: PEERS });
  const workers = WORKERS.map(testWorker);
  leader.after(0, { type: "workersRead", workers });
  for (let passedMs = 0; passedMs < 2_000; passedMs += 200) {
    hearFollowers(leader);
    leader.tick(200);
  }
  for (const workerId of WORKERS) leader.completePoll(workerId);
  hearFollowers(leader);
  leader.tick(100);
  const job = testJob(taskCount);
  const submission = testSubmission({ jobId: "aa", job });
  const starts = effectsOf(leader.receive("p", submission), "startTask");
  const start = starts.at(-1);
  if (start === undefined) throw new Error("the task was not started");
  return { leader, start };
}

type Start = ReturnType<typeof createLeader>["start"];

/** The worker has accepted the higher token of another instance. */
function rejectToken(leader: TestInstance, workerId: string): void {
  const worker = leader.state.scheduler?.workers.get(workerId);
  const outcome = { kind: "fenced" as const };
  const callId = worker?.pollCallId ?? 0;
  leader.after(1, { type: "pollCompleted", workerId, callId, outcome });
}

/** The connections to the peers are refused, so they may have another leader. */
function refusePeers(leader: TestInstance): void {
  for (const instanceId of PEERS) {
    leader.after(0, { type: "peerDown", instanceId, refused: true });
  }
}

function completeStart(
  leader: TestInstance,
  { workerId, taskName, run, fence }: Start,
  outcome: StartOutcome,
): Effect[] {
  const type = "startCompleted";
  return leader.after(1, { type, workerId, taskName, run, fence, outcome });
}

/** Lists the worker of a start with changed fields. */
function listWorker(
  leader: TestInstance,
  { workerId }: Start,
  fields: { bornMs?: number; address?: string },
): Effect[] {
  const workers = WORKERS.map((id) => ({
    ...testWorker(id),
    ...(id === workerId ? fields : {}),
  }));
  return leader.after(1, { type: "workersRead", workers });
}

const polledIds = (effects: readonly Effect[]): string[] =>
  effectsOf(effects, "hold").map(({ workerId }) => workerId);

const events: {
  name: string;
  apply: (leader: TestInstance, start: Start) => Effect[];
}[] = [
  {
    name: "a start is not answered",
    apply: (leader, start) =>
      completeStart(leader, start, { kind: "unknown", detail: "timeout" }),
  },
  ...(["room", "replaced"] as const).map((reason) => ({
    name: `a start is refused: ${reason}`,
    apply: (leader: TestInstance, start: Start) =>
      completeStart(leader, start, { kind: "refused", reason }),
  })),
  {
    name: "the worker has restarted",
    apply: (leader, start) => listWorker(leader, start, { bornMs: 2 }),
  },
  {
    name: "the worker has another address",
    apply: (leader, start) => listWorker(leader, start, { address: "w:9" }),
  },
];

// A leader that was cut off took workers back from its successor when a start
// was not answered, and started the tasks there that the successor had started.
for (const { name, apply } of events) {
  test(`a worker that another instance owns is not acquired because ${name}`, () => {
    const { leader, start } = createLeader();
    refusePeers(leader);
    rejectToken(leader, start.workerId);
    const effects = [...apply(leader, start), ...leader.tick(500)];
    expect(polledIds(effects)).not.toInclude(start.workerId);
  });

  test(`a worker that this leader owns is read again because ${name}`, () => {
    const { leader, start } = createLeader();
    expect(polledIds(apply(leader, start))).toInclude(start.workerId);
  });
}

// The worker belongs to the leader of the other side, whose runs would end.
test("a worker of the other side of a partition is not acquired because a start is not answered", () => {
  const { leader, start } = createLeader({ taskCount: 3 });
  const worker = leader.state.scheduler?.workers.get(start.workerId);
  // The peers are silent, and the leases are renewed until they count as lost.
  for (let passedMs = 0; passedMs < 1_400; passedMs += 100) {
    leader.tick(100);
    if (worker?.released === true) break;
    for (const workerId of WORKERS) leader.completePoll(workerId);
  }
  expect(worker?.released).toEqual(true);
  const outcome = { kind: "unknown" as const, detail: "timeout" };
  expect(polledIds(completeStart(leader, start, outcome)))
    .not.toInclude(start.workerId);
});

const otherSigns: { name: string; apply: (leader: TestInstance) => void }[] = [
  {
    name: "messages other than heartbeats",
    apply: (leader) => {
      for (const peer of PEERS) {
        leader.receive(peer, { type: "withdraw", jobId: "ab" });
      }
    },
  },
  {
    name: "a delay by the leader's own work",
    apply: (leader) => leader.after(400, { type: "processBusy", busyMs: 400 }),
  },
];

// They say nothing of the leader that a peer follows by now.
for (const { name, apply } of otherSigns) {
  test(`a worker that another instance took is not acquired again soon after ${name}`, () => {
    const { leader, start } = createLeader();
    rejectToken(leader, start.workerId);
    leader.tick(10);
    apply(leader);
    const effects = [leader.tick(150), leader.tick(100)].flat();
    expect(polledIds(effects)).not.toInclude(start.workerId);
  });
}

const followers: {
  name: string;
  /** The leader that each peer says that it follows, once the worker is lost. */
  leaderIds: Record<string, string>;
  isAcquired: boolean;
}[] = [
  {
    name: "all peers follow this leader",
    leaderIds: { a: "self", b: "self" },
    isAcquired: true,
  },
  {
    name: "a quorum follows this leader",
    leaderIds: { a: "self" },
    isAcquired: true,
  },
  { name: "the peers are silent", leaderIds: {}, isAcquired: false },
  {
    name: "the peers follow another leader",
    leaderIds: { a: "b", b: "b" },
    isAcquired: false,
  },
];

// A leader suspects another one only after peers were silent for a second, but
// silent peers choose another one after half of that. It took its workers back.
for (const { name, leaderIds, isAcquired } of followers) {
  test(
    `a worker that another instance took is${
      isAcquired ? "" : " not"
    } acquired again soon if ${name}`,
    () => {
      const { leader, start } = createLeader();
      leader.tick(300);
      rejectToken(leader, start.workerId);
      leader.tick(100);
      for (const [peer, leaderId] of Object.entries(leaderIds)) {
        const sentAtMs = leader.state.nowMs;
        leader.receive(peer, testHeartbeat({ leaderId, sentAtMs }));
      }
      const effects = [leader.tick(100), leader.tick(100), leader.tick(100)];
      expect(polledIds(effects.flat()).includes(start.workerId))
        .toEqual(isAcquired);
    },
  );
}

const reassignments = [
  { name: "was released only", isFenced: false },
  { name: "another instance took, too,", isFenced: true },
];

// A deposed leader whose share of the workers grew again took the worker under
// the token that it had raised for a later retry.
for (const { name, isFenced } of reassignments) {
  test(`a worker that ${name} and is assigned again is acquired at once: ${!isFenced}`, () => {
    const { leader, start } = createLeader({ taskCount: 3 });
    const { workerId } = start;
    const worker = leader.state.scheduler?.workers.get(workerId);
    if (isFenced) rejectToken(leader, workerId);
    for (let passedMs = 0; passedMs < 1_400; passedMs += 100) {
      leader.tick(100);
      if (worker?.released === true) break;
      const polled = isFenced ? [] : [workerId];
      for (const id of ["w1", ...polled]) leader.completePoll(id);
    }
    expect(worker?.released).toEqual(true);
    refusePeers(leader);
    expect(polledIds(leader.tick(25)).includes(workerId)).toEqual(!isFenced);
  });
}

test("a worker that another instance took is acquired again in the end", () => {
  const { leader, start } = createLeader();
  rejectToken(leader, start.workerId);
  expect(polledIds(leader.tick(5_100))).toInclude(start.workerId);
});
