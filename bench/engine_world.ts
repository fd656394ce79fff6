/**
 * Instances of the real engine over fake workers, a fake store and a fake
 * network, in simulated time. It carries out effects, injects faults and
 * checks promises from what workers ran and what callers were told.
 */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { createEngine, reduce } from "../src/engine/reduce.ts";
import type {
  Configuration,
  JobQuery,
  JobSpec,
  QueueRule,
  Reply,
} from "../src/engine/schemas.ts";
import type {
  CallerReply,
  Effect,
  EngineEvent,
  EngineState,
  Guards,
  JobOutcome,
} from "../src/engine/types.ts";
import { InvariantError } from "../src/engine/debug.ts";
import type { EffectOf, StoreHost } from "../src/instance/hosts.ts";
import {
  createRecordStore,
  type RecordStore,
} from "../src/instance/record_store.ts";
import { createFakeStore } from "../src/host/fake_store.ts";
import { createEventQueue, type EventQueue } from "./event_queue.ts";
import {
  createFakeWorker,
  type FakeWorker,
  type SimulatedRun,
  type SimulatedTask,
} from "../standins/worker_model.ts";

const TICK_MS = 25;
const READ_WORKERS_MS = 700;
const LEASE_MS = 1_000;
const STOP_MS = 50;
const CALL_TIMEOUT_MS = 200;
/** How long the store takes for a transaction, and to be given up. */
const STORE_MS = 8;
const STORE_TIMEOUT_MS = 900;
/** Writes whose answers are lost may take effect so much later. */
const STORE_LATE_MS = 3_000;
/** Spreads of jobs on both users' sheets. */
const WIDTH_SPREAD = 0.4;
const RUN_SPREAD = 0.4;
const CPU_SPREAD = 0.2;
const DECLARED_SPREAD = 0.4;
const TASK_SPREAD = 0.15;
const MAX_CPU_SHARE = 1.43;
/** Simulated time begins so long after 1970. */
const EPOCH_MS = 1_700_000_000_000;

/** A kind of job that callers hand in. */
export interface JobKind {
  readonly queue: QueueRule;
  readonly perSecond: number;
  readonly taskMs: number;
  readonly cpuMilli: number;
  readonly width: number;
  /** How its jobs are kept, and how often their tasks may run. */
  readonly promise?: "recorded" | "atMostOnce";
  /** What a job of this kind is worth in time, and late. */
  readonly worth: number;
  readonly lateWorth: number;
}

/** Draws from a lognormal distribution of that mean, up to a bound. */
function drawLognormal(
  random: () => number,
  { mean, spread, max = Infinity }: {
    mean: number;
    spread: number;
    max?: number;
  },
): number {
  const u = Math.max(1e-12, random());
  const normal = Math.sqrt(-2 * Math.log(u)) *
    Math.cos(2 * Math.PI * random());
  const drawn = mean * Math.exp(spread * normal - spread * spread / 2);
  return Math.min(max, drawn);
}

/** What a world is made from. */
export interface WorldOptions {
  readonly seed: number;
  readonly zones: readonly string[];
  readonly instancesPerZone: number;
  readonly workersPerZone: number;
  /** Sizes of workers and their speeds (a factor of run times), in turn. */
  readonly workerSizes: readonly { cpuMilli: number; slowness: number }[];
  readonly kinds: readonly JobKind[];
  /** The share of starts that are carried out late, without an answer. */
  readonly lateShare?: number;
  /** The share of writes to the store whose answers are lost. */
  readonly lostWriteShare?: number;
  readonly guards?: Partial<Guards>;
  /** Receives the log lines of every instance. */
  readonly onLog?: (
    instanceId: string,
    nowMs: number,
    line: Record<string, unknown>,
  ) => void;
}

/** One instance: null state while it is not running. */
interface Node {
  readonly instanceId: string;
  readonly availabilityZone: string;
  state: EngineState | null;
  records: RecordStore | null;
  life: number;
  frozenUntilMs: number;
}

/** One job, from its caller's view. */
export interface CallerRecord {
  readonly jobId: string;
  readonly kind: JobKind;
  readonly availabilityZone: string;
  readonly sentAtMs: number;
  readonly widths: number;
  readonly idealMs: number;
  outcome: JobOutcome | null;
  /** Its caller was told that a record is kept. */
  accepted: boolean;
  /** Its cancelling was acknowledged. */
  cancelled: boolean;
  answeredAtMs: number;
}

/** A running world. */
export interface World {
  readonly queue: EventQueue;
  readonly nodes: readonly Node[];
  readonly workers: readonly FakeWorker[];
  readonly jobs: ReadonlyMap<string, CallerRecord>;
  /** Broken promises, with what was seen. */
  readonly broken: string[];
  readonly random: () => number;
  /** Hands in a job at an instance. */
  readonly submit: (instanceId: string, kind: JobKind) => CallerRecord | null;
  readonly kill: (instanceId: string, downMs: number) => void;
  readonly freeze: (instanceId: string, forMs: number) => void;
  readonly drain: (instanceId: string) => void;
  /** Cuts between all pairs for which the test holds; null mends. */
  readonly setCut: (cut: ((a: string, b: string) => boolean) | null) => void;
  readonly setStoreAway: (away: boolean) => void;
  /** Cancels a job through some instance. */
  readonly cancel: (record: CallerRecord) => void;
  /** Asks for a job's state through some instance. */
  readonly ask: (
    record: CallerRecord,
    onReply: (reply: Reply) => void,
  ) => void;
  readonly leaders: () => string[];
  readonly run: (untilMs: number) => Promise<void>;
}

const noLog = { write: () => {} };

/** How an engine is asked to keep a kind of job. */
function specOf({ promise }: JobKind): Partial<JobSpec> {
  if (promise === "recorded") return { isRecorded: true, lateFactor: 3 };
  if (promise === undefined) return {};
  return { isRecorded: true, isAtMostOnce: true, deadlineMs: 6_000 };
}

/** Creates a world; nothing happens before it is run. */
export function createWorld(options: WorldOptions): World {
  const generator = xoroshiro128plus(options.seed);
  const random = (): number => uniformFloat64(generator);
  // Of its own, so that calls to the store don't change what else is drawn.
  const storeGenerator = xoroshiro128plus(options.seed + 1);
  const storeRandom = (): number => uniformFloat64(storeGenerator);
  const queue = createEventQueue();
  const broken: string[] = [];
  const jobs = new Map<string, CallerRecord>();
  const truth = new Map<string, SimulatedTask>();
  const startsOfJob = new Map<string, number>();
  const startsOfTask = new Map<string, number>();
  const forgottenDone = new Set<string>();
  const runningNow = new Map<string, string>();
  const zoneOf = new Map<string, string>();
  let cut: ((a: string, b: string) => boolean) | null = null;
  let storeAway = false;
  let nextJob = 0;
  let nextQuestion = 0;
  const store = createFakeStore();
  /** Tasks that ended done, and whether a worker was told to forget it. */
  const doneTasks = new Set<string>();
  const replies = new Map<string, (reply: Reply) => void>();

  function sizeAt(index: number) {
    const { workerSizes } = options;
    const size = workerSizes[index % workerSizes.length];
    return size ?? { cpuMilli: 1, slowness: 1 };
  }

  const workers = options.zones.flatMap((availabilityZone) =>
    Array.from(
      { length: options.workersPerZone },
      (_, index) =>
        createFakeWorker({
          workerId: `w-${availabilityZone}-${index}`,
          availabilityZone,
          cpuMilli: sizeAt(index).cpuMilli,
          runTimeFactor: sizeAt(index).slowness,
          leaseMs: LEASE_MS,
          taskOf: ({ taskName }) => truth.get(taskName),
          onStart: checkStart,
          onCompletion: (worker, run, end) => {
            if (end === "done") doneTasks.add(run.taskName);
            if (runningNow.get(run.taskName) === worker.workerId) {
              runningNow.delete(run.taskName);
            }
          },
        }),
    )
  );
  const workersById = new Map(workers.map((one) => [one.workerId, one]));
  for (const worker of workers) {
    zoneOf.set(worker.workerId, worker.availabilityZone);
  }
  const nodes: Node[] = options.zones.flatMap((availabilityZone) =>
    Array.from({ length: options.instancesPerZone }, (_, index) => ({
      instanceId: `${availabilityZone}-${index + 1}`,
      availabilityZone,
      state: null,
      records: null,
      life: 0,
      frozenUntilMs: 0,
    }))
  );
  const nodesById = new Map(nodes.map((node) => [node.instanceId, node]));
  for (const node of nodes) zoneOf.set(node.instanceId, node.availabilityZone);
  const configuration: Configuration = {
    version: 1,
    queues: options.kinds.map((kind) => kind.queue),
    services: [{ name: "s", healthPath: "/healthz", guardsCapacity: false }],
    maxBodyBytes: 1e6,
    maxHeaderBytes: 1e5,
    idleTimeoutMs: 15_000,
  };

  function checkStart(worker: FakeWorker, run: SimulatedRun): void {
    const { taskName } = run;
    const jobId = taskName.slice(0, taskName.indexOf("."));
    startsOfJob.set(jobId, (startsOfJob.get(jobId) ?? 0) + 1);
    const nowMs = Math.round(queue.nowMs());
    if (worker.usedCpuMilli() > worker.cpuMilli) {
      broken.push(`capacity: ${taskName} on ${worker.workerId} at ${nowMs}`);
    }
    checkPromise(taskName);
    const other = runningNow.get(taskName);
    const alive = other !== undefined && other !== worker.workerId &&
      workersById.get(other)?.running.has(taskName) === true;
    if (alive) {
      workersById.get(other)?.advance(queue.nowMs());
      if (workersById.get(other)?.running.has(taskName) === true) {
        broken.push(
          `twice: ${taskName} on ${other} and ${worker.workerId} at ${nowMs}`,
        );
      }
    }
    runningNow.set(taskName, worker.workerId);
    if (jobs.get(jobId)?.outcome?.kind === "refused") {
      broken.push(`refused: ${taskName} started at ${nowMs}`);
    }
  }

  function checkPromise(taskName: string): void {
    const jobId = taskName.slice(0, taskName.indexOf("."));
    const record = jobs.get(jobId);
    const promise = record?.kind.promise;
    const nowMs = Math.round(queue.nowMs());
    const starts = (startsOfTask.get(taskName) ?? 0) + 1;
    startsOfTask.set(taskName, starts);
    if (promise === "atMostOnce" && starts > 1) {
      broken.push(`atMostOnce: ${taskName} started again at ${nowMs}`);
    }
    if (promise !== undefined && forgottenDone.has(taskName)) {
      broken.push(`again: ${taskName} started after its end, at ${nowMs}`);
    }
    if (record?.cancelled === true) {
      broken.push(`cancelled: ${taskName} started at ${nowMs}`);
    }
  }

  /** Ends that a worker forgets are taken note of for good. */
  function noteForgotten(worker: FakeWorker, lastSeenEnd: number): void {
    for (const { sequence, taskName, end } of worker.finished) {
      if (sequence <= lastSeenEnd && end === "done") {
        forgottenDone.add(taskName);
      }
    }
  }

  function blocked(a: string, b: string): boolean {
    return cut !== null && (cut(a, b) || cut(b, a));
  }

  function latencyMs(a: string, b: string): number {
    const sameZone = zoneOf.get(a) === zoneOf.get(b);
    return (sameZone ? 0.2 : 0.7) + 0.3 * random();
  }

  function dispatch(node: Node, life: number, event: EngineEvent): void {
    if (node.state === null || node.life !== life) return;
    if (queue.nowMs() < node.frozenUntilMs) {
      queue.at(
        node.frozenUntilMs,
        () => dispatch(node, life, { ...event, nowMs: queue.nowMs() }),
      );
      return;
    }
    for (const effect of reduceChecked(node, event)) {
      perform(node, life, effect);
    }
  }

  /** A broken invariant ends the process, which starts again. */
  function reduceChecked(node: Node, event: EngineEvent): Effect[] {
    if (node.state === null) return [];
    try {
      return reduce(node.state, event);
    } catch (error) {
      if (!(error instanceof InvariantError)) throw error;
      broken.push(`invariant: ${error.message}`);
      kill(node, 500);
      return [];
    }
  }

  const performers: {
    [T in Effect["type"]]?: (
      node: Node,
      life: number,
      effect: EffectOf<T>,
    ) => void;
  } = {
    answerCaller: (_node, _life, { jobId, reply }) => answer(jobId, reply),
    answerQuery: (_node, _life, { requestId, reply }) => {
      replies.get(requestId)?.(reply);
      replies.delete(requestId);
    },
    openRecords: (node, life, effect) => {
      const { term } = effect;
      void node.records?.open(effect).then((outcome) => {
        const nowMs = queue.nowMs();
        dispatch(node, life, { type: "recordsOpened", nowMs, term, outcome });
      });
    },
    writeRecords: (node, life, effect) => {
      const { writeId } = effect;
      void node.records?.write(effect).then((outcome) => {
        const nowMs = queue.nowMs();
        dispatch(node, life, {
          type: "recordsWritten",
          nowMs,
          writeId,
          outcome,
        });
      });
    },
    log: (node, _life, { part, text, fields }) => {
      options.onLog?.(node.instanceId, queue.nowMs(), {
        part,
        text,
        ...fields,
      });
    },
    sendPeer: (node, _life, { instanceId, message }) => {
      const target = nodesById.get(instanceId);
      if (target === undefined || blocked(node.instanceId, instanceId)) return;
      const { life } = target;
      later(
        latencyMs(node.instanceId, instanceId),
        () =>
          dispatch(target, life, {
            type: "peerMessage",
            nowMs: queue.nowMs(),
            from: node.instanceId,
            message,
          }),
      );
    },
    hold: callHold,
    startTask: callStart,
    stopTask: callStop,
  };

  function perform(node: Node, life: number, effect: Effect): void {
    const performer = performers[effect.type] as
      | ((node: Node, life: number, effect: Effect) => void)
      | undefined;
    performer?.(node, life, effect);
  }

  function later(delayMs: number, run: () => void): void {
    queue.at(queue.nowMs() + delayMs, run);
  }

  function reachable(node: Node, worker: FakeWorker): boolean {
    return worker.alive && !blocked(node.instanceId, worker.workerId);
  }

  function callHold(node: Node, life: number, effect: EffectOf<"hold">): void {
    const worker = workersById.get(effect.workerId) as FakeWorker;
    const delayMs = latencyMs(node.instanceId, worker.workerId);
    const { startedAtMs } = worker;
    let answered = false;
    const tell = (outcome: Parameters<typeof holdEvent>[2]): void => {
      if (answered) return;
      answered = true;
      dispatch(node, life, holdEvent(queue.nowMs(), effect, outcome));
    };
    later(
      effect.waitMs + CALL_TIMEOUT_MS,
      () => tell({ kind: "unreachable", detail: "timeout" }),
    );
    later(delayMs, () => {
      if (!reachable(node, worker)) return;
      const untilMs = queue.nowMs() + effect.waitMs;
      noteForgotten(
        worker,
        effect.fence >= worker.fence() ? effect.lastSeenEnd : 0,
      );
      const poll = (): void => {
        if (!worker.alive || worker.startedAtMs !== startedAtMs) return;
        const outcome = worker.poll(effect, queue.nowMs(), untilMs);
        if (outcome === null) {
          later(2, poll);
          return;
        }
        later(delayMs, () => {
          if (!blocked(node.instanceId, worker.workerId)) tell(outcome);
        });
      };
      poll();
    });
  }

  function callStart(
    node: Node,
    life: number,
    effect: EffectOf<"startTask">,
  ): void {
    const worker = workersById.get(effect.workerId) as FakeWorker;
    const { taskName, run, fence, workerId } = effect;
    const delayMs = latencyMs(node.instanceId, workerId);
    const late = random() < (options.lateShare ?? 0);
    const { startedAtMs } = worker;
    let answered = false;
    const tell = (outcome: EffectOutcome): void => {
      if (answered) return;
      answered = true;
      dispatch(node, life, {
        type: "startCompleted",
        nowMs: queue.nowMs(),
        workerId,
        taskName,
        run,
        fence,
        outcome,
      });
    };
    later(CALL_TIMEOUT_MS, () => tell({ kind: "unknown", detail: "timeout" }));
    later(late ? 2_000 + 8_000 * random() : delayMs, () => {
      if (!reachable(node, worker) || worker.startedAtMs !== startedAtMs) {
        return;
      }
      worker.advance(queue.nowMs());
      const outcome = worker.start(effect, queue.nowMs());
      if (late) return;
      later(delayMs, () => {
        if (!blocked(node.instanceId, workerId)) tell(outcome);
      });
    });
  }

  function callStop(
    node: Node,
    life: number,
    effect: EffectOf<"stopTask">,
  ): void {
    const worker = workersById.get(effect.workerId) as FakeWorker;
    const { taskName, run, workerId } = effect;
    const delayMs = latencyMs(node.instanceId, workerId);
    later(delayMs, () => {
      if (!reachable(node, worker)) return;
      const outcome = worker.stop(effect, queue.nowMs());
      later(delayMs, () => {
        if (blocked(node.instanceId, workerId)) return;
        const nowMs = queue.nowMs();
        dispatch(node, life, {
          type: "stopCompleted",
          nowMs,
          workerId,
          taskName,
          run,
          outcome,
        });
      });
    });
  }

  function answer(jobId: string, outcome: CallerReply): void {
    const record = jobs.get(jobId);
    if (record === undefined || record.outcome !== null) return;
    if (outcome.kind === "accepted") {
      record.accepted = true;
      record.answeredAtMs = queue.nowMs();
      return;
    }
    record.outcome = outcome;
    record.answeredAtMs = queue.nowMs();
    if (outcome.kind === "refused" && startsOfJob.has(jobId)) {
      broken.push(`refused: ${jobId}, though it had started`);
    }
  }

  function boot(node: Node): void {
    const nowMs = queue.nowMs();
    const wallMs = EPOCH_MS + nowMs;
    node.life += 1;
    const { life, instanceId, availabilityZone } = node;
    const self = infoOf(node, wallMs);
    node.state = createEngine({
      self,
      leaseMs: LEASE_MS,
      stopMs: STOP_MS,
      nowMs,
      wallMs,
      ...(options.guards && { guards: options.guards }),
    });
    node.records = createRecordStore(storeOf(node, life), {
      log: noLog,
      instanceId,
    });
    zoneOf.set(instanceId, availabilityZone);
    const tick = (): void => {
      if (node.life !== life) return;
      const atMs = queue.nowMs();
      const type = "tick";
      dispatch(node, life, { type, nowMs: atMs, wallMs: EPOCH_MS + atMs });
      later(TICK_MS, tick);
    };
    later(TICK_MS * random(), tick);
    later(20, () => readStore(node, life));
    later(5, () => meetPeers(node, life));
  }

  /** The store as one instance reaches it. */
  function storeOf(node: Node, life: number): StoreHost {
    function call<T>(run: () => T): Promise<T> {
      const lost = storeRandom() < (options.lostWriteShare ?? 0);
      return new Promise((resolve, reject) => {
        let answered = false;
        later(STORE_TIMEOUT_MS, () => {
          answered = true;
          queue.flushPromises();
          reject(new Error("timeout"));
        });
        if (storeAway || blocked("store", node.instanceId)) return;
        const takesMs = (lost ? STORE_LATE_MS : STORE_MS) * storeRandom();
        later(takesMs, () => {
          const result = run();
          if (lost) return;
          later(STORE_MS / 2, () => {
            if (answered || node.life !== life) return;
            queue.flushPromises();
            resolve(result);
          });
        });
      });
    }
    const none = () => Promise.resolve(null);
    return {
      readConfiguration: none,
      awaitConfiguration: none,
      readWorkers: () => Promise.resolve([]),
      readRows: (place) => call(() => store.readRows(place)),
      transact: (transaction) => call(() => store.transact(transaction)),
      close: () => Promise.resolve(),
    };
  }

  function infoOf(node: Node, bornMs: number) {
    return {
      instanceId: node.instanceId,
      availabilityZone: node.availabilityZone,
      region: "r",
      address: node.instanceId,
      bornMs,
    };
  }

  function meetPeers(node: Node, life: number): void {
    const nowMs = queue.nowMs();
    const instances = nodes.map((one) => infoOf(one, 0));
    dispatch(node, life, { type: "instancesRead", nowMs, instances });
    for (const other of nodes) {
      if (other === node) continue;
      connect(node, life, other);
      if (other.state !== null) connect(other, other.life, node);
    }
  }

  function connect(node: Node, life: number, other: Node): void {
    const instanceId = other.instanceId;
    later(latencyMs(node.instanceId, instanceId), () => {
      const nowMs = queue.nowMs();
      if (other.state === null) {
        const type = "peerDown";
        dispatch(node, life, { type, nowMs, instanceId, refused: true });
      } else dispatch(node, life, { type: "peerUp", nowMs, instanceId });
    });
  }

  function readStore(node: Node, life: number): void {
    if (node.life !== life || node.state === null) return;
    const nowMs = queue.nowMs();
    const { state } = node;
    const reads = state.scheduler !== null || state.leaderId === null;
    if (storeAway) {
      dispatch(node, life, { type: "workersUnreadable", nowMs });
    } else {
      dispatch(node, life, { type: "configurationRead", nowMs, configuration });
      const list = workers.filter((worker) =>
        worker.alive && !blocked("store", worker.workerId)
      ).map((worker) => ({
        workerId: worker.workerId,
        service: "s",
        availabilityZone: worker.availabilityZone,
        address: worker.workerId,
        cpuMilli: worker.cpuMilli,
        memoryMb: 1e6,
        accelerators: 0,
        labels: [],
        draining: worker.draining,
        bornMs: worker.startedAtMs,
      }));
      const type = "workersRead";
      if (reads) dispatch(node, life, { type, nowMs, workers: list });
    }
    later(READ_WORKERS_MS, () => readStore(node, life));
  }

  function submit(instanceId: string, kind: JobKind): CallerRecord | null {
    const node = nodesById.get(instanceId) as Node;
    if (node.state === null) return null;
    nextJob += 1;
    const jobId = nextJob.toString(16).padStart(16, "0");
    const drawn = drawLognormal(random, {
      mean: kind.width,
      spread: WIDTH_SPREAD,
      max: 4 * kind.width,
    });
    const width = Math.max(1, Math.round(drawn));
    const jobMs = drawLognormal(random, {
      mean: kind.taskMs,
      spread: RUN_SPREAD,
      max: 4 * kind.taskMs,
    });
    const cpuMilli = 50 * Math.round(
      drawLognormal(random, {
        mean: kind.cpuMilli,
        spread: CPU_SPREAD,
        max: MAX_CPU_SHARE * kind.cpuMilli,
      }) / 50,
    );
    const declaredMs = drawLognormal(random, {
      mean: jobMs,
      spread: DECLARED_SPREAD,
    });
    const job: JobSpec = {
      ...specOf(kind),
      spec: "",
      steps: [{
        count: width,
        cpuMilli,
        memoryMb: 64,
        accelerators: 0,
        estimatedMs: Math.max(1, Math.round(declaredMs)),
        after: [],
      }],
    };
    let idealMs = 0;
    for (let index = 0; index < width; index += 1) {
      const runMs = drawLognormal(random, {
        mean: jobMs,
        spread: TASK_SPREAD,
      });
      idealMs = Math.max(idealMs, runMs);
      truth.set(`${jobId}.0.0.${index}`, { cpuMilli, runMs, fails: false });
    }
    const record: CallerRecord = {
      jobId,
      kind,
      availabilityZone: node.availabilityZone,
      sentAtMs: queue.nowMs(),
      widths: width,
      idealMs,
      outcome: null,
      accepted: false,
      cancelled: false,
      answeredAtMs: 0,
    };
    jobs.set(jobId, record);
    dispatch(node, node.life, {
      type: "callerSubmit",
      nowMs: queue.nowMs(),
      requestId: jobId,
      jobId,
      queue: kind.queue,
      job,
      timeoutMs: kind.queue.timeoutMs,
      answerAt: kind.promise === "recorded" ? "accepted" : "ended",
    });
    return record;
  }

  function askSomebody(
    query: JobQuery,
    onReply: (reply: Reply) => void,
  ): void {
    const up = nodes.filter((node) => node.state !== null);
    const node = up[Math.floor(storeRandom() * up.length)];
    if (node === undefined) return;
    nextQuestion += 1;
    const requestId = `q${nextQuestion}`;
    replies.set(requestId, onReply);
    const nowMs = queue.nowMs();
    const type = "callerQuery";
    dispatch(node, node.life, { type, nowMs, requestId, query });
  }

  function kill(node: Node, downMs: number): void {
    node.state = null;
    node.life += 1;
    for (const other of nodes) {
      if (other.state !== null) connect(other, other.life, node);
    }
    later(downMs, () => boot(node));
  }

  for (const node of nodes) queue.at(100 * random(), () => boot(node));

  return {
    queue,
    nodes,
    workers,
    jobs,
    broken,
    random,
    submit,
    kill(instanceId, downMs) {
      kill(nodesById.get(instanceId) as Node, downMs);
    },
    cancel(record) {
      const { jobId } = record;
      askSomebody({ kind: "cancel", jobId }, (reply) => {
        if (reply.kind === "ended" && reply.outcome.kind === "cancelled") {
          record.cancelled = true;
          record.outcome ??= reply.outcome;
        }
      });
    },
    ask: ({ jobId }, onReply) => askSomebody({ kind: "job", jobId }, onReply),
    freeze(instanceId, pausedMs) {
      const node = nodesById.get(instanceId) as Node;
      const untilMs = queue.nowMs() + pausedMs;
      node.frozenUntilMs = untilMs;
      const { life } = node;
      queue.at(
        untilMs,
        () =>
          dispatch(node, life, {
            type: "processPaused",
            nowMs: untilMs,
            pausedMs,
          }),
      );
    },
    drain(instanceId) {
      const node = nodesById.get(instanceId) as Node;
      const nowMs = queue.nowMs();
      dispatch(node, node.life, { type: "drainRequested", nowMs });
    },
    setCut(next) {
      cut = next;
    },
    setStoreAway(away) {
      storeAway = away;
    },
    leaders: () =>
      nodes.filter((node) => node.state?.scheduler != null)
        .map((node) => node.instanceId),
    run: (untilMs) => queue.runUntil(untilMs),
  };
}

type EffectOutcome = Extract<
  EngineEvent,
  { type: "startCompleted" }
>["outcome"];

function holdEvent(
  nowMs: number,
  { workerId, callId }: EffectOf<"hold">,
  outcome: Extract<EngineEvent, { type: "pollCompleted" }>["outcome"],
): EngineEvent {
  return { type: "pollCompleted", nowMs, workerId, callId, outcome };
}
