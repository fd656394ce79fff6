import { runCase } from "../lib/case.mjs";
import { jobBody, newJobId, startDeployment } from "../lib/deployment.mjs";
import { sleep, waitFor } from "../lib/time.mjs";

const STEPS = 30;
const JOBS = 40;
const STEP_MS = 40;
const LONG_TASK_MS = 10_000;

await runCase({
  folder: import.meta.dirname,
  rule: "TWICE",
  async play({ record, trouble, onStarted }) {
    const deployment = onStarted(await startDeployment({ record }));
    const { runs } = deployment;
    const leader = deployment.leader();
    const entry = (leader + 1) % 3;
    record(`the leader is instance ${leader}`);
    // Other work on all executors, which keeps their leases.
    const long = jobBody({
      ms: [LONG_TASK_MS],
      steps: [{ count: 4, cpu: 20_000, mem_mb: 64, est_ms: LONG_TASK_MS }],
    });
    await deployment.request(entry, "POST", newJobId(), long);
    await sleep(500);
    const chain = jobBody({
      ms: Array.from({ length: STEPS }, () => STEP_MS),
      steps: Array.from({ length: STEPS }, (_, step) => ({
        count: 1,
        cpu: 1_000,
        mem_mb: 64,
        est_ms: STEP_MS,
        ...(step > 0 ? { after: [step - 1] } : {}),
      })),
    });
    const jobIds = Array.from({ length: JOBS }, newJobId);
    await Promise.all(
      jobIds.map((jobId) => deployment.request(entry, "POST", jobId, chain)),
    );
    const isHalfDone = () =>
      runs.runs.some(({ task }) => task === `${jobIds[0]}.0.${STEPS / 2}.0`);
    await waitFor(isHalfDone, { limitMs: 10_000, everyMs: 1 });
    if (trouble) deployment.kill(leader);
    await sleep(6_000);
    return [
      ...runs.overlaps().map(({ a, b, ms }) =>
        `${a.task} ran on ${a.executor} (run ${a.run}) and on ${b.executor} ` +
        `(run ${b.run}) at the same time, for ${ms.toFixed(0)} ms`
      ),
      ...runs.startsAfterDone().map(({ task, run, executor }) =>
        `${task} was started on ${executor} (run ${run}) after it had ended ` +
        "done, which was taken note of"
      ),
    ];
  },
});
