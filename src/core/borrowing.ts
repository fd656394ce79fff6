/** Slots that idle instances lend to busy ones, on request. */

import type { BorrowedCount, InstanceRef, PeerMessageOf } from "./schemas.ts";
import type { CoreState, Peer, Step } from "./types.ts";
import { queuedWithinShare } from "./flows.ts";
import { dispatch, freeSlots } from "./placement.ts";
import { freeOwnedSlots, isLivePeer, isUsable } from "./upstreams.ts";
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
  const upstreamIds: string[] = [];
  let wanted = busy ? 0 : Math.min(message.slots, freeSlots(state, service));
  for (const upstream of state.upstreams.values()) {
    if (upstream.service !== service || !isUsable(state, upstream)) continue;
    const take = Math.min(wanted, freeOwnedSlots(upstream));
    if (take <= 0) continue;
    wanted -= take;
    const lent = upstream.lentTo.get(from.slot) ?? 0;
    upstream.lentTo.set(from.slot, lent + take);
    for (let i = 0; i < take; i += 1) upstreamIds.push(upstream.id);
  }
  const peer = state.peers.get(from.slot);
  if (peer !== undefined && upstreamIds.length > 0) {
    peer.lastLentMs = state.nowMs;
  }
  sendPeer(step, from.slot, { type: "lend", service, upstreamIds });
}

/** Uses the slots that a peer lent, and returns what is not needed. */
export function onLend(
  step: Step,
  from: InstanceRef,
  message: PeerMessageOf<"lend">,
): void {
  const { state } = step;
  if (message.upstreamIds.length === 0) state.counters.borrowsEmpty += 1;
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
  const services = new Set<string>();
  for (const upstreamId of message.upstreamIds) {
    const upstream = step.state.upstreams.get(upstreamId);
    if (upstream === undefined) continue;
    const lent = upstream.lentTo.get(from.slot) ?? 0;
    if (lent <= 1) upstream.lentTo.delete(from.slot);
    else upstream.lentTo.set(from.slot, lent - 1);
    services.add(upstream.service);
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
  for (const upstream of state.upstreams.values()) {
    const lent = upstream.lentTo.get(peer.slot);
    if (lent === undefined) continue;
    const used = counts.find((count) =>
      count.lender === state.self.slot && count.upstreamId === upstream.id
    )?.slots ?? 0;
    if (used === 0) {
      upstream.lentTo.delete(peer.slot);
    } else upstream.lentTo.set(peer.slot, Math.min(lent, used));
  }
}

/** Takes back whatever a peer held that is gone. */
export function reclaimLent(state: CoreState, slot: string): void {
  for (const upstream of state.upstreams.values()) upstream.lentTo.delete(slot);
}
