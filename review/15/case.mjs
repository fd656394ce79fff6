/**
 * A client that isn't controlled hands in one stored job with a number that JSON
 * allows. The cancels of ordinary jobs have to be acknowledged all the same.
 */

import { fileURLToPath } from "node:url";
import {
  ask,
  BOUNDS,
  newId,
  nowMs,
  runCase,
  sleep,
  submit,
} from "../lib-3/fleet.mjs";

const recordFile = fileURLToPath(new URL("record.txt", import.meta.url));
const QUIET_MS = 5_000;
const JOBS = 30;

/** A job that is at work for longer than the case takes. */
const LONG_JOB = {
  spec: JSON.stringify({ ms: 30_000 }),
  steps: [{ count: 2, cpu: 4_000, mem_mb: 64, est_ms: 30_000 }],
};

/**
 * Cancels a job as a client does, again at another machine after an answer that is
 * none. Returns the time until a 2xx or 410; null if there is none in `ack_ms`.
 */
async function cancel(fleet, path, nth) {
  const sentAtMs = nowMs();
  const endMs = sentAtMs + BOUNDS.ack_ms;
  for (let turn = nth; nowMs() < endMs; turn += 1) {
    const { status } = await ask(fleet, fleet.machines[turn % 7], {
      method: "DELETE",
      path,
      timeoutMs: Math.max(1, endMs - nowMs()),
    });
    if (status === 410 || (status >= 200 && status < 300)) {
      return Math.round(nowMs() - sentAtMs);
    }
    await sleep(200);
  }
  return null;
}

await runCase(async ({ startFleet, hasTrouble }) => {
  const fleet = await startFleet({
    recordFile,
    routes: [{ name: "frete-ponteira", prefix: "/pule252/" }],
  });
  await sleep(QUIET_MS);
  const paths = await Promise.all(
    Array.from({ length: JOBS }, async (_, nth) => {
      const path = `/pule252/${newId()}`;
      const body = LONG_JOB;
      const accepted = await submit(fleet, { path, body, first: nth });
      if (accepted === null) throw new Error("a job was not accepted");
      return path;
    }),
  );
  if (hasTrouble) {
    const { status } = await ask(fleet, fleet.machines[0], {
      method: "POST",
      path: `/pule252/${newId()}`,
      text: '{"spec":"{}","steps":[{"count":2,"cpu":1e308}]}',
      timeoutMs: 1_500,
      label: "uncontrolled",
    });
    console.log(`the job of the client was answered with ${status}`);
  }
  await sleep(BOUNDS.stable_ms);
  const answers = await Promise.all(
    paths.map((path, nth) => cancel(fleet, path, nth)),
  );
  const unanswered = answers.filter((tookMs) => tookMs === null);
  const took = answers.filter((tookMs) => tookMs !== null).sort((a, b) =>
    a - b
  );
  console.log(`cancels of accepted jobs: ${answers.length}`);
  console.log(`without a 2xx or 410 in ack_ms: ${unanswered.length}`);
  if (took.length > 0) {
    console.log(`the others took ${took[0]} to ${took.at(-1)} ms`);
  }
  const isBroken = unanswered.length >= 3 &&
    unanswered.length > answers.length / 10;
  return isBroken
    ? ["more than a tenth of the cancels have no answer after ack_ms"]
    : [];
});
