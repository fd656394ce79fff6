/**
 * Loans of workers between the leaders of zones. The leader that owns the records
 * runs the tasks of all recorded jobs, some of which fit on no worker of its own
 * zone: those are occupied, or lack a label. Leaders of other zones lend it
 * workers without runs, and own them again once they are returned or the borrower
 * is not heard from. Attempts, completions and cancellations thus remain with the
 * owner of the records, wherever a task runs.
 *
 * Both sides own a worker by a fencing token, so a loan of which one side doesn't
 * know any more ends a run early at most. `loan_requests.ts` is the side of the
 * borrower, `loan_grants.ts` that of the lender.
 */

import type { WorkerDemand, WorkerInfo } from "./schemas.ts";
import type { OwnedWorker, WorkerLoans } from "./types.ts";

/** Returns the state of a leader without loans. */
export function createWorkerLoans(): WorkerLoans {
  return {
    borrowed: new Map(),
    lenders: new Map(),
    unledZoneSinceMs: new Map(),
    nextRequestAtMs: 0,
    lent: new Map(),
    lastLoanId: 0,
    fenceFloors: new Map(),
  };
}

/**
 * Returns how many tasks with a demand fit on an empty worker; 0 if the worker
 * may not run any.
 */
export function tasksThatFit(info: WorkerInfo, demand: WorkerDemand): number {
  const { requiredLabel, maxPerWorker = Infinity } = demand;
  if (info.service !== demand.service || info.draining) return 0;
  if (requiredLabel !== undefined && !info.labels.includes(requiredLabel)) {
    return 0;
  }
  return Math.floor(Math.min(
    maxPerWorker,
    demand.count,
    quotient(info.cpuMilli, demand.cpuMilli),
    quotient(info.memoryMb, demand.memoryMb),
    quotient(info.accelerators, demand.accelerators),
  ));
}

/** How often a need fits into what is available; Infinity if nothing is needed. */
export function quotient(available: number, needed: number): number {
  return needed === 0 ? Infinity : available / needed;
}

/** Whether no run and no completion of this leader is left on a worker. */
export function isSettled(
  { runs, orphanCompletions, retainedSequences }: OwnedWorker,
): boolean {
  return runs.size === 0 && orphanCompletions.length === 0 &&
    retainedSequences.size === 0;
}
