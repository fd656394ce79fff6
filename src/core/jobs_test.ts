import { test } from "node:test";
import { expect } from "earl";
import type { PeerMessage } from "./schemas.ts";
import type { Effect, SendOutcome } from "./types.ts";
import { reduce } from "./reduce.ts";
import { coreWithUpstreams, effectsOf, fromPeer, submit } from "./testing.ts";

function answers(effects: readonly Effect[]): (string | undefined)[] {
  return effectsOf(effects, "replyCaller").map(({ reply }) =>
    reply.kind === "answer"
      ? reply.answer.diagnostic ?? reply.answer.state
      : reply.kind
  );
}

const done = (taskId: string): SendOutcome => ({
  kind: "done",
  taskId,
  result: "r",
});

/** How the only task's send ends, and what the caller is told. */
const outcomes: {
  name: string;
  outcome: (taskId: string) => SendOutcome;
  told: string[];
  sends: number;
}[] = [
  { name: "done", outcome: done, told: ["complete"], sends: 1 },
  {
    name: "failed",
    outcome: (taskId) => ({ kind: "failed", taskId, detail: "" }),
    told: ["taskFailed"],
    sends: 1,
  },
  {
    name: "a reset after sending is not tried again",
    outcome: () => ({ kind: "unknown", detail: "reset" }),
    told: ["taskUnknown"],
    sends: 1,
  },
  {
    name: "refused before the start is tried again",
    outcome: () => ({ kind: "notRun", detail: "refused" }),
    told: [],
    sends: 2,
  },
  {
    name: "another task's answer is unknown",
    outcome: (taskId) => done(`${taskId}0`),
    told: ["taskUnknown"],
    sends: 1,
  },
];

for (const { name, outcome, told, sends } of outcomes) {
  test(`send ended: ${name}`, () => {
    const core = coreWithUpstreams(2, 2);
    const [send] = effectsOf(reduce(core, submit({ nowMs: 1 })), "sendTask");
    if (send === undefined) throw new Error("nothing was sent");
    const event = {
      type: "sendEnded",
      nowMs: 5,
      sendId: send.sendId,
      outcome: outcome(send.taskId),
    } as const;
    const effects = reduce(core, event);
    expect(answers(effects)).toEqual(told);
    expect(core.counters.tasksSent).toEqual(sends);
  });
}

test("a second answer to one send is counted and dropped", () => {
  const core = coreWithUpstreams(1, 2);
  const [send] = effectsOf(reduce(core, submit({ nowMs: 1 })), "sendTask");
  const outcome = done(send?.taskId ?? "");
  const sendId = send?.sendId ?? "";
  reduce(core, { type: "sendEnded", nowMs: 5, sendId, outcome });
  const again = reduce(core, { type: "sendEnded", nowMs: 6, sendId, outcome });
  expect(again).toEqual([]);
  expect(core.counters.answersUnmatched).toEqual(1);
});

const deadlines = [
  { name: "nothing was sent", upstreams: 0, told: ["noUpstream"] },
  { name: "a task was sent", upstreams: 1, told: ["deadlineExceeded"] },
];

for (const { name, upstreams, told } of deadlines) {
  test(`deadline: ${name}`, () => {
    const core = coreWithUpstreams(upstreams, 2);
    reduce(core, submit({ nowMs: 1 }));
    const nowMs = 30_002;
    const effects = reduce(core, { type: "tick", nowMs, wallMs: nowMs });
    expect(answers(effects)).toEqual(told);
  });
}

test("cancel while claiming is answered as unknown", () => {
  const core = coreWithUpstreams(1, 2);
  reduce(core, submit({ nowMs: 1, key: "k", attempt: 1 }));
  const jobIds = [...core.jobs.keys()];
  const event = {
    type: "callerCancel",
    nowMs: 2,
    requestId: "c",
    team: "benches",
    jobIds,
  } as const;
  expect(answers(reduce(core, event))).toEqual(["outcomeUnknown", "accepted"]);
});

test("another team cannot cancel a job", () => {
  const core = coreWithUpstreams(1, 2);
  reduce(core, submit({ nowMs: 1 }));
  const jobIds = [...core.jobs.keys()];
  const event = {
    type: "callerCancel",
    nowMs: 2,
    requestId: "c",
    team: "couriers",
    jobIds,
  } as const;
  expect(answers(reduce(core, event))).toEqual(["accepted"]);
});

test("a later attempt that joins is not told 'not run' of the first", () => {
  const core = coreWithUpstreams(1, 2);
  reduce(core, submit({ nowMs: 1, key: "k", attempt: 1 }));
  reduce(core, submit({ nowMs: 9, key: "k", attempt: 2, requestId: "r2" }));
  let effects: Effect[] = [];
  for (let nowMs = 20; nowMs < 2_000; nowMs += 20) {
    effects = effects.concat(reduce(core, { type: "tick", nowMs, wallMs: 0 }));
  }
  expect(answers(effects)).toEqual(["outcomeUnknown", "outcomeUnknown"]);
});

test("a first attempt alone is told that nothing was run", () => {
  const core = coreWithUpstreams(1, 2);
  reduce(core, submit({ nowMs: 1, key: "caxias:k", attempt: 1 }));
  let effects: Effect[] = [];
  for (let nowMs = 20; nowMs < 2_000; nowMs += 20) {
    effects = effects.concat(reduce(core, { type: "tick", nowMs, wallMs: 0 }));
  }
  expect(answers(effects)).toEqual(["registrarsUnreachable"]);
});

test("an attempt that a refusal overtook is answered as unknown", () => {
  const core = coreWithUpstreams(1, 2);
  const sent = reduce(core, submit({ nowMs: 1, key: "caxias:k", attempt: 1 }));
  const [claim] = effectsOf(sent, "sendPeer").map(({ message }) => message);
  if (claim?.type !== "claim") throw new Error("nothing was claimed");
  const reply: PeerMessage = {
    type: "claimReply",
    claimId: claim.claimId,
    group: claim.group,
    role: claim.role,
    verdict: "superseded",
    registrar: { slot: claim.group, incarnation: 1 },
    partner: null,
  };
  const effects = reduce(core, fromPeer(claim.group, reply, { nowMs: 3 }));
  expect(answers(effects)).toEqual(["outcomeUnknown"]);
});

test("a drain that was frozen waits for requests that lie unread", () => {
  const core = coreWithUpstreams(1, 2);
  reduce(core, { type: "tick", nowMs: 20, wallMs: 0 });
  reduce(core, { type: "drainRequested", nowMs: 30 });
  const resumed = reduce(core, { type: "tick", nowMs: 5_000, wallMs: 0 });
  expect(effectsOf(resumed, "drained").length).toEqual(0);
  let effects: Effect[] = [];
  for (let nowMs = 5_020; nowMs <= 6_020; nowMs += 20) {
    effects = effects.concat(reduce(core, { type: "tick", nowMs, wallMs: 0 }));
  }
  expect(effectsOf(effects, "drained").length).toEqual(1);
});
