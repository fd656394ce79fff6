/** The faults of randomised runs, as a lookup table. */

import type { Node, World } from "./world.ts";

/** One fault of a scenario. */
export interface Fault {
  readonly kind: FaultKind;
  readonly atMs: number;
  readonly durationMs: number;
  /** Picks the instance, zone or upstream. */
  readonly target: number;
}

/** The kinds of fault. */
export const faultKinds = [
  "kill",
  "freeze",
  "cutZone",
  "platformDown",
  "drain",
  "operatorRace",
  "upstreamLeaves",
  "upstreamRefuses",
  "upstreamHangs",
  "upstreamResets",
  "upstreamCrosses",
  "upstreamFails",
  "upstreamDuplicates",
] as const;
/** A kind of fault. */
export type FaultKind = typeof faultKinds[number];

/** Those that strike instances and their memory of claims. */
export const instanceFaultKinds = ["kill", "freeze", "drain"] as const;

/** Instances are started again after at most this long. */
const RESTART_MAX_MS = 1_500;

function pick<T>(values: Iterable<T>, target: number): T | undefined {
  const all = [...values];
  return all[target % all.length];
}

function withNode(
  world: World,
  target: number,
  act: (node: Node) => void,
): void {
  const node = pick(world.nodes.values(), target);
  if (node !== undefined && node.alive) act(node);
}

type Mode = Parameters<typeof setMode>[2];

function setMode(
  world: World,
  fault: Fault,
  mode: "refuse" | "hang" | "reset" | "cross" | "fail" | "duplicate",
): void {
  const upstream = pick(world.upstreams.values(), fault.target);
  if (upstream === undefined) return;
  upstream.mode = mode;
  world.after(fault.durationMs, () => {
    upstream.mode = "ok";
  });
}

function upstreamFault(mode: Mode): (world: World, fault: Fault) => void {
  return (world, fault) => setMode(world, fault, mode);
}

/** What each kind of fault does. */
export const faultHandlers: Record<
  FaultKind,
  (world: World, fault: Fault) => void
> = {
  kill: (world, { target, durationMs }) =>
    withNode(world, target, (node) => {
      world.kill(node);
      const restartMs = Math.min(durationMs, RESTART_MAX_MS);
      world.after(restartMs, () => world.restart(node));
    }),
  freeze: (world, { target, durationMs }) =>
    withNode(world, target, (node) => {
      world.freeze(node);
      world.after(durationMs, () => world.resume(node));
    }),
  cutZone: (world, { target, durationMs }) => {
    const node = pick(world.nodes.values(), target);
    const zone = node?.place.availabilityZone ?? "";
    world.setCut(zone, true);
    world.after(durationMs, () => world.setCut(zone, false));
  },
  platformDown: (world, { durationMs }) => {
    world.setPlatform(false);
    world.after(durationMs, () => world.setPlatform(true));
  },
  drain: (world, { target }) =>
    withNode(
      world,
      target,
      (node) =>
        world.deliver(node, { type: "drainRequested", nowMs: world.nowMs() }),
    ),
  operatorRace: (world, { target }) => {
    const { version } = world.document;
    const accepted = [version, version].map((v) => world.acceptChange(v));
    if (accepted[0] !== true) return;
    withNode(world, target, (node) => {
      const { document } = world;
      const nowMs = world.nowMs();
      world.deliver(node, { type: "configurationRead", nowMs, document });
    });
  },
  upstreamLeaves: (world, { target }) => {
    const upstream = pick(world.upstreams.keys(), target);
    if (upstream !== undefined) world.leave(upstream);
  },
  upstreamRefuses: upstreamFault("refuse"),
  upstreamHangs: upstreamFault("hang"),
  upstreamResets: upstreamFault("reset"),
  upstreamCrosses: upstreamFault("cross"),
  upstreamFails: upstreamFault("fail"),
  upstreamDuplicates: upstreamFault("duplicate"),
};
