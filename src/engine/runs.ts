/** Runs on workers: capacity in use, starts, stops and completions. */

import { goneKind, rememberLostRun } from "./crashes.ts";
import { assert } from "./debug.ts";
import { emit, logDecision } from "./effects.ts";
import {
  expectedTaskMs,
  observeTaskRun,
  runEstimateOf,
} from "./expected_run_times.ts";
import { isolateJob } from "./job_faults.ts";
import {
  findTaskByName,
  jobIdOf,
  mustNotRestart,
  noteFailedOn,
  setTaskState,
} from "./job_state.ts";
import { knowsRecordsZone, recordsLeader } from "./leader_lookup.ts";
import { leaseEndsOnWorkerMs, maxLeaseMs } from "./leases.ts";
import { MAX_STOPS_IN_FLIGHT } from "./load_limits.ts";
import { retainCompletion } from "./records.ts";
import {
  hasProgressed,
  isHung,
  observeProgress,
  stalledMs,
} from "./run_progress.ts";
import type {
  EngineState,
  FinishedRow,
  Job,
  OwnedWorker,
  ReduceContext,
  ReportedCompletions,
  RunningRow,
  Scheduler,
  Task,
  TaskCompletion,
  WorkerRun,
} from "./types.ts";

type CompletionKind = TaskCompletion["kind"];
type FoundTask = Pick<TaskCompletion, "job" | "task">;

/** Minimum interval between calls to stop the same run. */
const RESEND_STOP_INTERVAL_MS = 200;
/** Number of consecutive failures from which on a worker is suspended. */
const SUSPENSION_FAILURE_THRESHOLD = 3;
/**
 * Number of jobs that these failures must come from: the runs of one job may
 * fail by its own fault.
 */
const SUSPENSION_JOB_THRESHOLD = 2;
/**
 * Duration of a worker's suspension at the threshold; it doubles with each
 * further failure.
 */
const INITIAL_SUSPENSION_MS = 700;
/** Upper bound of the duration of a worker's suspension. */
const MAX_SUSPENSION_MS = 4_000;
/** Weight of one run in the moving average of a worker's slowness. */
const SLOWNESS_WEIGHT = 0.1;
/** Number of consecutive failures that one hung run counts as. */
const FAILURES_PER_HUNG_RUN = 2;
/**
 * Margin added to the time that workers take to stop a run, before a stopped
 * run that is not listed is considered gone.
 */
const STOP_SLACK_MS = 20;

/** Returns the key of a run in `OwnedWorker.runs`. */
export function runKey(taskName: string, run: number): string {
  return `${taskName}#${run}`;
}

/** Returns the key of a start in `Scheduler.startsInFlight`. */
export function startKey(
  { taskName, run, fence }: { taskName: string; run: number; fence: number },
): string {
  return `${runKey(taskName, run)}#${fence}`;
}

/** Adds a run to a worker and reserves its capacity. */
function addRun(worker: OwnedWorker, run: WorkerRun): void {
  worker.runs.set(runKey(run.taskName, run.run), run);
  worker.usedCpuMilli += run.cpuMilli;
  worker.usedMemoryMb += run.memoryMb;
  worker.usedAccelerators += run.accelerators;
  if (run.sizeUnknown) worker.unsizedRunCount += 1;
  if (run.isTrial) worker.trialCount += 1;
}

/** Removes a run from a worker and frees its capacity. */
function removeRun(worker: OwnedWorker, run: WorkerRun): void {
  if (!worker.runs.delete(runKey(run.taskName, run.run))) return;
  worker.usedCpuMilli -= run.cpuMilli;
  worker.usedMemoryMb -= run.memoryMb;
  worker.usedAccelerators -= run.accelerators;
  if (run.sizeUnknown) worker.unsizedRunCount -= 1;
  if (run.isTrial) worker.trialCount -= 1;
}

/** Starts a task on a worker that has enough free capacity for it. */
export function startRun(
  context: ReduceContext,
  worker: OwnedWorker,
  { job, task }: { job: Job; task: Task },
): void {
  const { state } = context;
  const { scheduler } = state;
  const { demand } = task;
  const { workerId, address, cpuMilli, memoryMb } = worker.info;
  if (scheduler === null) return;
  const isPersisted = job.record === null || job.record.accepted;
  assert(isPersisted, "recorded_before_begun", job.jobId);
  assert(!mustNotRestart(job, task), "at_most_once", task.name);
  assert(!worker.info.draining, "leaving_worker_gets_nothing", workerId);
  task.run += 1;
  task.mayHaveStarted = true;
  setTaskState(job, task, "placed");
  task.workerId = workerId;
  job.mayHaveStarted = true;
  state.counters.tasksStarted += 1;
  addRun(worker, {
    taskName: task.name,
    run: task.run,
    job,
    task,
    cpuMilli: demand.cpuMilli,
    memoryMb: demand.memoryMb,
    accelerators: demand.accelerators,
    sizeUnknown: false,
    state: "starting",
    startFence: worker.fence,
    placedAtMs: state.nowMs,
    ackedAtMs: 0,
    stopSentAtMs: 0,
    progress: null,
    isTrial: task.runsAlone,
    isSuspect: false,
    isReportedGone: false,
  });
  assert(worker.usedCpuMilli <= cpuMilli, "cpu_within_capacity", workerId);
  assert(worker.usedMemoryMb <= memoryMb, "memory_within_capacity", workerId);
  logDecision(context, { part: "place", text: "task started" }, {
    jobId: job.jobId,
    task: task.name,
    run: task.run,
    workerId,
    ...(task.runsAlone ? { isTrial: true } : {}),
    // Tells starts of one instance in several terms or processes apart.
    fence: worker.fence,
    usedCpuMilli: worker.usedCpuMilli,
    waitedMs: Math.round(state.nowMs - job.receivedAtMs),
  });
  scheduler.startsInFlight.add(
    startKey({ taskName: task.name, run: task.run, fence: worker.fence }),
  );
  emit(context, {
    type: "startTask",
    workerId,
    address,
    taskName: task.name,
    run: task.run,
    spec: demand.payload ?? job.spec.spec,
    fence: worker.fence,
    leaseEndsMs: leaseEndsOnWorkerMs(state, worker),
  });
  worker.nextPollAtMs = Math.min(worker.nextPollAtMs, state.nowMs);
  // A start prolongs the lease of all runs on its worker.
  worker.leaseExpiresAtMs = Math.max(
    worker.leaseExpiresAtMs,
    state.nowMs + maxLeaseMs(state),
  );
}

/**
 * Removes a run that is known not to be on the worker, and adds a completion of
 * the given kind for its task, if any.
 */
export function dropRun(
  context: ReduceContext,
  worker: OwnedWorker,
  { run, kind }: {
    run: WorkerRun;
    kind: Exclude<CompletionKind, "done" | "crashFound">;
  },
): void {
  removeRun(worker, run);
  const { job, task } = run;
  if (job === null || task === null) return;
  const { workerId } = worker.info;
  context.taskCompletions.push({ job, task, workerId, kind, lost: run });
}

/** Drops a run that is gone without a completion. */
export function dropGoneRun(
  context: ReduceContext,
  worker: OwnedWorker,
  run: WorkerRun,
): void {
  const { state } = context;
  const kind = goneKind(context, worker, run);
  if (kind === "crashed") state.counters.tasksCrashed += 1;
  else rememberLostRun(context, worker, run);
  logDecision(context, { part: "run", text: "run lost" }, {
    task: run.taskName,
    run: run.run,
    workerId: worker.info.workerId,
    cause: kind === "crashed" ? "workerCrashed" : "unknown",
    placedMsAgo: Math.round(state.nowMs - run.placedAtMs),
    otherRuns: worker.runs.size - 1,
  });
  dropRun(context, worker, { run, kind });
}

/** Number of calls to stop runs that were sent within the resend interval. */
function countRecentStops(
  { nowMs }: EngineState,
  { runs }: OwnedWorker,
): number {
  let count = 0;
  for (const { stopSentAtMs } of runs.values()) {
    if (nowMs - stopSentAtMs < RESEND_STOP_INTERVAL_MS) count += 1;
  }
  return count;
}

/**
 * Sends a call to stop a run, unless one was sent within the resend interval. If
 * many were sent for other runs of the worker, `checkRuns` sends it later.
 */
export function stopRun(
  context: ReduceContext,
  worker: OwnedWorker,
  run: WorkerRun,
): void {
  const { state } = context;
  if (state.nowMs - run.stopSentAtMs < RESEND_STOP_INTERVAL_MS) return;
  const isDelayed = countRecentStops(state, worker) >= MAX_STOPS_IN_FLIGHT;
  if (isDelayed && run.state === "stopping") return;
  run.state = "stopping";
  run.ackedAtMs = Infinity;
  if (isDelayed) return;
  run.stopSentAtMs = state.nowMs;
  state.counters.tasksStopped += 1;
  emit(context, {
    type: "stopTask",
    workerId: worker.info.workerId,
    address: worker.info.address,
    taskName: run.taskName,
    run: run.run,
    fence: worker.fence,
  });
}

/** Stops the runs of a task that are tracked on a worker. */
export function stopTaskRuns(
  context: ReduceContext,
  workerId: string,
  task: Task,
): void {
  const worker = context.state.scheduler?.workers.get(workerId);
  if (worker === undefined) return;
  for (const run of worker.runs.values()) {
    if (run.task === task) stopRun(context, worker, run);
  }
}

/**
 * Processes one completion from a worker's list. The worker retains a
 * completion of a recorded job until the record includes it. It also retains
 * one of an unknown job that may have a record.
 */
export function processCompletion(
  context: ReduceContext,
  worker: OwnedWorker,
  row: FinishedRow,
): void {
  const { scheduler, guards } = context.state;
  if (scheduler === null) return;
  const run = worker.runs.get(runKey(row.taskName, row.run));
  const job = findTask(context, row.taskName)?.job ?? run?.job ?? null;
  const { sequence } = row;
  const { retainedSequences } = worker;
  const { recordsExist, nowMs } = context.state;
  if (
    job === null &&
    !guards.mayDiscardUnknown(recordsExist, nowMs, scheduler.records)
  ) {
    retainedSequences.add(sequence);
    worker.orphanCompletions.push(row);
    worker.orphansReadAtMs = nowMs;
  }
  applyCompletion(context, worker, row);
  if (job?.record == null || !guards.mustRetainCompletion(job)) return;
  retainCompletion(scheduler, job.record, {
    job,
    completion: { retainedSequences, sequence },
  });
}

/**
 * Whether a job that is not known here may have a record that this leader is
 * responsible for, but has not read.
 */
export function mayHaveRecord(
  state: EngineState,
  { records }: Scheduler,
): boolean {
  if (!state.recordsExist || records.phase === "open") return false;
  return !knowsRecordsZone(state) ||
    recordsLeader(state)?.instanceId === state.self.instanceId;
}

/**
 * Processes a completion that the owner of its worker has reported. It counts as
 * retained until the record of its job includes it.
 */
export function processReportedCompletion(
  context: ReduceContext,
  { workerId, startedAtMs, retainedSequences }: ReportedCompletions,
  row: FinishedRow,
): void {
  const { scheduler, guards } = context.state;
  const found = findTask(context, row.taskName);
  if (scheduler === null || found === null) return;
  const { job } = found;
  // The run may still be tracked on the worker that this leader gave up, unless
  // the worker has restarted since: its present runs may have the same numbers.
  const worker = scheduler.workers.get(workerId);
  const isTracked = worker !== undefined && worker.startedAtMs === startedAtMs;
  if (isTracked) applyCompletion(context, worker, row);
  else if (row.end === "done") completeTask(context, found, { workerId, row });
  if (job.record === null || !guards.mustRetainCompletion(job)) return;
  retainCompletion(scheduler, job.record, {
    job,
    completion: { retainedSequences, sequence: row.sequence },
  });
}

/**
 * Processes again the completions of jobs that were unknown and may be known
 * now. The others are retained until they may be discarded.
 */
export function processOrphanCompletions(
  context: ReduceContext,
  worker: OwnedWorker,
): void {
  const rows = worker.orphanCompletions;
  worker.orphanCompletions = [];
  for (const row of rows) {
    if (findTask(context, row.taskName) === null) {
      worker.orphanCompletions.push(row);
      continue;
    }
    worker.retainedSequences.delete(row.sequence);
    processCompletion(context, worker, row);
  }
}

/** Lets a worker discard completions of unknown jobs, if it may. */
export function discardOrphanCompletions(
  { state }: ReduceContext,
  worker: OwnedWorker,
): void {
  const { scheduler, guards, recordsExist } = state;
  if (scheduler === null || worker.orphanCompletions.length === 0) return;
  const mayDiscard = guards.mayDiscardUnknown(
    recordsExist,
    worker.orphansReadAtMs,
    scheduler.records,
  );
  if (!mayDiscard) return;
  for (const { sequence } of worker.orphanCompletions) {
    worker.retainedSequences.delete(sequence);
  }
  worker.orphanCompletions = [];
}

/**
 * Removes a completed run, updates the estimates or the failure count of its
 * worker, and adds a completion for the task.
 */
function applyCompletion(
  context: ReduceContext,
  worker: OwnedWorker,
  row: FinishedRow,
): void {
  const { state } = context;
  const run = worker.runs.get(runKey(row.taskName, row.run));
  logDecision(context, { part: "run", text: `task ${row.end}` }, {
    task: row.taskName,
    run: row.run,
    workerId: worker.info.workerId,
    known: run !== undefined,
    tookMs: run === undefined ? null : Math.round(state.nowMs - run.placedAtMs),
  });
  const { workerId } = worker.info;
  if (row.end === "done") {
    if (run !== undefined) removeDoneRun(context, worker, run);
    const found = openTaskOf(run) ?? findTask(context, row.taskName);
    completeTask(context, found, { workerId, row });
    return;
  }
  if (run === undefined) return;
  const failed = row.end === "failed";
  // On the wire, `lapsed` means that the lease of the run expired.
  if (row.end === "lapsed") state.counters.tasksLapsed += 1;
  if (failed) countFailures(state, worker, { run, count: 1 });
  dropRun(context, worker, { run, kind: failed ? "failed" : "lost" });
}

/** Removes a run that was successful, and updates estimates by its run time. */
function removeDoneRun(
  context: ReduceContext,
  worker: OwnedWorker,
  run: WorkerRun,
): void {
  removeRun(worker, run);
  if (run.job === null) return;
  isolateJob(context, run.job, {
    stage: "complete",
    fallback: undefined,
    run: () => learnFromRun(context.state, worker, run),
  });
}

/** Returns the task of a tracked run, if the run is attached to an open job. */
function openTaskOf(run: WorkerRun | undefined): FoundTask | null {
  if (run === undefined) return null;
  const { job, task } = run;
  return job?.outcome === null && task !== null ? { job, task } : null;
}

/**
 * Adds a completion for the task of a successful run, which need not be tracked
 * here or be the latest run: a previous leader may have started it. That the run
 * was done decides, whatever state its task is in.
 */
function completeTask(
  context: ReduceContext,
  found: FoundTask | null,
  { workerId, row }: { workerId: string; row: FinishedRow },
): void {
  if (found === null || !context.state.guards.mayComplete(found.task)) return;
  const { result } = row;
  context.taskCompletions.push({ ...found, workerId, kind: "done", result });
}

/**
 * Returns a task and its job by the name of the task. Returns null if the job is
 * unknown or may not start: runs of such a job belong to one that the records
 * contain, which have not been read yet.
 */
function findTask(
  context: ReduceContext,
  taskName: string,
): FoundTask | null {
  const { scheduler, guards } = context.state;
  const job = scheduler?.jobs.get(jobIdOf(taskName));
  if (job === undefined || !guards.mayStartJob(job.record)) return null;
  const task = isolateJob(context, job, {
    stage: "complete",
    fallback: undefined,
    run: () => findTaskByName(job, taskName),
  });
  return task === undefined ? null : { job, task };
}

/**
 * Ends the suspension of the worker of a successful run, and updates the
 * estimates of the worker's slowness and of the queue's run times.
 */
function learnFromRun(
  state: EngineState,
  worker: OwnedWorker,
  { job, task, placedAtMs }: WorkerRun,
): void {
  worker.consecutiveFailures = 0;
  worker.failedJobIds.clear();
  worker.suspendedUntilMs = 0;
  if (job === null || task === null) return;
  const ranMs = state.nowMs - placedAtMs;
  const declaredMs = task.demand.estimatedMs;
  const expectedMs = expectedTaskMs(state, job.queue.name, declaredMs);
  const ratio = Math.min(4, ranMs / Math.max(1, expectedMs));
  worker.slowness += SLOWNESS_WEIGHT * (ratio - worker.slowness);
  observeTaskRun(state, job.queue.name, { ranMs, declaredMs });
}

/**
 * Adds consecutive failures of a worker, and suspends it from a number of
 * failures and of jobs on.
 */
function countFailures(
  state: EngineState,
  worker: OwnedWorker,
  { run, count }: { run: WorkerRun; count: number },
): void {
  worker.consecutiveFailures += count;
  if (run.job !== null) worker.failedJobIds.add(run.job.jobId);
  if (worker.failedJobIds.size < SUSPENSION_JOB_THRESHOLD) return;
  const excess = worker.consecutiveFailures - SUSPENSION_FAILURE_THRESHOLD;
  if (excess < 0) return;
  const suspensionMs = Math.min(
    MAX_SUSPENSION_MS,
    INITIAL_SUSPENSION_MS * 2 ** excess,
  );
  worker.suspendedUntilMs = state.nowMs + suspensionMs;
}

/**
 * Reconciles the runs tracked on a worker with its list of runs. `sentAtMs` is
 * the time at which the list was requested: it may lack runs whose starts were
 * acknowledged later.
 */
export function reconcileRuns(
  context: ReduceContext,
  worker: OwnedWorker,
  { running, clockMs, sentAtMs, underNewFence, listsAllEnds }: {
    running: readonly RunningRow[];
    /** Clock of the worker at its answer. */
    clockMs: number;
    sentAtMs: number;
    /**
     * The list was read under a new token, so a run that was requested before
     * the poll and is not listed can no longer start.
     */
    underNewFence: boolean;
    /**
     * Whether the worker listed all its completions. If not, a run that is not
     * listed may have been done.
     */
    listsAllEnds: boolean;
  },
): void {
  const listed = new Set<string>();
  for (const row of running) {
    const key = runKey(row.taskName, row.run);
    listed.add(key);
    const run = worker.runs.get(key) ?? addUntrackedRun(context, worker, row);
    if (run.state === "starting") {
      run.state = "running";
      run.ackedAtMs = context.state.nowMs;
    }
    observeProgress(run, row.percent, clockMs);
    noteReportedProgress(context.state, run);
  }
  if (!listsAllEnds) return;
  for (const [key, run] of worker.runs) {
    if (listed.has(key)) continue;
    const goneAtMs = run.state === "stopping"
      ? run.ackedAtMs + context.state.stopMs + STOP_SLACK_MS
      : run.ackedAtMs;
    const isGone = run.state !== "starting" && goneAtMs < sentAtMs;
    const requestedBefore = run.placedAtMs < sentAtMs;
    // The first list under the present token may have lacked some completions.
    const isFencedOff = underNewFence ||
      (run.state === "starting" &&
        (run.startFence ?? worker.fence) < worker.fence);
    if (isGone || (isFencedOff && requestedBefore)) {
      if (run.state === "starting") dropUnstartedRun(context, worker, run);
      else dropGoneRun(context, worker, run);
    }
  }
}

/** Drops a run whose start was not acknowledged and can't take effect any more. */
function dropUnstartedRun(
  context: ReduceContext,
  worker: OwnedWorker,
  run: WorkerRun,
): void {
  const { nowMs } = context.state;
  logDecision(context, { part: "run", text: "run never started" }, {
    task: run.taskName,
    run: run.run,
    workerId: worker.info.workerId,
    placedMsAgo: Math.round(nowMs - run.placedAtMs),
    startFence: run.startFence,
    fence: worker.fence,
    listsReadMsAgo: Math.round(nowMs - worker.listsReadAtMs),
  });
  dropRun(context, worker, { run, kind: "notStarted" });
}

/**
 * Adds a listed run that is not tracked here, such as one that a previous
 * leader started. It is attached to its job if the job has not ended and the
 * task has no other run; else its size is unknown.
 */
function addUntrackedRun(
  context: ReduceContext,
  worker: OwnedWorker,
  row: RunningRow,
): WorkerRun {
  const { state } = context;
  const found = findTask(context, row.taskName);
  const canAttach = found !== null && found.job.outcome === null &&
    state.guards.mayAttachRun(found.task);
  const run: WorkerRun = {
    taskName: row.taskName,
    run: row.run,
    job: canAttach ? found.job : null,
    task: canAttach ? found.task : null,
    cpuMilli: canAttach ? found.task.demand.cpuMilli : 0,
    memoryMb: canAttach ? found.task.demand.memoryMb : 0,
    accelerators: canAttach ? found.task.demand.accelerators : 0,
    sizeUnknown: !canAttach,
    state: "running",
    startFence: null,
    placedAtMs: state.nowMs,
    ackedAtMs: state.nowMs,
    stopSentAtMs: 0,
    progress: null,
    isTrial: false,
    isSuspect: false,
    isReportedGone: false,
  };
  addRun(worker, run);
  if (canAttach) {
    setTaskState(found.job, found.task, "placed");
    found.task.run = Math.max(found.task.run, row.run);
    found.task.mayHaveStarted = true;
    found.task.workerId = worker.info.workerId;
    found.job.mayHaveStarted = true;
  }
  logDecision(
    context,
    { part: "run", text: "untracked run found on worker" },
    {
      task: row.taskName,
      run: row.run,
      workerId: worker.info.workerId,
      // Stable field name: whether the run was attached to its job.
      adopted: canAttach,
    },
  );
  return run;
}

/**
 * Attaches tracked runs of the jobs' tasks to the jobs, if they belong to no job
 * or to an ended one. This includes runs that are being stopped.
 */
export function attachRuns(
  context: ReduceContext,
  scheduler: Scheduler,
  jobs: readonly Job[],
): void {
  const jobsById = new Map(jobs.map((job) => [job.jobId, job]));
  for (const worker of scheduler.workers.values()) {
    for (const run of worker.runs.values()) {
      const isFree = run.job === null || run.job.outcome !== null;
      const job = isFree ? jobsById.get(jobIdOf(run.taskName)) : undefined;
      if (job === undefined) continue;
      isolateJob(context, job, {
        stage: "restore",
        fallback: undefined,
        run: () => attachRun(context, worker, { run, job }),
      });
    }
  }
}

/** Attaches a tracked run to its job if its task has no other run. */
function attachRun(
  context: ReduceContext,
  worker: OwnedWorker,
  { run, job }: { run: WorkerRun; job: Job },
): void {
  const task = findTaskByName(job, run.taskName);
  if (task === undefined || !context.state.guards.mayAttachRun(task)) return;
  resizeRun(worker, run, task);
  run.job = job;
  run.task = task;
  setTaskState(job, task, "placed");
  task.run = run.run;
  task.mayHaveStarted = true;
  task.workerId = worker.info.workerId;
  job.mayHaveStarted = true;
  logDecision(context, { part: "run", text: "run attached to its job" }, {
    jobId: job.jobId,
    task: run.taskName,
    run: run.run,
    workerId: worker.info.workerId,
    state: run.state,
  });
}

/** Replaces the size of a run, such as an unknown one, by its task's demand. */
function resizeRun(worker: OwnedWorker, run: WorkerRun, task: Task): void {
  worker.usedCpuMilli += task.demand.cpuMilli - run.cpuMilli;
  worker.usedMemoryMb += task.demand.memoryMb - run.memoryMb;
  worker.usedAccelerators += task.demand.accelerators - run.accelerators;
  run.cpuMilli = task.demand.cpuMilli;
  run.memoryMb = task.demand.memoryMb;
  run.accelerators = task.demand.accelerators;
  if (run.sizeUnknown) worker.unsizedRunCount -= 1;
  run.sizeUnknown = false;
}

/** Marks the queue of a run that has progressed as one that reports progress. */
function noteReportedProgress(
  { runTimes }: EngineState,
  { job, progress }: WorkerRun,
): void {
  if (job === null || progress === null || !hasProgressed(progress)) return;
  const estimate = runTimes.get(job.queue.name);
  if (estimate !== undefined) estimate.reportsProgress = true;
}

/** Resends the stops of runs that are being stopped, and stops hung runs. */
export function checkRuns(context: ReduceContext, worker: OwnedWorker): void {
  for (const run of worker.runs.values()) {
    if (run.state === "stopping") stopRun(context, worker, run);
    else if (run.state === "running" && isHungRun(context, worker, run)) {
      stopHungRun(context, worker, run);
    }
  }
}

function isHungRun(
  context: ReduceContext,
  worker: OwnedWorker,
  run: WorkerRun,
): boolean {
  const { job } = run;
  if (job === null || job.outcome !== null) return false;
  return isolateJob(context, job, {
    stage: "complete",
    fallback: false,
    run: () => isHung(context.state, worker, run),
  });
}

function stopHungRun(
  context: ReduceContext,
  worker: OwnedWorker,
  run: WorkerRun,
): void {
  const { state } = context;
  const { job, task, progress } = run;
  if (job === null || task === null || progress === null) return;
  const { workerId } = worker.info;
  const ranMs = state.nowMs - run.placedAtMs;
  logDecision(context, {
    level: "warn",
    part: "run",
    text: "run hung; stopping it",
  }, {
    task: run.taskName,
    run: run.run,
    workerId,
    percent: progress.percent,
    stalledMs: Math.round(stalledMs(progress)),
    ranMs: Math.round(ranMs),
  });
  task.stoppedAfterMs = Math.max(task.stoppedAfterMs, stalledMs(progress));
  noteFailedOn(task, workerId);
  // The run would have taken longer than this.
  runEstimateOf(state, job.queue.name, ranMs).runTimesMs.observe(ranMs);
  countFailures(state, worker, { run, count: FAILURES_PER_HUNG_RUN });
  stopRun(context, worker, run);
}
