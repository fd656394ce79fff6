/**
 * Randomized runs of the engine: load and faults are drawn from a seed, and
 * violated guarantees are reported.
 */

import type { QueueRule } from "../src/engine/schemas.ts";
import { jobDamages } from "../src/engine/testing.ts";
import {
  crossedFaultHandlers,
  type CrossedFaultName,
} from "./crossed_faults.ts";
import {
  type CallerRecord,
  createWorld,
  type JobKind,
  type World,
  type WorldOptions,
} from "./engine_world.ts";
import {
  during,
  type FaultHandler,
  partitionFor,
  pick,
  pickInstance,
} from "./fault_tools.ts";
import {
  evacuationFaultHandlers,
  type EvacuationFaultName,
  evacuationRows,
} from "./evacuation_faults.ts";
import {
  type FaultAfter,
  grownFaultHandlers,
  type GrownFaultName,
  grownRows,
} from "./grown_faults.ts";
import {
  momentFaultHandlers,
  type MomentFaultName,
  momentRows,
} from "./moment_faults.ts";
import { submitUntrustedJobs } from "./untrusted_jobs.ts";
import { zoneFaultHandlers, type ZoneFaultName } from "./zone_faults.ts";

/** Start of the load; the instances have elected a leader by then. */
const LOAD_START_MS = 3_000;
/** Faults start between `LOAD_START_MS` and this time. */
const FAULTS_END_MS = 16_000;
const LOAD_END_MS = 20_000;
/** End of a run; leaves time for all outstanding replies after the load. */
const RUN_END_MS = 28_000;
/** Number of workers of each zone in the reference fleet. */
const REFERENCE_WORKERS_PER_ZONE = 11;
/** Number of workers of each zone with which each zone has a leader. */
const CELLS_WORKERS_PER_ZONE = 36;
/** Time within which a query must be answered. */
const QUERY_TIMEOUT_MS = 20;
/**
 * Upper bound on the load of runs with records, whose accepted jobs must all
 * complete by the end.
 */
const MAX_RECORDED_LOAD = 1.1;
/** Fraction by which the clocks of workers run slow at most. */
const MAX_CLOCK_DRIFT = 0.02;
/** Shortest time without load in runs of idle workers. */
const MIN_IDLE_MS = 60_000;
/** Upper bound on the time between a job's submission and a further one. */
const MAX_RESUBMIT_DELAY_MS = 4_000;
/** Upper bound on the time between a job's submission and its cancellation. */
const MAX_CANCEL_DELAY_MS = 400;

/** Returns a queue of the service that the workers of the runs have. */
export function queueOf(
  name: string,
  { priority, objectiveMs = 60, timeoutMs = 6_000 }: {
    priority: number;
    objectiveMs?: number;
    timeoutMs?: number;
  },
): QueueRule {
  return {
    name,
    host: "h",
    pathPrefix: `/${name}/`,
    service: "s",
    priority,
    attempts: 3,
    stretch: 1.6,
    objectiveMs,
    timeoutMs,
  };
}

/**
 * The three kinds of the reference workload: `quote` is short and wide, `stock`
 * is long, `courier` is frequent.
 */
export const referenceKinds: readonly JobKind[] = [
  {
    queue: queueOf("quote", { priority: 0 }),
    perSecond: 17,
    taskMs: 60,
    cpuMilli: 14_000,
    width: 8,
    worth: 0.0291,
    lateWorth: 0.00582,
  },
  {
    queue: queueOf("stock", { priority: 2 }),
    perSecond: 3,
    taskMs: 900,
    cpuMilli: 14_000,
    width: 4,
    worth: 0.16,
    lateWorth: 0.032,
  },
  {
    queue: queueOf("courier", { priority: 1 }),
    perSecond: 49,
    taskMs: 200,
    cpuMilli: 14_000,
    width: 2,
    worth: 0.01,
    lateWorth: 0.002,
  },
];

/** Workers of the reference fleet: two sizes and three run time factors. */
export const referenceWorkers = [
  { cpuMilli: 32_000, runTimeFactor: 0.8 },
  { cpuMilli: 32_000, runTimeFactor: 1 },
  { cpuMilli: 48_000, runTimeFactor: 1.25 },
];

/** The name of a fault; see {@linkcode faultHandlers}. */
export type FaultName =
  | "untrustedJobs"
  | "kill"
  | "killAll"
  | "freeze"
  | "drain"
  | "zoneCut"
  | "nodeCut"
  | "workerCut"
  | "workerRestart"
  | "workerHang"
  | "workerFailsAll"
  | "workerLeaves"
  | "workersShrink"
  | "storeAway"
  | "storeTurnsAway"
  | "leaderKill"
  | "leaderRefused"
  | "scaleOut"
  | "zonesApart"
  | "damageJob"
  | GrownFaultName
  | MomentFaultName
  | CrossedFaultName
  | ZoneFaultName
  | EvacuationFaultName;

/**
 * Injects each fault. `nodeCut` separates an instance from the other instances
 * only, and `zonesApart` the instances of each zone from those of the others;
 * `freeze` pauses the process of an instance.
 */
export const faultHandlers: Record<FaultName, FaultHandler> = {
  kill: (world) =>
    world.kill(pickInstance(world), 600 + 1_000 * world.random()),
  killAll: (world) => {
    for (const { instanceId } of world.instances) world.kill(instanceId, 900);
  },
  freeze: (world, forMs) => world.pause(pickInstance(world), forMs),
  drain: (world) => {
    const instanceId = pickInstance(world);
    world.drain(instanceId);
    const endMs = world.queue.nowMs() + 3_000;
    world.queue.at(endMs, () => world.kill(instanceId, 500));
  },
  zoneCut: (world, forMs) => {
    const zone = pick(world, world.instances).availabilityZone;
    const isInside = (name: string): boolean =>
      name.startsWith(`${zone}-`) || name.startsWith(`w-${zone}-`);
    partitionFor(world, forMs, (a, b) => isInside(a) !== isInside(b));
  },
  nodeCut: (world, forMs) => {
    const isolatedId = pickInstance(world);
    const isInstance = (name: string): boolean =>
      world.instances.some((instance) => instance.instanceId === name);
    partitionFor(world, forMs, (a, b) => a === isolatedId && isInstance(b));
  },
  workerCut: (world, forMs) => {
    const { workerId } = pick(world, world.workers);
    partitionFor(world, forMs, (a) => a === workerId);
  },
  workerRestart: (world) =>
    pick(world, world.workers).restart(world.queue.nowMs()),
  workerHang: (world, forMs) => {
    const worker = pick(world, world.workers);
    during(world, forMs, {
      begin: () => worker.hangs = true,
      end: () => worker.hangs = false,
    });
  },
  workerFailsAll: (world, forMs) => {
    const worker = pick(world, world.workers);
    during(world, forMs, {
      begin: () => worker.failsAll = true,
      end: () => worker.failsAll = false,
    });
  },
  workerLeaves: (world, forMs) => {
    const worker = pick(world, world.workers);
    during(world, forMs, {
      begin: () => worker.draining = true,
      end: () => worker.draining = false,
    });
  },
  workersShrink: (world, forMs) => {
    for (const worker of world.workers) {
      if (world.random() < 0.5) continue;
      const { cpuMilli } = worker;
      during(world, forMs, {
        begin: () => world.setCapacity(worker, cpuMilli * world.random()),
        end: () => world.setCapacity(worker, cpuMilli),
      });
    }
  },
  storeAway: (world, forMs) =>
    during(world, forMs, {
      begin: () => world.setStoreUnavailable(true),
      end: () => world.setStoreUnavailable(false),
    }),
  storeTurnsAway: (world, forMs) => {
    const turnedAway = new Set(
      world.instances.filter(() => world.random() < 0.4)
        .map(({ instanceId }) => instanceId),
    );
    partitionFor(
      world,
      forMs,
      (a, b) => a === "store" && turnedAway.has(b),
    );
  },
  leaderKill: (world) => {
    for (const instanceId of world.leaders()) world.kill(instanceId, 1_000);
  },
  leaderRefused: (world, forMs) => {
    const [leader] = world.leaders();
    if (leader !== undefined) world.refuseConnections(leader, forMs);
  },
  scaleOut: (world) => world.setListed(world.workers, true),
  zonesApart: (world, forMs) => {
    const zones = new Map(
      world.instances.map((
        { instanceId, availabilityZone },
      ) => [instanceId, availabilityZone]),
    );
    partitionFor(
      world,
      forMs,
      (a, b) => zones.has(a) && zones.has(b) && zones.get(a) !== zones.get(b),
    );
  },
  damageJob,
  ...grownFaultHandlers,
  ...momentFaultHandlers,
  ...crossedFaultHandlers,
  ...zoneFaultHandlers,
  ...evacuationFaultHandlers,
  untrustedJobs: submitUntrustedJobs,
};

/** Jobs that were damaged; reading them again may throw. */
const damagedJobs = new WeakSet<object>();

/** Damages the state of a job that has not ended, at one of the leaders. */
function damageJob(world: World): void {
  const leaders = world.instances.flatMap(({ state }) =>
    state?.scheduler ? [state.scheduler] : []
  );
  const open = leaders.flatMap(({ jobs }) => [...jobs.values()])
    .filter((job) => job.outcome === null && !damagedJobs.has(job));
  if (open.length === 0) return;
  const { damage } = pick(world, jobDamages);
  const job = pick(world, open);
  damagedJobs.add(job);
  damage(job);
}

/** The reference kinds, two of them with persisted records. */
export const recordedKinds: readonly JobKind[] = referenceKinds.map((
  kind,
  index,
) =>
  index === 0
    ? { ...kind, guarantee: "recorded", perSecond: 8 }
    : index === 1
    ? { ...kind, guarantee: "atMostOnce", perSecond: 3 }
    : kind
);

/** The reference kinds, each of which has jobs that crash their workers. */
export const deadlyKinds: readonly JobKind[] = recordedKinds.map((kind) => ({
  ...kind,
  deadlyShare: 0.03,
}));

/** Jobs of which the tasks outlast a lease that ends late. */
const longKinds: readonly JobKind[] = referenceKinds
  .filter(({ taskMs }) => taskMs >= 900)
  .map((kind) => ({ ...kind, perSecond: 10 }));

/** Jobs of several steps, one after the other, beside those of one step. */
export const chainKinds: readonly JobKind[] = [
  {
    queue: queueOf("chain", { priority: 0 }),
    perSecond: 8,
    taskMs: 40,
    cpuMilli: 2_000,
    width: 1,
    stepCount: 8,
    guarantee: "recorded",
    worth: 0,
    lateWorth: 0,
  },
  {
    queue: queueOf("pair", { priority: 1 }),
    perSecond: 8,
    taskMs: 400,
    cpuMilli: 2_000,
    width: 2,
    stepCount: 2,
    worth: 0,
    lateWorth: 0,
  },
  ...recordedKinds,
];

/** The faults that {@linkcode drawRun} draws. */
const drawnFaults: readonly FaultName[] = [
  "kill",
  "killAll",
  "freeze",
  "drain",
  "zoneCut",
  "nodeCut",
  "workerCut",
  "workerRestart",
  "workerHang",
  "workerFailsAll",
  "storeAway",
];

/**
 * Callers that leave so that their entry learns of it late or never, and send
 * their requests again to any instance.
 */
export interface LeavingCallers {
  /** Share of callers that leave; of those that came again, too. */
  readonly share: number;
  /** Bound on the time after which the entry learns of it. */
  readonly maxNoticeMs: number;
  /** Share of those that leave of which the entry never learns. */
  readonly unnoticedShare: number;
  /** Times after which callers come again, drawn with equal weights. */
  readonly resendMs: readonly number[];
  /** Share of callers that also send their request to another zone. */
  readonly elsewhereShare: number;
  /** Time after the first request from which on they do. */
  readonly minElsewhereMs: number;
}

/** A run: its seed, load and faults. */
export interface EngineRun {
  readonly seed: number;
  /** Multiple of the reference arrival rates. */
  readonly load: number;
  readonly faults: readonly { atMs: number; name: FaultName; forMs: number }[];
  /** See {@linkcode WorldOptions.lateStartShare}. */
  readonly lateStartShare?: number;
  /** See {@linkcode WorldOptions.lostResponseShare}. */
  readonly lostResponseShare?: number;
  readonly kinds?: readonly JobKind[];
  readonly workersPerZone?: number;
  /** Share of jobs with a persisted record that are cancelled. */
  readonly cancelShare?: number;
  /** Share of jobs with a persisted record that are submitted once more. */
  readonly resubmitShare?: number;
  /** Number of workers that are listed from the fault `scaleOut` on. */
  readonly addedWorkers?: number;
  /** Share of callers of jobs in memory that disconnect and come again. */
  readonly leaveShare?: number;
  /** Weights of the zones by which callers choose an entry; all the same if undefined. */
  readonly callerShares?: readonly number[];
  /** Share of jobs in memory that are submitted to a second entry of the zone. */
  readonly twiceShare?: number;
  /** How callers of jobs in memory leave without a notice to their entry. */
  readonly leaving?: LeavingCallers;
  readonly zones?: readonly string[];
  readonly instancesPerZone?: number;
  /** See {@linkcode WorldOptions.resendMs}. */
  readonly resendMs?: number;
  /** See {@linkcode WorldOptions.maxClockDrift}. */
  readonly maxClockDrift?: number;
  /** See {@linkcode WorldOptions.cpuCoresOf}. */
  readonly cpuCoresOf?: (instanceId: string) => number;
  /** See {@linkcode WorldOptions.maxDownMs}. */
  readonly maxDownMs?: number;
  /** See {@linkcode WorldOptions.restoreMs}. */
  readonly restoreMs?: number;
  /** See {@linkcode WorldOptions.keepsOrder}. */
  readonly keepsOrder?: boolean;
  /** See {@linkcode WorldOptions.evacuateMs}. */
  readonly evacuateMs?: number;
  /** Time without any load or fault before those of the run; 0 by default. */
  readonly idleMs?: number;
}

/** The result of a run: violated guarantees and numbers of jobs by outcome. */
export interface RunResult {
  readonly violations: readonly string[];
  readonly jobs: number;
  readonly onTime: number;
  readonly done: number;
  readonly refused: number;
  readonly unknown: number;
  readonly unanswered: number;
}

/** Draws the load and the faults of a run from its seed. */
export function drawRun(seed: number): EngineRun {
  // This world is never run; only its random generator is used.
  const world = createWorld(worldOptions({ seed, load: 0, faults: [] }));
  const names = drawnFaults;
  const count = 2 + Math.floor(4 * world.random());
  const faults = Array.from({ length: count }, () => ({
    atMs: LOAD_START_MS +
      (FAULTS_END_MS - LOAD_START_MS) * world.random(),
    name: pick(world, names),
    forMs: 300 + 5_000 * world.random(),
  }));
  const lateStartShare = world.random() < 0.3 ? 0.03 : 0;
  return { seed, load: 0.5 + 1.2 * world.random(), faults, lateStartShare };
}

/**
 * Draws a run with records and cancellations; in some runs the store also loses
 * responses or is unavailable for a while.
 */
export function drawRecordedRun(seed: number): EngineRun {
  const { faults, load, ...run } = drawRun(seed);
  const outage = { atMs: LOAD_START_MS + 200 * (seed % 60), forMs: 2_500 };
  return {
    ...run,
    load: Math.min(load, MAX_RECORDED_LOAD),
    kinds: recordedKinds,
    cancelShare: 0.05,
    lostResponseShare: seed % 2 === 0 ? 0.05 : 0,
    faults: seed % 3 === 0
      ? [...faults, { ...outage, name: "storeAway" }]
      : faults,
  };
}

/**
 * Draws a run with tasks that crash their workers and with workers whose
 * capacity shrinks and grows, beside the other faults.
 */
export function drawDeadlyRun(seed: number): EngineRun {
  const { faults, ...run } = drawRecordedRun(seed);
  const atMs = LOAD_START_MS + 250 * (seed % 40);
  return {
    ...run,
    load: 0.6,
    kinds: deadlyKinds,
    faults: [...faults, { atMs, name: "workersShrink", forMs: 3_000 }],
  };
}

/**
 * Draws a run in which nothing happens for a minute or more; then the first
 * starts on idle workers, whose clocks run slow, are held up by cuts.
 */
export function drawIdleRun(seed: number): EngineRun {
  return {
    seed,
    load: 1,
    kinds: longKinds,
    faults: [{ atMs: LOAD_START_MS, name: "startsHeldByCut", forMs: 3_000 }],
    idleMs: MIN_IDLE_MS * (1 + seed % 3),
    maxClockDrift: MAX_CLOCK_DRIFT,
  };
}

/**
 * Draws a run in which callers that are not trusted submit jobs at and beyond each
 * bound, beside the other faults.
 */
export function drawUntrustedRun(seed: number): EngineRun {
  const { faults, ...run } = drawRecordedRun(seed);
  const atMs = LOAD_START_MS + 2_000;
  return {
    ...run,
    load: 0.4,
    faults: [...faults, { atMs, name: "untrustedJobs", forMs: 6_000 }],
  };
}

/** Draws a run with enough workers for each zone to have its own leader. */
export function drawCellsRun(seed: number): EngineRun {
  const { load, ...run } = seed % 2 === 0
    ? drawRecordedRun(seed)
    : drawRun(seed);
  return { ...run, ...cellsFleet(load) };
}

/** The load and the fleet of a run whose zones have a leader each. */
function cellsFleet(load: number): Pick<EngineRun, "load" | "workersPerZone"> {
  return {
    workersPerZone: CELLS_WORKERS_PER_ZONE,
    load: load * CELLS_WORKERS_PER_ZONE / REFERENCE_WORKERS_PER_ZONE,
  };
}

/** The faults of which {@linkcode drawZonesRun} adds one row to each run. */
const zoneRows: readonly (readonly FaultAfter<FaultName>[])[] = [
  [
    { name: "scaleOut", afterMs: 0, forMs: 0 },
    { name: "recordsZoneRestarts", afterMs: 2_000, forMs: 0 },
  ],
  [
    { name: "scaleOut", afterMs: 0, forMs: 0 },
    { name: "recordsZoneLost", afterMs: 2_000, forMs: 0 },
  ],
  [
    { name: "scaleOut", afterMs: 0, forMs: 0 },
    { name: "recordsZoneCut", afterMs: 2_000, forMs: 7_000 },
  ],
];

/** Number of workers that the fault `scaleOut` of these runs adds. */
const ZONES_ADDED_WORKERS = 10;
/** The recorded kinds, of which jobs require labels of all zones. */
const labelledKinds: readonly JobKind[] = recordedKinds.map((kind) =>
  kind.guarantee === "recorded" ? { ...kind, labelShare: 0.3 } : kind
);
/** Number of seeds after which the rows of faults of zones come again. */
export const ZONE_ROWS = zoneRows.length;

/**
 * Draws a run of recorded jobs in a fleet with a leader in each zone, in which
 * all instances of a zone are lost. Some jobs require labels of one zone's
 * workers. Half of the runs have other faults, too.
 */
export function drawZonesRun(seed: number): EngineRun {
  const { faults, load, ...run } = drawRecordedRun(seed);
  const row = zoneRows[seed % ZONE_ROWS] ?? [];
  const added = faultsOfRow(row, LOAD_START_MS + 1_000 + 175 * (seed % 40));
  return {
    ...run,
    ...cellsFleet(load),
    kinds: labelledKinds,
    // The zones are one cell at first, whose leader is in any of them.
    addedWorkers: ZONES_ADDED_WORKERS,
    faults: seed % 2 === 0 ? added : [...faults.slice(0, 2), ...added],
    keepsOrder: true,
  };
}

/** The faults of which {@linkcode drawSharingRun} adds one row to each run. */
const sharingRows: readonly (readonly FaultAfter<FaultName>[])[] = [
  [],
  [{ name: "zoneLeaderKilled", afterMs: 0, forMs: 0 }],
  [{ name: "zonesApart", afterMs: 0, forMs: 2_500 }],
  [
    { name: "zoneReportsHeld", afterMs: 0, forMs: 1_400 },
    { name: "zoneLeaderKilled", afterMs: 900, forMs: 0 },
  ],
  [
    { name: "zoneLeaderPaused", afterMs: 0, forMs: 2_000 },
    { name: "zoneReportsHeld", afterMs: 1_200, forMs: 1_200 },
  ],
  [
    { name: "zoneWorkersDrain", afterMs: 0, forMs: 4_000 },
    { name: "zoneLeaderKilled", afterMs: 1_500, forMs: 0 },
  ],
  [
    { name: "zoneLeaderKilled", afterMs: 0, forMs: 0 },
    { name: "zoneCut", afterMs: 600, forMs: 3_000 },
  ],
];
/** Number of seeds after which the rows of faults beside hand-overs come again. */
export const SHARING_ROWS = sharingRows.length;
/** Weights of the zones by which the callers of these runs choose an entry. */
const sharingSplits = [[1, 0, 0], [2, 1, 0], [3, 1, 1], [1, 1, 1]];

/**
 * Draws a run in which the callers of some zones bring more work than their cell
 * can do, so that jobs are handed over, beside lost leaders, partitions and
 * reports that arrive late. Without faults, some jobs have two entries.
 */
export function drawSharingRun(seed: number): EngineRun {
  const { faults, load, ...run } = drawRun(seed);
  const row = sharingRows[seed % SHARING_ROWS] ?? [];
  const added = faultsOfRow(row, LOAD_START_MS + 2_000 + 190 * (seed % 30));
  const callerShares = sharingSplits[seed % sharingSplits.length] ?? [];
  const fleet = { ...cellsFleet(load), callerShares, keepsOrder: true };
  if (row.length === 0) {
    return { ...run, ...fleet, lateStartShare: 0, faults: [], twiceShare: 0.2 };
  }
  return {
    ...run,
    ...fleet,
    faults: seed % 2 === 0 ? added : [...faults.slice(0, 1), ...added],
    leaveShare: 0.05,
    resendMs: RESEND_MS,
  };
}

/** Returns the faults of a row, the first of them at the given time. */
function faultsOfRow(
  row: readonly FaultAfter<FaultName>[],
  firstAtMs: number,
): EngineRun["faults"] {
  return row.map(({ name, afterMs, forMs }) => ({
    name,
    atMs: firstAtMs + afterMs,
    forMs,
  }));
}

/** The faults of which {@linkcode drawTakeoverRun} adds one row to each run. */
const takeoverFaults: readonly (readonly FaultAfter<FaultName>[])[] = [
  [
    { name: "storeTurnsAway", afterMs: 0, forMs: 9_000 },
    { name: "leaderKill", afterMs: 100, forMs: 0 },
    { name: "leaderKill", afterMs: 11_500, forMs: 0 },
  ],
  [{ name: "leaderRefused", afterMs: 0, forMs: 5_000 }],
  [{ name: "scaleOut", afterMs: 0, forMs: 0 }],
  [
    { name: "scaleOut", afterMs: 0, forMs: 0 },
    { name: "zonesApart", afterMs: 700, forMs: 3_000 },
  ],
  [
    { name: "leaderKill", afterMs: 0, forMs: 0 },
    { name: "leaderKill", afterMs: 5_000, forMs: 0 },
  ],
];

/** Number of seeds after which the rows of faults of takeovers come again. */
export const TAKEOVER_ROWS = takeoverFaults.length;

/**
 * Draws a run of recorded jobs in which the records or the workers change their
 * owner while jobs are submitted again and restoring a job takes long: the
 * leader is killed while the store turns instances away, is cut off with refused
 * connections, gets leaders of other cells beside it, which it may not reach, or
 * is killed twice. A further takeover shows what was written meanwhile.
 */
export function drawTakeoverRun(seed: number): EngineRun {
  const { faults, load, ...run } = drawRecordedRun(seed);
  const firstAtMs = LOAD_START_MS + 2_000 + 175 * (seed % 40);
  const row = takeoverFaults[seed % TAKEOVER_ROWS] ?? [];
  const added = faultsOfRow(row, firstAtMs);
  const isScaledOut = row.some(({ name }) => name === "scaleOut");
  return {
    ...run,
    // Half of the runs have only the faults of the row.
    faults: seed % 2 === 0 ? added : [...faults.slice(0, 2), ...added],
    ...(isScaledOut ? { ...cellsFleet(load), addedWorkers: 10 } : { load }),
    resubmitShare: 0.2,
    restoreMs: 8,
    keepsOrder: true,
  };
}

/** Faults of {@linkcode drawStepsRun}, of which each run has one more. */
const stepsFaults: readonly FaultName[] = [
  "leaderKill",
  "killAll",
  "drain",
  "leaderRefused",
];

/** Number of seeds after which these faults come again. */
export const STEPS_FAULTS = stepsFaults.length;

/**
 * Draws a run with jobs of several steps in which leaders are lost, so that runs
 * of later steps, and their ends, are found before the earlier ones are known to
 * be done.
 */
export function drawStepsRun(seed: number): EngineRun {
  const { faults, ...run } = drawRecordedRun(seed);
  const name = stepsFaults[seed % stepsFaults.length] ?? "leaderKill";
  const atMs = LOAD_START_MS + 1_500 + 235 * (seed % 30);
  const added = [
    { name, atMs, forMs: 2_000 },
    { name: "leaderKill" as const, atMs: atMs + 5_000, forMs: 0 },
  ];
  return {
    ...run,
    load: 0.7,
    kinds: chainKinds,
    faults: seed % 2 === 0 ? added : [...faults.slice(0, 2), ...added],
    keepsOrder: true,
  };
}

/** The fleet of {@linkcode drawGrownRun}: zones with a leader each. */
export const grownFleet = {
  zones: ["a", "b", "c", "d"],
  instancesPerZone: 4,
  workersPerZone: 28,
};
/** Number of seeds after which the rows of faults of a large fleet come again. */
export const GROWN_ROWS = grownRows.length;
/** Time after which callers come again, as the platform's callers do. */
const RESEND_MS = 1_300;

/**
 * Draws a run of many instances and workers in which several of the troubles of
 * a large fleet overlap. Most jobs are in memory.
 */
export function drawGrownRun(seed: number): EngineRun {
  const { faults, load, ...run } = drawRecordedRun(seed);
  const row = grownRows[seed % grownRows.length] ?? [];
  const firstAtMs = LOAD_START_MS + 2_000 + 190 * (seed % 30);
  const added = faultsOfRow(row, firstAtMs);
  const workerCount = grownFleet.workersPerZone * grownFleet.zones.length;
  return {
    ...run,
    ...grownFleet,
    load: load * workerCount / (3 * REFERENCE_WORKERS_PER_ZONE),
    kinds: [...referenceKinds, ...chainKinds.slice(0, 2)],
    faults: seed % 2 === 0 ? added : [...faults.slice(0, 1), ...added],
    leaveShare: 0.05,
    resendMs: RESEND_MS,
    keepsOrder: true,
  };
}

/** Number of seeds after which the rows of faults that meet come again. */
export const MOMENT_ROWS = momentRows.length;

/**
 * Draws a run of a large fleet in which faults meet around the leaders: they
 * wait for a moment of the run, such as a start or an election. Zones have a
 * leader each in half of the runs; in the others there is one for all.
 */
export function drawMomentRun(seed: number): EngineRun {
  const { faults, load, ...run } = drawRecordedRun(seed);
  const row = momentRows[seed % momentRows.length] ?? [];
  const firstAtMs = LOAD_START_MS + 2_000 + 190 * (seed % 30);
  const added = faultsOfRow(row, firstAtMs);
  const { zones, instancesPerZone } = grownFleet;
  const workersPerZone = seed % 4 < 2
    ? grownFleet.workersPerZone
    : REFERENCE_WORKERS_PER_ZONE;
  return {
    ...run,
    zones,
    instancesPerZone,
    workersPerZone,
    load: load * workersPerZone * zones.length /
      (3 * REFERENCE_WORKERS_PER_ZONE),
    kinds: [...referenceKinds, ...chainKinds.slice(0, 2)],
    faults: seed % 2 === 0 ? added : [...faults.slice(0, 1), ...added],
    leaveShare: 0.05,
    resendMs: RESEND_MS,
    keepsOrder: true,
    maxClockDrift: MAX_CLOCK_DRIFT,
  };
}

/** Number of seeds after which the rows of faults with evacuations come again. */
export const EVACUATION_ROWS = evacuationRows.length;
/** The bound on the time of an evacuation in these runs. */
const EVACUATE_MS = 5_000;
/** The load of these runs, which two of three zones can carry. */
const EVACUATION_LOAD = 0.55;

/**
 * Draws a run in which zones are evacuated beside faults of the store, of links
 * between zones and of leaders. Zones have a leader each in half of the runs, and
 * half of the runs have other faults, too.
 */
export function drawEvacuationRun(seed: number): EngineRun {
  const { faults, load: _, ...run } = drawRecordedRun(seed);
  const row: readonly FaultAfter<FaultName>[] =
    evacuationRows[seed % EVACUATION_ROWS] ?? [];
  const added = faultsOfRow(row, LOAD_START_MS + 500 + 95 * (seed % 20));
  const hasCells = seed % 4 < 2;
  return {
    ...run,
    ...(hasCells ? cellsFleet(EVACUATION_LOAD) : { load: EVACUATION_LOAD }),
    kinds: seed % 3 === 0 ? chainKinds : labelledKinds,
    faults: seed % 8 < 4 ? added : [...faults.slice(0, 2), ...added],
    keepsOrder: true,
    evacuateMs: EVACUATE_MS,
  };
}

/**
 * Returns the processor cores of an instance of a fleet in which two instances
 * of each zone are larger than the others.
 */
export function unequalCoresOf(instanceId: string): number {
  return /-[12]$/.test(instanceId) ? 1.35 : 0.324;
}

/** Returns the options of the world of a run, which has the reference fleet. */
export function worldOptions(
  {
    seed,
    lateStartShare,
    lostResponseShare,
    kinds = referenceKinds,
    workersPerZone = REFERENCE_WORKERS_PER_ZONE,
    restoreMs = 0,
    keepsOrder = false,
    zones = ["a", "b", "c"],
    instancesPerZone = 2,
    resendMs,
    maxClockDrift = 0,
    cpuCoresOf,
    maxDownMs,
    evacuateMs,
  }: EngineRun,
) {
  return {
    seed,
    zones,
    instancesPerZone,
    ...(resendMs === undefined ? {} : { resendMs }),
    ...(cpuCoresOf === undefined ? {} : { cpuCoresOf }),
    ...(maxDownMs === undefined ? {} : { maxDownMs }),
    workersPerZone,
    workerSizes: referenceWorkers,
    kinds,
    lateStartShare: lateStartShare ?? 0,
    lostResponseShare: lostResponseShare ?? 0,
    restoreMs,
    keepsOrder,
    maxClockDrift,
    evacuateMs,
  };
}

/**
 * Simulates a run to its end.
 *
 * @example
 * ```ts
 * (await simulateRun(drawRun(17))).violations; // [] if every guarantee holds
 * ```
 */
export async function simulateRun(
  run: EngineRun,
  options: Pick<WorldOptions, "onLog" | "guards"> = {},
): Promise<RunResult> {
  const damagesJobs = run.faults.some(({ name }) => name === "damageJob");
  const world = createWorld({ ...worldOptions(run), damagesJobs, ...options });
  const { callerShares, idleMs = 0 } = run;
  const chooseEntry = callerShares === undefined
    ? {}
    : { chooseEntry: () => chooseEntryOf(world, callerShares) };
  for (const kind of run.kinds ?? referenceKinds) {
    scheduleArrivals(world, kind, {
      ...run,
      ...chooseEntry,
      beginMs: LOAD_START_MS + idleMs,
      endMs: LOAD_END_MS + idleMs,
    });
  }
  world.setListed(world.workers.slice(0, run.addedWorkers ?? 0), false);
  for (const { atMs, name, forMs } of run.faults) {
    world.queue.at(atMs + idleMs, () => faultHandlers[name](world, forMs));
  }
  await world.run(RUN_END_MS + idleMs);
  await checkAcceptedJobs(world);
  if (run.resendMs !== undefined) checkAnswers(world);
  if (!run.faults.some(({ name }) => name === "workerFailsAll")) {
    checkFailedJobs(world);
  }
  return resultOf(world);
}

/** Checks, where no worker fails tasks, that only deadly tasks fail a job. */
function checkFailedJobs(world: World): void {
  for (const { jobId, outcome, isDeadly } of world.jobs.values()) {
    if (outcome?.kind !== "failed" || isDeadly) continue;
    world.violations.push(`failed: ${jobId}, of which no task is deadly`);
  }
}

/**
 * Checks that each job in memory was answered, where callers whose connections
 * end come again.
 */
function checkAnswers(world: World): void {
  for (const { jobId, kind, outcome } of world.jobs.values()) {
    if (kind.guarantee !== undefined || outcome !== null) continue;
    world.violations.push(`unanswered: ${jobId}`);
  }
}

/** Checks after all faults that each accepted job is known and has ended. */
async function checkAcceptedJobs(world: World): Promise<void> {
  for (const record of world.jobs.values()) {
    if (!record.accepted) continue;
    let replyKind = "nothing";
    world.queryJob(record, (reply) => {
      replyKind = reply.kind;
      if (reply.kind !== "ended") return;
      const { outcome } = reply;
      record.outcome ??= outcome;
      // Only an at-most-once job and one with an internal error may end so.
      if (outcome.kind !== "unknown") return;
      const isLost = record.kind.guarantee === "recorded" &&
        outcome.reason !== "internalError";
      if (isLost) replyKind = `ended as unknown, ${outcome.reason},`;
    });
    await world.run(world.queue.nowMs() + QUERY_TIMEOUT_MS);
    if (replyKind === "ended") continue;
    world.violations.push(
      `accepted: ${record.jobId} is ${replyKind} in the end`,
    );
  }
}

/**
 * Submits jobs of a kind at exponentially distributed intervals, by default to
 * random instances.
 */
export function scheduleArrivals(
  world: World,
  kind: JobKind,
  {
    load,
    cancelShare = 0,
    resubmitShare = 0,
    leaveShare = 0,
    twiceShare = 0,
    leaving,
    beginMs = LOAD_START_MS,
    endMs = LOAD_END_MS,
    chooseEntry = () =>
      pick({ random: world.jobRandom }, world.instances).instanceId,
  }: {
    load: number;
    cancelShare?: number;
    resubmitShare?: number;
    leaveShare?: number;
    twiceShare?: number;
    leaving?: LeavingCallers;
    beginMs?: number;
    endMs?: number;
    /** Returns the instance that gets the next job; any one by default. */
    chooseEntry?: () => string;
  },
): void {
  const gapMs = 1_000 / (kind.perSecond * load);
  const scheduleNext = (atMs: number): void => {
    if (atMs > endMs) return;
    world.queue.at(atMs, () => {
      const record = world.submit(chooseEntry(), kind);
      if (record !== null && kind.guarantee !== undefined) {
        if (cancelShare > 0) cancelWithChance(world, record, cancelShare);
        if (resubmitShare > 0 && world.random() < resubmitShare) {
          resubmitLater(world, record);
        }
      }
      if (record !== null && kind.guarantee === undefined) {
        if (leaveShare > 0 && world.random() < leaveShare) {
          leaveLater(world, record);
        }
        if (twiceShare > 0 && world.random() < twiceShare) {
          submitTwice(world, record);
        }
        if (leaving !== undefined) leaveUnnoticed(world, record, leaving);
      }
      scheduleNext(atMs - gapMs * Math.log(1 - world.jobRandom()));
    });
  };
  scheduleNext(beginMs);
}

/** Schedules a further submission of a job, unless the job was not accepted. */
function resubmitLater(world: World, record: CallerRecord): void {
  const atMs = world.queue.nowMs() + MAX_RESUBMIT_DELAY_MS * world.random();
  world.queue.at(atMs, () => {
    if (record.accepted) world.resubmit(record);
  });
}

/** Schedules that the caller of a job disconnects, unless it is answered. */
function leaveLater(world: World, record: CallerRecord): void {
  const atMs = world.queue.nowMs() + MAX_CANCEL_DELAY_MS * world.random();
  world.queue.at(atMs, () => {
    if (record.outcome === null) world.disconnectCaller(record);
  });
}

/** Schedules that the caller of a job leaves, or sends its request twice. */
function leaveUnnoticed(
  world: World,
  record: CallerRecord,
  leaving: LeavingCallers,
): void {
  const { random, queue } = world;
  const {
    share,
    maxNoticeMs,
    unnoticedShare,
    elsewhereShare,
    minElsewhereMs,
  } = leaving;
  if (random() < elsewhereShare) {
    const atMs = queue.nowMs() + minElsewhereMs +
      MAX_CANCEL_DELAY_MS * random();
    queue.at(atMs, () => {
      if (record.outcome === null) world.submitElsewhere(record);
    });
    return;
  }
  if (random() >= share) return;
  queue.at(queue.nowMs() + MAX_CANCEL_DELAY_MS * random(), () => {
    if (record.outcome !== null) return;
    const isUnnoticed = random() < unnoticedShare;
    const noticedAfterMs = isUnnoticed ? Infinity : maxNoticeMs * random();
    const resendMs = pick(world, leaving.resendMs);
    world.disconnectCaller(record, { noticedAfterMs, resendMs });
    queue.at(queue.nowMs() + resendMs, () => {
      if (record.outcome === null) leaveUnnoticed(world, record, leaving);
    });
  });
}

/** Schedules the submission of a job to a second entry, unless it is answered. */
function submitTwice(world: World, record: CallerRecord): void {
  const atMs = world.queue.nowMs() + MAX_CANCEL_DELAY_MS * world.random();
  world.queue.at(atMs, () => {
    if (record.outcome === null) world.submitBeside(record);
  });
}

/**
 * Chooses a running instance of a zone, which is drawn by the weights of the
 * zones in the order of their names; any instance if none of the zone runs.
 */
export function chooseEntryOf(
  world: World,
  weights: readonly number[],
): string {
  const { instances } = world;
  const zones = [...new Set(instances.map((one) => one.availabilityZone))];
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  let drawn = world.random() * total;
  const index = weights.findIndex((weight) => (drawn -= weight) < 0);
  const near = instances.filter(({ availabilityZone, state }) =>
    availabilityZone === zones[index] && state !== null
  );
  return pick(world, near.length > 0 ? near : instances).instanceId;
}

/** Schedules the cancellation of a job with the given probability. */
function cancelWithChance(
  world: World,
  record: CallerRecord,
  cancelShare: number,
): void {
  if (world.random() >= cancelShare) return;
  const atMs = world.queue.nowMs() + MAX_CANCEL_DELAY_MS * world.random();
  world.queue.at(atMs, () => world.cancel(record));
}

function resultOf(world: World): RunResult {
  const records = [...world.jobs.values()];
  const count = (kind: string): number =>
    records.filter((record) => record.outcome?.kind === kind).length;
  const onTime =
    records.filter(({ outcome, kind, ...record }) =>
      outcome?.kind === "done" &&
      record.answeredAtMs - record.sentAtMs <=
        kind.queue.stretch * record.idealMs + kind.queue.objectiveMs
    ).length;
  return {
    violations: world.violations,
    jobs: records.length,
    onTime,
    done: count("done"),
    refused: count("refused"),
    unknown: count("unknown"),
    unanswered: records.filter((record) => record.outcome === null).length,
  };
}
