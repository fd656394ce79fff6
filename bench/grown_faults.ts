/**
 * Faults of a large fleet: connections that are reset, answers that are lost,
 * workers that only some instances reach, that come and go or restart behind a
 * partition, slow instances, and clocks that step.
 */

import type { FakeWorker } from "../standins/worker_model.ts";
import type { CallFate, World } from "./engine_world.ts";
import {
  during,
  type FaultHandler,
  pick,
  pickInstance,
  repeat,
  some,
} from "./fault_tools.ts";

/** The name of a fault; see {@linkcode grownFaultHandlers}. */
export type GrownFaultName =
  | "leaderStalls"
  | "leaderWakesSlowly"
  | "connectionResets"
  | "callerResets"
  | "answersLost"
  | "answersReset"
  | "callsLate"
  | "cutFromSome"
  | "cutOneWay"
  | "reborn"
  | "workersFlap"
  | "release"
  | "spotNotice"
  | "slowInstances"
  | "rollingRestart"
  | "clockStep"
  | "storeSlow";

/** Bounds of a pause that a leader's followers may not notice. */
const MIN_STALL_MS = 400;
const MAX_STALL_MS = 490;
/** Time for which a process is slow after a pause. */
const WAKE_MS = 120;
/** Interval between pauses of leaders. */
const STALL_INTERVAL_MS = 900;
/** Upper bound on the interval between resets of connections. */
const RESET_INTERVAL_MS = 120;
/** Share of workers and of instances that a fault concerns. */
const WORKER_SHARE = 0.15;
const INSTANCE_SHARE = 0.3;
/** Share of the calls to such a worker that fail. */
const CALL_SHARE = 0.4;
/** Interval between the steps of faults that go through the fleet. */
const STEP_MS = 400;
/** Time from the notice of a worker that is taken away to its end. */
const NOTICE_MS = 2_000;
const ABSENCE_MS = 4_000;
/** Time that each event of a slow instance takes. */
const SLOW_EVENT_MS = 0.6;
const CLOCK_STEP_MS = 2_000;
const STORE_SLOWNESS = 50;

/** A fault at a time after the first one of its row. */
export interface FaultAfter<Name> {
  readonly name: Name;
  readonly afterMs: number;
  readonly forMs: number;
}

function idsOf(workers: readonly FakeWorker[]): Set<string> {
  return new Set(workers.map(({ workerId }) => workerId));
}

function drawStallMs(world: World): number {
  return MIN_STALL_MS + (MAX_STALL_MS - MIN_STALL_MS) * world.random();
}

/** Lets a share of the calls to some workers have a fate. */
function failCalls(world: World, forMs: number, fate: CallFate): void {
  const workerIds = idsOf(some(world, world.workers, WORKER_SHARE));
  const end = world.addCallFault(({ workerId }) =>
    workerIds.has(workerId) && world.random() < CALL_SHARE ? fate : "answered"
  );
  world.queue.at(world.queue.nowMs() + forMs, end);
}

/** Cuts some workers off from the instances for which the predicate holds. */
function cutWorkers(
  world: World,
  forMs: number,
  { workers, isCutOff, isOneWay }: {
    workers: readonly FakeWorker[];
    isCutOff: (instanceId: string) => boolean;
    isOneWay: boolean;
  },
): void {
  const workerIds = idsOf(workers);
  const end = world.addCut((from, to) =>
    (workerIds.has(from) && isCutOff(to)) ||
    (!isOneWay && workerIds.has(to) && isCutOff(from))
  );
  world.queue.at(world.queue.nowMs() + forMs, end);
}

function cutFromSome(world: World, forMs: number, isOneWay: boolean): void {
  const instanceIds = new Set(
    some(world, world.instances, INSTANCE_SHARE)
      .map(({ instanceId }) => instanceId),
  );
  cutWorkers(world, forMs, {
    workers: some(world, world.workers, WORKER_SHARE),
    isCutOff: (instanceId) => instanceIds.has(instanceId),
    isOneWay,
  });
}

/** Restarts a worker, unless another fault has done so. */
function revive(world: World, worker: FakeWorker): void {
  if (!worker.alive) worker.restart(world.queue.nowMs());
}

/** Injects each fault for the given time. */
export const grownFaultHandlers: Record<GrownFaultName, FaultHandler> = {
  leaderStalls: (world, forMs) =>
    repeat(world, { forMs, intervalMs: STALL_INTERVAL_MS }, () => {
      const leaders = world.leaders();
      if (leaders.length === 0) return;
      world.pause(pick(world, leaders), drawStallMs(world));
    }),
  leaderWakesSlowly: (world, forMs) =>
    repeat(world, { forMs, intervalMs: STALL_INTERVAL_MS }, () => {
      const leaders = world.leaders();
      if (leaders.length === 0) return;
      const leader = pick(world, leaders);
      const { queue } = world;
      const stallMs = drawStallMs(world);
      world.pause(leader, stallMs);
      world.setEventMs(leader, SLOW_EVENT_MS);
      // The peers connect again while the process is paused.
      queue.at(
        queue.nowMs() + stallMs * world.random(),
        () => world.resetConnections(leader),
      );
      queue.at(
        queue.nowMs() + stallMs + WAKE_MS,
        () => world.setEventMs(leader, 0),
      );
    }),
  connectionResets: (world, forMs) =>
    repeat(
      world,
      { forMs, intervalMs: RESET_INTERVAL_MS },
      () => world.resetConnections(pickInstance(world)),
    ),
  callerResets: (world, forMs) =>
    repeat(world, { forMs, intervalMs: RESET_INTERVAL_MS }, () => {
      const entryId = pickInstance(world);
      for (const record of world.jobs.values()) {
        if (record.entryId !== entryId || record.outcome !== null) continue;
        if (record.kind.guarantee !== undefined) continue;
        if (world.random() < CALL_SHARE) world.disconnectCaller(record);
      }
    }),
  answersLost: (world, forMs) => failCalls(world, forMs, "answerLost"),
  answersReset: (world, forMs) => failCalls(world, forMs, "reset"),
  callsLate: (world, forMs) => failCalls(world, forMs, "late"),
  cutFromSome: (world, forMs) => cutFromSome(world, forMs, false),
  cutOneWay: (world, forMs) => cutFromSome(world, forMs, true),
  reborn: (world, forMs) => {
    const workers = some(world, world.workers, WORKER_SHARE);
    cutWorkers(world, forMs, {
      workers,
      isCutOff: () => true,
      isOneWay: false,
    });
    for (const worker of workers) {
      const atMs = world.queue.nowMs() + forMs * world.random();
      world.queue.at(atMs, () => worker.restart(world.queue.nowMs()));
    }
  },
  workersFlap: (world, forMs) => {
    const workers = some(world, world.workers, WORKER_SHARE);
    repeat(world, { forMs, intervalMs: STEP_MS }, () => {
      for (const worker of workers) {
        if (worker.alive) worker.crash();
        else revive(world, worker);
      }
    });
    const endMs = world.queue.nowMs() + forMs + STEP_MS;
    world.queue.at(endMs, () => {
      for (const worker of workers) revive(world, worker);
    });
  },
  release: (world, forMs) => {
    const workers = some(world, world.workers, INSTANCE_SHARE);
    repeat(world, { forMs, intervalMs: STEP_MS }, () => {
      const worker = workers.pop();
      if (worker !== undefined) takeAway(world, worker);
    });
  },
  spotNotice: (world) => {
    for (const worker of some(world, world.workers, WORKER_SHARE)) {
      takeAway(world, worker);
    }
  },
  slowInstances: (world, forMs) => {
    const instanceIds = [pickInstance(world), pickInstance(world)];
    for (const instanceId of instanceIds) {
      during(world, forMs, {
        begin: () => world.setEventMs(instanceId, SLOW_EVENT_MS),
        end: () => world.setEventMs(instanceId, 0),
      });
    }
  },
  rollingRestart: (world) => {
    for (const [index, { instanceId }] of world.instances.entries()) {
      const atMs = world.queue.nowMs() + STEP_MS * index;
      world.queue.at(atMs, () => world.drain(instanceId));
      world.queue.at(atMs + 2_500, () => world.kill(instanceId, STEP_MS));
    }
  },
  clockStep: (world, forMs) => {
    for (const { instanceId } of some(world, world.instances, INSTANCE_SHARE)) {
      const byMs = world.random() < 0.5 ? CLOCK_STEP_MS : -CLOCK_STEP_MS;
      during(world, forMs, {
        begin: () => world.stepClock(instanceId, byMs),
        end: () => world.stepClock(instanceId, -byMs),
      });
    }
  },
  storeSlow: (world, forMs) =>
    during(world, forMs, {
      begin: () => world.setStoreSlowness(STORE_SLOWNESS),
      end: () => world.setStoreSlowness(1),
    }),
};

/** Gives a worker notice, ends it, and starts it again after a while. */
function takeAway(world: World, worker: FakeWorker): void {
  const { queue } = world;
  worker.draining = true;
  queue.at(queue.nowMs() + NOTICE_MS, () => {
    worker.crash();
    world.setListed([worker], false);
  });
  queue.at(queue.nowMs() + NOTICE_MS + ABSENCE_MS, () => {
    worker.draining = false;
    revive(world, worker);
    world.setListed([worker], true);
  });
}

/** Names of the faults that can be in a row of `grownRows`. */
type RowFault = FaultAfter<GrownFaultName | "leaderKill">;

/** Rows of faults that overlap; each run has one. */
export const grownRows: readonly (readonly RowFault[])[] = [
  [
    { name: "leaderStalls", afterMs: 0, forMs: 6_000 },
    { name: "connectionResets", afterMs: 0, forMs: 6_000 },
  ],
  [
    { name: "leaderWakesSlowly", afterMs: 0, forMs: 9_000 },
    { name: "answersLost", afterMs: 0, forMs: 9_000 },
  ],
  [
    { name: "answersReset", afterMs: 0, forMs: 6_000 },
    { name: "leaderStalls", afterMs: 500, forMs: 5_000 },
    { name: "callerResets", afterMs: 500, forMs: 5_000 },
  ],
  [
    { name: "answersLost", afterMs: 0, forMs: 7_000 },
    { name: "slowInstances", afterMs: 0, forMs: 7_000 },
    { name: "connectionResets", afterMs: 1_000, forMs: 4_000 },
  ],
  [
    { name: "cutFromSome", afterMs: 0, forMs: 4_000 },
    { name: "leaderKill", afterMs: 700, forMs: 0 },
    { name: "callerResets", afterMs: 0, forMs: 5_000 },
  ],
  [
    { name: "cutOneWay", afterMs: 0, forMs: 4_000 },
    { name: "leaderStalls", afterMs: 300, forMs: 4_000 },
    { name: "connectionResets", afterMs: 300, forMs: 4_000 },
  ],
  [
    { name: "reborn", afterMs: 0, forMs: 3_000 },
    { name: "callsLate", afterMs: 0, forMs: 5_000 },
    { name: "leaderKill", afterMs: 2_000, forMs: 0 },
  ],
  [
    { name: "workersFlap", afterMs: 0, forMs: 5_000 },
    { name: "connectionResets", afterMs: 500, forMs: 4_000 },
    { name: "callerResets", afterMs: 500, forMs: 4_000 },
  ],
  [
    { name: "release", afterMs: 0, forMs: 8_000 },
    { name: "rollingRestart", afterMs: 1_000, forMs: 0 },
    { name: "callerResets", afterMs: 0, forMs: 8_000 },
  ],
  [
    { name: "spotNotice", afterMs: 0, forMs: 0 },
    { name: "clockStep", afterMs: 500, forMs: 4_000 },
    { name: "leaderStalls", afterMs: 1_500, forMs: 4_000 },
    { name: "callerResets", afterMs: 1_500, forMs: 4_000 },
  ],
  [
    { name: "storeSlow", afterMs: 0, forMs: 5_000 },
    { name: "answersLost", afterMs: 0, forMs: 5_000 },
    { name: "callsLate", afterMs: 0, forMs: 5_000 },
    { name: "leaderKill", afterMs: 1_500, forMs: 0 },
  ],
];
