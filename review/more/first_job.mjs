import { jobBody, newJobId, startDeployment } from "../lib/deployment.mjs";
import { runCase } from "../lib/case.mjs";
import { sleep, waitFor } from "../lib/time.mjs";

const TASKS = 4;
const TASK_MS = 60;
/** The site file has 4.0 s. */
const FREEZE_MS = 4_000;

await runCase({
  folder: import.meta.dirname,
  rule: "TWICE",
  async play({ record, trouble, onStarted }) {
    const deployment = onStarted(await startDeployment({ record }));
    const { runs } = deployment;
    const leader = deployment.leader();
    const entry = (leader + 1) % 3;
    record(`the leader is instance ${leader}`);
    const body = jobBody({
      ms: [TASK_MS],
      steps: [{ count: TASKS, cpu: 20_000, mem_mb: 64, est_ms: TASK_MS }],
    });
    const jobId = newJobId();
    const answered = deployment.request(entry, "POST", jobId, body);
    // The leader freezes as soon as it has sent the starts.
    const hasStarted = () => runs.runs.length >= TASKS;
    await waitFor(hasStarted, { limitMs: 4_000, everyMs: 1 });
    if (trouble) deployment.signal(leader, "SIGSTOP");
    const accepted = await answered;
    if (accepted.status !== 200) throw new Error("the job was not accepted");
    await sleep(FREEZE_MS);
    if (trouble) deployment.signal(leader, "SIGCONT");
    await sleep(2_000);
    await deployment.request(entry, "GET", jobId);
    return runs.startsAfterDone().map(({ task, run, executor }) =>
      `${task} was started on ${executor} (run ${run}) after it had ended ` +
      "done, which was taken note of"
    );
  },
});
