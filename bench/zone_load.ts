/**
 * Load patterns of a fleet whose zones have a leader each, with callers that are
 * divided unevenly between the zones, and what is measured of them: how many
 * jobs are in time, which are refused although workers are idle, and how many
 * run in another zone than that of their callers.
 */

import {
  chooseEntryOf,
  referenceKinds,
  scheduleArrivals,
} from "./engine_runs.ts";
import {
  type CallerRecord,
  createWorld,
  type JobKind,
  type World,
} from "./engine_world.ts";

const LOAD_START_MS = 3_000;
const LOAD_END_MS = 12_000;
const RUN_END_MS = 18_000;
const ZONES = ["a", "b", "c"];
const INSTANCES_PER_ZONE = 3;
/** More than 100 workers in all, so that each zone has its own leader. */
const CELLS_WORKERS_PER_ZONE = 36;
/** The most workers of each zone with which all zones are one cell. */
const ONE_CELL_WORKERS_PER_ZONE = 33;
/** Workers of each zone for which the rates of the reference kinds are given. */
const RATED_WORKERS_PER_ZONE = 11;
/**
 * Reference load at which the tasks of the reference kinds occupy all places of
 * the workers.
 */
const FULL_LOAD = 2;
const SAMPLE_MS = 25;
/** Samples over which a worker must be idle for a refusal to be counted. */
const IDLE_SAMPLES = 5;
/** Texts of the log lines of an entry that hands a job to another zone. */
const CROSSING_TEXTS = new Set(["job handed to another cell"]);

const [quoteKind] = referenceKinds;

/** The reference kinds, and one with up to 168 tasks in a job. */
const zoneKinds: readonly JobKind[] = [
  ...referenceKinds,
  {
    ...(quoteKind as JobKind),
    queue: { ...(quoteKind as JobKind).queue, name: "wide", priority: 1 },
    perSecond: 1,
    taskMs: 120,
    cpuMilli: 4_000,
    width: 42,
  },
];

/** Returns the weights of the zones by which callers choose an entry. */
type Split = (nowMs: number) => readonly number[];

/** A load pattern of a fleet with several zones. */
export interface ZonePattern {
  readonly name: string;
  /** Load as a share of the places of all workers. */
  readonly load: number;
  readonly split: Split;
  /** Additional load of the callers of the first zone from 5 s to 7 s. */
  readonly burst?: number;
  /** The leader of the first zone is silent from 6 s to 9 s. */
  readonly losesLeader?: boolean;
}

const even: Split = () => [1, 1, 1];

/** The callers of a second are at one zone, those of the next at another one. */
function shiftingSplit(nowMs: number): readonly number[] {
  const busy = Math.floor(nowMs / 1_000) % ZONES.length;
  return ZONES.map((_, index) => (index === busy ? 8 : 1));
}

/** The standard patterns of a fleet with several zones. */
export const zonePatterns: readonly ZonePattern[] = [
  { name: "1:1:1, 0.5", load: 0.5, split: even },
  { name: "1:1:1, 0.75", load: 0.75, split: even },
  { name: "1:1:1, 0.9", load: 0.9, split: even },
  { name: "1:1:1, 0.95", load: 0.95, split: even },
  { name: "2:1:0, 0.5", load: 0.5, split: () => [2, 1, 0] },
  { name: "2:1:0, 0.75", load: 0.75, split: () => [2, 1, 0] },
  { name: "2:1:0, 0.95", load: 0.95, split: () => [2, 1, 0] },
  { name: "3:0:0, 0.5", load: 0.5, split: () => [1, 0, 0] },
  { name: "3:0:0, 0.75", load: 0.75, split: () => [1, 0, 0] },
  { name: "3:0:0, 0.95", load: 0.95, split: () => [1, 0, 0] },
  { name: "shifting, 0.75", load: 0.75, split: shiftingSplit },
  { name: "burst of one, 0.5", load: 0.5, split: even, burst: 0.4 },
  { name: "one full, 0.4", load: 0.4, split: () => [1, 0, 0] },
  { name: "all full, 1.3", load: 1.3, split: even },
  { name: "leader lost, 0.7", load: 0.7, split: even, losesLeader: true },
];

/** What is measured of a run. */
export interface ZoneResult {
  readonly jobs: number;
  /** Share of the jobs that were done within their objective. */
  readonly inTime: number;
  readonly refused: number;
  /**
   * Refusals of jobs that could still meet their objective while workers had
   * been idle for 100 ms that have room for all tasks of the job.
   */
  readonly refusedBesideIdle: number;
  /** Share of the jobs that were handed to another zone. */
  readonly crossed: number;
  readonly violations: readonly string[];
}

/** Simulates a pattern with a leader in each zone, or with one leader for all. */
export async function simulateZones(
  pattern: ZonePattern,
  { seed, isOneCell }: { seed: number; isOneCell: boolean },
): Promise<ZoneResult> {
  const workersPerZone = isOneCell
    ? ONE_CELL_WORKERS_PER_ZONE
    : CELLS_WORKERS_PER_ZONE;
  const crossed = new Set<unknown>();
  const world = createWorld({
    seed,
    zones: ZONES,
    instancesPerZone: INSTANCES_PER_ZONE,
    workersPerZone,
    workerSizes: [
      { cpuMilli: 32_000, runTimeFactor: 0.8 },
      { cpuMilli: 32_000, runTimeFactor: 1 },
      { cpuMilli: 48_000, runTimeFactor: 1.25 },
    ],
    kinds: zoneKinds,
    keepsOrder: true,
    onLog: (_instanceId, _nowMs, line) => {
      if (CROSSING_TEXTS.has(String(line["text"]))) crossed.add(line["jobId"]);
    },
  });
  const scale = FULL_LOAD * workersPerZone / RATED_WORKERS_PER_ZONE;
  const span = { beginMs: LOAD_START_MS, endMs: LOAD_END_MS };
  for (const kind of zoneKinds) {
    const chooseEntry = () =>
      chooseEntryOf(world, pattern.split(world.queue.nowMs()));
    scheduleArrivals(world, kind, {
      load: pattern.load * scale,
      ...span,
      chooseEntry,
    });
    if (pattern.burst === undefined) continue;
    scheduleArrivals(world, kind, {
      load: pattern.burst * scale,
      beginMs: 5_000,
      endMs: 7_000,
      chooseEntry: () => chooseEntryOf(world, [1, 0, 0]),
    });
  }
  if (pattern.losesLeader === true) {
    world.queue.at(6_000, () => {
      const leader = world.leaders().find((id) =>
        isOneCell || id.startsWith("a-")
      );
      if (leader !== undefined) world.pause(leader, 3_000);
    });
  }
  const refusedBesideIdle = watchRefusals(world);
  await world.run(RUN_END_MS);
  const records = [...world.jobs.values()];
  return {
    jobs: records.length,
    inTime: records.filter(isInTime).length / records.length,
    refused:
      records.filter(({ outcome }) => outcome?.kind === "refused").length,
    refusedBesideIdle: refusedBesideIdle(),
    crossed: crossed.size / records.length,
    violations: world.violations,
  };
}

function objectiveMsOf({ kind, idealMs }: CallerRecord): number {
  return kind.queue.stretch * idealMs + kind.queue.objectiveMs;
}

function isInTime(record: CallerRecord): boolean {
  return record.outcome?.kind === "done" &&
    record.answeredAtMs - record.sentAtMs <= objectiveMsOf(record);
}

/** Counts refusals beside idle workers during a run. */
function watchRefusals(world: World): () => number {
  const history: number[][] = [];
  const seen = new Set<CallerRecord>();
  let count = 0;
  const sample = (): void => {
    history.push(
      world.workers.map((worker) => worker.cpuMilli - worker.usedCpuMilli()),
    );
    if (history.length > IDLE_SAMPLES) history.shift();
    for (const record of world.jobs.values()) {
      if (record.outcome?.kind !== "refused" || seen.has(record)) continue;
      seen.add(record);
      if (couldStillRun(record) && fitsIdle(record)) count += 1;
    }
    world.queue.at(world.queue.nowMs() + SAMPLE_MS, sample);
  };
  const couldStillRun = (record: CallerRecord): boolean =>
    record.answeredAtMs - record.sentAtMs + record.idealMs <=
      objectiveMsOf(record);
  const fitsIdle = ({ spec, width }: CallerRecord): boolean => {
    const taskMilli = spec.steps[0]?.cpuMilli ?? 1;
    let places = 0;
    for (const index of world.workers.keys()) {
      const freeMilli = Math.min(
        ...history.map((sampled) => sampled[index] ?? 0),
      );
      places += Math.max(0, Math.floor(freeMilli / taskMilli));
    }
    return places >= width;
  };
  world.queue.at(LOAD_START_MS, sample);
  return () => count;
}

/** Prints one line for each pattern: means over the seeds, with one cell beside. */
export async function printZonePatterns(seeds: number): Promise<void> {
  process.stdout.write(
    "pattern            one cell  zones   ratio  refused  beside idle  crossed\n",
  );
  for (const pattern of zonePatterns) {
    const sums = { cell: 0, zones: 0, refused: 0, beside: 0, crossed: 0 };
    for (let seed = 1; seed <= seeds; seed += 1) {
      const oneCell = await simulateZones(pattern, { seed, isOneCell: true });
      const zones = await simulateZones(pattern, { seed, isOneCell: false });
      sums.cell += oneCell.inTime / seeds;
      sums.zones += zones.inTime / seeds;
      sums.refused += zones.refused / zones.jobs / seeds;
      sums.beside += zones.refusedBesideIdle / zones.jobs / seeds;
      sums.crossed += zones.crossed / seeds;
      const [violation] = [...oneCell.violations, ...zones.violations];
      if (violation !== undefined) {
        process.stdout.write(`${pattern.name}, seed ${seed}: ${violation}\n`);
      }
    }
    const columns = [
      sums.cell,
      sums.zones,
      sums.zones / sums.cell,
      sums.refused,
      sums.beside,
      sums.crossed,
    ].map((value) => value.toFixed(3).padStart(8));
    process.stdout.write(`${pattern.name.padEnd(18)}${columns.join(" ")}\n`);
  }
}
