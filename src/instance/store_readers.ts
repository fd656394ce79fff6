/**
 * Registers the instance in the store, and periodically reads the list of
 * workers and the registered instances from it.
 */

import type { InstanceInfo } from "../engine/schemas.ts";
import { listToRegister } from "../engine/leader_lists.ts";
import type {
  EngineEvent,
  EngineState,
  RegisteredList,
} from "../engine/types.ts";
import type { ClockHost } from "../host/clock_host.ts";
import { sleep } from "../host/sleep.ts";
import type { StoreHost } from "./hosts.ts";
import { announceInstance, readInstances } from "./instance_table.ts";
import type { JsonLog } from "./json_log.ts";
import { readRegisteredLists, registerList } from "./list_registry.ts";

/** Interval between reads of the list of workers. */
const WORKERS_READ_INTERVAL_MS = 700;
/** The same while a worker of this leader has crashed and may be back. */
const CRASHED_READ_INTERVAL_MS = 200;
/** Length of the list up to which it is read that often. */
const MAX_FREQUENTLY_READ_WORKERS = 1_000;
/**
 * Age of the leader's list of workers above which the leader is presumed cut
 * off from the store.
 */
const STALE_LIST_AGE_MS = 2_000;
/**
 * Delay before a failed call is retried, or an empty list of workers is read
 * again.
 */
const RETRY_DELAY_MS = 250;
/** Interval at which a leader compares its list with the registered one. */
const LIST_CHECK_INTERVAL_MS = 100;
/** Interval at which an instance that hears from no peer looks for peers. */
const DISCOVERY_INTERVAL_MS = 3_000;

/** What the readers need from their instance. */
export interface StoreReaderOptions {
  readonly self: InstanceInfo;
  readonly seeds: readonly string[];
  readonly state: EngineState;
  readonly store: StoreHost;
  readonly log: JsonLog;
  readonly clock: ClockHost;
  readonly dispatch: (event: EngineEvent) => void;
}

/**
 * Whether this instance has to read the list of workers itself: it is the
 * leader, there is no leader, or the leader's list is out of date.
 */
export function shouldReadWorkers(state: EngineState): boolean {
  if (state.scheduler !== null || state.leaderId === null) return true;
  const leader = state.peers.get(state.leaderId);
  return leader !== undefined && leader.workersAgeMs > STALE_LIST_AGE_MS;
}

/**
 * Returns the time after which the list of workers is to be read again: soon
 * while a crashed worker may be back.
 */
export function workersReadIntervalMs(
  { workers, scheduler }: EngineState,
): number {
  if (workers.size === 0) return RETRY_DELAY_MS;
  if (workers.size > MAX_FREQUENTLY_READ_WORKERS) {
    return WORKERS_READ_INTERVAL_MS;
  }
  for (const { crash } of scheduler?.workers.values() ?? []) {
    if (crash !== null) return CRASHED_READ_INTERVAL_MS;
  }
  return WORKERS_READ_INTERVAL_MS;
}

/** Starts all readers; the returned function stops them. */
export function startStoreReaders(options: StoreReaderOptions): () => void {
  const { state, store, log, clock, dispatch } = options;
  let stopped = false;
  let reachable = true;

  /** Logs when the store becomes available or unavailable. */
  function updateReachable(isReachable: boolean, detail = ""): void {
    if (reachable === isReachable) return;
    reachable = isReachable;
    log.write(isReachable ? "info" : "warn", {
      part: "store",
      text: isReachable ? "store is available again" : "store is unavailable",
      fields: { detail },
    });
  }

  async function attempt<T>(call: () => Promise<T>): Promise<T | undefined> {
    try {
      const result = await call();
      updateReachable(true);
      return result;
    } catch (error) {
      updateReachable(false, (error as Error).message);
      return undefined;
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
      await sleep(workersReadIntervalMs(state));
    }
  }

  /**
   * Registers this instance, then reads the registered instances until a peer
   * is heard from, and again whenever no peer was heard from recently.
   */
  async function findPeers(): Promise<void> {
    let announced = false;
    while (!stopped) {
      if (!announced) {
        const result = await attempt(async () => {
          await announceInstance(store, options.self);
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
        instances: instances ?? seedInstances(options),
      });
      const succeeded = announced && instances !== undefined;
      await sleep(succeeded ? DISCOVERY_INTERVAL_MS : RETRY_DELAY_MS);
      while (!stopped && announced && hasRecentPeer(state)) {
        await sleep(DISCOVERY_INTERVAL_MS);
      }
    }
  }

  /**
   * Reads the lists that leaders have registered once, then registers that of
   * this instance whenever it is the leader.
   */
  async function registerLists(): Promise<void> {
    let isRead = false;
    while (!stopped) {
      const list: RegisteredList | null = isRead ? listToRegister(state) : null;
      if (!isRead || list !== null) {
        const lists: RegisteredList[] | undefined = await attempt(() =>
          list === null ? readRegisteredLists(store) : registerList(store, list)
        );
        if (stopped) return;
        const nowMs = clock.nowMs();
        if (lists === undefined) await sleep(RETRY_DELAY_MS);
        else dispatch({ type: "registeredListsRead", nowMs, lists });
        isRead ||= lists !== undefined;
      }
      await sleep(LIST_CHECK_INTERVAL_MS);
    }
  }

  void registerLists();
  void followWorkers();
  void findPeers();
  return () => {
    stopped = true;
  };
}

/** Reads the evacuated zones; the outcome is an event but for its time. */
export async function readEvacuations(
  store: Pick<StoreHost, "readEvacuations">,
  requestedAtMs: number,
) {
  try {
    const zones = await store.readEvacuations();
    return { type: "evacuationsRead" as const, requestedAtMs, zones };
  } catch (error) {
    const detail = (error as Error).message;
    return { type: "evacuationsUnreadable" as const, requestedAtMs, detail };
  }
}

/** Whether a peer was heard from within the discovery interval. */
function hasRecentPeer(state: EngineState): boolean {
  for (const peer of state.peers.values()) {
    if (state.nowMs - peer.lastHeardAtMs < DISCOVERY_INTERVAL_MS) return true;
  }
  return false;
}

/**
 * Returns an instance with a provisional ID for each seed address; the real IDs
 * are not known yet.
 */
function seedInstances({ self, seeds }: StoreReaderOptions): InstanceInfo[] {
  return seeds.filter((address) => address !== self.address)
    .map((address) => ({
      instanceId: `seed@${address}`,
      availabilityZone: "",
      region: "",
      address,
      bornMs: 0,
    }));
}
