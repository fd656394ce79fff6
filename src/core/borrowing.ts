/** Asking peers for slots, using those lent, and returning them. */

import type { BorrowedCount, InstanceRef, PeerMessageOf } from "./schemas.ts";
import type { CoreState, Job, Peer, Step } from "./types.ts";
import { queuedWithinShare } from "./flows.ts";
import { dispatch } from "./placement.ts";
import { isLivePeer } from "./slot_sharing.ts";
import { latestWithinShare, stretchOf } from "./stretch.ts";
import { getOrInsert, randomBelow, sendPeer } from "./utilities.ts";

/** The shortest time between two rounds of asking for one service. */
const BORROW_EVERY_MS = 10;
/** How many peers are asked in one round. */
const BORROW_PEERS = 3;

/** Work that is less late than this asks no busy peer. */
const LOAN_MIN_STRETCH = 0.01;
/** How many busy peers are asked to lend their next free slots. */
const LOAN_PEERS = 2;
/** How long such a request stands. */
export const LOAN_WAIT_MS = 60;
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
