/** The users' kinds of work, as jobs with simulated run times. */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** A kind of work that a team submits. */
export interface WorkKind {
  readonly team: string;
  readonly service: string;
  readonly kind: string;
  readonly idempotent: boolean;
  readonly urgency: number;
  readonly meanMs: number;
}

/** The kinds of work of both users' services, oficina and vigil-desk. */
export const workKinds: readonly WorkKind[] = [
  createWorkKind("benches", "oficina/quote", { urgency: 6, meanMs: 200 }),
  createWorkKind("benches", "oficina/stock", { urgency: 5, meanMs: 100 }),
  createWorkKind("couriers", "oficina/courier", {
    urgency: 7,
    meanMs: 400,
    idempotent: false,
  }),
  createWorkKind("street-offices", "vigil-desk/wick", {
    urgency: 9,
    meanMs: 150,
  }),
  createWorkKind("foundry", "vigil-desk/pour", { urgency: 2, meanMs: 500 }),
  createWorkKind("street-offices", "vigil-desk/slot", {
    urgency: 8,
    meanMs: 300,
    idempotent: false,
  }),
];

function createWorkKind(
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

/** A task as the stand-ins of workers run it. */
export interface WorkTask {
  readonly runMs: number;
  /** The result that the task must return, unique to it. */
  readonly echo: string;
  readonly declaredMs: number;
}

/** A job of the workload. */
export interface WorkJob {
  readonly name: string;
  readonly work: WorkKind;
  readonly tasks: readonly WorkTask[];
  /** The longest run time of any task. */
  readonly idealMs: number;
}

/** Shortest and longest run time of an ordinary task. */
const MIN_RUN_MS = 50;
const MAX_RUN_MS = 1_000;
/** Share of long tasks, which run for several seconds. */
const LONG_SHARE = 0.002;
const LONG_MIN_MS = 2_000;
const LONG_MAX_MS = 4_000;
/** Largest factor by which a declared time is too high or too low. */
const DECLARED_ERROR = 10;
/** Distribution of tasks per job: most jobs are small, a few are large. */
const jobSizes: readonly {
  share: number;
  minTasks: number;
  maxTasks: number;
}[] = [
  { share: 0.6, minTasks: 1, maxTasks: 4 },
  { share: 0.3, minTasks: 5, maxTasks: 20 },
  { share: 0.09, minTasks: 21, maxTasks: 60 },
  { share: 0.01, minTasks: 61, maxTasks: 170 },
];

/** Returns the mean number of tasks in a job. */
export function meanJobTasks(): number {
  return jobSizes.reduce(
    (sum, { share, minTasks, maxTasks }) =>
      sum + share * (minTasks + maxTasks) / 2,
    0,
  );
}

/**
 * Returns the mean run time of tasks drawn for a nominal mean, with the cap on
 * ordinary tasks and the share of long tasks taken into account.
 */
export function meanRunMs(meanMs: number): number {
  const scale = meanMs - MIN_RUN_MS;
  const capped = scale * (1 - Math.exp(-(MAX_RUN_MS - MIN_RUN_MS) / scale));
  const long = (LONG_MIN_MS + LONG_MAX_MS) / 2;
  return (1 - LONG_SHARE) * (MIN_RUN_MS + capped) + LONG_SHARE * long;
}

/** Draws jobs from a seeded random generator. */
export interface Workload {
  readonly random: RandomGenerator;
  /** Draws a job of the given kind, or of a random kind if omitted. */
  readonly nextJob: (work?: WorkKind) => WorkJob;
  /** Draws a uniform number in [0, 1). */
  readonly nextUniform: () => number;
}

/** Creates a workload from a seed; the label prefixes its jobs' names. */
export function createWorkload(seed: number, label: string): Workload {
  const random = xoroshiro128plus(seed);
  let jobCount = 0;

  function nextUniform(): number {
    return uniformFloat64(random);
  }

  function drawTaskCount(): number {
    let remainder = nextUniform();
    for (const { share, minTasks, maxTasks } of jobSizes) {
      remainder -= share;
      if (remainder < 0) return uniformInt(random, minTasks, maxTasks);
    }
    return 1;
  }

  function drawRunMs(meanMs: number): number {
    if (nextUniform() < LONG_SHARE) {
      return LONG_MIN_MS + nextUniform() * (LONG_MAX_MS - LONG_MIN_MS);
    }
    const drawn = -Math.log(1 - nextUniform()) * (meanMs - MIN_RUN_MS);
    return Math.min(MAX_RUN_MS, MIN_RUN_MS + drawn);
  }

  function drawDeclaredMs(runMs: number): number {
    return runMs * DECLARED_ERROR ** (nextUniform() * 2 - 1);
  }

  return {
    random,
    nextUniform,
    nextJob(work) {
      const selected = work ??
        workKinds[uniformInt(random, 0, workKinds.length - 1)];
      if (selected === undefined) throw new Error("workKinds is empty");
      jobCount += 1;
      const name = `${label}-${jobCount}`;
      const tasks = Array.from({ length: drawTaskCount() }, (_, index) => {
        const runMs = Math.round(drawRunMs(selected.meanMs));
        const declaredMs = drawDeclaredMs(runMs);
        return { runMs, echo: `${name}#${index}`, declaredMs };
      });
      const idealMs = Math.max(...tasks.map((task) => task.runMs));
      return { name, work: selected, tasks, idealMs };
    },
  };
}
