/**
 * The leader's machine loses power while stored jobs run. A run that fails before
 * the next leader is there is taken note of and not counted.
 */

import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { runCase, send, sleep, waitFor } from "../lib-2/fleet.mjs";
import { HOST, newJobId, startSul } from "../lib-2/sul.mjs";

/** `attempts` of the route `frete-ponteira`. */
const ATTEMPTS = 2;
const JOBS = 12;

/**
 * BUDGET: a start after `attempts` runs of the task have ended `failed`, if these
 * ends are taken note of then or later.
 */
function findStartsBeyondBudget(events) {
  const broken = [];
  const isNoted = (end) =>
    events.some(({ kind, worker, n }) =>
      kind === "noted" && worker === end.worker && n === end.n
    );
  const failures = events.filter((event) =>
    event.kind === "end" && event.how === "failed" && isNoted(event)
  );
  for (const start of events) {
    if (start.kind !== "start") continue;
    const before = failures.filter(({ task, atMs }) =>
      task === start.task && atMs < start.atMs
    );
    if (before.length < ATTEMPTS) continue;
    const times = before.map(({ atMs }) => `${atMs.toFixed(0)} ms`).join(", ");
    broken.push(
      `BUDGET: ${start.task} was started at ${
        start.atMs.toFixed(0)
      } ms, after its runs had failed at ${times}`,
    );
  }
  return broken;
}

await runCase(dirname(fileURLToPath(import.meta.url)), async (context) => {
  const { record, trouble } = context;
  const behave = () => ({ ms: 200 + Math.random() * 400, how: "failed" });
  const fleet = await startSul(context, { behave });
  await sleep(4_000);
  const [leader] = await fleet.leaders();
  if (leader === undefined) throw new Error("there is no leader");
  const others = fleet.instances.filter((instance) => instance !== leader);
  const jobIds = Array.from({ length: JOBS }, newJobId);
  const answers = await Promise.all(jobIds.map(async (jobId, index) => {
    const instance = others[index % others.length];
    const answer = await send(instance, {
      method: "POST",
      path: `/frete/${jobId}`,
      host: HOST,
      body: {
        spec: "a courier",
        steps: [{ count: 1, cpu: 14_000, mem_mb: 64, est_ms: 400 }],
      },
    });
    record.add("POST", { instance: instance.name, jobId, ...answer });
    return answer;
  }));
  if (answers.some(({ status }) => status !== 200)) {
    throw new Error("not all jobs were accepted");
  }
  // Some of the first runs have failed by now, and others are at work.
  await sleep(250);
  if (trouble) fleet.powerOff(leader, 3_000);
  await waitFor(async () => {
    const states = await Promise.all(jobIds.map((jobId) =>
      send(others[0], { method: "GET", path: `/frete/${jobId}`, host: HOST })
    ));
    const ended = states.filter(({ body }) => body?.state === "failed").length;
    record.add("GET", { instance: others[0].name, ended });
    await sleep(500);
    return ended === JOBS;
  }, 20_000);
  await sleep(1_000);
  return findStartsBeyondBudget(record.events);
});
