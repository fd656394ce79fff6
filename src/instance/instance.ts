/**
 * One instance as a library: the shell that feeds the reducer with events and
 * carries out its effects. Listeners for callers use it through `submit`.
 */

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
  Effect,
  EngineEvent,
  EngineState,
} from "../engine/types.ts";
import type { ClockHost } from "../host/clock_host.ts";
import { createRecordStore } from "./record_store.ts";
import { startStoreReaders } from "./store_readers.ts";
import type { StoreHost, WorkerHost } from "./hosts.ts";
import type { JsonLog } from "./json_log.ts";
import { createMetrics, type Metrics } from "./metrics.ts";
import { createStallWatch } from "./stall_watch.ts";
import { createPeerMesh, type PeerMesh } from "./peer_mesh.ts";

/** Period of the engine's tick. */
const TICK_MS = 25;

/** What an instance is made from. */
export interface InstanceOptions {
  readonly self: InstanceInfo;
  readonly leaseMs: number;
  /** The longest that a worker takes to stop a run. */
  readonly stopMs: number;
  /** Addresses of instances that may tell of others, as HOST:PORT. */
  readonly seeds: readonly string[];
  /** Where a peer is reached, if not at the address that it tells. */
  readonly dialAddress?: (peer: InstanceInfo) => string;
  readonly clock: ClockHost;
  readonly workers: WorkerHost;
  readonly store: StoreHost;
  readonly log: JsonLog;
}

/** A job that a caller hands in. */
export interface CallerSubmission {
  readonly jobId: string;
  readonly queue: QueueRule;
  readonly job: JobSpec;
  /** How long the caller waits for its answer. */
  readonly timeoutMs: number;
  readonly answerAt: AnswerAt;
  readonly onAnswer: (reply: CallerReply) => void;
}

interface Waiting {
  readonly onAnswer: (reply: CallerReply) => void;
  readonly sinceMs: number;
}

/** A running instance. */
export interface Instance {
  readonly state: EngineState;
  readonly metrics: Metrics;
  /** Hands in a job; the function returned says that the caller left. */
  readonly submit: (submission: CallerSubmission) => () => void;
  /** Asks the leader. */
  readonly ask: (question: JobQuery) => Promise<Reply>;
  /** Puts a configuration in force, if it is newer. */
  readonly adoptConfiguration: (configuration: Configuration) => void;
  /** Bytes to and from peers since the start. */
  readonly peerBytes: () => { sent: number; received: number };
  /** Stops leading and taking new work. */
  readonly drain: () => void;
  readonly stop: () => Promise<void>;
}

/** Starts an instance. */
export async function startInstance(
  options: InstanceOptions,
): Promise<Instance> {
  const { self, clock, workers, store, log } = options;
  const records = createRecordStore(store, {
    log,
    instanceId: self.instanceId,
  });
  const state = createEngine({
    self,
    leaseMs: options.leaseMs,
    stopMs: options.stopMs,
    nowMs: clock.nowMs(),
    wallMs: clock.wallMs(),
  });
  const metrics = createMetrics(state);
  const waiting = new Map<string, Waiting>();
  const asked = new Map<string, (reply: Reply) => void>();
  let nextRequest = 0;
  let mesh: PeerMesh | null = null;

  const stalledMs = createStallWatch(clock);

  function dispatch(event: EngineEvent): void {
    const pausedMs = stalledMs();
    if (pausedMs > 0) {
      apply({ type: "processPaused", nowMs: clock.nowMs(), pausedMs });
    }
    apply(event);
  }

  function apply(event: EngineEvent): void {
    for (const effect of reduce(state, event)) perform(effect);
  }

  const performers: {
    [T in Effect["type"]]: (effect: Extract<Effect, { type: T }>) => void;
  } = {
    answerCaller: ({ requestId, reply }) => {
      const found = waiting.get(requestId);
      if (found === undefined) return;
      waiting.delete(requestId);
      metrics.noteAnswer(reply, clock.nowMs() - found.sinceMs);
      found.onAnswer(reply);
    },
    answerQuery: ({ requestId, reply }) => {
      asked.get(requestId)?.(reply);
      asked.delete(requestId);
    },
    openRecords: (effect) => {
      const { term } = effect;
      void records.open(effect).then((outcome) => {
        const nowMs = clock.nowMs();
        dispatch({ type: "recordsOpened", nowMs, term, outcome });
      });
    },
    writeRecords: (effect) => {
      const { writeId } = effect;
      void records.write(effect).then((outcome) => {
        const nowMs = clock.nowMs();
        dispatch({ type: "recordsWritten", nowMs, writeId, outcome });
      });
    },
    sendPeer: ({ instanceId, message }) => mesh?.send(instanceId, message),
    hold: (effect) => {
      const { workerId, callId } = effect;
      void workers.hold(effect).then((outcome) =>
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

  function perform(effect: Effect): void {
    const performer = performers[effect.type] as (effect: Effect) => void;
    performer(effect);
  }

  mesh = await createPeerMesh({
    self,
    dialAddress: options.dialAddress ?? (({ address }) => address),
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
          text: "a message can't be read",
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
      nextRequest += 1;
      const requestId = String(nextRequest);
      waiting.set(requestId, { onAnswer, sinceMs: clock.nowMs() });
      dispatch({
        type: "callerSubmit",
        nowMs: clock.nowMs(),
        requestId,
        ...submission,
      });
      return () => {
        if (!waiting.delete(requestId)) return;
        dispatch({ type: "callerGone", nowMs: clock.nowMs(), requestId });
      };
    },
    ask(query) {
      nextRequest += 1;
      const requestId = String(nextRequest);
      return new Promise((resolve) => {
        asked.set(requestId, resolve);
        const nowMs = clock.nowMs();
        dispatch({ type: "callerQuery", nowMs, requestId, query });
      });
    },
    adoptConfiguration(configuration) {
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
