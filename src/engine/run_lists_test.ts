import { test } from "node:test";
import { expect } from "earl";
import type { JobSpec } from "./schemas.ts";
import {
  confirmWrites,
  createTestLeader,
  effectsOf,
  openRecords,
  type TestInstance,
  testJob,
  testSubmission,
} from "./testing.ts";
import type { Effect, RunningRow, StartOutcome } from "./types.ts";

type StartEffect = Extract<Effect, { type: "startTask" }>;

const JOB_ID = "00000000000000aa";
const TASK_NAME = `${JOB_ID}.0.0.0`;
const listed: RunningRow = { taskName: TASK_NAME, run: 1, percent: 10 };

function startsOf(effects: readonly Effect[]): StartEffect[] {
  return effectsOf(effects, "startTask");
}

/** A leader that has requested one start, and the start. */
function createLeaderWithStart(
  job: JobSpec = testJob(1),
): { leader: TestInstance; start: StartEffect } {
  const leader = createTestLeader();
  openRecords(leader);
  leader.tick(2_000);
  const effects = leader.receive("p", testSubmission({ jobId: JOB_ID, job }));
  const starts = startsOf([...effects, ...confirmWrites(leader, effects)]);
  expect(starts.length).toEqual(1);
  return { leader, start: starts[0]! };
}

function completeStart(
  leader: TestInstance,
  { workerId, taskName, run, fence }: StartEffect,
  outcome: StartOutcome,
): Effect[] {
  const type = "startCompleted";
  return leader.after(1, { type, workerId, taskName, run, fence, outcome });
}

// The worker answered before the start took effect there.
test("a list requested before a start was acknowledged doesn't show its run as gone", () => {
  const { leader, start } = createLeaderWithStart();
  leader.tick();
  leader.acknowledgeStart(start);
  expect(startsOf(leader.completePoll(start.workerId))).toEqual([]);
  const later = leader.completePoll(start.workerId);
  expect(startsOf(later).map(({ run }) => run)).toEqual([2]);
});

// A start that takes effect late is refused only under a higher token.
test("a list under the token of a start doesn't show that it can't take effect", () => {
  const { leader, start } = createLeaderWithStart();
  leader.tick();
  const effects = [
    ...leader.completePoll(start.workerId),
    ...leader.completePoll(start.workerId),
  ];
  expect(startsOf(effects)).toEqual([]);
  leader.acknowledgeStart(start);
  leader.completePoll(start.workerId, { running: [listed] });
  const ended = leader.completePoll(start.workerId, {
    finished: [[TASK_NAME, "done"]],
  });
  expect(startsOf([...ended, ...leader.tick(400)])).toEqual([]);
});

// Only the first list under a new token counted. If it lacked some completions, the
// run stayed as starting for good.
test("a run that never started is dropped by a later list under its new token", () => {
  const { leader, start } = createLeaderWithStart();
  completeStart(leader, start, { kind: "unknown", detail: "timeout" });
  const finished = Array.from(
    { length: 500 },
    (_, index): [string, "done"] => [`00000000000000bb.0.0.${index}`, "done"],
  );
  const first = leader.completePoll(start.workerId, { finished });
  expect(startsOf([...first, ...leader.tick(20)])).toEqual([]);
  const later = leader.completePoll(start.workerId);
  expect(startsOf(later).map(({ run }) => run)).toEqual([2]);
});

test("a listed run has started, though its start gets no answer", () => {
  const job = { ...testJob(1), isRecorded: true, isAtMostOnce: true };
  const { leader, start } = createLeaderWithStart(job);
  leader.tick();
  leader.completePoll(start.workerId, { running: [listed] });
  completeStart(leader, start, { kind: "unknown", detail: "timeout" });
  const effects = [
    ...leader.completePoll(start.workerId),
    ...leader.completePoll(start.workerId),
    ...leader.tick(400),
  ];
  expect(startsOf(effects)).toEqual([]);
  expect(leader.state.scheduler?.jobs.get(JOB_ID)?.outcome)
    .toEqual({ kind: "unknown", reason: "taskLost" });
});

// A worker lists a run no more once it stops it, which takes up to 50 ms.
test("a new attempt at a job waits until the stopped run of the earlier one has ended", () => {
  const { leader, start } = createLeaderWithStart();
  leader.acknowledgeStart(start);
  leader.tick();
  const { workerId } = start;
  leader.completePoll(workerId, { running: [listed] });
  const withdrawn = leader.receive("p", { type: "withdraw", jobId: JOB_ID });
  expect(effectsOf(withdrawn, "stopTask").length).toEqual(1);
  const submissionId = `p.${JOB_ID}.2`;
  const effects = [
    ...leader.receive("p", testSubmission({ jobId: JOB_ID, submissionId })),
    ...leader.completePoll(workerId, { running: [listed] }),
    ...leader.after(1, {
      type: "stopCompleted",
      workerId,
      taskName: TASK_NAME,
      run: 1,
      outcome: { kind: "stopped" },
    }),
    ...leader.completePoll(workerId),
    ...leader.tick(),
    ...leader.completePoll(workerId),
    ...leader.tick(),
    ...leader.completePoll(workerId),
  ];
  expect(startsOf(effects)).toEqual([]);
  const later = [
    ...leader.tick(50),
    ...leader.completePoll(workerId),
    ...leader.completePoll(workerId),
  ];
  expect(startsOf(later).map(({ run }) => run)).toEqual([2]);
});

// A start that took effect before the restart ran, and may have had effects.
test("a requested run may have started before its worker restarted", () => {
  const job = { ...testJob(1), isRecorded: true, isAtMostOnce: true };
  const { leader, start } = createLeaderWithStart(job);
  const { workerId } = start;
  leader.tick();
  const effects = [
    ...leader.completePoll(workerId, { bornMs: 2 }),
    ...completeStart(leader, start, { kind: "unknown", detail: "reset" }),
    ...leader.completePoll(workerId, { bornMs: 2 }),
    ...leader.tick(400),
    ...leader.completePoll(workerId, { bornMs: 2 }),
  ];
  expect(startsOf(effects)).toEqual([]);
  expect(leader.state.scheduler?.jobs.get(JOB_ID)?.outcome)
    .toEqual({ kind: "unknown", reason: "taskLost" });
});
