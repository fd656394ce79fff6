/**
 * Faults that make the list of workers incomplete as leaders change: processes
 * that are back before their leases have expired, lists with holes, lists whose
 * length crosses the bounds between the layouts of cells; and workers that a
 * leader loses just after a start or an election.
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
import { cutWorker, type MomentFaultName } from "./moment_faults.ts";

/** The name of a fault; see {@linkcode crossedFaultHandlers}. */
export type CrossedFaultName =
  | "leaderRestarts"
  | "leaderRestartsAgain"
  | "leaderMissesWorker"
  | "starterLosesWorker"
  | "drainingRowsLapse"
  | "listsHaveHoles"
  | "listCrossesBounds";

/** Bounds of the time after which a killed leader is back. */
const DOWN_MS = { min: 150, max: 550 };
/** Bounds of the time from an election to the leader's next restart. */
const TERM_MS = { min: 50, max: 700 };
const RESTART_INTERVAL_MS = 500;
const ELECTION_INTERVAL_MS = 100;
/**
 * Bounds of the time from a start to the loss of its worker, which has carried
 * it out.
 */
const STARTED_MS = { min: 2, max: 30 };
const LOSS_INTERVAL_MS = 300;
/** Bounds of the time for which a worker that is left out is not listed. */
const HOLE_MS = { min: 800, max: 2_500 };
/**
 * Upper bound on the interval between changes of the holes: a leader that has
 * seen a worker leave the list waits for its runs.
 */
const HOLE_INTERVAL_MS = 3_000;
/** Time from the begin of a worker's drain to the loss of its row. */
const DRAINING_MS = 300;
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
  starterLosesWorker: (world, forMs) =>
    atMoments(
      world,
      { kind: "startSent", forMs, intervalMs: LOSS_INTERVAL_MS },
      ({ instanceId, workerId }) => {
        const atMs = world.queue.nowMs() + draw(world, STARTED_MS);
        world.queue.at(
          atMs,
          () => cutWorker(world, workerId, (id) => id === instanceId),
        );
      },
    ),
  drainingRowsLapse: (world, forMs) => {
    const leaving = some(world, world.workers, HOLE_SHARE);
    const { queue } = world;
    for (const worker of leaving) worker.draining = true;
    queue.at(
      queue.nowMs() + DRAINING_MS,
      () => world.setListed(leaving, false),
    );
    queue.at(queue.nowMs() + DRAINING_MS + forMs, () => {
      for (const worker of leaving) worker.draining = false;
      world.setListed(leaving, true);
    });
  },
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

/** Names of the faults that can be in a row of `crossedRows`. */
type RowFaultName = CrossedFaultName | MomentFaultName;

/** Faults that are added to a run together. */
export const crossedRows: readonly (readonly RowFaultName[])[] = [
  ["leaderRestartsAgain", "listsHaveHoles"],
  ["leaderMissesWorker", "leaderRestartsAgain"],
  ["listCrossesBounds", "leaderRestarts"],
  ["listCrossesBounds", "leaderMissesWorker"],
  ["listsHaveHoles", "leaderMissesWorker"],
  ["drainingRowsLapse", "leaderRestartsAgain"],
  ["drainingRowsLapse", "leaderFreezesAtRenewal"],
  ["starterLosesWorker", "starterStalls"],
];
