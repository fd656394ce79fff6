import { test } from "node:test";
import { expect } from "earl";
import type { CoreState, Effect } from "./types.ts";
import type { PeerMessage } from "./schemas.ts";
import { reduce } from "./reduce.ts";
import { effectsOf, fromPeer, heartbeat, submit, testCore } from "./testing.ts";

function lender(): CoreState {
  const core = testCore("poa-1");
  reduce(core, fromPeer("poa-2", heartbeat(), { nowMs: 5 }));
  reduce(core, {
    type: "membershipRead",
    nowMs: 6,
    membershipVersion: 1,
    upstreams: [{
      id: "x",
      service: "oficina",
      availabilityZone: "poa",
      address: "127.0.0.1:1",
      slots: 8,
      state: "live",
    }],
  });
  return core;
}

function borrow(
  core: CoreState,
  slots: number,
  { nowMs, waitedMs = 5 }: { nowMs: number; waitedMs?: number },
): string[] {
  const message: PeerMessage = {
    type: "borrow",
    service: "oficina",
    slots,
    waitedMs,
    nextRunMs: 300,
    expectedMs: 3_000,
    urgency: 5,
    tasksLeft: slots,
  };
  const effects = reduce(core, fromPeer("poa-2", message, { nowMs }));
  return lentIn(effects);
}

function lentIn(effects: readonly Effect[]): string[] {
  return effectsOf(effects, "sendPeer").flatMap(({ message }) =>
    message.type === "lend" ? message.upstreamIds : []
  );
}

function lent(core: CoreState): number {
  return core.upstreams.get("x")?.lentSlots ?? 0;
}

const loans = [
  { wanted: 2, got: 2 },
  { wanted: 50, got: 4 },
];

for (const { wanted, got } of loans) {
  test(`borrowing: ${wanted} wanted of 4 owned`, () => {
    const core = lender();
    expect(borrow(core, wanted, { nowMs: 10 }).length).toEqual(got);
    expect(lent(core)).toEqual(got);
  });
}

test("borrowing: slots whose return was lost are reconciled", () => {
  const core = lender();
  borrow(core, 2, { nowMs: 10 });
  reduce(core, fromPeer("poa-2", heartbeat(), { nowMs: 500 }));
  expect(lent(core)).toEqual(2);
  reduce(core, fromPeer("poa-2", heartbeat(), { nowMs: 1_011 }));
  expect(lent(core)).toEqual(0);
});

test("borrowing: a borrower gone silent loses its slots", () => {
  const core = lender();
  borrow(core, 2, { nowMs: 10 });
  reduce(core, { type: "tick", nowMs: 1_500, wallMs: 0 });
  expect(lent(core)).toEqual(0);
});

const busyLenders = [
  {
    name: "later work of a peer gets the next free slot",
    waitedMs: 500,
    got: 1,
  },
  { name: "later work of its own goes first", waitedMs: 1, got: 0 },
];

for (const { name, waitedMs, got } of busyLenders) {
  test(`borrowing from a busy lender: ${name}`, () => {
    const core = lender();
    const sent = reduce(core, submit({ nowMs: 10, tasks: 6 }));
    const [send] = effectsOf(sent, "sendTask");
    expect(borrow(core, 1, { nowMs: 40, waitedMs }).length).toEqual(0);
    const outcome = {
      kind: "done",
      taskId: send?.taskId ?? "",
      result: null,
    } as const;
    const sendId = send?.sendId ?? "";
    const end = { type: "sendEnded", nowMs: 50, sendId, outcome } as const;
    expect(lentIn(reduce(core, end)).length).toEqual(got);
  });
}

test("borrowing: a request that nothing came of is counted as wasted", () => {
  const core = lender();
  reduce(core, submit({ nowMs: 10, tasks: 6 }));
  borrow(core, 1, { nowMs: 20, waitedMs: 0 });
  reduce(core, { type: "tick", nowMs: 100, wallMs: 100 });
  expect(core.counters.borrowsEmpty).toEqual(1);
});
