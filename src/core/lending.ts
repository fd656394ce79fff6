/** Lending slots to peers whose work is later, and taking them back. */

import type { BorrowedCount, InstanceRef, PeerMessageOf } from "./schemas.ts";
import type { CoreState, Peer, Step } from "./types.ts";
import { LOAN_WAIT_MS } from "./borrowing.ts";
import { dispatch, freeSlots, freestUpstream } from "./placement.ts";
import { latestOf, latestWithinShare } from "./stretch.ts";
import { getOrInsert, sendPeer } from "./utilities.ts";

/** How long after a loan a borrower's word is taken as settled. */
const RECONCILE_AFTER_MS = 1_000;

/** Lends slots to a peer: free ones now, others as its work's turn comes. */
export function onBorrow(
  step: Step,
  from: InstanceRef,
  message: PeerMessageOf<"borrow">,
): void {
  const { state } = step;
  const { service } = message;
  if (!state.peers.has(from.slot)) return;
  const requests = getOrInsert(state.loanRequests, service, () => []);
  const earlier = requests.findIndex(({ slot }) => slot === from.slot);
  const [replaced] = earlier >= 0 ? requests.splice(earlier, 1) : [];
  if (replaced?.lent === 0) state.counters.borrowsEmpty += 1;
  if (state.drain !== "none") return;
  requests.push({
    slot: from.slot,
    slots: message.slots,
    lent: 0,
    receivedAtMs: state.nowMs - message.waitedMs,
    nextRunMs: message.nextRunMs,
    expectedMs: message.expectedMs,
    urgency: message.urgency,
    tasksLeft: message.tasksLeft,
    expiresAtMs: state.nowMs + LOAN_WAIT_MS,
  });
  dispatch(step, service);
}

/** Lends one slot where a peer's work is later than any here. */
export function serveLoanRequest(step: Step, service: string): boolean {
  const { state } = step;
  const requests = state.loanRequests.get(service);
  if (requests === undefined || requests.length === 0) return false;
  const request = latestOf(state, requests);
  const job = latestWithinShare(state, service);
  if (request === null) return false;
  // Its own work goes first where both are as late.
  if (job !== null && latestOf(state, [job, request]) === job) return false;
  const upstream = freestUpstream(state, service);
  const peer = state.peers.get(request.slot);
  if (upstream === null || peer === undefined) return false;
  setLent(state, peer, upstream.id, lentOf(peer, upstream.id) + 1);
  peer.lastLentMs = state.nowMs;
  request.lent += 1;
  request.slots -= 1;
  if (request.slots === 0) requests.splice(requests.indexOf(request), 1);
  const loan = getOrInsert(step.loans, `${peer.slot} ${service}`, () => ({
    slot: peer.slot,
    service,
    upstreamIds: [],
  }));
  loan.upstreamIds.push(upstream.id);
  return true;
}

/** Sends the loans that were made in this step, one message a peer. */
export function sendLoans(step: Step): void {
  for (const { slot, service, upstreamIds } of step.loans.values()) {
    const left = freeSlots(step.state, service);
    const message = { type: "lend", service, upstreamIds, freeSlots: left };
    sendPeer(step, slot, message as PeerMessageOf<"lend">);
  }
  step.loans.clear();
}

/** Drops requests that stood long enough. */
export function expireLoanRequests(state: CoreState): void {
  for (const [service, requests] of state.loanRequests) {
    const kept = requests.filter(({ expiresAtMs, lent }) => {
      const stands = state.nowMs < expiresAtMs;
      if (!stands && lent === 0) state.counters.borrowsEmpty += 1;
      return stands;
    });
    state.loanRequests.set(service, kept);
  }
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
