/** Reads the store again and again, as far as this instance has to. */

import type { Configuration, InstanceInfo } from "../engine/schemas.ts";
import type { EngineEvent, EngineState } from "../engine/types.ts";
import type { ClockHost } from "../host/clock_host.ts";
import { sleep } from "../host/sleep.ts";
import type { StoreHost } from "./hosts.ts";
import { announceInstance, readInstances } from "./instance_table.ts";
import type { JsonLog } from "./json_log.ts";

/** How often the list of workers is read. */
const READ_WORKERS_MS = 700;
/** A leader whose list is older than this has lost the store. */
const STALE_LIST_MS = 2_000;
/** A call that failed is tried again after so long. */
const RETRY_MS = 250;
/** How often an instance that hears nobody looks for others. */
const LOOK_FOR_PEERS_MS = 3_000;

/** What the readers need of the shell. */
export interface ReaderHost {
  readonly self: InstanceInfo;
  readonly seeds: readonly string[];
  readonly state: EngineState;
  readonly store: StoreHost;
  readonly log: JsonLog;
  readonly clock: ClockHost;
  readonly dispatch: (event: EngineEvent) => void;
}

/** Whether this instance should read the list of workers itself. */
export function shouldReadWorkers(state: EngineState): boolean {
  if (state.scheduler !== null || state.leaderId === null) return true;
  const leader = state.peers.get(state.leaderId);
  return leader !== undefined && leader.workersAgeMs > STALE_LIST_MS;
}

/** Starts all readers; the function returned stops them. */
export function startStoreReaders(host: ReaderHost): () => void {
  const { state, store, log, clock, dispatch } = host;
  let stopped = false;
  let reachable = true;

  function noteReachable(now: boolean, detail = ""): void {
    if (reachable === now) return;
    reachable = now;
    log.write(now ? "info" : "warn", {
      part: "store",
      text: now ? "the store answers again" : "the store does not answer",
      fields: { detail },
    });
  }

  async function attempt<T>(call: () => Promise<T>): Promise<T | undefined> {
    try {
      const result = await call();
      noteReachable(true);
      return result;
    } catch (error) {
      noteReachable(false, (error as Error).message);
      return undefined;
    }
  }

  async function followConfiguration(): Promise<void> {
    let known = false;
    while (!stopped) {
      const configuration: Configuration | null | undefined = await attempt(
        known ? store.awaitConfiguration : store.readConfiguration,
      );
      if (stopped) return;
      known = configuration !== undefined;
      if (configuration === undefined) await sleep(RETRY_MS);
      else if (configuration !== null) {
        const nowMs = clock.nowMs();
        dispatch({ type: "configurationRead", nowMs, configuration });
      }
    }
  }

  async function followWorkers(): Promise<void> {
    while (!stopped) {
      if (shouldReadWorkers(state)) {
        const workers = await attempt(store.readWorkers);
        if (stopped) return;
        const nowMs = clock.nowMs();
        if (workers === undefined) {
          dispatch({ type: "workersUnreadable", nowMs });
        } else dispatch({ type: "workersRead", nowMs, workers });
      }
      const settling = state.workers.size === 0;
      await sleep(settling ? RETRY_MS : READ_WORKERS_MS);
    }
  }

  async function findPeers(): Promise<void> {
    let announced = false;
    while (!stopped) {
      if (!announced) {
        const result = await attempt(async () => {
          await announceInstance(store, host.self);
          return true;
        });
        announced = result === true;
      }
      const instances = await attempt(() => readInstances(store));
      if (stopped) return;
      const nowMs = clock.nowMs();
      dispatch({
        type: "instancesRead",
        nowMs,
        instances: instances ?? seedInstances(host),
      });
      const done = announced && instances !== undefined;
      await sleep(done ? LOOK_FOR_PEERS_MS : RETRY_MS);
      while (!stopped && announced && heardSomebody(state)) {
        await sleep(LOOK_FOR_PEERS_MS);
      }
    }
  }

  void followConfiguration();
  void followWorkers();
  void findPeers();
  return () => {
    stopped = true;
  };
}

function heardSomebody(state: EngineState): boolean {
  for (const peer of state.peers.values()) {
    if (state.nowMs - peer.lastHeardAtMs < LOOK_FOR_PEERS_MS) return true;
  }
  return false;
}

/** Instances at the seeds' addresses, whose names are not known yet. */
function seedInstances({ self, seeds }: ReaderHost): InstanceInfo[] {
  return seeds.filter((address) => address !== self.address)
    .map((address) => ({
      instanceId: `seed@${address}`,
      availabilityZone: "",
      region: "",
      address,
      bornMs: 0,
    }));
}
