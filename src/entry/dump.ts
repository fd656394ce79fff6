/** The state dump of an entry instance, bounded in size. */

import type { CoreState } from "../core/types.ts";

/** How many entries of each list a dump names. */
const MAX_LISTED = 50;

/** A view of the state for people: counts, and the first of each list. */
export function dumpState(state: CoreState, extra: object): object {
  return {
    slot: state.self.slot,
    incarnation: state.self.incarnation,
    availabilityZone: state.self.availabilityZone,
    upMs: Math.round(state.nowMs - state.bornAtMs),
    drain: state.drain,
    configurationVersion: state.document?.version ?? null,
    membershipVersion: state.membershipVersion,
    counters: state.counters,
    sizes: {
      jobs: state.jobs.size,
      sends: state.sends.size,
      attaches: state.attaches.size,
      upstreams: state.upstreams.size,
      flows: state.flows.size,
    },
    peers: [...state.peers.values()].map((peer) => ({
      slot: peer.slot,
      incarnation: peer.incarnation,
      lost: peer.lost,
      ready: peer.ready,
      leaving: peer.leaving,
      silentMs: finite(state.nowMs - peer.lastHeardMs),
      configurationVersion: peer.configurationVersion,
    })),
    claimGroups: [...state.groups.values()].map((group) => ({
      group: group.group,
      role: group.role,
      partner: group.partner,
      formedAgoMs: finite(state.nowMs - group.formedAtMs),
      memoryAgoMs: finite(state.nowMs - group.memorySinceMs),
      records: group.records.size,
    })),
    flows: [...state.flows.values()].slice(0, MAX_LISTED).map((flow) => ({
      flow: flow.flow,
      queuedTasks: flow.queuedTasks,
      inFlight: flow.inFlight,
      meanRunMs: Math.round(flow.runs.meanMs),
      longRunMs: Math.round(flow.runs.longMs),
      usualSlots: Math.round(flow.usualSlots * 10) / 10,
      usualArrivals: Math.round(flow.usualArrivals * 100) / 100,
      recentArrivals: Math.round(flow.recentArrivals * 100) / 100,
    })),
    upstreams: [...state.upstreams.values()].slice(0, MAX_LISTED).map((u) => ({
      id: u.id,
      leaving: u.leaving,
      ownedSlots: u.ownedSlots,
      inFlight: u.inFlight,
      ejections: u.ejections,
      ejectedForMs: Math.max(0, Math.round(u.ejectedUntilMs - state.nowMs)),
    })),
    ...extra,
  };
}

/** Milliseconds, or null where the moment lies beyond memory. */
function finite(ms: number): number | null {
  return Number.isFinite(ms) ? Math.round(ms) : null;
}
