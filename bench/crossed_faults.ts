/**
 * Faults that make the list of workers incomplete as leaders change: processes
 * that are back before their leases have expired, lists with holes, lists whose
 * length crosses the bounds between the layouts of cells.
 */

import type { World } from "./engine_world.ts";
import {
  atMoments,
  draw,
  during,
  type FaultHandler,
  repeat,
  shuffle,
  some,
} from "./fault_tools.ts";
import { cutWorker } from "./moment_faults.ts";

/** The name of a fault; see {@linkcode crossedFaultHandlers}. */
export type CrossedFaultName =
  | "leaderRestarts"
  | "leaderRestartsAgain"
  | "leaderMissesWorker"
  | "listsHaveHoles"
  | "listCrossesBounds";

/** Bounds of the time after which a killed leader is back. */
const DOWN_MS = { min: 150, max: 550 };
/** Bounds of the time from an election to the leader's next restart. */
const TERM_MS = { min: 50, max: 700 };
const RESTART_INTERVAL_MS = 500;
const ELECTION_INTERVAL_MS = 100;
/** Bounds of the time for which a worker that is left out is not listed. */
const HOLE_MS = { min: 200, max: 1_800 };
const HOLE_INTERVAL_MS = 900;
const HOLE_SHARE = 0.15;
/** Numbers of workers around the bounds in `src/engine/cells.ts`. */
const LIST_SIZES = [{ min: 62, max: 76 }, { min: 94, max: 108 }];
const RESIZE_INTERVAL_MS = 1_200;

function restart(world: World, instanceId: string): void {
  world.kill(instanceId, draw(world, DOWN_MS));
}

/** Leaves out workers of the list for a time. */
function leaveOutSome(world: World): void {
  const leftOut = some(world, world.workers, HOLE_SHARE);
  during(world, draw(world, HOLE_MS), {
    begin: () => world.setListed(leftOut, false),
    end: () => world.setListed(leftOut, true),
  });
}

/** Lists as many workers as drawn around the next bound. */
function resizeList(world: World, sizes: { min: number; max: number }): void {
  const shuffled = shuffle(world, world.workers);
  const count = Math.round(draw(world, sizes));
  world.setListed(shuffled.slice(0, count), true);
  world.setListed(shuffled.slice(count), false);
}

/** Injects each fault for the given time. */
export const crossedFaultHandlers: Record<CrossedFaultName, FaultHandler> = {
  leaderRestarts: (world) => {
    for (const instanceId of world.leaders()) restart(world, instanceId);
  },
  leaderRestartsAgain: (world, forMs) => {
    crossedFaultHandlers.leaderRestarts(world, forMs);
    const intervalMs = RESTART_INTERVAL_MS;
    atMoments(
      world,
      { kind: "becameLeader", forMs, intervalMs },
      ({ instanceId }) => {
        const atMs = world.queue.nowMs() + draw(world, TERM_MS);
        world.queue.at(atMs, () => restart(world, instanceId));
      },
    );
  },
  leaderMissesWorker: (world, forMs) =>
    atMoments(
      world,
      { kind: "becameLeader", forMs, intervalMs: ELECTION_INTERVAL_MS },
      ({ instanceId }) => {
        const busy = world.workers.filter(({ running }) => running.size > 0);
        const [worker] = shuffle(world, busy);
        if (worker === undefined) return;
        cutWorker(world, worker.workerId, (id) => id === instanceId);
      },
    ),
  listsHaveHoles: (world, forMs) =>
    repeat(
      world,
      { forMs, intervalMs: HOLE_INTERVAL_MS },
      () => leaveOutSome(world),
    ),
  listCrossesBounds: (world, forMs) => {
    let count = 0;
    repeat(world, { forMs, intervalMs: RESIZE_INTERVAL_MS }, () => {
      const sizes = LIST_SIZES[count % LIST_SIZES.length];
      count += 1;
      if (sizes !== undefined) resizeList(world, sizes);
    });
    const endMs = world.queue.nowMs() + forMs + RESIZE_INTERVAL_MS;
    world.queue.at(endMs, () => world.setListed(world.workers, true));
  },
};

/** Faults that are added to a run together. */
export const crossedRows: readonly (readonly CrossedFaultName[])[] = [
  ["leaderRestartsAgain", "listsHaveHoles"],
  ["leaderMissesWorker", "leaderRestartsAgain"],
  ["listCrossesBounds", "leaderRestarts"],
  ["listCrossesBounds", "leaderMissesWorker"],
  ["listsHaveHoles", "leaderMissesWorker"],
];
