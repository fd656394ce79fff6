/**
 * The leader is killed while stored jobs wait. Clients ask the other instances
 * how many jobs of the queue are pending.
 */

import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { runCase, send, sleep } from "../lib-2/fleet.mjs";
import { HOST, newJobId, SERVICE, startSul } from "../lib-2/sul.mjs";

const RUN_MS = 2_000;
const JOBS = 60;
/** `visible_ms` and 2 s. */
const VISIBLE_MS = 3_000 + 2_000;
const ASK_INTERVAL_MS = 50;
const ASK_FOR_MS = 4_000;

/** A queue whose jobs may take their time. */
const routes = [{
  name: "estoque-varetas",
  host: HOST,
  prefix: "/estoque/",
  service: SERVICE,
  timeout_ms: 5_000,
  slo_ms: 20_000,
  priority: 2,
  attempts: 4,
  stretch: 1.6,
}];

await runCase(dirname(fileURLToPath(import.meta.url)), async (context) => {
  const { record, trouble } = context;
  const behave = () => ({ ms: RUN_MS, how: "done" });
  const fleet = await startSul(context, {
    behave,
    workersPerZone: 1,
    fleetRoutes: routes,
  });
  await sleep(4_000);
  const [leader] = await fleet.leaders();
  if (leader === undefined) throw new Error("there is no leader");
  const others = fleet.instances.filter((instance) => instance !== leader);
  const accepted = [];
  await Promise.all(Array.from({ length: JOBS }, async (_, index) => {
    const instance = others[index % others.length];
    const jobId = newJobId();
    const answer = await send(instance, {
      method: "POST",
      path: `/estoque/${jobId}`,
      host: HOST,
      body: {
        spec: "a rib",
        steps: [{ count: 1, cpu: 14_000, mem_mb: 64, est_ms: RUN_MS }],
      },
    });
    const { atMs } = record.add("POST", {
      instance: instance.name,
      jobId,
      ...answer,
    });
    if (answer.status === 200) accepted.push({ jobId, atMs });
  }));
  if (accepted.length < JOBS) throw new Error("not all jobs were accepted");
  await sleep(VISIBLE_MS + 500);

  /** The jobs accepted so long ago that have not begun by now. */
  function countPending(atMs) {
    const begun = new Set(
      record.events.filter(({ kind }) => kind === "start")
        .map(({ task }) => task.split(".")[0]),
    );
    return accepted.filter((job) =>
      atMs - job.atMs > VISIBLE_MS && !begun.has(job.jobId)
    ).length;
  }

  const broken = [];
  const endMs = performance.now() + ASK_FOR_MS;
  if (trouble) fleet.signal(leader, "SIGKILL");
  for (let turn = 0; performance.now() < endMs; turn += 1) {
    const instance = others[turn % others.length];
    const { status, body, error } = await send(instance, {
      method: "GET",
      path: "/estoque/",
      host: HOST,
      timeoutMs: 3_000,
    });
    const { atMs } = record.add("GET pending", {
      instance: instance.name,
      status,
      body,
      error,
    });
    const pending = countPending(atMs);
    if (status === 200 && body.pending < pending / 2) {
      broken.push(
        `MIXED: ${instance.name} gives ${body.pending} as pending at ${
          atMs.toFixed(0)
        } ms, of ${pending} jobs`,
      );
    }
    await sleep(ASK_INTERVAL_MS);
  }
  return broken;
});
