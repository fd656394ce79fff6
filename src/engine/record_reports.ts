/**
 * Reports between leaders about recorded jobs whose tasks ran on workers that
 * another leader owns now, such as after a change of cells. The worker's new
 * owner retains completions of unknown jobs until the owner of the records has
 * recorded them. The owner of the records starts a task again once the worker's
 * new owner has reported that its run is gone or, if that owner is not heard
 * from, once the leases have expired.
 */

import { sendPeer } from "./effects.ts";
import { isActiveLeader, recordsLeader } from "./leader_lookup.ts";
import { checkRecordsIfDue } from "./records_absence.ts";
import {
  discardOrphanCompletions,
  processReportedCompletion,
  runKey,
} from "./runs.ts";
import type { PeerMessageOf } from "./schemas.ts";
import type {
  EngineState,
  OwnedWorker,
  ReduceContext,
  ReportedCompletions,
  Scheduler,
  WorkerRun,
} from "./types.ts";

/** Interval at which a report or an inquiry is repeated until it is answered. */
const REPORT_INTERVAL_MS = 200;
/** Maximum number of completions or runs in one message. */
const MAX_REPORTED_ROWS = 100;
/** Time after its latest report for which the state of a worker is kept. */
const REPORT_RETENTION_MS = 10_000;

/**
 * Sends the reports and inquiries of this leader that are due, confirms
 * completions that have been recorded since they were reported, and lets workers
 * discard completions of jobs without a record.
 */
export function checkReports(
  context: ReduceContext,
  scheduler: Scheduler,
): void {
  const { state } = context;
  checkRecordsIfDue(context, scheduler);
  for (const worker of scheduler.workers.values()) {
    discardOrphanCompletions(context, worker);
    if (state.nowMs < worker.nextReportAtMs) continue;
    if (worker.orphanCompletions.length > 0) {
      worker.nextReportAtMs = state.nowMs + REPORT_INTERVAL_MS;
      reportCompletions(context, worker);
    } else if (worker.hasNewOwner && worker.runs.size > 0) {
      worker.nextReportAtMs = state.nowMs + REPORT_INTERVAL_MS;
      askForRuns(context, worker);
    }
  }
  for (const [key, reported] of scheduler.reportedCompletions) {
    confirmRecorded(context, reported);
    if (state.nowMs - reported.reportedAtMs >= REPORT_RETENTION_MS) {
      scheduler.reportedCompletions.delete(key);
    }
  }
}

/**
 * Reports completions of unknown jobs to the owner of the records, unless that
 * is or will be this leader.
 */
function reportCompletions(context: ReduceContext, worker: OwnedWorker): void {
  const leader = recordsLeader(context.state);
  if (leader === null) return;
  if (leader.instanceId === context.state.self.instanceId) return;
  sendPeer(context, leader.instanceId, {
    type: "completionsFound",
    workerId: worker.info.workerId,
    startedAtMs: worker.startedAtMs,
    completions: worker.orphanCompletions.slice(0, MAX_REPORTED_ROWS),
  });
}

/**
 * Handles a report of completions on a worker that the sender owns. Those of
 * recorded jobs are confirmed once the records include them, all others at once.
 */
export function onCompletionsFound(
  context: ReduceContext,
  from: string,
  { workerId, startedAtMs, completions }: PeerMessageOf<"completionsFound">,
): void {
  const { nowMs, scheduler } = context.state;
  if (scheduler === null || scheduler.records.phase !== "open") return;
  const key = `${workerId} ${startedAtMs}`;
  const reported: ReportedCompletions = scheduler.reportedCompletions.get(
    key,
  ) ?? {
    workerId,
    startedAtMs,
    reporterId: from,
    reportedAtMs: nowMs,
    processedSequences: new Set(),
    unconfirmedSequences: new Set(),
    retainedSequences: new Set(),
  };
  scheduler.reportedCompletions.set(key, reported);
  reported.reporterId = from;
  reported.reportedAtMs = nowMs;
  for (const completion of completions) {
    const { sequence } = completion;
    reported.unconfirmedSequences.add(sequence);
    if (reported.processedSequences.has(sequence)) continue;
    reported.processedSequences.add(sequence);
    processReportedCompletion(context, reported, completion);
  }
  confirmRecorded(context, reported);
}

/** Confirms the reported completions that need not be retained any more. */
function confirmRecorded(
  context: ReduceContext,
  reported: ReportedCompletions,
): void {
  const { retainedSequences, unconfirmedSequences } = reported;
  const sequences = [...unconfirmedSequences].filter((sequence) =>
    !retainedSequences.has(sequence)
  );
  if (sequences.length === 0) return;
  for (const sequence of sequences) unconfirmedSequences.delete(sequence);
  sendPeer(context, reported.reporterId, {
    type: "completionsRecorded",
    workerId: reported.workerId,
    startedAtMs: reported.startedAtMs,
    sequences,
  });
}

/** Handles the confirmation that completions may be discarded. */
export function onCompletionsRecorded(
  { state }: ReduceContext,
  _from: string,
  { workerId, startedAtMs, sequences }: PeerMessageOf<"completionsRecorded">,
): void {
  const worker = state.scheduler?.workers.get(workerId);
  if (worker === undefined || worker.startedAtMs !== startedAtMs) return;
  const recorded = new Set(sequences);
  worker.orphanCompletions = worker.orphanCompletions.filter(({ sequence }) => {
    if (!recorded.has(sequence)) return true;
    worker.retainedSequences.delete(sequence);
    return false;
  });
  worker.nextReportAtMs = state.nowMs;
}

/**
 * Whether the new owner of a worker will report what became of a run of a
 * recorded job, which may have been done. An owner that is not heard from is not
 * waited for: until it is, the expiry of the lease decides.
 */
export function awaitsReport(
  state: EngineState,
  { hasNewOwner, info }: OwnedWorker,
  { job, isReportedGone }: WorkerRun,
): boolean {
  if (job === null || job.record === null) return false;
  if (!hasNewOwner || isReportedGone) return false;
  return leaderOfZone(state, info.availabilityZone) !== null;
}

/** Asks the leader of a worker's zone which runs of recorded jobs are gone. */
function askForRuns(context: ReduceContext, worker: OwnedWorker): void {
  const runs = [...worker.runs.values()].filter(({ job, isReportedGone }) =>
    job !== null && job.record !== null && !isReportedGone
  );
  const ownerId = leaderOfZone(context.state, worker.info.availabilityZone);
  if (runs.length === 0 || ownerId === null) return;
  sendPeer(context, ownerId, {
    type: "runsWanted",
    workerId: worker.info.workerId,
    runs: runs.slice(0, MAX_REPORTED_ROWS)
      .map(({ taskName, run }) => ({ taskName, run })),
  });
}

function leaderOfZone(state: EngineState, zone: string): string | null {
  for (const peer of state.peers.values()) {
    const { availabilityZone, instanceId } = peer.info;
    if (availabilityZone === zone && isActiveLeader(state, peer)) {
      return instanceId;
    }
  }
  return null;
}

/**
 * Handles an inquiry for runs on a worker. Answered only from lists that were
 * read under this leader's fencing token: a run that they lack can't start later.
 */
export function onRunsWanted(
  context: ReduceContext,
  from: string,
  { workerId, runs }: PeerMessageOf<"runsWanted">,
): void {
  const worker = context.state.scheduler?.workers.get(workerId);
  if (worker?.phase !== "ready") return;
  const completed = new Set(
    worker.orphanCompletions.map(({ taskName, run }) => runKey(taskName, run)),
  );
  const gone = runs.filter(({ taskName, run }) => {
    const key = runKey(taskName, run);
    return !worker.runs.has(key) && !completed.has(key);
  });
  if (gone.length === 0) return;
  sendPeer(context, from, { type: "runsGone", workerId, runs: gone });
}

/** Handles the report that runs on a worker of the sender are gone. */
export function onRunsGone(
  { state }: ReduceContext,
  _from: string,
  { workerId, runs }: PeerMessageOf<"runsGone">,
): void {
  const worker = state.scheduler?.workers.get(workerId);
  for (const { taskName, run } of runs) {
    const known = worker?.runs.get(runKey(taskName, run));
    if (known !== undefined) known.isReportedGone = true;
  }
}
