/**
 * One instance as a library: passes events to the reducer and performs the
 * effects that it returns. Listeners for callers submit jobs through `submit`.
 */

import { InvariantError } from "../engine/debug.ts";
import { createEngine, reduce } from "../engine/reduce.ts";
import type {
  Configuration,
  InstanceInfo,
  JobQuery,
  JobSpec,
  QueueRule,
  Reply,
} from "../engine/schemas.ts";
import type {
  AnswerAt,
  CallerReply,
  ConfigurationOutcome,
  Effect,
  EngineEvent,
  EngineState,
} from "../engine/types.ts";
import type { ClientLimits } from "../host/client_limits.ts";
import type { ClockHost } from "../host/clock_host.ts";
import type { ClientBudget } from "../host/guarded_server.ts";
import type { StoreHost, WorkerHost } from "./hosts.ts";
import type { JsonLog } from "./json_log.ts";
import { createMetrics, type Metrics } from "./metrics.ts";
import { createPauseDetector } from "./pause_detector.ts";
import { createPeerMesh, type PeerMesh } from "./peer_mesh.ts";
import { createRecordStore } from "./record_store.ts";
import { readEvacuations, startStoreReaders } from "./store_readers.ts";

/**
 * Time between an internal error and the end of the process, in which the log
 * line and the messages to peers are written.
 */
const FAILURE_FLUSH_MS = 50;
/** Interval between `tick` events. */
const TICK_MS = 25;
/**
 * Duration from which on the handling of an event is logged: two ticks, a tenth
 * of the time without messages after which peers presume a leader lost.
 */
const SLOW_EVENT_MS = 50;

/** The settings of an instance and the interfaces that it uses. */
export interface InstanceOptions {
  readonly self: InstanceInfo;
  /** Duration of the leases on workers. */
  readonly leaseMs: number;
  /** The longest time a worker takes to stop a run. */
  readonly stopMs: number;
  /** See `EngineOptions.evacuateMs`. */
  readonly evacuateMs?: number | undefined;
  /** Addresses, as HOST:PORT, to contact if the instance table is unreadable. */
  readonly seeds: readonly string[];
  /** Returns the address to connect to; by default the peer's `address`. */
  readonly dialAddress?: (peer: InstanceInfo) => string;
  readonly clock: ClockHost;
  readonly workers: WorkerHost;
  readonly store: StoreHost;
  readonly log: JsonLog;
  /** Bounds on what clients and peers use; none by default. */
  readonly limits?: ClientLimits;
  readonly budget?: ClientBudget;
  /**
   * Called after an internal error that may have damaged the state; by default
   * the error is thrown from a timer, which ends the process.
   */
  readonly onFailure?: (error: Error) => void;
}

/** A job submitted by a caller. */
export interface CallerSubmission {
  readonly jobId: string;
  readonly queue: QueueRule;
  readonly job: JobSpec;
  /** How long the caller waits for the answer. */
  readonly timeoutMs: number;
  readonly answerAt: AnswerAt;
  readonly onAnswer: (reply: CallerReply) => void;
}

interface PendingSubmission {
  readonly onAnswer: (reply: CallerReply) => void;
  readonly submittedAtMs: number;
}

/** A running instance. */
export interface Instance {
  readonly state: EngineState;
  readonly metrics: Metrics;
  /** Submits a job; the returned function reports that the caller is gone. */
  readonly submit: (submission: CallerSubmission) => () => void;
  /** Sends a query about jobs to the leader. */
  readonly query: (query: JobQuery) => Promise<Reply>;
  /** Applies a configuration if it is newer than the current one. */
  readonly applyConfiguration: (configuration: Configuration) => void;
  /**
   * Returns the traffic with peers since the start, in UTF-16 code units: bytes
   * if all of it is ASCII.
   */
  readonly peerBytes: () => { sent: number; received: number };
  /**
   * Notifies the peers that this instance is draining, and hands leadership to one
   * of them if it can. Submissions are still accepted.
   */
  readonly drain: () => void;
  readonly stop: () => Promise<void>;
}

/** Starts an instance; resolves once it listens for peers. */
export async function startInstance(
  options: InstanceOptions,
): Promise<Instance> {
  const { self, clock, workers, store, log } = options;
  const onFailure = options.onFailure ?? ((error: Error) => {
    throw error;
  });
  const records = createRecordStore(store, {
    log,
    instanceId: self.instanceId,
    availabilityZone: self.availabilityZone,
  });
  const state = createEngine({
    self,
    leaseMs: options.leaseMs,
    stopMs: options.stopMs,
    evacuateMs: options.evacuateMs,
    nowMs: clock.nowMs(),
    wallMs: clock.wallMs(),
    limits: options.limits,
  });
  const metrics = createMetrics(state);
  const pendingSubmissions = new Map<string, PendingSubmission>();
  const pendingQueries = new Map<string, (reply: Reply) => void>();
  let requestCount = 0;
  let mesh: PeerMesh | null = null;
  let hasFailed = false;

  const measureDelay = createPauseDetector(clock);

  /**
   * Applies an event, after a `processPaused` or `processBusy` event if a delay
   * was detected.
   */
  function dispatch(event: EngineEvent): void {
    const { pausedMs, busyMs } = measureDelay();
    const { nowMs } = event;
    if (pausedMs > 0) apply({ type: "processPaused", nowMs, pausedMs });
    if (busyMs > 0) apply({ type: "processBusy", nowMs, busyMs });
    apply(event);
    observeDuration(event, clock.nowMs() - nowMs);
  }

  function apply(event: EngineEvent): void {
    if (hasFailed) return;
    let effects: Effect[] = [];
    try {
      effects = reduce(state, event);
    } catch (error) {
      fail(error as Error, event);
    }
    for (const effect of effects) performEffect(effect);
  }

  /** Records for how long an event was handled, and logs a slow one. */
  function observeDuration({ type }: EngineEvent, tookMs: number): void {
    metrics.observeEvent(tookMs);
    if (tookMs < SLOW_EVENT_MS) return;
    log.write("warn", {
      part: "instance",
      text: "event took long to handle",
      fields: {
        event: type,
        tookMs: Math.round(tookMs),
        jobs: state.scheduler?.jobs.size ?? 0,
        workers: state.scheduler?.workers.size ?? 0,
      },
    });
  }

  /**
   * Stops this instance, whose state may be damaged: it handles no event any
   * more. The peers are told which job was handled, if the error or the event
   * names one, so that the next leader doesn't start with it.
   */
  function fail(error: Error, event: EngineEvent): void {
    hasFailed = true;
    const namedId = error instanceof InvariantError ? error.jobId : undefined;
    const jobId = namedId ?? submittedJobId(event);
    log.write("error", {
      part: "instance",
      text: "instance ends by an internal error",
      fields: { detail: error.message, jobId, stack: error.stack },
    });
    if (jobId !== undefined) {
      for (const instanceId of state.peers.keys()) {
        mesh?.send(instanceId, { type: "jobFault", jobId });
      }
    }
    setTimeout(() => onFailure(error), FAILURE_FLUSH_MS);
  }

  const effectHandlers: {
    [T in Effect["type"]]: (effect: Extract<Effect, { type: T }>) => void;
  } = {
    answerCaller: ({ requestId, reply }) => {
      const pending = pendingSubmissions.get(requestId);
      if (pending === undefined) return;
      pendingSubmissions.delete(requestId);
      metrics.observeAnswer(reply, clock.nowMs() - pending.submittedAtMs);
      pending.onAnswer(reply);
    },
    answerQuery: ({ requestId, reply }) => {
      pendingQueries.get(requestId)?.(reply);
      pendingQueries.delete(requestId);
    },
    openRecords: (effect) => {
      const { term } = effect;
      const onClaimed = (): void =>
        dispatch({ type: "recordsClaimed", nowMs: clock.nowMs(), term });
      void records.open(effect, onClaimed).then((outcome) => {
        const nowMs = clock.nowMs();
        dispatch({ type: "recordsOpened", nowMs, term, outcome });
      });
    },
    readHolder: ({ term }) => {
      void records.readHolder().then((outcome) => {
        const nowMs = clock.nowMs();
        dispatch({ type: "holderRead", nowMs, term, outcome });
      });
    },
    checkRecords: ({ term, sentAtMs }) => {
      void records.check().then((outcome) => {
        const nowMs = clock.nowMs();
        dispatch({ type: "recordsChecked", nowMs, term, sentAtMs, outcome });
      });
    },
    callConfiguration: (effect) => {
      const { callId, call, rowVersion } = effect;
      const settle = (outcome: ConfigurationOutcome): void =>
        dispatch({
          type: "configurationAnswered",
          nowMs: clock.nowMs(),
          callId,
          outcome,
        });
      store.configuration[call](rowVersion).then(
        settle,
        (error: Error) => settle({ kind: "failed", detail: error.message }),
      );
    },
    continueOpening: ({ term }) => {
      setImmediate(() =>
        dispatch({ type: "openingContinued", nowMs: clock.nowMs(), term })
      );
    },
    writeRecords: (effect) => {
      const { writeId } = effect;
      void records.write(effect).then((outcome) => {
        const nowMs = clock.nowMs();
        dispatch({ type: "recordsWritten", nowMs, writeId, outcome });
      });
    },
    readEvacuations: ({ requestedAtMs }) => {
      void readEvacuations(store, requestedAtMs).then((outcome) =>
        dispatch({ nowMs: clock.nowMs(), ...outcome })
      );
    },
    sendPeer: ({ instanceId, message }) => mesh?.send(instanceId, message),
    hold: (effect) => {
      const { workerId, callId } = effect;
      void workers.poll(effect).then((outcome) =>
        dispatch({
          type: "pollCompleted",
          nowMs: clock.nowMs(),
          workerId,
          callId,
          outcome,
        })
      );
    },
    startTask: (effect) => {
      const { workerId, taskName, run, fence } = effect;
      void workers.start(effect).then((outcome) =>
        dispatch({
          type: "startCompleted",
          nowMs: clock.nowMs(),
          workerId,
          taskName,
          run,
          fence,
          outcome,
        })
      );
    },
    stopTask: (effect) => {
      const { workerId, taskName, run } = effect;
      void workers.stop(effect).then((outcome) =>
        dispatch({
          type: "stopCompleted",
          nowMs: clock.nowMs(),
          workerId,
          taskName,
          run,
          outcome,
        })
      );
    },
    log: ({ level, part, text, fields }) =>
      log.write(level, { part, text, fields }),
    peersChanged: () =>
      mesh?.setPeers([...state.peers.values()].map((peer) => peer.info)),
  };

  function performEffect(effect: Effect): void {
    const handler = effectHandlers[effect.type] as (effect: Effect) => void;
    handler(effect);
  }

  mesh = await createPeerMesh({
    self,
    dialAddress: options.dialAddress ?? (({ address }) => address),
    limits: options.limits?.peers,
    budget: options.budget,
    log,
    handlers: {
      onMessage: (from, message) =>
        dispatch({ type: "peerMessage", nowMs: clock.nowMs(), from, message }),
      onUp: (instanceId) =>
        dispatch({ type: "peerUp", nowMs: clock.nowMs(), instanceId }),
      onDown: (instanceId, refused) =>
        dispatch({
          type: "peerDown",
          nowMs: clock.nowMs(),
          instanceId,
          refused,
        }),
      onMalformed: (detail) =>
        log.write("warn", {
          part: "peers",
          text: "malformed message received from a peer",
          fields: { detail },
        }),
    },
  });
  const ticker = setInterval(() =>
    dispatch({
      type: "tick",
      nowMs: clock.nowMs(),
      wallMs: clock.wallMs(),
    }), TICK_MS);
  const stopReaders = startStoreReaders({
    self,
    seeds: options.seeds,
    state,
    store,
    log,
    dispatch,
    clock,
  });

  return {
    state,
    metrics,
    submit({ onAnswer, ...submission }) {
      requestCount += 1;
      const requestId = String(requestCount);
      pendingSubmissions.set(requestId, {
        onAnswer,
        submittedAtMs: clock.nowMs(),
      });
      dispatch({
        type: "callerSubmit",
        nowMs: clock.nowMs(),
        requestId,
        ...submission,
      });
      return () => {
        if (!pendingSubmissions.delete(requestId)) return;
        const { jobId } = submission;
        const nowMs = clock.nowMs();
        dispatch({ type: "callerGone", nowMs, requestId, jobId });
      };
    },
    query(query) {
      requestCount += 1;
      const requestId = String(requestCount);
      return new Promise((resolve) => {
        pendingQueries.set(requestId, resolve);
        const nowMs = clock.nowMs();
        dispatch({ type: "callerQuery", nowMs, requestId, query });
      });
    },
    applyConfiguration(configuration) {
      const nowMs = clock.nowMs();
      dispatch({ type: "configurationRead", nowMs, configuration });
    },
    peerBytes: () => mesh?.bytes() ?? { sent: 0, received: 0 },
    drain: () => dispatch({ type: "drainRequested", nowMs: clock.nowMs() }),
    async stop() {
      clearInterval(ticker);
      stopReaders();
      await mesh?.close();
      await workers.close();
      await store.close();
    },
  };
}

/** Returns the id of the job that an event submits, if it submits one. */
function submittedJobId(event: EngineEvent): string | undefined {
  if (event.type === "callerSubmit") return event.jobId;
  if (event.type !== "peerMessage") return undefined;
  return event.message.type === "submit" ? event.message.jobId : undefined;
}
