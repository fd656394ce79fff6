/**
 * A machine loses power right after it has accepted the first job that is to be
 * stored. The task ends as done before the next leader is there.
 */

import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { runCase, send, sleep, waitFor } from "../lib-2/fleet.mjs";
import { HOST, newJobId, startSul } from "../lib-2/sul.mjs";

/** Run time of a task of `cotacao`. */
const RUN_MS = 60;
/** Time after the answer at which the starts of the tasks have been sent. */
const STARTS_MS = 3;
/** Fleets to play it with: the leader's heartbeat may come just before. */
const ROUNDS = 6;

/**
 * TWICE: a start after a run of the task has ended `done`, if that end is taken
 * note of then or later, unless the executor's lease lapsed between the two.
 */
function findStartsAfterDone(events) {
  const broken = [];
  for (const done of events) {
    if (done.kind !== "end" || done.how !== "done") continue;
    const isSame = ({ worker, n }) => worker === done.worker && n === done.n;
    const noted = events.find((event) =>
      event.kind === "noted" && isSame(event)
    );
    if (noted === undefined) continue;
    const hasLapsed = events.some((event) =>
      event.kind === "lease lapsed" && event.worker === done.worker &&
      event.atMs > done.atMs && event.atMs < noted.atMs
    );
    if (hasLapsed) continue;
    for (const start of events) {
      if (start.kind !== "start" || start.task !== done.task) continue;
      if (start.atMs <= done.atMs) continue;
      broken.push(
        `TWICE: ${done.task} ended done on ${done.worker} at ${
          done.atMs.toFixed(0)
        } ms (noted at ${
          noted.atMs.toFixed(0)
        } ms), and was started again on ${start.worker} at ${
          start.atMs.toFixed(0)
        } ms`,
      );
    }
  }
  return broken;
}

/** Plays the case once, with a fleet of its own. */
async function play(context) {
  const { record, trouble } = context;
  const behave = () => ({ ms: RUN_MS, how: "done" });
  const fleet = await startSul(context, { behave });
  await sleep(4_000);
  const [leader] = await fleet.leaders();
  if (leader === undefined) throw new Error("there is no leader");
  const path = `/cotacao/${newJobId()}`;
  record.add("POST", { instance: leader.name, path });
  const answer = await send(leader, {
    method: "POST",
    path,
    host: HOST,
    body: {
      spec: "a rib",
      steps: [{ count: 8, cpu: 14_000, mem_mb: 64, est_ms: RUN_MS }],
    },
  });
  await sleep(STARTS_MS);
  if (trouble) fleet.powerOff(leader, 3_000);
  record.add("answered", { path, ...answer });
  if (answer.status !== 200) throw new Error("the job was not accepted");
  const other = fleet.instances.find((instance) => instance !== leader);
  await waitFor(async () => {
    const state = await send(other, { method: "GET", path, host: HOST });
    record.add("GET", { instance: other.name, path, ...state });
    await sleep(300);
    return state.body?.state === "done";
  }, 10_000);
  await sleep(1_000);
  await fleet.stop();
}

await runCase(dirname(fileURLToPath(import.meta.url)), async (context) => {
  const { record } = context;
  for (let round = 1; round <= ROUNDS; round += 1) {
    record.add("round", { round });
    const first = record.events.length;
    await play(context);
    const broken = findStartsAfterDone(record.events.slice(first));
    if (broken.length > 0) return broken;
  }
  return [];
});
