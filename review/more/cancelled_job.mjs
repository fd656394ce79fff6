import { jobBody, newJobId, startDeployment } from "../lib/deployment.mjs";
import { runCase } from "../lib/case.mjs";
import { sleep } from "../lib/time.mjs";

const TASK_MS = 1_500;
/** The bounds `cancel_ms` and `stable_ms` of the small sites. */
const CANCEL_MS = 3_000;
const STABLE_MS = 3_000;
/** The site file has 60 for 4.5 s, and 83 on one of its days. */
const SLOW_FACTOR = 60;
const SLOW_MS = 3_500;

await runCase({
  folder: import.meta.dirname,
  rule: "UNASKED",
  async play({ record, trouble, onStarted }) {
    const deployment = onStarted(await startDeployment({ record }));
    const { store, runs } = deployment;
    const leader = deployment.leader();
    const entry = (leader + 1) % 3;
    record(`the leader is instance ${leader}`);
    const body = jobBody({
      ms: [TASK_MS],
      steps: [{ count: 60, cpu: 20_000, mem_mb: 64, est_ms: 100 }],
    });
    const jobId = newJobId();
    const accepted = await deployment.request(entry, "POST", jobId, body);
    if (accepted.status !== 200) throw new Error("the job was not accepted");
    await sleep(1_000);
    const slowSinceMs = performance.now();
    if (trouble) {
      store.slowDown(SLOW_FACTOR);
      deployment.kill(leader);
    }
    await sleep(500);
    // The same submission arrives again, seconds after its 2xx response.
    const again = deployment.request(entry, "POST", jobId, body);
    await sleep(100);
    const cancelled = await deployment.request(entry, "DELETE", jobId);
    const cancelledAtMs = performance.now();
    await again;
    await sleep(SLOW_MS - (performance.now() - slowSinceMs));
    const calmSinceMs = performance.now();
    if (trouble) store.slowDown(1);
    await sleep(CANCEL_MS + STABLE_MS + 3_000);
    await deployment.request(entry, "GET", jobId);
    if (![200, 410].includes(cancelled.status)) return [];
    const fromMs = Math.max(cancelledAtMs + CANCEL_MS, calmSinceMs + STABLE_MS);
    return runs.runs.filter(({ startedAtMs }) => startedAtMs > fromMs).map(
      ({ task, run, executor, startedAtMs }) =>
        `${task} was started on ${executor} (run ${run}) ` +
        `${(startedAtMs - cancelledAtMs).toFixed(0)} ms after the job's ` +
        "cancelling was acknowledged",
    );
  },
});
