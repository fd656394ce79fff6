import { test } from "node:test";
import { expect } from "earl";
import type { WorkerInfo } from "./schemas.ts";
import {
  confirmWrites,
  createTestInstance,
  createTestLeader,
  effectsOf,
  openRecords,
  testHeartbeat,
  type TestInstance,
  testQueue,
  testStoredRecord,
  testSubmission,
  testWorker,
} from "./testing.ts";
import type { Effect } from "./types.ts";

const JOB_ID = "00000000000000aa";
const TICK_MS = 25;
/** Maximum duration of a lease of 1,000 ms, with drift and delay. */
const MAX_LEASE_MS = 1_080;
/** Time that a worker takes to stop a run. */
const STOP_MS = 50;

/**
 * The successor of the leader `p`, which is lost. It can read the lists of `w1`,
 * but not those of `w2`.
 */
function createLeaderWithUnreadWorker(): TestInstance {
  const leader = createTestInstance({ peers: ["p", "q"] });
  const workers = [testWorker("w1"), testWorker("w2")];
  leader.after(0, { type: "workersRead", workers });
  for (let passedMs = 0; passedMs < 3_000; passedMs += 100) {
    const { nowMs: sentAtMs } = leader.state;
    const heartbeat = { sentAtMs, isLeader: true, leaderId: "p", term: 900 };
    leader.receive("p", testHeartbeat(heartbeat));
    hearQ(leader);
    leader.tick(100);
  }
  while (leader.state.scheduler === null) {
    hearQ(leader);
    leader.tick();
  }
  leader.completePoll("w1");
  return leader;
}

function hearQ(leader: TestInstance): void {
  const { nowMs, leaderId, leaderTerm: term } = leader.state;
  leader.receive("q", testHeartbeat({ sentAtMs: nowMs, leaderId, term }));
}

/**
 * Advances to a time in ticks; only `q`, the store and one of the workers are
 * heard from.
 */
function passUntil(
  leader: TestInstance,
  atMs: number,
  { workerId = "w1" }: { workerId?: string } = {},
): Effect[] {
  const effects: Effect[] = [];
  while (leader.state.nowMs + TICK_MS < atMs) {
    hearQ(leader);
    const ticked = leader.tick(TICK_MS - 5);
    effects.push(
      ...ticked,
      ...confirmWrites(leader, ticked),
      ...leader.completePoll(workerId),
    );
  }
  return effects;
}

function startsOf(effects: readonly Effect[]): string[] {
  return effectsOf(effects, "startTask").map(({ taskName }) => taskName);
}

/** How a job becomes known of which `w2` may have a run of a previous leader. */
const arrivals: {
  name: string;
  /** Returns until when the run may continue. */
  arrive: (leader: TestInstance) => { effects: Effect[]; expiresAtMs: number };
}[] = [
  {
    name: "a job that is restored from its record",
    arrive: (leader) => {
      const effects = openRecords(leader, [
        testStoredRecord({ jobId: JOB_ID }),
      ]);
      // The previous owner may take 1,500 ms to detect that it lost the records.
      const expiresAtMs = leader.state.nowMs + 1_500 + STOP_MS + MAX_LEASE_MS;
      return { effects, expiresAtMs };
    },
  },
  {
    name: "a job that is submitted again",
    arrive: (leader) => {
      const message = testSubmission({ jobId: JOB_ID, resubmitted: true });
      const effects = leader.receive("q", message);
      return { effects, expiresAtMs: leader.state.nowMs + MAX_LEASE_MS };
    },
  },
  {
    name: "a job that comes after the loss of another entry",
    arrive: (leader) => {
      const lostAtMs = leader.state.peers.get("p")?.lastHeardAtMs ?? 0;
      const effects = passUntil(leader, lostAtMs + 1_400);
      // A job that can wait is not refused.
      const queue = { ...testQueue, objectiveMs: 6_000 };
      const message = testSubmission({ jobId: JOB_ID, queue });
      effects.push(...leader.receive("q", message));
      // The entry may have run on for 500 ms, and its leader drops its jobs
      // 750 ms after that.
      return { effects, expiresAtMs: lostAtMs + 500 + 750 + MAX_LEASE_MS };
    },
  },
];

// The lists of the other worker would show whether it has a run of the task.
for (const { name, arrive } of arrivals) {
  test(`${name} starts once leases on an unread worker have expired`, () => {
    const leader = createLeaderWithUnreadWorker();
    const { effects, expiresAtMs } = arrive(leader);
    effects.push(...passUntil(leader, expiresAtMs));
    expect(startsOf(effects)).toEqual([]);
    expect(startsOf(passUntil(leader, expiresAtMs + 3 * TICK_MS)))
      .toEqual([`${JOB_ID}.0.0.0`]);
  });
}

// The new owner renews the lease of the run until it has stopped it as one that
// it can't attach to a job within 120 ms.
test("a run on a worker that another leader took over is not repeated before that one's lease", () => {
  const leader = createLeaderWithUnreadWorker();
  leader.completePoll("w2");
  passUntil(leader, leader.state.nowMs + 4_000);
  const message = testSubmission({ jobId: JOB_ID });
  const [start] = effectsOf(leader.receive("q", message), "startTask");
  leader.acknowledgeStart(start!);
  const { workerId } = start!;
  hearQ(leader);
  leader.tick();
  leader.completePoll(workerId, {
    running: [{ taskName: `${JOB_ID}.0.0.0`, run: 1, percent: 10 }],
  });
  const callId = leader.state.scheduler?.workers.get(workerId)?.pollCallId ?? 0;
  leader.after(400, {
    type: "pollCompleted",
    workerId,
    callId,
    outcome: { kind: "fenced" },
  });
  const expiresAtMs = leader.state.nowMs + 120 + STOP_MS + MAX_LEASE_MS;
  const other = workerId === "w1" ? "w2" : "w1";
  expect(startsOf(passUntil(leader, expiresAtMs, { workerId: other })))
    .toEqual([]);
  const laterMs = expiresAtMs + 3 * TICK_MS;
  expect(startsOf(passUntil(leader, laterMs, { workerId: other })))
    .toEqual([`${JOB_ID}.0.0.0`]);
});

/** Whether the lists of the listed workers show all runs of a job. */
const hiddenRuns: {
  name: string;
  starts: number;
  leftCell?: boolean;
  workers?: WorkerInfo[];
}[] = [
  { name: "and all workers are read", starts: 1 },
  { name: "and left its cell before", starts: 0, leftCell: true },
  { name: "and a worker vanished", starts: 0, workers: [testWorker("w1")] },
];

for (const { name, starts, leftCell = false, workers } of hiddenRuns) {
  test(`a job that is submitted again ${name} starts ${starts} times within a lease`, () => {
    const leader = createTestLeader();
    leader.tick(2_000);
    if (workers !== undefined) {
      leader.after(0, { type: "workersRead", workers });
    }
    const message = testSubmission({
      jobId: JOB_ID,
      resubmitted: true,
      leftCell,
    });
    const effects = [
      ...leader.receive("p", message),
      ...leader.completePoll("w1"),
      ...leader.completePoll("w2"),
      ...leader.tick(1_000),
    ];
    expect(startsOf(effects).length).toEqual(starts);
    expect(startsOf(leader.tick(100)).length).toEqual(1 - starts);
  });
}
