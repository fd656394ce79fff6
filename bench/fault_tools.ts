/** Helpers of the faults of randomized runs. */

import type { World } from "./engine_world.ts";

/** Injects a fault that lasts for a time. */
export type FaultHandler = (world: World, forMs: number) => void;

export function pick<T>(world: World, items: readonly T[]): T {
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
