/**
 * A stand-in for one executor that receives its orders by calls (`orders` is
 * `rpc`). It keeps the highest fencing token and its leases as the protocol page
 * says, and starts whatever it is told to start.
 *
 * The spec of a job is JSON: `ms` has the work of a task by step, `end` says how
 * its tasks end.
 */

import { createServer } from "node:http";

/** Longest lease that is granted. */
const MAX_LEASE_MS = 1_000;
/** Time that a stop takes; at most 50 ms are allowed. */
const STOP_MS = 40;
const MAX_WAIT_MS = 2_000;
const MAX_LISTED_ENDS = 500;
const HEARTBEAT_MS = 1_500;

export function createExecutor(
  { id, host, port, service, zone, cpu, store, events },
) {
  const bornMs = Date.now();
  const startedAtMs = performance.now();
  /** Running runs by task and run number. */
  const running = new Map();
  let finished = [];
  let endCount = 0;
  let highestFence = 0;
  let leaseEndsMs = 0;
  let leaseTimer = null;
  let leaseLapses = 0;
  const highestEndedRun = new Map();
  const waiting = new Set();
  const held = [];
  let seq = 0;
  let crashed = false;
  let state = "ready";
  let silent = false;
  /** Share of the orders that get no answer and are carried out late. */
  let lateShare = 0;
  /** Share of the orders that are carried out and whose answers are lost. */
  let lostShare = 0;

  const clockMs = () => Math.round(performance.now() - startedAtMs);

  function end(run, how) {
    if (!running.delete(run.key)) return;
    clearTimeout(run.timer);
    endCount += 1;
    highestEndedRun.set(
      run.task,
      Math.max(run.run, highestEndedRun.get(run.task) ?? 0),
    );
    const row = { n: endCount, task: run.task, run: run.run, how };
    finished.push({ ...row, leaseLapses });
    events.ended({ ...row, executor: id });
    for (const wake of [...waiting]) wake();
  }

  function extendLease(deadlineMs) {
    if (typeof deadlineMs !== "number") return;
    const grantedMs = Math.min(deadlineMs, clockMs() + MAX_LEASE_MS);
    if (grantedMs <= leaseEndsMs) return;
    leaseEndsMs = grantedMs;
    clearTimeout(leaseTimer);
    leaseTimer = setTimeout(onLeaseExpired, leaseEndsMs - clockMs());
  }

  function onLeaseExpired() {
    leaseLapses += 1;
    for (const run of [...running.values()]) end(run, "lapsed");
  }

  function start({ task, run, spec, deadline_ms: deadlineMs }) {
    const key = `${task}#${run}`;
    if (running.has(key)) {
      extendLease(deadlineMs);
      return { status: 200 };
    }
    if (run <= (highestEndedRun.get(task) ?? 0)) {
      extendLease(deadlineMs);
      return { status: 409, reason: "old" };
    }
    if (deadlineMs <= clockMs()) return { status: 409, reason: "late" };
    extendLease(deadlineMs);
    const { ms: workByStep, end: how = "done" } = JSON.parse(spec);
    // Names of tasks have the form ID.K.STEP.INDEX.
    const ms = workByStep[Number(task.split(".")[2])];
    const entry = { key, task, run, ms, startedAtMs: clockMs() };
    entry.timer = setTimeout(() => end(entry, how), ms);
    running.set(key, entry);
    events.started({ task, run, executor: id, spec });
    return { status: 200 };
  }

  function stop({ task, run }) {
    const entry = running.get(`${task}#${run}`);
    if (entry !== undefined) {
      events.stopping({ task, run, executor: id });
      setTimeout(() => end(entry, "stopped"), STOP_MS);
    } else {
      highestEndedRun.set(task, Math.max(run, highestEndedRun.get(task) ?? 0));
    }
    return { status: 200 };
  }

  function acknowledge(lastSeen) {
    for (const row of finished) {
      if (row.n > lastSeen) continue;
      // An end does not count as noted if the lease lapsed since.
      events.noted({
        ...row,
        executor: id,
        counts: row.leaseLapses === leaseLapses,
      });
    }
    finished = finished.filter(({ n }) => n > lastSeen);
  }

  async function hold(
    { last_seen: lastSeen, deadline_ms, wait_ms: waitMs = 0 },
  ) {
    acknowledge(lastSeen ?? 0);
    extendLease(deadline_ms);
    if (finished.length === 0 && waitMs > 0) await nextEnd(waitMs);
    return {
      status: 200,
      running: [...running.values()].map((run) => [
        run.task,
        run.run,
        "",
        Math.min(99, Math.floor(100 * (clockMs() - run.startedAtMs) / run.ms)),
        cpu / 2,
      ]),
      finished: finished.slice(0, MAX_LISTED_ENDS).map((
        { n, task, run, how },
      ) => [n, task, run, how, ""]),
    };
  }

  function nextEnd(waitMs) {
    return new Promise((resolve) => {
      const done = () => {
        clearTimeout(timer);
        waiting.delete(done);
        resolve();
      };
      const timer = setTimeout(done, Math.min(MAX_WAIT_MS, waitMs));
      waiting.add(done);
    });
  }

  const handlers = {
    "/bronzemill/run-start": start,
    "/bronzemill/run-stop": stop,
    "/bronzemill/hold": hold,
  };

  async function handle(request, text) {
    const intended = request.headers["target-instance"];
    if (intended !== undefined && intended !== id) return { status: 421 };
    const handler = handlers[request.url];
    if (crashed) return null;
    if (request.method !== "POST" || handler === undefined) {
      return { status: request.url === "/healthz" ? 200 : 404 };
    }
    const body = JSON.parse(text);
    const fence = body.fence ?? 0;
    if (fence < highestFence) return { status: 409, reason: "fence" };
    if (fence > highestFence) {
      highestFence = fence;
      events.fenced({ executor: id, fence });
    }
    return await handler(body);
  }

  const server = createServer((request, response) => {
    let text = "";
    request.setEncoding("utf8");
    request.on("data", (chunk) => text += chunk);
    request.on("end", async () => {
      if (silent) {
        held.push(response);
        return;
      }
      if (Math.random() < lateShare) {
        const delayMs = 2_000 + Math.random() * 4_000;
        setTimeout(() => handle(request, text), delayMs);
        return;
      }
      const answer = await handle(request, text);
      if (answer === null || Math.random() < lostShare) {
        response.destroy();
        return;
      }
      const { status, ...content } = answer;
      response.writeHead(status, { "content-type": "application/json" });
      response.end(
        JSON.stringify({ clock_ms: clockMs(), born: bornMs, ...content }),
      );
    });
  });
  server.keepAliveTimeout = 60_000;

  function beat() {
    seq += 1;
    store.put("servers", id, {
      service,
      addr: `${host}:${port}`,
      zone,
      version: "v1",
      slots: 8,
      state,
      cold_left_ms: 0,
      capacity: { cpu, mem_mb: 131_072, gpu: 0 },
      labels: ["a", "r1-1"],
      clock_ms: clockMs(),
      born: bornMs,
      seq,
    });
  }

  let heartbeat = null;
  return {
    id,
    setLateShare: (share) => lateShare = share,
    setLostShare: (share) => lostShare = share,
    /** Cuts the executor off from the instances; what arrives is lost. */
    setSilent(isSilent) {
      silent = isSilent;
      for (const response of held.splice(0)) response.destroy();
    },
    /** Reports that the executor drains; it goes on serving. */
    drain() {
      state = "draining";
      beat();
    },
    /** Ends the executor without a word; everything that runs on it is gone. */
    crash() {
      crashed = true;
      clearInterval(heartbeat);
      clearTimeout(leaseTimer);
      for (const run of running.values()) {
        clearTimeout(run.timer);
        events.ended({ ...run, executor: id, how: "crashed", n: 0 });
      }
      server.close();
      server.closeAllConnections();
    },
    listen: () =>
      new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, () => {
          beat();
          heartbeat = setInterval(beat, HEARTBEAT_MS);
          resolve();
        });
      }),
    close() {
      clearInterval(heartbeat);
      clearTimeout(leaseTimer);
      for (const { timer } of running.values()) clearTimeout(timer);
      server.close();
      server.closeAllConnections();
    },
  };
}
