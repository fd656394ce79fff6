/** Slots that idle instances lend to busy ones, on request. */

import type { BorrowedCount, InstanceRef, PeerMessageOf } from "./schemas.ts";
import type { CoreState, Job, Peer, Step } from "./types.ts";
import { queuedWithinShare } from "./flows.ts";
import { dispatch, freeSlots, freestUpstream } from "./placement.ts";
import { isLivePeer } from "./slot_sharing.ts";
import { latestOf, latestWithinShare, stretchOf } from "./stretch.ts";
import { getOrInsert, randomBelow, sendPeer } from "./utilities.ts";

/** The shortest time between two rounds of asking for one service. */
const BORROW_EVERY_MS = 10;
/** How long after a loan a borrower's word is taken as settled. */
const RECONCILE_AFTER_MS = 1_000;
/** How many peers are asked in one round. */
const BORROW_PEERS = 3;

/** Work that is less late than this asks no busy peer. */
const LOAN_MIN_STRETCH = 0.01;
/** How many busy peers are asked to lend their next free slots. */
const LOAN_PEERS = 2;
/** How long such a request stands. */
const LOAN_WAIT_MS = 60;
/** The most slots that one such request asks for. */
const LOAN_MAX_SLOTS = 8;

/** Asks peers for as many slots as the queue needs. */
export function borrowFor(step: Step, service: string): void {
  const { state } = step;
  const job = latestWithinShare(state, service);
  if (job === null) return;
  askFreePeers(step, service, job);
  if (stretchOf(state, job) >= LOAN_MIN_STRETCH) {
    askBusyPeers(step, service, job);
  }
}

/** Whether a wish still stands at the peer; a second one adds nothing. */
function isAsked(state: CoreState, peer: Peer): boolean {
  return state.nowMs < peer.askedUntilMs;
}

/** Whether so much time has passed since the last round of that name. */
function isDue(state: CoreState, round: string, everyMs: number): boolean {
  const askedAtMs = state.borrowAskedAtMs.get(round) ?? -Infinity;
  return state.nowMs - askedAtMs >= everyMs;
}

/** Asks the peers with the most free slots. */
function askFreePeers(step: Step, service: string, job: Job): void {
  const { state } = step;
  if (!isDue(state, service, BORROW_EVERY_MS)) return;
  let wanted = queuedWithinShare(state, service);
  for (const peer of lendersOf(state, service).slice(0, BORROW_PEERS)) {
    const load = peer.loads.find((entry) => entry.service === service);
    if (load === undefined || wanted <= 0) break;
    const slots = Math.min(wanted, load.freeSlots);
    wanted -= slots;
    load.freeSlots -= slots;
    state.borrowAskedAtMs.set(service, state.nowMs);
    sendBorrow(step, peer, { service, job, slots });
  }
}

/** Asks peers without free slots for their next, if the job is later. */
function askBusyPeers(step: Step, service: string, job: Job): void {
  const { state } = step;
  const round = `${service} busy`;
  if (!isDue(state, round, LOAN_WAIT_MS)) return;
  state.borrowAskedAtMs.set(round, state.nowMs);
  const peers = [...state.peers.values()].filter((peer) =>
    isLivePeer(state, peer) && !isAsked(state, peer)
  );
  const queued = queuedWithinShare(state, service);
  const slots = Math.min(LOAN_MAX_SLOTS, Math.ceil(queued / LOAN_PEERS));
  for (let left = LOAN_PEERS; left > 0 && peers.length > 0; left -= 1) {
    const [peer] = peers.splice(randomBelow(state, peers.length), 1);
    if (peer !== undefined) sendBorrow(step, peer, { service, job, slots });
  }
}

function sendBorrow(
  step: Step,
  peer: Peer,
  { service, job, slots }: { service: string; job: Job; slots: number },
): void {
  const { state } = step;
  state.counters.borrowsAsked += 1;
  peer.askedUntilMs = state.nowMs + LOAN_WAIT_MS;
  sendPeer(step, peer.slot, {
    type: "borrow",
    service,
    slots,
    waitedMs: state.nowMs - job.receivedAtMs,
    nextRunMs: job.nextRunMs,
    expectedMs: job.expectedMs,
    urgency: job.urgency,
    tasksLeft: job.tasksLeft,
  });
}

/** Live peers with free slots: of this zone first, then the most free. */
function lendersOf(state: CoreState, service: string): Peer[] {
  const zone = state.self.availabilityZone;
  const scored: { peer: Peer; near: number; free: number }[] = [];
  for (const peer of state.peers.values()) {
    if (!isLivePeer(state, peer) || isAsked(state, peer)) continue;
    const load = peer.loads.find((entry) => entry.service === service);
    const free = load?.freeSlots ?? 0;
    const near = peer.availabilityZone === zone ? 1 : 0;
    if (free > 0) scored.push({ peer, near, free });
  }
  scored.sort((a, b) => b.near - a.near || b.free - a.free);
  return scored.map((entry) => entry.peer);
}

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

/** Uses the slots that a peer lent, and returns what is not needed. */
export function onLend(
  step: Step,
  from: InstanceRef,
  message: PeerMessageOf<"lend">,
): void {
  const { state } = step;
  const peer = state.peers.get(from.slot);
  // A lender with slots to spare may be asked again at once.
  if (peer !== undefined && message.freeSlots > 0) {
    peer.askedUntilMs = state.nowMs;
  }
  const load = peer?.loads.find((entry) => entry.service === message.service);
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
