/**
 * The lender's side of loans of workers: which workers the leader of a zone lends
 * to the owner of the records, and when it owns them again.
 */

import { logDecision, sendPeer } from "./effects.ts";
import type { PeerMessageOf, WorkerDemand } from "./schemas.ts";
import { reserveWorker } from "./trials.ts";
import type {
  EngineState,
  LentWorker,
  OwnedWorker,
  ReduceContext,
  Scheduler,
} from "./types.ts";
import { isSettled, tasksThatFit } from "./worker_loans.ts";
import { isEvacuated } from "./zones/evacuation.ts";

/** Time without a message from a borrower after which its loans end. */
const LOAN_TIMEOUT_MS = 1_200;
/**
 * Share of the capacity for a service that may be lent or in use after a loan.
 * What is left is for the zone's own jobs in memory, which can't wait.
 */
const LENDABLE_SHARE = 0.75;
/** Maximum number of loans in one message. */
const MAX_LOANS_PER_MESSAGE = 100;

/** Handles a request for workers, and renews the loans to its sender. */
export function onWorkersWanted(
  context: ReduceContext,
  from: string,
  message: PeerMessageOf<"workersWanted">,
): void {
  const { state } = context;
  const { scheduler } = state;
  if (scheduler === null || !state.hasZoneCells) return;
  const { lent } = scheduler.loans;
  for (const { workerId, fence } of message.returned) {
    if (lent.get(workerId)?.borrowerId === from) {
      endLoan(scheduler, workerId, fence);
    }
  }
  for (const loan of lent.values()) {
    if (loan.borrowerId === from) loan.renewedAtMs = state.nowMs;
  }
  for (const kept of message.kept) keepLoan(state, scheduler, { from, kept });
  for (const demand of message.demands) {
    grantLoans(context, scheduler, { from, demand });
  }
  const loans = [...lent]
    .filter(([, { borrowerId, loanId }]) =>
      borrowerId === from && loanId > message.seenLoanId
    )
    .slice(0, MAX_LOANS_PER_MESSAGE)
    .map(([workerId, { loanId, fence }]) => ({ workerId, loanId, fence }));
  sendPeer(context, from, {
    type: "workersLent",
    term: scheduler.term,
    loans,
    returned: message.returned.map(({ workerId }) => workerId),
  });
}

/**
 * Continues a loan of an earlier leader of this zone, unless this leader has
 * acquired the worker already.
 */
function keepLoan(
  state: EngineState,
  scheduler: Scheduler,
  { from, kept: { workerId, fence } }: {
    from: string;
    kept: { workerId: string; fence: number };
  },
): void {
  const info = state.workers.get(workerId);
  if (info?.availabilityZone !== state.self.availabilityZone) return;
  if (scheduler.loans.lent.has(workerId)) return;
  const worker = scheduler.workers.get(workerId);
  if (worker !== undefined && !worker.hasNewOwner) return;
  if (worker !== undefined && !isSettled(worker)) return;
  lend(state, scheduler, { workerId, borrowerId: from, fence });
}

function lend(
  { nowMs }: EngineState,
  { loans, workers }: Scheduler,
  { workerId, borrowerId, fence }: {
    workerId: string;
    borrowerId: string;
    fence: number;
  },
): void {
  loans.lastLoanId += 1;
  const loan: LentWorker = {
    loanId: loans.lastLoanId,
    borrowerId,
    fence,
    renewedAtMs: nowMs,
  };
  loans.lent.set(workerId, loan);
  // A later event may place tasks before the next tick removes the worker.
  workers.delete(workerId);
}

/** Lends workers for a demand, as long as enough capacity is left. */
function grantLoans(
  context: ReduceContext,
  scheduler: Scheduler,
  { from, demand }: { from: string; demand: WorkerDemand },
): void {
  const { state } = context;
  let budgetMilli = lendableMilli(state, scheduler, demand.service);
  let missing = demand.count;
  let count = 0;
  const suited = [...scheduler.workers.values()].filter((worker) =>
    isUsable(state, worker) && tasksThatFit(worker.info, demand) > 0
  );
  for (const worker of suited) {
    const { info, fence } = worker;
    if (missing <= 0) break;
    if (!isSettled(worker) || info.cpuMilli > budgetMilli) continue;
    budgetMilli -= info.cpuMilli;
    missing -= tasksThatFit(info, demand);
    count += 1;
    const { workerId } = info;
    lend(state, scheduler, { workerId, borrowerId: from, fence });
  }
  // A reserved worker is lent to a later request, once its runs have ended.
  if (count === 0 && budgetMilli > 0) reserveWorker(state, suited);
  if (count === 0) return;
  logDecision(context, { part: "workers", text: "workers lent" }, {
    borrowerId: from,
    service: demand.service,
    label: demand.requiredLabel ?? null,
    workers: count,
    tasks: demand.count,
  });
}

/** Whether a worker can be lent once its runs have ended. */
function isUsable(state: EngineState, worker: OwnedWorker): boolean {
  return worker.phase === "ready" && state.guards.mayServe(worker) &&
    worker.unsizedRunCount === 0 && worker.trialCount === 0 &&
    worker.crash === null && state.nowMs >= worker.usableFromMs &&
    state.nowMs >= worker.suspendedUntilMs &&
    !isEvacuated(state, worker.info);
}

/** The capacity for a service that may still be lent. */
function lendableMilli(
  state: EngineState,
  { workers, loans }: Scheduler,
  service: string,
): number {
  let allMilli = 0;
  let usedMilli = 0;
  for (const { info, usedCpuMilli } of workers.values()) {
    if (info.service !== service || info.draining) continue;
    if (loans.borrowed.has(info.workerId) || isEvacuated(state, info)) continue;
    allMilli += info.cpuMilli;
    usedMilli += usedCpuMilli;
  }
  for (const workerId of loans.lent.keys()) {
    const info = state.workers.get(workerId);
    if (info?.service !== service || isEvacuated(state, info)) continue;
    allMilli += info.cpuMilli;
    usedMilli += info.cpuMilli;
  }
  return allMilli * LENDABLE_SHARE - usedMilli;
}

/** Owns a lent worker again, from the next tick on. */
function endLoan(
  { loans }: Scheduler,
  workerId: string,
  borrowerFence: number,
): void {
  const fence = loans.lent.get(workerId)?.fence ?? 0;
  loans.lent.delete(workerId);
  loans.fenceFloors.set(workerId, Math.max(fence, borrowerFence));
}

/** Ends the loans of borrowers that are not heard from. */
export function checkLentWorkers(
  context: ReduceContext,
  scheduler: Scheduler,
): void {
  const { state } = context;
  const { lent, fenceFloors } = scheduler.loans;
  for (const [workerId, { renewedAtMs, borrowerId, fence }] of lent) {
    const isExpired = state.nowMs - renewedAtMs >= LOAN_TIMEOUT_MS;
    if (state.hasZoneCells && !isExpired) continue;
    endLoan(scheduler, workerId, fence);
    logDecision(context, {
      level: "warn",
      part: "workers",
      text: "loan of worker ended: its borrower is not heard from",
    }, {
      workerId,
      borrowerId,
      silentMs: Math.round(state.nowMs - renewedAtMs),
    });
  }
  for (const workerId of fenceFloors.keys()) {
    if (!state.workers.has(workerId)) fenceFloors.delete(workerId);
  }
}
