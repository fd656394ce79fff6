import { test } from "node:test";
import { expect } from "earl";
import type { CallerReply } from "../engine/types.ts";
import { expectedMsOf, queueOf } from "./configuration.ts";
import { Diagnostics, type Ran } from "./diagnostics.ts";
import {
  correctReplyToRetry,
  isJobOf,
  jobIdOf,
  toAnswer,
  toJobSpec,
} from "./job_translation.ts";
import { siteConfigurationSchema, submissionSchema } from "./schemas.ts";

const submission = submissionSchema.parse({
  service: "oficina",
  kind: "quote",
  tasks: [{ payload: { rib: 7 } }, { payload: "x", declaredMs: 90 }],
});
const configuration = siteConfigurationSchema.parse({
  services: { oficina: { kinds: { quote: {} } } },
  teams: {},
});

test("attempts with the same team and key share a job ID; others do not", () => {
  const id = jobIdOf("benches", "k");
  expect(jobIdOf("benches", "k")).toEqual(id);
  expect(jobIdOf("couriers", "k") === id).toEqual(false);
  expect(jobIdOf("benches", null) === jobIdOf("benches", null)).toEqual(false);
  expect(isJobOf("benches", id)).toEqual(true);
  expect(isJobOf("couriers", id)).toEqual(false);
});

test("a submission becomes one step per task, each started at most once", () => {
  const queue = queueOf(configuration, "benches", submission);
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
  expect(queueOf(configuration, "benches", { ...submission, kind: "none" }))
    .toEqual(null);
});

/** The `ran` value that callers receive for each reply of the engine. */
const replies: { name: string; reply: CallerReply; ran: Ran }[] = [
  { name: "failed", reply: { kind: "failed" }, ran: "yes" },
  {
    name: "cancelled before it started",
    reply: { kind: "cancelled", begun: false },
    ran: "no",
  },
  {
    name: "cancelled after it started",
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
  test(`the diagnostic states whether work was run: ${name}`, () => {
    const answer = toAnswer("j", reply);
    if (answer.kind !== "diagnostic") throw new Error(answer.kind);
    expect(Diagnostics[answer.diagnostic].ran).toEqual(ran);
  });
}

test("the answer of a complete job holds the result of each task", () => {
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

// Without a leader, an instance does not know whether an earlier attempt ran,
// so it must not tell the caller of a retry that nothing was run.
test("a possible retry without a leader is reported as of unknown outcome", () => {
  const reply = {
    kind: "refused" as const,
    reason: "noLeader" as const,
    retryAfterMs: 300,
  };
  const retryReply = correctReplyToRetry(reply, { isPossibleRetry: true });
  expect(retryReply.kind).toEqual("unknown");
  expect(correctReplyToRetry(reply, { isPossibleRetry: false })).toEqual(reply);
  const otherRefusal = { ...reply, reason: "overloaded" as const };
  expect(correctReplyToRetry(otherRefusal, { isPossibleRetry: true })).toEqual(
    otherRefusal,
  );
});

const inheritedNames = [
  { service: "oficina", kind: "constructor" },
  { service: "constructor", kind: "quote" },
  { service: "__proto__", kind: "toString" },
];

// A caller may name any kind. One that every object has got a queue without an
// objective, or ended the request with an internal error.
for (const names of inheritedNames) {
  test(`${names.service}/${names.kind} has no queue`, () => {
    expect(queueOf(configuration, "benches", { ...submission, ...names }))
      .toEqual(null);
    expect(expectedMsOf(configuration, { ...submission, ...names })).toEqual(0);
  });
}
