/** Slots that idle instances lend to busy ones, on request. */

import type { BorrowedCount, InstanceRef, PeerMessageOf } from "./schemas.ts";
import type { CoreState, Peer, Step } from "./types.ts";
import { queuedWithinShare } from "./flows.ts";
import { dispatch, freeSlots } from "./placement.ts";
import { isLivePeer, ownedUpstreams } from "./slot_sharing.ts";
import { freeOwnedSlots, isUsable } from "./upstreams.ts";
import { getOrInsert, sendPeer } from "./utilities.ts";

/** The shortest time between two rounds of asking for one service. */
const BORROW_EVERY_MS = 10;
/** How long after a loan a borrower's word is taken as settled. */
const RECONCILE_AFTER_MS = 1_000;
/** How many peers are asked in one round. */
const BORROW_PEERS = 3;

/** Asks the peers with the most free slots for as many as the queue needs. */
export function borrowFor(step: Step, service: string): void {
  const { state } = step;
  const askedAtMs = state.borrowAskedAtMs.get(service) ?? -Infinity;
  if (state.nowMs - askedAtMs < BORROW_EVERY_MS) return;
  let wanted = queuedWithinShare(state, service);
  if (wanted === 0) return;
  for (const peer of lendersOf(state, service).slice(0, BORROW_PEERS)) {
    const load = peer.loads.find((entry) => entry.service === service);
    if (load === undefined || wanted <= 0) break;
    const slots = Math.min(wanted, load.freeSlots);
    wanted -= slots;
    load.freeSlots -= slots;
    state.borrowAskedAtMs.set(service, state.nowMs);
    state.counters.borrowsAsked += 1;
    sendPeer(step, peer.slot, { type: "borrow", service, slots });
  }
}

/** Live peers with free slots: of this zone first, then the most free. */
function lendersOf(state: CoreState, service: string): Peer[] {
  const zone = state.self.availabilityZone;
  const scored: { peer: Peer; near: number; free: number }[] = [];
  for (const peer of state.peers.values()) {
    if (!isLivePeer(state, peer)) continue;
    const load = peer.loads.find((entry) => entry.service === service);
    const free = load?.freeSlots ?? 0;
    const near = peer.availabilityZone === zone ? 1 : 0;
    if (free > 0) scored.push({ peer, near, free });
  }
  scored.sort((a, b) => b.near - a.near || b.free - a.free);
  return scored.map((entry) => entry.peer);
}

/** Lends free slots to a peer; an empty answer says there are none. */
export function onBorrow(
  step: Step,
  from: InstanceRef,
  message: PeerMessageOf<"borrow">,
): void {
  const { state } = step;
  const { service } = message;
  const queued = queuedWithinShare(state, service);
  const busy = queued > 0 || state.drain !== "none";
  const peer = state.peers.get(from.slot);
  if (peer === undefined) return;
  const free = busy ? 0 : freeSlots(state, service);
  const lent = lendSlots(state, peer, {
    service,
    slots: Math.min(message.slots, free),
  });
  sendPeer(step, from.slot, {
    type: "lend",
    service,
    upstreamIds: lent,
    freeSlots: free - lent.length,
  });
}

/** Notes slots as lent to a peer; returns an upstream's id for each. */
function lendSlots(
  state: CoreState,
  peer: Peer,
  { service, slots }: { service: string; slots: number },
): string[] {
  const upstreamIds: string[] = [];
  for (const upstream of ownedUpstreams(state, service)) {
    if (!isUsable(state, upstream)) continue;
    const left = slots - upstreamIds.length;
    const take = Math.min(left, freeOwnedSlots(upstream));
    if (take <= 0) continue;
    setLent(state, peer, upstream.id, lentOf(peer, upstream.id) + take);
    for (let i = 0; i < take; i += 1) upstreamIds.push(upstream.id);
  }
  if (upstreamIds.length > 0) peer.lastLentMs = state.nowMs;
  return upstreamIds;
}

function lentOf(peer: Peer, upstreamId: string): number {
  return peer.lent.get(upstreamId) ?? 0;
}

/** Sets how many slots of an upstream a peer holds; the sum follows. */
function setLent(
  state: CoreState,
  peer: Peer,
  upstreamId: string,
  slots: number,
): void {
  const upstream = state.upstreams.get(upstreamId);
  if (upstream !== undefined) {
    upstream.lentSlots += slots - lentOf(peer, upstreamId);
  }
  if (slots === 0) peer.lent.delete(upstreamId);
  else peer.lent.set(upstreamId, slots);
}

/** Uses the slots that a peer lent, and returns what is not needed. */
export function onLend(
  step: Step,
  from: InstanceRef,
  message: PeerMessageOf<"lend">,
): void {
  const { state } = step;
  if (message.upstreamIds.length === 0) state.counters.borrowsEmpty += 1;
  const loads = state.peers.get(from.slot)?.loads ?? [];
  const load = loads.find((entry) => entry.service === message.service);
  if (load !== undefined) load.freeSlots = message.freeSlots;
  const borrowed = getOrInsert(state.borrowed, message.service, () => []);
  for (const upstreamId of message.upstreamIds) {
    borrowed.push({ upstreamId, lender: from.slot });
  }
  dispatch(step, message.service);
}

/** Returns borrowed slots that no queued task can use. */
export function returnUnused(step: Step, service: string): void {
  const borrowed = step.state.borrowed.get(service);
  if (borrowed === undefined || borrowed.length === 0) return;
  const byLender = new Map<string, string[]>();
  for (const slot of borrowed) {
    getOrInsert(byLender, slot.lender, () => []).push(slot.upstreamId);
  }
  borrowed.length = 0;
  for (const [lender, upstreamIds] of byLender) {
    sendPeer(step, lender, { type: "returnSlots", upstreamIds });
  }
}

/** Takes returned slots back into use. */
export function onReturnSlots(
  step: Step,
  from: InstanceRef,
  message: PeerMessageOf<"returnSlots">,
): void {
  const { state } = step;
  const peer = state.peers.get(from.slot);
  if (peer === undefined) return;
  const services = new Set<string>();
  for (const upstreamId of message.upstreamIds) {
    const left = Math.max(0, lentOf(peer, upstreamId) - 1);
    setLent(state, peer, upstreamId, left);
    const service = state.upstreams.get(upstreamId)?.service;
    if (service !== undefined) services.add(service);
  }
  for (const service of services) dispatch(step, service);
}

/** The slots in use here that peers lent, by lender and upstream. */
export function borrowedCounts(state: CoreState): BorrowedCount[] {
  const counts = new Map<string, BorrowedCount>();
  for (const { borrowedFrom, upstreamId } of state.sends.values()) {
    if (borrowedFrom === null) continue;
    const count = getOrInsert(counts, `${borrowedFrom} ${upstreamId}`, () => ({
      lender: borrowedFrom,
      upstreamId,
      slots: 0,
    }));
    count.slots += 1;
  }
  return [...counts.values()];
}

/**
 * Takes back lent slots that the borrower does not use: a message that lent or
 * returned them was lost. Slots lent a moment ago may still be on their way.
 */
export function reconcileLent(
  state: CoreState,
  peer: Peer,
  counts: readonly BorrowedCount[],
): void {
  if (state.nowMs - peer.lastLentMs < RECONCILE_AFTER_MS) return;
  for (const [upstreamId, lent] of [...peer.lent]) {
    const used = counts.find((count) =>
      count.lender === state.self.slot && count.upstreamId === upstreamId
    )?.slots ?? 0;
    setLent(state, peer, upstreamId, Math.min(lent, used));
  }
}

/** Takes back whatever a peer held that is gone. */
export function reclaimLent(state: CoreState, slot: string): void {
  const peer = state.peers.get(slot);
  if (peer === undefined) return;
  for (const upstreamId of [...peer.lent.keys()]) {
    setLent(state, peer, upstreamId, 0);
  }
}
