/**
 * Sharing of work between zones that have a leader each. The leader of the home
 * cell decides, since it knows its own queue and is the only one: it ends a job
 * that has not started as refused, and names the zone that is to run it; the entry
 * submits the job to the leader of that zone.
 */

import { addLoadOf, queuedCpuMilli, reportedWaitMs } from "../admission.ts";
import { logDecision } from "../effects.ts";
import { expectedTaskMs } from "../expected_run_times.ts";
import { isolateJob } from "../job_faults.ts";
import { finishJob } from "../jobs.ts";
import { compareJobs } from "../queue.ts";
import type { PeerMessageOf } from "../schemas.ts";
import {
  createServiceCapacity,
  type QueuedLoad,
  type ServiceCapacity,
  waitBehindMs,
} from "../service_capacity.ts";
import type {
  EngineState,
  Job,
  JobOutcome,
  OwnedWorker,
  ReduceContext,
  Scheduler,
} from "../types.ts";
import {
  chooseZone,
  type HandOver,
  isExcess,
  MAX_REPORT_AGE_MS,
  type MovableJob,
  type OtherZone,
} from "./hand_over.ts";
import {
  addWork,
  createUsualRate,
  rateAt,
  shareToHandOver,
} from "./load_balance.ts";
import { isMovable } from "./movable_jobs.ts";
import { createSuitsZone, otherZones, type SuitsZone } from "./other_zones.ts";
import { meanTaskMilli, measureRoom } from "./room_reports.ts";
import type { ServiceRoom, UsualRate } from "./zone_types.ts";

/** Retry delay that callers get if the other zone cannot be reached. */
const RETRY_AFTER_MS = 250;

/**
 * Measures the room and the waits that heartbeats report, for every service with
 * usable workers, if the zones have a leader each.
 */
export function updateRoom(
  context: ReduceContext,
  scheduler: Scheduler,
): void {
  const { state } = context;
  const { sharing, waiting, workers, waitMsByService } = scheduler;
  if (!state.hasZoneCells) {
    sharing.room = {};
    return;
  }
  const services = new Set<string>();
  for (const { info } of workers.values()) services.add(info.service);
  const room: Record<string, ServiceRoom> = {};
  for (const service of services) {
    const capacity = createServiceCapacity(state, scheduler, service);
    if (capacity.cpuMilli === 0) continue;
    const views = capacity.workers.map((worker) => viewOf(state, worker));
    const queued: QueuedLoad = { cpuMilli: 0, workMilliMs: 0 };
    for (const job of waiting.get(service) ?? []) {
      addLoadOf(context, queued, job);
    }
    room[service] = measureRoom(views, queued.cpuMilli);
    const taskMilli = meanTaskMilli(views);
    const neededMilli = queued.cpuMilli + taskMilli;
    const waitMs = waitBehindMs(capacity, queued, { neededMilli, taskMilli });
    waitMsByService.set(service, reportedWaitMs(waitMs));
  }
  sharing.room = room;
  for (const service of waitMsByService.keys()) {
    // The wait of a service that has had a queue is reported without workers, too.
    if (room[service] !== undefined || waiting.has(service)) continue;
    waitMsByService.delete(service);
  }
}

function viewOf(
  { nowMs }: EngineState,
  { info, usedCpuMilli, runs, phase, released, usableFromMs }: OwnedWorker,
) {
  return {
    cpuMilli: info.cpuMilli,
    usedCpuMilli,
    runCount: runs.size,
    isReady: phase === "ready" && !released && nowMs >= usableFromMs,
  };
}

/** Returns when all queued tasks of a job are expected to have started here. */
function waitHereMs(
  capacity: ServiceCapacity,
  { ahead, job, ownMilli }: {
    ahead: QueuedLoad;
    job: Job;
    ownMilli: number;
  },
): number {
  if (capacity.cpuMilli === 0) return Infinity;
  const taskMilli = Math.max(1, job.tasks[0]?.demand.cpuMilli ?? 1);
  const neededMilli = ahead.cpuMilli + ownMilli;
  return waitBehindMs(capacity, ahead, { neededMilli, taskMilli });
}

/** Returns the share of a service's arriving work to hand over. */
function excessShare(
  { nowMs, scheduler }: EngineState,
  service: string,
  zones: readonly OtherZone[],
): number {
  const room = scheduler?.sharing.room[service];
  const offered = scheduler?.sharing.offered.get(service);
  if (room === undefined || offered === undefined) return 0;
  const { capacityMilli } = room;
  const offeredMilli = rateAt(offered, nowMs);
  const others = zones.map((other) => {
    const sent = scheduler?.sharing.sent.get(sentKey(other.zone, service));
    return {
      capacityMilli: other.capacityMilli,
      usedMilli: other.usualUsedMilli,
      sentMilli: sent === undefined ? 0 : rateAt(sent, nowMs),
    };
  });
  return shareToHandOver({ capacityMilli, offeredMilli }, others);
}

function sentKey(zone: string, service: string): string {
  return `${zone} ${service}`;
}

/** CPU times expected run time of all tasks of a job. */
function workMilliMsOf(state: EngineState, { steps, queue }: Job): number {
  let workMilliMs = 0;
  for (const { count, cpuMilli, estimatedMs } of steps) {
    workMilliMs += count * cpuMilli *
      expectedTaskMs(state, queue.name, estimatedMs);
  }
  return workMilliMs;
}

function movableJobOf(
  context: ReduceContext,
  capacity: ServiceCapacity,
  { job, ahead, share, suitsZone }: {
    job: Job;
    ahead: QueuedLoad;
    share: number;
    suitsZone: SuitsZone;
  },
): MovableJob {
  const ownMilli = queuedCpuMilli(context, job);
  const isSuited = suitsZone(context.state.self.availabilityZone, job.steps);
  return {
    jobId: job.jobId,
    neededMilli: ownMilli,
    runMs: job.criticalPathMs,
    slackMs: job.objectiveAtMs - context.state.nowMs - job.criticalPathMs,
    waitMs: isSuited
      ? waitHereMs(capacity, { ahead, job, ownMilli })
      : Infinity,
    isExcess: isExcess(job.jobId, share),
    triedZones: job.triedZones ?? [],
  };
}

/**
 * Returns the outcome with which a submitted job is handed over; null if it stays
 * here. At its submission a job is not in the queue yet.
 */
export function handOverSubmitted(
  context: ReduceContext,
  scheduler: Scheduler,
  job: Job,
): JobOutcome | null {
  const { state } = context;
  if (!isMovable(state, job)) return null;
  const { service } = job.queue;
  const suitsZone = createSuitsZone(state, service);
  const zones = otherZones(state, service).filter(({ zone }) =>
    suitsZone(zone, job.steps)
  );
  if (zones.length === 0) return null;
  const ahead: QueuedLoad = { cpuMilli: 0, workMilliMs: 0 };
  for (const other of scheduler.waiting.get(service) ?? []) {
    if (compareJobs(other, job) > 0) break;
    addLoadOf(context, ahead, other);
  }
  const capacity = createServiceCapacity(state, scheduler, service);
  const isFromHere = job.triedZones?.length === 0;
  const share = isFromHere ? excessShare(state, service, zones) : 0;
  const movable = movableJobOf(context, capacity, {
    job,
    ahead,
    share,
    suitsZone,
  });
  const handOver = chooseZone(movable, zones);
  return handOver === null
    ? null
    : recordHandOver(context, scheduler, { job, movable, handOver });
}

/**
 * Hands over the waiting jobs that would wait too long here. Each service's queue
 * is gone through once, in its order.
 */
export function handOverWaiting(
  context: ReduceContext,
  scheduler: Scheduler,
): void {
  const { state } = context;
  forgetRecent(state, scheduler);
  if (!state.hasZoneCells) return;
  for (const [service, waiting] of scheduler.waiting) {
    if (waiting.length === 0) continue;
    let zones = otherZones(state, service);
    if (zones.length === 0) continue;
    const suitsZone = createSuitsZone(state, service);
    const capacity = createServiceCapacity(state, scheduler, service);
    const ahead: QueuedLoad = { cpuMilli: 0, workMilliMs: 0 };
    for (const job of [...waiting]) {
      const isHandedOver = isolateJob(context, job, {
        stage: "admit",
        fallback: false,
        run: () =>
          handOverIfWorthwhile(context, scheduler, {
            job,
            capacity,
            ahead,
            zones,
            suitsZone,
          }),
      });
      if (isHandedOver) zones = otherZones(state, service);
      else addLoadOf(context, ahead, job);
    }
  }
}

/** Hands over a waiting job, unless it stays. Returns whether it was. */
function handOverIfWorthwhile(
  context: ReduceContext,
  scheduler: Scheduler,
  { job, capacity, ahead, zones, suitsZone }: {
    job: Job;
    capacity: ServiceCapacity;
    ahead: QueuedLoad;
    zones: readonly OtherZone[];
    suitsZone: SuitsZone;
  },
): boolean {
  const { state } = context;
  if (!isMovable(state, job)) return false;
  const suited = zones.filter(({ zone }) => suitsZone(zone, job.steps));
  const movable = movableJobOf(context, capacity, {
    job,
    ahead,
    share: 0,
    suitsZone,
  });
  const handOver = chooseZone(movable, suited);
  if (handOver === null) return false;
  finishJob(
    context,
    job,
    recordHandOver(context, scheduler, { job, movable, handOver }),
  );
  return true;
}

/** Forgets hand-overs that every report in use includes. */
function forgetRecent({ nowMs }: EngineState, { sharing }: Scheduler): void {
  let count = 0;
  for (const { atMs } of sharing.recent) {
    if (nowMs - atMs <= MAX_REPORT_AGE_MS) break;
    count += 1;
  }
  sharing.recent.splice(0, count);
}

/** Counts and logs a hand-over; returns the outcome of the job in this cell. */
function recordHandOver(
  context: ReduceContext,
  { sharing }: Scheduler,
  { job, movable, handOver }: {
    job: Job;
    movable: MovableJob;
    handOver: HandOver;
  },
): JobOutcome {
  const { state } = context;
  const { zone, waitMs, hasRoom, reason } = handOver;
  const { jobId, queue: { name, service } } = job;
  const cpuMilli = movable.neededMilli;
  sharing.recent.push({
    zone: zone.zone,
    service,
    cpuMilli,
    atMs: state.nowMs,
  });
  sharing.jobsByZone.set(
    zone.zone,
    (sharing.jobsByZone.get(zone.zone) ?? 0) + 1,
  );
  const key = sentKey(zone.zone, service);
  addWorkTo(sharing.sent, key, workMilliMsOf(state, job), state.nowMs);
  state.counters.jobsHandedOver += 1;
  logDecision(context, { part: "zones", text: "job handed over" }, {
    jobId,
    queue: name,
    fromZone: state.self.availabilityZone,
    toZone: zone.zone,
    reason,
    expectedWaitMs: Number.isFinite(movable.waitMs)
      ? Math.round(movable.waitMs)
      : null,
    slackMs: Math.round(movable.slackMs),
    waitThereMs: Math.round(waitMs),
    hasRoom,
    idleMilli: Math.round(zone.idleMilli),
    neededMilli: Math.round(cpuMilli),
    reportAgeMs: Math.round(zone.ageMs),
    waitedMs: Math.round(state.nowMs - job.receivedAtMs),
  });
  return {
    kind: "refused",
    reason: movable.waitMs === Infinity ? "noWorker" : "overloaded",
    retryAfterMs: RETRY_AFTER_MS,
    elsewhere: zone.zone,
  };
}

function addWorkTo(
  rates: Map<string, UsualRate>,
  key: string,
  workMilliMs: number,
  nowMs: number,
): void {
  const rate = rates.get(key) ?? createUsualRate(0, nowMs);
  addWork(rate, workMilliMs, nowMs);
  rates.set(key, rate);
}

/** Counts a new job in memory and its work by the zone of its entry. */
export function countOrigin(
  state: EngineState,
  { sharing }: Scheduler,
  { job, availabilityZone }: { job: Job; availabilityZone: string },
): void {
  const { self, counters, nowMs, hasZoneCells } = state;
  if (job.record !== null || !hasZoneCells) return;
  if (availabilityZone !== self.availabilityZone) {
    counters.jobsFromOtherZones += 1;
    return;
  }
  sharing.ownJobs += 1;
  const workMilliMs = workMilliMsOf(state, job);
  addWorkTo(sharing.offered, job.queue.service, workMilliMs, nowMs);
}

/**
 * Returns the outcome of a job that was handed over and comes again, maybe from
 * another entry: the hand-over if its submission has to follow it, or an unknown
 * one if it can't follow and the job may run there for another entry. Returns
 * null if the job may start here.
 */
export function handedOverOutcome(
  { guards }: EngineState,
  known: Job | undefined,
  { from, message }: { from: string; message: PeerMessageOf<"submit"> },
): JobOutcome | null {
  const outcome = known?.outcome ?? null;
  if (known === undefined || outcome?.kind !== "refused") return null;
  const elsewhere = outcome.elsewhere ?? null;
  if (elsewhere === null) return null;
  const { submissionIdByEntry } = known;
  const hasEntries = submissionIdByEntry.size > 0;
  submissionIdByEntry.delete(from);
  const action = guards.afterHandOver(elsewhere, {
    triedZones: message.resubmitted ? undefined : message.triedZones,
    hasEntries,
    hasOtherEntries: submissionIdByEntry.size > 0,
  });
  if (action === "start") return null;
  if (action === "unknown") return { kind: "unknown", reason: "leaderLost" };
  submissionIdByEntry.set(from, message.submissionId);
  return outcome;
}

/** Joins the zones that two entries have tried; null if one tells none. */
export function joinTriedZones(
  known: readonly string[] | null,
  added: readonly string[] | undefined,
): readonly string[] | null {
  if (known === null || added === undefined) return null;
  return [...new Set([...known, ...added])];
}

/** Whether a job has left this cell, so that its state isn't known here. */
export function wasHandedOver({ outcome }: Job): boolean {
  return outcome?.kind === "refused" && (outcome.elsewhere ?? null) !== null;
}
