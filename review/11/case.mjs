/**
 * An executor that has had nothing to do for a minute, and whose clock is slow as
 * far as the pages allow, is cut off for less than two seconds as it gets orders.
 * No task may run on two executors at the same time.
 */

import { fileURLToPath } from "node:url";
import { awaitEnd, newId, runCase, sleep, submit } from "../lib-3/fleet.mjs";
import { startsAfterDone } from "../lib-3/history.mjs";

const recordFile = fileURLToPath(new URL("record.txt", import.meta.url));
/** An executor's own steady clock "may be 2% slow" (PROTOCOL.md). */
const CLOCK_RATE = 0.98;
/** The executor that gets the tasks of a job while all have nothing to do. */
const EXECUTOR = "caxias-x0";
const IDLE_MS = 60_000;
const CUT_BEFORE_MS = 200;
const CUT_AFTER_MS = 1_500;
/** `estoque-varetas` of the site, as a job that is to be kept. */
const CHECK = {
  spec: JSON.stringify({ ms: 900 }),
  steps: [{ count: 2, cpu: 14_000, mem_mb: 64, est_ms: 900 }],
};

await runCase(async ({ startFleet, hasTrouble }) => {
  const fleet = await startFleet({
    recordFile,
    clockRate: CLOCK_RATE,
    linkedExecutors: [EXECUTOR],
    routes: [{ name: "estoque-varetas", prefix: "/pufi791/", priority: 2 }],
  });
  const path = () => `/pufi791/${newId()}`;
  const first = path();
  await sleep(2_000);
  await submit(fleet, { path: first, body: CHECK });
  await awaitEnd(fleet, first, { forMs: 5_000 });
  await sleep(IDLE_MS);

  const link = fleet.links.get(EXECUTOR);
  if (hasTrouble) {
    link.cut();
    fleet.record({ by: "test", what: "cut off", executor: EXECUTOR });
  }
  await sleep(CUT_BEFORE_MS);
  const second = path();
  if ((await submit(fleet, { path: second, body: CHECK })) === null) {
    throw new Error("the job was not accepted");
  }
  await sleep(CUT_AFTER_MS);
  if (hasTrouble) {
    link.heal();
    fleet.record({ by: "test", what: "reached again", executor: EXECUTOR });
  }
  await awaitEnd(fleet, second, { forMs: 10_000 });
  await sleep(2_000);
  return startsAfterDone(fleet.events);
});
