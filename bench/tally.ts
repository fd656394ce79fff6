/** Counts of job outcomes and violated guarantees over a run. */

import type { JobOutcome } from "./caller.ts";
import { callControl } from "./control.ts";
import type { Fleet } from "./fleet.ts";
import type { WorkJob } from "./workload.ts";

/** The counts that demo and chaos print in their last line. */
export interface Tally {
  jobsSubmitted: number;
  jobsComplete: number;
  jobsFailed: number;
  jobsRefusedNotRun: number;
  /** Jobs of which the caller does not know whether they ran. */
  jobsUnknown: number;
  tasksStarted: number;
  tasksStartedTwice: number;
  /** Pairs of runs of one task that went on at the same time. */
  tasksRunTwiceAtOnce: number;
  /** Answers in which a task has another task's result. */
  answersCrossed: number;
  /** Answers that report a job as complete without all its results. */
  halfAnswers: number;
  /** Jobs refused as not run of which a task was started. */
  refusedButRun: number;
  /** Drains that did not exit cleanly, and in demo, jobs lost during one. */
  requestsCutByDrain: number;
  /** Starts that exceeded the capacity of a worker. */
  overCapacity: number;
}

/** Creates a tally with all counts at zero. */
export function createTally(): Tally {
  return {
    jobsSubmitted: 0,
    jobsComplete: 0,
    jobsFailed: 0,
    jobsRefusedNotRun: 0,
    jobsUnknown: 0,
    tasksStarted: 0,
    tasksStartedTwice: 0,
    tasksRunTwiceAtOnce: 0,
    answersCrossed: 0,
    halfAnswers: 0,
    refusedButRun: 0,
    requestsCutByDrain: 0,
    overCapacity: 0,
  };
}

const tallyFieldByState: Record<
  JobOutcome["state"],
  "jobsComplete" | "jobsFailed" | "jobsRefusedNotRun" | "jobsUnknown"
> = {
  complete: "jobsComplete",
  failed: "jobsFailed",
  refused: "jobsRefusedNotRun",
  unknown: "jobsUnknown",
  lost: "jobsUnknown",
};

/** Counts the outcome of one job. */
export function countOutcome(tally: Tally, outcome: JobOutcome): void {
  tally[tallyFieldByState[outcome.state]] += 1;
  if (outcome.isMismatched) tally.answersCrossed += 1;
  if (outcome.isIncomplete) tally.halfAnswers += 1;
}

interface WorkerCounts {
  readonly started: number;
  readonly startedTwice: number;
  readonly overCapacity: number;
}

/** Adds the starts that the worker stand-ins counted. */
export async function countStarts(fleet: Fleet, tally: Tally): Promise<void> {
  for (const port of fleet.workerPorts.values()) {
    const counts = await callControl<WorkerCounts>(port, "/truth");
    tally.tasksStarted += counts.started;
    tally.tasksStartedTwice += counts.startedTwice;
    tally.overCapacity += counts.overCapacity;
  }
}

/**
 * Counts the jobs refused as not run of which a task was started, and raises
 * `tasksStartedTwice` to the highest number of tasks of one job that started
 * more than once across all zones.
 */
export async function countCrossZoneStarts(
  fleet: Fleet,
  tally: Tally,
  { jobs, refused }: { jobs: readonly WorkJob[]; refused: Set<WorkJob> },
): Promise<void> {
  for (const job of jobs) {
    const echoes = job.tasks.map(({ echo }) => echo);
    const startsByEcho = new Map<string, number>();
    for (const port of fleet.workerPorts.values()) {
      const starts = await callControl<Record<string, number>>(
        port,
        "/starts",
        { body: { echoes } },
      );
      for (const [echo, count] of Object.entries(starts)) {
        startsByEcho.set(echo, (startsByEcho.get(echo) ?? 0) + count);
      }
    }
    const counts = [...startsByEcho.values()];
    // Second starts within one zone are already in the counts of that zone, so
    // this number is not added to the total.
    const startedTwice = counts.filter((count) => count > 1).length;
    tally.tasksStartedTwice = Math.max(tally.tasksStartedTwice, startedTwice);
    if (refused.has(job) && counts.some((count) => count > 0)) {
      tally.refusedButRun += 1;
    }
  }
}

/** Whether a guarantee was violated or a job has no outcome. */
export function hasViolations(tally: Tally): boolean {
  const violations = tally.tasksStartedTwice + tally.tasksRunTwiceAtOnce +
    tally.answersCrossed + tally.halfAnswers + tally.refusedButRun +
    tally.requestsCutByDrain +
    tally.overCapacity;
  const outcomes = tally.jobsComplete + tally.jobsFailed +
    tally.jobsRefusedNotRun + tally.jobsUnknown;
  return violations > 0 || outcomes !== tally.jobsSubmitted;
}
