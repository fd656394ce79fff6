/**
 * The promises over real processes: instances killed and frozen, zones cut, the
 * store down or losing answers, operators racing. The last line of stdout is
 * a JSON object; exits with 1 if a promise broke.
 */

import { defineCommand, runMain } from "citty";
import {
  type AttemptEnd,
  type Caller,
  createCaller,
  type JobEnd,
} from "./caller.ts";
import { callControl } from "./control.ts";
import { type Fleet, type FleetEntry, startFleet } from "./fleet.ts";
import { raceOperators } from "./operators.ts";
import { kill, terminate } from "./processes.ts";
import {
  countCrossZone,
  countEnd,
  countStarts,
  createTally,
  isBroken,
} from "./tally.ts";
import { createWorkload, type WorkJob, type Workload } from "./workload.ts";
import { sleep } from "../standins/http_service.ts";

const DEFAULT_SEED = 1;
const DEFAULT_SECONDS = 30;
const PORT_BASE = 26_000;
const SUBMIT_EVERY_MS = 25;
const FAULT_EVERY_MS = 2_000;
const TRIES = 5;
/** Share of jobs whose second attempt follows at once. */
const DUPLICATE_SHARE = 0.2;
const DUPLICATE_AFTER_MS = 5;
const FREEZE_MS = 3_000;
const CUT_MS = 2_500;
const OUTAGE_MS = 3_000;
/** Accepted changes are in force everywhere within this time. */
const IN_FORCE_MS = 2_000;

type FaultName =
  | "kill"
  | "freeze"
  | "cutZone"
  | "storeDown"
  | "loseAnswer"
  | "operatorRace"
  | "drain"
  | "workerResets";

interface Chaos {
  readonly fleet: Fleet;
  readonly workload: Workload;
  readonly faults: Record<FaultName, number>;
  /** Instances that a fault holds, so that another does not take them. */
  readonly held: Set<FleetEntry>;
  configurationLate: number;
  drainsCutOff: number;
}

function pick<T>({ workload }: Chaos, values: readonly T[]): T | undefined {
  return values[Math.floor(workload.nextUniform() * values.length)];
}

async function withEntry(
  chaos: Chaos,
  act: (entry: FleetEntry) => Promise<void>,
): Promise<void> {
  const free = chaos.fleet.entries.filter((entry) => !chaos.held.has(entry));
  const entry = pick(chaos, free);
  if (entry === undefined) return;
  chaos.held.add(entry);
  await act(entry);
  chaos.held.delete(entry);
}

const faultHandlers: Record<FaultName, (chaos: Chaos) => Promise<void>> = {
  kill: (chaos) =>
    withEntry(chaos, async (entry) => {
      await kill(entry.process);
      await sleep(chaos.workload.nextUniform() * 1_000);
      await chaos.fleet.startEntry(entry);
    }),
  freeze: (chaos) =>
    withEntry(chaos, async ({ process }) => {
      process.child.kill("SIGSTOP");
      await sleep(FREEZE_MS);
      process.child.kill("SIGCONT");
    }),
  cutZone: async (chaos) => {
    const { fleet } = chaos;
    const zone = pick(chaos, fleet.zones) ?? "";
    const cut = fleet.zones.filter((other) => other !== zone)
      .flatMap((other) => [`${zone}-${other}`, `${other}-${zone}`]);
    await callControl(fleet.linkPort, "/", { body: { cut } });
    await sleep(CUT_MS);
    await callControl(fleet.linkPort, "/", { body: { cut: [] } });
  },
  storeDown: async ({ fleet }) => {
    await setStore(fleet, { down: true });
    await sleep(OUTAGE_MS);
    await setStore(fleet, { down: false });
  },
  loseAnswer: async (chaos) => {
    await setStore(chaos.fleet, { loseAnswers: 1 });
    await changeConfiguration(chaos);
  },
  operatorRace: changeConfiguration,
  drain: (chaos) =>
    withEntry(chaos, async (entry) => {
      const code = await terminate(entry.process);
      if (code !== 0) chaos.drainsCutOff += 1;
      await chaos.fleet.startEntry(entry);
    }),
  workerResets: async (chaos) => {
    const port = pick(chaos, [...chaos.fleet.workerPorts.values()]) ?? 0;
    const worker = Math.floor(chaos.workload.nextUniform() * 10);
    const knobs = (reset: boolean) => ({ body: { worker, knobs: { reset } } });
    await callControl(port, "/set", knobs(true));
    await sleep(500);
    await callControl(port, "/set", knobs(false));
  },
};

async function setStore(fleet: Fleet, knobs: object): Promise<void> {
  await callControl(fleet.storePort, "/control/knobs", { body: knobs });
}

/** Two operators change one version; the one accepted must come in force. */
async function changeConfiguration(chaos: Chaos): Promise<void> {
  const { fleet, held } = chaos;
  const version = await raceOperators(fleet, held);
  if (version === null) return;
  const heldBefore = new Set(held);
  const free = fleet.entries.filter((entry) => !heldBefore.has(entry));
  const late = await fleet.lateInForce(free, {
    version,
    withinMs: IN_FORCE_MS,
  });
  // What became unreachable meanwhile is looked at after the run.
  chaos.configurationLate += late.filter((entry) => !held.has(entry)).length;
}

/** Faults alone and in pairs, until the time is over. */
async function injectFaults(chaos: Chaos, endMs: number): Promise<void> {
  const names = Object.keys(faultHandlers) as FaultName[];
  const running: Promise<void>[] = [];
  while (performance.now() < endMs) {
    const count = chaos.workload.nextUniform() < 0.5 ? 1 : 2;
    for (let left = count; left > 0; left -= 1) {
      const name = pick(chaos, names);
      if (name === undefined) continue;
      chaos.faults[name] += 1;
      process.stderr.write(`chaos: ${name}\n`);
      running.push(faultHandlers[name](chaos));
    }
    await sleep(FAULT_EVERY_MS);
  }
  await Promise.all(running);
}

interface Submitted {
  readonly jobs: WorkJob[];
  readonly refused: Set<WorkJob>;
  readonly ends: { job: WorkJob; end: JobEnd }[];
  /** What second attempts that raced the first were told. */
  readonly duplicates: AttemptEnd[];
}

async function submitJobs(
  { workload }: Chaos,
  caller: Caller,
  { endMs, seed }: { endMs: number; seed: number },
): Promise<Submitted> {
  const submitted: Submitted = {
    jobs: [],
    refused: new Set(),
    ends: [],
    duplicates: [],
  };
  const jobsOf = createWorkload(seed, `chaos${seed}`);
  const running: Promise<void>[] = [];
  while (performance.now() < endMs) {
    const job = jobsOf.nextJob();
    submitted.jobs.push(job);
    running.push(
      caller.run(job, TRIES).then((end) => {
        submitted.ends.push({ job, end });
        if (end.state === "refused") submitted.refused.add(job);
      }),
    );
    if (workload.nextUniform() < DUPLICATE_SHARE) {
      running.push(
        sleep(DUPLICATE_AFTER_MS).then(async () => {
          submitted.duplicates.push(await caller.attempt(job, { attempt: 2 }));
        }),
      );
    }
    await sleep(SUBMIT_EVERY_MS);
  }
  await Promise.all(running);
  return submitted;
}

const command = defineCommand({
  meta: { name: "chaos", description: "Promises over real processes" },
  args: {
    seed: { type: "string", default: String(DEFAULT_SEED) },
    seconds: { type: "string", default: String(DEFAULT_SECONDS) },
  },
  async run({ args }) {
    const seed = Number(args.seed);
    const fleet = await startFleet({
      portBase: PORT_BASE,
      zoneLatencyMs: 0.5,
    });
    const chaos: Chaos = {
      fleet,
      workload: createWorkload(seed, "faults"),
      faults: Object.fromEntries(
        Object.keys(faultHandlers).map((name) => [name, 0]),
      ) as Record<FaultName, number>,
      held: new Set(),
      configurationLate: 0,
      drainsCutOff: 0,
    };
    const caller = createCaller(fleet.balancerPort);
    const endMs = performance.now() + Number(args.seconds) * 1_000;
    const faults = injectFaults(chaos, endMs);
    const submitted = await submitJobs(chaos, caller, { endMs, seed });
    await faults;
    await report(chaos, submitted);
    await caller.close();
    await fleet.stop();
  },
});

async function report(
  chaos: Chaos,
  { jobs, refused, ends, duplicates }: Submitted,
): Promise<void> {
  const { fleet } = chaos;
  const tally = createTally();
  tally.jobsSubmitted = jobs.length;
  for (const { end } of ends) countEnd(tally, end);
  tally.answersCrossed += duplicates.filter((end) => end.crossed).length;
  tally.halfAnswers += duplicates.filter((end) => end.half).length;
  tally.requestsCutByDrain = chaos.drainsCutOff;
  await countStarts(fleet, tally);
  await countCrossZone(fleet, tally, { jobs, refused });
  const agreed = await agreesInTheEnd(fleet);
  const { configurationLate, faults } = chaos;
  const errors = countErrors(ends.map(({ end }) => end));
  const line = { ...tally, configurationLate, agreed, faults, errors };
  process.stdout.write(`${JSON.stringify(line)}\n`);
  const broken = isBroken(tally) || configurationLate > 0 || !agreed;
  process.exitCode = broken ? 1 : 0;
}

/** What callers were told last, by the error's name. */
function countErrors(ends: readonly JobEnd[]): Record<string, number> {
  const errors: Record<string, number> = {};
  for (const { state, error } of ends) {
    if (state === "complete") continue;
    const name = `${state} ${error}`;
    errors[name] = (errors[name] ?? 0) + 1;
  }
  return errors;
}

/** With every fault over, all instances have the newest configuration. */
async function agreesInTheEnd(fleet: Fleet): Promise<boolean> {
  const version = await fleet.newestVersion();
  const late = await fleet.lateInForce(fleet.entries, {
    version,
    withinMs: IN_FORCE_MS,
  });
  return late.length === 0;
}

await runMain(command);
