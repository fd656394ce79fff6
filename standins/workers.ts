/**
 * A stand-in for a zone's workers: they run tasks under leases for a simulated
 * time, check fencing tokens, and keep ends until told to forget them. What
 * they count is the truth against which promises are checked.
 *
 * Usage: workers.js CONTROL_PORT FIRST_PORT WORKERS SLOTS
 */

import { SLOT_CPU_MILLI } from "../src/entry/job_translation.ts";
import type { EffectOf } from "../src/instance/hosts.ts";
import {
  answer,
  serveJson,
  type ServiceRequest,
  sleep,
} from "./http_service.ts";
import {
  createFakeWorker,
  type FakeWorker,
  type SimulatedRun,
  type SimulatedTask,
} from "./worker_model.ts";

/** Connections that one worker takes. */
const MAX_CONNECTIONS = 60;
/** The longest lease. */
const LEASE_MS = 1_000;
/** How often a call that waits for an end looks for one. */
const LOOK_MS = 2;

interface Knobs {
  /** Refuses every task before it starts, and says so. */
  refuse: boolean;
  /** Carries out starts, then resets the connection. */
  reset: boolean;
  /** Multiplies run times. */
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
const startsByEcho = new Map<string, number>();
const echoOfTask = new Map<string, string>();
const truth = { started: 0, startedTwice: 0, overCapacity: 0, busyMs: 0 };
let record = true;

function noteStart(worker: FakeWorker, run: SimulatedRun): void {
  truth.started += 1;
  truth.busyMs += run.endsAtMs - run.startedAtMs;
  if (worker.usedCpuMilli() > worker.cpuMilli) truth.overCapacity += 1;
  const echo = echoOfTask.get(run.taskName);
  echoOfTask.delete(run.taskName);
  if (!record || echo === undefined) return;
  const starts = (startsByEcho.get(echo) ?? 0) + 1;
  startsByEcho.set(echo, starts);
  if (starts > 1) truth.startedTwice += 1;
}

function taskOf(
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
    workerId: `w${index}`,
    availabilityZone: "",
    cpuMilli: slots * SLOT_CPU_MILLI,
    runTimeFactor: 1,
    leaseMs: LEASE_MS,
    taskOf: (call) => taskOf(knobs, call),
    onStart: noteStart,
    onCompletion: () => {},
  });
  return { knobs, model };
}

const workers = Array.from(
  { length: workerCount },
  (_, index) => createWorker(index),
);

async function hold(
  { model }: Worker,
  { body, response }: ServiceRequest,
): Promise<void> {
  const effect = body as EffectOf<"hold">;
  const untilMs = performance.now() + effect.waitMs;
  while (!response.destroyed) {
    const outcome = model.poll(effect, performance.now(), untilMs);
    if (outcome !== null) {
      answer(response, 200, outcome);
      return;
    }
    await sleep(LOOK_MS);
  }
}

function start({ model, knobs }: Worker, request: ServiceRequest): void {
  const { body, response } = request;
  if (knobs.refuse) {
    answer(response, 200, { kind: "unhealthy" });
    return;
  }
  model.advance(performance.now());
  const outcome = model.start(body, performance.now());
  if (knobs.reset) response.destroy();
  else answer(response, 200, outcome);
}

function stop({ model }: Worker, { body, response }: ServiceRequest): void {
  answer(response, 200, model.stop(body, performance.now()));
}

const calls: Record<
  string,
  (worker: Worker, request: ServiceRequest) => Promise<void> | void
> = { "/hold": hold, "/start": start, "/stop": stop };

/** What tests set: knobs of the calls, and faults of the workers themselves. */
interface Setting {
  /** All workers without it. */
  readonly worker?: number;
  readonly knobs?: Partial<Knobs>;
  readonly failsAll?: boolean;
  readonly hangs?: boolean;
}

function set({ worker, knobs = {}, failsAll, hangs }: Setting): void {
  for (const [index, one] of workers.entries()) {
    if (worker !== undefined && worker !== index) continue;
    Object.assign(one.knobs, knobs);
    if (failsAll !== undefined) one.model.failsAll = failsAll;
    if (hangs !== undefined) one.model.hangs = hangs;
  }
}

const controls: Record<string, (request: ServiceRequest) => unknown> = {
  "/set": ({ body }) => set(body as Setting),
  "/record": ({ body }) => {
    record = body.record;
  },
  "/truth": () => truth,
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
    const call = calls[request.path];
    if (call === undefined) answer(request.response, 404, {});
    else return call(worker, request);
  }, { maxConnections: MAX_CONNECTIONS });
}
await serveJson(controlPort, (request) => {
  const control = controls[request.path];
  answer(request.response, 200, control?.(request) ?? {});
});
process.stdout.write("ready\n");
