/** One randomised run: a world, its callers, its faults, and its end. */

import fc from "fast-check";
import type { Guards } from "../src/core/guards.ts";
import {
  type Fault,
  faultHandlers,
  faultKinds,
  instanceFaultKinds,
} from "./faults.ts";
import { markings, submitJob } from "./fake_callers.ts";
import { createWorld, Violation, type World } from "./world.ts";

/** What one run is made from. */
export interface Scenario {
  readonly seed: number;
  readonly jobs: number;
  readonly faults: readonly Fault[];
}

/** Instances know each other and their configuration by then. */
const START_MS = 1_000;
/** Jobs arrive and faults begin within this time. */
const ACTIVE_MS = 8_000;
/** Every fault is over and every job has ended by then. */
const END_MS = 30_000;
const MAX_FAULT_MS = 5_000;
const MAX_JOBS = 80;
const MAX_FAULTS = 6;

/** Scenarios of any kind, for fast-check to draw and to shrink. */
export const scenarioArbitrary: fc.Arbitrary<Scenario> = fc.record({
  seed: fc.integer({ min: 1, max: 1_000_000_000 }),
  jobs: fc.integer({ min: 10, max: MAX_JOBS }),
  faults: fc.array(
    fc.record({
      kind: fc.oneof(
        { weight: 1, arbitrary: fc.constantFrom(...faultKinds) },
        { weight: 1, arbitrary: fc.constantFrom(...instanceFaultKinds) },
      ),
      atMs: fc.integer({ min: START_MS, max: START_MS + ACTIVE_MS }),
      durationMs: fc.integer({ min: 50, max: MAX_FAULT_MS }),
      target: fc.nat({ max: 20 }),
    }),
    { minLength: 1, maxLength: MAX_FAULTS },
  ),
});

/** What a run leaves behind. */
export interface RunResult {
  readonly events: number;
  readonly started: number;
}

/** Plays a scenario; throws a {@linkcode Violation} or an invariant's error. */
export function runScenario(
  scenario: Scenario,
  guards: Partial<Guards> = {},
): RunResult {
  const world = createWorld(scenario.seed, { guards });
  for (let index = 0; index < scenario.jobs; index += 1) {
    const atMs = START_MS + world.unit() * ACTIVE_MS;
    const marking = markings[index % markings.length] ?? "plain";
    world.after(atMs, () => submitJob(world, { name: `job${index}`, marking }));
  }
  for (const fault of scenario.faults) {
    world.after(fault.atMs, () => faultHandlers[fault.kind](world, fault));
  }
  world.runUntil(END_MS);
  checkEnd(world);
  return { events: world.events, started: world.starts.size };
}

/** With every fault over, all instances agree and nothing is left behind. */
function checkEnd(world: World): void {
  for (const node of world.nodes.values()) {
    const { slot } = node.place;
    if (!node.alive) throw new Violation(`${slot} never came back`);
    const version = node.core.document?.version;
    if (version !== world.document.version) {
      throw new Violation(`${slot} has configuration ${version}`);
    }
    if (node.core.sends.size > 0) {
      throw new Violation(`${slot} still waits for sends`);
    }
    if (node.core.claimsById.size > 0 || node.core.attaches.size > 0) {
      throw new Violation(`${slot} still holds questions`);
    }
    if (node.open.size > 0) throw new Violation(`${slot} owes a reply`);
    checkAccounts(node.core);
  }
}

/** Slots and queues that nobody uses must count as free and empty. */
function checkAccounts(
  core: World["nodes"] extends Map<string, infer N>
    ? N extends { core: infer C } ? C : never
    : never,
): void {
  const { slot } = core.self;
  for (const upstream of core.upstreams.values()) {
    const { inFlight, inFlightOwned, lentSlots } = upstream;
    if (inFlight !== 0 || inFlightOwned !== 0 || lentSlots !== 0) {
      throw new Violation(`${slot} lost a slot of ${upstream.id}`);
    }
  }
  for (const flow of core.flows.values()) {
    if (flow.queuedTasks !== 0 || flow.inFlight !== 0 || flow.waiting.length) {
      throw new Violation(`${slot} lost count of ${flow.flow}`);
    }
  }
}
