/**
 * The conditions that guarantee safety, each defined in one place. Randomized
 * runs disable one at a time to verify that its absence is detected.
 */

import { GIVE_UP_CRASHES, MAX_CRASHES } from "./crashes.ts";
import { faultyJobOutcome } from "./job_faults.ts";
import { MAX_STARTS_IN_FLIGHT } from "./load_limits.ts";
import { LEADER_TIMEOUT_MS } from "./membership.ts";
import { WITHDRAWAL_RETENTION_MS } from "./previous_runs.ts";
import { MAX_RECORD_BYTES } from "./record_content.ts";
import { OWNERSHIP_CONFIRM_TIMEOUT_MS } from "./records.ts";
import type { Guards } from "./types.ts";

/**
 * Number of tasks of restored jobs from which on the takeover of the records
 * continues with the next event.
 */
export const MAX_TASKS_PER_EVENT = 250;

/**
 * Time after a delay of the process within which what arrived during the delay
 * is handled: the event loop reads each connection in two iterations at most.
 */
const UNREAD_ENDS_TIMEOUT_MS = 50;

/** Difference of the ages of a job from which on two leaders agree on it. */
const CROSSING_CLAIMS_MS = 100;
/** Time for which a new leader waits for the claims of others. */
const CLAIMS_TIMEOUT_MS = 300;

/** The conditions that apply in production. */
export const defaultGuards: Guards = {
  /**
   * A bounded number of starts is without an outcome. Each holds a call, which
   * takes far more memory than its task.
   */
  mayStartMore: (startsInFlight) => startsInFlight < MAX_STARTS_IN_FLIGHT,
  /** The store refuses a larger row, and with it all writes of the same batch. */
  fitsRow: (bytes) => bytes <= MAX_RECORD_BYTES,
  /** A recorded job starts only after its record has been persisted. */
  mayStartJob: (record) => record === null || record.accepted,
  /**
   * A worker retains a completion of a recorded job until it is recorded, unless
   * the outcome of the job has been recorded already.
   */
  mustRetainCompletion: ({ record }) =>
    record !== null && record.storedOutcome === null,
  /**
   * A run that was done completes its task, also one that waits for an earlier
   * step or that has another run: after a takeover, the ends of a job's steps
   * arrive in any order.
   */
  mayComplete: ({ state }) => state !== "done",
  /**
   * A run that a previous leader started is that of its task, also if the task
   * waits for an earlier step, unless the task has another run or is done.
   */
  mayAttachRun: ({ state }) => state === "waiting" || state === "queued",
  /** A task of an at-most-once job runs again only if its run never started. */
  mayRunAgain: ({ spec }, kind) =>
    spec.isAtMostOnce !== true || kind === "notStarted",
  /** The runs on a worker never exceed its capacity. */
  hasRoom: ({ info, usedCpuMilli, usedMemoryMb, usedAccelerators }, task) =>
    usedCpuMilli + task.demand.cpuMilli <= info.cpuMilli &&
    usedMemoryMb + task.demand.memoryMb <= info.memoryMb &&
    usedAccelerators + task.demand.accelerators <= info.accelerators,
  /** Draining or released workers get no tasks. */
  mayServe: ({ info, released }) => !info.draining && !released,
  /**
   * No task starts on a worker of an evacuated zone, but for tasks of jobs that
   * have started there, until `closesAtMs`.
   */
  mayUseZone: (nowMs, closesAtMs) => nowMs < closesAtMs,
  /**
   * What is known of evacuations is too old to start tasks by if one may have
   * been written since, and its time may pass before a start reaches its worker,
   * unless this leader has just tried to read the store.
   */
  mayTrustEvacuations: (nowMs, { knownAtMs, attemptedAtMs, trustMs }) =>
    nowMs - Math.max(knownAtMs, attemptedAtMs) < trustMs,
  /**
   * A report of evacuated zones may have been delayed on its way. It was sent
   * after its sender had heard this instance, whose clock was rounded. Otherwise
   * instances that pass on an old report in turn would make it seem fresh. A time
   * that is still to come is one of an earlier process, on a clock that has
   * restarted since, and proves nothing.
   */
  provenSentAtMs: (nowMs, heardAtMs = Infinity) =>
    heardAtMs > nowMs + 1 ? -Infinity : heardAtMs - 1,
  /** Runs on lost workers occupy capacity until their leases have expired. */
  hasExpired: (nowMs, expiresAtMs) => nowMs >= expiresAtMs,
  /**
   * A worker that another instance owns is acquired only by the delayed retry:
   * its owner may have read that no run of a task is there, and started the
   * task. One that this leader merely released may be assigned to it again.
   */
  mayAcquire: ({ hasNewOwner, wasFenced }, cause) =>
    !hasNewOwner || cause === "retry" ||
    (cause === "reassigned" && !wasFenced),
  /** Runs of a previous leader may continue until their leases have expired. */
  mayRunElsewhere: (nowMs, expiresAtMs) => nowMs < expiresAtMs,
  /** No task of a job in memory starts while the leader of another zone has it. */
  mayRunInOtherZone: (claim) => claim !== null,
  /**
   * Of two leaders with the same job, one ends it: the one that got it clearly
   * later. If their claims have crossed, the order of the zones decides, since
   * the two may see their ages differently.
   */
  mustGiveWay: (own, other) => {
    const isCrossing = Math.abs(own.heldMs - other.heldMs) < CROSSING_CLAIMS_MS;
    return isCrossing ? other.zone < own.zone : own.heldMs < other.heldMs;
  },
  /**
   * A new leader does not know yet which jobs the leaders of other zones have. It
   * waits for their claims, but not for one that doesn't answer.
   */
  mayMissClaims: (leadingMs) => leadingMs < CLAIMS_TIMEOUT_MS,
  /**
   * The runs of a previous leader are known once the lists of all its workers
   * have been read, which are those of this leader only if both list the same.
   */
  mayHaveUnlistedRuns: (listsSameWorkers) => !listsSameWorkers,
  /** A task under which workers crash does not start without end. */
  mustGiveUp: ({ crashes, crashedAlone }) =>
    crashes >= (crashedAlone ? GIVE_UP_CRASHES : MAX_CRASHES),
  /** Only a job of which no task may have started is reported as refused. */
  mayRefuse: ({ mayHaveStarted }) => !mayHaveStarted,
  /**
   * Only a job of which no task can have run is submitted to the leader of another
   * zone: it would not see the runs.
   */
  mayHandOver: (nowMs, { record, mayHaveStarted, previousRunsExpireAtMs }) =>
    record === null && !mayHaveStarted && nowMs >= previousRunsExpireAtMs,
  /**
   * A job that was handed to another zone may run there for another entry. One
   * that submits it here follows, or, if it can't, gets no answer that allows a
   * second run.
   */
  afterHandOver: (elsewhere, { triedZones, hasEntries, hasOtherEntries }) => {
    if (!hasEntries) return "start";
    if (triedZones?.includes(elsewhere) === false) return "follow";
    return hasOtherEntries ? "unknown" : "start";
  },
  /** A configuration is replaced only by one with a higher version. */
  isNewer: (version, currentVersion) => version > currentVersion,
  /**
   * A job goes by the newest rule of its queue that is known: its entry may have
   * an older configuration, or a newer one.
   */
  hasOwnRule: (ownVersion, submittedVersion) => ownVersion >= submittedVersion,
  /**
   * A configuration that was not proved lately may have been replaced: a change
   * may be missing from the feed, and the instances that follow the store may be
   * cut off from it.
   */
  mustCompare: (proofAgeMs, maxAgeMs) => proofAgeMs >= maxAgeMs,
  /**
   * One event restores or resumes a bounded number of jobs. While an event is
   * handled no heartbeat is sent, and peers that miss heartbeats choose another
   * leader, which has the same jobs to restore.
   */
  fitsEvent: (taskCount) => taskCount < MAX_TASKS_PER_EVENT,
  /**
   * A worker discards a completion of an unknown job only if no record of the
   * job can exist: there are no records, or the store has confirmed since then
   * that this leader, which has read all records, owns them, or that it has had
   * no records at all.
   */
  mayDiscardUnknown: (
    recordsExist,
    readAtMs,
    { phase, confirmedAtMs, absence },
  ) =>
    !recordsExist || (phase === "open" && confirmedAtMs > readAtMs) ||
    absence.provedAtMs > readAtMs,
  /**
   * A worker that lists completions of unknown jobs gets no lease before those
   * of its previous owner have expired: that one starts the tasks again then.
   */
  mayGrantLease: (nowMs, previousExpireAtMs) => nowMs >= previousExpireAtMs,
  /**
   * A leader in another term has lost the jobs that it was sent in the term in
   * which it is followed.
   */
  mustFollowAnew: (term, followedTerm) => term !== followedTerm,
  /**
   * A submission for another term than that of the leader may be one of a job
   * that an earlier leader, or this one in an earlier term, has started.
   */
  mayBeNew: ({ resubmitted, term }, ownTerm) =>
    !resubmitted && (term === undefined || term === ownTerm),
  /**
   * The runs of a job in memory are numbered anew in each term, but no fencing
   * token comes again.
   */
  isOutcomeOf: ({ startFence }, fence) => startFence === fence,
  /**
   * An entry that has restarted has lost its jobs. Start times are compared for
   * equality only, since the wall clock may have been set back, and messages of
   * the previous incarnation may arrive after the first one of the present.
   */
  isNewIncarnation: (
    { startedAtMs: knownAtMs, endedStartsAtMs },
    startedAtMs,
  ) =>
    knownAtMs !== null && startedAtMs !== knownAtMs &&
    !endedStartsAtMs.has(startedAtMs),
  /**
   * A withdrawal may be lost with the connection until the leader has received
   * it or has dropped the job, since it hears nothing from the entry.
   */
  mayForgetWithdrawal: (nowMs, sentAtMs) =>
    nowMs - sentAtMs >= WITHDRAWAL_RETENTION_MS,
  /**
   * An entry that has not heard its leader for some time may have submitted its
   * jobs to another one, and its withdrawals may be on their way.
   */
  mayHaveLeft: (nowMs, heardAtMs) => nowMs - heardAtMs >= LEADER_TIMEOUT_MS,
  /**
   * After a delay of its process, an entry handles requests before the ends of
   * their connections. A caller that has left may have its job run elsewhere.
   */
  mayHaveUnreadEnds: (nowMs, delayEndedAtMs) =>
    nowMs - delayEndedAtMs < UNREAD_ENDS_TIMEOUT_MS,
  /**
   * A leader that hears no quorum may have been replaced, whether its peers are
   * silent or refuse connections.
   */
  mayHaveRival: ({ seesQuorum, hasMissingPeers }) =>
    !seesQuorum || hasMissingPeers,
  /**
   * A leader that is not heard from, in a zone without another one or beyond
   * refused connections, may not hear the owner of the records either, and take
   * them over.
   */
  mayHaveDistantRival: (hasUnheardInstances) => hasUnheardInstances,
  /**
   * An owner of the records that the store has not confirmed for this time has
   * relinquished them. One that is alive and reaches the store confirms.
   */
  isAbandoned: (unconfirmedMs) => unconfirmedMs >= OWNERSHIP_CONFIRM_TIMEOUT_MS,
  /**
   * The previous owner of the records relinquishes them after this time without
   * a confirmation of the store.
   */
  mayHaveTwoOwners: (nowMs, previousConfirmedAtMs) =>
    nowMs - previousConfirmedAtMs < OWNERSHIP_CONFIRM_TIMEOUT_MS,
  /**
   * Only the job that the leader has under its id is written, and no outcome of
   * a job that this leader never tried to write: before the records are read,
   * another job's row may stand there.
   */
  mayWriteRecord: (job, currentJob) =>
    job === currentJob &&
    (job.outcome === null || job.outcome === faultyJobOutcome ||
      job.record?.mayExist === true),
};
