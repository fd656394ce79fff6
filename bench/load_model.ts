/**
 * An offline load model: simulates the real engine with fake workers under
 * several load patterns. Prints, for each pattern, the mean share of worth
 * earned over the seeds from 1 to SEEDS, 3 by default, and the outcomes with
 * seed 1; for the patterns of the overload mix also how the sizes of a kind are
 * served, and the processor time of the engines for each job.
 *
 * Usage: load_model.js [SEEDS] [PATTERN]
 *
 * PATTERN is the begin of the names of the patterns to simulate. With `zones`,
 * simulates the patterns of a fleet whose zones have a leader each instead, see
 * `zone_load.ts`.
 */

import {
  referenceKinds,
  scheduleArrivals,
  worldOptions,
} from "./engine_runs.ts";
import {
  type CallerRecord,
  createWorld,
  type JobKind,
  type WorldOptions,
  worthFactor,
} from "./engine_world.ts";
import { mixFleet, mixKinds, mixLoad, mixTailedKinds } from "./overload_mix.ts";
import { printZonePatterns } from "./zone_load.ts";

const LOAD_START_MS = 3_000;
const LOAD_END_MS = 15_000;
const RUN_END_MS = 21_000;
/** End of the load in patterns of the overload mix, which has more jobs. */
const MIX_LOAD_END_MS = 11_000;
const MIX_RUN_END_MS = 17_000;

/** Additional load of one kind during a part of the run. */
export interface Burst {
  readonly kind: string;
  /** The additional load, as a multiple of `base`. */
  readonly factor: number;
  readonly beginMs: number;
  readonly endMs: number;
}

/** A load pattern, in multiples of the reference arrival rates. */
export interface LoadPattern {
  readonly name: string;
  /** Load of all kinds during the whole run. */
  readonly base: number;
  /** Time at which the run ends; `RUN_END_MS` by default. */
  readonly endMs?: number;
  /** Time at which the load ends; `LOAD_END_MS` by default. */
  readonly loadEndMs?: number;
  /** The kinds of jobs; the reference kinds by default. */
  readonly kinds?: readonly JobKind[];
  /** The fleet; the reference fleet by default. */
  readonly fleet?: Partial<WorldOptions>;
  readonly bursts?: readonly Burst[];
}

function burstOf(
  kind: string,
  factor: number,
  endMs: number,
  beginMs = 5_000,
): Burst {
  return { kind, factor, beginMs, endMs };
}

/**
 * The reference kinds with a long tail: a long task takes several times as long
 * as the others of its job, which is no sign that it hangs.
 */
const longTailedKinds = referenceKinds.map((kind) => ({
  ...kind,
  queue: { ...kind.queue, timeoutMs: 60_000 },
  tail: { share: 0.06, factor: 9 },
}));

/** The standard load patterns. */
export const loadPatterns: readonly LoadPattern[] = [
  { name: "steady", base: 1 },
  { name: "high", base: 1.5 },
  { name: "over", base: 2.1 },
  { name: "stock burst", base: 1.4, bursts: [burstOf("stock", 1.5, 11_000)] },
  { name: "quote burst", base: 1.4, bursts: [burstOf("quote", 0.8, 9_000)] },
  {
    name: "courier burst",
    base: 1.4,
    bursts: [burstOf("courier", 0.9, 9_000)],
  },
  // A job of the long tail may take longer than the run of the other patterns.
  { name: "long tail", base: 0.8, kinds: longTailedKinds, endMs: 75_000 },
];

/** A pattern of the overload mix at a load in shares of the nominal cores. */
function mixPattern(
  name: string,
  load: number,
  pattern: Partial<LoadPattern> = {},
): LoadPattern {
  return {
    name: `mix ${name}`,
    base: mixLoad(load),
    kinds: mixKinds,
    fleet: mixFleet,
    loadEndMs: MIX_LOAD_END_MS,
    endMs: MIX_RUN_END_MS,
    ...pattern,
  };
}

/** The patterns of the overload mix, in which zones are cells. */
export const mixPatterns: readonly LoadPattern[] = [
  mixPattern("0.75", 0.75),
  mixPattern("1.06", 1.06),
  mixPattern("1.40", 1.40),
  mixPattern("1.06 tail", 1.06, { kinds: mixTailedKinds }),
  mixPattern("0.75 burst", 0.75, {
    bursts: [burstOf("middle", 1.5, 7_500)],
  }),
  mixPattern("0.75 bursts", 0.75, {
    bursts: [
      burstOf("long", 2, 8_000),
      burstOf("middle", 1.5, 9_000, 6_000),
      burstOf("small", 1, 10_000, 7_000),
    ],
  }),
];

/** Shares of the jobs of a kind that are done, within the objective or late. */
export interface ServedShares {
  readonly all: number;
  /** Of the tenth of the jobs with the most work, and of the fifth below it. */
  readonly mostWork: number;
  readonly muchWork: number;
  /** Of the tenth of the jobs with the most tasks, and of the fifth below it. */
  readonly widest: number;
  readonly wide: number;
}

/** Outcomes of the jobs of one kind. */
export interface KindResult {
  readonly kind: string;
  readonly jobs: number;
  readonly onTime: number;
  readonly late: number;
  readonly refused: number;
  /** Refused after more than a quarter of the latency objective. */
  readonly refusedLate: number;
  /** Shares of jobs that are done, by the size of the job. */
  readonly served: ServedShares;
  /** Worth earned, as a share of the worth of all jobs of the kind. */
  readonly credit: number;
}

/** The result of a simulated load pattern. */
export interface LoadResult {
  readonly kinds: readonly KindResult[];
  /** Share of the worth of all jobs that was earned. */
  readonly credit: number;
  /** Core-seconds of runs that ended without success. */
  readonly discardedCoreS: number;
  /** Processor time of all engines for each job. */
  readonly engineMsPerJob: number;
  readonly violations: readonly string[];
}

/** Simulates a load pattern. */
export async function simulateLoad(
  pattern: LoadPattern,
  { seed }: { seed: number },
): Promise<LoadResult> {
  const kindsOfPattern = pattern.kinds ?? referenceKinds;
  const world = createWorld({
    ...worldOptions({ seed, load: 0, faults: [] }),
    ...pattern.fleet,
    measuresCpu: true,
  });
  const endMs = pattern.loadEndMs ?? LOAD_END_MS;
  const span = { beginMs: LOAD_START_MS, endMs };
  for (const kind of kindsOfPattern) {
    scheduleArrivals(world, kind, { load: pattern.base, ...span });
    for (const burst of pattern.bursts ?? []) {
      if (burst.kind !== kind.queue.name) continue;
      scheduleArrivals(world, kind, {
        ...burst,
        load: pattern.base * burst.factor,
      });
    }
  }
  await world.run(pattern.endMs ?? RUN_END_MS);
  const records = [...world.jobs.values()];
  const kinds = kindsOfPattern.map((kind) => resultOf(kind, records));
  return {
    kinds,
    credit: sumOf(records, earnedWorthOf) / sumOf(records, fullWorthOf),
    discardedCoreS: world.discardedMilliMs() / 1e6,
    engineMsPerJob: world.engineCpuMs() / Math.max(1, records.length),
    violations: world.violations,
  };
}

function sumOf(
  records: readonly CallerRecord[],
  valueOf: (record: CallerRecord) => number,
): number {
  return records.reduce((sum, record) => sum + valueOf(record), 0);
}

function fullWorthOf(record: CallerRecord): number {
  return record.kind.worth * worthFactor(record);
}

function isOnTime({ kind, sentAtMs, answeredAtMs, idealMs }: CallerRecord) {
  const objectiveMs = kind.queue.stretch * idealMs + kind.queue.objectiveMs;
  return answeredAtMs - sentAtMs <= objectiveMs;
}

function isRefusedLate(record: CallerRecord): boolean {
  const { kind, sentAtMs, answeredAtMs, idealMs, outcome } = record;
  const objectiveMs = kind.queue.stretch * idealMs + kind.queue.objectiveMs;
  return outcome?.kind === "refused" &&
    answeredAtMs - sentAtMs > objectiveMs / 4;
}

function earnedWorthOf(record: CallerRecord): number {
  if (record.outcome?.kind !== "done") return 0;
  const { worth, lateWorth } = record.kind;
  return (isOnTime(record) ? worth : lateWorth) * worthFactor(record);
}

/** Returns the share of the jobs between two quantiles of a size that are done. */
function servedShare(
  records: readonly CallerRecord[],
  sizeOf: (record: CallerRecord) => number,
  [from, to]: readonly [number, number],
): number {
  const sorted = records.toSorted((a, b) =>
    sizeOf(a) - sizeOf(b) || a.workMilliMs - b.workMilliMs
  );
  const part = sorted.slice(
    Math.floor(from * sorted.length),
    Math.floor(to * sorted.length),
  );
  const done = part.filter(({ outcome }) => outcome?.kind === "done").length;
  return done / Math.max(1, part.length);
}

function servedShares(records: readonly CallerRecord[]): ServedShares {
  const workOf = ({ workMilliMs }: CallerRecord) => workMilliMs;
  const widthOf = ({ width }: CallerRecord) => width;
  return {
    all: servedShare(records, workOf, [0, 1]),
    mostWork: servedShare(records, workOf, [0.9, 1]),
    muchWork: servedShare(records, workOf, [0.7, 0.9]),
    widest: servedShare(records, widthOf, [0.9, 1]),
    wide: servedShare(records, widthOf, [0.7, 0.9]),
  };
}

function resultOf(
  kind: JobKind,
  records: readonly CallerRecord[],
): KindResult {
  const kindRecords = records.filter((record) => record.kind === kind);
  const done = kindRecords.filter((record) => record.outcome?.kind === "done");
  const onTime = done.filter(isOnTime).length;
  return {
    kind: kind.queue.name,
    jobs: kindRecords.length,
    onTime,
    late: done.length - onTime,
    refused:
      kindRecords.filter((record) => record.outcome?.kind === "refused").length,
    refusedLate: kindRecords.filter(isRefusedLate).length,
    served: servedShares(kindRecords),
    credit: sumOf(kindRecords, earnedWorthOf) / sumOf(kindRecords, fullWorthOf),
  };
}

/** Returns the lines that describe the outcomes of a pattern of the mix. */
function mixLines(result: LoadResult): string[] {
  const percent = (share: number): string => `${Math.round(100 * share)}%`;
  return result.kinds.map((kind) => {
    const { jobs, onTime, late, refused, refusedLate, served } = kind;
    return `  ${kind.kind.padEnd(7)}in time ${percent(onTime / jobs)}, late ` +
      `${percent(late / jobs)}, refused at once ` +
      `${percent((refused - refusedLate) / jobs)}, after waiting ` +
      `${percent(refusedLate / jobs)} of ${jobs}; worth ` +
      `${kind.credit.toFixed(3)}; served ${percent(served.all)}, most work ` +
      `${percent(served.mostWork)} and ${percent(served.muchWork)}, widest ` +
      `${percent(served.widest)} and ${percent(served.wide)}`;
  });
}

/** Prints the results of a pattern of the mix with the seeds from 1. */
async function printMix(pattern: LoadPattern, seeds: number): Promise<void> {
  let credit = 0;
  let engineMs = 0;
  let lines: string[] = [];
  for (let seed = 1; seed <= seeds; seed += 1) {
    const result = await simulateLoad(pattern, { seed });
    credit += result.credit / seeds;
    engineMs += result.engineMsPerJob / seeds;
    if (seed === 1) lines = mixLines(result);
    for (const violation of result.violations) lines.push(`  ${violation}`);
  }
  process.stdout.write(
    `${pattern.name.padEnd(16)} ${credit.toFixed(3)}  engine ` +
      `${engineMs.toFixed(2)} ms a job\n${lines.join("\n")}\n`,
  );
}

async function main(): Promise<void> {
  const seeds = Number(process.argv[2] ?? 3);
  const prefix = process.argv[3] ?? "";
  if (prefix === "zones") {
    await printZonePatterns(seeds);
    return;
  }
  for (const pattern of mixPatterns) {
    if (pattern.name.startsWith(prefix)) await printMix(pattern, seeds);
  }
  for (const pattern of loadPatterns) {
    if (!pattern.name.startsWith(prefix)) continue;
    let credit = 0;
    const lines: string[] = [];
    for (let seed = 1; seed <= seeds; seed += 1) {
      const result = await simulateLoad(pattern, { seed });
      credit += result.credit / seeds;
      if (seed > 1) continue;
      for (const counts of result.kinds) {
        lines.push(
          `${counts.kind} ${counts.onTime}+${counts.late} late, ${counts.refused} ` +
            `(${counts.refusedLate} late) of ${counts.jobs}`,
        );
      }
    }
    process.stdout.write(
      `${pattern.name.padEnd(14)} ${credit.toFixed(3)}  ${lines.join("; ")}\n`,
    );
  }
}

if (process.argv[1]?.endsWith("load_model.js")) await main();
