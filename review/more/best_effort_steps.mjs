import { jobBody, newJobId, startDeployment } from "../lib/deployment.mjs";
import { runCase } from "../lib/case.mjs";
import { sleep } from "../lib/time.mjs";

const FIRST_STEP_MS = 25;
const SECOND_STEP_MS = 4_000;

await runCase({
  folder: import.meta.dirname,
  rule: "TWICE",
  async play({ record, trouble, onStarted }) {
    const deployment = onStarted(await startDeployment({ record }));
    const leader = deployment.leader();
    const entry = (leader + 1) % 3;
    record(`the leader is instance ${leader}`);
    const body = jobBody({
      ms: [FIRST_STEP_MS, SECOND_STEP_MS],
      bestEffort: true,
      steps: [
        { count: 1, cpu: 8_000, mem_mb: 64, est_ms: FIRST_STEP_MS },
        {
          count: 2,
          cpu: 8_000,
          mem_mb: 64,
          est_ms: SECOND_STEP_MS,
          after: [0],
        },
      ],
    });
    const answered = deployment.request(
      entry,
      "POST",
      newJobId(),
      body,
      20_000,
    );
    await sleep(1_500);
    if (trouble) deployment.kill(leader);
    await answered;
    await sleep(1_000);
    return deployment.runs.overlaps().map(({ a, b, ms }) =>
      `${a.task} ran on ${a.executor} (run ${a.run}) and on ${b.executor} ` +
      `(run ${b.run}) at the same time, for ${ms.toFixed(0)} ms`
    );
  },
});
