/** What the tests of the core share: a core with its groups formed. */

import type { CoreEvent, CoreState, Effect, Slot } from "./types.ts";
import type { Guards } from "./guards.ts";
import type { PeerMessage, Submission } from "./schemas.ts";
import { createCore, reduce } from "./reduce.ts";

/** Three instances of one zone and one of another. */
export const testSlots: readonly Slot[] = [
  { slot: "poa-1", availabilityZone: "poa", region: "south" },
  { slot: "poa-2", availabilityZone: "poa", region: "south" },
  { slot: "caxias-1", availabilityZone: "caxias", region: "south" },
  { slot: "caxias-2", availabilityZone: "caxias", region: "south" },
];

/** A core of a slot at time zero, with a configuration in force. */
export function testCore(
  slot: string,
  { guards = {}, virgin = true }: {
    guards?: Partial<Guards>;
    virgin?: boolean;
  } = {},
): CoreState {
  const place = testSlots.find((row) => row.slot === slot);
  if (place === undefined) throw new Error(`no slot ${slot}`);
  const core = createCore({
    self: { ...place, incarnation: 1 },
    slots: testSlots,
    nowMs: 0,
    wallMs: 0,
    seed: 1,
    guards,
  });
  if (virgin) reduce(core, { type: "virginBoot", nowMs: 0 });
  reduce(core, {
    type: "configurationRead",
    nowMs: 0,
    document: {
      version: 1,
      changeId: "c1",
      base: {
        services: { oficina: { kinds: { quote: {} } } },
        teams: { benches: {} },
      },
      overlays: {},
    },
  });
  return core;
}

/** The core of poa-1 with so many upstreams, alone in its zone. */
export function coreWithUpstreams(count: number, slots: number): CoreState {
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
      slots,
      state: "live" as const,
    })),
  });
  return core;
}

/** The heartbeat of a peer that has just started. */
export function heartbeat(virgin = true): PeerMessage {
  return {
    type: "heartbeat",
    virgin,
    leaving: false,
    ready: true,
    configurationVersion: 1,
    membershipVersion: -1,
    periodMs: 250,
    leavingUpstreams: [],
    suspects: [],
    lacksRecords: [],
    loads: [],
    borrowed: [],
  };
}

/** A message of a peer's first incarnation, or of another. */
export function fromPeer(
  slot: string,
  message: PeerMessage,
  { nowMs, incarnation = 1 }: { nowMs: number; incarnation?: number },
): CoreEvent {
  const from = { slot, incarnation };
  return { type: "peerMessage", nowMs, from, message };
}

/** A job of so many tasks. */
export function submission(tasks = 1): Submission {
  return {
    service: "oficina",
    kind: "quote",
    urgency: 5,
    idempotent: false,
    tasks: Array.from({ length: tasks }, (_, index) => ({ payload: index })),
  };
}

/** A caller's submission of a job. */
export function submit(
  { nowMs, key = null, attempt = null, tasks = 1, requestId = "r1" }: {
    nowMs: number;
    key?: string | null;
    attempt?: number | null;
    tasks?: number;
    requestId?: string;
  },
): CoreEvent {
  return {
    type: "callerSubmit",
    nowMs,
    wallMs: nowMs,
    requestId,
    team: "benches",
    key,
    attempt,
    keyCreatedMs: null,
    payloadHash: `hash-${tasks}`,
    wait: true,
    submission: submission(tasks),
  };
}

/** The effects of one type. */
export function effectsOf<T extends Effect["type"]>(
  effects: readonly Effect[],
  type: T,
): Extract<Effect, { type: T }>[] {
  return effects.filter((effect): effect is Extract<Effect, { type: T }> =>
    effect.type === type
  );
}
