/**
 * A stand-in for executors, by PROTOCOL.md, "Running tasks": fences, leases,
 * runs, stops, and lists of ends. What a task does stands in its spec, as JSON:
 * `ms` for how long it runs, `how` for its end (`done` or `failed`). Each start
 * and end is written to the standard output as a line of JSON.
 *
 * The port before the first one takes the commands of the test: to crash and come
 * back, to lose answers, and to carry orders out late without an answer.
 *
 * Usage: executors.mjs HOST FIRST_PORT COUNT PREFIX [CLOCK_RATE]
 */

import { nowMs, sendJson, serve, sleep } from "./common.mjs";

const [host, firstPort, count, prefix, clockRate = 1] = process.argv.slice(2);
const MAX_LEASE_MS = 1_000;
const MAX_WAIT_MS = 2_000;
const MAX_LISTED = 500;
const STOP_MS = 10;

function report(event) {
  process.stdout.write(`${JSON.stringify({ atMs: nowMs(), ...event })}\n`);
}

function createExecutor(id) {
  let bornAtMs = nowMs();
  let born = Date.now();
  let fence = 0;
  let leaseEndMs = 0;
  let lastN = 0;
  let lastSeen = 0;
  let isDown = false;
  let lostShare = 0;
  let lateShare = 0;
  /** Numbers of the ends since which the lease has lapsed. */
  const lapsedEnds = new Set();
  const running = new Map();
  const highestRun = new Map();
  let ends = [];
  const waiters = new Set();

  const clockMs = () => Math.floor(Number(clockRate) * (nowMs() - bornAtMs));

  function noteLapse() {
    if (clockMs() < leaseEndMs) return;
    for (const [n] of ends) lapsedEnds.add(n);
  }

  function extendLease(deadlineMs) {
    noteLapse();
    const limitMs = clockMs() + MAX_LEASE_MS;
    leaseEndMs = Math.max(leaseEndMs, Math.min(deadlineMs, limitMs));
  }

  function end(task, how) {
    const run = running.get(task);
    if (run === undefined) return;
    clearTimeout(run.timer);
    running.delete(task);
    lastN += 1;
    ends.push([lastN, task, run.run, how, ""]);
    report({ what: "end", executor: id, task, run: run.run, how, n: lastN });
    for (const wake of [...waiters]) wake();
  }

  setInterval(() => {
    if (running.size === 0 || clockMs() < leaseEndMs) return;
    for (const task of [...running.keys()]) end(task, "lapsed");
  }, 5);

  /** Answers a call with a fence below the highest one. */
  function isFenced({ fence: given = 0 }, response) {
    if (given >= fence) {
      fence = given;
      return false;
    }
    sendJson(response, 409, { clock_ms: clockMs(), reason: "fence", born });
    return true;
  }

  function refuse(response, reason) {
    sendJson(response, 409, { clock_ms: clockMs(), reason, born });
  }

  function start(body, response) {
    if (isFenced(body, response)) return;
    const { task, run, spec, deadline_ms: deadlineMs } = body;
    if (deadlineMs <= clockMs()) return refuse(response, "late");
    extendLease(deadlineMs);
    if (running.get(task)?.run === run) {
      sendJson(response, 200, { clock_ms: clockMs(), born });
      return;
    }
    if (run <= (highestRun.get(task) ?? 0)) return refuse(response, "old");
    highestRun.set(task, run);
    let work = {};
    try {
      work = JSON.parse(spec);
    } catch {
      // A spec of another client, which runs for the usual time.
    }
    const { ms = 100, how = "done" } = work;
    running.set(task, {
      run,
      ms,
      atMs: nowMs(),
      timer: setTimeout(() => end(task, how), ms),
    });
    report({ what: "start", executor: id, task, run, fence: body.fence });
    sendJson(response, 200, { clock_ms: clockMs(), born });
  }

  async function stop(body, response) {
    if (isFenced(body, response)) return;
    const { task, run } = body;
    highestRun.set(task, Math.max(run, highestRun.get(task) ?? 0));
    const current = running.get(task);
    if (current !== undefined && current.run <= run) {
      report({ what: "stop", executor: id, task, run });
      await sleep(STOP_MS);
      if (running.get(task) === current) end(task, "stopped");
    }
    sendJson(response, 200, { clock_ms: clockMs(), born });
  }

  async function hold(body, response) {
    if (isFenced(body, response)) return;
    const { last_seen: seen = 0, deadline_ms: deadlineMs } = body;
    const { wait_ms: waitMs = 0 } = body;
    noteLapse();
    if (deadlineMs !== undefined) extendLease(deadlineMs);
    if (seen > lastSeen) {
      const noted = ends.filter(([n]) => n <= seen);
      for (const [n, task, run, how] of noted) {
        const isLapsed = lapsedEnds.has(n);
        report({ what: "noted", executor: id, task, run, how, n, isLapsed });
      }
      ends = ends.filter(([n]) => n > seen);
      lastSeen = seen;
    }
    const untilMs = nowMs() + Math.min(MAX_WAIT_MS, waitMs);
    while (ends.length === 0 && nowMs() < untilMs && !response.destroyed) {
      await new Promise((resolve) => {
        const timer = setTimeout(wake, Math.max(1, untilMs - nowMs()));
        function wake() {
          clearTimeout(timer);
          waiters.delete(wake);
          response.off("close", wake);
          resolve();
        }
        waiters.add(wake);
        response.once("close", wake);
      });
    }
    sendJson(response, 200, {
      clock_ms: clockMs(),
      born,
      running: [...running].map(([task, { run, ms, atMs }]) => {
        const percent = Math.min(99, Math.floor(100 * (nowMs() - atMs) / ms));
        return [task, run, "", percent];
      }),
      finished: ends.slice(0, MAX_LISTED),
    });
  }

  /** Ends all that runs; the executor is silent until it is back. */
  function crash() {
    isDown = true;
    for (const [task, { run, timer }] of running) {
      clearTimeout(timer);
      report({ what: "end", executor: id, task, run, how: "crashed" });
    }
    running.clear();
    highestRun.clear();
    lapsedEnds.clear();
    report({ what: "crashed", executor: id });
  }

  function comeBack() {
    isDown = false;
    bornAtMs = nowMs();
    born = Date.now();
    fence = 0;
    leaseEndMs = 0;
    lastN = 0;
    lastSeen = 0;
    ends = [];
    report({ what: "back", executor: id });
    return born;
  }

  const commands = {
    crash,
    comeBack,
    lose: ({ share }) => {
      lostShare = share;
    },
    delay: ({ share }) => {
      lateShare = share;
    },
  };

  const handlers = {
    "/bronzemill/run-start": start,
    "/bronzemill/run-stop": stop,
    "/bronzemill/hold": hold,
  };

  const control = (command) => commands[command.what](command);
  const handle = async ({ method, path, headers, text, response }) => {
    if (isDown) {
      response.destroy();
      return;
    }
    if (method === "GET") {
      sendJson(response, path === "/healthz" ? 200 : 404, {});
      return;
    }
    const target = headers["target-instance"];
    if (target !== undefined && target !== id) {
      sendJson(response, 421, {});
      return;
    }
    const handler = handlers[path];
    if (handler === undefined) {
      sendJson(response, 404, {});
      return;
    }
    const body = JSON.parse(text);
    const isOrder = path !== "/bronzemill/hold";
    if (isOrder && Math.random() < lateShare) {
      report({ what: "late", executor: id, path, task: body.task });
      const ownBorn = born;
      await sleep(2_000 + 10_000 * Math.random());
      response.destroy();
      if (!isDown && born === ownBorn) await handler(body, response);
      return;
    }
    if (isOrder && Math.random() < lostShare) {
      report({ what: "lost", executor: id, path, task: body.task });
      await handler(body, { destroyed: true });
      response.destroy();
      return;
    }
    await handler(body, response);
  };
  return { id, handle, control };
}

const executors = new Map();
for (let index = 0; index < Number(count); index += 1) {
  const executor = createExecutor(`${prefix}${index}`);
  executors.set(executor.id, executor);
  await serve(host, Number(firstPort) + index, executor.handle);
}
await serve(host, Number(firstPort) - 1, ({ text, response }) => {
  const command = JSON.parse(text);
  const result = executors.get(command.executor).control(command);
  sendJson(response, 200, { result });
});
process.stdout.write("ready\n");
