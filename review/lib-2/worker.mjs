/**
 * A stand-in for an executor, as PROTOCOL.md describes it: it lists itself in
 * the store, starts and stops runs, holds leases, and lists ends until they are
 * taken note of.
 */

import { createServer } from "node:http";

const HEARTBEAT_MS = 1_500;
const MAX_LEASE_MS = 1_000;
const STOP_MS = 30;
const CHECK_MS = 5;
const MAX_ENDS = 500;

/**
 * Starts an executor. `behave` tells how a run goes: `{ ms, how }` for a task, a
 * run number and the spec. `record` gets what happens.
 */
export async function startWorker(
  {
    id,
    zone,
    service,
    store,
    behave,
    record,
    cpu = 32_000,
    memMb = 131_072,
    labels = [],
    guards = false,
  },
) {
  let bornMs = 0;
  let startedAtMs = 0;
  let fence = 0;
  let leaseEndsMs = 0;
  let isLeased = false;
  let nextEnd = 1;
  let runs = new Map();
  let ends = [];
  let endedRuns = new Map();
  let heartbeats = 0;
  let state = "ready";
  /**
   * What goes wrong: `isCut` if nothing arrives or leaves, `lostShare` and
   * `lateShare` are shares of the orders whose answers are lost and, for the
   * latter, that are carried out seconds later.
   */
  const faults = { isCut: false, lostShare: 0, lateShare: 0 };
  let isUp = true;
  let port = 0;

  const clockMs = () => Math.round(performance.now() - startedAtMs);
  const runKey = (task, run) => `${task}#${run}`;

  function reset() {
    bornMs = Date.now();
    startedAtMs = performance.now();
    fence = 0;
    leaseEndsMs = 0;
    isLeased = false;
    nextEnd = 1;
    runs = new Map();
    ends = [];
    endedRuns = new Map();
  }

  function list() {
    if (!isUp || faults.isCut) return;
    heartbeats += 1;
    store.put({ table: "servers", key: id }, {
      id,
      service,
      addr: address,
      zone,
      machine: `m-${id}`,
      version: "1",
      slots: 8,
      state,
      cold_left_ms: 0,
      seq: heartbeats,
      born: bornMs,
      capacity: { cpu, mem_mb: memMb, gpu: 0 },
      labels,
    });
  }

  function end(key, how) {
    const run = runs.get(key);
    if (run === undefined) return;
    runs.delete(key);
    noteEnded(run.task, run.run);
    const row = [nextEnd, run.task, run.run, how, ""];
    nextEnd += 1;
    ends.push(row);
    record("end", { worker: id, task: run.task, run: run.run, how, n: row[0] });
  }

  function noteEnded(task, run) {
    endedRuns.set(task, Math.max(endedRuns.get(task) ?? 0, run));
  }

  function advance() {
    if (!isUp) return;
    const nowMs = clockMs();
    for (const [key, run] of [...runs]) {
      if (run.stopAtMs !== null && nowMs >= run.stopAtMs) end(key, "stopped");
      else if (nowMs >= run.endAtMs && run.endAtMs <= leaseEndsMs) {
        end(key, run.how);
      } else if (nowMs >= leaseEndsMs) end(key, "lapsed");
    }
    if (!isLeased || nowMs < leaseEndsMs) return;
    isLeased = false;
    record("lease lapsed", { worker: id });
  }

  function grant(deadlineMs) {
    if (deadlineMs === undefined) return;
    const longestMs = clockMs() + MAX_LEASE_MS;
    leaseEndsMs = Math.max(leaseEndsMs, Math.min(deadlineMs, longestMs));
    isLeased ||= leaseEndsMs > clockMs();
  }

  function start({ task, run, spec, deadline_ms: deadlineMs }) {
    if (runs.has(runKey(task, run))) return { status: 200 };
    if (run <= (endedRuns.get(task) ?? 0)) {
      grant(deadlineMs);
      return { status: 409, reason: "old" };
    }
    if (deadlineMs <= clockMs()) return { status: 409, reason: "late" };
    grant(deadlineMs);
    if (guards && runs.size >= 8) return { status: 409, reason: "room" };
    const { ms, how } = behave({ task, run, spec, worker: id });
    const nowMs = clockMs();
    runs.set(runKey(task, run), {
      task,
      run,
      how,
      startedMs: nowMs,
      endAtMs: nowMs + ms,
      ms,
      stopAtMs: null,
    });
    record("start", { worker: id, task, run, labels });
    return { status: 200 };
  }

  function stop({ task, run }) {
    const known = runs.get(runKey(task, run));
    if (known === undefined) noteEnded(task, run);
    else known.stopAtMs ??= clockMs() + STOP_MS;
    return { status: 200 };
  }

  async function hold(
    { last_seen: lastSeen = 0, deadline_ms, wait_ms },
    response,
  ) {
    grant(deadline_ms);
    const noted = ends.filter(([n]) => n <= lastSeen);
    for (const [n, task, run, how] of noted) {
      record("noted", { worker: id, task, run, how, n });
    }
    ends = ends.filter(([n]) => n > lastSeen);
    const untilMs = performance.now() + Math.min(2_000, wait_ms ?? 0);
    while (
      ends.length === 0 && performance.now() < untilMs && !response.destroyed
    ) await new Promise((resolve) => setTimeout(resolve, CHECK_MS));
    const running = [...runs.values()].map((run) => {
      const share = (clockMs() - run.startedMs) / run.ms;
      return [run.task, run.run, "", Math.min(99, Math.floor(100 * share)), 0];
    });
    return {
      status: 200,
      lists: { born: bornMs, running, finished: ends.slice(0, MAX_ENDS) },
    };
  }

  const calls = {
    "/bronzemill/run-start": start,
    "/bronzemill/run-stop": stop,
    "/bronzemill/hold": hold,
  };

  async function handle(request, text, response) {
    if (!isUp) return { status: 503 };
    const call = calls[request.url];
    if (call === undefined) return { status: 404 };
    if (request.headers["target-instance"] !== id) return { status: 421 };
    const body = JSON.parse(text);
    advance();
    if ((body.fence ?? 0) < fence) return { status: 409, reason: "fence" };
    fence = Math.max(fence, body.fence ?? 0);
    return await call(body, response);
  }

  const server = createServer((request, response) => {
    let text = "";
    request.setEncoding("utf8");
    request.on("data", (chunk) => text += chunk);
    request.on("end", () => {
      if (faults.isCut) return;
      const isOrder = request.url !== "/bronzemill/hold" || Math.random() < 0.3;
      if (isOrder && Math.random() < faults.lateShare) {
        const afterMs = 2_000 + Math.random() * 10_000;
        setTimeout(() => {
          if (isUp && !faults.isCut) handle(request, text, response);
        }, afterMs);
        return;
      }
      if (isOrder && Math.random() < faults.lostShare) {
        handle(request, text, response);
        return;
      }
      const callBornMs = bornMs;
      handle(request, text, response).then(({ status, reason, lists }) => {
        if (response.destroyed || faults.isCut || bornMs !== callBornMs) return;
        response.writeHead(status, { "content-type": "application/json" });
        const content = { clock_ms: clockMs(), born: bornMs, ...lists };
        if (reason !== undefined) content.reason = reason;
        response.end(JSON.stringify(content));
      });
    });
  });
  await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
  port = server.address().port;
  const address = `127.0.0.1:${port}`;
  const timers = [
    setInterval(advance, CHECK_MS),
    setInterval(list, HEARTBEAT_MS),
  ];
  reset();
  list();

  return {
    id,
    zone,
    labels,
    runs: () => [...runs.values()],
    cpu,
    faults,
    cut(isCut) {
      faults.isCut = isCut;
      record(isCut ? "worker cut off" : "worker reached", { worker: id });
      // What was held up is lost with its connections.
      if (!isCut) server.closeAllConnections();
      else return;
      list();
    },
    /** Crashes, and starts again under the same ID, maybe as another kind. */
    async crash(forMs, labelsThen = labels) {
      isUp = false;
      record("worker crashed", { worker: id, runs: runs.size });
      for (const run of runs.values()) {
        record("end", {
          worker: id,
          task: run.task,
          run: run.run,
          how: "crashed",
          n: 0,
        });
      }
      runs = new Map();
      server.closeAllConnections();
      await new Promise((resolve) => server.close(resolve));
      await new Promise((resolve) => setTimeout(resolve, forMs));
      reset();
      labels = labelsThen;
      await new Promise((resolve) => server.listen(port, "127.0.0.1", resolve));
      isUp = true;
      record("worker started", { worker: id });
      list();
    },
    drain() {
      state = "draining";
      list();
    },
    close() {
      for (const timer of timers) clearInterval(timer);
      server.closeAllConnections();
      server.close();
    },
  };
}
