import { test } from "node:test";
import { expect } from "earl";
import {
  createTestLeader,
  effectsOf,
  type TestInstance,
  testSubmission,
  testWorker,
} from "./testing.ts";
import type { Effect } from "./types.ts";

const JOB_ID = "00000000000000aa";
const TASK_NAME = `${JOB_ID}.0.0.0`;
/** Maximum duration of a lease of 1,000 ms, with drift and delay. */
const MAX_LEASE_MS = 1_080;

function startsOf(effects: readonly Effect[]): string[] {
  return effectsOf(effects, "startTask").map(({ taskName }) => taskName);
}

/** Pauses the leader's process, after which it is the leader in a new term. */
function reelect(leader: TestInstance): void {
  leader.after(420, { type: "processPaused", pausedMs: 420 });
  while (leader.state.scheduler === null) leader.tick();
}

/** What happens to a job between its two submissions in the new term. */
const attempts: { name: string; apply: (leader: TestInstance) => void }[] = [
  { name: "is submitted by a further entry", apply: () => {} },
  {
    name: "is submitted anew after its withdrawal",
    apply: (leader) => leader.receive("p", { type: "withdraw", jobId: JOB_ID }),
  },
];

// A caller that lost its connection sends its request again, through another
// entry, which knows nothing of the first submission. The first entry submits the
// job to the leader's next term before it sees that the caller has left.
for (const { name, apply } of attempts) {
  test(`a job that ${name} waits for its run of an earlier term`, () => {
    const leader = createTestLeader();
    leader.tick(2_000);
    reelect(leader);
    leader.completePoll("w2");
    leader.tick(100);
    const term = leader.state.leaderTerm;
    const submissionId = `q.${JOB_ID}`;
    leader.receive("p", testSubmission({ jobId: JOB_ID, term: term - 1 }));
    apply(leader);
    const effects = [
      ...leader.receive(
        "q",
        testSubmission({ jobId: JOB_ID, term, submissionId }),
      ),
      ...leader.tick(100),
      ...leader.completePoll("w1", {
        running: [{ taskName: TASK_NAME, run: 1, percent: 50 }],
      }),
      ...leader.completePoll("w2"),
      ...leader.tick(100),
    ];
    expect(startsOf(effects)).toEqual([]);
  });
}

/** The worker's last state in the list before it leaves the list. */
const departures = [
  { name: "a worker", draining: false },
  { name: "a draining worker", draining: true },
];

// A worker that drains completes its runs, and its row may expire meanwhile. The
// leader renews its lease, but has no lists of it in the next term, for which the
// list of workers has been the same for longer than a lease.
for (const { name, draining } of departures) {
  test(`a job that is submitted again waits for its run on ${name} that left the list`, () => {
    const leader = createTestLeader();
    leader.tick(2_000);
    const message = testSubmission({ jobId: JOB_ID });
    const [start] = effectsOf(leader.receive("p", message), "startTask");
    leader.acknowledgeStart(start!);
    const { workerId } = start!;
    const otherId = workerId === "w1" ? "w2" : "w1";
    const other = testWorker(otherId);
    const workers = [{ ...testWorker(workerId), draining }, other];
    leader.after(0, { type: "workersRead", workers });
    leader.tick();
    leader.after(0, { type: "workersRead", workers: [other] });
    for (let percent = 10; percent < 90; percent += 1) {
      const running = [{ taskName: TASK_NAME, run: 1, percent }];
      const effects = [
        ...leader.tick(),
        ...leader.completePoll(workerId, { running }),
      ];
      expect(startsOf(effects)).toEqual([]);
    }
    reelect(leader);
    leader.completePoll(otherId);
    leader.tick(100);
    const effects = [
      ...leader.receive("p", { ...message, resubmitted: true }),
      ...leader.completePoll(otherId),
      ...leader.tick(100),
      ...leader.completePoll(otherId),
    ];
    expect(startsOf(effects)).toEqual([]);
    expect(startsOf(leader.tick(MAX_LEASE_MS))).toEqual([TASK_NAME]);
  });
}
