/**
 * The borrower's side of loans of workers: which workers the owner of the records
 * asks the leaders of other zones for, and when it returns them. The workers of a
 * zone that has lost all its instances are used without asking.
 */

import { awaitsEvidence } from "./crashes.ts";
import { logDecision, sendPeer } from "./effects.ts";
import { isolateJob } from "./job_faults.ts";
import { mustNotRestart, queuedTasks } from "./job_state.ts";
import { isActiveLeader, zonesWithoutInstances } from "./leader_lookup.ts";
import { createListsReadAt, mayHaveUnknownRuns } from "./placement.ts";
import type { PeerMessageOf, WorkerDemand } from "./schemas.ts";
import type {
  EngineState,
  Job,
  LenderState,
  Peer,
  ReduceContext,
  Scheduler,
  Task,
} from "./types.ts";
import { isSettled, tasksThatFit } from "./worker_loans.ts";
import { isEvacuated } from "./zones/evacuation.ts";

/** Interval of the messages to a lender while there are demands or loans. */
const REQUEST_INTERVAL_MS = 200;
/** Time for which a job waits for workers of its owner's zone only. */
const BORROW_DELAY_MS = 100;
/** Time after which a borrowed worker without runs is returned. */
const RETURN_DELAY_MS = 400;
/** Maximum number of waiting tasks that one request is based on. */
const MAX_DEMANDED_TASKS = 500;
/** Maximum number of different demands in one request. */
const MAX_DEMANDS = 20;
/**
 * Time for which a zone must have had no instance before its workers are used:
 * the leases that its last leader granted have expired by then.
 */
const UNLED_ZONE_DELAY_MS = 3_000;

/** Returns workers that are not needed, and asks for those that are. */
export function checkBorrowedWorkers(
  context: ReduceContext,
  scheduler: Scheduler,
): void {
  const { state } = context;
  const { loans, records } = scheduler;
  trackUnledZones(state, scheduler);
  returnUnusedWorkers(state, scheduler);
  if (state.nowMs < loans.nextRequestAtMs) return;
  loans.nextRequestAtMs = state.nowMs + REQUEST_INTERVAL_MS;
  if (!state.hasZoneCells) return;
  const demands = records.phase === "open" ? demandsOf(context, scheduler) : [];
  const demandsByZone = divideDemands(state, demands);
  for (const peer of state.peers.values()) {
    const { availabilityZone } = peer.info;
    if (availabilityZone === state.self.availabilityZone) continue;
    if (!isActiveLeader(state, peer)) continue;
    const wanted = demandsByZone.get(availabilityZone) ?? [];
    sendRequest(context, scheduler, { peer, demands: wanted });
  }
  useUnledZones(context, scheduler, demandsByZone);
}

function trackUnledZones(state: EngineState, { loans }: Scheduler): void {
  const { unledZoneSinceMs } = loans;
  const unled = zonesWithoutInstances(state);
  for (const zone of unled) {
    if (!unledZoneSinceMs.has(zone)) unledZoneSinceMs.set(zone, state.nowMs);
  }
  for (const zone of unledZoneSinceMs.keys()) {
    if (!unled.has(zone)) unledZoneSinceMs.delete(zone);
  }
}

/** Ends the loans of workers that have been without runs for some time. */
function returnUnusedWorkers(state: EngineState, scheduler: Scheduler): void {
  const { borrowed, lenders } = scheduler.loans;
  for (const [workerId, loan] of borrowed) {
    const worker = scheduler.workers.get(workerId);
    if (worker !== undefined && !isSettled(worker)) {
      loan.usedAtMs = state.nowMs;
      continue;
    }
    const isListed = state.workers.has(workerId);
    const isUnused = state.nowMs - loan.usedAtMs >= RETURN_DELAY_MS;
    if (isListed && state.hasZoneCells && !isUnused) continue;
    borrowed.delete(workerId);
    const fence = worker?.fence ?? loan.lenderFence;
    lenders.get(loan.availabilityZone)?.returned.set(workerId, fence);
  }
}

/** Returns the demands of the tasks of recorded jobs that wait for a worker. */
function demandsOf(
  context: ReduceContext,
  scheduler: Scheduler,
): WorkerDemand[] {
  const { state } = context;
  const listsReadAtMs = createListsReadAt(state, scheduler);
  const demands = new Map<string, WorkerDemand>();
  let taskCount = 0;
  for (const [service, jobs] of scheduler.waiting) {
    for (const job of jobs) {
      if (taskCount >= MAX_DEMANDED_TASKS) return [...demands.values()];
      if (!mayBorrowFor(state, scheduler, job)) continue;
      if (mayHaveUnknownRuns(state, { job, listsReadAtMs })) continue;
      const tasks = isolateJob(context, job, {
        stage: "place",
        fallback: [],
        run: () =>
          [...queuedTasks(job)].filter((task) => mayStart(job, task))
            .slice(0, MAX_DEMANDED_TASKS - taskCount),
      });
      taskCount += tasks.length;
      for (const task of tasks) addDemand(demands, { service, task });
    }
  }
  return [...demands.values()];
}

function mayBorrowFor(
  state: EngineState,
  scheduler: Scheduler,
  job: Job,
): boolean {
  if (job.record === null || job.outcome !== null) return false;
  const waitedSinceMs = Math.max(
    job.receivedAtMs,
    scheduler.records.openedAtMs,
  );
  return state.nowMs - waitedSinceMs >= BORROW_DELAY_MS;
}

function mayStart(job: Job, task: Task): boolean {
  return !mustNotRestart(job, task) && !awaitsEvidence(task);
}

function addDemand(
  demands: Map<string, WorkerDemand>,
  { service, task }: { service: string; task: Task },
): void {
  const { cpuMilli, memoryMb, accelerators, requiredLabel, maxPerWorker } =
    task.demand;
  const key = JSON.stringify([
    service,
    cpuMilli,
    memoryMb,
    accelerators,
    requiredLabel,
    maxPerWorker,
  ]);
  const known = demands.get(key);
  if (known === undefined && demands.size >= MAX_DEMANDS) return;
  demands.set(key, {
    service,
    cpuMilli,
    memoryMb,
    accelerators,
    ...(requiredLabel === undefined ? {} : { requiredLabel }),
    ...(maxPerWorker === undefined ? {} : { maxPerWorker }),
    count: (known?.count ?? 0) + 1,
  });
}

/** The other zones that list a worker which can run a task with the demand. */
function zonesFor(state: EngineState, demand: WorkerDemand): Set<string> {
  const zones = new Set<string>();
  for (const info of state.workers.values()) {
    const { availabilityZone } = info;
    if (availabilityZone === state.self.availabilityZone) continue;
    if (zones.has(availabilityZone) || isEvacuated(state, info)) continue;
    if (tasksThatFit(info, demand) > 0) zones.add(availabilityZone);
  }
  return zones;
}

/** Divides the demands among the zones that can meet them. */
function divideDemands(
  state: EngineState,
  demands: readonly WorkerDemand[],
): Map<string, WorkerDemand[]> {
  const byZone = new Map<string, WorkerDemand[]>();
  for (const demand of demands) {
    const zones = zonesFor(state, demand);
    const count = Math.ceil(demand.count / zones.size);
    for (const zone of zones) {
      const share = { ...demand, count };
      byZone.set(zone, [...byZone.get(zone) ?? [], share]);
    }
  }
  return byZone;
}

/** Sends a lender what this leader wants, keeps and returns, if anything. */
function sendRequest(
  context: ReduceContext,
  scheduler: Scheduler,
  { peer, demands }: { peer: Peer; demands: readonly WorkerDemand[] },
): void {
  const zone = peer.info.availabilityZone;
  const lender = lenderOf(scheduler, peer);
  const borrowed = [...scheduler.loans.borrowed]
    .filter(([, { availabilityZone }]) => availabilityZone === zone);
  const isIdle = demands.length + borrowed.length + lender.returned.size === 0;
  if (isIdle) return;
  sendPeer(context, peer.info.instanceId, {
    type: "workersWanted",
    demands: [...demands],
    seenLoanId: lender.seenLoanId,
    kept: lender.hasAnswered
      ? []
      : borrowed.map(([workerId, { lenderFence }]) => ({
        workerId,
        fence: scheduler.workers.get(workerId)?.fence ?? lenderFence,
      })),
    returned: [...lender.returned]
      .map(([workerId, fence]) => ({ workerId, fence })),
  });
}

/** Returns what is known of a lender; a leader of another term knows no loan. */
function lenderOf({ loans }: Scheduler, { info, term }: Peer): LenderState {
  const known = loans.lenders.get(info.availabilityZone);
  if (known?.leaderId === info.instanceId && known.term === term) return known;
  const lender: LenderState = {
    leaderId: info.instanceId,
    term,
    seenLoanId: 0,
    hasAnswered: false,
    returned: new Map(),
  };
  loans.lenders.set(info.availabilityZone, lender);
  return lender;
}

/** Handles loans of workers, which are acquired on the next tick. */
export function onWorkersLent(
  context: ReduceContext,
  from: string,
  { term, loans: granted, returned }: PeerMessageOf<"workersLent">,
): void {
  const { state } = context;
  const zone = state.peers.get(from)?.info.availabilityZone ?? "";
  const { loans } = state.scheduler ?? {};
  const lender = loans?.lenders.get(zone);
  if (loans === undefined || lender?.leaderId !== from) return;
  if (lender.term !== term) return;
  lender.hasAnswered = true;
  for (const workerId of returned) lender.returned.delete(workerId);
  const isNew = granted.filter(({ loanId }) => loanId > lender.seenLoanId);
  for (const { loanId, workerId, fence } of isNew) {
    lender.seenLoanId = Math.max(lender.seenLoanId, loanId);
    if (loans.borrowed.has(workerId)) continue;
    borrow(state, workerId, { availabilityZone: zone, lenderFence: fence });
  }
  if (isNew.length === 0) return;
  logDecision(context, { part: "workers", text: "workers borrowed" }, {
    lenderId: from,
    zone,
    workers: isNew.length,
  });
}

function borrow(
  { scheduler, nowMs }: EngineState,
  workerId: string,
  loan: { availabilityZone: string; lenderFence: number },
): void {
  scheduler?.loans.borrowed.set(workerId, { ...loan, usedAtMs: nowMs });
}

/**
 * Uses workers of zones that have had no instance for some time: no leader owns
 * them, so there is none to ask.
 */
function useUnledZones(
  context: ReduceContext,
  scheduler: Scheduler,
  demandsByZone: ReadonlyMap<string, readonly WorkerDemand[]>,
): void {
  const { state } = context;
  const { unledZoneSinceMs } = scheduler.loans;
  for (const [zone, sinceMs] of unledZoneSinceMs) {
    if (state.nowMs - sinceMs < UNLED_ZONE_DELAY_MS) continue;
    for (const demand of demandsByZone.get(zone) ?? []) {
      borrowUnowned(context, scheduler, { zone, demand });
    }
  }
}

function borrowUnowned(
  context: ReduceContext,
  { loans }: Scheduler,
  { zone, demand }: { zone: string; demand: WorkerDemand },
): void {
  const { state } = context;
  let missing = demand.count;
  let count = 0;
  for (const [workerId, info] of state.workers) {
    if (missing <= 0) break;
    if (info.availabilityZone !== zone || loans.borrowed.has(workerId)) {
      continue;
    }
    const fitting = tasksThatFit(info, demand);
    if (fitting === 0) continue;
    missing -= fitting;
    count += 1;
    const lenderFence = loans.fenceFloors.get(workerId) ?? 0;
    borrow(state, workerId, { availabilityZone: zone, lenderFence });
  }
  if (count === 0) return;
  logDecision(context, {
    part: "workers",
    text: "workers of a zone without instances used",
  }, { zone, workers: count });
}
