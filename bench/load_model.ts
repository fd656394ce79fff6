/**
 * An offline load model: simulates the real engine with fake workers under
 * several load patterns. Prints, for each pattern, the mean share of worth
 * earned over the seeds from 1 to SEEDS, 3 by default, and the outcomes with
 * seed 1. With `zones`, simulates the patterns of a fleet whose zones have a
 * leader each instead, see `zone_load.ts`.
 *
 * Usage: load_model.js [SEEDS] [zones]
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
} from "./engine_world.ts";
import { printZonePatterns } from "./zone_load.ts";

const LOAD_START_MS = 3_000;
const LOAD_END_MS = 15_000;
const RUN_END_MS = 21_000;

/** A load pattern, in multiples of the reference arrival rates. */
export interface LoadPattern {
  readonly name: string;
  /** Load of all kinds during the whole run. */
  readonly base: number;
  /** Time at which the run ends; `RUN_END_MS` by default. */
  readonly endMs?: number;
  /** The kinds of jobs; the reference kinds by default. */
  readonly kinds?: readonly JobKind[];
  /** Additional load of one kind during a part of the run. */
  readonly burst?: {
    readonly kind: string;
    /** The additional load, as a multiple of `base`. */
    readonly factor: number;
    readonly beginMs: number;
    readonly endMs: number;
  };
}

function burstOf(kind: string, factor: number, endMs: number) {
  return { kind, factor, beginMs: 5_000, endMs };
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
  { name: "stock burst", base: 1.4, burst: burstOf("stock", 1.5, 11_000) },
  { name: "quote burst", base: 1.4, burst: burstOf("quote", 0.8, 9_000) },
  { name: "courier burst", base: 1.4, burst: burstOf("courier", 0.9, 9_000) },
  // A job of the long tail may take longer than the run of the other patterns.
  { name: "long tail", base: 0.8, kinds: longTailedKinds, endMs: 75_000 },
];

/** Outcomes of the jobs of one kind. */
export interface KindResult {
  readonly kind: string;
  readonly jobs: number;
  readonly onTime: number;
  readonly late: number;
  readonly refused: number;
  /** Refused after more than a quarter of the latency objective. */
  readonly refusedLate: number;
  /** Worth earned, as a share of the worth of all jobs of the kind. */
  readonly credit: number;
}

/**
 * Simulates a load pattern. Returns the outcomes of each kind, as `credit` the
 * share of the worth of all jobs that was earned, and as `discardedCoreS` the
 * core-seconds of runs that ended without success.
 */
export async function simulateLoad(
  pattern: LoadPattern,
  { seed }: { seed: number },
): Promise<{ kinds: KindResult[]; credit: number; discardedCoreS: number }> {
  const kindsOfPattern = pattern.kinds ?? referenceKinds;
  const world = createWorld(worldOptions({ seed, load: 0, faults: [] }));
  const span = { beginMs: LOAD_START_MS, endMs: LOAD_END_MS };
  for (const kind of kindsOfPattern) {
    scheduleArrivals(world, kind, { load: pattern.base, ...span });
    const { burst } = pattern;
    if (burst === undefined || burst.kind !== kind.queue.name) continue;
    scheduleArrivals(world, kind, {
      ...burst,
      load: pattern.base * burst.factor,
    });
  }
  await world.run(pattern.endMs ?? RUN_END_MS);
  const records = [...world.jobs.values()];
  const kinds = kindsOfPattern.map((kind) => resultOf(kind, records));
  const submittedWorth = records.reduce((sum, { kind }) => sum + kind.worth, 0);
  const earnedWorth = records.reduce(
    (sum, record) => sum + earnedWorthOf(record),
    0,
  );
  return {
    kinds,
    credit: earnedWorth / submittedWorth,
    discardedCoreS: world.discardedMilliMs() / 1e6,
  };
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
  return isOnTime(record) ? record.kind.worth : record.kind.lateWorth;
}

function resultOf(
  kind: JobKind,
  records: readonly CallerRecord[],
): KindResult {
  const kindRecords = records.filter((record) => record.kind === kind);
  const done = kindRecords.filter((record) => record.outcome?.kind === "done");
  const onTime = done.filter(isOnTime).length;
  const earnedWorth = kindRecords.reduce(
    (sum, record) => sum + earnedWorthOf(record),
    0,
  );
  return {
    kind: kind.queue.name,
    jobs: kindRecords.length,
    onTime,
    late: done.length - onTime,
    refused:
      kindRecords.filter((record) => record.outcome?.kind === "refused").length,
    refusedLate: kindRecords.filter(isRefusedLate).length,
    credit: earnedWorth / (kindRecords.length * kind.worth),
  };
}

async function main(): Promise<void> {
  const seeds = Number(process.argv[2] ?? 3);
  if (process.argv[3] === "zones") {
    await printZonePatterns(seeds);
    return;
  }
  for (const pattern of loadPatterns) {
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
