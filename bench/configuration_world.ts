/**
 * Instances of the real engine that learn of configurations from a simulated
 * store and from each other, in simulated time. Every message and every response
 * of the store takes its share of the links of both ends, so that what waits
 * behind a large one arrives late. Checks that each configuration is in force in
 * time on every instance that has been in touch with the store.
 */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { createEngine, reduce } from "../src/engine/reduce.ts";
import type {
  Configuration,
  InstanceInfo,
  PeerMessage,
  QueueRule,
  WorkerInfo,
} from "../src/engine/schemas.ts";
import type {
  ConfigurationCall,
  ConfigurationOutcome,
  Effect,
  EngineEvent,
  EngineState,
  Guards,
} from "../src/engine/types.ts";
import type { EffectOf } from "../src/instance/hosts.ts";
import { createEventQueue } from "./event_queue.ts";

const TICK_MS = 25;
const EPOCH_MS = 1_700_000_000_000;
/** Time after which a message without a large body reaches its peer. */
const LATENCY_MS = 1;
/** Duration of a call of the store, without the transfer of its response. */
const STORE_MS = 8;
const SLOW_STORE_FACTOR = 60;
/** Time limit of the response to a read of the store. */
const READ_TIMEOUT_MS = 900;
const FEED_WAIT_MS = 1_000;
/** Interval at which a waiting call looks for a change. */
const FEED_POLL_MS = 10;
/** Size of a message other than a configuration. */
const MESSAGE_BYTES = 700;
/** Size from which messages are compressed, and how much smaller they get. */
const MIN_PACKED_BYTES = 4_096;
const PACKED_FACTOR = 0.15;
/** Interval between checks of what is in force. */
const CHECK_MS = 100;
/** Time without trouble after which an instance counts as in touch. */
const STABLE_MS = 5_000;
/** Time after its acknowledgement in which a configuration must be in force. */
const APPLY_MS = 4_000;
/** The same while the store is not stable. */
const UNSTABLE_APPLY_MS = 12_000;
/** The time in which it must be in force during each fault and after it. */
const faultyApplyMs: Record<ConfigurationFaultKind, number> = {
  deaf: UNSTABLE_APPLY_MS,
  compact: UNSTABLE_APPLY_MS,
  slow: Infinity,
  refuse: UNSTABLE_APPLY_MS,
  silent: UNSTABLE_APPLY_MS,
  restart: APPLY_MS,
  freeze: APPLY_MS,
  zoneCut: APPLY_MS,
};
/** Time for which the feed hears nothing before its history is dropped. */
const DEAF_MS = 1_000;

/** A change that the operator makes. */
export interface OperatorChange {
  readonly atMs: number;
  /** Number of queues that are added; one is dropped if it is 0. */
  readonly addedQueues: number;
}

/**
 * `deaf`: feeds hear of no change. `compact`: feeds hear nothing for a second,
 * then the history is dropped and they are cut; reads of rows are `staleMs`
 * behind. `slow`: the store takes 60 times as long. `refuse`: the store answers a
 * share of the instances with errors. `silent`: it answers none of them.
 * `restart`: a share of the instances is killed and starts again. `freeze`: a
 * share of them does nothing. `zoneCut`: messages between zones are lost.
 */
export type ConfigurationFaultKind =
  | "deaf"
  | "compact"
  | "slow"
  | "refuse"
  | "silent"
  | "restart"
  | "freeze"
  | "zoneCut";

/** A fault of a run, from `atMs` on for `forMs`. */
export interface ConfigurationFault {
  readonly kind: ConfigurationFaultKind;
  readonly atMs: number;
  readonly forMs: number;
  readonly share?: number;
  /** Affects the two largest instances of each zone only. */
  readonly largestOnly?: boolean;
  readonly staleMs?: number;
}

/** A run of the world. */
export interface ConfigurationRun {
  readonly seed: number;
  readonly zones: number;
  readonly instancesPerZone: number;
  /** Number of queues of the first configuration. */
  readonly queues: number;
  /** Rate of the links of all instances but three of each zone. */
  readonly linkBytesPerMs: number;
  readonly changes: readonly OperatorChange[];
  readonly faults?: readonly ConfigurationFault[];
  readonly durationMs: number;
  /** Guards to override. */
  readonly guards?: Partial<Guards>;
}

/** What a run has shown. */
export interface ConfigurationResult {
  readonly violations: string[];
  /** Most whole configurations that one instance sent to peers. */
  readonly mostCopiesSent: number;
  readonly peerBytes: number;
  readonly storeBytes: number;
  /** Longest time from an acknowledgement until it was in force in touch. */
  readonly slowestMs: number;
}

interface SimulatedInstance {
  readonly info: InstanceInfo;
  readonly bytesPerMs: number;
  state: EngineState;
  incarnation: number;
  isUp: boolean;
  /** Time until which this instance does nothing. */
  frozenUntilMs: number;
  /** Time until which earlier transfers occupy the link, in each direction. */
  sendsUntilMs: number;
  receivesUntilMs: number;
  troubledAtMs: number;
  version: number;
  /** Version of the store up to which this instance knows the changes. */
  seenVersion: number;
}

interface StoredConfiguration {
  readonly configuration: Configuration;
  readonly rowVersion: number;
  readonly ackedAtMs: number;
}

function queueOf(index: number): QueueRule {
  return {
    name: `r-${index.toString(36).padStart(7, "0")}`,
    host: `host${index % 7}.example`,
    pathPrefix: `/${index.toString(36).padStart(8, "p")}/`,
    service: "s",
    priority: 0,
    attempts: 2,
    stretch: 2,
    objectiveMs: 1_000,
    timeoutMs: 1_000,
  };
}

/** Sizes of documents; they are shared by all messages that carry them. */
const documentBytes = new WeakMap<object, number>();

function sizeOfDocument(document: object): number {
  const known = documentBytes.get(document);
  if (known !== undefined) return known;
  const bytes = JSON.stringify(document).length;
  documentBytes.set(document, bytes);
  return bytes;
}

function sizeOf(message: PeerMessage): number {
  const document = message.type === "configuration"
    ? message.configuration
    : message.type === "configurationChanges"
    ? message
    : {};
  const bytes = sizeOfDocument(document);
  const factor = bytes < MIN_PACKED_BYTES ? 1 : PACKED_FACTOR;
  return MESSAGE_BYTES + factor * bytes;
}

/** The only worker, which answers no call. */
const worker: WorkerInfo = {
  workerId: "w",
  service: "s",
  availabilityZone: "z0",
  address: "w:1",
  cpuMilli: 1_000,
  memoryMb: 1_000,
  accelerators: 0,
  labels: [],
  draining: false,
  bornMs: 1,
};

/** Plays a run, and returns what it has shown. */
export async function simulateConfiguration(
  run: ConfigurationRun,
): Promise<ConfigurationResult> {
  const queue = createEventQueue();
  const generator = xoroshiro128plus(run.seed);
  const random = (): number => uniformFloat64(generator);
  const violations: string[] = [];
  const stored: StoredConfiguration[] = [];
  let storeVersion = 10;
  let historyFrom = 0;
  let peerBytes = 0;
  let storeBytes = 0;
  let slowestMs = 0;
  let nextQueueIndex = 0;
  const faults = run.faults ?? [];
  const refused = new Map<SimulatedInstance, "refuse" | "silent">();

  const instances: SimulatedInstance[] = [];
  for (let zone = 0; zone < run.zones; zone += 1) {
    for (let index = 0; index < run.instancesPerZone; index += 1) {
      const instanceId = `z${zone}-${index + 1}`;
      const isLarge = index < 3;
      const info = {
        instanceId,
        availabilityZone: `z${zone}`,
        region: "r",
        address: `${instanceId}:1`,
        bornMs: EPOCH_MS,
        cpuCores: isLarge ? 1.35 : 0.324,
      };
      instances.push({
        info,
        bytesPerMs: (isLarge ? 8 : 1) * run.linkBytesPerMs,
        state: newState(info),
        incarnation: 0,
        isUp: true,
        frozenUntilMs: 0,
        sendsUntilMs: 0,
        receivesUntilMs: 0,
        troubledAtMs: 0,
        version: -1,
        seenVersion: 0,
      });
    }
  }
  const byId = new Map(instances.map((each) => [each.info.instanceId, each]));

  function newState(self: InstanceInfo): EngineState {
    const nowMs = queue.nowMs();
    const wallMs = EPOCH_MS + nowMs;
    const { guards = {} } = run;
    const leaseMs = 1_000;
    return createEngine({ self, leaseMs, stopMs: 50, nowMs, wallMs, guards });
  }

  function dispatch(
    instance: SimulatedInstance,
    incarnation: number,
    event: EngineEvent,
  ): void {
    if (!instance.isUp || instance.incarnation !== incarnation) return;
    const { frozenUntilMs } = instance;
    if (queue.nowMs() < frozenUntilMs) {
      queue.at(
        frozenUntilMs,
        () =>
          dispatch(instance, incarnation, { ...event, nowMs: queue.nowMs() }),
      );
      return;
    }
    for (const effect of reduce(instance.state, event)) {
      perform(instance, effect);
    }
    const version = instance.state.configuration?.version ?? -1;
    if (version < instance.version) {
      violations.push(`${instance.info.instanceId} went back to ${version}`);
    }
    instance.version = version;
  }

  function perform(instance: SimulatedInstance, effect: Effect): void {
    if (effect.type === "callConfiguration") callStore(instance, effect);
    if (effect.type !== "sendPeer") return;
    const receiver = byId.get(effect.instanceId);
    if (receiver !== undefined) deliver(instance, receiver, effect.message);
  }

  /** Returns when a transfer has left a link that is shared by all of them. */
  function occupy(freeAtMs: number, bytes: number, bytesPerMs: number): number {
    return Math.max(freeAtMs, queue.nowMs()) + bytes / bytesPerMs;
  }

  function deliver(
    from: SimulatedInstance,
    to: SimulatedInstance,
    message: PeerMessage,
  ): void {
    const isNear = from.info.availabilityZone === to.info.availabilityZone;
    if (!isNear && activeFault("zoneCut") !== undefined) return;
    const bytes = sizeOf(message);
    peerBytes += bytes;
    from.sendsUntilMs = occupy(from.sendsUntilMs, bytes, from.bytesPerMs);
    const { incarnation } = to;
    queue.at(from.sendsUntilMs + LATENCY_MS, () => {
      receive(to, incarnation, {
        bytes,
        run: () =>
          dispatch(to, incarnation, {
            type: "peerMessage",
            nowMs: queue.nowMs(),
            from: from.info.instanceId,
            message,
          }),
      });
    });
  }

  /** Runs a callback when a transfer has passed the link of its recipient. */
  function receive(
    to: SimulatedInstance,
    incarnation: number,
    { bytes, run: onReceived }: { bytes: number; run: () => void },
  ): void {
    if (to.incarnation !== incarnation) return;
    to.receivesUntilMs = occupy(to.receivesUntilMs, bytes, to.bytesPerMs);
    queue.at(to.receivesUntilMs, onReceived);
  }

  /** Returns the fault of a kind that lasts now. */
  function activeFault(
    kind: ConfigurationFaultKind,
  ): ConfigurationFault | undefined {
    const nowMs = queue.nowMs();
    return faults.find((fault) =>
      fault.kind === kind && nowMs >= fault.atMs &&
      nowMs < fault.atMs + fault.forMs
    );
  }

  /** Whether the feeds hear nothing of a change made at a time. */
  function isDeaf(atMs: number): boolean {
    return faults.some(({ kind, atMs: beginMs, forMs }) => {
      const deafMs = kind === "compact" ? DEAF_MS : forMs;
      return (kind === "compact" || kind === "deaf") && atMs >= beginMs &&
        atMs < beginMs + deafMs;
    });
  }

  /** Returns the row that a read finds, which may be an old one. */
  function readRow(): StoredConfiguration | undefined {
    const staleMs = activeFault("compact")?.staleMs ?? 0;
    return stored.findLast(({ ackedAtMs }) =>
      ackedAtMs <= queue.nowMs() - staleMs
    );
  }

  /** Whether the store answers a call of an instance with an error, or not. */
  function refusalDelayMs(
    instance: SimulatedInstance,
    timeoutMs: number,
  ): number | null {
    const how = refused.get(instance);
    if (how === undefined) return null;
    return how === "refuse" ? STORE_MS : timeoutMs;
  }

  /** Sends an outcome of a call of the store over the link of an instance. */
  function respond(
    instance: SimulatedInstance,
    callId: number,
    outcome: ConfigurationOutcome,
  ): void {
    const bytes = outcome.kind === "found"
      ? sizeOfDocument(outcome.configuration) * 4 / 3
      : MESSAGE_BYTES;
    storeBytes += bytes;
    const { incarnation } = instance;
    receive(instance, incarnation, {
      bytes,
      run: () =>
        dispatch(instance, incarnation, {
          type: "configurationAnswered",
          nowMs: queue.nowMs(),
          callId,
          outcome,
        }),
    });
  }

  /** Returns the outcome that tells an instance of a row. */
  function found(
    instance: SimulatedInstance,
    row: StoredConfiguration | undefined,
  ): ConfigurationOutcome {
    if (row === undefined) return { kind: "unchanged" };
    const { configuration, rowVersion } = row;
    instance.seenVersion = Math.max(instance.seenVersion, rowVersion);
    return { kind: "found", configuration };
  }

  /** What the store answers to each call; null if it answers later. */
  const answers: Record<
    ConfigurationCall,
    (
      instance: SimulatedInstance,
      call: { rowVersion: number; startedAtMs: number },
    ) => ConfigurationOutcome | null
  > = {
    read: (instance) => found(instance, readRow()),
    compare: (instance, { rowVersion }) => {
      const row = stored.at(-1);
      if (row?.rowVersion !== rowVersion) return found(instance, row);
      instance.seenVersion = Math.max(instance.seenVersion, storeVersion);
      return { kind: "unchanged" };
    },
    await: (instance, { startedAtMs }) => {
      if (instance.seenVersion < historyFrom) return { kind: "historyLost" };
      const row = stored.at(-1);
      const isNew = row !== undefined &&
        row.rowVersion > instance.seenVersion && !isDeaf(queue.nowMs());
      if (isNew) return found(instance, row);
      const isOver = queue.nowMs() - startedAtMs >= FEED_WAIT_MS;
      return isOver ? { kind: "unchanged" } : null;
    },
  };

  function callStore(
    instance: SimulatedInstance,
    { callId, call, rowVersion }: EffectOf<"callConfiguration">,
  ): void {
    const startedAtMs = queue.nowMs();
    const { incarnation } = instance;
    const timeoutMs = READ_TIMEOUT_MS + (call === "await" ? FEED_WAIT_MS : 0);
    const delayMs = refusalDelayMs(instance, timeoutMs);
    if (delayMs !== null) {
      queue.at(
        startedAtMs + delayMs,
        () => respond(instance, callId, { kind: "failed", detail: "refused" }),
      );
      return;
    }
    const poll = (): void => {
      if (instance.incarnation !== incarnation) return;
      const outcome = answers[call](instance, { rowVersion, startedAtMs });
      if (outcome === null) queue.at(queue.nowMs() + FEED_POLL_MS, poll);
      else respond(instance, callId, outcome);
    };
    const factor = activeFault("slow") === undefined ? 1 : SLOW_STORE_FACTOR;
    queue.at(startedAtMs + factor * STORE_MS, poll);
  }

  function operate({ addedQueues }: OperatorChange): void {
    const before = stored.at(-1);
    const queues = [...before?.configuration.queues ?? []];
    if (addedQueues === 0) {
      queues.splice(Math.floor(random() * queues.length), 1);
    }
    for (let count = 0; count < addedQueues; count += 1) {
      queues.push(queueOf(nextQueueIndex));
      nextQueueIndex += 1;
    }
    storeVersion += 1 + Math.floor(3 * random());
    stored.push({
      rowVersion: storeVersion,
      ackedAtMs: queue.nowMs(),
      configuration: {
        rowVersion: storeVersion,
        version: (before?.configuration.version ?? 0) + 1 +
          Math.floor(3 * random()),
        queues,
        services: [{ name: "s", healthPath: "/h", guardsCapacity: false }],
        maxBodyBytes: 1e6,
        maxHeaderBytes: 1e5,
        idleTimeoutMs: 15_000,
      },
    });
  }

  /** Starts an instance, which is connected to all others at once. */
  function start(instance: SimulatedInstance): void {
    instance.isUp = true;
    instance.incarnation += 1;
    instance.troubledAtMs = queue.nowMs();
    instance.version = -1;
    instance.seenVersion = 0;
    const { incarnation } = instance;
    const bornMs = EPOCH_MS + queue.nowMs() + instance.incarnation;
    instance.state = newState({ ...instance.info, bornMs });
    const others = instances.filter((other) => other !== instance);
    dispatch(instance, incarnation, {
      type: "instancesRead",
      nowMs: queue.nowMs(),
      instances: others.map(({ state }) => state.self),
    });
    // Without a worker there is no leader, and without a leader instances send
    // more heartbeats.
    const nowMs = queue.nowMs();
    const type = "workersRead";
    dispatch(instance, incarnation, { type, nowMs, workers: [worker] });
    for (const other of others) {
      dispatch(instance, incarnation, {
        type: "peerUp",
        nowMs,
        instanceId: other.info.instanceId,
      });
      dispatch(other, other.incarnation, {
        type: "peerUp",
        nowMs,
        instanceId: instance.info.instanceId,
      });
    }
    const tick = (): void => {
      if (instance.incarnation !== incarnation || !instance.isUp) return;
      const nowMs = queue.nowMs();
      dispatch(instance, incarnation, {
        type: "tick",
        nowMs,
        wallMs: EPOCH_MS + nowMs,
      });
      queue.at(nowMs + TICK_MS, tick);
    };
    queue.at(queue.nowMs() + TICK_MS * random(), tick);
  }

  function stop(instance: SimulatedInstance): void {
    instance.isUp = false;
    instance.troubledAtMs = queue.nowMs();
    for (const other of instances) {
      if (other === instance) continue;
      dispatch(other, other.incarnation, {
        type: "peerDown",
        nowMs: queue.nowMs(),
        instanceId: instance.info.instanceId,
        refused: true,
      });
    }
  }

  function drawAffected(
    { share = 1, largestOnly = false }: ConfigurationFault,
  ): SimulatedInstance[] {
    return instances.filter(({ info }) =>
      random() < share && (!largestOnly || /-[12]$/.test(info.instanceId))
    );
  }

  const beginFault: Record<
    ConfigurationFaultKind,
    (fault: ConfigurationFault) => void
  > = {
    deaf: () => {},
    slow: () => {},
    zoneCut: () => {},
    freeze: (fault) => {
      for (const instance of drawAffected(fault)) {
        instance.frozenUntilMs = queue.nowMs() + fault.forMs;
        instance.troubledAtMs = instance.frozenUntilMs;
      }
    },
    compact: () => {
      queue.at(queue.nowMs() + DEAF_MS, () => {
        historyFrom = storeVersion;
      });
    },
    refuse: (fault) => refuse(fault, "refuse"),
    silent: (fault) => refuse(fault, "silent"),
    restart: (fault) => {
      for (const instance of drawAffected(fault)) {
        stop(instance);
        queue.at(queue.nowMs() + fault.forMs, () => start(instance));
      }
    },
  };

  function refuse(fault: ConfigurationFault, how: "refuse" | "silent"): void {
    for (const instance of drawAffected(fault)) {
      refused.set(instance, how);
      queue.at(queue.nowMs() + fault.forMs, () => {
        refused.delete(instance);
        // It may be frozen for longer.
        instance.troubledAtMs = Math.max(instance.troubledAtMs, queue.nowMs());
      });
    }
  }

  /** Returns the time in which a configuration must be in force at present. */
  function applyBoundMs(): number {
    let boundMs = APPLY_MS;
    for (const { kind, atMs, forMs } of faults) {
      const nowMs = queue.nowMs();
      if (nowMs < atMs || nowMs > atMs + forMs + STABLE_MS) continue;
      boundMs = Math.max(boundMs, faultyApplyMs[kind]);
    }
    return boundMs;
  }

  function check(): void {
    const nowMs = queue.nowMs();
    const boundMs = applyBoundMs();
    for (const instance of instances) {
      if (!instance.isUp || refused.has(instance)) continue;
      if (nowMs - instance.troubledAtMs < STABLE_MS) continue;
      const due = stored.findLast(({ ackedAtMs }) =>
        ackedAtMs <= nowMs - boundMs
      );
      const missing = stored.find(({ configuration }) =>
        configuration.version > instance.version
      );
      if (missing !== undefined) {
        slowestMs = Math.max(slowestMs, nowMs - missing.ackedAtMs);
      }
      if (due === undefined) continue;
      const { version } = due.configuration;
      if (version <= instance.version) continue;
      violations.push(
        `${instance.info.instanceId} has ${instance.version} at ${nowMs}: ` +
          `${version} was acknowledged at ${due.ackedAtMs}`,
      );
      // Reported once for each version.
      instance.troubledAtMs = Math.max(instance.troubledAtMs, nowMs);
    }
    queue.at(nowMs + CHECK_MS, check);
  }

  operate({ atMs: 0, addedQueues: run.queues });
  for (const instance of instances) start(instance);
  for (const change of run.changes) {
    queue.at(change.atMs, () => operate(change));
  }
  for (const fault of faults) {
    queue.at(fault.atMs, () => beginFault[fault.kind](fault));
  }
  queue.at(CHECK_MS, check);
  await queue.runUntil(run.durationMs);
  return {
    violations,
    mostCopiesSent: Math.max(
      ...instances.map(({ state }) => state.counters.configurationCopiesSent),
    ),
    peerBytes,
    storeBytes,
    slowestMs,
  };
}
