/** The users' kinds of work, as jobs with simulated run times. */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** One kind of work that a team submits. */
export interface WorkKind {
  readonly team: string;
  readonly service: string;
  readonly kind: string;
  readonly idempotent: boolean;
  readonly urgency: number;
  readonly meanMs: number;
}

/** The kinds of both users. */
export const workKinds: readonly WorkKind[] = [
  kindOf("benches", "oficina/quote", { urgency: 6, meanMs: 200 }),
  kindOf("benches", "oficina/stock", { urgency: 5, meanMs: 100 }),
  kindOf("couriers", "oficina/courier", {
    urgency: 7,
    meanMs: 400,
    idempotent: false,
  }),
  kindOf("street-offices", "vigil-desk/wick", { urgency: 9, meanMs: 150 }),
  kindOf("foundry", "vigil-desk/pour", { urgency: 2, meanMs: 500 }),
  kindOf("street-offices", "vigil-desk/slot", {
    urgency: 8,
    meanMs: 300,
    idempotent: false,
  }),
];

function kindOf(
  team: string,
  path: string,
  { urgency, meanMs, idempotent = true }: {
    urgency: number;
    meanMs: number;
    idempotent?: boolean;
  },
): WorkKind {
  const [service = "", kind = ""] = path.split("/");
  return { team, service, kind, idempotent, urgency, meanMs };
}

/** One task as a stand-in runs it. */
export interface WorkTask {
  readonly runMs: number;
  readonly echo: string;
  readonly declaredMs: number;
}

/** One job of the workload. */
export interface WorkJob {
  readonly name: string;
  readonly work: WorkKind;
  readonly tasks: readonly WorkTask[];
  /** The run time of the slowest task. */
  readonly idealMs: number;
}

/** The shortest and the longest run time of an ordinary task. */
const MIN_RUN_MS = 50;
const MAX_RUN_MS = 1_000;
/** Share of tasks that take several seconds. */
const LONG_SHARE = 0.002;
const LONG_MIN_MS = 2_000;
const LONG_MAX_MS = 4_000;
/** Declared times are wrong by up to this factor, either way. */
const DECLARED_ERROR = 10;
/** Shares of jobs by size: most are small, a few are large. */
const jobSizes: readonly { share: number; least: number; most: number }[] = [
  { share: 0.6, least: 1, most: 4 },
  { share: 0.3, least: 5, most: 20 },
  { share: 0.09, least: 21, most: 60 },
  { share: 0.01, least: 61, most: 170 },
];

/** The mean number of tasks in a job. */
export function meanJobTasks(): number {
  return jobSizes.reduce(
    (sum, { share, least, most }) => sum + share * (least + most) / 2,
    0,
  );
}

/** The mean run time of a kind's tasks, long ones and the cap included. */
export function meanRunMs(meanMs: number): number {
  const scale = meanMs - MIN_RUN_MS;
  const capped = scale * (1 - Math.exp(-(MAX_RUN_MS - MIN_RUN_MS) / scale));
  const long = (LONG_MIN_MS + LONG_MAX_MS) / 2;
  return (1 - LONG_SHARE) * (MIN_RUN_MS + capped) + LONG_SHARE * long;
}

/** Draws jobs from a seed. */
export interface Workload {
  readonly random: RandomGenerator;
  readonly nextJob: (work?: WorkKind) => WorkJob;
  /** A uniform number from 0 to 1. */
  readonly unit: () => number;
}

/** Creates the workload of a seed. */
export function createWorkload(seed: number, label: string): Workload {
  const random = xoroshiro128plus(seed);
  let next = 0;

  function unit(): number {
    return uniformFloat64(random);
  }

  function size(): number {
    let left = unit();
    for (const { share, least, most } of jobSizes) {
      left -= share;
      if (left < 0) return uniformInt(random, least, most);
    }
    return 1;
  }

  function runMs(meanMs: number): number {
    if (unit() < LONG_SHARE) {
      return LONG_MIN_MS + unit() * (LONG_MAX_MS - LONG_MIN_MS);
    }
    const drawn = -Math.log(1 - unit()) * (meanMs - MIN_RUN_MS);
    return Math.min(MAX_RUN_MS, MIN_RUN_MS + drawn);
  }

  function declared(ranMs: number): number {
    return ranMs * DECLARED_ERROR ** (unit() * 2 - 1);
  }

  return {
    random,
    unit,
    nextJob(work) {
      const chosen = work ??
        workKinds[uniformInt(random, 0, workKinds.length - 1)];
      if (chosen === undefined) throw new Error("no kinds of work");
      next += 1;
      const name = `${label}-${next}`;
      const tasks = Array.from({ length: size() }, (_, index) => {
        const ranMs = Math.round(runMs(chosen.meanMs));
        const declaredMs = declared(ranMs);
        return { runMs: ranMs, echo: `${name}#${index}`, declaredMs };
      });
      const idealMs = Math.max(...tasks.map((task) => task.runMs));
      return { name, work: chosen, tasks, idealMs };
    },
  };
}
