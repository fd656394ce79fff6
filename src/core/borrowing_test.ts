import { test } from "node:test";
import { expect } from "earl";
import type { CoreState } from "./types.ts";
import type { PeerMessage } from "./schemas.ts";
import { reduce } from "./reduce.ts";
import { effectsOf, fromPeer, heartbeat, testCore } from "./testing.ts";

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

function borrow(core: CoreState, slots: number, nowMs: number): string[] {
  const message: PeerMessage = { type: "borrow", service: "oficina", slots };
  const effects = reduce(core, fromPeer("poa-2", message, { nowMs }));
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
    expect(borrow(core, wanted, 10).length).toEqual(got);
    expect(lent(core)).toEqual(got);
  });
}

test("borrowing: slots whose return was lost are reconciled", () => {
  const core = lender();
  borrow(core, 2, 10);
  reduce(core, fromPeer("poa-2", heartbeat(), { nowMs: 500 }));
  expect(lent(core)).toEqual(2);
  reduce(core, fromPeer("poa-2", heartbeat(), { nowMs: 1_011 }));
  expect(lent(core)).toEqual(0);
});

test("borrowing: a borrower gone silent loses its slots", () => {
  const core = lender();
  borrow(core, 2, 10);
  reduce(core, { type: "tick", nowMs: 1_500, wallMs: 0 });
  expect(lent(core)).toEqual(0);
});
