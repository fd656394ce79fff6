/**
 * Checks the guarantees with real processes under faults: instances killed,
 * paused and drained, zones partitioned, the store down or losing responses,
 * workers that reset connections, operators racing, entries of the list of
 * workers that lapse, leaders killed again and again. The last line of stdout is
 * a JSON object; exits with 1 if a guarantee was violated, and keeps the logs of
 * the instances in the directory that the line names.
 */

import { defineCommand, runMain } from "citty";
import { sleep } from "../standins/http_service.ts";
import {
  type AttemptOutcome,
  type Caller,
  createCaller,
  type JobOutcome,
} from "./caller.ts";
import { callControl } from "./control.ts";
import { type Fleet, type FleetEntry, startFleet } from "./fleet.ts";
import { createInstanceLogs, type InstanceLogs } from "./instance_logs.ts";
import { raceOperators } from "./operators.ts";
import { describePairs, writeTimeline } from "./pair_report.ts";
import { kill, terminate, unaskedExits } from "./processes.ts";
import { findRunPairs } from "./run_pairs.ts";
import {
  countCrossZoneStarts,
  countOutcome,
  countStarts,
  createTally,
  hasViolations,
} from "./tally.ts";
import { createWorkload, type WorkJob, type Workload } from "./workload.ts";

const DEFAULT_SEED = 1;
const DEFAULT_SECONDS = 30;
const PORT_BASE = 26_000;
const SUBMIT_INTERVAL_MS = 25;
const FAULT_INTERVAL_MS = 2_000;
/** Maximum number of attempts for one job. */
const MAX_ATTEMPTS = 5;
/** Share of jobs that get a second attempt that races the first. */
const DUPLICATE_SHARE = 0.2;
/** Delay from the first attempt to the one that races it. */
const DUPLICATE_DELAY_MS = 5;
/** Duration of a process pause. */
const PAUSE_MS = 3_000;
/** Duration of a network partition. */
const PARTITION_MS = 2_500;
/** Duration of a store outage. */
const OUTAGE_MS = 3_000;
/** Time within which an accepted change must be in force everywhere. */
const CONFIGURATION_DEADLINE_MS = 2_000;
/** Maximum number of pairs of runs that are printed, with a timeline each. */
const MAX_TIMELINES = 20;

/** The faults; their names are keys of `faults` in the last line. */
type FaultName =
  | "kill"
  | "freeze"
  | "cutZone"
  | "storeDown"
  | "loseAnswer"
  | "operatorRace"
  | "drain"
  | "workerResets"
  | "listLapses"
  | "leaderRestarts";

interface Chaos {
  readonly fleet: Fleet;
  readonly logs: InstanceLogs;
  readonly workload: Workload;
  readonly faults: Record<FaultName, number>;
  /** Instances that a fault is using, which other faults must not pick. */
  readonly claimedEntries: Set<FleetEntry>;
  /** Instances on which an accepted change was not in force in time. */
  configurationLate: number;
  /** Drains that did not exit cleanly. */
  failedDrains: number;
  /** Instances that were not ready in time after a restart, by name. */
  readonly notReady: string[];
}

function pick<T>({ workload }: Chaos, values: readonly T[]): T | undefined {
  return values[Math.floor(workload.nextUniform() * values.length)];
}

/** Runs an action on an instance that no other fault uses, if there is one. */
async function withClaimedEntry(
  chaos: Chaos,
  action: (entry: FleetEntry) => Promise<void>,
): Promise<void> {
  const available = chaos.fleet.entries.filter((entry) =>
    !chaos.claimedEntries.has(entry)
  );
  const entry = pick(chaos, available);
  if (entry === undefined) return;
  chaos.claimedEntries.add(entry);
  await action(entry);
  chaos.claimedEntries.delete(entry);
}

/** Starts an instance again; records if it does not become ready in time. */
async function restartEntry(chaos: Chaos, entry: FleetEntry): Promise<void> {
  try {
    await chaos.fleet.startEntry(entry);
  } catch (error) {
    chaos.notReady.push(`${entry.slot}: ${(error as Error).message}`);
  }
}

const faultHandlers: Record<FaultName, (chaos: Chaos) => Promise<void>> = {
  kill: (chaos) =>
    withClaimedEntry(chaos, async (entry) => {
      await kill(entry.process);
      await sleep(chaos.workload.nextUniform() * 1_000);
      await restartEntry(chaos, entry);
    }),
  freeze: (chaos) =>
    withClaimedEntry(chaos, async ({ process }) => {
      process.child.kill("SIGSTOP");
      await sleep(PAUSE_MS);
      process.child.kill("SIGCONT");
    }),
  cutZone: async (chaos) => {
    const { fleet } = chaos;
    const zone = pick(chaos, fleet.zones) ?? "";
    const cut = fleet.zones.filter((other) => other !== zone)
      .flatMap((other) => [`${zone}-${other}`, `${other}-${zone}`]);
    await callControl(fleet.linkPort, "/", { body: { cut } });
    await sleep(PARTITION_MS);
    await callControl(fleet.linkPort, "/", { body: { cut: [] } });
  },
  storeDown: async ({ fleet }) => {
    await setStoreKnobs(fleet, { down: true });
    await sleep(OUTAGE_MS);
    await setStoreKnobs(fleet, { down: false });
  },
  loseAnswer: async (chaos) => {
    await setStoreKnobs(chaos.fleet, { loseAnswers: 1 });
    await changeConfiguration(chaos);
  },
  operatorRace: changeConfiguration,
  drain: (chaos) =>
    withClaimedEntry(chaos, async (entry) => {
      const code = await terminate(entry.process);
      if (code !== 0) chaos.failedDrains += 1;
      await restartEntry(chaos, entry);
    }),
  workerResets: async (chaos) => {
    const port = pick(chaos, [...chaos.fleet.workerPorts.values()]) ?? 0;
    const worker = Math.floor(chaos.workload.nextUniform() * 10);
    const knobs = (reset: boolean) => ({ body: { worker, knobs: { reset } } });
    await callControl(port, "/set", knobs(true));
    await sleep(500);
    await callControl(port, "/set", knobs(false));
  },
  listLapses: lapseEntries,
  async leaderRestarts(chaos) {
    const count = 2 + Math.floor(chaos.workload.nextUniform() * 4);
    for (let left = count; left > 0; left -= 1) {
      if (chaos.workload.nextUniform() < 0.7) await lapseEntries(chaos);
      await restartLeader(chaos);
      await sleep(100 + chaos.workload.nextUniform() * 600);
    }
  },
};

/** Lets the entries of some workers lapse, though the workers live. */
async function lapseEntries({ fleet, logs, workload }: Chaos): Promise<void> {
  const share = 0.2 + 0.4 * workload.nextUniform();
  const forMs = Math.round(1_000 + 1_500 * workload.nextUniform());
  const workerIds = fleet.workers.map(({ workerId }) => workerId)
    .filter(() => workload.nextUniform() < share);
  logs.note("fault: entries lapsed", { forMs, workerIds });
  const body = { workerIds, forMs };
  await callControl(fleet.storePort, "/control/lapse", { body });
}

/** Kills the leader, if no other fault uses it, and starts it again at once. */
async function restartLeader(chaos: Chaos): Promise<void> {
  const { fleet, logs, claimedEntries } = chaos;
  const leaderIds = logs.leaders().map(({ instanceId }) => instanceId);
  const leader = fleet.entries.find((entry) =>
    leaderIds.includes(entry.slot) && !claimedEntries.has(entry)
  );
  if (leader === undefined) return;
  claimedEntries.add(leader);
  logs.note("fault: process killed", { target: leader.slot });
  await kill(leader.process);
  await restartEntry(chaos, leader);
  claimedEntries.delete(leader);
}

async function setStoreKnobs(fleet: Fleet, knobs: object): Promise<void> {
  await callControl(fleet.storePort, "/control/knobs", { body: knobs });
}

/**
 * Lets two operators change the same version and counts the instances on which
 * the accepted change is not in force in time.
 */
async function changeConfiguration(chaos: Chaos): Promise<void> {
  const { fleet, claimedEntries } = chaos;
  const version = await raceOperators(fleet, claimedEntries);
  if (version === null) return;
  const claimedBefore = new Set(claimedEntries);
  const available = fleet.entries.filter((entry) => !claimedBefore.has(entry));
  const outdated = await fleet.findOutdatedEntries(available, {
    version,
    withinMs: CONFIGURATION_DEADLINE_MS,
  });
  // Instances that a fault claimed meanwhile are checked after the run.
  chaos.configurationLate +=
    outdated.filter((entry) => !claimedEntries.has(entry)).length;
}

/** Injects faults, one or two at a time, until the given time. */
async function injectFaults(
  chaos: Chaos,
  { names, endMs }: { names: readonly FaultName[]; endMs: number },
): Promise<void> {
  const running: Promise<void>[] = [];
  while (performance.now() < endMs) {
    const count = chaos.workload.nextUniform() < 0.5 ? 1 : 2;
    for (let left = count; left > 0; left -= 1) {
      const name = pick(chaos, names);
      if (name === undefined) continue;
      chaos.faults[name] += 1;
      process.stderr.write(`chaos: injecting fault ${name}\n`);
      running.push(faultHandlers[name](chaos));
    }
    await sleep(FAULT_INTERVAL_MS);
  }
  await Promise.all(running);
}

interface SubmissionLog {
  readonly jobs: WorkJob[];
  /** Jobs that were refused as not run. */
  readonly refused: Set<WorkJob>;
  readonly outcomes: { job: WorkJob; outcome: JobOutcome }[];
  /** Outcomes of the second attempts that raced the first. */
  readonly duplicateOutcomes: AttemptOutcome[];
}

/** Submits jobs until the given time, then waits for their outcomes. */
async function submitJobs(
  { workload }: Chaos,
  caller: Caller,
  { endMs, seed }: { endMs: number; seed: number },
): Promise<SubmissionLog> {
  const log: SubmissionLog = {
    jobs: [],
    refused: new Set(),
    outcomes: [],
    duplicateOutcomes: [],
  };
  const jobSource = createWorkload(seed, `chaos${seed}`);
  const running: Promise<void>[] = [];
  while (performance.now() < endMs) {
    const job = jobSource.nextJob();
    log.jobs.push(job);
    running.push(
      caller.submitWithRetries(job, MAX_ATTEMPTS).then((outcome) => {
        log.outcomes.push({ job, outcome });
        if (outcome.state === "refused") log.refused.add(job);
      }),
    );
    if (workload.nextUniform() < DUPLICATE_SHARE) {
      running.push(
        sleep(DUPLICATE_DELAY_MS).then(async () => {
          log.duplicateOutcomes.push(await caller.attempt(job, { attempt: 2 }));
        }),
      );
    }
    await sleep(SUBMIT_INTERVAL_MS);
  }
  await Promise.all(running);
  return log;
}

const command = defineCommand({
  meta: {
    name: "chaos",
    description: "Check the guarantees with real processes under faults",
  },
  args: {
    seed: { type: "string", default: String(DEFAULT_SEED) },
    seconds: { type: "string", default: String(DEFAULT_SECONDS) },
    faults: {
      type: "string",
      default: Object.keys(faultHandlers).join(","),
      description: "Names of the faults to draw from, separated by commas",
    },
  },
  async run({ args }) {
    const seed = Number(args.seed);
    const logs = createInstanceLogs(`chaos-${seed}`);
    const fleet = await startFleet({
      portBase: PORT_BASE,
      zoneLatencyMs: 0.5,
      logs,
    });
    const chaos: Chaos = {
      fleet,
      logs,
      workload: createWorkload(seed, "faults"),
      faults: Object.fromEntries(
        Object.keys(faultHandlers).map((name) => [name, 0]),
      ) as Record<FaultName, number>,
      claimedEntries: new Set(),
      configurationLate: 0,
      failedDrains: 0,
      notReady: [],
    };
    const caller = createCaller(fleet.balancerPort);
    const endMs = performance.now() + Number(args.seconds) * 1_000;
    const names = args.faults.split(",") as FaultName[];
    const faults = injectFaults(chaos, { names, endMs });
    const submitted = await submitJobs(chaos, caller, { endMs, seed });
    await faults;
    const hasFailed = await report(chaos, submitted);
    await caller.close();
    await fleet.stop();
    if (!hasFailed) logs.remove();
  },
});

async function report(
  chaos: Chaos,
  { jobs, refused, outcomes, duplicateOutcomes }: SubmissionLog,
): Promise<boolean> {
  const { fleet, logs } = chaos;
  const tally = createTally();
  tally.jobsSubmitted = jobs.length;
  for (const { outcome } of outcomes) countOutcome(tally, outcome);
  tally.answersCrossed +=
    duplicateOutcomes.filter((outcome) => outcome.isMismatched).length;
  tally.halfAnswers +=
    duplicateOutcomes.filter((outcome) => outcome.isIncomplete).length;
  tally.requestsCutByDrain = chaos.failedDrains;
  await countStarts(fleet, tally);
  await countCrossZoneStarts(fleet, tally, { jobs, refused });
  const pairs = describePairs(findRunPairs(await fleet.readRuns()), logs);
  tally.tasksRunTwiceAtOnce = pairs.length;
  for (const pair of pairs.slice(0, MAX_TIMELINES)) {
    writeTimeline(logs, pair);
    process.stdout.write(`twice: ${JSON.stringify(pair)}\n`);
  }
  const agreed = await allEntriesAgree(fleet);
  const { configurationLate, faults, notReady } = chaos;
  const errors = countErrors(outcomes.map(({ outcome }) => outcome));
  const hasFailed = hasViolations(tally) || configurationLate > 0 ||
    !agreed || notReady.length > 0 || unaskedExits.length > 0;
  const summary = {
    ...tally,
    configurationLate,
    agreed,
    notReady,
    unaskedExits,
    faults,
    errors,
    logs: hasFailed ? logs.directory : null,
  };
  process.stdout.write(`${JSON.stringify(summary)}\n`);
  process.exitCode = hasFailed ? 1 : 0;
  return hasFailed;
}

/** Counts, by state and error code, the jobs that did not complete. */
function countErrors(outcomes: readonly JobOutcome[]): Record<string, number> {
  const errors: Record<string, number> = {};
  for (const { state, error } of outcomes) {
    if (state === "complete") continue;
    const name = `${state} ${error}`;
    errors[name] = (errors[name] ?? 0) + 1;
  }
  return errors;
}

/** Whether all instances have the latest configuration after all faults. */
async function allEntriesAgree(fleet: Fleet): Promise<boolean> {
  const version = await fleet.readLatestVersion();
  const outdated = await fleet.findOutdatedEntries(fleet.entries, {
    version,
    withinMs: CONFIGURATION_DEADLINE_MS,
  });
  return outdated.length === 0;
}

await runMain(command);
