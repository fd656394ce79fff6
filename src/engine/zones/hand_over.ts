/**
 * Which jobs a leader hands to another zone, and to which one. Load: callers that
 * are divided unevenly between the zones, bursts of one zone, zones without usable
 * workers.
 */

import { hashText } from "../hash.ts";

/** Maximum number of hand-overs of one job, failed ones included. */
export const MAX_HAND_OVERS = 2;
/** Age from which on a report is not used. */
export const MAX_REPORT_AGE_MS = 1_500;
/**
 * Time that a job takes to another leader: to its entry, to that leader, and to a
 * worker of another zone.
 */
const HOP_MS = 10;
/**
 * Time before the report arrived within which jobs handed over may not be
 * included in it: they were on their way, or the report was measured before.
 */
const IN_FLIGHT_MS = 50;
/**
 * Share of the slack of a job that is left for errors of the estimates, since the
 * run time that the slack is computed from may be wrong.
 */
const SAFETY_SHARE = 0.25;
/** Smallest difference of two waits by which a job is handed over. */
const MIN_GAIN_MS = 50;
/** Factor by which the wait elsewhere must be shorter. */
const CLEAR_FACTOR = 2;
/**
 * Smallest difference as a share of the slack: a job that can wait stays, so that
 * few jobs cross between zones with the same load.
 */
const CLEAR_SHARE = 0.5;

/** A job whose leader may hand it over. */
export interface MovableJob {
  readonly jobId: string;
  /** CPU that all its queued tasks need together. */
  readonly neededMilli: number;
  /** Expected time from its start to its end. */
  readonly runMs: number;
  /** Time for which it can wait and still meet its objective. */
  readonly slackMs: number;
  /**
   * Time after which all its queued tasks are expected to have started in this
   * cell; Infinity if no worker is usable.
   */
  readonly waitMs: number;
  /** Whether it is among the jobs that are handed over to even out the load. */
  readonly isExcess: boolean;
  /** Zones whose leaders have had the job before, or could not be reached. */
  readonly triedZones: readonly string[];
}

/** Another zone, as its leader has reported it. */
export interface OtherZone {
  readonly zone: string;
  /** Idle CPU, less what was handed over since. */
  readonly idleMilli: number;
  readonly capacityMilli: number;
  /** CPU that is usually in use there. */
  readonly usualUsedMilli: number;
  readonly waitMs: number;
  readonly ageMs: number;
}

/** The zone to which a job is handed over, and why. */
export interface HandOver {
  readonly zone: OtherZone;
  /** Time after which the job is expected to start there. */
  readonly waitMs: number;
  /** Whether there is room for all its tasks at once. */
  readonly hasRoom: boolean;
  /**
   * `noWorker`: no worker is usable here; `objective`: the job would miss its
   * objective here, not there; `uneven`: its zone has more work than the others;
   * `wait`: it would wait clearly longer here.
   */
  readonly reason: "noWorker" | "objective" | "uneven" | "wait";
}

/** Returns the CPU of a zone that is left after recent hand-overs to it. */
export function leftMilli(
  idleMilli: number,
  { recent, reportedAtMs }: {
    recent: readonly { readonly cpuMilli: number; readonly atMs: number }[];
    reportedAtMs: number;
  },
): number {
  let left = idleMilli;
  for (const { cpuMilli, atMs } of recent) {
    if (atMs > reportedAtMs - IN_FLIGHT_MS) left -= cpuMilli;
  }
  return left;
}

/** Returns the CPU of a job that a zone has no room for. */
function lackingMilli({ neededMilli }: MovableJob, zone: OtherZone): number {
  return Math.max(0, neededMilli - zone.idleMilli);
}

/** Returns when a job is expected to start in another zone. */
function waitThereMs(job: MovableJob, zone: OtherZone): number {
  const lacking = lackingMilli(job, zone);
  if (lacking === 0) return HOP_MS;
  if (zone.capacityMilli === 0) return Infinity;
  const occupiedMs = lacking * job.runMs / zone.capacityMilli;
  return HOP_MS + Math.max(zone.waitMs, occupiedMs);
}

/**
 * Returns the zone to which a job is handed over; null if it stays. A job that
 * another cell has handed over goes on only if it would miss its objective here
 * and not there. Without a usable worker here it goes wherever it waits least.
 *
 * Among zones with room for the whole job the choice is random, in proportion to
 * what is left, so that leaders and entries with the same reports don't all choose
 * the same zone.
 */
export function chooseZone(
  job: MovableJob,
  zones: readonly OtherZone[],
): HandOver | null {
  const { triedZones } = job;
  if (triedZones.length >= MAX_HAND_OVERS) return null;
  const suited: HandOver[] = [];
  for (const zone of zones) {
    if (zone.ageMs > MAX_REPORT_AGE_MS) continue;
    if (triedZones.includes(zone.zone)) continue;
    const hasRoom = lackingMilli(job, zone) === 0;
    const waitMs = waitThereMs(job, zone);
    const reason = reasonFor(job, { zone, waitMs, hasRoom });
    if (reason !== null) suited.push({ zone, waitMs, hasRoom, reason });
  }
  const withRoom = suited.filter(({ hasRoom }) => hasRoom);
  if (withRoom.length > 0) return pickByRoom(job, withRoom);
  let best: HandOver | null = null;
  for (const handOver of suited) {
    if (handOver.waitMs < (best?.waitMs ?? Infinity)) best = handOver;
  }
  return best;
}

/** Returns why a job should go to a zone; null if it should not. */
function reasonFor(
  { waitMs, slackMs, triedZones, isExcess }: MovableJob,
  { waitMs: otherMs }: Omit<HandOver, "reason">,
): HandOver["reason"] | null {
  if (waitMs === Infinity) return otherMs < Infinity ? "noWorker" : null;
  const safeSlackMs = slackMs * (1 - SAFETY_SHARE);
  const isRescued = waitMs > safeSlackMs && otherMs <= safeSlackMs &&
    otherMs < waitMs;
  if (isRescued) return "objective";
  if (triedZones.length > 0) return null;
  if (isExcess && otherMs <= safeSlackMs) return "uneven";
  const gainMs = Math.max(MIN_GAIN_MS, CLEAR_SHARE * slackMs);
  const limitMs = Math.max(otherMs + gainMs, otherMs * CLEAR_FACTOR);
  return waitMs > limitMs ? "wait" : null;
}

/** Picks a zone by a hash of the job, in proportion to the room that is left. */
function pickByRoom(
  { jobId, triedZones }: MovableJob,
  handOvers: readonly HandOver[],
): HandOver | null {
  const sorted = [...handOvers]
    .sort((a, b) => (a.zone.zone < b.zone.zone ? -1 : 1));
  const totalMilli = sorted.reduce((sum, { zone }) => sum + zone.idleMilli, 0);
  const drawn = hashText(`${jobId} ${triedZones.length}`) / 2 ** 32;
  let aboveMilli = drawn * totalMilli;
  for (const handOver of sorted) {
    aboveMilli -= handOver.zone.idleMilli;
    if (aboveMilli < 0) return handOver;
  }
  return sorted.at(-1) ?? null;
}

/** Whether a job belongs to a share of all jobs, which a hash decides. */
export function isExcess(jobId: string, share: number): boolean {
  return hashText(`${jobId} excess`) < share * 2 ** 32;
}
