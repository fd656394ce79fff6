/**
 * Executors are added to a fleet, while stored jobs come. Jobs whose tasks
 * require a label that executors of one zone have are accepted.
 */

import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { runCase, send, sleep } from "../lib-2/fleet.mjs";
import { HOST, newJobId, SERVICE, startSul } from "../lib-2/sul.mjs";

const ZONES = ["poa", "caxias", "pelotas"];
const WORKERS_PER_ZONE = 28;
/** A quarter of the executors, as the site file's `scale_out` adds. */
const ADDED_PER_ZONE = 7;
const RUN_MS = 200;
/** `finish_s`, after which the jobs are asked for. */
const FINISH_MS = 14_000;
/** Time for which a job that has nothing running may go without a start. */
const IDLE_MS = 3_000;

await runCase(dirname(fileURLToPath(import.meta.url)), async (context) => {
  const { record, trouble } = context;
  const behave = () => ({ ms: RUN_MS, how: "done" });
  const fleet = await startSul(context, {
    behave,
    workersPerZone: WORKERS_PER_ZONE,
  });
  await sleep(4_000);
  if (trouble) {
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
  }
  await sleep(6_000);
  const jobs = [];
  for (const [index, zone] of [...ZONES, ...ZONES].entries()) {
    const instance = fleet.instances[index];
    const path = `/cotacao/${newJobId()}`;
    let answer;
    // A client sends a job again until it is answered.
    for (let attempt = 0; attempt < 5 && answer?.status !== 200; attempt += 1) {
      if (attempt > 0) await sleep(500);
      answer = await send(instance, {
        method: "POST",
        path,
        host: HOST,
        body: {
          spec: "a rib",
          steps: [{
            count: 4,
            cpu: 14_000,
            mem_mb: 64,
            est_ms: RUN_MS,
            requires: `r-${zone}-1`,
          }],
        },
      });
      record.add("POST", { instance: instance.name, path, zone, ...answer });
    }
    if (answer.status === 200) jobs.push({ path, zone });
  }
  if (jobs.length === 0) throw new Error("no job was accepted");
  await sleep(FINISH_MS);
  const checkedFromMs = performance.now();
  const eventCount = record.events.length;
  await sleep(IDLE_MS + 500);
  const waitedMs = Math.round(performance.now() - checkedFromMs);
  const broken = [];
  for (const { path, zone } of jobs) {
    const { status, body } = await send(fleet.instances[0], {
      method: "GET",
      path,
      host: HOST,
    });
    record.add("GET", { path, zone, status, body });
    const id = path.split("/").at(-1);
    const hasStarted = record.events.slice(eventCount)
      .some(({ kind, task }) => kind === "start" && task.startsWith(id));
    if (body?.state === "done" || hasStarted) continue;
    const free = fleet.workers.filter(({ labels, runs }) =>
      labels.includes(`r-${zone}-1`) && runs().length === 0
    );
    broken.push(
      `LOST: ${path} was accepted; ${FINISH_MS} ms later it is ${
        JSON.stringify(body?.state ?? status)
      } and has nothing running for ${waitedMs} ms, while ${free.length} executors with its label run nothing`,
    );
  }
  return broken;
});
