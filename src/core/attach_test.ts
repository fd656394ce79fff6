import { test } from "node:test";
import { expect } from "earl";
import type { CoreState, Effect } from "./types.ts";
import { reduce } from "./reduce.ts";
import { effectsOf, fromPeer, heartbeat, testCore } from "./testing.ts";

function asked(): CoreState {
  const core = testCore("poa-1");
  reduce(core, fromPeer("poa-2", heartbeat(), { nowMs: 5 }));
  reduce(core, {
    type: "callerQuery",
    nowMs: 10,
    requestId: "q",
    team: "benches",
    jobId: "poa-2.1.7",
    wait: true,
  });
  return core;
}

function ticks(core: CoreState, fromMs: number, toMs: number): Effect[] {
  const effects: Effect[] = [];
  for (let nowMs = fromMs; nowMs <= toMs; nowMs += 20) {
    effects.push(...reduce(core, { type: "tick", nowMs, wallMs: nowMs }));
  }
  return effects;
}

function questions(effects: readonly Effect[]): number {
  return effectsOf(effects, "sendPeer")
    .filter(({ message }) => message.type === "attach").length;
}

test("attach: a question whose message may be lost is asked again", () => {
  const core = asked();
  reduce(core, fromPeer("poa-2", heartbeat(), { nowMs: 400 }));
  expect(questions(ticks(core, 420, 640))).toEqual(1);
});

test("attach: a holder that was replaced ends the question", () => {
  const core = asked();
  const next = { nowMs: 100, incarnation: 2 };
  reduce(core, fromPeer("poa-2", heartbeat(false), next));
  const told = effectsOf(ticks(core, 120, 140), "replyCaller");
  expect(told.map(({ reply }) => reply.kind)).toEqual(["refused"]);
});

test("attach: a holder gone silent ends the question", () => {
  const core = asked();
  const told = effectsOf(ticks(core, 20, 1_600), "replyCaller");
  expect(told.map(({ reply }) => reply.kind)).toEqual(["refused"]);
});
