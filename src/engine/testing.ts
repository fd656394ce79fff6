/** What tests of the engine share: an instance, peers and workers. */

import { createEngine, reduce } from "./reduce.ts";
import type {
  Configuration,
  InstanceInfo,
  JobSpec,
  PeerMessage,
  PeerMessageOf,
  QueueRule,
  WorkerInfo,
} from "./schemas.ts";
import type { Effect, EngineEvent, EngineState, RunningRow } from "./types.ts";

/** A wall clock for tests. */
export const TEST_WALL_MS = 1_700_000_000_000;

/** A queue for tests. */
export const testQueue: QueueRule = {
  name: "quotes",
  host: "a.example",
  pathPrefix: "/quotes/",
  service: "s",
  priority: 0,
  attempts: 3,
  stretch: 1.6,
  objectiveMs: 60,
  timeoutMs: 6_000,
};

/** A configuration for tests. */
export const testConfiguration: Configuration = {
  version: 1,
  queues: [testQueue],
  services: [{ name: "s", healthPath: "/healthz", guardsCapacity: false }],
  maxBodyBytes: 1e6,
  maxHeaderBytes: 1e5,
  idleTimeoutMs: 15_000,
};

/** A worker of 32 cores. */
export function testWorker(workerId: string): WorkerInfo {
  return {
    workerId,
    service: "s",
    availabilityZone: "poa",
    address: `${workerId}:1`,
    cpuMilli: 32_000,
    memoryMb: 1_000,
    accelerators: 0,
    labels: [],
    draining: false,
    bornMs: 1,
  };
}

/** A job of some tasks of 14 cores and 100 ms. */
export function testJob(count: number): JobSpec {
  const step = {
    count,
    cpuMilli: 14_000,
    memoryMb: 64,
    accelerators: 0,
    estimatedMs: 100,
    after: [],
  };
  return { spec: "text", steps: [step] };
}

/** An instance of a zone. */
export function testInstance(instanceId: string): InstanceInfo {
  return {
    instanceId,
    availabilityZone: "poa",
    region: "sul",
    address: `${instanceId}:1`,
    bornMs: TEST_WALL_MS - 60_000,
  };
}

/** Feeds one instance with events and keeps the effects. */
export interface TestInstance {
  readonly state: EngineState;
  /** Applies an event after so many milliseconds. */
  readonly after: (ms: number, event: TestEvent) => Effect[];
  readonly tick: (ms?: number) => Effect[];
  readonly hear: (from: string, message: PeerMessage) => Effect[];
  /** A worker answers its last hold. */
  readonly held: (
    workerId: string,
    lists?: { running?: RunningRow[]; finished?: [string, "done"][] },
  ) => Effect[];
}

/** An event without its time. */
export type TestEvent = EngineEvent extends infer E
  ? E extends EngineEvent ? Omit<E, "nowMs"> : never
  : never;

/** Creates an instance named `self` that knows a configuration. */
export function createTestInstance(
  { peers = [] }: { peers?: readonly string[] } = {},
): TestInstance {
  let nowMs = 10_000;
  const state = createEngine({
    self: testInstance("self"),
    leaseMs: 1_000,
    stopMs: 50,
    nowMs,
    wallMs: TEST_WALL_MS,
  });

  // A leader before found that no records exist.
  state.recordsExist = false;

  function after(ms: number, event: TestEvent): Effect[] {
    nowMs += ms;
    return reduce(state, { ...event, nowMs } as EngineEvent);
  }

  const instance: TestInstance = {
    state,
    after,
    tick: (ms = 25) =>
      after(ms, { type: "tick", wallMs: TEST_WALL_MS + nowMs }),
    hear: (from, message) => after(0, { type: "peerMessage", from, message }),
    held(workerId, { running = [], finished = [] } = {}) {
      const worker = state.scheduler?.workers.get(workerId);
      return after(1, {
        type: "holdEnded",
        workerId,
        callId: worker?.pollCallId ?? 0,
        outcome: {
          kind: "held",
          clockMs: nowMs,
          bornMs: 1,
          running,
          finished: finished.map(([taskName, end], index) => ({
            sequence: (worker?.processedSequence ?? 0) + index + 1,
            taskName,
            run: 1,
            end,
          })),
        },
      });
    },
  };
  const instances = peers.map(testInstance);
  after(0, { type: "configurationRead", configuration: testConfiguration });
  after(0, { type: "instancesRead", instances });
  for (const instanceId of peers) after(0, { type: "peerUp", instanceId });
  return instance;
}

/** A heartbeat of a peer. */
export function testHeartbeat(
  fields: Partial<PeerMessageOf<"heartbeat">> = {},
): PeerMessageOf<"heartbeat"> {
  return {
    type: "heartbeat",
    bornMs: TEST_WALL_MS - 60_000,
    sentAtMs: 0,
    draining: false,
    isLeader: false,
    provisional: false,
    term: 0,
    leaderId: null,
    maxTermSeen: 0,
    workersAgeMs: 0,
    recordsExist: false,
    hasZoneCells: false,
    holdsRecords: false,
    waitMsByService: {},
    configurationVersion: 1,
    ...fields,
  };
}

/** An instance that leads and holds two workers. */
export function createTestLeader(): TestInstance {
  const instance = createTestInstance();
  const workers = [testWorker("w1"), testWorker("w2")];
  instance.after(0, { type: "workersRead", workers });
  instance.tick(1_000);
  instance.tick();
  for (const { workerId } of workers) instance.held(workerId);
  instance.tick(100);
  return instance;
}

/** The effects of one type. */
export function effectsOf<T extends Effect["type"]>(
  effects: readonly Effect[],
  type: T,
): Extract<Effect, { type: T }>[] {
  return effects.filter((effect): effect is Extract<Effect, { type: T }> =>
    effect.type === type
  );
}
