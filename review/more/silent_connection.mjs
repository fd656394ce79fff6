import { runCase } from "../lib/case.mjs";
import { jobBody, newJobId, startDeployment } from "../lib/deployment.mjs";
import { sleep } from "../lib/time.mjs";

const TASK_MS = 100;
/** Times after the disruption at which the machine is asked. */
const ASKED_AFTER_S = [8, 20, 40];

await runCase({
  folder: import.meta.dirname,
  rule: "LOST",
  async play({ record, trouble, onStarted }) {
    const deployment = onStarted(
      await startDeployment({ record, canCut: true }),
    );
    const leader = deployment.leader();
    const other = leader === 2 ? 1 : 2;
    record(`the leader is instance ${leader}`);
    const body = jobBody({
      ms: [TASK_MS],
      steps: [{ count: 2, cpu: 8_000, mem_mb: 64, est_ms: TASK_MS }],
    });
    const jobId = newJobId();
    await deployment.request(other, "POST", jobId, body);
    if (trouble) deployment.network.stall(leader, other);
    const breaches = [];
    const startedAtMs = performance.now();
    for (const seconds of ASKED_AFTER_S) {
      await sleep(seconds * 1_000 - (performance.now() - startedAtMs));
      for (const entry of [0, 1, 2]) {
        const known = await deployment.request(entry, "GET", jobId);
        const handedIn = await deployment.request(
          entry,
          "POST",
          newJobId(),
          body,
        );
        const isReady = await deployment.isReady(entry);
        record(`instance ${entry} is ${isReady ? "" : "not "}ready`);
        if (known.status === 200 && handedIn.status === 200) continue;
        breaches.push(
          `${seconds} s later instance ${entry} (ready: ${isReady}) answers ` +
            `${known.status} on an accepted job and ${handedIn.status} on a new one`,
        );
      }
    }
    return breaches;
  },
});
