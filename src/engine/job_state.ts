/** State of a job at the leader: creation, and which of its tasks may start. */

import { expectedCriticalPathMs } from "./expected_run_times.ts";
import type { JobSpec, PreviousListReport, QueueRule } from "./schemas.ts";
import type { EngineState, Job, RecordState, Task } from "./types.ts";

/** The parameters of {@linkcode createJob}. */
export interface JobOptions {
  readonly jobId: string;
  readonly queue: QueueRule;
  readonly spec: JobSpec;
  readonly receivedAtMs: number;
  readonly deadlineAtMs: number;
  /** A previous leader may have started any task that is not done. */
  readonly isResumed: boolean;
  /**
   * Time until which runs started by a previous leader may continue; 0 if no
   * previous leader can have had the job.
   */
  readonly previousRunsExpireAtMs: number;
  /** Runs of a previous leader may be on workers of another cell. */
  readonly leftCell?: boolean;
  /** See {@linkcode Job.previousList}. */
  readonly previousList: PreviousListReport;
  /** Names of the tasks that a previous leader reported as done. */
  readonly doneTasks?: readonly string[];
  /** Null if the job is kept in memory only. */
  readonly record: RecordState | null;
  /** The job exceeds the usual demand of its queue during a flood. */
  readonly isSurplus: boolean;
  /** Time for which its caller has waited before this attempt; 0 by default. */
  readonly waitedBeforeMs?: number;
}

/**
 * Returns the id of the job of a task. Names of tasks have the form
 * `jobId.0.stepIndex.index`.
 *
 * @example
 * ```ts
 * jobIdOf("00000000000000aa.0.1.17"); // "00000000000000aa"
 * ```
 */
export function jobIdOf(taskName: string): string {
  return taskName.slice(0, taskName.indexOf("."));
}

/** Creates a job whose tasks all wait, except those that are already done. */
export function createJob(state: EngineState, options: JobOptions): Job {
  const { queue, spec, receivedAtMs, waitedBeforeMs = 0 } = options;
  const tasks = createTasks(options);
  const criticalPathMs = expectedCriticalPathMs(state, { queue, job: spec });
  return {
    jobId: options.jobId,
    queue,
    spec,
    steps: spec.steps,
    submissionIdByEntry: new Map(),
    receivedAtMs,
    deadlineAtMs: options.deadlineAtMs,
    objectiveAtMs: receivedAtMs + queue.stretch * criticalPathMs +
      queue.objectiveMs - waitedBeforeMs,
    criticalPathMs,
    tasks,
    unfinished: tasks.filter((task) => task.state !== "done").length,
    mayHaveStarted: options.isResumed,
    previousRunsExpireAtMs: options.previousRunsExpireAtMs,
    resumedAtMs: options.isResumed ? state.nowMs : -Infinity,
    leftCell: options.leftCell ?? false,
    previousList: options.previousList,
    isReturning: waitedBeforeMs > 0,
    isLate: waitedBeforeMs > 0,
    isPartlyStarted: false,
    isWaiting: false,
    outcome: null,
    endedAtMs: 0,
    record: options.record,
    isSurplus: options.isSurplus,
    triedZones: null,
  };
}

function createTasks(
  { jobId, spec, isResumed, doneTasks = [] }: JobOptions,
): Task[] {
  const done = new Set(doneTasks);
  const tasks: Task[] = [];
  for (const [stepIndex, step] of spec.steps.entries()) {
    for (let index = 0; index < step.count; index += 1) {
      const name = `${jobId}.0.${stepIndex}.${index}`;
      tasks.push({
        name,
        index: tasks.length,
        stepIndex,
        demand: step,
        state: done.has(name) ? "done" : "waiting",
        run: 0,
        mayHaveStarted: isResumed,
        failures: 0,
        stoppedAfterMs: 0,
        workerId: null,
        failedOn: new Set(),
        crashes: 0,
        crashedAlone: false,
        unresolvedLosses: 0,
        runsAlone: false,
        result: null,
      });
    }
  }
  return tasks;
}

/** Queues the waiting tasks of each step whose preceding steps are all done. */
export function queueReadyTasks(job: Job): void {
  const doneSteps = job.steps.map((_, stepIndex) => isStepDone(job, stepIndex));
  for (const task of job.tasks) {
    if (task.state !== "waiting") continue;
    const after = job.steps[task.stepIndex]?.after ?? [];
    if (after.every((stepIndex) => doneSteps[stepIndex] === true)) {
      task.state = "queued";
    }
  }
}

function isStepDone(job: Job, stepIndex: number): boolean {
  return job.tasks.every((task) =>
    task.stepIndex !== stepIndex || task.state === "done"
  );
}

/** Copies the progress of an earlier attempt at a job to a new attempt. */
export function inheritProgress(job: Job, earlier: Job): void {
  job.mayHaveStarted = job.mayHaveStarted || earlier.mayHaveStarted;
  for (const [index, task] of job.tasks.entries()) {
    const before = earlier.tasks[index];
    if (before?.name !== task.name) continue;
    task.run = Math.max(task.run, before.run);
    task.mayHaveStarted = task.mayHaveStarted || before.mayHaveStarted;
    task.failures = before.failures;
    task.crashes = before.crashes;
    task.crashedAlone = before.crashedAlone;
    task.runsAlone = before.runsAlone;
    task.result = before.result;
    if (before.state !== "done" || task.state === "done") continue;
    task.state = "done";
    job.unfinished -= 1;
  }
}

/** Whether a task of the job is done, or a run of one was requested or found. */
export function hasStarted(job: Job): boolean {
  return job.tasks.some((task) =>
    task.state === "placed" || task.state === "done" || task.run > 0
  );
}

/**
 * Whether a task must not start because its job is at-most-once and the task
 * may have started before.
 */
export function mustNotRestart({ spec }: Job, task: Task): boolean {
  return spec.isAtMostOnce === true && task.mayHaveStarted;
}
