import { test } from "node:test";
import { expect } from "earl";
import { remainingMs } from "./run_progress.ts";
import {
  createTestLeader,
  effectsOf,
  type TestInstance,
  testSubmission,
} from "./testing.ts";
import type { Effect, OwnedWorker } from "./types.ts";

const JOB_IDS = ["00000000000000aa", "00000000000000bb"] as const;
/** The worker's answers are this far apart. */
const POLL_INTERVAL_MS = 200;

function startOf(effects: readonly Effect[]) {
  const [start] = effectsOf(effects, "startTask");
  if (start === undefined) throw new Error("no task was started");
  return start;
}

/** Submits a job and returns its start, which the worker acknowledges. */
function startJob(leader: TestInstance, jobId: string) {
  const start = startOf(
    leader.receive("p", testSubmission({ jobId, timeLeftMs: 60_000 })),
  );
  leader.acknowledgeStart(start);
  return start;
}

function ownedWorker(leader: TestInstance, workerId: string): OwnedWorker {
  const worker = leader.state.scheduler?.workers.get(workerId);
  if (worker === undefined) throw new Error(`no worker ${workerId}`);
  return worker;
}

/** Lists a run with each percentage in turn; returns the stops that follow. */
function listProgress(
  leader: TestInstance,
  start: { workerId: string; taskName: string; run: number },
  percentages: readonly number[],
): string[] {
  const stops: string[] = [];
  const { workerId, taskName, run } = start;
  for (const percent of percentages) {
    const waited = leader.tick(POLL_INTERVAL_MS);
    const running = [{ taskName, run, percent }];
    const listed = leader.completePoll(workerId, { running });
    const ticked = leader.tick(0);
    stops.push(
      ...effectsOf([...waited, ...listed, ...ticked], "stopTask")
        .map((stop) => stop.taskName),
    );
  }
  return stops;
}

const steadily = Array.from({ length: 90 }, (_, index) => index + 1);

/** Whether a run is stopped, by the progress that its worker reports. */
const cases: { name: string; percentages: number[]; isStopped: boolean }[] = [
  {
    name: "progresses, though it takes 180 times as long as declared",
    percentages: steadily,
    isStopped: false,
  },
  {
    name: "pauses for less than a tenth of its run time",
    percentages: [1, 2, 3, 4, 5, 5, 5, 5, 5, 5, 6, 7],
    isStopped: false,
  },
  {
    name: "stands still after it has progressed",
    percentages: [10, 20, 30, ...Array<number>(4).fill(30)],
    isStopped: true,
  },
  {
    name: "never progresses for longer than runs of its kind take",
    percentages: Array<number>(8).fill(0),
    isStopped: true,
  },
];

for (const { name, percentages, isStopped } of cases) {
  test(`a run that ${name} is ${isStopped ? "" : "not "}stopped`, () => {
    const leader = createTestLeader();
    const start = startJob(leader, JOB_IDS[0]);
    const stops = listProgress(leader, start, percentages);
    expect(stops.length > 0).toEqual(isStopped);
  });
}

// A pause of this process or a slow link delays an answer, but the time without
// progress is measured by the worker's clock.
test("a run is not stopped because an answer of its worker was delayed", () => {
  const leader = createTestLeader();
  const start = startJob(leader, JOB_IDS[0]);
  listProgress(leader, start, [10, 20, 30]);
  const { taskName, run } = start;
  leader.tick(2_000);
  const effects = leader.completePoll(start.workerId, {
    running: [{ taskName, run, percent: 30 }],
    delayMs: 2_000,
  });
  expect(effectsOf([...effects, ...leader.tick()], "stopTask")).toEqual([]);
});

test("a task whose run was stopped as hung is left to run longer next time", () => {
  const leader = createTestLeader();
  const first = startJob(leader, JOB_IDS[0]);
  expect(listProgress(leader, first, [10, 20, 30, 30, 30]))
    .toEqual([first.taskName]);
  const taken = leader.completePoll(first.workerId, {
    finished: [[first.taskName, "stopped"]],
  });
  const second = startOf(taken);
  expect(second.workerId === first.workerId).toEqual(false);
  leader.acknowledgeStart(second);
  const still = [10, 20, 30, 30, 30, 30];
  expect(listProgress(leader, second, still)).toEqual([]);
  expect(listProgress(leader, second, Array<number>(2).fill(30)))
    .toEqual([second.taskName]);
});

test("a worker is suspended for hung runs of two jobs, not of one", () => {
  const leader = createTestLeader();
  leader.completePoll("w2", { running: [] });
  const starts = JOB_IDS.map((jobId) => startJob(leader, jobId));
  const [first, second] = starts;
  if (first === undefined || second === undefined) throw new Error("no starts");
  expect(second.workerId).toEqual(first.workerId);
  const worker = ownedWorker(leader, first.workerId);
  const rows = (percent: number) =>
    starts.map(({ taskName, run }) => ({ taskName, run, percent }));
  for (const percent of [10, 20]) {
    leader.tick(POLL_INTERVAL_MS);
    leader.completePoll(first.workerId, { running: rows(percent) });
  }
  const [firstRow, secondRow] = rows(20);
  if (firstRow === undefined || secondRow === undefined) throw new Error();
  for (const percent of [30, 40, 50]) {
    leader.tick(POLL_INTERVAL_MS);
    leader.completePoll(first.workerId, {
      running: [firstRow, { ...secondRow, percent }],
    });
    leader.tick(0);
  }
  expect(worker.consecutiveFailures > 0).toEqual(true);
  expect(worker.suspendedUntilMs).toEqual(0);
  for (let round = 0; round < 4; round += 1) {
    leader.tick(POLL_INTERVAL_MS);
    leader.completePoll(first.workerId, {
      running: [{ ...secondRow, percent: 50 }],
      finished: [],
    });
    leader.tick(0);
  }
  expect(worker.suspendedUntilMs > 0).toEqual(true);
});

test("the remaining time of a run follows from its progress", () => {
  const leader = createTestLeader();
  const start = startJob(leader, JOB_IDS[0]);
  const worker = ownedWorker(leader, start.workerId);
  listProgress(leader, start, [5, 10, 15, 20]);
  const [run] = worker.runs.values();
  if (run === undefined) throw new Error("no run");
  // 20 percent took four intervals, so the rest takes 16.
  const leftMs = remainingMs(leader.state, worker, run);
  expect(Math.abs(leftMs - 16 * POLL_INTERVAL_MS) < 50).toEqual(true);
});
