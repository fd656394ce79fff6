import { runCase } from "../lib/case.mjs";
import { jobBody, newJobId, startDeployment } from "../lib/deployment.mjs";
import { sleep } from "../lib/time.mjs";

const TRAFFIC_MS = 45_000;
/** All three kinds of requests of the sheet together. */
const JOBS_PER_S = 98;
const TASKS = 1;
const TASK_MS = 1_000;
const OBJECTIVE_MS = 120_000;
/** Mean length of a request of two of the three kinds. */
const SPEC_LENGTH = 2_400;
/** The bound `finish_s` of the small sites. */
const FINISH_MS = 14_000;
const ASKED_JOBS = 20;

await runCase({
  folder: import.meta.dirname,
  rule: "LOST",
  async play({ record, trouble, onStarted }) {
    // Tens of thousands of lines on ordinary jobs are left out of the record.
    const isOrdinary = (text) => /^executor|POST .* 200/.test(text);
    const deployment = onStarted(
      await startDeployment({
        record: (text) => isOrdinary(text) ? undefined : record(text),
        executors: 4,
        objectiveMs: OBJECTIVE_MS,
      }),
    );
    const leader = deployment.leader();
    const others = [0, 1, 2].filter((index) => index !== leader);
    record(`the leader is instance ${leader}`);
    const body = jobBody({
      ms: [TASK_MS],
      steps: [{ count: TASKS, cpu: 6_000, mem_mb: 64, est_ms: TASK_MS }],
    });
    body.spec = body.spec.replace(
      "}",
      `,"text":"${"x".repeat(SPEC_LENGTH - body.spec.length)}"}`,
    );
    const acceptedIds = [];
    const pending = new Set();
    const submit = async () => {
      const jobId = newJobId();
      const entry = Math.floor(Math.random() * 3);
      const answer = await deployment.request(entry, "POST", jobId, body);
      if (answer.status === 200) acceptedIds.push(jobId);
    };
    const startedAtMs = performance.now();
    for (let sent = 0; performance.now() - startedAtMs < TRAFFIC_MS;) {
      const due = (performance.now() - startedAtMs) / 1_000 * JOBS_PER_S;
      for (; sent < due; sent += 1) {
        const call = submit().finally(() => pending.delete(call));
        pending.add(call);
      }
      await sleep(5);
    }
    await Promise.all(pending);
    record(`${acceptedIds.length} jobs were accepted`);
    if (trouble) deployment.kill(leader);
    await sleep(FINISH_MS);
    const asked = acceptedIds.slice(-ASKED_JOBS);
    const answers = [];
    for (const [index, jobId] of asked.entries()) {
      const entry = others[index % others.length];
      answers.push(
        await deployment.request(entry, "GET", jobId, undefined, 1_000),
      );
    }
    if (answers.some(({ status }) => status === 200)) return [];
    return [
      `${FINISH_MS} ms after the leader was killed none of ${ASKED_JOBS} of the ` +
      `${acceptedIds.length} accepted jobs is known or gets an answer: ` +
      [...new Set(answers.map(({ status }) => status))].join(", "),
    ];
  },
});
