import { test } from "node:test";
import { expect } from "earl";
import { jobBounds } from "./job_bounds.ts";
import { checkCapacityInUse } from "./job_faults.ts";
import { jobSpecSchema, peerMessageSchema, type Step } from "./schemas.ts";
import {
  confirmWrites,
  createTestInstance,
  createTestLeader,
  effectsOf,
  messagesOf,
  openRecords,
  testHeartbeat,
  type TestInstance,
  testJob,
  testSubmission,
  testWorker,
} from "./testing.ts";
import type { Effect } from "./types.ts";

const step = testJob(1).steps[0]!;
const { cpuMilli, estimatedMs } = jobBounds;
/** Steps of a job with a record that fits a row. */
const STEPS = 64;

function createLeader({ hasZoneCells }: { hasZoneCells: boolean }) {
  const leader = createTestInstance({ peers: ["p"] });
  leader.after(0, { type: "workersRead", workers: [testWorker("w1")] });
  while (leader.state.scheduler === null) {
    leader.receive("p", testHeartbeat());
    leader.tick(100);
  }
  leader.completePoll("w1");
  leader.state.hasZoneCells = hasZoneCells;
  return leader;
}

/** Passes a second and returns the heartbeats as the peer receives them. */
function heartbeatsOf(leader: TestInstance): unknown[] {
  const effects: Effect[] = [];
  for (let round = 0; round < 10; round += 1) {
    leader.receive("p", testHeartbeat());
    effects.push(...leader.tick(100));
  }
  return messagesOf(effects, "heartbeat")
    .map((message) => JSON.parse(JSON.stringify(message)));
}

const endless = { ...step, estimatedMs: 1e308 };
const jobs: { name: string; steps: Step[] }[] = [
  {
    name: "an infinite sum of CPU",
    steps: [{ ...step, count: 2, cpuMilli: 1e308 }],
  },
  {
    name: "an infinite critical path",
    steps: [endless, { ...endless, after: [0] }],
  },
  {
    name: "the largest numbers within the bounds",
    steps: Array.from({ length: STEPS }, (_, index) => ({
      ...step,
      cpuMilli,
      estimatedMs,
      count: jobBounds.tasks / STEPS,
      after: index === 0 ? [] : [index - 1],
    })),
  },
];

// A heartbeat with an infinite number is one without it, as JSON has no form for
// it. The peers ignored all heartbeats, and elected another leader each time.
for (const { name, steps } of jobs) {
  for (const hasZoneCells of [false, true]) {
    const cells = hasZoneCells ? "a zone" : "all zones";
    test(`heartbeats of a leader of ${cells} are valid beside a job with ${name}`, () => {
      const leader = createLeader({ hasZoneCells });
      openRecords(leader);
      const job = { spec: "", steps, isRecorded: true };
      const message = testSubmission({ jobId: "00000000000000aa", job });
      confirmWrites(leader, leader.receive("p", message));
      const waiting = leader.state.scheduler?.waiting.get("s");
      expect(waiting?.length).toEqual(1);
      const heartbeats = heartbeatsOf(leader);
      expect(heartbeats.length > 0).toEqual(true);
      for (const heartbeat of heartbeats) {
        const { success } = peerMessageSchema.safeParse(heartbeat);
        expect(success).toEqual(true);
      }
    });
  }
}

const outOfBounds: { field: string; value: number }[] = [
  { field: "count", value: jobBounds.tasks + 1 },
  { field: "count", value: 0 },
  { field: "cpuMilli", value: 2 * cpuMilli },
  { field: "cpuMilli", value: 1e308 },
  { field: "memoryMb", value: 1e308 },
  { field: "accelerators", value: 1e308 },
  { field: "estimatedMs", value: 1e12 },
  { field: "estimatedMs", value: -5e-324 },
];

for (const { field, value } of outOfBounds) {
  test(`a job with ${field} of ${value} is invalid in messages and records`, () => {
    const job = { spec: "", steps: [{ ...step, [field]: value }] };
    const { error } = jobSpecSchema.safeParse(job);
    expect(error?.issues[0]?.path).toEqual(["steps", 0, field]);
  });
}

// The check of this sum ended leaders after the fault of any job.
test("the capacity in use is the sum of the runs beside fractions", () => {
  const leader = createTestLeader();
  const starts = [0.1, 0.1, 0.2, 0.2, 0.7, 0.7].flatMap((cpuMilli, index) => {
    const jobId = `000000000000000${index}`;
    const job = { spec: "", steps: [{ ...step, cpuMilli }] };
    const effects = leader.receive("p", testSubmission({ jobId, job }));
    return effectsOf(effects, "startTask");
  });
  expect(starts.length).toEqual(6);
  for (const start of starts) {
    leader.acknowledgeStart(start);
    leader.tick();
    leader.completePoll(start.workerId, {
      finished: [[start.taskName, "done"]],
    });
    checkCapacityInUse(leader.state.scheduler?.workers.values() ?? []);
  }
});
