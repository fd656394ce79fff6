/**
 * A client that isn't controlled hands in one stored job of many tasks, within the
 * limits of the configuration. Ordinary stored jobs that were accepted have to go
 * on.
 */

import { fileURLToPath } from "node:url";
import {
  BOUNDS,
  call,
  newId,
  nowMs,
  runCase,
  sleep,
  submit,
} from "../lib-3/fleet.mjs";
import { readHistory } from "../lib-3/history.mjs";

const recordFile = fileURLToPath(new URL("record.txt", import.meta.url));
const QUIET_MS = 5_000;
const PLAY_MS = 40_000;
const INTERVAL_MS = 100;
const FINISH_MS = 1_000 * BOUNDS.finish_s;
const GAP_MS = 3_000;
const TASKS = 60_000;
const TASKS_EACH = 2;

await runCase(async ({ startFleet, hasTrouble }) => {
  const fleet = await startFleet({
    recordFile,
    routes: [{ name: "frete-ponteira", prefix: "/pule252/" }],
  });
  const { machines } = fleet;
  await sleep(QUIET_MS);
  const jobs = [];
  const endMs = nowMs() + PLAY_MS;
  const open = [];
  const ordinary = (async () => {
    for (let nth = 0; nowMs() < endMs; nth += 1) {
      const id = newId();
      open.push((async () => {
        const accepted = await submit(fleet, {
          path: `/pule252/${id}`,
          body: {
            spec: JSON.stringify({ ms: 200 }),
            steps: [{
              count: TASKS_EACH,
              cpu: 14_000,
              mem_mb: 64,
              est_ms: 200,
            }],
          },
          first: nth,
          forMs: 10_000,
        });
        jobs.push({ id, acceptedAtMs: accepted?.atMs ?? null });
      })());
      await sleep(INTERVAL_MS);
    }
  })();
  /** The longest time for which a machine didn't answer the readiness probe. */
  let silentMs = 0;
  const probes = machines.map(async ({ ready }) => {
    while (nowMs() < endMs) {
      const sentAtMs = nowMs();
      await call(ready, "GET", "/bronzemill/readyz", { timeoutMs: 20_000 });
      silentMs = Math.max(silentMs, nowMs() - sentAtMs);
      await sleep(1_000);
    }
  });
  const uncontrolled = (async () => {
    if (!hasTrouble) return;
    await sleep(2_000);
    await submit(fleet, {
      path: `/pule252/${newId()}`,
      body: { spec: "{}", steps: [{ count: TASKS }] },
    });
  })();
  await Promise.all([ordinary, uncontrolled, ...probes]);
  await Promise.all(open);
  await sleep(FINISH_MS);
  const askedAtMs = nowMs();
  const history = readHistory(fleet.events);
  const broken = [];
  let unaccepted = 0;
  let unfinished = 0;
  for (const { id, acceptedAtMs } of jobs) {
    if (acceptedAtMs === null) {
      unaccepted += 1;
      continue;
    }
    const running = new Set();
    const done = new Set();
    let idleSinceMs = acceptedAtMs;
    for (const { what, how, atMs, task } of history) {
      if (!task.startsWith(id)) continue;
      if (what === "start") running.add(task);
      if (what !== "end") continue;
      running.delete(task);
      idleSinceMs = atMs;
      if (how === "done") done.add(task);
    }
    if (done.size === TASKS_EACH) continue;
    unfinished += 1;
    const idleMs = Math.round(askedAtMs - idleSinceMs);
    if (running.size === 0 && idleMs > GAP_MS) {
      broken.push(`job ${id} has nothing running for ${idleMs} ms`);
    }
  }
  console.log(`ordinary jobs: ${jobs.length}, never accepted: ${unaccepted}`);
  console.log(`accepted, not run to the end: ${unfinished}`);
  console.log(`longest wait for a readiness probe: ${Math.round(silentMs)} ms`);
  for (const { name, ends } of machines) {
    if (ends > 0) console.log(`${name} ended by itself ${ends} times`);
  }
  // Fault: on a tenth of the machines in use (two at least), three times.
  const often = machines.filter(({ ends }) => ends >= 3);
  if (often.length >= Math.max(2, machines.length / 10)) {
    broken.push(
      `on ${often.length} machines processes ended by themselves three times`,
    );
  }
  return broken;
});
