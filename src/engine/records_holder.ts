/**
 * What a leader without the records learns of their owner from the store. A
 * process that has started doesn't remember which zone has the records, and the
 * instances that do may all be gone: the store is what outlives them. An owner
 * that is alive and reaches the store updates its row there all the time, so a
 * row that doesn't change any more tells of an owner that is lost or has
 * relinquished the records. The store alone decides who owns them; the watch only
 * prevents leaders from taking them from an owner that serves.
 */

import { emit, logDecision } from "./effects.ts";
import { rankOfZone } from "./leader_lookup.ts";
import type {
  EngineEventOf,
  EngineState,
  HolderWatch,
  RecordsHolder,
  RecordStoreState,
  ReduceContext,
  Scheduler,
} from "./types.ts";

/**
 * Interval at which a leader reads the owner of the records, which bounds the
 * reads of the fleet to two a second for each zone.
 */
const HOLDER_READ_INTERVAL_MS = 500;
/**
 * Delay of a leader for each zone before its own, which gives the leaders there
 * time to take the records over.
 */
const ZONE_RANK_DELAY_MS = 400;

/** Reads the owner of the records from the store, if a read is due. */
export function readHolderIfDue(
  context: ReduceContext,
  { records }: Scheduler,
): void {
  const { nowMs } = context.state;
  const { holderWatch, term } = records;
  if (nowMs < holderWatch.nextReadAtMs) return;
  holderWatch.nextReadAtMs = Infinity;
  holderWatch.readSentAtMs = nowMs;
  emit(context, { type: "readHolder", term });
}

/** Handles the owner of the records as the store has it. */
export function onHolderRead(
  context: ReduceContext,
  { term, outcome }: EngineEventOf<"holderRead">,
): void {
  const { state } = context;
  const { records } = state.scheduler ?? {};
  if (records === undefined || records.term !== term) return;
  const { holderWatch } = records;
  holderWatch.nextReadAtMs = state.nowMs + HOLDER_READ_INTERVAL_MS;
  if (outcome.kind === "unavailable") return;
  const { holder } = outcome;
  // A release that didn't store the zone leaves the choice to the list of zones.
  holderWatch.isAbsent = holder === null || holder.availabilityZone === null;
  if (holder === null) return;
  observeHolder(state, holderWatch, holder);
  if (state.recordsZone !== null) return;
  state.recordsZone = holder.availabilityZone;
  logDecision(context, { part: "records", text: "owner of the records read" }, {
    holderId: holder.instanceId,
    holderZone: holder.availabilityZone,
  });
}

function observeHolder(
  { nowMs }: EngineState,
  watch: HolderWatch,
  { version }: RecordsHolder,
): void {
  if (watch.version === version) {
    watch.lastSeenAtMs = watch.readSentAtMs;
    return;
  }
  watch.hasChanged ||= watch.version !== null;
  watch.version = version;
  watch.firstSeenAtMs = nowMs;
  watch.lastSeenAtMs = nowMs;
}

/** Forgets how long the owner has not confirmed, since it is heard from. */
export function forgetHolder({ holderWatch }: RecordStoreState): void {
  holderWatch.version = null;
  holderWatch.hasChanged = false;
}

/** Time for which the owner of the records has certainly not confirmed. */
export function unconfirmedMs(
  { version, firstSeenAtMs, lastSeenAtMs }: HolderWatch,
): number {
  return version === null ? 0 : lastSeenAtMs - firstSeenAtMs;
}

/**
 * Whether this leader may take the records over, since their owner has not
 * confirmed its ownership in time.
 */
export function isHolderAbandoned(
  state: EngineState,
  { holderWatch }: RecordStoreState,
): boolean {
  const delayMs = rankOfZone(state) * ZONE_RANK_DELAY_MS;
  return holderWatch.version !== null &&
    state.guards.isAbandoned(unconfirmedMs(holderWatch) - delayMs);
}
