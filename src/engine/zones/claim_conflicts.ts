/**
 * Jobs that the leaders of two zones have at once: their entries submitted them
 * before the claim of the one leader reached the other. One of the two ends the
 * job, and sends its entries to the other.
 */

import { logDecision } from "../effects.ts";
import { hasStarted } from "../job_state.ts";
import { finishJob } from "../jobs.ts";
import type { PeerMessageOf } from "../schemas.ts";
import type { Job, ReduceContext } from "../types.ts";
import { elsewhereOutcome, storeClaims } from "./job_claims.ts";
import type { JobClaim } from "./zone_types.ts";

/** Handles claims of the leader of another zone. */
export function onClaims(
  context: ReduceContext,
  from: string,
  message: PeerMessageOf<"claims">,
): void {
  const { scheduler, peers, hasZoneCells } = context.state;
  const areCells = hasZoneCells && peers.get(from)?.hasZoneCells === true;
  for (const jobId of storeClaims(context, from, message)) {
    const job = scheduler?.jobs.get(jobId);
    const claim = scheduler?.claims.byJob.get(jobId)
      ?.find(({ leaderId }) => leaderId === from);
    if (job === undefined || claim === undefined) continue;
    if (job.record !== null || job.outcome !== null) continue;
    // One of two leaders of all zones steps down, and their entries know which.
    if (!areCells) continue;
    // The leader of that zone has handed the job over, which it says later.
    if (job.triedZones?.includes(claim.zone) === true) continue;
    resolveConflict(context, { job, claim });
  }
}

function resolveConflict(
  context: ReduceContext,
  { job, claim }: { job: Job; claim: JobClaim },
): void {
  const { state } = context;
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
  if (!givesWay) return;
  const mayHaveStarted = job.mayHaveStarted || hasStarted(job);
  finishJob(context, job, elsewhereOutcome(zone, { mayHaveStarted }));
}
