import { runCase } from "../lib/case.mjs";
import { jobBody, newJobId, startDeployment } from "../lib/deployment.mjs";
import { sleep } from "../lib/time.mjs";

/** Beyond 100 executors each zone has a leader of its own. */
const EXECUTORS = 98;
const ADDED_EXECUTORS = 6;
/** The site file has 2.0 s. */
const ADDED_OVER_MS = 2_000;
const JOBS = 8;
const TASKS = 150;
const TASK_MS = 400;

await runCase({
  folder: import.meta.dirname,
  rule: "TWICE",
  async play({ record, trouble, onStarted }) {
    const deployment = onStarted(
      await startDeployment({ record, executors: EXECUTORS }),
    );
    const { runs } = deployment;
    const leader = deployment.leader();
    const entry = (leader + 1) % 3;
    record(`the leader is instance ${leader}`);
    const body = jobBody({
      ms: [TASK_MS],
      steps: [{ count: TASKS, cpu: 20_000, mem_mb: 64, est_ms: TASK_MS }],
    });
    const jobIds = Array.from({ length: JOBS }, newJobId);
    await Promise.all(
      jobIds.map((jobId) => deployment.request(entry, "POST", jobId, body)),
    );
    await sleep(1_000);
    if (trouble) {
      record(`${ADDED_EXECUTORS} executors are added`);
      for (let index = 0; index < ADDED_EXECUTORS; index += 1) {
        await deployment.startExecutor(EXECUTORS + index);
        await sleep(ADDED_OVER_MS / ADDED_EXECUTORS);
      }
    }
    await sleep(12_000);
    for (const jobId of jobIds) await deployment.request(entry, "GET", jobId);
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
