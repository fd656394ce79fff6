/**
 * Measures placement and admission with real processes on loopback. Prints one
 * line of JSON for each scenario.
 */

import { defineCommand, runMain } from "citty";
import { type Scenario, scenarios } from "./bench_scenarios.ts";
import { type Caller, createCaller } from "./caller.ts";
import { callControl } from "./control.ts";
import { type Fleet, OPERATOR_KEY, startFleet } from "./fleet.ts";
import { type LoadResult, ratioAt, runLoad } from "./load.ts";
import { createWorkload } from "./workload.ts";

const DEFAULT_SECONDS = 8;
const DEFAULT_SEED = 1;
/** Duration of the unmeasured load from which leaders learn usual demand. */
const WARMUP_MS = 4_000;
/** Deadline of every job, which bounds the time until its outcome. */
const DEADLINE_MS = 8_000;
const CONNECTIONS_PER_INSTANCE = 200;
const PORT_BASE = 30_000;

interface StateDump {
  readonly counters: Record<string, number>;
  readonly measures: {
    readonly cpuMs: number;
    readonly rssMb: number;
    readonly peerTraffic: { sent: number };
  };
}

async function fetchDumps(fleet: Fleet): Promise<StateDump[]> {
  const options = { method: "GET", key: OPERATOR_KEY };
  return await Promise.all(
    fleet.entries.map((entry) =>
      callControl<StateDump>(entry.adminPort, "/v1/state", options)
    ),
  );
}

/** Returns the increase of a counter, summed over all instances. */
function counterDelta(
  before: StateDump[],
  after: StateDump[],
  name: string,
): number {
  const sum = (all: StateDump[]) =>
    all.reduce((total, dump) => total + (dump.counters[name] ?? 0), 0);
  return sum(after) - sum(before);
}

function cpuDeltaMs(before: StateDump[], after: StateDump[]): number {
  const sum = (all: StateDump[]) =>
    all.reduce((total, dump) => total + dump.measures.cpuMs, 0);
  return sum(after) - sum(before);
}

function round(value: number, digits = 4): number {
  const scale = 10 ** digits;
  return Math.round(value * scale) / scale;
}

/**
 * Returns the lowest ratio, over all kinds but the flooding one, of the on-time
 * share in the second window to that in the first, at most 1.
 */
function protectionOf(
  { windows }: LoadResult,
  floodingKind: string | null,
): number {
  const [before, during] = windows;
  let lowest = 1;
  for (const [kind, baseline] of before ?? []) {
    if (kind === floodingKind || baseline.onTime === 0) continue;
    const current = during?.get(kind);
    if (current === undefined || current.submitted === 0) continue;
    const retained = (current.onTime / current.submitted) /
      (baseline.onTime / baseline.submitted);
    lowest = Math.min(lowest, retained);
  }
  return round(lowest, 3);
}

async function roundTripMs(fleet: Fleet): Promise<number> {
  const times: number[] = [];
  for (let index = 0; index < 50; index += 1) {
    const startMs = performance.now();
    const port = fleet.entries[index % fleet.entries.length]?.callerPort;
    await fetch(`http://127.0.0.1:${port}/ready`);
    times.push(performance.now() - startMs);
  }
  times.sort((a, b) => a - b);
  return times[Math.floor(times.length / 2)] ?? 1;
}

interface MeasureOptions {
  readonly fleet: Fleet;
  readonly callers: readonly Caller[];
  readonly scenario: Scenario;
  readonly seed: number;
  readonly seconds: number;
}

async function measure(options: MeasureOptions): Promise<object> {
  const { fleet, callers, scenario, seed, seconds } = options;
  const durationMs = seconds * 1_000;
  const common = {
    callers,
    deadlineMs: DEADLINE_MS,
    roundTripMs: await roundTripMs(fleet),
    excludedKinds: new Set(
      scenario.floodingKind === null ? [] : [scenario.floodingKind],
    ),
  };
  const baselineStreams = scenario.streams(durationMs, { flood: false });
  await runLoad({
    ...common,
    workload: createWorkload(seed + 1, "warm"),
    streams: baselineStreams,
    durationMs: WARMUP_MS,
    windowEndsMs: [],
  });
  const before = await fetchDumps(fleet);
  const fault = scenario.fault(fleet, durationMs);
  const result = await runLoad({
    ...common,
    workload: createWorkload(seed, scenario.name),
    streams: scenario.streams(durationMs, { flood: true }),
    durationMs,
    windowEndsMs: [durationMs / 3, durationMs],
  });
  await fault;
  const after = await fetchDumps(fleet);
  const tasks = Math.max(1, result.tasksDone);
  const started = counterDelta(before, after, "tasksStarted");
  const wasted = started - result.tasksDone;
  // The metric `holds` counts polls of workers.
  const messages = started + counterDelta(before, after, "holds") +
    counterDelta(before, after, "peerMessages");
  return {
    scenario: scenario.name,
    load: scenario.load,
    jobs: result.jobs,
    ratioP50: ratioAt(result, 50),
    ratioP99: ratioAt(result, 99),
    ratioP999: ratioAt(result, 99.9),
    wastedPerTask: round(wasted / tasks),
    messagesPerTask: round(messages / tasks, 3),
    protection: protectionOf(result, scenario.floodingKind),
    refusedNotRun: result.refused,
    failed: result.failed,
    unknown: result.unknown,
    entryCpuMsPerTask: round(cpuDeltaMs(before, after) / tasks, 3),
    entryRssMb: Math.max(...after.map((dump) => dump.measures.rssMb)),
    seed,
  };
}

const command = defineCommand({
  meta: {
    name: "bench",
    description: "Measure placement and admission on loopback",
  },
  args: {
    seed: { type: "string", default: String(DEFAULT_SEED) },
    seconds: { type: "string", default: String(DEFAULT_SECONDS) },
    scenario: { type: "string", description: "Scenario to run; default: all" },
  },
  async run({ args }) {
    const selected = args.scenario === undefined
      ? Object.values(scenarios)
      : [scenarios[args.scenario]];
    if (selected.includes(undefined)) {
      process.stderr.write(
        `unknown scenario; known: ${Object.keys(scenarios).join(", ")}\n`,
      );
      process.exitCode = 2;
      return;
    }
    for (const scenario of selected) {
      if (scenario !== undefined) await runScenario(scenario, args);
    }
  },
});

interface Bench {
  readonly fleet: Fleet;
  readonly callers: readonly Caller[];
}

async function startBench(): Promise<Bench> {
  const fleet = await startFleet({
    portBase: PORT_BASE,
    services: ["oficina"],
    zoneLatencyMs: 0.5,
  });
  const callers = fleet.entries.map((entry) =>
    createCaller(entry.callerPort, { connections: CONNECTIONS_PER_INSTANCE })
  );
  // The benchmark does not read the starts that the workers would record.
  for (const port of fleet.workerPorts.values()) {
    await callControl(port, "/record", { body: { record: false } });
  }
  return { fleet, callers };
}

async function stopBench({ fleet, callers }: Bench): Promise<void> {
  await Promise.all(callers.map((caller) => caller.close()));
  await fleet.kill();
}

async function runScenario(
  scenario: Scenario,
  { seed, seconds }: { seed: string; seconds: string },
): Promise<void> {
  // Each scenario starts its own fleet, because a flood leaves work queued.
  const bench = await startBench();
  const line = await measure({
    ...bench,
    scenario,
    seed: Number(seed),
    seconds: Number(seconds),
  });
  process.stdout.write(`${JSON.stringify(line)}\n`);
  await stopBench(bench);
}

await runMain(command);
