import { test } from "node:test";
import { expect } from "earl";
import {
  createTestInstance,
  effectsOf,
  testHeartbeat,
  type TestInstance,
  testInstanceInfo,
  testJob,
  testQueue,
} from "./testing.ts";
import type { Effect } from "./types.ts";

const JOB_ID = "00000000000000aa";

function hearLeader(entry: TestInstance, leaderId: string, term: number) {
  const heartbeat = testHeartbeat({
    sentAtMs: entry.state.nowMs,
    isLeader: true,
    leaderId,
    term,
    hasZoneCells: true,
    waitMsByService: { s: 0 },
  });
  return entry.receive(leaderId, heartbeat);
}

function submit(entry: TestInstance): Effect[] {
  return entry.after(0, {
    type: "callerSubmit",
    requestId: "r",
    jobId: JOB_ID,
    queue: testQueue,
    job: testJob(1),
    timeoutMs: 6_000,
    answerAt: "ended",
  });
}

const leave = (entry: TestInstance): Effect[] =>
  entry.after(0, { type: "callerGone", requestId: "r", jobId: JOB_ID });

/** An entry that follows the leader `a`; `z` is the leader of another cell. */
function createEntry(): TestInstance {
  const entry = createTestInstance({ peers: ["a", "b"] });
  const distant = { ...testInstanceInfo("z"), availabilityZone: "caxias" };
  entry.after(0, { type: "instancesRead", instances: [distant] });
  entry.after(0, { type: "peerUp", instanceId: "z" });
  hearLeader(entry, "a", 900);
  hearLeader(entry, "z", 800);
  entry.tick();
  return entry;
}

/** The leader `a` refuses the job for lack of capacity. */
function refuse(entry: TestInstance): Effect[] {
  const job = entry.state.callerJobs.get(JOB_ID);
  return entry.receive("a", {
    type: "jobEnded",
    jobId: JOB_ID,
    submissionId: `${job?.submissionPrefix}.${job?.submissionCount}`,
    outcome: { kind: "refused", reason: "overloaded", retryAfterMs: 0 },
  });
}

const submissionsIn = (effects: readonly Effect[]): number =>
  effectsOf(effects, "sendPeer")
    .filter(({ message }) => message.type === "submit").length;

const delays: {
  name: string;
  end: (entry: TestInstance, delayMs: number) => void;
}[] = [
  {
    name: "paused",
    end: (entry, pausedMs) =>
      void entry.after(pausedMs, { type: "processPaused", pausedMs }),
  },
  {
    name: "busy",
    end: (entry, busyMs) =>
      void entry.after(busyMs, { type: "processBusy", busyMs }),
  },
];

/** What an entry handles first after a delay, beside `job`, which it has. */
const firstEvents: {
  name: string;
  hasJob: boolean;
  apply: (entry: TestInstance) => Effect[];
}[] = [
  { name: "its request", hasJob: false, apply: submit },
  {
    name: "a heartbeat of another leader",
    hasJob: true,
    apply: (entry) => hearLeader(entry, "b", 901),
  },
  {
    name: "a new connection to its leader",
    hasJob: true,
    apply: (entry) => entry.after(0, { type: "peerUp", instanceId: "a" }),
  },
  {
    name: "the first message on a connection of its leader",
    hasJob: true,
    apply: (entry) =>
      entry.receive("a", {
        type: "hello",
        instance: testInstanceInfo("a"),
        known: [],
      }),
  },
  { name: "a refusal by its leader", hasJob: true, apply: refuse },
];

/** Applies an event as the first one after a delay of an entry. */
function wake(
  { hasJob, apply }: typeof firstEvents[number],
  { end }: typeof delays[number],
): { entry: TestInstance; effects: Effect[] } {
  const entry = createEntry();
  if (hasJob) submit(entry);
  end(entry, 1_500);
  return { entry, effects: [...apply(entry), ...entry.tick(1)] };
}

// The caller has left meanwhile and has its job run by another leader. The
// request and the end of its connection are read one after the other.
for (const delay of delays) {
  for (const event of firstEvents) {
    test(`an entry that was ${delay.name} submits no job of a caller that has left: ${event.name}`, () => {
      const { entry, effects } = wake(event, delay);
      const later = [...effects, ...leave(entry)];
      for (let ms = 0; ms < 1_000; ms += 25) later.push(...entry.tick());
      expect(submissionsIn(later)).toEqual(0);
    });

    test(`an entry that was ${delay.name} submits the job of a caller that waits within 75 ms: ${event.name}`, () => {
      const { entry, effects } = wake(event, delay);
      for (let ms = 0; ms < 75; ms += 25) effects.push(...entry.tick());
      expect(submissionsIn(effects)).toEqual(1);
    });
  }
}

test("an entry that was not delayed submits a job at once", () => {
  expect(submissionsIn(submit(createEntry()))).toEqual(1);
});
