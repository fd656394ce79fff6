/**
 * Evacuation of zones: operators name the zones on whose workers no task is to
 * start. Leaders read their names from the store, and heartbeats pass on what is
 * known, so that a new leader, or one that can't read the store, knows it too.
 */

import { emit, logDecision } from "../effects.ts";
import type { PeerMessageOf, WorkerInfo } from "../schemas.ts";
import type {
  EngineEventOf,
  EngineState,
  Job,
  OwnedWorker,
  ReduceContext,
} from "../types.ts";
import { tasksThatFit } from "../worker_loans.ts";
import type { EvacuationState } from "./evacuation_state.ts";

/**
 * Time between two requests of a leader to the store. With the 900 ms that a
 * response takes at most, a leader knows of an evacuation after 2.4 s.
 */
const READ_INTERVAL_MS = 1_500;
/**
 * Time before the bound of an evacuation from which on no task starts by a read
 * that may not have shown it. It covers the time until a start reaches its worker,
 * and reads of the store that return rows of more than a second before.
 */
const START_MARGIN_MS = 2_000;
/**
 * Lower bound of the time for which a read or an attempt is relied upon. Attempts
 * of a leader follow each other within 2.4 s, so with less it would stop starting
 * tasks between them.
 */
const MIN_TRUST_MS = 3_000;
/** Delay before a failed read is repeated. */
const RETRY_DELAY_MS = 250;
/** Maximum number of log lines about zones in one event. */
const MAX_LOGGED_ZONES = 20;

/** The part of a heartbeat that tells what its sender knows. */
type EvacuationReport = NonNullable<PeerMessageOf<"heartbeat">["evacuation"]>;

/**
 * Returns the state of an instance that knows nothing yet; null if its settings
 * have no bound, so that zones are not evacuated.
 */
export function createEvacuationState(
  evacuateMs: number | undefined,
): EvacuationState | null {
  if (evacuateMs === undefined) return null;
  return {
    evacuateMs,
    trustMs: Math.max(MIN_TRUST_MS, evacuateMs - START_MARGIN_MS),
    zones: new Map(),
    knownAtMs: -Infinity,
    attemptedAtMs: -Infinity,
    pendingSinceMs: null,
    nextReadAtMs: 0,
    suspension: { endedAtMs: -Infinity, forMs: 0 },
    isUnreadable: false,
  };
}

/**
 * Ages what is known by a suspension of the host, for which the monotonic clock
 * stood still; it went on during other pauses. To be called before the next tick.
 */
export function ageEvacuations(
  { evacuation, nowMs, lastTickAtMs }: EngineState,
  pausedMs: number,
): void {
  if (evacuation === null) return;
  const forMs = pausedMs - (nowMs - lastTickAtMs);
  if (forMs <= 0) return;
  evacuation.suspension = { endedAtMs: nowMs, forMs };
  evacuation.knownAtMs -= forMs;
  evacuation.zones = new Map(
    [...evacuation.zones].map(([zone, atMs]) => [zone, atMs - forMs]),
  );
}

/** Returns a time by the monotonic clock as if it had shown the suspension. */
function beforeSuspension(
  { suspension: { endedAtMs, forMs } }: EvacuationState,
  atMs: number,
): number {
  return atMs < endedAtMs ? atMs - forMs : atMs;
}

/** Whether a worker, or all workers of a zone, are known to be evacuated. */
export function isEvacuated(
  { evacuation }: EngineState,
  { availabilityZone }: Pick<WorkerInfo, "availabilityZone">,
): boolean {
  return evacuation !== null && evacuation.zones.has(availabilityZone);
}

/**
 * Whether a job can't run because of evacuations: it has tasks that fit only on
 * workers, of whichever cell, that are evacuated.
 */
export function needsEvacuatedWorkers(
  state: EngineState,
  { steps, queue: { service } }: Job,
): boolean {
  const { evacuation, workers } = state;
  if (evacuation === null || evacuation.zones.size === 0) return false;
  return steps.some((step) => {
    let fits = false;
    for (const info of workers.values()) {
      if (tasksThatFit(info, { ...step, service, count: 1 }) === 0) continue;
      if (!isEvacuated(state, info)) return false;
      fits = true;
    }
    return fits;
  });
}

/** Returns those of some workers on which tasks of a job may start now. */
type StartableWorkers = (job: Job, workers: OwnedWorker[]) => OwnedWorker[];

/**
 * Returns a function for the jobs of one event. It returns no worker while too
 * little is known, else those that are not evacuated, as far as known. A job that
 * has started may go on in an evacuated zone for a time.
 */
export function createStartableWorkers(state: EngineState): StartableWorkers {
  const { evacuation, guards, nowMs } = state;
  if (evacuation === null) return (_job, workers) => workers;
  if (!guards.mayTrustEvacuations(nowMs, evacuation)) return () => [];
  const { zones } = evacuation;
  if (zones.size === 0) return (_job, workers) => workers;
  const forNewJobs = new Map<OwnedWorker[], OwnedWorker[]>();
  const forStartedJobs = new Map<OwnedWorker[], OwnedWorker[]>();
  return (job, workers) => {
    const finishes = mustFinishHere(state, job);
    const known = finishes ? forStartedJobs : forNewJobs;
    let startable = known.get(workers);
    if (startable === undefined) {
      startable = workers.filter(({ info }) => {
        const closesAtMs = zones.get(info.availabilityZone);
        return closesAtMs === undefined ||
          guards.mayUseZone(nowMs, finishes ? closesAtMs : -Infinity);
      });
      known.set(workers, startable);
    }
    return startable;
  };
}

/**
 * Whether a job in memory can't go on elsewhere: it may have started, so that it
 * is not refused, and its cell has workers of one zone only, or no other workers
 * that suit it.
 */
function mustFinishHere(state: EngineState, job: Job): boolean {
  if (job.record !== null || !job.mayHaveStarted) return false;
  return state.hasZoneCells || needsEvacuatedWorkers(state, job);
}

/** Reads the evacuated zones at once, since this instance became the leader. */
export function beginEvacuationReads(context: ReduceContext): void {
  const { evacuation } = context.state;
  if (evacuation === null) return;
  evacuation.attemptedAtMs = -Infinity;
  requestRead(context, evacuation);
}

/** Reads the evacuated zones when that is due, if this is a leader. */
export function checkEvacuations(context: ReduceContext): void {
  const { evacuation, scheduler, nowMs } = context.state;
  if (evacuation === null || scheduler === null) return;
  if (evacuation.pendingSinceMs !== null) return;
  if (nowMs >= evacuation.nextReadAtMs) requestRead(context, evacuation);
}

function requestRead(
  context: ReduceContext,
  evacuation: EvacuationState,
): void {
  const { nowMs, counters } = context.state;
  counters.evacuationReads += 1;
  evacuation.pendingSinceMs = nowMs;
  evacuation.nextReadAtMs = nowMs + READ_INTERVAL_MS;
  emit(context, { type: "readEvacuations", requestedAtMs: nowMs });
}

/** Handles the evacuated zones as read from the store. */
export function onEvacuationsRead(
  context: ReduceContext,
  { zones, requestedAtMs }: EngineEventOf<"evacuationsRead">,
): void {
  const { evacuation } = context.state;
  if (evacuation === null) return;
  if (endRead(evacuation, requestedAtMs)) evacuation.isUnreadable = false;
  update(context, evacuation, {
    zones: zones.filter((zone) => zone !== ""),
    knownAtMs: beforeSuspension(evacuation, requestedAtMs),
    source: "store",
  });
}

/**
 * Handles a read of the evacuated zones that failed. What is known remains in
 * force, also if that is nothing.
 */
export function onEvacuationsUnreadable(
  context: ReduceContext,
  { requestedAtMs, detail }: EngineEventOf<"evacuationsUnreadable">,
): void {
  const { evacuation, nowMs, counters } = context.state;
  if (evacuation === null || !endRead(evacuation, requestedAtMs)) return;
  counters.evacuationReadsFailed += 1;
  evacuation.nextReadAtMs = nowMs + RETRY_DELAY_MS;
  if (evacuation.isUnreadable) return;
  evacuation.isUnreadable = true;
  logDecision(context, {
    level: "warn",
    part: "zones",
    text: "reading the evacuated zones failed; the known ones remain so",
  }, {
    zones: [...evacuation.zones.keys()].slice(0, MAX_LOGGED_ZONES),
    knownMsAgo: knownMsAgo(evacuation, nowMs),
    detail,
  });
}

/** Ends the pending read; returns false if the outcome is that of another one. */
function endRead(evacuation: EvacuationState, requestedAtMs: number): boolean {
  if (evacuation.pendingSinceMs !== requestedAtMs) return false;
  evacuation.pendingSinceMs = null;
  evacuation.attemptedAtMs = requestedAtMs;
  return true;
}

/** Returns what this instance's heartbeats tell of evacuated zones, if anything. */
export function evacuationReport(
  { evacuation, nowMs }: EngineState,
): { readonly evacuation?: EvacuationReport } {
  if (evacuation === null || evacuation.knownAtMs === -Infinity) return {};
  const zones = [...evacuation.zones.keys()];
  // Rounded up: a report must not seem fresher than it is.
  const ageMs = Math.ceil(nowMs - evacuation.knownAtMs);
  return { evacuation: { zones, ageMs } };
}

/**
 * Adopts what a peer's heartbeat tells of evacuated zones, if that is fresher
 * than what is known here. Instances of an older release tell nothing.
 */
export function onEvacuationReport(
  context: ReduceContext,
  from: string,
  { evacuation: report, heardAtMs }: Pick<
    PeerMessageOf<"heartbeat">,
    "evacuation" | "heardAtMs"
  >,
): void {
  const { evacuation, nowMs, guards } = context.state;
  if (evacuation === null || report === undefined) return;
  const sentAtMs = beforeSuspension(
    evacuation,
    guards.provenSentAtMs(nowMs, heardAtMs),
  );
  update(context, evacuation, {
    zones: report.zones,
    knownAtMs: sentAtMs - Math.max(0, report.ageMs),
    source: from,
  });
}

/** Replaces what is known by something fresher, and logs what has changed. */
function update(
  context: ReduceContext,
  evacuation: EvacuationState,
  { zones, knownAtMs, source }: {
    zones: readonly string[];
    knownAtMs: number;
    source: string;
  },
): void {
  if (knownAtMs <= evacuation.knownAtMs) return;
  const before = evacuation.zones;
  // An evacuation that is new here was written after the read before this one.
  const closesAtMs = evacuation.knownAtMs + evacuation.evacuateMs -
    START_MARGIN_MS;
  const after = new Map(
    zones.map((zone) => [zone, before.get(zone) ?? closesAtMs]),
  );
  evacuation.zones = after;
  evacuation.knownAtMs = knownAtMs;
  const begun = [...after.keys()].filter((zone) => !before.has(zone));
  const ended = [...before.keys()].filter((zone) => !after.has(zone));
  logZones(context, begun, { text: "zone evacuated", source });
  logZones(context, ended, { text: "evacuation of zone ended", source });
}

function logZones(
  context: ReduceContext,
  zones: readonly string[],
  { text, source }: { text: string; source: string },
): void {
  const { state } = context;
  for (const zone of zones.slice(0, MAX_LOGGED_ZONES)) {
    // The number of workers shows an evacuation of a zone that doesn't exist.
    const workers = [...state.workers.values()]
      .filter(({ availabilityZone }) => availabilityZone === zone);
    logDecision(context, { part: "zones", text }, {
      zone,
      workers: workers.length,
      source,
      isLeader: state.scheduler !== null,
      zonesLeftOut: Math.max(0, zones.length - MAX_LOGGED_ZONES),
    });
  }
}

/** Age of what is known; null if nothing is. */
export function knownMsAgo(
  { knownAtMs }: Pick<EvacuationState, "knownAtMs">,
  nowMs: number,
): number | null {
  return knownAtMs === -Infinity ? null : Math.round(nowMs - knownAtMs);
}
