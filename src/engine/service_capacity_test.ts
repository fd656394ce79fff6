import { test } from "node:test";
import { expect } from "earl";
import { roomAfterMs, type ServiceCapacity } from "./service_capacity.ts";
import type { OwnedWorker } from "./types.ts";

/** Number of looks at the use of workers in this test file. */
let lookCount = 0;

/** A worker of 32 cores of which 28 are in use. */
const worker = {
  info: { cpuMilli: 32_000 },
  get usedCpuMilli() {
    lookCount += 1;
    return 28_000;
  },
} as unknown as OwnedWorker;

/** Two workers on which three tasks of 14 cores end one after the other. */
const capacity: ServiceCapacity = {
  state: null as never,
  workers: [worker, worker],
  cpuMilli: 64_000,
  maxIdleMilli: 4_000,
  releases: [
    { afterMs: 10, totalMilli: 14_000 },
    { afterMs: 20, totalMilli: 28_000 },
    { afterMs: 30, totalMilli: 42_000 },
  ],
};

const cases = [
  { name: "what is idle is enough", need: 8_000, task: 4_000, afterMs: 0 },
  { name: "the first end is needed", need: 9_000, task: 4_000, afterMs: 10 },
  { name: "idle CPU is of no use", need: 14_000, task: 14_000, afterMs: 10 },
  { name: "two ends are needed", need: 14_001, task: 14_000, afterMs: 20 },
  { name: "all ends are needed", need: 42_000, task: 14_000, afterMs: 30 },
  { name: "all ends don't suffice", need: 90_000, task: 14_000, afterMs: 30 },
];

for (const { name, need, task, afterMs } of cases) {
  test(`time until there is room: ${name}`, () => {
    const needed = { neededMilli: need, taskMilli: task };
    expect(roomAfterMs(capacity, needed)).toEqual(afterMs);
  });
}

// Near overload a leader asks this for each waiting job at each tick.
test("workers without a place are not looked at for each job", () => {
  lookCount = 0;
  roomAfterMs(capacity, { neededMilli: 28_000, taskMilli: 14_000 });
  expect(lookCount).toEqual(0);
});
