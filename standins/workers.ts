/**
 * A stand-in for a zone's workers: they run tasks under leases for a simulated
 * time, check fencing tokens, and retain completions until acknowledged. Their
 * counts of starts are the ground truth for checks of the guarantees.
 *
 * Usage: workers.js CONTROL_PORT FIRST_PORT WORKERS SLOTS ZONE
 */

import { SLOT_CPU_MILLI } from "../src/entry/job_translation.ts";
import type { EffectOf } from "../src/instance/hosts.ts";
import {
  sendJson,
  serveJson,
  type ServiceRequest,
  sleep,
} from "./http_service.ts";
import { createRunRecorder } from "./run_records.ts";
import {
  createFakeWorker,
  type FakeWorker,
  type SimulatedRun,
  type SimulatedTask,
} from "./worker_model.ts";

/** Maximum number of connections to one worker. */
const MAX_CONNECTIONS = 60;
/** Upper bound on the lease that one call can grant. */
const MAX_LEASE_MS = 1_000;
/** Interval at which a waiting poll checks for completions. */
const POLL_INTERVAL_MS = 2;

interface Knobs {
  /** Whether every task is refused before it starts, as by an unhealthy worker. */
  refuse: boolean;
  /** Whether starts take effect, but their connections close unanswered. */
  reset: boolean;
  /** Factor by which run times are multiplied. */
  slowFactor: number;
}

interface Worker {
  readonly knobs: Knobs;
  readonly model: FakeWorker;
}

interface Payload {
  readonly runMs: number;
  readonly echo: string;
}

const [controlPort = 0, firstPort = 0, workerCount = 0, slots = 0] = process
  .argv.slice(2).map(Number);
const [zone = ""] = process.argv.slice(6);
const recorder = createRunRecorder({ nowMs: () => performance.now() });
const startsByEcho = new Map<string, number>();
const echoOfTask = new Map<string, string>();
/** What `/truth` serves: the starts that took place. */
const counts = { started: 0, startedTwice: 0, overCapacity: 0, busyMs: 0 };
/** Whether runs are recorded, and counted by echo, for `/runs` and `/starts`. */
let isRecordingStarts = true;

function countStart(worker: FakeWorker, run: SimulatedRun): void {
  counts.started += 1;
  counts.busyMs += run.endsAtMs - run.startedAtMs;
  if (worker.usedCpuMilli() > worker.cpuMilli) counts.overCapacity += 1;
  const echo = echoOfTask.get(run.taskName);
  echoOfTask.delete(run.taskName);
  if (!isRecordingStarts || echo === undefined) return;
  recorder.onStart(worker, run);
  const starts = (startsByEcho.get(echo) ?? 0) + 1;
  startsByEcho.set(echo, starts);
  if (starts > 1) counts.startedTwice += 1;
}

function createTask(
  knobs: Knobs,
  { taskName, spec }: EffectOf<"startTask">,
): SimulatedTask {
  const { runMs, echo } = JSON.parse(spec) as Payload;
  echoOfTask.set(taskName, echo);
  return {
    cpuMilli: SLOT_CPU_MILLI,
    runMs: runMs * knobs.slowFactor,
    fails: false,
    result: JSON.stringify(echo),
  };
}

function createWorker(index: number): Worker {
  const knobs: Knobs = { refuse: false, reset: false, slowFactor: 1 };
  const model = createFakeWorker({
    workerId: `${zone}-x${index}`,
    availabilityZone: zone,
    cpuMilli: slots * SLOT_CPU_MILLI,
    runTimeFactor: 1,
    leaseMs: MAX_LEASE_MS,
    taskOf: (call) => createTask(knobs, call),
    onStart: countStart,
    onCompletion: recorder.onCompletion,
  });
  return { knobs, model };
}

const workers = Array.from(
  { length: workerCount },
  (_, index) => createWorker(index),
);

async function poll(
  { model }: Worker,
  { body, response }: ServiceRequest,
): Promise<void> {
  const effect = body as EffectOf<"hold">;
  const untilMs = performance.now() + effect.waitMs;
  recorder.onPoll(model, effect);
  while (!response.destroyed) {
    const outcome = model.poll(effect, performance.now(), untilMs);
    if (outcome !== null) {
      sendJson(response, 200, outcome);
      return;
    }
    await sleep(POLL_INTERVAL_MS);
  }
}

function start({ model, knobs }: Worker, request: ServiceRequest): void {
  const { body, response } = request;
  if (knobs.refuse) {
    sendJson(response, 200, { kind: "unhealthy" });
    return;
  }
  model.advance(performance.now());
  const outcome = model.start(body, performance.now());
  if (knobs.reset) response.destroy();
  else sendJson(response, 200, outcome);
}

function stop({ model }: Worker, { body, response }: ServiceRequest): void {
  model.advance(performance.now());
  recorder.onStopCall(model, body);
  sendJson(response, 200, model.stop(body, performance.now()));
}

const workerHandlers: Record<
  string,
  (worker: Worker, request: ServiceRequest) => Promise<void> | void
> = { "/hold": poll, "/start": start, "/stop": stop };

/** The body of `/set`: knobs of the calls and faults of the workers. */
interface SetRequest {
  /** Index of the worker to change; all workers if absent. */
  readonly worker?: number;
  readonly knobs?: Partial<Knobs>;
  readonly failsAll?: boolean;
  readonly hangs?: boolean;
}

function applySettings(
  { worker, knobs = {}, failsAll, hangs }: SetRequest,
): void {
  for (const [index, target] of workers.entries()) {
    if (worker !== undefined && worker !== index) continue;
    Object.assign(target.knobs, knobs);
    if (failsAll !== undefined) target.model.failsAll = failsAll;
    if (hangs !== undefined) target.model.hangs = hangs;
  }
}

const controlHandlers: Record<string, (request: ServiceRequest) => unknown> = {
  "/set": ({ body }) => applySettings(body as SetRequest),
  "/record": ({ body }) => {
    isRecordingStarts = body.record;
  },
  "/truth": () => counts,
  "/runs": () => {
    for (const { model } of workers) model.advance(performance.now());
    return recorder.records;
  },
  "/starts": ({ body }) =>
    Object.fromEntries(
      (body.echoes as string[]).map((echo) => [
        echo,
        startsByEcho.get(echo) ?? 0,
      ]),
    ),
};

for (const [index, worker] of workers.entries()) {
  await serveJson(firstPort + index, (request) => {
    const call = workerHandlers[request.path];
    if (call === undefined) sendJson(request.response, 404, {});
    else return call(worker, request);
  }, { maxConnections: MAX_CONNECTIONS });
}
await serveJson(controlPort, (request) => {
  const control = controlHandlers[request.path];
  sendJson(request.response, 200, control?.(request) ?? {});
});
process.stdout.write("ready\n");
