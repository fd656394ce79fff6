import { jobBody, newJobId, startDeployment } from "../lib/deployment.mjs";
import { runCase } from "../lib/case.mjs";
import { sleep } from "../lib/time.mjs";

const TASK_MS = 400;
/** The site file has 5.5 s. */
const CUT_MS = 5_000;

await runCase({
  folder: import.meta.dirname,
  rule: "TWICE",
  async play({ record, trouble, onStarted }) {
    const deployment = onStarted(
      await startDeployment({ record, canCut: true }),
    );
    const leader = deployment.leader();
    const entry = (leader + 1) % 3;
    record(`the leader is instance ${leader}`);
    const body = jobBody({
      ms: [TASK_MS],
      steps: [{ count: 40, cpu: 20_000, mem_mb: 64, est_ms: TASK_MS }],
    });
    const jobId = newJobId();
    await deployment.request(entry, "POST", jobId, body);
    await sleep(700);
    if (trouble) {
      deployment.network.cut(leader);
      deployment.store.refuse(leader);
      await sleep(CUT_MS);
      await deployment.network.heal(leader);
      await deployment.store.restore(leader);
    } else await sleep(CUT_MS);
    await sleep(3_000);
    await deployment.request(entry, "GET", jobId);
    const { overlaps, startsAfterDone } = deployment.runs;
    return [
      ...overlaps().map(({ a, b, ms }) =>
        `${a.task} ran on ${a.executor} (run ${a.run}) and on ${b.executor} ` +
        `(run ${b.run}) at the same time, for ${ms.toFixed(0)} ms`
      ),
      ...startsAfterDone().map(({ task, run, executor }) =>
        `${task} was started on ${executor} (run ${run}) after it had ended done`
      ),
    ];
  },
});
