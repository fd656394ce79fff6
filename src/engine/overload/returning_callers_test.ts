import { test } from "node:test";
import { expect } from "earl";
import {
  createTestLeader,
  effectsOf,
  messagesOf,
  testConfiguration,
  type TestInstance,
  testJob,
  testQueue,
  testSubmission,
} from "../testing.ts";
import type { Effect, RefusalReason } from "../types.ts";

const laterQueue = { ...testQueue, name: "later", priority: 2 };
/** Time for which the callers of first attempts wait. */
const USUAL_MS = 2_000;

/** The leader of a zone, with two workers, which knows the usual time. */
function createLeader({ isCell }: { isCell: boolean }): TestInstance {
  const leader = createTestLeader();
  leader.after(0, {
    type: "configurationRead",
    configuration: {
      ...testConfiguration,
      version: 2,
      queues: [testQueue, laterQueue],
    },
  });
  leader.state.hasZoneCells = isCell;
  setFull(leader, true);
  for (let index = 0; index < 25; index += 1) {
    const jobId = `usual${index}`;
    submit(leader, jobId, USUAL_MS + 10 * index);
    leader.receive("p", { type: "withdraw", jobId });
  }
  setFull(leader, false);
  return leader;
}

/** Sets whether the workers have no room for a task, without any run. */
function setFull({ state }: TestInstance, isFull: boolean): void {
  for (const worker of state.scheduler?.workers.values() ?? []) {
    worker.usedCpuMilli = isFull ? worker.info.cpuMilli : 0;
  }
}

function submit(
  leader: TestInstance,
  jobId: string,
  timeLeftMs: number,
): Effect[] {
  const job = testJob(1);
  return leader.receive("p", testSubmission({ jobId, job, timeLeftMs }));
}

const cases: {
  name: string;
  isCell: boolean;
  callerMs: number;
  isFull: boolean;
  outcome: "starts" | "waits" | "is refused";
}[] = [
  {
    name: "comes again and finds room",
    isCell: true,
    callerMs: 700,
    isFull: false,
    outcome: "starts",
  },
  {
    name: "comes again and finds no room",
    isCell: true,
    callerMs: 700,
    isFull: true,
    outcome: "is refused",
  },
  {
    name: "comes for the first time and finds no room",
    isCell: true,
    callerMs: 1_600,
    isFull: true,
    outcome: "waits",
  },
  {
    name: "comes again in a fleet of one cell",
    isCell: false,
    callerMs: 700,
    isFull: true,
    outcome: "waits",
  },
];

// After a loss of power, callers whose answers would be late in any case took the
// workers from those who had just come, and nearly all were late.
for (const { name, isCell, callerMs, isFull, outcome } of cases) {
  test(`a job whose caller ${name} ${outcome}`, () => {
    const leader = createLeader({ isCell });
    // Each of the two workers has room for two tasks.
    for (let index = 0; isFull && index < 4; index += 1) {
      submit(leader, `running${index}`, USUAL_MS);
    }
    const effects = submit(leader, "j1", callerMs);
    const starts = effectsOf(effects, "startTask").length;
    const refused = messagesOf(effects, "jobEnded")
      .filter((message) => message.outcome.kind === "refused").length;
    expect({ starts, refused }).toEqual({
      starts: outcome === "starts" ? 1 : 0,
      refused: outcome === "is refused" ? 1 : 0,
    });
  });
}

const leaseCases: {
  isCell: boolean;
  refusal: { reason: RefusalReason; retryAfterMs: number };
}[] = [
  { isCell: true, refusal: { reason: "noWorker", retryAfterMs: 1_080 } },
  { isCell: false, refusal: { reason: "overloaded", retryAfterMs: 250 } },
];

// After a loss of all instances, callers were told that others had the workers,
// which were idle, and to come again before any could be used.
for (const { isCell, refusal } of leaseCases) {
  test(`a job that waits for leases of an unknown leader is refused as ${refusal.reason}`, () => {
    const leader = createLeader({ isCell });
    const job = testJob(1);
    leader.receive(
      "p",
      testSubmission({
        jobId: "j1",
        job,
        timeLeftMs: USUAL_MS,
        previousList: { kind: "unknown" },
      }),
    );
    const [held] = [...leader.state.scheduler?.jobs.values() ?? []].slice(-1);
    if (held === undefined) throw new Error("no job");
    held.previousRunsExpireAtMs = leader.state.nowMs + 1_080 + 200;
    const effects = leader.tick(200);
    const outcomes = messagesOf(effects, "jobEnded")
      .map(({ outcome }) => outcome);
    expect(outcomes).toEqual([{ kind: "refused", ...refusal }]);
  });
}
