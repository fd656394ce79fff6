/**
 * Some of the stored jobs that come can never be done, and the machine that owns
 * the records freezes for four seconds. No task may start after `attempts` failed
 * runs.
 */

import { fileURLToPath } from "node:url";
import { awaitEnd, newId, runCase, sleep, submit } from "../lib-3/fleet.mjs";
import { startsBeyond } from "../lib-3/history.mjs";

const recordFile = fileURLToPath(new URL("record.txt", import.meta.url));
/** As `frete-ponteira` of the site. */
const ATTEMPTS = 2;
const QUIET_MS = 5_000;
/** 70 a second for three seconds; one of twenty can never be done. */
const JOBS = 210;
const INTERVAL_MS = 14;
const HOPELESS_EVERY = 20;
const FREEZE_MS = 4_000;

function job(nth, how) {
  const ms = 120 + 20 * (nth % 9);
  return {
    spec: JSON.stringify({ ms, how }),
    steps: [{ count: 4, cpu: 4_000, mem_mb: 64, est_ms: 200 }],
  };
}

await runCase(async ({ startFleet, hasTrouble }) => {
  const fleet = await startFleet({
    recordFile,
    routes: [{
      name: "frete-ponteira",
      prefix: "/pule252/",
      attempts: ATTEMPTS,
    }],
  });
  const play = async (nth, how) => {
    const path = `/pule252/${newId()}`;
    const body = job(nth, how);
    const first = nth % fleet.machines.length;
    const accepted = await submit(fleet, { path, body, first });
    if (accepted !== null) await awaitEnd(fleet, path, { forMs: 20_000 });
  };
  await sleep(QUIET_MS);
  // The deployment has kept jobs before.
  await play(0, "done");
  await sleep(1_000);
  const owner = await fleet.lastWriter();
  if (owner === undefined) throw new Error("nobody has written to the store");
  const open = [];
  for (let nth = 0; nth < JOBS; nth += 1) {
    const isHopeless = nth % HOPELESS_EVERY === 0;
    open.push(play(nth, isHopeless ? "failed" : "done"));
    await sleep(INTERVAL_MS);
    if (nth === JOBS / 2 && hasTrouble) {
      fleet.kill(owner, "SIGSTOP");
      setTimeout(() => fleet.kill(owner, "SIGCONT"), FREEZE_MS);
    }
  }
  await Promise.all(open);
  await sleep(500);
  return startsBeyond(fleet.events, ATTEMPTS);
});
