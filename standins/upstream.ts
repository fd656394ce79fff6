/**
 * A stand-in for a zone's upstreams: executors with slots and a connection cap
 * that run tasks for a simulated time. It counts what was started, and so is
 * the truth against which promises are checked.
 *
 * Usage: upstream.js CONTROL_PORT FIRST_PORT EXECUTORS SLOTS
 */

import type { ServerResponse } from "node:http";
import {
  answer,
  serveJson,
  type ServiceRequest,
  sleep,
} from "./http_service.ts";

/** Connections that one executor takes. */
const MAX_CONNECTIONS = 60;

interface Knobs {
  /** Fails every task at once, after starting it. */
  failAll: boolean;
  /** Refuses every task before it starts, and says so. */
  refuse: boolean;
  /** Starts tasks and never answers. */
  hang: boolean;
  /** Starts tasks, then resets the connection. */
  reset: boolean;
  /** Answers every task with another task's identity. */
  cross: boolean;
  /** Multiplies run times. */
  slowFactor: number;
}

interface Executor {
  readonly knobs: Knobs;
  busy: number;
  started: number;
  lastStartMs: number;
  readonly waiting: (() => void)[];
}

const [controlPort = 0, firstPort = 0, executorCount = 0, slots = 0] = process
  .argv.slice(2).map(Number);
const startsByKey = new Map<string, number>();
const truth = { started: 0, startedTwice: 0, busyMs: 0, received: 0 };
let record = true;

const executors: Executor[] = Array.from({ length: executorCount }, () => ({
  knobs: {
    failAll: false,
    refuse: false,
    hang: false,
    reset: false,
    cross: false,
    slowFactor: 1,
  },
  busy: 0,
  started: 0,
  lastStartMs: 0,
  waiting: [],
}));

async function acquireSlot(executor: Executor): Promise<void> {
  if (executor.busy < slots) {
    executor.busy += 1;
    return;
  }
  await new Promise<void>((resolve) => executor.waiting.push(resolve));
}

function releaseSlot(executor: Executor): void {
  const next = executor.waiting.shift();
  if (next === undefined) executor.busy -= 1;
  else next();
}

function noteStart(executor: Executor, key: string): void {
  executor.started += 1;
  executor.lastStartMs = Date.now();
  truth.started += 1;
  if (!record) return;
  const starts = (startsByKey.get(key) ?? 0) + 1;
  startsByKey.set(key, starts);
  if (starts > 1) truth.startedTwice += 1;
}

async function runTask(
  executor: Executor,
  { headers, body, response }: ServiceRequest,
): Promise<void> {
  const { knobs } = executor;
  truth.received += 1;
  if (knobs.refuse) {
    answer(response, 503, { notRun: true });
    return;
  }
  await acquireSlot(executor);
  noteStart(executor, String(headers["idempotency-key"]));
  const { taskId, payload } = body;
  const runMs = knobs.failAll ? 0 : payload.runMs * knobs.slowFactor;
  await sleep(runMs);
  truth.busyMs += runMs;
  releaseSlot(executor);
  answerTask(knobs, { taskId, payload, response });
}

function answerTask(
  knobs: Knobs,
  { taskId, payload, response }: {
    taskId: string;
    payload: { echo: string };
    response: ServerResponse;
  },
): void {
  if (knobs.hang) return;
  if (knobs.reset) response.destroy();
  else if (knobs.failAll) answer(response, 500, { taskId, error: "broken" });
  else {
    const told = knobs.cross ? `${taskId}0` : taskId;
    answer(response, 200, { taskId: told, result: payload.echo });
  }
}

function control({ path, body, response }: ServiceRequest): void {
  if (path === "/knobs") {
    executors.forEach((executor, index) => {
      if (body.executor === undefined || body.executor === index) {
        Object.assign(executor.knobs, body.knobs);
      }
    });
  } else if (path === "/record") record = body.record;
  answer(response, 200, {
    ...truth,
    executors: executors.map(({ started, lastStartMs, busy }) => ({
      started,
      lastStartMs,
      busy,
    })),
  });
}

function startsOf({ body, response }: ServiceRequest): void {
  const starts: Record<string, number> = {};
  for (const key of body.keys) starts[key] = startsByKey.get(key) ?? 0;
  answer(response, 200, starts);
}

for (const [index, executor] of executors.entries()) {
  await serveJson(firstPort + index, (request) => runTask(executor, request), {
    maxConnections: MAX_CONNECTIONS,
  });
}
await serveJson(controlPort, (request) => {
  if (request.path === "/starts") startsOf(request);
  else control(request);
});
process.stdout.write("ready\n");
