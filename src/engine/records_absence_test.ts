import { test } from "node:test";
import { expect } from "earl";
import type { WorkerInfo } from "./schemas.ts";
import {
  createTestInstance,
  effectsOf,
  type TestInstance,
  testSubmission,
  testWorker,
} from "./testing.ts";
import type { Effect, RecordsCheck } from "./types.ts";

/** Enough workers for a leader in each of two zones; one is of this zone. */
const WORKERS: readonly WorkerInfo[] = Array.from(
  { length: 101 },
  (_, index) => ({
    ...testWorker(`w${index}`),
    availabilityZone: index === 0 ? "poa" : "caxias",
  }),
);
/** Latest time at which a lease of a previous owner ends, from its reading on. */
const MAX_LEASE_MS = 1_080;

/**
 * A leader whose zone does not have the records, after all instances have
 * started again. Its worker lists a completion of a job that nobody knows.
 */
function createStartedLeader(): TestInstance {
  const leader = createTestInstance();
  leader.state.recordsExist = true;
  leader.after(0, { type: "workersRead", workers: [...WORKERS] });
  leader.tick(1_000);
  leader.after(5, {
    type: "holderRead",
    term: leader.state.scheduler?.records.term ?? 0,
    outcome: {
      kind: "read",
      holder: { version: 4, instanceId: "c", availabilityZone: "caxias" },
    },
  });
  return leader;
}

/** Lists the unknown completion; returns the time of the call that follows. */
function readLists(leader: TestInstance): number {
  leader.completePoll("w0", { finished: [["b0.0.0.0", "done"]] });
  const [check] = effectsOf(leader.tick(), "checkRecords");
  expect(check?.term).toEqual(leader.state.scheduler?.term);
  return check?.sentAtMs ?? NaN;
}

function answer(
  leader: TestInstance,
  { outcome, sentAtMs }: { outcome: RecordsCheck; sentAtMs: number },
): void {
  const term = leader.state.scheduler?.term ?? 0;
  leader.after(5, { type: "recordsChecked", term, sentAtMs, outcome });
}

/** Submits a job by an entry that has followed the previous leader. */
function submit(leader: TestInstance, jobId: string): Effect[] {
  return leader.receive("p", testSubmission({ jobId }));
}

const answers: {
  name: string;
  outcome: RecordsCheck;
  /** How long before the call that was sent the answered one was. */
  earlierMs: number;
  startsEarly: boolean;
}[] = [
  {
    name: "the store has no records",
    outcome: { kind: "none" },
    earlierMs: 0,
    startsEarly: true,
  },
  {
    name: "the store had no records before the lists were read",
    outcome: { kind: "none" },
    earlierMs: 100,
    startsEarly: false,
  },
  {
    name: "the store may have records",
    outcome: { kind: "mayExist" },
    earlierMs: 0,
    startsEarly: false,
  },
  {
    name: "the store is unavailable",
    outcome: { kind: "unavailable", detail: "timeout" },
    earlierMs: 0,
    startsEarly: false,
  },
];

// Guards against a second without starts after all instances lost power, and
// against the loss of a recorded completion that is mistaken for another one.
for (const { name, outcome, earlierMs, startsEarly } of answers) {
  test(`a started leader ${startsEarly ? "starts a job" : "waits for leases"} if ${name}`, () => {
    const leader = createStartedLeader();
    const sentAtMs = readLists(leader) - earlierMs;
    answer(leader, { outcome, sentAtMs });
    leader.tick(100);
    const early = submit(leader, "n1");
    expect(effectsOf(early, "startTask").length > 0).toEqual(startsEarly);
    const worker = leader.state.scheduler?.workers.get("w0");
    expect(worker?.orphanCompletions.length).toEqual(startsEarly ? 0 : 1);
    leader.tick(MAX_LEASE_MS);
    const later = submit(leader, "n2");
    expect(effectsOf(later, "startTask").length).toEqual(1);
  });
}

test("a leader asks again only once completions were read after the proof", () => {
  const leader = createStartedLeader();
  answer(leader, { outcome: { kind: "none" }, sentAtMs: readLists(leader) });
  expect(effectsOf(leader.tick(1_000), "checkRecords")).toEqual([]);
});

test("a leader of a single cell does not ask, since it reads the records", () => {
  const leader = createTestInstance();
  leader.state.recordsExist = true;
  leader.after(0, { type: "workersRead", workers: [testWorker("w0")] });
  leader.tick(1_000);
  leader.tick();
  leader.completePoll("w0", { finished: [["b0.0.0.0", "done"]] });
  expect(effectsOf(leader.tick(), "checkRecords")).toEqual([]);
});
