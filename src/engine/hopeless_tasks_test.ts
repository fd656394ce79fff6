import { test } from "node:test";
import { expect } from "earl";
import type { Step } from "./schemas.ts";
import {
  answerPolls,
  confirmWrites,
  createTestLeader,
  effectsOf,
  messagesOf,
  openRecords,
  testJob,
  testSubmission,
} from "./testing.ts";

const JOB_ID = "00000000000000aa";
const OTHER_JOB_ID = "00000000000000bb";
const step = testJob(1).steps[0]!;

/** What no worker has. */
const demands: { name: string; demand: Partial<Step> }[] = [
  { name: "CPU", demand: { cpuMilli: 1e9, count: 60_000 } },
  { name: "memory", demand: { memoryMb: 1e9, count: 60_000 } },
  { name: "an accelerator", demand: { accelerators: 1 } },
  { name: "a label", demand: { requiredLabel: "unknown", count: 60_000 } },
];

/** Submits a stored job to a leader whose workers have been idle for a minute. */
function submitStored(steps: readonly Step[]) {
  const leader = createTestLeader();
  openRecords(leader);
  for (let ms = 0; ms < 60_000; ms += 500) {
    answerPolls(leader, leader.tick(500));
  }
  const job = { spec: "", steps: [...steps], isRecorded: true };
  const message = testSubmission({ jobId: JOB_ID, job });
  const effects = confirmWrites(leader, leader.receive("p", message));
  effects.push(...answerPolls(leader, effects));
  return { leader, effects };
}

// An accepted job that can't be done waits for good. Its tasks counted as work
// before every later job, which was refused.
for (const { name, demand } of demands) {
  test(`a stored job that needs ${name} that no worker has refuses no other`, () => {
    const { leader } = submitStored([{ ...step, ...demand }]);
    leader.tick();
    const message = testSubmission({ jobId: OTHER_JOB_ID, timeLeftMs: 1_500 });
    const effects = leader.receive("p", message);
    effects.push(...answerPolls(leader, effects));
    expect(messagesOf(effects, "jobEnded")).toEqual([]);
    expect(effectsOf(effects, "startTask").length).toEqual(1);
  });

  test(`a step that needs ${name} that no worker has doesn't hold up the others`, () => {
    const { effects } = submitStored([{ ...step, ...demand }, step]);
    expect(effectsOf(effects, "startTask").map(({ taskName }) => taskName))
      .toEqual([`${JOB_ID}.0.1.0`]);
  });
}
