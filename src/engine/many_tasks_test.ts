import { test } from "node:test";
import { expect } from "earl";
import { jobBounds } from "./job_bounds.ts";
import {
  answerPolls,
  createTestLeader,
  effectsOf,
  messagesOf,
  type TestInstance,
  testJob,
  testSubmission,
  testWorker,
} from "./testing.ts";
import type { Effect } from "./types.ts";

const JOB_ID = "00000000000000aa";
/** Starts that a leader sends before earlier ones are answered. */
const MAX_STARTS = 256;
/** Starts and runs on a worker that one job leaves to others. */
const MAX_STARTS_OF_JOB = 192;
const MAX_RUNS_PER_WORKER = 96;
const MAX_STOPS_PER_WORKER = 16;
/** Tasks that need nothing, so that all of them fit on one worker. */
const step = { ...testJob(1).steps[0]!, cpuMilli: 0, memoryMb: 0 };

function submitTasks(leader: TestInstance, count: number): Effect[] {
  const job = { spec: "", steps: [{ ...step, count }] };
  return leader.receive("p", testSubmission({ jobId: JOB_ID, job }));
}

function startsOf(effects: readonly Effect[]) {
  return effectsOf(effects, "startTask");
}

/** Creates a leader that has as many runs of a job as its workers take. */
function createFullLeader(): TestInstance {
  const leader = createTestLeader();
  leader.tick(2_000);
  const effects = submitTasks(leader, 2_000);
  for (let starts = startsOf(effects); starts.length > 0;) {
    starts = startsOf(
      starts.flatMap((start) => leader.acknowledgeStart(start)),
    );
  }
  return leader;
}

// Each call for a start takes several kilobytes; all 60,000 in one event exhausted
// the heap of each leader that the record of the job reached.
test("a leader starts the tasks of a large job in slices", () => {
  const { workers } = createFullLeader().state.scheduler!;
  expect([...workers.values()].map(({ runs }) => runs.size))
    .toEqual([MAX_RUNS_PER_WORKER, MAX_RUNS_PER_WORKER]);
});

const counts = [1, MAX_STARTS, MAX_STARTS + 1, 60_000, jobBounds.tasks];

for (const count of counts) {
  test(`a leader sends a bounded number of starts for ${count} tasks at a time`, () => {
    const leader = createTestLeader();
    const workers = ["w1", "w2", "w3", "w4"].map(testWorker);
    leader.after(0, { type: "workersRead", workers });
    for (const { workerId } of workers) leader.completePoll(workerId);
    leader.tick(2_000);
    const started = startsOf(submitTasks(leader, count)).length;
    expect(started).toEqual(Math.min(count, MAX_STARTS_OF_JOB));
    expect(startsOf(leader.tick()).length).toEqual(0);
  });
}

// Its tasks need no CPU; without a share for others they would take all runs that a
// worker may have until the last of them is done.
test("a job starts beside a large one that has all the runs it may have", () => {
  const leader = createFullLeader();
  const jobId = "00000000000000bb";
  const starts = startsOf(leader.receive("p", testSubmission({ jobId })));
  expect(starts.map(({ taskName }) => taskName)).toEqual([`${jobId}.0.0.0`]);
});

test("a leader stops the runs of a large job in slices, all of them", () => {
  const leader = createFullLeader();
  const stopped = new Set<string>();
  const first = leader.receive("p", { type: "withdraw", jobId: JOB_ID });
  expect(effectsOf(first, "stopTask").length)
    .toEqual(2 * MAX_STOPS_PER_WORKER);
  let effects = first;
  for (let round = 0; round < 400; round += 1) {
    for (const stop of effectsOf(effects, "stopTask")) {
      stopped.add(stop.taskName);
      leader.completePoll(stop.workerId, {
        finished: [[stop.taskName, "stopped"]],
      });
    }
    effects = leader.tick();
  }
  expect(stopped.size).toEqual(2 * MAX_RUNS_PER_WORKER);
});

test("the tasks of a later step start with the last task of an earlier one", () => {
  const leader = createTestLeader();
  leader.tick(2_000);
  const steps = [{ ...step, count: 3 }, { ...step, count: 4, after: [0] }];
  const job = { spec: "", steps };
  const starts = startsOf(
    leader.receive("p", testSubmission({ jobId: JOB_ID, job })),
  );
  const later = starts.map(({ workerId, taskName }) => {
    const finished: [string, "done"][] = [[taskName, "done"]];
    return startsOf(leader.completePoll(workerId, { finished })).length;
  });
  expect(later).toEqual([0, 0, 4]);
});

// A new leader has not read the records, and may not refuse what may have run.
test("a leader without memory tells no untruth of a job that may have run", () => {
  const leader = createTestLeader();
  Object.assign(leader.state, {
    limits: { ...leader.state.limits, maxJobBytesAtLeader: 1e6 },
  });
  const submit = (index: number) =>
    leader.receive(
      "p",
      testSubmission({
        jobId: `00000000000000${10 + index}`,
        job: { spec: "", steps: [{ ...step, count: 1_000 }], isRecorded: true },
      }),
    );
  const outcomes = [0, 1, 2].flatMap((index) =>
    messagesOf(submit(index), "jobEnded").map(({ outcome }) => outcome)
  );
  expect(outcomes).toEqual([{ kind: "unknown", reason: "leaderLost" }]);
  answerPolls(leader, leader.tick());
  expect(leader.state.scheduler?.jobs.size).toEqual(2);
});
