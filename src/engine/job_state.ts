/** State of a job at the leader: creation, and which of its tasks may start. */

import {
  declaredCriticalPathMs,
  expectedCriticalPathMs,
} from "./expected_run_times.ts";
import type {
  JobSpec,
  PreviousListReport,
  QueueRule,
  Step,
} from "./schemas.ts";
import type {
  EngineState,
  Job,
  RecordState,
  Task,
  TaskState,
} from "./types.ts";

/** Shared by all tasks that no run has failed. */
const NO_WORKERS: ReadonlySet<string> = new Set();

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
    declaredPathMs: declaredCriticalPathMs(spec),
    doubtsEstimate: false,
    tasks,
    firstTaskIndexes: firstTaskIndexesOf(spec),
    unfinished: tasks.filter((task) => task.state !== "done").length,
    unfinishedByStep: countUnfinished(spec, tasks),
    queuedCount: 0,
    placedCount: 0,
    firstQueuedIndex: tasks.length,
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

/** Rounds what a task needs up, so that sums over runs are exact. */
function wholeDemand(step: Step): Step {
  return {
    ...step,
    cpuMilli: Math.ceil(step.cpuMilli),
    memoryMb: Math.ceil(step.memoryMb),
    accelerators: Math.ceil(step.accelerators),
  };
}

function createTasks(
  { jobId, spec, isResumed, doneTasks = [] }: JobOptions,
): Task[] {
  const done = new Set(doneTasks);
  const tasks: Task[] = [];
  for (const [stepIndex, step] of spec.steps.entries()) {
    const demand = wholeDemand(step);
    for (let index = 0; index < step.count; index += 1) {
      const name = `${jobId}.0.${stepIndex}.${index}`;
      tasks.push({
        name,
        index: tasks.length,
        stepIndex,
        demand,
        state: done.has(name) ? "done" : "waiting",
        run: 0,
        mayHaveStarted: isResumed,
        failures: 0,
        stoppedAfterMs: 0,
        workerId: null,
        failedOn: NO_WORKERS,
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

function firstTaskIndexesOf({ steps }: JobSpec): number[] {
  const indexes: number[] = [];
  let next = 0;
  for (const { count } of steps) {
    indexes.push(next);
    next += count;
  }
  return indexes;
}

function countUnfinished({ steps }: JobSpec, tasks: readonly Task[]): number[] {
  const counts = steps.map(() => 0);
  for (const { state, stepIndex } of tasks) {
    if (state !== "done") counts[stepIndex] = (counts[stepIndex] ?? 0) + 1;
  }
  return counts;
}

/** Returns the task of a job with the given name, if there is one. */
export function findTaskByName(job: Job, taskName: string): Task | undefined {
  const [, , stepIndex, index] = taskName.split(".");
  const firstIndex = job.firstTaskIndexes[Number(stepIndex)] ?? NaN;
  const task = job.tasks[firstIndex + Number(index)];
  return task?.name === taskName ? task : undefined;
}

/** Changes the state of a task, and what its job counts of such tasks. */
export function setTaskState(job: Job, task: Task, state: TaskState): void {
  if (task.state === state) return;
  if (task.state === "queued") job.queuedCount -= 1;
  if (state === "queued") {
    job.queuedCount += 1;
    job.firstQueuedIndex = Math.min(job.firstQueuedIndex, task.index);
  }
  job.placedCount += Number(state === "placed") -
    Number(task.state === "placed");
  const change = Number(task.state === "done") - Number(state === "done");
  job.unfinished += change;
  job.unfinishedByStep[task.stepIndex] =
    (job.unfinishedByStep[task.stepIndex] ?? 0) + change;
  task.state = state;
}

/**
 * Returns the queued tasks of a job in order. Tasks may leave the queue while the
 * caller goes through them.
 */
export function* queuedTasks(job: Job): Generator<Task> {
  let left = job.queuedCount;
  for (let at = job.firstQueuedIndex; left > 0 && at < job.tasks.length;) {
    const task = job.tasks[at] as Task;
    const isFirst = at === job.firstQueuedIndex;
    at += 1;
    if (task.state === "queued") {
      left -= 1;
      yield task;
    } else if (isFirst) job.firstQueuedIndex = at;
  }
}

/** Whether all steps that precede a step are done. */
export function isStepReady(job: Job, stepIndex: number): boolean {
  const after = job.steps[stepIndex]?.after ?? [];
  return after.every((earlier) => job.unfinishedByStep[earlier] === 0);
}

/** Queues the waiting tasks of each step whose preceding steps are all done. */
export function queueReadyTasks(job: Job): void {
  const areReady = job.steps.map((_, index) => isStepReady(job, index));
  for (const task of job.tasks) {
    const isReady = areReady[task.stepIndex] === true;
    if (isReady && task.state === "waiting") setTaskState(job, task, "queued");
  }
}

/** Notes that a run of a task failed, hung or crashed on a worker. */
export function noteFailedOn(task: Task, workerId: string): void {
  task.failedOn = new Set([...task.failedOn, workerId]);
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
    if (before.state === "done") setTaskState(job, task, "done");
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
