/**
 * Machines are stopped and started in turn, the leader second. A client cancels
 * a stored job on a connection to the first one that it had open before.
 */

import { Agent } from "node:http";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { runCase, send, sleep, waitFor } from "../lib-2/fleet.mjs";
import { HOST, newJobId, startSul } from "../lib-2/sul.mjs";

/** Pause between two stops, as `roll_term` of the site file has it. */
const GAP_MS = 1_300;
const GRACE_MS = 6_000;
const LOST_SLACK_MS = 200;
const TIMEOUT_MS = 1_500;
const CLIENTS = 6;
/** Time of the first cancellation after the stop of the leader. */
const CANCEL_AFTER_MS = 120;
const CANCEL_STEP_MS = 100;

await runCase(dirname(fileURLToPath(import.meta.url)), async (context) => {
  const { record, trouble } = context;
  const behave = () => ({ ms: 3_600, how: "done" });
  const fleet = await startSul(context, { behave });
  await sleep(4_000);
  const [leader] = await fleet.leaders();
  if (leader === undefined) throw new Error("there is no leader");
  const first = fleet.instances.findLast((instance) => instance !== leader);
  const clients = Array.from({ length: CLIENTS }, () => ({
    agent: new Agent({ keepAlive: true, maxSockets: 1 }),
    path: `/cotacao/${newJobId()}`,
  }));
  for (const { agent, path } of clients) {
    const answer = await send(first, {
      method: "POST",
      path,
      host: HOST,
      agent,
      body: {
        spec: "a rib",
        steps: [{ count: 1, cpu: 14_000, mem_mb: 64, est_ms: 3_600 }],
      },
    });
    record.add("POST", { instance: first.name, path, ...answer });
    if (answer.status !== 200) throw new Error("a job was not accepted");
  }
  if (trouble) {
    fleet.signal(first, "SIGTERM");
    setTimeout(() => fleet.signal(leader, "SIGTERM"), GAP_MS);
  }
  await sleep(GAP_MS + CANCEL_AFTER_MS);
  const broken = [];
  await Promise.all(clients.map(async ({ agent, path }, index) => {
    await sleep(index * CANCEL_STEP_MS);
    const sent = record.add("DELETE sent", { instance: first.name, path });
    const answer = await send(first, {
      method: "DELETE",
      path,
      host: HOST,
      agent,
      timeoutMs: TIMEOUT_MS,
    });
    const { atMs } = record.add("DELETE", {
      instance: first.name,
      path,
      ...answer,
    });
    const tookMs = atMs - sent.atMs;
    const isCut = answer.error !== undefined && answer.error !== "timeout" &&
      answer.error !== "ECONNREFUSED";
    if (!isCut || tookMs <= LOST_SLACK_MS || tookMs >= TIMEOUT_MS) return;
    broken.push(
      `LOST: ${first.name} was sent DELETE ${path} at ${
        sent.atMs.toFixed(0)
      } ms; the connection ended after ${
        tookMs.toFixed(0)
      } ms without an answer (${answer.error})`,
    );
  }));
  if (trouble) {
    await waitFor(
      () => !fleet.isRunning(first) && !fleet.isRunning(leader),
      GRACE_MS + 1_000,
    );
  }
  return broken;
});
