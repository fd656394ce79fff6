/** Outcomes of the calls that start and stop runs on workers. */

import { logDecision } from "./effects.ts";
import { createProgress } from "./run_progress.ts";
import { dropRun, runKey, startKey } from "./runs.ts";
import type {
  EngineEventOf,
  OwnedWorker,
  ReduceContext,
  StartOutcome,
  WorkerRun,
} from "./types.ts";
import { raiseFence, relinquishWorker } from "./workers.ts";

/**
 * Time for which a worker gets no tasks after it reported itself unhealthy or
 * refused a connection.
 */
const NOT_STARTED_SUSPENSION_MS = 300;
/**
 * Added to the run number of a task if the worker has seen an equal or higher
 * one.
 */
const RUN_NUMBER_STEP = 8;

/** A start whose outcome is handled. */
interface StartRequest {
  readonly worker: OwnedWorker;
  readonly run: WorkerRun;
  /** The fencing token that the start carried. */
  readonly fence: number;
}

type StartHandlers = {
  [K in StartOutcome["kind"]]: (
    context: ReduceContext,
    start: StartRequest,
    outcome: Extract<StartOutcome, { kind: K }>,
  ) => void;
};

const startHandlers: StartHandlers = {
  started: ({ state }, { run }, { clockMs }) => {
    run.ackedAtMs = state.nowMs;
    if (clockMs !== null) run.progress ??= createProgress(0, clockMs);
    if (run.state === "starting") run.state = "running";
  },
  refused: onStartRefused,
  unhealthy: onNotStarted,
  notSent: onNotStarted,
  unknown: (context, { worker, run }) => {
    if (run.state !== "starting") return;
    context.state.counters.startsUnknown += 1;
    // The lists read under the raised token, now or when a lost worker is
    // acquired again, show whether the run started.
    raiseFence(context, worker, "startUnknown");
  },
};

/** Drops a run that certainly did not start, and suspends its worker. */
function onNotStarted(
  context: ReduceContext,
  { worker, run }: StartRequest,
): void {
  worker.suspendedUntilMs = context.state.nowMs + NOT_STARTED_SUSPENSION_MS;
  dropRun(context, worker, { run, kind: "notStarted" });
}

/** Handles a start that the worker refused, by the reason of the refusal. */
function onStartRefused(
  context: ReduceContext,
  { worker, run, fence }: StartRequest,
  { reason }: Extract<StartOutcome, { kind: "refused" }>,
): void {
  context.state.counters.startsRefused += 1;
  logDecision(context, {
    level: "warn",
    part: "run",
    text: "start of task refused",
  }, {
    task: run.taskName,
    run: run.run,
    workerId: worker.info.workerId,
    reason,
    fence,
  });
  if (reason === "oldRun" && run.task !== null) {
    run.task.run += RUN_NUMBER_STEP;
  }
  dropRun(context, worker, { run, kind: "notStarted" });
  // A start under an older token is also refused if this leader has raised the
  // token itself; only a refusal of the present one shows another owner.
  if (reason === "fenced" && fence === worker.fence) {
    relinquishWorker(context, worker);
  }
  // The worker's runs or its clock may differ from what is known here.
  if (reason === "replaced" || reason === "room" || reason === "late") {
    raiseFence(context, worker, "startRefused");
  }
}

/**
 * Handles the outcome of a start. Returns the worker, whose capacity may have
 * changed; null if the worker or the run is no longer known. The outcome may be
 * that of a run with the same number, which this instance started in an earlier
 * term as the leader.
 */
export function onStartCompleted(
  context: ReduceContext,
  event: EngineEventOf<"startCompleted">,
): OwnedWorker | null {
  const { scheduler } = context.state;
  scheduler?.startsInFlight.delete(startKey(event));
  const worker = scheduler?.workers.get(event.workerId);
  const run = worker?.runs.get(runKey(event.taskName, event.run));
  if (worker === undefined || run === undefined) return null;
  if (!context.state.guards.isOutcomeOf(run, event.fence)) return null;
  const handler = startHandlers[event.outcome.kind] as (
    context: ReduceContext,
    start: StartRequest,
    outcome: StartOutcome,
  ) => void;
  handler(context, { worker, run, fence: event.fence }, event.outcome);
  return worker;
}

/**
 * Handles the outcome of a stop, which may be that of a run with the same number
 * in an earlier term. A failed one needs no action, since stops are repeated
 * until the run is known to have ended.
 */
export function onStopCompleted(
  context: ReduceContext,
  event: EngineEventOf<"stopCompleted">,
): void {
  const worker = context.state.scheduler?.workers.get(event.workerId);
  const run = worker?.runs.get(runKey(event.taskName, event.run));
  if (run?.state !== "stopping" || event.outcome.kind !== "stopped") return;
  run.ackedAtMs = context.state.nowMs;
}
