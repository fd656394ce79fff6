/**
 * All machines of one zone are lost for good, in a fleet of more than 100
 * executors. The executors of the zone and the other zones go on.
 */

import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { runCase, send, sleep } from "../lib-2/fleet.mjs";
import { HOST, newJobId, startSul } from "../lib-2/sul.mjs";

const WORKERS_PER_ZONE = 36;
const RUN_MS = 3_000;
/** Time after the loss, in which the others may notice it. */
const SETTLE_MS = 15_000;
/** `finish_s`, after which the jobs are asked for. */
const FINISH_MS = 14_000;
/** Time for which a job that has nothing running may go without a start. */
const IDLE_MS = 3_000;
const JOBS = 8;

/** Whether a run of the only task of a job is at work or was done. */
function isDoneOrRunning(events, jobId) {
  const own = events.filter(({ task }) => task?.startsWith(jobId));
  if (own.some(({ kind, how }) => kind === "end" && how === "done")) {
    return true;
  }
  return own.filter(({ kind }) => kind === "start").length >
    own.filter(({ kind }) => kind === "end").length;
}

await runCase(dirname(fileURLToPath(import.meta.url)), async (context) => {
  const { record, trouble } = context;
  const behave = () => ({ ms: RUN_MS, how: "done" });
  const fleet = await startSul(context, {
    behave,
    workersPerZone: WORKERS_PER_ZONE,
  });
  await sleep(4_000);

  /** A client sends a job again, at any node, until it is answered. */
  async function submit(instances) {
    const path = `/cotacao/${newJobId()}`;
    for (let attempt = 0; attempt < 8; attempt += 1) {
      const instance = instances[attempt % instances.length];
      const answer = await send(instance, {
        method: "POST",
        path,
        host: HOST,
        body: {
          spec: "a rib",
          steps: [{ count: 1, cpu: 14_000, mem_mb: 64, est_ms: RUN_MS }],
        },
      });
      record.add("POST", { instance: instance.name, path, ...answer });
      if (answer.status === 200) return path;
      await sleep(400);
    }
    return null;
  }

  const paths = [];
  for (let index = 0; index < JOBS; index += 1) {
    const path = await submit([fleet.instances[index % 7]]);
    if (path !== null) paths.push(path);
  }
  const start = record.events.find(({ kind }) => kind === "start");
  if (paths.length === 0 || start === undefined) {
    throw new Error("no job was accepted and started");
  }
  // The zone that the tasks of stored jobs run in.
  const { zone } = fleet.workers.find(({ id }) => id === start.worker);
  const others = fleet.instances.filter((instance) => instance.zone !== zone);
  if (trouble) {
    for (const instance of fleet.instances) {
      if (instance.zone === zone) fleet.signal(instance, "SIGKILL");
    }
  }
  await sleep(SETTLE_MS);
  const later = await submit(others);
  record.add("submitted after the loss", { path: later });
  await sleep(FINISH_MS);
  const eventCount = record.events.length;
  await sleep(IDLE_MS + 500);
  const broken = [];
  for (const [index, path] of paths.entries()) {
    const instance = others[index % others.length];
    const { status, body, error } = await send(instance, {
      method: "GET",
      path,
      host: HOST,
      timeoutMs: 3_000,
    });
    record.add("GET", { instance: instance.name, path, status, body, error });
    const jobId = path.split("/").at(-1);
    const hasStarted = record.events.slice(eventCount)
      .some(({ kind, task }) => kind === "start" && task.startsWith(jobId));
    const free = fleet.workers.filter(({ runs }) => runs().length === 0).length;
    if (hasStarted || isDoneOrRunning(record.events, jobId)) continue;
    if (free <= fleet.workers.length / 2) continue;
    broken.push(
      `LOST: ${path} was accepted; ${
        (SETTLE_MS + FINISH_MS) / 1_000
      } s after the loss of the machines of ${zone} it isn't done and has had nothing running for 3 s, while ${free} of ${fleet.workers.length} executors run nothing; ${instance.name} answers ${
        body?.state ?? status ?? error
      }`,
    );
  }
  return broken;
});
