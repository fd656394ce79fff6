/** What workers answer to starts and stops. */

import { dropRun, runKey } from "./runs.ts";
import { logDecision } from "./effects.ts";
import type {
  EngineEventOf,
  OwnedWorker,
  ReduceContext,
  StartOutcome,
  WorkerRun,
} from "./types.ts";
import { resolveByFence, yieldWorker } from "./workers.ts";

/** A worker that says it is unhealthy gets no tasks for so long. */
const UNHEALTHY_PAUSE_MS = 300;
/** Run numbers skip so many when a worker has seen higher ones. */
const RUN_NUMBER_STEP = 8;

interface StartContext {
  readonly worker: OwnedWorker;
  readonly run: WorkerRun;
  /** The token that the start carried. */
  readonly fence: number;
}

type StartHandlers = {
  [K in StartOutcome["kind"]]: (
    context: ReduceContext,
    start: StartContext,
    outcome: Extract<StartOutcome, { kind: K }>,
  ) => void;
};

const startHandlers: StartHandlers = {
  started: ({ state }, { run }) => {
    run.ackedAtMs = state.nowMs;
    if (run.state === "starting") run.state = "running";
  },
  refused: onStartRefused,
  unhealthy: onNotTaken,
  notSent: onNotTaken,
  unknown: (context, { worker, run }) => {
    if (run.state !== "starting") return;
    context.state.counters.startsUnknown += 1;
    resolveByFence(context, worker);
  },
};

/** The worker took nothing, and gets nothing for a moment. */
function onNotTaken(
  context: ReduceContext,
  { worker, run }: StartContext,
): void {
  worker.suspendedUntilMs = context.state.nowMs + UNHEALTHY_PAUSE_MS;
  dropRun(context, worker, { run, kind: "notBegun" });
}

function onStartRefused(
  context: ReduceContext,
  { worker, run, fence }: StartContext,
  { reason }: Extract<StartOutcome, { kind: "refused" }>,
): void {
  context.state.counters.startsRefused += 1;
  logDecision(context, { level: "warn", part: "run", text: "start refused" }, {
    task: run.taskName,
    run: run.run,
    workerId: worker.info.workerId,
    reason,
    fence,
  });
  if (reason === "oldRun" && run.task !== null) {
    run.task.run += RUN_NUMBER_STEP;
  }
  dropRun(context, worker, { run, kind: "notBegun" });
  if (reason === "fenced" && fence === worker.fence) {
    yieldWorker(context, worker);
  }
  if (reason === "replaced" || reason === "room") {
    resolveByFence(context, worker);
  }
}

/** The worker answered a start, or did not. */
export function onStartEnded(
  context: ReduceContext,
  event: EngineEventOf<"startEnded">,
): OwnedWorker | null {
  const worker = context.state.scheduler?.workers.get(event.workerId);
  const run = worker?.runs.get(runKey(event.taskName, event.run));
  if (worker === undefined || run === undefined) return null;
  const handler = startHandlers[event.outcome.kind] as (
    context: ReduceContext,
    start: StartContext,
    outcome: StartOutcome,
  ) => void;
  handler(context, { worker, run, fence: event.fence }, event.outcome);
  return worker;
}

/** The worker answered a stop, or did not. */
export function onStopEnded(
  context: ReduceContext,
  event: EngineEventOf<"stopEnded">,
): void {
  const worker = context.state.scheduler?.workers.get(event.workerId);
  const run = worker?.runs.get(runKey(event.taskName, event.run));
  if (worker === undefined || run === undefined) return;
  if (event.outcome.kind !== "stopped") return;
  run.ackedAtMs = context.state.nowMs;
}
