/** The state dump of an instance, bounded in size. */

import type { EngineState, OwnedWorker, Scheduler } from "../engine/types.ts";

/** How many entries of each list a dump names. */
const MAX_LISTED = 50;

/** A view of the state for people: counts, and the first of each list. */
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
    counters: state.counters,
    sizes: {
      callerJobs: state.callerJobs.size,
      questions: state.pendingQueries.size,
      workers: state.workers.size,
    },
    peers: [...state.peers.values()].slice(0, MAX_LISTED).map((peer) => ({
      instanceId: peer.info.instanceId,
      availabilityZone: peer.info.availabilityZone,
      connected: peer.connected,
      draining: peer.draining,
      isLeader: peer.isLeader,
      silentMs: finite(state.nowMs - peer.lastHeardAtMs),
      configurationVersion: peer.configurationVersion,
    })),
    leading: scheduler === null ? null : dumpScheduler(state, scheduler),
    ...extra,
  };
}

function dumpScheduler(state: EngineState, scheduler: Scheduler): object {
  const { jobs, records, waiting, workers, queueDemands } = scheduler;
  return {
    sinceMs: Math.round(state.nowMs - scheduler.startedAtMs),
    provisional: scheduler.provisional,
    jobs: jobs.size,
    waiting: Object.fromEntries(
      [...waiting].map(([service, list]) => [service, list.length]),
    ),
    records: {
      phase: records.phase,
      term: records.term,
      awayMs: records.unavailableSinceMs === 0
        ? 0
        : Math.round(state.nowMs - records.unavailableSinceMs),
      kept: records.retainedJobs.length,
      writesUnderWay: records.inFlightWrites.size,
    },
    workers: [...workers.values()].slice(0, MAX_LISTED)
      .map((worker) => dumpWorker(state, worker)),
    queues: [...queueDemands].slice(0, MAX_LISTED).map(([queue, share]) => ({
      queue,
      openTasks: share.openTasks,
      usualTasks: round(share.usualTasks),
      usualArrivals: round(share.usualArrivals),
      recentArrivals: round(share.recentArrivals),
      meanRunMs: Math.round(state.runTimes.get(queue)?.meanMs ?? 0),
    })),
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
    slowness: round(worker.slowness),
    suspendedForMs: Math.max(
      0,
      Math.round(worker.suspendedUntilMs - state.nowMs),
    ),
    endsHeld: worker.retainedSequences.size,
  };
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}

/** Milliseconds, or null where the moment lies beyond memory. */
function finite(ms: number): number | null {
  return Number.isFinite(ms) ? Math.round(ms) : null;
}
