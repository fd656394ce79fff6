/** The state dump of an instance, limited in size. */

import { partlyStartedCount } from "../engine/overload/reports.ts";
import type { EngineState, OwnedWorker, Scheduler } from "../engine/types.ts";
import { knownMsAgo } from "../engine/zones/evacuation.ts";

/** The maximum number of entries that a dump shows of each list. */
const MAX_LISTED = 50;

/**
 * Returns a readable view of the state: counts, and the first entries of each
 * list. `extra` fields are added at the top level.
 */
export function dumpState(state: EngineState, extra: object): object {
  const { scheduler } = state;
  return {
    ...state.self,
    upMs: Math.round(state.nowMs - state.startedAtMs),
    draining: state.draining,
    configurationVersion: state.configuration?.version ?? null,
    leaderId: state.leaderId,
    leaderTerm: state.leaderTerm,
    hasZoneCells: state.hasZoneCells,
    recordsZone: state.recordsZone,
    // Null if the settings have no bound, so that zones can't be evacuated.
    evacuation: dumpEvacuation(state),
    counters: state.counters,
    sizes: {
      callerJobs: state.callerJobs.size,
      // Queries that wait for the leader's reply.
      questions: state.pendingQueries.size,
      unansweredCancels: state.unansweredCancels.size,
      workers: state.workers.size,
    },
    peers: [...state.peers.values()].slice(0, MAX_LISTED).map((peer) => ({
      instanceId: peer.info.instanceId,
      availabilityZone: peer.info.availabilityZone,
      connected: peer.connected,
      draining: peer.draining,
      isLeader: peer.isLeader,
      // Time since the peer was last heard from; null if it never was.
      silentMs: roundOrNull(state.nowMs - peer.lastHeardAtMs),
      configurationVersion: peer.configurationVersion,
      // Free capacity by service, from the leader of another zone.
      roomByService: peer.roomByService,
    })),
    // The state of this instance's leader term; null if it is not the leader.
    leading: scheduler === null ? null : dumpScheduler(state, scheduler),
    ...extra,
  };
}

function dumpEvacuation({ evacuation, nowMs }: EngineState): object | null {
  if (evacuation === null) return null;
  return {
    zones: [...evacuation.zones.keys()].slice(0, MAX_LISTED),
    // Null if nothing is known yet.
    knownMsAgo: knownMsAgo(evacuation, nowMs),
    isUnreadable: evacuation.isUnreadable,
  };
}

function dumpScheduler(state: EngineState, scheduler: Scheduler): object {
  const { jobs, records, loans, overload, waiting, workers, queueDemands } =
    scheduler;
  return {
    // Time since the leader term started.
    sinceMs: Math.round(state.nowMs - scheduler.startedAtMs),
    provisional: scheduler.provisional,
    jobs: jobs.size,
    jobBytes: jobs.totalBytes,
    workersBorrowed: loans.borrowed.size,
    workersLent: loans.lent.size,
    overload: {
      policies: Object.fromEntries(overload.policyByService),
      partlyStarted: partlyStartedCount(scheduler),
      refusals: [...state.refusals.values()],
    },
    sharing: dumpSharing(scheduler),
    claims: dumpClaims(scheduler),
    waiting: Object.fromEntries(
      [...waiting].map(([service, list]) => [service, list.length]),
    ),
    records: {
      phase: records.phase,
      // Whether the store has made this instance the owner.
      isOwner: records.isOwner,
      term: records.term,
      // How long the store has been unavailable; 0 while it is available.
      awayMs: records.unavailableSinceMs === 0
        ? 0
        : Math.round(state.nowMs - records.unavailableSinceMs),
      // Completed jobs whose records are retained.
      kept: records.retainedJobs.length,
      writesUnderWay: records.inFlightWrites.size,
    },
    workers: [...workers.values()].slice(0, MAX_LISTED)
      .map((worker) => dumpWorker(state, worker)),
    queues: [...queueDemands].slice(0, MAX_LISTED).map(([queue, demand]) => ({
      queue,
      openTasks: demand.openTasks,
      usualTasks: roundToHundredths(demand.usualTasks),
      usualArrivals: roundToHundredths(demand.usualArrivals),
      recentArrivals: roundToHundredths(demand.recentArrivals),
      meanRunMs: Math.round(state.runTimes.get(queue)?.meanMs ?? 0),
    })),
  };
}

/** The free capacity that is reported to other zones, and the jobs they got. */
function dumpSharing({ sharing }: Scheduler): object {
  const { room, ownJobs, jobsByZone } = sharing;
  return {
    room,
    // Jobs in memory of this zone's entries since the term started.
    ownJobs,
    elsewhere: [...jobsByZone].map(([availabilityZone, count]) => ({
      availabilityZone,
      jobs: count,
      share: roundToHundredths(count / Math.max(1, ownJobs)),
    })),
  };
}

/** The jobs of other zones that are known here, and the exchange of claims. */
function dumpClaims({ claims: { byJob, sources, subscribers } }: Scheduler) {
  return {
    claimedElsewhere: byJob.size,
    claimsSentTo: [...subscribers.keys()],
    claimsReceivedFrom: [...sources]
      .filter(([, { isAnswered }]) => isAnswered)
      .map(([instanceId]) => instanceId),
  };
}

function dumpWorker(state: EngineState, worker: OwnedWorker): object {
  return {
    workerId: worker.info.workerId,
    phase: worker.phase,
    draining: worker.info.draining,
    runs: worker.runs.size,
    usedCpuMilli: worker.usedCpuMilli,
    cpuMilli: worker.info.cpuMilli,
    slowness: roundToHundredths(worker.slowness),
    suspendedForMs: Math.max(
      0,
      Math.round(worker.suspendedUntilMs - state.nowMs),
    ),
    // Completions that the worker must retain, because their jobs' records have
    // not been read or do not include them yet.
    endsHeld: worker.retainedSequences.size,
  };
}

function roundToHundredths(value: number): number {
  return Math.round(value * 100) / 100;
}

/** Returns the rounded duration, or null if it is infinite. */
function roundOrNull(ms: number): number | null {
  return Number.isFinite(ms) ? Math.round(ms) : null;
}
