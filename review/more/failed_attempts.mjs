import { jobBody, newJobId, startDeployment } from "../lib/deployment.mjs";
import { runCase } from "../lib/case.mjs";
import { sleep, waitFor } from "../lib/time.mjs";

const ATTEMPTS = 2;
const TASK_MS = 100;
/** The site file has 4.0 s. */
const FREEZE_MS = 4_000;
const LONG_TASK_MS = 20_000;

await runCase({
  folder: import.meta.dirname,
  rule: "BUDGET",
  async play({ record, trouble, onStarted }) {
    const deployment = onStarted(
      await startDeployment({ record, attempts: ATTEMPTS }),
    );
    const { runs } = deployment;
    const leader = deployment.leader();
    const entry = (leader + 1) % 3;
    record(`the leader is instance ${leader}`);
    // Other work on all executors, which keeps their leases.
    const long = jobBody({
      ms: [LONG_TASK_MS],
      steps: [{ count: 4, cpu: 20_000, mem_mb: 64, est_ms: 1_000 }],
    });
    await deployment.request(entry, "POST", newJobId(), long);
    await sleep(1_000);
    const jobId = newJobId();
    const failing = jobBody({
      ms: [TASK_MS],
      end: "failed",
      steps: [{ count: 1, cpu: 4_000, mem_mb: 64, est_ms: TASK_MS }],
    });
    await deployment.request(entry, "POST", jobId, failing);
    const isLastAttempt = () =>
      runs.runs.filter(({ task }) => task.startsWith(jobId)).length >= ATTEMPTS;
    await waitFor(isLastAttempt, { limitMs: 5_000, everyMs: 1 });
    await sleep(8);
    if (trouble) deployment.signal(leader, "SIGSTOP");
    await sleep(FREEZE_MS);
    if (trouble) deployment.signal(leader, "SIGCONT");
    await sleep(3_000);
    await deployment.request(entry, "GET", jobId);
    return runs.startsBeyondAttempts(ATTEMPTS).map(({ task, run, executor }) =>
      `${task} was started on ${executor} (run ${run}) after ${ATTEMPTS} of ` +
      "its runs had ended failed, which were taken note of"
    );
  },
});
