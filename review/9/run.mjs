/**
 * Five of seven machines are lost for good, the leader among the last two. Clients
 * cancel stored jobs at the others and get no acknowledgement for 10 s.
 */

import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { runCase, send, sleep } from "../lib-2/fleet.mjs";
import { HOST, newJobId, startSul } from "../lib-2/sul.mjs";

const RUN_MS = 3_600;
/** Pause of a client before it cancels again. */
const RETRY_MS = 1_000;
const JOBS = 12;
/** Time between the first losses and the others. */
const LOST_LATER_AFTER_MS = 1_500;
/** `stable_ms`, `ack_ms` and `cancel_ms`. */
const STABLE_MS = 3_000;
const ACK_MS = 4_000;
const CANCEL_MS = 3_000;

await runCase(dirname(fileURLToPath(import.meta.url)), async (context) => {
  const { record, trouble } = context;
  const behave = () => ({ ms: RUN_MS, how: "done" });
  const fleet = await startSul(context, { behave });
  await sleep(4_000);
  const [leader] = await fleet.leaders();
  if (leader === undefined) throw new Error("there is no leader");
  const others = fleet.instances.filter((instance) => instance !== leader);
  // The two that are left are in two zones: only one zone loses all its machines.
  const survivor = others.at(-1);
  const live = [
    others.find(({ zone }) => zone !== survivor.zone),
    survivor,
  ];
  const lossOrder = others.filter((instance) => !live.includes(instance));
  const lost = lossOrder.slice(0, 3);
  const lostLater = [leader, ...lossOrder.slice(3)];
  if (trouble) {
    for (const instance of lost) fleet.signal(instance, "SIGKILL");
  }
  await sleep(LOST_LATER_AFTER_MS - 300);
  const jobs = [];
  for (let index = 0; index < JOBS; index += 1) {
    const jobId = newJobId();
    const path = `/cotacao/${jobId}`;
    const answer = await send(live[index % live.length], {
      method: "POST",
      path,
      host: HOST,
      body: {
        spec: "a rib",
        steps: [{ count: 1, cpu: 14_000, mem_mb: 64, est_ms: RUN_MS }],
      },
    });
    record.add("POST", { path, ...answer });
    if (answer.status === 200) jobs.push({ jobId, path });
  }
  if (jobs.length === 0) throw new Error("no job was accepted");
  if (trouble) {
    for (const instance of lostLater) fleet.signal(instance, "SIGKILL");
  }
  await sleep(100);
  /** From here on nothing is disrupted. */
  await Promise.all(jobs.map(async (job, index) => {
    for (let attempt = 0; attempt < 40; attempt += 1) {
      const instance = live[(index + attempt) % live.length];
      const sent = record.add("DELETE sent", {
        instance: instance.name,
        path: job.path,
      });
      job.sentAtMs ??= sent.atMs;
      const answer = await send(instance, {
        method: "DELETE",
        path: job.path,
        host: HOST,
        timeoutMs: 3_000,
      });
      const { atMs } = record.add("DELETE", {
        instance: instance.name,
        path: job.path,
        ...answer,
      });
      job.ackedAtMs = atMs;
      if (answer.status === 200 || answer.status === 410) return;
      await sleep(RETRY_MS);
    }
  }));
  await sleep(1_000);
  const broken = [];
  for (const { jobId, sentAtMs, ackedAtMs } of jobs) {
    const limitMs = Math.min(ackedAtMs, sentAtMs + STABLE_MS + ACK_MS) +
      CANCEL_MS;
    for (const { kind, task, atMs, worker } of record.events) {
      if (kind !== "start" || !task.startsWith(jobId) || atMs <= limitMs) {
        continue;
      }
      broken.push(
        `UNASKED: ${task} was started on ${worker} at ${
          atMs.toFixed(0)
        } ms; its cancellation was sent at ${
          sentAtMs.toFixed(0)
        } ms and acknowledged at ${ackedAtMs.toFixed(0)} ms`,
      );
    }
  }
  return broken;
});
