/**
 * Executors are added to a fleet until each zone has a leader of its own; then
 * all processes of the zone that has the stored jobs are killed, and are back 1 s
 * later.
 */

import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { runCase, send, sleep, waitFor } from "../lib-2/fleet.mjs";
import { HOST, newJobId, SERVICE, startSul } from "../lib-2/sul.mjs";

const ZONES = ["poa", "caxias", "pelotas"];
const WORKERS_PER_ZONE = 28;
/** A quarter of the executors, as the site file's `scale_out` adds. */
const ADDED_PER_ZONE = 7;
const RUN_MS = 3_000;
const RESTART_MS = 1_000;
/** `recovery_s`, and then `finish_s`, after which the jobs are asked for. */
const RECOVERY_MS = 12_000;
const FINISH_MS = 14_000;
/** Time for which a job that has nothing running may go without a start. */
const IDLE_MS = 3_000;
const JOBS = 8;
const MAX_FLEETS = 5;

/** Whether a run of the only task of a job is at work or was done. */
function isDoneOrRunning(events, jobId) {
  const own = events.filter(({ task }) => task?.startsWith(jobId));
  if (own.some(({ kind, how }) => kind === "end" && how === "done")) {
    return true;
  }
  return own.filter(({ kind }) => kind === "start").length >
    own.filter(({ kind }) => kind === "end").length;
}

/**
 * Starts fleets until one has a leader in another zone than the first by name,
 * which a process that knows no better takes for the one with the records.
 */
async function startWithLeaderOf(context, behave) {
  for (let attempt = 0; attempt < MAX_FLEETS; attempt += 1) {
    const fleet = await startSul(context, {
      behave,
      workersPerZone: WORKERS_PER_ZONE,
    });
    await sleep(4_000);
    const [leader] = await fleet.leaders();
    context.record.add("leader", { instance: leader?.name });
    if (leader !== undefined && leader.zone !== [...ZONES].sort()[0]) {
      return fleet;
    }
    await fleet.stop();
  }
  throw new Error("the leader is in the same zone each time");
}

await runCase(dirname(fileURLToPath(import.meta.url)), async (context) => {
  const { record, trouble } = context;
  const behave = () => ({ ms: RUN_MS, how: "done" });
  const fleet = await startWithLeaderOf(context, behave);
  for (let index = 0; index < ADDED_PER_ZONE; index += 1) {
    for (const zone of ZONES) {
      await fleet.addWorker({
        id: `x-${zone}-${WORKERS_PER_ZONE + index}`,
        zone,
        service: SERVICE,
        behave,
        labels: ["a", `r-${zone}-1`],
      });
    }
    await sleep(300);
  }
  record.add("executors added", { count: ADDED_PER_ZONE * ZONES.length });
  await sleep(6_000);

  async function submit(instance) {
    const path = `/cotacao/${newJobId()}`;
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
    return answer.status === 200 ? path : null;
  }

  const paths = [];
  for (let index = 0; index < JOBS; index += 1) {
    const path = await submit(fleet.instances[index % 7]);
    if (path !== null) paths.push(path);
  }
  const start = record.events.find(({ kind }) => kind === "start");
  if (paths.length === 0 || start === undefined) {
    throw new Error("no job was accepted and started");
  }
  const { zone } = fleet.workers.find(({ id }) => id === start.worker);
  record.add("zone of the stored jobs", { zone });
  const own = fleet.instances.filter((instance) => instance.zone === zone);
  if (trouble) {
    for (const instance of own) fleet.signal(instance, "SIGKILL");
    await sleep(RESTART_MS);
    for (const instance of own) fleet.start(instance);
  }
  const isBack = await waitFor(async () => {
    const ready = await Promise.all(own.map(fleet.isReady));
    return ready.every((answer) => answer);
  }, 10_000);
  record.add("machines are back", { isBack });
  await sleep(RECOVERY_MS + FINISH_MS);
  const eventCount = record.events.length;
  await sleep(IDLE_MS + 500);
  const broken = [];
  for (const [index, path] of paths.entries()) {
    const instance = fleet.instances[index % fleet.instances.length];
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
        (RECOVERY_MS + FINISH_MS) / 1_000
      } s after the machines of ${zone} are back it isn't done and has had nothing running for 3 s, while ${free} of ${fleet.workers.length} executors run nothing; ${instance.name} answers ${
        body?.state ?? status ?? error
      }`,
    );
  }
  return broken;
});
