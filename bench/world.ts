/**
 * Several cores over fakes in simulated time: a network that loses and cuts,
 * upstreams, a platform and callers. The fakes count what truly happened.
 */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import { createCore, reduce } from "../src/core/reduce.ts";
import { pollPeriodMs } from "../src/core/membership.ts";
import { InvariantError } from "../src/engine/debug.ts";
import type { Guards } from "../src/core/guards.ts";
import type {
  ConfigurationDocument,
  InstanceRef,
  PeerMessage,
  UpstreamMember,
} from "../src/core/schemas.ts";
import type {
  CallerReply,
  CoreEvent,
  CoreState,
  Effect,
  SendOutcome,
  Slot,
} from "../src/core/types.ts";
import { createTimeline, type Timeline } from "./timeline.ts";

/** The entry slots of every run: zones of three, two and two. */
export const worldSlots: readonly Slot[] = [
  ["poa", 3],
  ["caxias", 2],
  ["pelotas", 2],
].flatMap(([zone, count]) =>
  Array.from({ length: Number(count) }, (_, index) => ({
    slot: `${zone}-${index + 1}`,
    availabilityZone: String(zone),
    region: "south",
  }))
);

/** Ticks come this often, as in the daemon. */
const TICK_MS = 50;
/** How often an instance asks the platform. */
const POLL_MS = 1_000;
const SLOTS_PER_UPSTREAM = 4;
const UPSTREAMS_PER_ZONE = 3;
/** Work sent later than this after the list's change breaks the promise. */
const LEAVING_LIMIT_MS = 2_000;
/** Refusals arrive at a caller only if its connection still stands. */
const NETWORK_MAX_MS = 3;

/** What went wrong, in one sentence. */
export class Violation extends Error {}

/** One entry instance of the world. */
export interface Node {
  readonly place: Slot;
  core: CoreState;
  alive: boolean;
  frozen: boolean;
  /** Work that waits for the instance to go on after a freeze. */
  readonly held: (() => void)[];
  readonly open: Map<string, (reply: CallerReply | null) => void>;
  highestVersion: number;
  /** Since when the platform can be read without a break. */
  canReadSinceMs: number;
}

interface FakeUpstream {
  member: UpstreamMember;
  mode: "ok" | "refuse" | "hang" | "reset" | "cross" | "fail" | "duplicate";
  leavingSinceMs: number;
}

/** The world that one run plays in. */
export interface World extends Timeline {
  readonly random: RandomGenerator;
  readonly nodes: Map<string, Node>;
  readonly upstreams: Map<string, FakeUpstream>;
  /** Starts by the task's stable key: the truth. */
  readonly starts: Map<string, number>;
  /** Starts by the task's payload, which tells two users of one key apart. */
  readonly startsOfEcho: Map<string, number>;
  /** Tasks started by each job of an instance. */
  readonly startsOfJob: Map<string, number>;
  readonly cutZones: ReadonlySet<string>;
  platformUp: boolean;
  readonly setPlatform: (up: boolean) => void;
  readonly setCut: (zone: string, isCut: boolean) => void;
  document: ConfigurationDocument;
  events: number;
  readonly unit: () => number;
  readonly below: (bound: number) => number;
  readonly deliver: (node: Node, event: CoreEvent) => void;
  readonly kill: (node: Node) => void;
  readonly restart: (node: Node) => void;
  readonly freeze: (node: Node) => void;
  readonly resume: (node: Node) => void;
  readonly leave: (upstreamId: string) => void;
  readonly acceptChange: (expectedVersion: number) => boolean;
}

/** A first configuration that both services' kinds fit in. */
function firstDocument(): ConfigurationDocument {
  const base = {
    services: { oficina: { kinds: { quote: { expectedMs: 100 } } } },
    teams: { benches: {}, couriers: {} },
    limits: { defaultDeadlineMs: 6_000 },
  };
  return { version: 1, changeId: "c1", base, overlays: {} };
}

/** Creates a world whose instances have just started for the first time. */
export function createWorld(
  seed: number,
  { guards = {} }: { guards?: Partial<Guards> } = {},
): World {
  const timeline = createTimeline();
  const random = xoroshiro128plus(seed);
  const nodes = new Map<string, Node>();
  const upstreams = new Map<string, FakeUpstream>();
  const starts = new Map<string, number>();
  const startsOfEcho = new Map<string, number>();
  const startsOfJob = new Map<string, number>();
  const cutZones = new Set<string>();
  let membershipVersion = 1;

  function unit(): number {
    return uniformFloat64(random);
  }

  function below(bound: number): number {
    return uniformInt(random, 0, bound - 1);
  }

  function newCore(place: Slot, incarnation: number): CoreState {
    return createCore({
      self: { ...place, incarnation },
      slots: worldSlots,
      nowMs: world.nowMs(),
      wallMs: world.nowMs(),
      seed: below(1_000_000),
      guards,
    });
  }

  /** Runs work at a node: not if it died since, later if it is frozen. */
  function at(node: Node, work: () => void): void {
    const { core } = node;
    if (!node.alive) return;
    if (!node.frozen) work();
    else {
      node.held.push(() => {
        if (node.core === core) work();
      });
    }
  }

  function deliver(node: Node, event: CoreEvent): void {
    at(node, () => {
      world.events += 1;
      const nowMs = world.nowMs();
      const effects = reduce(node.core, { ...event, nowMs });
      noteVersion(node);
      // A freeze may fall between the decision and its effects.
      for (const effect of effects) at(node, () => perform(node, effect));
    });
  }

  function noteVersion(node: Node): void {
    const version = node.core.document?.version ?? -1;
    if (version < node.highestVersion) {
      throw new Violation(`${node.place.slot} went back to ${version}`);
    }
    node.highestVersion = version;
  }

  function connected(a: Slot, b: Slot): boolean {
    if (a.availabilityZone === b.availabilityZone) return true;
    return !cutZones.has(a.availabilityZone) &&
      !cutZones.has(b.availabilityZone);
  }

  const lastArrivals = new Map<string, number>();

  function sendPeer(node: Node, slot: string, message: PeerMessage): void {
    const target = nodes.get(slot);
    if (target === undefined || !connected(node.place, target.place)) return;
    const { core } = target;
    const from: InstanceRef = {
      slot: node.place.slot,
      incarnation: node.core.self.incarnation,
    };
    // One connection keeps its order.
    const link = `${from.slot}>${slot}`;
    const soonest = lastArrivals.get(link) ?? 0;
    const arrival = Math.max(soonest, world.nowMs() + 0.2 + unit());
    lastArrivals.set(link, arrival);
    world.after(arrival - world.nowMs(), () => {
      if (target.core !== core || !connected(node.place, target.place)) return;
      deliver(target, {
        type: "peerMessage",
        nowMs: world.nowMs(),
        from,
        message: structuredClone(message),
      });
    });
  }

  const performers: {
    [T in Effect["type"]]: (
      node: Node,
      effect: Extract<Effect, { type: T }>,
    ) => void;
  } = {
    replyCaller: (node, { requestId, reply }) => {
      const tell = node.open.get(requestId);
      node.open.delete(requestId);
      tell?.(reply);
    },
    sendTask: runTask,
    sendPeer: (node, { slot, message }) => sendPeer(node, slot, message),
    log: () => {},
    drained: onDrained,
  };

  function perform(node: Node, effect: Effect): void {
    const performer = performers[effect.type] as (
      node: Node,
      effect: Effect,
    ) => void;
    performer(node, effect);
  }

  function onDrained(node: Node): void {
    if (node.open.size > 0) {
      throw new Violation(`${node.place.slot} drained with requests open`);
    }
    if (node.core.sends.size > 0) {
      throw new Violation(`${node.place.slot} drained with tasks in progress`);
    }
    world.kill(node);
    world.after(500, () => world.restart(node));
  }

  function runTask(
    node: Node,
    effect: Extract<Effect, { type: "sendTask" }>,
  ): void {
    const upstream = upstreams.get(effect.upstreamId);
    if (upstream === undefined) throw new Violation("no such upstream");
    const { mode } = upstream;
    const readableMs = Math.max(upstream.leavingSinceMs, node.canReadSinceMs);
    const isCut = cutZones.has(node.place.availabilityZone);
    const canRead = world.platformUp && !isCut;
    if (canRead && world.nowMs() - readableMs > LEAVING_LIMIT_MS) {
      throw new Violation(`${effect.upstreamId} got work while leaving`);
    }
    const end = (outcome: SendOutcome, delayMs: number) =>
      world.after(delayMs, () =>
        deliver(node, {
          type: "sendEnded",
          nowMs: world.nowMs(),
          sendId: effect.sendId,
          outcome,
        }));
    if (mode === "refuse") {
      end({ kind: "notRun", detail: "refused" }, 1);
      return;
    }
    noteStart(effect.key);
    const payload = effect.payload as { runMs: number; echo: string };
    countIn(startsOfEcho, payload.echo);
    countIn(startsOfJob, effect.taskId.split("#")[0] ?? "");
    const { taskId } = effect;
    const done: SendOutcome = { kind: "done", taskId, result: payload.echo };
    const crossed = { ...done, taskId: `${taskId}0`, result: "crossed" };
    const handlers: Record<Exclude<typeof mode, "refuse">, () => void> = {
      ok: () => end(done, payload.runMs),
      hang: () => end({ kind: "unknown", detail: "timeout" }, 3_000),
      reset: () => end({ kind: "unknown", detail: "reset" }, 5),
      cross: () => end(crossed, payload.runMs),
      fail: () => end({ kind: "failed", taskId, detail: "broken" }, 1),
      duplicate: () => {
        end(done, payload.runMs);
        end(done, payload.runMs + 5);
      },
    };
    handlers[mode]();
  }

  function noteStart(key: string): void {
    const count = countIn(starts, key);
    if (count > 1) throw new Violation(`task ${key} started ${count} times`);
  }

  function startTicking(node: Node): void {
    const { core } = node;
    const tick = () => {
      if (node.core !== core || !node.alive) return;
      const nowMs = world.nowMs();
      deliver(node, { type: "tick", nowMs, wallMs: nowMs });
      world.after(TICK_MS, tick);
    };
    const poll = () => {
      if (node.core !== core || !node.alive) return;
      readPlatform(node);
      world.after(pollPeriodMs(core, POLL_MS), poll);
    };
    world.after(unit() * TICK_MS, tick);
    world.after(unit() * 50, poll);
  }

  function readPlatform(node: Node): void {
    if (!world.platformUp || cutZones.has(node.place.availabilityZone)) return;
    const nowMs = world.nowMs();
    const members = [...upstreams.values()].map(({ member }) => member);
    deliver(node, {
      type: "membershipRead",
      nowMs,
      membershipVersion,
      upstreams: members,
    });
    const { document } = world;
    if (document.version !== node.core.document?.version) {
      deliver(node, { type: "configurationRead", nowMs, document });
    }
  }

  function boot(node: Node, virgin: boolean): void {
    node.alive = true;
    node.frozen = false;
    if (virgin) deliver(node, { type: "virginBoot", nowMs: world.nowMs() });
    startTicking(node);
  }

  const world: World = {
    ...timeline,
    random,
    nodes,
    upstreams,
    starts,
    startsOfEcho,
    startsOfJob,
    cutZones,
    platformUp: true,
    document: firstDocument(),
    events: 0,
    unit,
    below,
    deliver,
    kill(node) {
      node.alive = false;
      node.held.length = 0;
      const open = [...node.open.values()];
      node.open.clear();
      for (const tell of open) tell(null);
    },
    restart(node) {
      if (node.alive) return;
      node.highestVersion = -1;
      node.core = newCore(node.place, 1 + Math.floor(world.nowMs()));
      boot(node, false);
    },
    freeze(node) {
      node.frozen = true;
    },
    resume(node) {
      if (!node.frozen) return;
      node.frozen = false;
      for (const work of node.held.splice(0)) work();
    },
    leave(upstreamId) {
      const upstream = upstreams.get(upstreamId);
      if (upstream === undefined) return;
      membershipVersion += 1;
      upstream.member = { ...upstream.member, state: "leaving" };
      upstream.leavingSinceMs = world.nowMs();
    },
    setPlatform(up) {
      world.platformUp = up;
      for (const node of nodes.values()) node.canReadSinceMs = world.nowMs();
    },
    setCut(zone, isCut) {
      if (isCut) cutZones.add(zone);
      else cutZones.delete(zone);
      for (const node of nodes.values()) node.canReadSinceMs = world.nowMs();
    },
    acceptChange(expectedVersion) {
      if (!world.platformUp) return false;
      const { document } = world;
      if (document.version !== expectedVersion) return false;
      const version = expectedVersion + 1;
      world.document = { ...document, version, changeId: `c${version}` };
      return true;
    },
  };

  const zones = new Set(worldSlots.map((slot) => slot.availabilityZone));
  for (const availabilityZone of zones) {
    for (let index = 0; index < UPSTREAMS_PER_ZONE; index += 1) {
      const id = `${availabilityZone}-x${index}`;
      upstreams.set(id, {
        member: {
          id,
          service: "oficina",
          availabilityZone,
          address: id,
          slots: SLOTS_PER_UPSTREAM,
          state: "live",
        },
        mode: "ok",
        leavingSinceMs: Infinity,
      });
    }
  }
  for (const place of worldSlots) {
    const node: Node = {
      place,
      core: newCore(place, 1),
      alive: false,
      frozen: false,
      held: [],
      open: new Map(),
      highestVersion: -1,
      canReadSinceMs: 0,
    };
    nodes.set(place.slot, node);
    boot(node, true);
  }
  return world;
}

function countIn(counts: Map<string, number>, key: string): number {
  const count = (counts.get(key) ?? 0) + 1;
  counts.set(key, count);
  return count;
}

/** A random time on the network between caller and instance. */
export function networkDelayMs(world: World): number {
  return world.unit() * NETWORK_MAX_MS;
}

/** The violation that an error stands for, or the error itself. */
export function violationOf(error: unknown): string | null {
  if (error instanceof Violation) return error.message;
  if (error instanceof InvariantError) return error.message;
  return null;
}
