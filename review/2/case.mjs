import { runCase } from "../lib/case.mjs";
import { jobBody, newJobId, startDeployment } from "../lib/deployment.mjs";
import { sleep } from "../lib/time.mjs";

const TASK_MS = 900;
const TASKS = 24;
/** The site file has 7.0 s for one machine, the leader first, with 503. */
const TURNED_AWAY_MS = 6_950;
/** The bound `finish_s` of the small sites. */
const FINISH_MS = 14_000;
/** Time in which something of the job has to run at the end. */
const IDLE_LIMIT_MS = 3_000;

await runCase({
  folder: import.meta.dirname,
  rule: "LOST",
  async play({ record, trouble, onStarted }) {
    const deployment = onStarted(await startDeployment({ record }));
    const { store, runs } = deployment;
    const leader = deployment.leader();
    // The instance that started last takes over.
    const successor = leader === 2 ? 1 : 2;
    const entry = 3 - leader - successor;
    record(`the leader is instance ${leader}`);
    const body = jobBody({
      ms: [TASK_MS],
      steps: [{ count: TASKS, cpu: 20_000, mem_mb: 64, est_ms: TASK_MS }],
    });
    const jobId = newJobId();
    const accepted = await deployment.request(entry, "POST", jobId, body);
    if (accepted.status !== 200) throw new Error("the job was not accepted");
    await sleep(2_000);
    const turnedAwayAtMs = performance.now();
    if (trouble) {
      store.turnAway(successor);
      deployment.kill(leader);
    }
    await sleep(200);
    // The same submission arrives again, seconds after its 2xx response.
    await deployment.request(entry, "POST", jobId, body);
    await sleep(TURNED_AWAY_MS - (performance.now() - turnedAwayAtMs));
    if (trouble) store.serve(successor);
    await sleep(FINISH_MS);
    const state = await deployment.request(entry, "GET", jobId);
    const nowMs = performance.now();
    const isDone = runs.runs.filter(({ how }) =>
      how === "done"
    ).length >= TASKS;
    const isIdle = runs.runs.every(({ endedAtMs }) =>
      endedAtMs < nowMs - IDLE_LIMIT_MS
    );
    if (state.content.includes("done") || isDone || !isIdle) return [];
    const doneTasks = new Set(
      runs.runs.filter(({ how }) => how === "done").map(({ task }) => task),
    );
    return [
      `the accepted job is answered with ${state.status} ${state.content}; ` +
      `${
        TASKS - doneTasks.size
      } of its ${TASKS} tasks have not ended done, and ` +
      `for ${IDLE_LIMIT_MS} ms nothing has run on ${4} empty executors`,
    ];
  },
});
