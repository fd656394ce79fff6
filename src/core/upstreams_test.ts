import { test } from "node:test";
import { expect } from "earl";
import type { CoreState } from "./types.ts";
import type { PeerMessage } from "./schemas.ts";
import { reduce } from "./reduce.ts";
import { isUsable } from "./upstreams.ts";
import { effectsOf, fromPeer, heartbeat, submit, testCore } from "./testing.ts";

/** A core with so many upstreams of one slot each. */
function coreWith(count: number): CoreState {
  const core = testCore("poa-1");
  reduce(core, {
    type: "membershipRead",
    nowMs: 0,
    membershipVersion: 1,
    upstreams: Array.from({ length: count }, (_, index) => ({
      id: `x${index}`,
      service: "oficina",
      availabilityZone: "poa",
      address: "127.0.0.1:1",
      slots: 1,
      state: "live" as const,
    })),
  });
  return core;
}

/** Sends one task and has it fail, so often. */
function failTasks(core: CoreState, times: number): void {
  for (let nowMs = 1; nowMs <= times; nowMs += 1) {
    const requestId = `r${nowMs}`;
    const sent = reduce(core, submit({ nowMs, requestId }));
    for (const { sendId, taskId } of effectsOf(sent, "sendTask")) {
      const outcome = { kind: "failed", taskId, detail: "" } as const;
      reduce(core, { type: "sendEnded", nowMs, sendId, outcome });
    }
  }
}

function usable(core: CoreState): number {
  return [...core.upstreams.values()]
    .filter((upstream) => isUsable(core, upstream)).length;
}

const ejections = [
  { name: "two failures are borne", upstreams: 2, failures: 2, left: 2 },
  { name: "the third ejects", upstreams: 2, failures: 3, left: 1 },
  { name: "half of a zone is kept", upstreams: 2, failures: 20, left: 1 },
  {
    name: "a zone's only upstream is kept",
    upstreams: 1,
    failures: 9,
    left: 1,
  },
];

for (const { name, upstreams, failures, left } of ejections) {
  test(`ejection: ${name}`, () => {
    const core = coreWith(upstreams);
    failTasks(core, failures);
    expect(usable(core)).toEqual(left);
  });
}

function suspecting(failures: number): PeerMessage {
  const suspects = [{ upstreamId: "x0", failures }];
  return { ...heartbeat(), suspects } as PeerMessage;
}

const words = [
  { name: "enough failures elsewhere eject", failures: 3, left: 1 },
  { name: "a single failure elsewhere does not", failures: 1, left: 2 },
];

for (const { name, failures, left } of words) {
  test(`ejection: ${name}`, () => {
    const core = coreWith(2);
    const message = suspecting(failures);
    reduce(core, fromPeer("poa-2", message, { nowMs: 1_000 }));
    reduce(core, fromPeer("poa-2", message, { nowMs: 1_250 }));
    expect(usable(core)).toEqual(left);
  });
}
