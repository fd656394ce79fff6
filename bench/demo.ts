/**
 * The demonstration: runs jobs of the services oficina and vigil-desk through
 * seven entry instances, with resubmissions, while one instance is killed and
 * another drained. The last line of stdout is a JSON object; exits with 1 if a
 * guarantee was violated.
 */

import { sleep } from "../standins/http_service.ts";
import { createCaller, type JobOutcome } from "./caller.ts";
import { type Fleet, startFleet } from "./fleet.ts";
import { kill, terminate, unaskedExits } from "./processes.ts";
import {
  countCrossZoneStarts,
  countOutcome,
  countStarts,
  createTally,
  hasViolations,
} from "./tally.ts";
import { createWorkload, type WorkJob } from "./workload.ts";

const SEED = 7;
const JOB_COUNT = 240;
/** Interval between submissions. */
const SUBMIT_INTERVAL_MS = 40;
/** Maximum number of attempts for one job. */
const MAX_ATTEMPTS = 6;
/** One in this many jobs gets a second attempt that races the first. */
const DUPLICATE_INTERVAL = 5;
/** Delay from the first attempt to the one that races it. */
const DUPLICATE_DELAY_MS = 5;
/** Index of the job after whose submission an instance is killed. */
const KILL_AT_JOB = 80;
/** Index of the job after whose submission an instance is drained. */
const DRAIN_AT_JOB = 150;

function log(text: string): void {
  process.stderr.write(`demo: ${text}\n`);
}

async function main(): Promise<void> {
  const tally = createTally();
  const portBase = 20_000 + (process.pid % 25) * 400;
  log("starting the store, workers of three zones and seven instances");
  const fleet = await startFleet({ portBase, zoneLatencyMs: 0.5 });
  const caller = createCaller(fleet.balancerPort);
  const workload = createWorkload(SEED, "demo");
  const jobs: WorkJob[] = [];
  const refused = new Set<WorkJob>();
  const running: Promise<void>[] = [];
  let draining = false;
  let drained: Promise<number | null> = Promise.resolve(0);

  async function runJob(job: WorkJob): Promise<void> {
    const outcome = await caller.submitWithRetries(job, MAX_ATTEMPTS);
    recordOutcome(job, outcome);
    if (draining && outcome.attempts > 1 && outcome.state === "lost") {
      tally.requestsCutByDrain += 1;
    }
  }

  function recordOutcome(job: WorkJob, outcome: JobOutcome): void {
    countOutcome(tally, outcome);
    if (outcome.state === "refused") refused.add(job);
  }

  async function submitDuplicate(job: WorkJob): Promise<void> {
    await sleep(DUPLICATE_DELAY_MS);
    const outcome = await caller.attempt(job, { attempt: 2 });
    if (outcome.isMismatched) tally.answersCrossed += 1;
    if (outcome.isIncomplete) tally.halfAnswers += 1;
  }

  log(`submitting ${JOB_COUNT} jobs`);
  for (let index = 0; index < JOB_COUNT; index += 1) {
    const job = workload.nextJob();
    jobs.push(job);
    tally.jobsSubmitted += 1;
    running.push(runJob(job));
    if (index % DUPLICATE_INTERVAL === 0) running.push(submitDuplicate(job));
    if (index === KILL_AT_JOB) await killInstance(fleet);
    if (index === DRAIN_AT_JOB) {
      log(`draining ${fleet.entries[4]?.slot}`);
      draining = true;
      drained = terminate(fleet.entries[4]!.process);
    }
    await sleep(SUBMIT_INTERVAL_MS);
  }
  await Promise.all(running);
  const code = await drained;
  if (code !== 0) tally.requestsCutByDrain += 1;
  log("all jobs have an outcome; counting the starts on workers");
  await countStarts(fleet, tally);
  await countCrossZoneStarts(fleet, tally, { jobs, refused });
  await caller.close();
  await fleet.stop();
  for (const exit of unaskedExits) log(`unasked end: ${JSON.stringify(exit)}`);
  process.stdout.write(`${JSON.stringify(tally)}\n`);
  const hasFailed = hasViolations(tally) || unaskedExits.length > 0;
  process.exitCode = hasFailed ? 1 : 0;
}

async function killInstance(fleet: Fleet): Promise<void> {
  const entry = fleet.entries[1];
  if (entry === undefined) return;
  log(`killing ${entry.slot}`);
  await kill(entry.process);
}

await main();
