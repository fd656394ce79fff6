/**
 * Jobs that the leaders of two zones have at once: their entries submitted them
 * before the claim of the one leader reached the other. One of the two ends the
 * job, and sends its entries to the other.
 */

import { logDecision } from "../effects.ts";
import { hasStarted } from "../job_state.ts";
import { finishJob } from "../jobs.ts";
import type { PeerMessageOf } from "../schemas.ts";
import type { Job, ReduceContext, Scheduler } from "../types.ts";
import {
  elsewhereOutcome,
  type ReceivedClaim,
  repeatClaim,
  storeClaims,
} from "./job_claims.ts";

/** Handles claims of the leader of another zone. */
export function onClaims(
  context: ReduceContext,
  from: string,
  message: PeerMessageOf<"claims">,
): void {
  const { scheduler, peers, hasZoneCells } = context.state;
  const areCells = hasZoneCells && peers.get(from)?.hasZoneCells === true;
  for (const received of storeClaims(context, from, message)) {
    const { jobId, claim } = received;
    const job = scheduler?.jobs.get(jobId);
    if (scheduler === null || job === undefined) continue;
    if (job.record !== null || job.outcome !== null) continue;
    // One of two leaders of all zones steps down, and their entries know which.
    if (!areCells) continue;
    // The leader of that zone has handed the job over, which it says later.
    if (job.triedZones?.includes(claim.zone) === true) continue;
    resolveConflict(context, scheduler, { job, received });
  }
}

function resolveConflict(
  context: ReduceContext,
  scheduler: Scheduler,
  { job, received }: { job: Job; received: ReceivedClaim },
): void {
  const { state } = context;
  const { claim, wasKnown } = received;
  const { zone, leaderId } = claim;
  const heldMs = state.nowMs - job.receivedAtMs;
  const heldThereMs = state.nowMs - claim.receivedAtMs;
  const givesWay = state.guards.mustGiveWay(
    { zone: state.self.availabilityZone, heldMs },
    { zone, heldMs: heldThereMs },
  );
  state.counters.jobsInTwoZones += 1;
  logDecision(context, {
    level: "warn",
    part: "zones",
    text: "job is in work in two zones",
  }, {
    jobId: job.jobId,
    otherZone: zone,
    otherLeaderId: leaderId,
    heldMs: Math.round(heldMs),
    heldThereMs: Math.round(heldThereMs),
    entryIds: [...job.submissionIdByEntry.keys()],
    givesWay,
  });
  if (!givesWay) {
    // It may wait for this leader's claim to end while this one waits for its own.
    if (!wasKnown) repeatClaim(context, scheduler, { job, leaderId });
    return;
  }
  const mayHaveStarted = job.mayHaveStarted || hasStarted(job);
  finishJob(context, job, elsewhereOutcome(zone, { mayHaveStarted }));
}
