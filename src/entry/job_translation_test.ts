import { test } from "node:test";
import { expect } from "earl";
import type { CallerReply } from "../engine/types.ts";
import { queueOf } from "./configuration.ts";
import { Diagnostics, type Ran } from "./diagnostics.ts";
import {
  isJobOf,
  jobIdOf,
  toAnswer,
  toJobSpec,
  withoutRecord,
} from "./job_translation.ts";
import { siteConfigurationSchema, submissionSchema } from "./schemas.ts";

const submission = submissionSchema.parse({
  service: "oficina",
  kind: "quote",
  tasks: [{ payload: { rib: 7 } }, { payload: "x", declaredMs: 90 }],
});
const site = siteConfigurationSchema.parse({
  services: { oficina: { kinds: { quote: {} } } },
  teams: {},
});

test("every attempt under a key of a team is one job, and no other's", () => {
  const id = jobIdOf("benches", "k");
  expect(jobIdOf("benches", "k")).toEqual(id);
  expect(jobIdOf("couriers", "k") === id).toEqual(false);
  expect(jobIdOf("benches", null) === jobIdOf("benches", null)).toEqual(false);
  expect(isJobOf("benches", id)).toEqual(true);
  expect(isJobOf("couriers", id)).toEqual(false);
});

test("a submission is a step a task, and no task begins twice", () => {
  const queue = queueOf(site, "benches", submission);
  if (queue === null) throw new Error("no queue");
  const spec = toJobSpec(submission, {
    queue,
    expectedMs: 300,
    isRecorded: true,
  });
  expect(spec.steps.map(({ payload }) => payload)).toEqual([
    '{"rib":7}',
    '"x"',
  ]);
  expect(spec.steps.map(({ estimatedMs }) => estimatedMs)).toEqual([300, 90]);
  expect(spec.isAtMostOnce).toEqual(true);
  expect(spec.isRecorded).toEqual(true);
  expect(queueOf(site, "benches", { ...submission, kind: "none" }))
    .toEqual(null);
});

/** What callers are told about whether the work was run. */
const replies: { name: string; reply: CallerReply; ran: Ran }[] = [
  { name: "failed", reply: { kind: "failed" }, ran: "yes" },
  {
    name: "cancelled before it began",
    reply: { kind: "cancelled", begun: false },
    ran: "no",
  },
  {
    name: "cancelled after it began",
    reply: { kind: "cancelled", begun: true },
    ran: "unknown",
  },
  ...(["overloaded", "noLeader", "storeAway", "conflict"] as const).map(
    (reason) => ({
      name: `refused: ${reason}`,
      reply: { kind: "refused" as const, reason, retryAfterMs: 300 },
      ran: "no" as const,
    }),
  ),
  ...(["leaderLost", "deadline", "taskLost", "storeAway"] as const).map(
    (reason) => ({
      name: `unknown: ${reason}`,
      reply: { kind: "unknown" as const, reason },
      ran: "unknown" as const,
    }),
  ),
];

for (const { name, reply, ran } of replies) {
  test(`a caller is told the truth: ${name}`, () => {
    const answer = toAnswer("j", reply);
    if (answer.kind !== "diagnostic") throw new Error(answer.kind);
    expect(Diagnostics[answer.diagnostic].ran).toEqual(ran);
  });
}

test("a whole answer holds what each task returned", () => {
  const answer = toAnswer("j", { kind: "done", results: ['"a"', "7"] });
  expect(answer).toEqual({
    kind: "answer",
    answer: {
      jobId: "j",
      state: "complete",
      tasks: [{ end: "done", result: "a" }, { end: "done", result: 7 }],
    },
  });
});

test("a job submitted again is not said not to have run by who can't know", () => {
  const reply = {
    kind: "refused" as const,
    reason: "noLeader" as const,
    retryAfterMs: 300,
  };
  const again = withoutRecord(reply, { isSubmittedAgain: true });
  expect(again.kind).toEqual("unknown");
  expect(withoutRecord(reply, { isSubmittedAgain: false })).toEqual(reply);
  const told = { ...reply, reason: "overloaded" as const };
  expect(withoutRecord(told, { isSubmittedAgain: true })).toEqual(told);
});
