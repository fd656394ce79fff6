import { runCase } from "../lib/case.mjs";
import { jobBody, newJobId, startDeployment } from "../lib/deployment.mjs";
import { sleep } from "../lib/time.mjs";

const JOBS = 200;
const TASK_MS = 500;
/** `visible_ms` of the small sites and 2 s more. */
const VISIBLE_MS = 5_000;
const WATCHED_MS = 2_000;

await runCase({
  folder: import.meta.dirname,
  rule: "MIXED",
  async play({ record, trouble, onStarted }) {
    const deployment = onStarted(await startDeployment({ record }));
    const { runs } = deployment;
    const leader = deployment.leader();
    const others = [0, 1, 2].filter((index) => index !== leader);
    record(`the leader is instance ${leader}`);
    const body = jobBody({
      ms: [TASK_MS],
      steps: [{ count: 1, cpu: 20_000, mem_mb: 64, est_ms: TASK_MS }],
    });
    const jobIds = Array.from({ length: JOBS }, newJobId);
    await Promise.all(
      jobIds.map((jobId) => deployment.request(others[0], "POST", jobId, body)),
    );
    await sleep(VISIBLE_MS + 500);
    if (trouble) deployment.kill(leader);
    const breaches = [];
    const untilMs = performance.now() + WATCHED_MS;
    while (performance.now() < untilMs) {
      for (const entry of others) {
        const answer = await deployment.request(entry, "GET", "");
        const waiting = JOBS - new Set(runs.runs.map(({ task }) => task)).size;
        if (answer.status !== 200) continue;
        const { pending } = JSON.parse(answer.content);
        if (pending >= waiting / 2) continue;
        breaches.push(`${pending} jobs are said to wait; ${waiting} do`);
      }
      await sleep(10);
    }
    return breaches;
  },
});
