/**
 * An executor crashes and starts again under its ID as one of another kind, while
 * jobs come that require the kind that it had.
 */

import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { runCase, send, sleep } from "../lib-2/fleet.mjs";
import { HOST, newJobId, startSul } from "../lib-2/sul.mjs";

const RUN_MS = 60;
const JOB_INTERVAL_MS = 15;
const TRAFFIC_MS = 5_000;
const CRASH_AFTER_MS = 1_000;
const DOWN_MS = 300;

await runCase(dirname(fileURLToPath(import.meta.url)), async (context) => {
  const { record, trouble } = context;
  const behave = () => ({ ms: RUN_MS, how: "done" });
  const fleet = await startSul(context, { behave });
  await sleep(4_000);
  const crashing = fleet.workers.find(({ labels }) => labels.includes("b"));
  if (trouble) {
    setTimeout(() => crashing.crash(DOWN_MS, ["a"]), CRASH_AFTER_MS);
  }
  const endMs = performance.now() + TRAFFIC_MS;
  for (let count = 0; performance.now() < endMs; count += 1) {
    const instance = fleet.instances[count % fleet.instances.length];
    const path = `/cotacao/${newJobId()}`;
    const body = {
      spec: "a rib",
      best_effort: true,
      steps: [{
        count: 2,
        cpu: 14_000,
        mem_mb: 64,
        est_ms: RUN_MS,
        requires: "b",
      }],
    };
    send(instance, { method: "POST", path, host: HOST, body })
      .then((answer) => record.add("POST", { path, ...answer }));
    await sleep(JOB_INTERVAL_MS);
  }
  await sleep(2_000);
  return record.events
    .filter(({ kind, labels }) => kind === "start" && !labels.includes("b"))
    .map(({ task, worker, atMs }) =>
      `ROUTE: ${task} was started on ${worker} at ${
        atMs.toFixed(0)
      } ms, which hasn't the label`
    );
});
