/**
 * The process that owns the records is killed right after the first stored job of
 * the deployment was accepted. No task of the job may start again once it is done.
 */

import { fileURLToPath } from "node:url";
import { awaitEnd, newId, runCase, sleep, submit } from "../lib-3/fleet.mjs";
import { startsAfterDone } from "../lib-3/history.mjs";

const recordFile = fileURLToPath(new URL("record.txt", import.meta.url));
/** `cotacao` of the site, as a job that is to be kept. */
const QUOTE = {
  spec: JSON.stringify({ ms: 60 }),
  steps: [{ count: 8, cpu: 14_000, mem_mb: 64, est_ms: 60 }],
};
const QUIET_MS = 6_000;

await runCase(async ({ startFleet, hasTrouble }) => {
  const fleet = await startFleet({
    recordFile,
    routes: [{ name: "cotacao", prefix: "/lohu930/" }],
  });
  await sleep(QUIET_MS);
  const owner = await fleet.lastWriter();
  if (owner === undefined) throw new Error("nobody has written to the store");
  const entry = fleet.machines.findIndex((machine) => machine !== owner);
  const path = `/lohu930/${newId()}`;
  const accepted = await submit(fleet, { path, body: QUOTE, first: entry });
  if (accepted === null) throw new Error("the job was not accepted");
  if (hasTrouble) fleet.kill(owner);
  const end = await awaitEnd(fleet, path, { forMs: 20_000 });
  if (end?.content?.state !== "done") throw new Error("the job is not done");
  await sleep(500);
  return startsAfterDone(fleet.events);
});
