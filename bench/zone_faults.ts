/** Faults that concern all instances of a zone, or instances one after another. */

import type { World } from "./engine_world.ts";
import {
  draw,
  during,
  type FaultHandler,
  partitionFor,
  pick,
  shuffle,
} from "./fault_tools.ts";

/** The name of a fault; see {@linkcode zoneFaultHandlers}. */
export type ZoneFaultName =
  | "recordsZoneRestarts"
  | "recordsZoneLost"
  | "recordsZoneCut"
  | "lossesInTurn"
  | "zoneLeaderKilled"
  | "zoneLeaderPaused"
  | "zoneReportsHeld"
  | "zoneWorkersDrain";

/** Bounds of the time after which instances of a zone are back. */
const DOWN_MS = { min: 400, max: 1_500 };
/** Time after which a lost instance is back: after the end of every run. */
const LOST_MS = 1e6;
/** Time between two losses of several instances each. */
const LOSSES_INTERVAL_MS = 1_500;
const FIRST_LOSSES = 3;

/** The zones whose leaders have the records open. */
function recordsZones({ instances }: World): Set<string> {
  const owners = instances.filter(({ state }) =>
    state?.scheduler?.records.phase === "open"
  );
  return new Set(owners.map(({ availabilityZone }) => availabilityZone));
}

/** Whether an instance or a worker with this name is in one of the zones. */
function isInZones(zones: ReadonlySet<string>, name: string): boolean {
  const [zone = ""] = name.replace(/^w-/, "").split("-");
  return zones.has(zone);
}

/** Kills all instances of the zones that have the records. */
function killRecordsZones(world: World, downMs: () => number): void {
  const zones = recordsZones(world);
  for (const { instanceId, availabilityZone } of world.instances) {
    if (zones.has(availabilityZone)) world.kill(instanceId, downMs());
  }
}

/**
 * Loses half of the instances but not the leaders, and 1.5 s later the leaders and
 * one more.
 */
function loseInTurn(world: World): void {
  const leaders = world.leaders();
  const ids = world.instances.map(({ instanceId }) => instanceId);
  const others = shuffle(world, ids.filter((id) => !leaders.includes(id)));
  for (const id of others.slice(0, FIRST_LOSSES)) world.kill(id, LOST_MS);
  world.queue.at(world.queue.nowMs() + LOSSES_INTERVAL_MS, () => {
    const second = others.slice(FIRST_LOSSES, FIRST_LOSSES + 1);
    for (const id of [...leaders, ...second]) world.kill(id, LOST_MS);
  });
}

/** Returns the leader of a random zone; undefined if none is there. */
function drawLeader(world: World): string | undefined {
  const leaders = world.leaders();
  return leaders[Math.floor(world.random() * leaders.length)];
}

/** Delays the messages of a leader, so that its reports arrive late. */
function holdReports(world: World, forMs: number): void {
  const leader = drawLeader(world);
  if (leader === undefined) return;
  const zones = new Map(
    world.instances.map((
      { instanceId, availabilityZone },
    ) => [instanceId, availabilityZone]),
  );
  const release = world.addHold((from, to) =>
    from === leader && zones.get(from) !== zones.get(to)
  );
  world.queue.at(world.queue.nowMs() + forMs, release);
}

/** Injects each fault. */
export const zoneFaultHandlers: Record<ZoneFaultName, FaultHandler> = {
  recordsZoneRestarts: (world) =>
    killRecordsZones(world, () => draw(world, DOWN_MS)),
  recordsZoneLost: (world) => killRecordsZones(world, () => LOST_MS),
  lossesInTurn: (world) => loseInTurn(world),
  zoneLeaderKilled: (world) => {
    const leader = drawLeader(world);
    if (leader !== undefined) world.kill(leader, 1_000);
  },
  zoneLeaderPaused: (world, forMs) => {
    const leader = drawLeader(world);
    if (leader !== undefined) world.pause(leader, forMs);
  },
  zoneReportsHeld: holdReports,
  // The leader lives, and no worker of its zone is usable.
  zoneWorkersDrain: (world, forMs) => {
    const zone = pick(world, world.instances).availabilityZone;
    for (const worker of world.workers) {
      if (worker.availabilityZone !== zone) continue;
      during(world, forMs, {
        begin: () => worker.draining = true,
        end: () => worker.draining = false,
      });
    }
  },
  // The zone is cut off from the other instances and workers and from the store.
  recordsZoneCut: (world, forMs) => {
    const zones = recordsZones(world);
    partitionFor(
      world,
      forMs,
      (a, b) => isInZones(zones, a) !== isInZones(zones, b),
    );
  },
};
