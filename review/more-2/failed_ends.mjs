/**
 * The leader's machine loses power while stored jobs run, some of which can never
 * be done. A run that fails before the next leader is there is taken note of and
 * not counted.
 */

import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { runCase, send, sleep, waitFor } from "../lib-2/fleet.mjs";
import { HOST, newJobId, startSul } from "../lib-2/sul.mjs";

/** `attempts` of the route `frete-ponteira`, and its jobs a second. */
const ATTEMPTS = 2;
const JOBS_PER_S = 70;
const TRAFFIC_MS = 3_000;
/** Every twentieth job can't be done: a share of 0.05. */
const POISON_INTERVAL = 20;
/** The power goes after this many of them were accepted and have started. */
const POISON_BEFORE = 5;
const STARTS_MS = 40;

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
  const behave = ({ spec }) => ({
    ms: 100 + Math.random() * 200,
    how: spec === "poison" ? "failed" : "done",
  });
  const fleet = await startSul(context, { behave, workersPerZone: 5 });
  await sleep(4_000);
  const [leader] = await fleet.leaders();
  if (leader === undefined) throw new Error("there is no leader");
  const others = fleet.instances.filter((instance) => instance !== leader);
  const poisonPaths = [];

  async function submit(index) {
    const isPoison = index % POISON_INTERVAL === POISON_INTERVAL - 1;
    const instance = others[index % others.length];
    const path = `/frete/${newJobId()}`;
    const answer = await send(instance, {
      method: "POST",
      path,
      host: HOST,
      body: {
        spec: isPoison ? "poison" : "a courier",
        steps: [{ count: 2, cpu: 14_000, mem_mb: 64, est_ms: 200 }],
      },
    });
    record.add("POST", { instance: instance.name, path, isPoison, ...answer });
    if (!isPoison || answer.status !== 200) return;
    poisonPaths.push(path);
    if (!trouble || poisonPaths.length !== POISON_BEFORE) return;
    setTimeout(() => fleet.powerOff(leader, 3_000), STARTS_MS);
  }

  const submissions = [];
  const startMs = performance.now();
  for (let at = 0; at < TRAFFIC_MS; at = performance.now() - startMs) {
    const due = Math.floor(at * JOBS_PER_S / 1_000);
    while (submissions.length < due) {
      submissions.push(submit(submissions.length));
    }
    await sleep(5);
  }
  await Promise.all(submissions);
  if (poisonPaths.length === 0) throw new Error("no such job was accepted");
  await waitFor(async () => {
    const states = await Promise.all(
      poisonPaths.map((path) =>
        send(others[0], { method: "GET", path, host: HOST })
      ),
    );
    const ended = states.filter(({ body }) => body?.state === "failed").length;
    record.add("GET", { instance: others[0].name, ended });
    await sleep(500);
    return ended === poisonPaths.length;
  }, 20_000);
  await sleep(1_000);
  return findStartsBeyondBudget(record.events);
});
