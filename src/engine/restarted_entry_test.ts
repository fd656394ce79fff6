import { test } from "node:test";
import { expect } from "earl";
import {
  confirmWrites,
  createTestInstance,
  effectsOf,
  openRecords,
  TEST_WALL_MS,
  testHeartbeat,
  type TestInstance,
  testInstanceInfo,
  testJob,
  testSubmission,
  testWorker,
} from "./testing.ts";
import type { Effect } from "./types.ts";

const JOB_ID = "00000000000000aa";
const TASK_NAME = `${JOB_ID}.0.0.0`;
const FIRST_START_MS = TEST_WALL_MS - 60_000;
const SECOND_START_MS = TEST_WALL_MS - 1_000;

/** A leader with a run of a job that the entry `p` has submitted. */
function createLeaderWithRun(
  { isRecorded = false }: { isRecorded?: boolean } = {},
): TestInstance {
  const leader = createTestInstance({ peers: ["p", "q"] });
  leader.after(0, { type: "workersRead", workers: [testWorker("w1")] });
  hear(leader, "p", FIRST_START_MS);
  hear(leader, "q", FIRST_START_MS);
  leader.tick(1_000);
  while (leader.state.scheduler === null) leader.tick(100);
  leader.completePoll("w1");
  leader.tick(100);
  openRecords(leader);
  hear(leader, "p", FIRST_START_MS);
  hear(leader, "q", FIRST_START_MS);
  const effects = submit(leader, "p", {
    jobId: JOB_ID,
    job: { ...testJob(1), isRecorded },
  });
  const starts = [...effects, ...confirmWrites(leader, effects)];
  expect(effectsOf(starts, "startTask").length).toEqual(1);
  return leader;
}

/** The leader receives a submission of an entry that hears it. */
function submit(
  leader: TestInstance,
  entryId: string,
  fields: Parameters<typeof testSubmission>[0],
): Effect[] {
  const heardAtMs = leader.state.nowMs;
  return leader.receive(entryId, testSubmission({ heardAtMs, ...fields }));
}

function hear(
  leader: TestInstance,
  entryId: string,
  bornMs: number,
): Effect[] {
  const sentAtMs = leader.state.nowMs;
  return leader.receive(entryId, testHeartbeat({ bornMs, sentAtMs }));
}

function greet(
  leader: TestInstance,
  entryId: string,
  bornMs: number,
): Effect[] {
  const instance = { ...testInstanceInfo(entryId), bornMs };
  return leader.receive(entryId, { type: "hello", instance, known: [] });
}

function reportsOf(effects: readonly Effect[]) {
  return effectsOf(effects, "sendPeer").flatMap(({ message }) =>
    message.type === "jobEnded"
      ? [{ submissionId: message.submissionId, kind: message.outcome.kind }]
      : []
  );
}

function stopsOf(effects: readonly Effect[]): string[] {
  return effectsOf(effects, "stopTask").map(({ taskName }) => taskName);
}

const signs: { name: string; receive: typeof hear }[] = [
  { name: "introduction", receive: greet },
  { name: "heartbeat", receive: hear },
];

// The caller comes again, maybe at an entry of another zone, whose leader starts
// the job beside the runs of the first one. An entry that is back at once was
// never silent for long enough to have its jobs dropped.
for (const { name, receive } of signs) {
  test(`runs stop at the first ${name} of an entry that has restarted`, () => {
    const leader = createLeaderWithRun();
    expect(stopsOf(receive(leader, "p", FIRST_START_MS))).toEqual([]);
    expect(stopsOf(receive(leader, "p", SECOND_START_MS)))
      .toEqual([TASK_NAME]);
  });
}

test("a job of a restarted entry goes on if another entry has it as well", () => {
  const leader = createLeaderWithRun();
  const submissionId = `q.${JOB_ID}`;
  submit(leader, "q", { jobId: JOB_ID, submissionId });
  expect(stopsOf(hear(leader, "p", SECOND_START_MS))).toEqual([]);
});

test("a recorded job of a restarted entry goes on", () => {
  const leader = createLeaderWithRun({ isRecorded: true });
  expect(stopsOf(hear(leader, "p", SECOND_START_MS))).toEqual([]);
});

test("a job that arrives before the first sign of a restart goes on", () => {
  const leader = createLeaderWithRun();
  const submissionId = `p.${SECOND_START_MS}.1.1`;
  const jobId = "00000000000000bb";
  submit(leader, "p", { jobId, submissionId });
  hear(leader, "p", SECOND_START_MS);
  expect(leader.state.scheduler?.jobs.get(jobId)?.outcome).toEqual(null);
});

// The messages are on different connections.
test("a late message of an ended incarnation ends no job of the present one", () => {
  const leader = createLeaderWithRun();
  greet(leader, "p", SECOND_START_MS);
  const submissionId = "p.2";
  const jobId = "00000000000000bb";
  submit(leader, "p", { jobId, submissionId });
  for (const { receive } of signs) {
    expect(stopsOf(receive(leader, "p", FIRST_START_MS))).toEqual([]);
  }
  expect(leader.state.scheduler?.jobs.get(jobId)?.outcome).toEqual(null);
  expect(stopsOf(hear(leader, "p", SECOND_START_MS))).toEqual([]);
});

test("a job that a restarted entry submits again goes on with its run", () => {
  const leader = createLeaderWithRun();
  const submissionId = `p.${SECOND_START_MS}.1.1`;
  submit(leader, "p", { jobId: JOB_ID, submissionId });
  expect(stopsOf(hear(leader, "p", SECOND_START_MS))).toEqual([]);
  const ended = leader.completePoll("w1", { finished: [[TASK_NAME, "done"]] });
  expect(reportsOf(ended)).toEqual([{ submissionId, kind: "done" }]);
});

// The wall clock was set back when the entry restarted, so the late message has
// the later start time.
test("a late message of an ended incarnation does not end a job between its steps", () => {
  const leader = createLeaderWithRun();
  const startedAtMs = FIRST_START_MS - 5_000;
  expect(stopsOf(hear(leader, "p", startedAtMs))).toEqual([TASK_NAME]);
  const submissionId = `p.${startedAtMs}.1.1`;
  const [step] = testJob(1).steps;
  const job = { spec: "text", steps: [step!, { ...step!, after: [0] }] };
  const jobId = "00000000000000bb";
  submit(leader, "p", { jobId, job, submissionId });
  const later = [
    ...hear(leader, "p", FIRST_START_MS),
    ...leader.completePoll("w1", { finished: [[`${jobId}.0.0.0`, "done"]] }),
    ...greet(leader, "p", FIRST_START_MS),
    ...leader.completePoll("w1", { finished: [[`${jobId}.0.1.0`, "done"]] }),
  ];
  expect(effectsOf(later, "startTask").map(({ taskName }) => taskName))
    .toEqual([`${jobId}.0.1.0`]);
  expect(reportsOf(later)).toEqual([{ submissionId, kind: "done" }]);
});
