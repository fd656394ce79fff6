import { test } from "node:test";
import { expect } from "earl";
import { InvariantError } from "./debug.ts";
import type { JobSpec } from "./schemas.ts";
import {
  createTestInstance,
  createTestLeader,
  effectsOf,
  jobDamages,
  testHeartbeat,
  type TestInstance,
  testJob,
  testQueue,
  testSubmission,
} from "./testing.ts";
import type { Effect } from "./types.ts";

const FAULTY_ID = "00000000000000fa";
const OTHER_IDS = ["00000000000000aa", "00000000000000bb"] as const;

interface Submission {
  readonly jobId: string;
  readonly job?: JobSpec;
}

function submit(
  leader: TestInstance,
  { jobId, job = testJob(1) }: Submission,
): Effect[] {
  return leader.receive("p", testSubmission({ jobId, job }));
}

/** Outcomes that entries were told, by job id, as `kind` or `kind reason`. */
function collectOutcomes(
  outcomes: Map<string, string>,
  effects: readonly Effect[],
): void {
  for (const { message } of effectsOf(effects, "sendPeer")) {
    if (message.type !== "jobEnded") continue;
    const { jobId, outcome } = message;
    const reason = outcome.kind === "unknown" ? ` ${outcome.reason}` : "";
    if (!outcomes.has(jobId)) outcomes.set(jobId, `${outcome.kind}${reason}`);
  }
}

/** Runs a leader until nothing is left to do: starts succeed, runs complete. */
function runAll(
  leader: TestInstance,
  outcomes: Map<string, string>,
  pending: readonly Effect[],
): void {
  let effects = [...pending];
  for (let round = 0; round < 40; round += 1) {
    const next: Effect[] = [];
    for (const write of effectsOf(effects, "writeRecords")) {
      next.push(...leader.after(2, {
        type: "recordsWritten",
        writeId: write.writeId,
        outcome: { kind: "written", version: 10 + round },
      }));
    }
    for (const start of effectsOf(effects, "startTask")) {
      next.push(...leader.acknowledgeStart(start));
      next.push(...leader.tick());
      next.push(...leader.completePoll(start.workerId, {
        finished: [[start.taskName, "done"]],
      }));
    }
    for (const stop of effectsOf(effects, "stopTask")) {
      next.push(...leader.completePoll(stop.workerId, {
        finished: [[stop.taskName, "stopped"]],
      }));
    }
    next.push(...leader.tick());
    collectOutcomes(outcomes, effects);
    effects = next;
  }
  collectOutcomes(outcomes, effects);
}

for (const { name, job, isWaiting = false, damage } of jobDamages) {
  test(`a fault of one job ends only that job; ${name}`, () => {
    const leader = createTestLeader();
    leader.after(5, {
      type: "recordsOpened",
      term: leader.state.leaderTerm,
      outcome: { kind: "opened", records: [] },
    });
    leader.tick(2_000);
    const outcomes = new Map<string, string>();
    const pending: Effect[] = [];
    // Four tasks occupy both workers, so that the job has to wait.
    if (isWaiting) {
      pending.push(...submit(leader, { jobId: OTHER_IDS[0], job: testJob(4) }));
    }
    const submitted = submit(leader, {
      jobId: FAULTY_ID,
      ...(job !== undefined && { job }),
    });
    const writes = effectsOf(submitted, "writeRecords");
    for (const { writeId } of writes) {
      pending.push(...leader.after(2, {
        type: "recordsWritten",
        writeId,
        outcome: { kind: "written", version: 9 },
      }));
    }
    if (writes.length === 0) pending.push(...submitted);
    const faulty = leader.state.scheduler?.jobs.get(FAULTY_ID);
    if (faulty === undefined) throw new Error("the job was not submitted");
    damage(faulty);
    const others = isWaiting ? OTHER_IDS.slice(1) : OTHER_IDS;
    for (const jobId of others) pending.push(...submit(leader, { jobId }));
    runAll(leader, outcomes, pending);
    expect(outcomes.get(FAULTY_ID)).toEqual("unknown internalError");
    for (const jobId of OTHER_IDS) expect(outcomes.get(jobId)).toEqual("done");
    expect(leader.state.counters.jobFaults).toEqual(1);
    for (const worker of leader.state.scheduler?.workers.values() ?? []) {
      expect(worker.usedCpuMilli).toEqual(0);
    }
  });
}

test("a violated invariant of a worker ends the process and names the job", () => {
  const leader = createTestLeader();
  Object.assign(leader.state.guards, { hasRoom: () => true });
  submit(leader, { jobId: OTHER_IDS[0], job: testJob(2) });
  let thrown: unknown = null;
  try {
    submit(leader, { jobId: FAULTY_ID });
  } catch (error) {
    thrown = error;
  }
  expect(thrown instanceof InvariantError && thrown.invariant)
    .toEqual("cpu_within_capacity");
  expect(thrown instanceof InvariantError && thrown.jobId).toEqual(FAULTY_ID);
});

test("an entry answers a job that ended its leader and doesn't resubmit it", () => {
  const entry = createTestInstance({ peers: ["old", "new"] });
  const heartbeat = (term: number) => testHeartbeat({ isLeader: true, term });
  entry.receive("old", heartbeat(512));
  entry.after(0, {
    type: "callerSubmit",
    requestId: "r1",
    jobId: FAULTY_ID,
    queue: testQueue,
    job: testJob(1),
    timeoutMs: 6_000,
    answerAt: "ended",
  });
  const effects = entry.receive("old", { type: "jobFault", jobId: FAULTY_ID });
  expect(effectsOf(effects, "answerCaller").map(({ reply }) => reply))
    .toEqual([{ kind: "unknown", reason: "internalError" }]);
  const followed = entry.receive("new", heartbeat(1_024));
  const submits = effectsOf(followed, "sendPeer")
    .filter(({ message }) => message.type === "submit");
  expect(submits).toEqual([]);
});

test("the next leader doesn't start a job that ended the previous one", () => {
  const leader = createTestLeader();
  leader.receive("p", { type: "jobFault", jobId: FAULTY_ID });
  const outcomes = new Map<string, string>();
  const effects = submit(leader, { jobId: FAULTY_ID });
  runAll(leader, outcomes, [
    ...effects,
    ...submit(leader, { jobId: OTHER_IDS[0] }),
  ]);
  expect(outcomes.get(FAULTY_ID)).toEqual("unknown internalError");
  expect(outcomes.get(OTHER_IDS[0])).toEqual("done");
});
