/** Benchmark scenarios: the arriving load and the fault injected meanwhile. */

import { sleep } from "../standins/http_service.ts";
import { callControl } from "./control.ts";
import type { Fleet } from "./fleet.ts";
import type { ArrivalStream } from "./load.ts";
import {
  meanJobTasks,
  meanRunMs,
  type WorkKind,
  workKinds,
} from "./workload.ts";

/** Slots of the whole fleet: 30 workers with 8 slots each. */
const FLEET_SLOTS = 240;
/** Work submitted by a flood, as a multiple of the fleet's slots. */
const FLOOD_FACTOR = 10;
/** Fraction of the run after which a flood starts. */
const FLOOD_START = 1 / 3;
/**
 * Index, in each of the three zones, of the worker that fails every task: a
 * tenth of the 30 workers.
 */
const FAILING_WORKER_INDEX = 3;

/** A benchmark scenario. */
export interface Scenario {
  readonly name: string;
  /** Share of all slots that the usual load keeps busy. */
  readonly load: number;
  /** The kind of work that floods, or null if none does. */
  readonly floodingKind: string | null;
  readonly streams: (
    durationMs: number,
    options: { flood: boolean },
  ) => ArrivalStream[];
  /** Injects a fault during the run and removes it again. */
  readonly fault: (fleet: Fleet, durationMs: number) => Promise<void>;
}

const kinds = workKinds.filter((work) => work.service === "oficina");

/** Returns the jobs per second of a kind that keep a share of all slots busy. */
function rateFor(work: WorkKind, load: number): number {
  const slotSecondsPerJob = meanJobTasks() * meanRunMs(work.meanMs) / 1_000;
  return FLEET_SLOTS * load / slotSecondsPerJob;
}

function steadyStreams(load: number): ArrivalStream[] {
  return kinds.map((work) => ({
    work,
    rateAt: () => rateFor(work, load / kinds.length),
  }));
}

/**
 * Returns streams whose load peaks in the middle third of the run, as after a
 * clock change, when the daily peak comes an hour before it is expected.
 */
function peakStreams(durationMs: number): ArrivalStream[] {
  return kinds.map((work) => ({
    work,
    rateAt(elapsedMs: number) {
      const progress = elapsedMs / durationMs;
      const load = progress > 1 / 3 && progress < 2 / 3 ? 0.9 : 0.5;
      return rateFor(work, load / kinds.length);
    },
  }));
}

async function noFault(): Promise<void> {}

/** Returns a fault that is active in the middle third of the run. */
function duringMiddleThird(
  setFault: (fleet: Fleet, active: boolean) => Promise<unknown>,
): Scenario["fault"] {
  return async (fleet, durationMs) => {
    await sleep(durationMs / 3);
    await setFault(fleet, true);
    await sleep(durationMs / 3);
    await setFault(fleet, false);
  };
}

function steadyScenario(
  name: string,
  load: number,
  fault: Scenario["fault"] = noFault,
): Scenario {
  return {
    name,
    load,
    floodingKind: null,
    streams: () => steadyStreams(load),
    fault,
  };
}

function floodScenario(name: string, kind: string): Scenario {
  const load = 0.6;
  return {
    name,
    load,
    floodingKind: kind,
    streams: (durationMs, { flood }) =>
      steadyStreams(load).map((stream) => {
        if (stream.work.kind !== kind || !flood) return stream;
        const baseRateAt = stream.rateAt;
        const floodRate = rateFor(stream.work, FLOOD_FACTOR);
        const rateAt = (elapsedMs: number) =>
          elapsedMs >= durationMs * FLOOD_START
            ? floodRate
            : baseRateAt(elapsedMs);
        return { work: stream.work, rateAt };
      }),
    fault: noFault,
  };
}

async function setWorkersFailing(
  fleet: Fleet,
  failing: boolean,
): Promise<void> {
  for (const port of fleet.workerPorts.values()) {
    const body = { worker: FAILING_WORKER_INDEX, failsAll: failing };
    await callControl(port, "/set", { body });
  }
}

async function setZonePartitioned(
  fleet: Fleet,
  partitioned: boolean,
): Promise<void> {
  const [zone, ...others] = fleet.zones;
  const labels = others.flatMap((other) => [
    `${zone}-${other}`,
    `${other}-${zone}`,
  ]);
  await callControl(fleet.linkPort, "/", {
    body: { cut: partitioned ? labels : [] },
  });
}

async function setStoreDown(fleet: Fleet, down: boolean): Promise<void> {
  const body = { down };
  await callControl(fleet.storePort, "/control/knobs", { body });
}

/** All scenarios by name. */
export const scenarios: Record<string, Scenario> = {
  steady: steadyScenario("steady", 0.8),
  clockchange: {
    ...steadyScenario("clockchange", 0.9),
    streams: (durationMs) => peakStreams(durationMs),
  },
  "flood-low": floodScenario("flood-low", "stock"),
  "flood-high": floodScenario("flood-high", "courier"),
  badworker: steadyScenario(
    "badworker",
    0.6,
    duringMiddleThird(setWorkersFailing),
  ),
  zonecut: steadyScenario(
    "zonecut",
    0.6,
    duringMiddleThird(setZonePartitioned),
  ),
  storedown: steadyScenario("storedown", 0.6, duringMiddleThird(setStoreDown)),
};
