/**
 * The load of docs/design/current-work.md, part 4: three kinds of jobs that
 * compete for the workers of a fleet with a leader in each zone.
 */

import { queueOf } from "./engine_runs.ts";
import type { JobKind, WorldOptions } from "./engine_world.ts";

const zones = ["a", "b", "c", "d"];
/** More than 100 workers in all, so that each zone is a cell. */
const WORKERS_PER_ZONE = 28;
/** Two sizes of workers, at speeds of 0.8, 1 and 1.25. */
const workerSizes = [
  { cpuMilli: 16_000, runTimeFactor: 1 / 0.8 },
  { cpuMilli: 16_000, runTimeFactor: 1 },
  { cpuMilli: 24_000, runTimeFactor: 1 / 1.25 },
];

/** The fleet of the mix. */
export const mixFleet: Partial<WorldOptions> = {
  zones,
  instancesPerZone: 2,
  workersPerZone: WORKERS_PER_ZONE,
  workerSizes,
  drawsJobsApart: true,
};

/** Time for which callers wait: longer than any run of the model. */
const TIMEOUT_MS = 60_000;

/** What the kinds of the mix have in common. */
const common = {
  cpuMilli: 8_000,
  maxCpuMilli: 12_000,
  callerWaitMs: 1_515,
  isWorthByWork: true,
};

/** The kinds of the mix; their rates are relative to each other. */
export const mixKinds: readonly JobKind[] = [
  {
    ...common,
    queue: queueOf("small", { priority: 0, timeoutMs: TIMEOUT_MS }),
    perSecond: 206,
    taskMs: 60,
    width: 8,
    worth: 0.00485,
    lateWorth: 0.00097,
  },
  {
    ...common,
    queue: queueOf("long", { priority: 2, timeoutMs: TIMEOUT_MS }),
    perSecond: 37.5,
    taskMs: 900,
    width: 4,
    worth: 0.0267,
    lateWorth: 0.00533,
  },
  {
    ...common,
    queue: queueOf("middle", { priority: 1, timeoutMs: TIMEOUT_MS }),
    perSecond: 600,
    taskMs: 200,
    width: 2,
    worth: 0.00167,
    lateWorth: 0.000333,
  },
];

/** The kinds of the mix, of which three tasks in a hundred take long. */
export const mixTailedKinds: readonly JobKind[] = mixKinds.map((kind) => ({
  ...kind,
  taskTail: { share: 0.03, factor: 7 },
}));

/**
 * Returns the multiple of the rates of the mix by which its work is the given
 * share of the nominal cores of the fleet.
 */
export function mixLoad(share: number): number {
  let workMilli = 0;
  for (const { perSecond, width, taskMs, cpuMilli } of mixKinds) {
    workMilli += perSecond * width * cpuMilli * taskMs / 1_000;
  }
  let fleetMilli = 0;
  for (let index = 0; index < WORKERS_PER_ZONE; index += 1) {
    const size = workerSizes[index % workerSizes.length];
    fleetMilli += zones.length * (size?.cpuMilli ?? 0);
  }
  return share * fleetMilli / workMilli;
}
