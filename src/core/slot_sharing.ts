/** Which instance owns which slots of the region's upstreams. */

import type { CoreState, Peer, Upstream } from "./types.ts";
import { getOrInsert, hashText } from "./utilities.ts";

/** A peer that was silent for longer does not count when slots are shared. */
const PEER_LIVE_MS = 1_000;
/** Peers that tell seldom are given this many of their periods. */
const PEER_LIVE_PERIODS = 4;

/** Whether a peer counts among those that share slots now. */
export function isLivePeer(state: CoreState, peer: Peer): boolean {
  const limitMs = Math.max(PEER_LIVE_MS, peer.periodMs * PEER_LIVE_PERIODS);
  const heard = state.nowMs - peer.lastHeardMs <= limitMs;
  const near = peer.region === state.self.region;
  return near && heard && peer.ready && !peer.leaving;
}

interface Sharer {
  readonly slot: string;
  readonly availabilityZone: string;
}

function liveSharers(state: CoreState): Sharer[] {
  const peers: Sharer[] = [...state.peers.values()]
    .filter((peer) => isLivePeer(state, peer));
  const self = state.drain === "none" ? [state.self] : [];
  return [...peers, ...self].sort((a, b) => (a.slot < b.slot ? -1 : 1));
}

/**
 * Shares every upstream's slots between the live instances, so that each gets
 * the same number and as many as can be of its own availability zone. All
 * instances work this out alike from the same lists; where lists differ for a
 * moment, an upstream queues a task or idles a slot.
 */
export function shareSlots(state: CoreState): void {
  const sharers = liveSharers(state);
  state.sharers = new Set(sharers.map((sharer) => sharer.slot));
  state.owned.clear();
  const services = new Set<string>();
  for (const upstream of state.upstreams.values()) {
    upstream.ownedSlots = 0;
    services.add(upstream.service);
  }
  for (const service of services) shareService(state, service, sharers);
  for (const upstream of state.upstreams.values()) {
    if (upstream.ownedSlots === 0) continue;
    getOrInsert(state.owned, upstream.service, () => []).push(upstream);
  }
}

/** The slots of instances that shared before and do not now. */
export function shareIfChanged(state: CoreState): string[] {
  const now = liveSharers(state).map((sharer) => sharer.slot);
  const gone = [...state.sharers].filter((slot) => !now.includes(slot));
  if (gone.length > 0 || now.length !== state.sharers.size) shareSlots(state);
  return gone;
}

/** The upstreams of a service of which this instance owns slots. */
export function ownedUpstreams(
  state: CoreState,
  service: string,
): readonly Upstream[] {
  return state.owned.get(service) ?? [];
}

function shareService(
  state: CoreState,
  service: string,
  sharers: readonly Sharer[],
): void {
  const zones = new Set(sharers.map((sharer) => sharer.availabilityZone));
  const units = slotUnits(state, service)
    .filter((upstream) => zones.has(upstream.availabilityZone));
  const share = Math.floor(units.length / Math.max(1, sharers.length));
  const left = new Map(sharers.map((sharer) => [sharer.slot, share]));
  const surplus: Upstream[] = [];
  for (const zone of [...zones].sort()) {
    const local = sharers.filter((s) => s.availabilityZone === zone);
    const own = units.filter((upstream) => upstream.availabilityZone === zone);
    surplus.push(...dealSlots(state, own, { sharers: local, left }));
  }
  const rest = dealSlots(state, surplus, { sharers, left });
  // The remainder goes round by hash, one slot each.
  rest.forEach((upstream, index) => {
    const at = (hashText(service) + index) % sharers.length;
    if (sharers[at]?.slot === state.self.slot) upstream.ownedSlots += 1;
  });
}

/** One entry a slot, so that neighbours are of different upstreams. */
function slotUnits(state: CoreState, service: string): Upstream[] {
  const upstreams = [...state.upstreams.values()]
    .filter((upstream) => upstream.service === service)
    .filter((upstream) => state.guards.mayReceiveWork(upstream))
    .sort((a, b) => (a.id < b.id ? -1 : 1));
  const units: Upstream[] = [];
  const most = Math.max(0, ...upstreams.map((upstream) => upstream.slots));
  for (let round = 0; round < most; round += 1) {
    units.push(...upstreams.filter((upstream) => upstream.slots > round));
  }
  return units;
}

/** Deals slots round robin up to each sharer's share; returns the rest. */
function dealSlots(
  state: CoreState,
  units: readonly Upstream[],
  { sharers, left }: {
    sharers: readonly Sharer[];
    left: Map<string, number>;
  },
): Upstream[] {
  const rest: Upstream[] = [];
  let turn = 0;
  for (const upstream of units) {
    const taker = nextTaker(sharers, left, turn);
    if (taker === null) {
      rest.push(upstream);
      continue;
    }
    turn = taker + 1;
    const slot = sharers[taker]?.slot ?? "";
    left.set(slot, (left.get(slot) ?? 0) - 1);
    if (slot === state.self.slot) upstream.ownedSlots += 1;
  }
  return rest;
}

function nextTaker(
  sharers: readonly Sharer[],
  left: ReadonlyMap<string, number>,
  turn: number,
): number | null {
  for (let step = 0; step < sharers.length; step += 1) {
    const at = (turn + step) % sharers.length;
    if ((left.get(sharers[at]?.slot ?? "") ?? 0) > 0) return at;
  }
  return null;
}
