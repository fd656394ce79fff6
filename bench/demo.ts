/**
 * The demonstration: both users' work through seven entry instances, with
 * resubmissions, one instance killed and one drained midway.
 */

import { createCaller, type JobEnd } from "./caller.ts";
import { type Fleet, startFleet } from "./fleet.ts";
import { kill, terminate } from "./processes.ts";
import {
  countCrossZone,
  countEnd,
  countStarts,
  createTally,
  isBroken,
} from "./tally.ts";
import { createWorkload, type WorkJob } from "./workload.ts";
import { sleep } from "../standins/http_service.ts";

const SEED = 7;
const JOBS = 240;
/** Time between two submissions. */
const SUBMIT_EVERY_MS = 40;
/** How often a caller tries before it gives a job up. */
const TRIES = 6;
/** Every so many jobs, a second attempt follows close on the first. */
const DUPLICATE_EVERY = 5;
const DUPLICATE_AFTER_MS = 5;
/** The job at which an instance is killed, and the one at which one drains. */
const KILL_AT_JOB = 80;
const DRAIN_AT_JOB = 150;

function say(text: string): void {
  process.stderr.write(`demo: ${text}\n`);
}

async function main(): Promise<void> {
  const tally = createTally();
  const portBase = 20_000 + (process.pid % 25) * 400;
  say("starting the store, workers of three zones and seven instances");
  const fleet = await startFleet({ portBase, zoneLatencyMs: 0.5 });
  const caller = createCaller(fleet.balancerPort);
  const workload = createWorkload(SEED, "demo");
  const jobs: WorkJob[] = [];
  const refused = new Set<WorkJob>();
  const running: Promise<void>[] = [];
  let draining = false;
  let drained: Promise<number | null> = Promise.resolve(0);

  async function runJob(job: WorkJob): Promise<void> {
    const end = await caller.run(job, TRIES);
    note(job, end);
    if (draining && end.attempts > 1 && end.state === "lost") {
      tally.requestsCutByDrain += 1;
    }
  }

  function note(job: WorkJob, end: JobEnd): void {
    countEnd(tally, end);
    if (end.state === "refused") refused.add(job);
  }

  async function duplicate(job: WorkJob): Promise<void> {
    await sleep(DUPLICATE_AFTER_MS);
    const end = await caller.attempt(job, { attempt: 2 });
    if (end.crossed) tally.answersCrossed += 1;
    if (end.half) tally.halfAnswers += 1;
  }

  say(`submitting ${JOBS} jobs`);
  for (let index = 0; index < JOBS; index += 1) {
    const job = workload.nextJob();
    jobs.push(job);
    tally.jobsSubmitted += 1;
    running.push(runJob(job));
    if (index % DUPLICATE_EVERY === 0) running.push(duplicate(job));
    if (index === KILL_AT_JOB) await killOne(fleet);
    if (index === DRAIN_AT_JOB) {
      say(`draining ${fleet.entries[4]?.slot}`);
      draining = true;
      drained = terminate(fleet.entries[4]!.process);
    }
    await sleep(SUBMIT_EVERY_MS);
  }
  await Promise.all(running);
  const code = await drained;
  if (code !== 0) tally.requestsCutByDrain += 1;
  say("every job ended; counting what the workers started");
  await countStarts(fleet, tally);
  await countCrossZone(fleet, tally, { jobs, refused });
  await caller.close();
  await fleet.stop();
  process.stdout.write(`${JSON.stringify(tally)}\n`);
  process.exitCode = isBroken(tally) ? 1 : 0;
}

async function killOne(fleet: Fleet): Promise<void> {
  const victim = fleet.entries[1];
  if (victim === undefined) return;
  say(`killing ${victim.slot}`);
  await kill(victim.process);
}

await main();
