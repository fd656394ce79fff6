import { test } from "node:test";
import { expect } from "earl";
import { encodeJob, encodeUncheckedJob } from "../platform/soak/wire.ts";
import type { Step } from "../src/engine/schemas.ts";
import {
  callJob,
  callOrdinary,
  isAlive,
  newJobId,
  startTestFleet,
  type TestFleet,
} from "./fleet.ts";

/** Heap limit of the processes, as on the smallest machine. */
const HEAP_MB = 160;
const MAX_FDS = 900;
/** Number of times that a request is sent, with a new job ID each. */
const ATTEMPTS = 3;
/** Number of ordinary requests, and of cancellations, after each request. */
const ORDINARY = 5;

const task = { cpuMilli: 0, memoryMb: 0, accelerators: 0, estimatedMs: 20 };

interface Request {
  readonly name: string;
  /** The fields of the steps in which they differ from `task`. */
  readonly steps: readonly Partial<Step>[];
  /** Specification beside that of the run; none by default. */
  readonly padding?: string;
  /** Statuses with which it may be answered, stored and in memory. */
  readonly stored: readonly number[];
  readonly inMemory: readonly number[];
}

const served = { stored: [200], inMemory: [200, 429] };
const large = { stored: [200, 429], inMemory: [200, 429, 504] };
const wide = { stored: [200, 400], inMemory: [200, 429, 504] };
const invalid = { stored: [400], inMemory: [400] };
const unserved = { stored: [200, 429, 503], inMemory: [429, 503] };
const unrecorded = { stored: [400], inMemory: [200, 429] };
const manySteps = Array.from({ length: 1_025 }, () => ({ count: 1 }));
const dependentSteps = Array.from({ length: 512 }, (_, index) => ({
  after: index < 200 ? Array.from({ length: index }, (_, at) => at) : [],
}));
const repeated = Array<number>(125_000).fill(0);

const requests: Request[] = [
  { name: "512 tasks", steps: [{ count: 512 }], ...served },
  { name: "60,000 tasks", steps: [{ count: 60_000 }], ...large },
  { name: "65,537 tasks", steps: [{ count: 65_537 }], ...invalid },
  { name: "2^53 - 1 tasks", steps: [{ count: 2 ** 53 - 1 }], ...invalid },
  { name: "1,025 steps", steps: manySteps, ...invalid },
  { name: "steps with many earlier ones", steps: dependentSteps, ...wide },
  { name: "a repeated step", steps: [{}, { after: repeated }], ...served },
  { name: "a later step", steps: [{ after: [1] }, {}], ...invalid },
  { name: "infinite CPU", steps: [{ count: 2, cpuMilli: 1e308 }], ...invalid },
  {
    name: "the largest CPU",
    steps: [{ count: 2, cpuMilli: 1e9 }],
    ...unserved,
  },
  { name: "the least CPU", steps: [{ cpuMilli: 5e-324 }], ...served },
  { name: "too much memory", steps: [{ memoryMb: 1e308 }], ...invalid },
  { name: "runs of 30,000 years", steps: [{ estimatedMs: 1e15 }], ...invalid },
  { name: "runs of a day", steps: [{ estimatedMs: 86_400_000 }], ...served },
  { name: "the shortest runs", steps: [{ estimatedMs: 5e-324 }], ...served },
  {
    name: "4,000 bytes of long characters",
    steps: [{}],
    padding: "\u3042".repeat(1_300),
    ...served,
  },
  {
    name: "120,000 bytes of long characters",
    steps: [{}],
    padding: "\u3042".repeat(40_000),
    ...unrecorded,
  },
];

function bodyOf(
  { steps, padding = "" }: Request,
  isRecorded: boolean,
): string {
  const spec = JSON.stringify({ runMs: 20, cpuMilli: 0, padding });
  const job = { spec, steps: steps.map((step) => ({ ...task, ...step })) };
  return JSON.stringify(encodeUncheckedJob({ ...job, isRecorded }));
}

/** Stores jobs that run for long, to be cancelled later; returns their ids. */
async function storeLongJobs({ entry }: TestFleet): Promise<string[]> {
  const body = JSON.stringify(encodeJob({
    spec: JSON.stringify({ runMs: 60_000, cpuMilli: 1 }),
    tasks: 1,
    cpuMilli: 1,
    runMs: 60_000,
    isRecorded: true,
  }));
  const jobIds = Array.from({ length: ORDINARY }, newJobId);
  const statuses = await Promise.all(
    jobIds.map((jobId) => callJob(entry, { method: "POST", jobId, body })),
  );
  expect(statuses).toEqual(jobIds.map(() => 200));
  return jobIds;
}

// What one request says is added up, gone through, stored and sent on. Each of
// these ended processes, stopped the records or refused the jobs of others.
for (const isRecorded of [true, false]) {
  const kind = isRecorded ? "stored" : "in memory";
  test(`other callers are served beside single requests of jobs ${kind}`, async (context) => {
    const fleet = await startTestFleet({ heapMb: HEAP_MB, maxFds: MAX_FDS });
    const { entry, leader } = fleet;
    try {
      for (const request of requests) {
        await context.test(`${request.name}, ${kind}`, async () => {
          const jobIds = await storeLongJobs(fleet);
          const body = bodyOf(request, isRecorded);
          const allowed = isRecorded ? request.stored : request.inMemory;
          for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
            const call = { method: "POST", jobId: newJobId(), body } as const;
            const status = await callJob(entry, call);
            expect(allowed.includes(status)).toEqual(true);
          }
          for (const jobId of jobIds) {
            expect(await callOrdinary(entry)).toEqual(200);
            expect(await callJob(entry, { method: "DELETE", jobId }))
              .toEqual(200);
          }
          expect([isAlive(entry), isAlive(leader)]).toEqual([true, true]);
        });
      }
    } finally {
      await fleet.stop();
    }
  });
}
