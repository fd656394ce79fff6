/** Helpers for tests of the engine: an instance, peers, workers and jobs. */

import { createEngine, reduce } from "./reduce.ts";
import type {
  Configuration,
  InstanceInfo,
  JobRecord,
  JobSpec,
  PeerMessage,
  PeerMessageOf,
  PreviousListReport,
  QueueRule,
  WorkerInfo,
} from "./schemas.ts";
import type {
  Effect,
  EngineEvent,
  EngineState,
  Job,
  OwnedWorker,
  RunningRow,
  RunOutcome,
  StoredRecord,
} from "./types.ts";

type EffectWithStart = Extract<Effect, { type: "startTask" }>;

/** Base of the wall clock in tests, in Unix milliseconds. */
export const TEST_WALL_MS = 1_700_000_000_000;

/**
 * Stands in a submission for the list of the leader that receives it: the
 * leader before started tasks by the same list.
 */
export const SAME_LIST: PreviousListReport = {
  kind: "known",
  digest: "the list of the recipient",
};

/** The queue of {@linkcode testConfiguration}. */
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

/** A configuration with one queue and one service. */
export const testConfiguration: Configuration = {
  version: 1,
  queues: [testQueue],
  services: [{ name: "s", healthPath: "/healthz", guardsCapacity: false }],
  maxBodyBytes: 1e6,
  maxHeaderBytes: 1e5,
  idleTimeoutMs: 15_000,
};

/** Returns a worker of 32 cores, which has room for two tasks of `testJob`. */
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

/** Returns a job of `count` tasks of 14 cores and 100 ms each. */
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

/** Returns an instance of the zone `poa`, started 60 s before the base time. */
export function testInstanceInfo(instanceId: string): InstanceInfo {
  return {
    instanceId,
    availabilityZone: "poa",
    region: "sul",
    address: `${instanceId}:1`,
    bornMs: TEST_WALL_MS - 60_000,
  };
}

/** An instance to which a test applies events; each returns its effects. */
export interface TestInstance {
  readonly state: EngineState;
  /** Advances the monotonic clock by `ms`, then applies an event. */
  readonly after: (ms: number, event: TestEvent) => Effect[];
  /** Advances the clocks by `ms`, then applies a tick. */
  readonly tick: (ms?: number) => Effect[];
  /** Applies a message from a peer. */
  readonly receive: (from: string, message: PeerMessage) => Effect[];
  /** Completes the latest poll of a worker, which answers with `lists`. */
  readonly completePoll: (
    workerId: string,
    lists?: {
      running?: RunningRow[];
      finished?: [string, RunOutcome][];
      /** How long ago the worker answered. */
      delayMs?: number;
      /** Start time of the worker's incarnation, 1 if it never restarted. */
      bornMs?: number;
    },
  ) => Effect[];
  /** The worker acknowledges a start. */
  readonly acknowledgeStart: (start: EffectWithStart) => Effect[];
}

/** An event without its time. */
export type TestEvent = EngineEvent extends infer E
  ? E extends EngineEvent ? Omit<E, "nowMs"> : never
  : never;

/**
 * Creates an instance, by default with the id `self`, which has a configuration
 * and is connected to the given peers.
 */
export function createTestInstance(
  { peers = [], self = testInstanceInfo("self"), evacuateMs }: {
    peers?: readonly string[];
    self?: InstanceInfo;
    evacuateMs?: number | undefined;
  } = {},
): TestInstance {
  let nowMs = 10_000;
  const state = createEngine({
    self,
    leaseMs: 1_000,
    stopMs: 50,
    evacuateMs,
    nowMs,
    wallMs: TEST_WALL_MS,
  });

  // As if a previous leader had found that no job records exist.
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
    receive(from, message) {
      const isSameList = message.type === "submit" &&
        message.previousList === SAME_LIST;
      const previousList = { kind: "known" as const, digest: state.listDigest };
      const received = isSameList ? { ...message, previousList } : message;
      return after(0, { type: "peerMessage", from, message: received });
    },
    completePoll(
      workerId,
      { running = [], finished = [], delayMs = 0, bornMs = 1 } = {},
    ) {
      const worker = state.scheduler?.workers.get(workerId);
      return after(1, {
        type: "pollCompleted",
        workerId,
        callId: worker?.pollCallId ?? 0,
        outcome: {
          kind: "held",
          clockMs: nowMs - delayMs,
          bornMs,
          running,
          finished: finished.map(([taskName, end], index) => ({
            sequence: (worker?.processedSequence ?? 0) + index + 1,
            taskName,
            run: latestRun(worker, taskName),
            end,
          })),
        },
      });
    },
    acknowledgeStart({ workerId, taskName, run, fence }) {
      return after(1, {
        type: "startCompleted",
        workerId,
        taskName,
        run,
        fence,
        outcome: { kind: "started", clockMs: nowMs },
      });
    },
  };
  const instances = peers.map(testInstanceInfo);
  after(0, { type: "configurationRead", configuration: testConfiguration });
  after(0, { type: "instancesRead", instances });
  for (const instanceId of peers) after(0, { type: "peerUp", instanceId });
  return instance;
}

/** Number of the latest run of a task that is known on a worker, 1 if none is. */
function latestRun(worker: OwnedWorker | undefined, taskName: string): number {
  const runs = [...worker?.runs.values() ?? []];
  const own = runs.filter((run) => run.taskName === taskName);
  return Math.max(1, ...own.map(({ run }) => run));
}

/** Returns the submission of a job by the entry `p`. */
export function testSubmission(
  fields: Partial<PeerMessageOf<"submit">> & { readonly jobId: string },
): PeerMessageOf<"submit"> {
  return {
    type: "submit",
    submissionId: `p.${fields.jobId}`,
    queue: testQueue,
    configurationVersion: -1,
    job: testJob(1),
    availabilityZone: "poa",
    ageMs: 0,
    timeLeftMs: 6_000,
    resubmitted: false,
    leftCell: false,
    previousList: SAME_LIST,
    answerAt: "ended",
    doneTasks: [],
    ...fields,
  };
}

/** Returns a heartbeat, by default of a peer that knows no leader. */
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
    listDigest: null,
    previousList: { kind: "none" },
    recordsExist: false,
    hasZoneCells: false,
    holdsRecords: false,
    waitMsByService: {},
    configurationVersion: 1,
    ...fields,
  };
}

/** Creates an instance that is the leader and owns the workers `w1` and `w2`. */
export function createTestLeader(): TestInstance {
  const instance = createTestInstance();
  const workers = [testWorker("w1"), testWorker("w2")];
  instance.after(0, { type: "workersRead", workers });
  instance.tick(1_000);
  instance.tick();
  for (const { workerId } of workers) instance.completePoll(workerId);
  instance.tick(100);
  return instance;
}

/** Returns the record of a job without progress; version 7 of its row. */
export function testStoredRecord(
  fields: Partial<JobRecord> & { readonly jobId: string },
): StoredRecord {
  const record: JobRecord = {
    queue: testQueue,
    job: { ...testJob(1), isRecorded: true },
    acceptedAtMs: 0,
    outcome: null,
    endedAtMs: 0,
    done: [],
    failures: {},
    results: {},
    ...fields,
  };
  return { record, version: 7 };
}

/** The leader reads all records under its term. */
export function openRecords(
  leader: TestInstance,
  records: readonly StoredRecord[] = [],
): Effect[] {
  return leader.after(5, {
    type: "recordsOpened",
    term: leader.state.leaderTerm,
    outcome: { kind: "opened", records },
  });
}

/** Creates a leader that has read all records and has been one for a while. */
export function createRecordsLeader(): TestInstance {
  const leader = createTestLeader();
  openRecords(leader);
  leader.tick(2_000);
  return leader;
}

/**
 * Completes the writes of records among the effects of a leader's events;
 * returns the effects that follow.
 */
export function confirmWrites(
  leader: TestInstance,
  effects: readonly Effect[],
): Effect[] {
  return effectsOf(effects, "writeRecords").flatMap(({ writeId }) =>
    leader.after(1, {
      type: "recordsWritten",
      writeId,
      outcome: { kind: "written", version: 9 },
    })
  );
}

/** Completes the polls among the effects; returns the effects that follow. */
export function answerPolls(
  leader: TestInstance,
  effects: readonly Effect[],
): Effect[] {
  return effectsOf(effects, "hold").flatMap(({ workerId }) =>
    leader.completePoll(workerId)
  );
}

/** Returns the effects of one type. */
export function effectsOf<T extends Effect["type"]>(
  effects: readonly Effect[],
  type: T,
): Extract<Effect, { type: T }>[] {
  return effects.filter((effect): effect is Extract<Effect, { type: T }> =>
    effect.type === type
  );
}

/** Returns the messages to peers of one type. */
export function messagesOf<T extends PeerMessage["type"]>(
  effects: readonly Effect[],
  type: T,
): PeerMessageOf<T>[] {
  return effectsOf(effects, "sendPeer").map(({ message }) => message)
    .filter((message): message is PeerMessageOf<T> => message.type === type);
}

function failingGetter(target: object, name: string): void {
  Object.defineProperty(target, name, {
    configurable: true,
    get() {
      throw new TypeError(`${name} is broken`);
    },
  });
}

/** A way in which the state of one job is damaged. */
export interface JobDamage {
  /** The stage in which the damage has an effect, and the damage. */
  readonly name: string;
  readonly job?: JobSpec;
  /** The job must be waiting for a worker. */
  readonly isWaiting?: boolean;
  readonly damage: (job: Job) => void;
}

/** Damages of jobs, to test that the fault of one job affects no other. */
export const jobDamages: readonly JobDamage[] = [
  {
    name: "admission: its deadline can't be read",
    damage: (job) => failingGetter(job, "deadlineAtMs"),
  },
  {
    name: "admission: the demand of a waiting task is missing",
    isWaiting: true,
    damage: ({ tasks }) => {
      for (const task of tasks) failingGetter(task, "demand");
    },
  },
  {
    name: "placement: it waits though its record is not persisted",
    isWaiting: true,
    job: { ...testJob(1), isRecorded: true },
    damage: ({ record }) => {
      if (record !== null) record.accepted = false;
    },
  },
  {
    name: "placement: an at-most-once task may have started",
    isWaiting: true,
    damage: (job) => {
      Object.assign(job, { spec: { ...job.spec, isAtMostOnce: true } });
      for (const task of job.tasks) failingGetter(task, "mayHaveStarted");
    },
  },
  {
    name: "completion: fewer tasks are counted as unfinished than are",
    job: testJob(2),
    damage: (job) => job.unfinished = 1,
  },
  {
    name: "completion: its steps are missing",
    job: { ...testJob(1), steps: [...testJob(1).steps, ...testJob(1).steps] },
    damage: (job) => failingGetter(job, "steps"),
  },
  {
    name: "persisting: its record can't be written",
    job: { ...testJob(1), isRecorded: true },
    damage: (job) => failingGetter(job, "spec"),
  },
];
