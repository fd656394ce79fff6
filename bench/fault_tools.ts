/** Helpers of the faults of randomized runs. */

import type { Moments, World } from "./engine_world.ts";

/** Injects a fault that lasts for a time. */
export type FaultHandler = (world: World, forMs: number) => void;

export function pick<T>(world: Pick<World, "random">, items: readonly T[]): T {
  return items[Math.floor(world.random() * items.length)] as T;
}

/** Picks a leader with probability 1/2 if there is one, else any instance. */
export function pickInstance(world: World): string {
  const [leader] = world.leaders();
  if (leader !== undefined && world.random() < 0.5) return leader;
  return pick(world, world.instances).instanceId;
}

/** Calls `begin` now and `end` after the given time. */
export function during(
  world: World,
  forMs: number,
  { begin, end }: { begin: () => void; end: () => void },
): void {
  begin();
  world.queue.at(world.queue.nowMs() + forMs, end);
}

/** Sets the network partition for the given time. */
export function partitionFor(
  world: World,
  forMs: number,
  isPartitioned: (a: string, b: string) => boolean,
): void {
  during(world, forMs, {
    begin: () => world.setPartition(isPartitioned),
    end: () => world.setPartition(null),
  });
}

/** Returns a random share of the items. */
export function some<T>(world: World, items: readonly T[], share: number): T[] {
  return items.filter(() => world.random() < share);
}

/** Returns the items in a random order. */
export function shuffle<T>(world: World, items: readonly T[]): T[] {
  return items.map((item) => ({ item, key: world.random() }))
    .sort((a, b) => a.key - b.key).map(({ item }) => item);
}

/** Calls `step` at intervals of up to `intervalMs` for the given time. */
export function repeat(
  world: World,
  { forMs, intervalMs }: { forMs: number; intervalMs: number },
  step: () => void,
): void {
  const endMs = world.queue.nowMs() + forMs;
  const next = (): void => {
    if (world.queue.nowMs() >= endMs) return;
    step();
    world.queue.at(
      world.queue.nowMs() + intervalMs * (0.5 + 0.5 * world.random()),
      next,
    );
  };
  next();
}

/** Bounds of a value that is drawn. */
export interface Bounds {
  readonly min: number;
  readonly max: number;
}

/** Draws a value between the bounds. */
export function draw(world: World, { min, max }: Bounds): number {
  return min + (max - min) * world.random();
}

/**
 * Calls `act` at moments of a kind, at intervals of at most `intervalMs` if
 * there are enough of them, for the given time.
 */
export function atMoments<K extends keyof Moments>(
  world: World,
  { kind, forMs, intervalMs }: { kind: K; forMs: number; intervalMs: number },
  act: (moment: Moments[K]) => void,
): void {
  let nextAtMs = 0;
  const end = world.onMoment(kind, (moment) => {
    const nowMs = world.queue.nowMs();
    if (nowMs < nextAtMs) return;
    nextAtMs = nowMs + intervalMs * (0.5 + 0.5 * world.random());
    act(moment);
  });
  world.queue.at(world.queue.nowMs() + forMs, end);
}
