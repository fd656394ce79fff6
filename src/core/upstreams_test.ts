import { test } from "node:test";
import { expect } from "earl";
import type { CoreState } from "./types.ts";
import type { PeerMessage } from "./schemas.ts";
import { reduce } from "./reduce.ts";
import { isUsable } from "./upstreams.ts";
import {
  coreWithUpstreams,
  effectsOf,
  fromPeer,
  heartbeat,
  submit,
} from "./testing.ts";

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
    const core = coreWithUpstreams(upstreams, 1);
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
    const core = coreWithUpstreams(2, 1);
    const message = suspecting(failures);
    reduce(core, fromPeer("poa-2", message, { nowMs: 1_000 }));
    reduce(core, fromPeer("poa-2", message, { nowMs: 1_250 }));
    expect(usable(core)).toEqual(left);
  });
}
