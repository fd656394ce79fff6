/**
 * Types shared by the modules of the engine: state, events and effects.
 *
 * A run is one execution of a task on a worker; the runs of a task are numbered.
 * An incarnation is one process of an instance or a worker, identified by its
 * start time. The entry of a job is an instance at which its callers wait.
 * `cells.ts` explains cells, `leadership.ts` terms and fencing tokens, and
 * `queue_demand.ts` floods and surplus jobs.
 *
 * Times named `...AtMs` are read from this instance's monotonic clock, unless
 * their comments say otherwise.
 */

import type {
  CallerTimes,
  OverloadState,
  RefusalCount,
} from "./overload/types.ts";
import type { RunEstimate } from "./run_estimate.ts";
import type { EvacuationState } from "./zones/evacuation_state.ts";
import type {
  Configuration,
  ConfigurationChange,
  FinishedRow,
  InstanceInfo,
  JobOutcome,
  JobQuery,
  JobRecord,
  JobSpec,
  PeerMessage,
  PeerMessageOf,
  PreviousListReport,
  QueueRule,
  Reply,
  Step as JobStep,
  WorkerInfo,
} from "./schemas.ts";
import type {
  HeldJob,
  JobClaim,
  JobClaims,
  RoomByService,
  UsualRate,
  ZoneSharing,
} from "./zones/zone_types.ts";

export type {
  FinishedRow,
  JobOutcome,
  RefusalReason,
  RunOutcome,
} from "./schemas.ts";

/** The answer to a caller that submitted a job. */
export type CallerReply =
  | JobOutcome
  /** The job's record is persisted, so the job will run. */
  | { readonly kind: "accepted" };

/** One row of a worker's list of running runs. */
export interface RunningRow {
  readonly taskName: string;
  /** Number of the run. */
  readonly run: number;
  /** Progress of the run. */
  readonly percent: number;
}

/**
 * Outcome of a poll, the call that reads a worker's lists of runs and may renew
 * its lease. On the wire the call is named `hold`.
 */
export type PollOutcome =
  /** The worker accepted the poll. */
  | {
    readonly kind: "held";
    /** Clock of the worker at its answer. */
    readonly clockMs: number;
    /** Start time that identifies the worker's incarnation; null if unknown. */
    readonly bornMs: number | null;
    readonly running: readonly RunningRow[];
    /** Completions that were not acknowledged. */
    readonly finished: readonly FinishedRow[];
  }
  /** The worker has seen a higher fencing token. */
  | { readonly kind: "fenced" }
  /** Another incarnation of the worker answered at the address. */
  | { readonly kind: "replaced" }
  /** The worker reports that it can't run tasks. */
  | { readonly kind: "unhealthy" }
  /**
   * The connection was refused: no process listens at the worker's address, or
   * a network partition refuses connections.
   */
  | { readonly kind: "notListening" }
  | { readonly kind: "unreachable"; readonly detail: string };

/** Outcome of a call that starts a task. */
export type StartOutcome =
  | {
    readonly kind: "started";
    /** Clock of the worker at its answer; null if the answer lacks it. */
    readonly clockMs: number | null;
  }
  | {
    readonly kind: "refused";
    /**
     * `fenced`: the worker has seen a higher fencing token. `oldRun`: it has seen
     * an equal or higher run number of the task. `late`: the lease in the call
     * had expired. `room`: too little capacity. `replaced`: another incarnation
     * of the worker answered.
     */
    readonly reason: "fenced" | "oldRun" | "late" | "room" | "replaced";
  }
  | { readonly kind: "unhealthy" }
  /** The connection was refused, so the worker can't have received the call. */
  | { readonly kind: "notSent"; readonly detail: string }
  /** It is not known whether the worker received the call. */
  | { readonly kind: "unknown"; readonly detail: string };

/** Outcome of a call that stops a run. */
export type StopOutcome =
  | { readonly kind: "stopped" }
  | { readonly kind: "fenced" }
  /** It is not known whether the worker received the call. */
  | { readonly kind: "unknown"; readonly detail: string };

/** A job's record with the version of its row in the store. */
export interface StoredRecord {
  readonly record: JobRecord;
  readonly version: number;
}

/** Outcome of taking over the records of all jobs. */
export type OpenOutcome =
  | { readonly kind: "opened"; readonly records: readonly StoredRecord[] }
  /** Another leader owns the records, under a term that is not lower. */
  | { readonly kind: "outranked"; readonly term: number }
  | { readonly kind: "unavailable"; readonly detail: string };

/** The owner of the records, as the store has it. */
export interface RecordsHolder {
  /** Version of the row; the owner writes it while it confirms its ownership. */
  readonly version: number;
  readonly instanceId: string;
  /** The owner's zone; null if the owner is of a release that didn't store it. */
  readonly availabilityZone: string | null;
}

/** Outcome of reading which instance owns the records. */
export type HolderOutcome =
  /** `holder` is null if no instance has owned the records yet. */
  | { readonly kind: "read"; readonly holder: RecordsHolder | null }
  | { readonly kind: "unavailable"; readonly detail: string };

/**
 * Whether the store has records: `none` if it has had none up to a time after
 * the call.
 */
export type RecordsCheck =
  | { readonly kind: "none" }
  | { readonly kind: "mayExist" }
  | { readonly kind: "unavailable"; readonly detail: string };

/** Outcome of writing records in one transaction. */
export type WriteOutcome =
  | { readonly kind: "written"; readonly version: number }
  /**
   * Nothing was written, since some rows had unexpected versions. `records` has
   * the present rows of the batch, as far as they exist.
   */
  | { readonly kind: "changed"; readonly records: readonly StoredRecord[] }
  /**
   * Another leader has taken over the records; its zone is null if it is of a
   * release that didn't store it.
   */
  | { readonly kind: "outranked"; readonly availabilityZone: string | null }
  /**
   * The store refuses the batch as it is, and would refuse it again; nothing was
   * written.
   */
  | { readonly kind: "invalid"; readonly detail: string }
  /** The store did not answer; the write may still take effect. */
  | { readonly kind: "unknown"; readonly detail: string };

/** One row of a write of records. */
export interface RecordWrite {
  readonly jobId: string;
  /** Version that the row must have; 0 if no row may exist. */
  readonly expectedVersion: number;
  /** New content of the row; null if the row is to be removed. */
  readonly record: JobRecord | null;
}

/**
 * An input of the engine. `nowMs` is read from a monotonic clock, `wallMs` from
 * the wall clock.
 */
export type EngineEvent =
  & { readonly nowMs: number }
  & (
    | { readonly type: "tick"; readonly wallMs: number }
    | {
      readonly type: "callerSubmit";
      readonly requestId: string;
      readonly jobId: string;
      readonly queue: QueueRule;
      readonly job: JobSpec;
      /** Time for which the caller waits for the answer. */
      readonly timeoutMs: number;
      readonly answerAt: AnswerAt;
    }
    /** The connection of a caller closed before its request was answered. */
    | {
      readonly type: "callerGone";
      readonly requestId: string;
      readonly jobId: string;
    }
    | {
      readonly type: "callerQuery";
      readonly requestId: string;
      readonly query: JobQuery;
    }
    | {
      readonly type: "recordsOpened";
      readonly term: number;
      readonly outcome: OpenOutcome;
    }
    /** The leader owns the records, which it reads now. */
    | { readonly type: "recordsClaimed"; readonly term: number }
    | {
      readonly type: "holderRead";
      readonly term: number;
      readonly outcome: HolderOutcome;
    }
    /** The store was asked whether records exist. */
    | {
      readonly type: "recordsChecked";
      readonly term: number;
      /** Time at which the call was sent. */
      readonly sentAtMs: number;
      readonly outcome: RecordsCheck;
    }
    /** The time to continue the takeover of the records, see `continueOpening`. */
    | { readonly type: "openingContinued"; readonly term: number }
    | {
      readonly type: "recordsWritten";
      readonly writeId: number;
      readonly outcome: WriteOutcome;
    }
    /** An operator's change was accepted here. */
    | {
      readonly type: "configurationRead";
      readonly configuration: Configuration;
    }
    | {
      readonly type: "configurationAnswered";
      readonly callId: number;
      readonly outcome: ConfigurationOutcome;
    }
    | { readonly type: "workersRead"; readonly workers: WorkerInfo[] }
    /** Reading the list of workers from the store failed. */
    | { readonly type: "workersUnreadable" }
    /** The evacuated zones were read from the store. */
    | {
      readonly type: "evacuationsRead";
      readonly zones: readonly string[];
      /** Time of the request, as in the effect. */
      readonly requestedAtMs: number;
    }
    /** Reading the evacuated zones from the store failed. */
    | {
      readonly type: "evacuationsUnreadable";
      readonly requestedAtMs: number;
      readonly detail: string;
    }
    | { readonly type: "instancesRead"; readonly instances: InstanceInfo[] }
    /** Lists that leaders have registered in the store, some or all of them. */
    | {
      readonly type: "registeredListsRead";
      readonly lists: readonly RegisteredList[];
    }
    | { readonly type: "peerUp"; readonly instanceId: string }
    /** A connection to a peer closed or could not be opened. */
    | {
      readonly type: "peerDown";
      readonly instanceId: string;
      /**
       * The peer's host refused the connection, so its process has probably
       * ended; some network partitions refuse connections, too.
       */
      readonly refused: boolean;
    }
    | {
      readonly type: "peerMessage";
      readonly from: string;
      readonly message: PeerMessage;
    }
    | {
      readonly type: "pollCompleted";
      readonly workerId: string;
      readonly callId: number;
      readonly outcome: PollOutcome;
    }
    | {
      readonly type: "startCompleted";
      readonly workerId: string;
      readonly taskName: string;
      readonly run: number;
      readonly fence: number;
      readonly outcome: StartOutcome;
    }
    | {
      readonly type: "stopCompleted";
      readonly workerId: string;
      readonly taskName: string;
      readonly run: number;
      readonly outcome: StopOutcome;
    }
    /** The process was paused; the events that follow may be late by `pausedMs`. */
    | { readonly type: "processPaused"; readonly pausedMs: number }
    /**
     * The process's own work blocked the event loop; the events that follow may
     * be late by `busyMs`.
     */
    | { readonly type: "processBusy"; readonly busyMs: number }
    | { readonly type: "drainRequested" }
  );

/** The point at which a submission is answered; see the `submit` message. */
export type AnswerAt = PeerMessageOf<"submit">["answerAt"];

/** The variant of {@linkcode EngineEvent} with the given type. */
export type EngineEventOf<T extends EngineEvent["type"]> = Extract<
  EngineEvent,
  { type: T }
>;

/** An action that the engine requests from the instance that runs it. */
export type Effect =
  | {
    readonly type: "answerCaller";
    readonly requestId: string;
    readonly jobId: string;
    readonly reply: CallerReply;
  }
  | {
    readonly type: "answerQuery";
    readonly requestId: string;
    readonly reply: Reply;
  }
  /**
   * Takes over the records of all jobs under a leader's term and reads them.
   */
  | {
    readonly type: "openRecords";
    readonly term: number;
    /**
     * Version of the holder row by which the owner counts as lost: the takeover
     * fails if the row has changed since. Null if the version doesn't matter.
     */
    readonly abandonedVersion: number | null;
  }
  /** Reads which instance owns the records, for the leader with the term. */
  | { readonly type: "readHolder"; readonly term: number }
  /** Asks the store whether records exist, for the leader with the term. */
  | {
    readonly type: "checkRecords";
    readonly term: number;
    readonly sentAtMs: number;
  }
  /**
   * Requests an `openingContinued` event after other events that have arrived:
   * the takeover of many records is divided, so that no event takes long.
   */
  | { readonly type: "continueOpening"; readonly term: number }
  | {
    readonly type: "writeRecords";
    readonly writeId: number;
    /** Part of the records table with the rows; a transaction covers one part. */
    readonly part: number;
    readonly rows: readonly RecordWrite[];
  }
  | {
    readonly type: "sendPeer";
    readonly instanceId: string;
    readonly message: PeerMessage;
  }
  /** Reads the evacuated zones from the store. */
  | { readonly type: "readEvacuations"; readonly requestedAtMs: number }
  /** Polls a worker: reads its lists of runs and may renew its lease. */
  | {
    readonly type: "hold";
    readonly workerId: string;
    readonly address: string;
    readonly callId: number;
    readonly fence: number;
    /**
     * Acknowledges the completions up to this sequence number; the worker may
     * discard them.
     */
    readonly lastSeenEnd: number;
    /** End of the renewed lease on the worker's clock; null to not renew it. */
    readonly leaseEndsMs: number | null;
    /**
     * Maximum time for which the worker delays its answer until a run completes.
     */
    readonly waitMs: number;
  }
  | {
    readonly type: "startTask";
    readonly workerId: string;
    readonly address: string;
    readonly taskName: string;
    readonly run: number;
    /** Input of the task. */
    readonly spec: string;
    readonly fence: number;
    /** End of the lease that the start grants, on the worker's clock. */
    readonly leaseEndsMs: number;
  }
  | {
    readonly type: "stopTask";
    readonly workerId: string;
    readonly address: string;
    readonly taskName: string;
    readonly run: number;
    readonly fence: number;
  }
  | {
    readonly type: "log";
    readonly level: "info" | "warn" | "error";
    readonly part: string;
    readonly text: string;
    readonly fields: Readonly<Record<string, unknown>>;
  }
  /** A peer was added or removed, or its address has changed. */
  | { readonly type: "peersChanged" }
  /** Asks the store for the configuration, as {@linkcode ConfigurationCall}. */
  | {
    readonly type: "callConfiguration";
    readonly callId: number;
    readonly call: ConfigurationCall;
    /** Version of the latest row that is known here; 0 if none is. */
    readonly rowVersion: number;
  };

/** This instance's view of one peer. */
export interface Peer {
  info: InstanceInfo;
  /**
   * Time of the latest message; 0 before the first one. A pause of this process
   * moves it forward, so as not to count as time without messages.
   */
  lastHeardAtMs: number;
  /** Time of the latest message, whether this process was paused or not. */
  lastMessageAtMs: number;
  /**
   * Time of the last message before the latest loss of the peer, which is a
   * closed connection or a long time without messages; 0 if it was never lost.
   */
  heardBeforeLossAtMs: number;
  /**
   * Unix milliseconds of the peer's start, which identify its incarnation; null
   * before its first hello or heartbeat.
   */
  startedAtMs: number | null;
  /** The same of its previous incarnations. */
  readonly endedStartsAtMs: Set<number>;
  /** The peer's monotonic clock in its latest heartbeat. */
  lastSentAtMs: number;
  /** Time at which the latest heartbeat arrived; 0 before the first one. */
  heartbeatAtMs: number;
  /**
   * Time of the first message after the latest silence that lasted for as long as
   * an entry waits for its leader; 0 before the first message.
   */
  heardAgainAtMs: number;
  /** The peer may have submitted the jobs it had here to another leader. */
  mayHaveLeft: boolean;
  connected: boolean;
  /**
   * Time of the latest refused connection; 0 if none was refused since the
   * latest successful one.
   */
  refusedAtMs: number;
  /** The peer has refused a connection of this instance at any time. */
  hasRefused: boolean;
  draining: boolean;
  isLeader: boolean;
  /** Id of the leader that the peer follows or is; null if there is none. */
  leaderId: string | null;
  /** The peer is a leader not confirmed by a majority of instances. */
  provisional: boolean;
  /** Term of the leader that the peer follows or is; 0 if there is none. */
  term: number;
  /** Whether each zone has its own leader, by the peer's list of workers. */
  hasZoneCells: boolean;
  /** The peer is the leader and owns the records of all jobs. */
  holdsRecords: boolean;
  /** Expected queueing delay by service; empty unless the peer is a leader. */
  waitMsByService: Readonly<Record<string, number>>;
  /**
   * Free capacity by service, as the peer's latest heartbeat reports it; null if
   * it has no valid report.
   */
  roomByService: RoomByService | null;
  /** The peer is the leader of a zone and tells which jobs it has. */
  announcesClaims: boolean;
  /** CPU that its reports usually show as in use, by service. */
  readonly usualUsed: Map<string, UsualRate>;
  /** Time of the latest log line of an ignored report; -Infinity before. */
  reportFaultLoggedAtMs: number;
  /** Age of the peer's list of workers at its latest heartbeat. */
  workersAgeMs: number;
  /** Digest of the workers of the peer's cell; null if it is not known. */
  listDigest: string | null;
  /** What the peer knows of the leader that it followed before `term`. */
  previousList: PreviousListReport;
  /** Version of the peer's configuration; -1 if none is known. */
  configurationVersion: number;
  nextHeartbeatAtMs: number;
}

/** The jobs of a leader by id, with their estimated sizes. */
export interface JobTable extends Map<string, Job> {
  readonly totalBytes: number;
  /** Returns the size of the jobs that an entry submitted first. */
  readonly bytesOf: (entryId: string) => number;
}

/** Bounds on what callers may have in flight. */
export interface LoadLimits {
  /** Bound on the estimated size of the jobs that a leader holds. */
  readonly maxJobBytesAtLeader: number;
  /** Queries that wait at their entry for a leader's reply. */
  readonly maxQueries: number;
}

/** A job whose callers wait at this instance, its entry. */
export interface CallerJob {
  readonly jobId: string;
  /** Prefix of the job's submission ids; unique across instances. */
  readonly submissionPrefix: string;
  readonly queue: QueueRule;
  readonly job: JobSpec;
  readonly receivedAtMs: number;
  readonly deadlineAtMs: number;
  readonly requestIds: string[];
  /** Id of the leader that got the latest submission; null if none did. */
  submittedTo: string | null;
  /** Term of that leader; 0 if there was no submission. */
  submittedTerm: number;
  /** Number of submissions, repeated ones included. */
  submissionCount: number;
  /** A submission waits until the ends of callers' connections are handled. */
  isDeferred: boolean;
  /** A previous leader may have started tasks of the job. */
  mayHaveStarted: boolean;
  /** Names of the tasks that a previous leader reported as done. */
  doneTasks: readonly string[];
  answerAt: AnswerAt;
  /**
   * Zone of the cell that got the job after another one had handed it over or
   * refused it; null if there is none.
   */
  spilledToZone: string | null;
  /**
   * Zones whose leaders had the job before the present one and have not started
   * it, or could not be reached.
   */
  readonly triedZones: string[];
  /** Tasks may have started on workers that its present leader does not own. */
  leftCell: boolean;
  /** Whether each zone had its own leader at the latest submission. */
  submittedWithZoneCells: boolean;
  /** Time since which no leader for the job is known; 0 while one is. */
  leaderlessSinceMs: number;
}

/** A withdrawal of a job that this instance has sent to a leader. */
export interface Withdrawal {
  readonly jobId: string;
  readonly leaderId: string;
  readonly sentAtMs: number;
}

/** A cancellation that this instance could not answer yet. */
export interface UnansweredCancel {
  /** Time of the caller's first request. */
  readonly receivedAtMs: number;
  /** Time at which it is sent to the owner of the records again. */
  nextAtMs: number;
}

/** A caller's query that waits for the leader's reply. */
export interface PendingQuery {
  readonly requestId: string;
  readonly query: JobQuery;
  readonly receivedAtMs: number;
  /** No caller waits any more; it is a cancellation without an answer. */
  readonly isRepeated: boolean;
  /** Id of the leader that got the query last; null if it was not sent. */
  queriedLeaderId: string | null;
  /** Term of that leader; 0 if the query was not sent. */
  queriedTerm: number;
}

/**
 * The state of one task at the leader: `waiting` for preceding steps, `queued`
 * for a worker, `placed` on a worker, or `done`.
 */
export type TaskState = "waiting" | "queued" | "placed" | "done";

/** One task of a job at the leader. */
export interface Task {
  readonly name: string;
  readonly index: number;
  readonly stepIndex: number;
  readonly demand: JobStep;
  state: TaskState;
  /** Number of the latest run; 0 before the first one. */
  run: number;
  /**
   * A run may have started, here or under a previous leader. Reset if it turns
   * out that the latest run did not start.
   */
  mayHaveStarted: boolean;
  /** Number of failed runs. */
  failures: number;
  /**
   * Longest time without progress after which a run was stopped as hung; 0 if
   * none was.
   */
  stoppedAfterMs: number;
  /** Id of the worker that runs the task; null unless the task is placed. */
  workerId: string | null;
  /** Ids of the workers on which a run of the task failed, hung or crashed. */
  failedOn: ReadonlySet<string>;
  /** Number of workers that crashed while they had a run of the task. */
  crashes: number;
  /** Number of lost runs of which it is not known yet whether a crash did it. */
  unresolvedLosses: number;
  /** One of these workers ran nothing else. */
  crashedAlone: boolean;
  /** The task may be what crashes workers, so it runs only without others. */
  runsAlone: boolean;
  result: string | null;
}

/** A completion that its worker retains until the job's record includes it. */
export interface RetainedCompletion {
  /**
   * The `retainedSequences` of the worker when it reported the completion. A
   * restarted worker has a new set.
   */
  readonly retainedSequences: Set<number>;
  readonly sequence: number;
}

/** The state of a job's record in the store, and changes not yet written. */
export interface RecordState {
  /** Version of the row; 0 if there is none. */
  version: number;
  /** The store is known to have the record, so the job is persisted. */
  accepted: boolean;
  /** The outcome in the stored record; null if it has none. */
  storedOutcome: JobOutcome | null;
  /**
   * The store may have a row of the job, or get one at any time: the row was
   * read, or a write was sent.
   */
  mayExist: boolean;
  /** The row is to be removed. */
  removing: boolean;
  /** Retained completions that the next write includes. */
  pendingCompletions: RetainedCompletion[];
  /** Retained completions that the write in flight includes. */
  inFlightCompletions: RetainedCompletion[];
  /** Time at which a leader received the job, in Unix milliseconds. */
  readonly acceptedAtMs: number;
  /** Time at which the job ended, in Unix milliseconds; 0 if it has not. */
  endedAtMs: number;
  /** The record was read when this leader took over the records. */
  isRestored: boolean;
  /**
   * The store refused the row with the job's progress, so that only its outcome
   * is written.
   */
  isReduced: boolean;
  /** Number of tasks whose failures or losses the record had when last written. */
  troubledCount: number;
  /** Cancel requests that are answered once the outcome is persisted. */
  readonly cancelRequests: {
    readonly from: string;
    readonly questionId: string;
  }[];
}

/** A job at the leader. */
export interface Job {
  readonly jobId: string;
  /** The newest rule of its queue that is known here. */
  queue: QueueRule;
  readonly spec: JobSpec;
  readonly steps: readonly JobStep[];
  /**
   * Submission id by the id of each instance whose callers wait for the job.
   */
  readonly submissionIdByEntry: Map<string, string>;
  readonly receivedAtMs: number;
  /** Time at which the job ends if it is not done; Infinity for no deadline. */
  deadlineAtMs: number;
  /** Completion time up to which the job meets its latency objective. */
  readonly objectiveAtMs: number;
  /** Expected run time of the longest chain of dependent tasks. */
  readonly criticalPathMs: number;
  /** The same by the run times that the caller declared. */
  readonly declaredPathMs: number;
  /** It was admitted by `declaredPathMs`, though the estimate would refuse it. */
  doubtsEstimate: boolean;
  readonly tasks: Task[];
  /** Index of the first task of each step. */
  readonly firstTaskIndexes: readonly number[];
  /** Number of tasks that are not done. */
  unfinished: number;
  /** Number of tasks of each step that are not done. */
  readonly unfinishedByStep: number[];
  /** Number of queued tasks. */
  queuedCount: number;
  /** Number of placed tasks. */
  placedCount: number;
  /** No queued task has a lower index. */
  firstQueuedIndex: number;
  /**
   * Tasks were, or may have been, sent to workers here or by another leader.
   */
  mayHaveStarted: boolean;
  /**
   * Time until which runs started by a previous leader may continue on workers
   * whose lists were not read; 0 or another time in the past if there can be no
   * such runs.
   */
  previousRunsExpireAtMs: number;
  /**
   * Time at which this leader last got the job as one that a previous leader
   * may have started, by a resubmission or from its record; -Infinity if it did
   * not. Workers' lists requested earlier may lack runs of a previous leader.
   */
  resumedAtMs: number;
  /** Runs of a previous leader may be on workers of another cell. */
  leftCell: boolean;
  /** The list of workers by which a previous leader started tasks of the job. */
  previousList: PreviousListReport;
  /** Its caller has waited before; see `returning_callers.ts`. */
  readonly isReturning: boolean;
  /** The objective passed while tasks were still queued. */
  isLate: boolean;
  /**
   * Tasks have started while others were queued, under a policy that finishes such
   * jobs first.
   */
  isPartlyStarted: boolean;
  /** The job is in its service's queue. */
  isWaiting: boolean;
  outcome: JobOutcome | null;
  endedAtMs: number;
  /** State of the job's record; null if the job is kept in memory only. */
  readonly record: RecordState | null;
  /** The job exceeded the usual demand of its queue during a flood. */
  readonly isSurplus: boolean;
  /**
   * Zones that had the job before; null if its entries can't take it to another
   * zone.
   */
  triedZones: readonly string[] | null;
}

/** A run that occupies capacity of a worker. */
export interface WorkerRun {
  readonly taskName: string;
  readonly run: number;
  /** The job that the run is attached to; null if there is none. */
  job: Job | null;
  task: Task | null;
  cpuMilli: number;
  memoryMb: number;
  accelerators: number;
  /**
   * The demand is unknown and counts as 0: the run was found on the worker and
   * could not be attached to a job.
   */
  sizeUnknown: boolean;
  state: "starting" | "running" | "stopping";
  /**
   * The fencing token that the start carried; null if the run was found on the
   * worker.
   */
  readonly startFence: number | null;
  /** Time at which the start was sent, or at which an untracked run was found. */
  readonly placedAtMs: number;
  /**
   * Time at which the worker acknowledged the start or the latest stop, or was
   * first seen to list the run; 0 while a start and Infinity while a stop is not
   * acknowledged.
   */
  ackedAtMs: number;
  /** Time of the latest call to stop the run; 0 if there was none. */
  stopSentAtMs: number;
  /** Null until the worker has acknowledged or listed the run. */
  progress: RunProgress | null;
  /** The run has the worker for itself, to show whether its task crashes it. */
  readonly isTrial: boolean;
  /** The run was among the latest to start when its worker crashed. */
  isSuspect: boolean;
  /** The new owner of the worker has reported that the run is gone. */
  isReportedGone: boolean;
}

/** A run that was lost with an unreachable worker, for an unknown reason. */
export interface LostRun {
  readonly workerId: string;
  readonly address: string;
  /** Start time of the worker's incarnation; null if it was not known. */
  readonly startedAtMs: number | null;
  readonly job: Job;
  readonly task: Task;
  readonly isTrial: boolean;
  readonly lostAtMs: number;
}

/** Progress of a run; all times are read from the clock of its worker. */
export interface RunProgress {
  /** Progress in the worker's first answer that contains the run. */
  readonly firstPercent: number;
  readonly firstAtMs: number;
  /** Progress in the worker's latest list of runs. */
  percent: number;
  /** Time of the list that first showed `percent`. */
  risenAtMs: number;
  /** Time of the latest list. */
  listedAtMs: number;
}

/**
 * Why a worker's lists are read under a new token: it is new in the list of
 * workers, restarted, moved to another address, assigned to this leader again,
 * or lost before; or a start on it was not answered, or was refused although it
 * should have been accepted.
 */
export type AcquisitionCause =
  | "listed"
  | "restarted"
  | "moved"
  | "reassigned"
  | "retry"
  | "startUnknown"
  | "startRefused";

/** Evidence that the process of a worker has ended. */
export interface WorkerCrash {
  readonly detectedAtMs: number;
  /** Whether it is certain; if not, connections to the worker are refused. */
  readonly confirmed: boolean;
  /** A trial was on the worker. */
  readonly endedTrial: boolean;
  /** The only queue of the suspected runs; null if there are several or none. */
  readonly queueName: string | null;
}

/** The capacity of a worker, and what of it is in use. */
export interface WorkerRoom {
  readonly info: Pick<WorkerInfo, "cpuMilli" | "memoryMb" | "accelerators">;
  readonly usedCpuMilli: number;
  readonly usedMemoryMb: number;
  readonly usedAccelerators: number;
}

/** The most of each resource that any worker of a service has, and all labels. */
export interface ServiceOffer {
  cpuMilli: number;
  memoryMb: number;
  accelerators: number;
  readonly labels: Set<string>;
}

/** A worker that this instance as the leader owns, is acquiring or has lost. */
export interface OwnedWorker {
  info: WorkerInfo;
  /**
   * `taking` while the worker is being acquired: no task may start before its
   * lists have been read, so that the runs on it are known. `lost` after a poll
   * failed, another instance acquired the worker, or it was assigned to
   * another partition side or cell.
   */
  phase: "taking" | "ready" | "lost";
  /** Why the worker was last acquired, or is being acquired. */
  acquisitionCause: AcquisitionCause;
  /**
   * The worker left the list of workers, or was assigned to another partition
   * side or cell. It is kept here until it has no runs.
   */
  released: boolean;
  /** The fencing token that calls to the worker contain. */
  fence: number;
  /**
   * Start time reported by the worker, which identifies its incarnation; null
   * if it is not known.
   */
  startedAtMs: number | null;
  /** The worker's clock minus this instance's clock at `clockReadAtMs`. */
  clockOffsetMs: number;
  /**
   * Time at which an answer last told the worker's clock; -Infinity before the
   * first one.
   */
  clockReadAtMs: number;
  /** Sequence number of the latest completion that was processed. */
  processedSequence: number;
  /**
   * Sequence numbers of processed completions that the worker must not discard:
   * they may not have been recorded, or a previous owner of the records may
   * still rely on them.
   */
  retainedSequences: Set<number>;
  /**
   * Completions of unknown jobs that may have records: records which this leader
   * has not read, or which another leader owns.
   */
  orphanCompletions: FinishedRow[];
  /** Time at which the latest of these completions was read. */
  orphansReadAtMs: number;
  /**
   * Another leader owns the worker, or will: it was acquired by another instance
   * or assigned to another partition side or cell.
   */
  hasNewOwner: boolean;
  /** Time at which this leader found another owner; 0 while it knows of none. */
  newOwnerFoundAtMs: number;
  /** The worker has rejected this leader's token since it was last acquired. */
  wasFenced: boolean;
  /** Time of the next report or inquiry that concerns the worker, if any. */
  nextReportAtMs: number;
  /** Highest sequence number acknowledged to the worker. */
  acknowledgedSequence: number;
  /**
   * Call id of the latest poll, the only one whose outcome is accepted; 0 to
   * accept none.
   */
  pollCallId: number;
  pollSentAtMs: number;
  /**
   * Time at which the latest successful poll was sent; its lists may lack runs
   * that started later. -Infinity before the first successful poll.
   */
  listsReadAtMs: number;
  /** Number of consecutive failed polls. */
  pollFailures: number;
  /** Time at which the next poll is due; Infinity if none is scheduled. */
  nextPollAtMs: number;
  /**
   * Time by which every lease has expired that starts and polls of this leader
   * have granted or, after the worker was relinquished, those of its new owner.
   */
  leaseExpiresAtMs: number;
  /**
   * End of the cool-down after the worker was acquired, before which no task
   * starts: runs stopped by a previous owner may still occupy capacity. 0 while
   * no cool-down is set.
   */
  usableFromMs: number;
  readonly runs: Map<string, WorkerRun>;
  usedCpuMilli: number;
  usedMemoryMb: number;
  usedAccelerators: number;
  /**
   * Number of runs of unknown size. While there are any, no task starts on the
   * worker, and its lease is not renewed.
   */
  unsizedRunCount: number;
  /**
   * Number of failed runs since the latest successful one; hung runs count more
   * than once.
   */
  consecutiveFailures: number;
  /** Ids of the jobs of these runs. */
  readonly failedJobIds: Set<string>;
  /**
   * Time until which no task starts; 0 if the worker has not been suspended
   * since its latest successful run.
   */
  suspendedUntilMs: number;
  /** Moving average of actual over expected run time. */
  slowness: number;
  /** Number of trials among its runs. While there is one, no task starts. */
  trialCount: number;
  /** Evidence that the worker's process has ended; null if there is none. */
  crash: WorkerCrash | null;
  /** Time until which no task but a trial starts; in the past if there is none. */
  reservedUntilMs: number;
  /** Time at which a lost worker is acquired again; Infinity if it is not. */
  retryAtMs: number;
}

/** The state of an instance while it is the leader. */
export interface Scheduler {
  readonly term: number;
  readonly startedAtMs: number;
  /**
   * Not confirmed by a majority of instances; a confirmed leader outranks it.
   */
  provisional: boolean;
  /** Latest time at which no majority of instances was heard. */
  lastMinorityAtMs: number;
  readonly jobs: JobTable;
  /** Jobs with queued tasks, by service, in the order in which they are served. */
  readonly waiting: Map<string, Job[]>;
  readonly workers: Map<string, OwnedWorker>;
  /** Ended jobs without a written record, oldest first. */
  readonly endedJobs: Job[];
  /** Lost runs of recorded jobs, the earliest loss first. */
  lostRuns: LostRun[];
  /** Keys of the starts without an outcome. */
  readonly startsInFlight: Set<string>;
  /** What the workers of each service offer at most; see `task_fit.ts`. */
  offers: ReadonlyMap<string, ServiceOffer>;
  /** Times of the recent crashes that each queue is blamed for. */
  readonly queueCrashesAtMs: Map<string, number[]>;
  records: RecordStoreState;
  readonly loans: WorkerLoans;
  /** Completions that other leaders reported, by worker and incarnation. */
  readonly reportedCompletions: Map<string, ReportedCompletions>;
  /**
   * Time of the latest extra poll of all workers for jobs that a previous leader
   * may have started.
   */
  rereadAtMs: number;
  /** An extra poll of all workers is to be sent. */
  rereadWanted: boolean;
  /** Expected queueing delay by service, as sent to peers. */
  readonly waitMsByService: Map<string, number>;
  readonly overload: OverloadState;
  readonly callerTimes: CallerTimes;
  readonly sharing: ZoneSharing;
  readonly claims: JobClaims;
  /** Demand statistics by queue. */
  readonly queueDemands: Map<string, QueueDemand>;
  demandsSampledAtMs: number;
}

/** A worker that left the list of workers. */
export interface VanishedWorker {
  readonly availabilityZone: string;
  readonly leftAtMs: number;
}

/** The list by which the leader of a cell starts tasks, as the store has it. */
export interface RegisteredList {
  /** The zone of the cell, or `all` if all zones are one. */
  readonly cell: string;
  /** Version of the row; 0 if there is none. */
  readonly version: number;
  /** Term of the leader that registered the list. */
  readonly term: number;
  /** Null if leases granted by another list may last. */
  readonly digest: string | null;
}

/** The list of workers of the leader that an instance follows or is. */
export interface LeaderList {
  /** The leader's term. */
  readonly term: number;
  /** Digest of the workers of the leader's cell; null if it is not known. */
  readonly digest: string | null;
  /**
   * Time at which it last changed; -Infinity if it has not in this term. The
   * leader itself does not count a change by which its list only grew.
   */
  readonly changedAtMs: number;
}

/** The list of workers of the leader that an instance followed last. */
export interface PreviousList {
  /** The leader's term. */
  readonly term: number;
  /**
   * Null if it is not known, or if leases granted by another list may have
   * lasted when the leader was left.
   */
  readonly digest: string | null;
  readonly leftAtMs: number;
}

/** Completions on a worker of another leader, which retains them. */
export interface ReportedCompletions {
  readonly workerId: string;
  /** Start time of the worker's incarnation; null if it is not known. */
  readonly startedAtMs: number | null;
  /** The leader that reported them last. */
  reporterId: string;
  reportedAtMs: number;
  readonly processedSequences: Set<number>;
  readonly unconfirmedSequences: Set<number>;
  /** Sequence numbers of completions that the records don't include yet. */
  readonly retainedSequences: Set<number>;
}

/** A worker of another zone that this leader has borrowed. */
export interface BorrowedWorker {
  readonly availabilityZone: string;
  /** The highest token of its lender; this leader uses higher ones. */
  readonly lenderFence: number;
  /** Latest time at which the worker was new or had a run. */
  usedAtMs: number;
}

/** What a borrower knows of a leader of another zone. */
export interface LenderState {
  readonly leaderId: string;
  readonly term: number;
  /** The latest loan of this lender in this term; 0 before the first one. */
  seenLoanId: number;
  /** The lender has answered in this term, so it knows of all loans. */
  hasAnswered: boolean;
  /** Tokens of the returned workers, by id, until the lender confirms. */
  readonly returned: Map<string, number>;
}

/** A worker that this leader has lent to the leader of another zone. */
export interface LentWorker {
  readonly loanId: number;
  readonly borrowerId: string;
  /** The highest token that this leader had used. */
  readonly fence: number;
  /** Time of the borrower's latest message about its loans. */
  renewedAtMs: number;
}

/** The loans of a leader, in both directions; workers by id, lenders by zone. */
export interface WorkerLoans {
  readonly borrowed: Map<string, BorrowedWorker>;
  readonly lenders: Map<string, LenderState>;
  /** Time since which each zone with workers has had no instance. */
  readonly unledZoneSinceMs: Map<string, number>;
  nextRequestAtMs: number;
  readonly lent: Map<string, LentWorker>;
  lastLoanId: number;
  /** Tokens that workers may have seen from their borrowers. */
  readonly fenceFloors: Map<string, number>;
}

/** Demand statistics of one queue. */
export interface QueueDemand {
  /** Jobs that arrived since the last sample. */
  arrivals: number;
  /** Short-term average of arrivals per sample. */
  recentArrivals: number;
  /** Long-term average of arrivals per sample. */
  usualArrivals: number;
  /** Long-term average of open tasks. */
  usualTasks: number;
  /**
   * Unfinished tasks at the last sample, and those of jobs that arrived since.
   */
  openTasks: number;
  samples: number;
}

/** What a leader without the records knows of their owner from the store. */
export interface HolderWatch {
  /** Earliest time of the next read; Infinity while one is in flight. */
  nextReadAtMs: number;
  /** Time at which the latest read was sent. */
  readSentAtMs: number;
  /** The row has changed since the first read: its owner is alive, or was. */
  hasChanged: boolean;
  /** Version of the row in the latest answer; null if none is known. */
  version: number | null;
  /** Time at which the first answer with this version arrived. */
  firstSeenAtMs: number;
  /** Time at which the latest read that found this version was sent. */
  lastSeenAtMs: number;
  /** The store has answered that no instance has owned the records yet. */
  isAbsent: boolean;
}

/** What a leader knows of the absence of records; see `records_absence.ts`. */
export interface RecordsAbsence {
  /** Time up to which the store has had no records; -Infinity if not known. */
  provedAtMs: number;
  /** Earliest time of the next call; Infinity while one is in flight. */
  nextCheckAtMs: number;
}

/** This leader's view of the job records in the store. */
export interface RecordStoreState {
  /**
   * The term under which this leader opens and owns the records; unique per
   * owner. It exceeds the leader's own term once the records were found in the
   * ownership of another leader, or were relinquished.
   */
  term: number;
  phase: "closed" | "opening" | "open";
  /** Earliest time of the next attempt to open or write records. */
  retryAtMs: number;
  /** Time since which the store has been unavailable; 0 while it answers. */
  unavailableSinceMs: number;
  readonly holderWatch: HolderWatch;
  readonly absence: RecordsAbsence;
  /** Another leader has taken the records over from this one. */
  wasReplaced: boolean;
  /**
   * The store has made this leader the owner, which may still read the records.
   */
  isOwner: boolean;
  /** Time at which this leader took over the records. */
  openedAtMs: number;
  /**
   * Version of the holder row by which this leader takes the records over from
   * an owner that has not confirmed; null if it succeeds the owner in its cell.
   */
  abandonedVersion: number | null;
  /**
   * Time after which the store can't have confirmed the ownership of the previous
   * owner, which may not know yet that it lost the records.
   */
  previousConfirmedAtMs: number;
  /** The records that were read but not all restored yet; null if there are none. */
  restoration: RecordRestoration | null;
  /** Restored jobs without an outcome that are to be resumed. */
  readonly resuming: Job[];
  /**
   * Recorded completions that workers still retain, because the previous owner
   * may not know yet that it lost the records.
   */
  readonly delayedCompletions: RetainedCompletion[];
  /**
   * Cancelled jobs with requests that are not answered yet, because the previous
   * owner may start their tasks.
   */
  readonly delayedReplies: Job[];
  /**
   * Time at which the latest call was sent of those with which the store confirmed
   * that this leader owns the records.
   */
  confirmedAtMs: number;
  /**
   * Time at which the latest write was sent that updated the row by which other
   * leaders see that the owner of the records is alive.
   */
  publishedAtMs: number;
  /**
   * Time since which ownership has to be confirmed; null while no recorded job
   * is active and no other leader is possible.
   */
  confirmWantedSinceMs: number | null;
  /** Jobs whose records must be written, by part of the records table. */
  readonly dirty: Map<number, Set<Job>>;
  /**
   * By part, batches into which one was divided that the store refused as a
   * whole. They are written before other jobs, which are dirty as well.
   */
  readonly divided: Map<number, (readonly Job[])[]>;
  /** The write in flight of each part. */
  readonly inFlightWrites: Map<number, RecordBatch>;
  /** Ended jobs whose records are retained for queries, oldest first. */
  readonly retainedJobs: Job[];
}

/** Progress of the restoration of jobs from the records that were read. */
export interface RecordRestoration {
  readonly records: readonly StoredRecord[];
  /**
   * The jobs of the first records, in their order; null for a record from which
   * no job can be created.
   */
  readonly jobs: (Job | null)[];
}

/** A write of records that is in flight. */
export interface RecordBatch {
  readonly writeId: number;
  readonly sentAtMs: number;
  readonly jobs: readonly Job[];
  /** The outcomes written, in the order of `jobs`; null for a job without one. */
  readonly outcomes: readonly (JobOutcome | null)[];
}

/** Counters for the metrics and the state dump, which use the same names. */
export interface Counters {
  jobsReceived: number;
  /** Jobs that a leader refused for lack of memory. */
  jobsOverMemory: number;
  /** Queries that an entry answered as unavailable since too many waited. */
  queriesOverLimit: number;
  jobsDone: number;
  jobsFailed: number;
  jobsRefused: number;
  jobsUnknown: number;
  jobsCancelled: number;
  jobsAccepted: number;
  /** Jobs that an internal error of the leader has ended. */
  jobFaults: number;
  recordWrites: number;
  callersGone: number;
  /** Jobs that this leader has handed to other zones. */
  jobsHandedOver: number;
  /** New jobs that this leader got from entries of other zones. */
  jobsFromOtherZones: number;
  /** Jobs submitted to another zone because the own zone had no leader. */
  jobsSentWithoutLeader: number;
  /** Hand-overs that an entry could not carry out. */
  handOversFailed: number;
  /** Claims of jobs sent to leaders of other zones, and those received. */
  jobClaimsSent: number;
  jobClaimsReceived: number;
  /** Jobs that this leader had while that of another zone claimed them. */
  jobsInTwoZones: number;
  /** Submissions whose entries were sent to the zone that has the job. */
  jobsFollowed: number;
  tasksStarted: number;
  tasksDone: number;
  tasksFailed: number;
  /** Runs whose leases expired. */
  tasksLapsed: number;
  /** Workers that crashed or were presumed to have crashed. */
  workersCrashed: number;
  /** Runs lost with these workers. */
  tasksCrashed: number;
  /** Tasks given up because workers crashed under them. */
  tasksGivenUp: number;
  tasksStopped: number;
  startsRefused: number;
  startsUnknown: number;
  /** Polls of workers, which are `hold` calls on the wire. */
  holds: number;
  takeovers: number;
  peerMessages: number;
  /** Whole configurations sent to peers. */
  configurationCopiesSent: number;
  configurationCopiesReceived: number;
  /** Messages with changes of the configuration. */
  configurationChangesSent: number;
  configurationChangesReceived: number;
  /** Calls of the store for the configuration, and those that failed. */
  configurationCalls: number;
  configurationCallsFailed: number;
  /** Reads of the evacuated zones from the store, and those that failed. */
  evacuationReads: number;
  evacuationReadsFailed: number;
}

/**
 * How the store is asked for the configuration: `read` its row, which may be out
 * of date; `await` a later change; or `compare` the version of its row with that
 * of the configuration in force, which is never out of date.
 */
export type ConfigurationCall = "read" | "await" | "compare";

/** The outcome of a {@linkcode ConfigurationCall}. */
export type ConfigurationOutcome =
  | { readonly kind: "found"; readonly configuration: Configuration }
  /** There is no row, or none of another version than the one compared with. */
  | { readonly kind: "unchanged" }
  /** The store can't tell which changes there were. */
  | { readonly kind: "historyLost" }
  /** The row can't be used. */
  | {
    readonly kind: "invalid";
    readonly rowVersion: number;
    readonly detail: string;
  }
  | { readonly kind: "failed"; readonly detail: string };

/** How this instance keeps its configuration up to date. */
export interface ConfigurationSync {
  /**
   * Latest time at which the configuration in force was known to be the newest
   * in the store; -Infinity if it has not been.
   */
  provenAtMs: number;
  /** Recent changes up to the version in force, oldest first. */
  changes: ConfigurationChange[];
  /** Messages that tell them, by the version that they begin with. */
  readonly changeMessages: Map<number, PeerMessageOf<"configurationChanges">>;
  /** The call of the store that has no outcome yet; null if there is none. */
  call: {
    readonly callId: number;
    readonly kind: ConfigurationCall;
    readonly startedAtMs: number;
  } | null;
  /** No call of the store before this time. */
  nextCallAtMs: number;
  /** The next call of the store compares the versions. */
  mustCompare: boolean;
  /** Failed calls of the store since the latest one that succeeded. */
  failures: number;
  /** Version of the newest row that could not be used; 0 if there is none. */
  invalidRowVersion: number;
  /** The unanswered request to a peer; null if there is none. */
  request: { readonly peerId: string; readonly sentAtMs: number } | null;
  /** The peer that was requested last, or this instance. */
  lastRequestedId: string;
  /** Time since which a live peer has had a newer version; 0 if none has. */
  behindSinceMs: number;
  /** Time at which a whole configuration was last sent to a peer. */
  copySentAtMs: number;
}

/** The queues of the configuration, beyond what its document says. */
export interface QueueRules {
  /** The queues of the configuration in effect, by name. */
  byName: ReadonlyMap<string, QueueRule>;
  /** Times at which queues were dropped that have not come back since. */
  readonly droppedAtMs: Map<string, number>;
  /** Rules of later versions than the one in effect, as told by entries. */
  readonly newer: Map<string, {
    readonly configurationVersion: number;
    readonly queue: QueueRule;
  }>;
  /** Time at which the first configuration took effect; Infinity before. */
  knownSinceMs: number;
}

/** The conditions that guarantee safety; `guards.ts` documents each of them. */
export interface Guards {
  readonly mayStartMore: (startsInFlight: number) => boolean;
  readonly fitsRow: (bytes: number) => boolean;
  readonly mayStartJob: (record: RecordState | null) => boolean;
  readonly mustRetainCompletion: (job: Job) => boolean;
  readonly mayComplete: (task: Pick<Task, "state">) => boolean;
  readonly mayAttachRun: (task: Pick<Task, "state">) => boolean;
  readonly mayRunAgain: (job: Job, kind: TaskCompletion["kind"]) => boolean;
  readonly hasRoom: (worker: WorkerRoom, task: Task) => boolean;
  readonly mayServe: (worker: OwnedWorker) => boolean;
  readonly mayUseZone: (nowMs: number, closesAtMs: number) => boolean;
  readonly mayTrustEvacuations: (
    nowMs: number,
    evacuation: Pick<
      EvacuationState,
      "knownAtMs" | "attemptedAtMs" | "trustMs"
    >,
  ) => boolean;
  readonly provenSentAtMs: (
    nowMs: number,
    heardAtMs: number | undefined,
  ) => number;
  readonly hasExpired: (nowMs: number, expiresAtMs: number) => boolean;
  readonly mayAcquire: (
    worker: Pick<OwnedWorker, "hasNewOwner" | "wasFenced">,
    cause: AcquisitionCause,
  ) => boolean;
  readonly mayRunElsewhere: (nowMs: number, expiresAtMs: number) => boolean;
  readonly mayRunInOtherZone: (claim: JobClaim | null) => boolean;
  readonly mustGiveWay: (own: HeldJob, other: HeldJob) => boolean;
  readonly mayMissClaims: (leadingMs: number) => boolean;
  readonly mayHaveUnlistedRuns: (listsSameWorkers: boolean) => boolean;
  readonly mustGiveUp: (
    task: Pick<Task, "crashes" | "crashedAlone">,
  ) => boolean;
  readonly mayRefuse: (job: Job) => boolean;
  readonly mayHandOver: (
    nowMs: number,
    job: Pick<Job, "record" | "mayHaveStarted" | "previousRunsExpireAtMs">,
  ) => boolean;
  readonly afterHandOver: (
    elsewhere: string,
    submission: {
      /** Undefined if its entry can't follow, or says that the job may have started. */
      triedZones: readonly string[] | undefined;
      /** Whether an entry may have the job that has not been refused elsewhere. */
      hasEntries: boolean;
      /** Whether one of these is another than the submitting one. */
      hasOtherEntries: boolean;
    },
  ) => "follow" | "unknown" | "start";
  readonly isNewer: (version: number, currentVersion: number) => boolean;
  readonly hasOwnRule: (
    ownVersion: number,
    submittedVersion: number,
  ) => boolean;
  readonly mustCompare: (proofAgeMs: number, maxAgeMs: number) => boolean;
  readonly mustFollowAnew: (term: number, followedTerm: number) => boolean;
  readonly mayBeNew: (
    submission: Pick<PeerMessageOf<"submit">, "resubmitted" | "term">,
    ownTerm: number,
  ) => boolean;
  readonly isOutcomeOf: (
    run: Pick<WorkerRun, "startFence">,
    fence: number,
  ) => boolean;
  readonly isNewIncarnation: (
    peer: Pick<Peer, "startedAtMs" | "endedStartsAtMs">,
    startedAtMs: number,
  ) => boolean;
  readonly mayForgetWithdrawal: (nowMs: number, sentAtMs: number) => boolean;
  readonly mayHaveLeft: (nowMs: number, heardAtMs: number) => boolean;
  readonly mayHaveTwoOwners: (
    nowMs: number,
    previousConfirmedAtMs: number,
  ) => boolean;
  readonly mayHaveDistantRival: (hasUnheardInstances: boolean) => boolean;
  readonly isAbandoned: (unconfirmedMs: number) => boolean;
  readonly mayHaveUnreadEnds: (
    nowMs: number,
    delayEndedAtMs: number,
  ) => boolean;
  readonly mayHaveRival: (
    view: {
      readonly seesQuorum: boolean;
      readonly hasMissingPeers: boolean;
    },
  ) => boolean;
  readonly fitsEvent: (taskCount: number) => boolean;
  readonly mayDiscardUnknown: (
    recordsExist: boolean,
    readAtMs: number,
    records: Pick<
      RecordStoreState,
      "phase" | "confirmedAtMs" | "absence"
    >,
  ) => boolean;
  readonly mayGrantLease: (
    nowMs: number,
    previousExpireAtMs: number,
  ) => boolean;
  readonly mayWriteRecord: (
    job: Pick<Job, "record" | "outcome">,
    currentJob: unknown,
  ) => boolean;
}

/** The whole state of one instance. */
export interface EngineState {
  readonly self: InstanceInfo;
  /** Duration of the leases on workers. */
  readonly leaseMs: number;
  /** Upper bound of the time that a worker takes to stop a run. */
  readonly stopMs: number;
  readonly startedAtMs: number;
  nowMs: number;
  wallMs: number;
  lastTickAtMs: number;
  /** End of the latest delay of this process; -Infinity if there was none. */
  delayEndedAtMs: number;
  configuration: Configuration | null;
  readonly configurationSync: ConfigurationSync;
  readonly queueRules: QueueRules;
  readonly peers: Map<string, Peer>;
  /** Id of the leader of this instance's cell; null if none is known. */
  leaderId: string | null;
  /** Term of the known leader; 0 if there is none. */
  leaderTerm: number;
  /** The known leader is not confirmed by a majority of instances. */
  leaderProvisional: boolean;
  /**
   * Time at which this instance last lost a leader, or else its start. While
   * `leaderId` is null, no leader has been known since.
   */
  leaderlessSinceMs: number;
  /**
   * Time since which only its rank delays this instance in becoming the leader;
   * 0 if this instance is not a candidate.
   */
  candidateSinceMs: number;
  maxTermSeen: number;
  draining: boolean;
  workers: Map<string, WorkerInfo>;
  /** Whether each availability zone has its own leader. */
  hasZoneCells: boolean;
  /** Digest of the ids and addresses of the workers of this instance's cell. */
  listDigest: string;
  /** These ids and addresses. */
  listedNames: ReadonlySet<string>;
  /** List of the leader that this instance follows or is; null without one. */
  leaderList: LeaderList | null;
  /** List of the leader followed before; null if there was none. */
  previousList: PreviousList | null;
  /**
   * Time since which this instance has had a leader, but for the time that an
   * election takes; Infinity before.
   */
  firstLedAtMs: number;
  /** Lists that leaders have registered in the store, as far as known, by cell. */
  readonly registeredLists: Map<string, RegisteredList>;
  /** Time at which some of them were last read or written. */
  registeredListsReadAtMs: number;
  /** Latest time at which each zone had a worker in the list. */
  readonly zoneListedAtMs: Map<string, number>;
  /**
   * Workers that left the list, by worker id; removed when the worker is listed
   * again or after a retention time.
   */
  readonly vanishedWorkers: Map<string, VanishedWorker>;
  /** The list of instances, or the seeds in its place, was read. */
  hasReadInstances: boolean;
  /**
   * Time at which the list of workers was read from the store, here or by the
   * peer that sent it; -Infinity before the first list.
   */
  workersReadAtMs: number;
  /**
   * Time of the first failed read of the list of workers since the latest list
   * arrived; 0 if none failed.
   */
  workersUnreadableSinceMs: number;
  /**
   * Time of the first list of workers after the latest outage; -Infinity if
   * there was none.
   */
  listRecoveredAtMs: number;
  /** What is known of evacuated zones; null if the settings have no bound. */
  readonly evacuation: EvacuationState | null;
  readonly callerJobs: Map<string, CallerJob>;
  /** The recent withdrawals, which may be lost with a connection; oldest first. */
  readonly withdrawals: Withdrawal[];
  readonly pendingQueries: Map<string, PendingQuery>;
  /**
   * Cancellations without an answer, by job; the owner of the records may not
   * have got them.
   */
  readonly unansweredCancels: Map<string, UnansweredCancel>;
  /** Zone of the latest leader known to own the records; null if unknown. */
  recordsZone: string | null;
  /** Job records may exist; false once a leader has found none. */
  recordsExist: boolean;
  /** Time at which each job ended a leader by an internal error, by job id. */
  readonly faultyJobs: Map<string, number>;
  readonly guards: Guards;
  readonly limits: LoadLimits;
  /** Run time estimates of tasks, by queue. */
  readonly runTimes: Map<string, RunEstimate>;
  /** The state of this instance as the leader; null if it is not the leader. */
  scheduler: Scheduler | null;
  /** Id of the latest poll; 0 before the first one. */
  lastCallId: number;
  /** Number of the latest job submitted here; part of its submission ids. */
  lastSubmissionNumber: number;
  /** Id of the latest write of records; 0 before the first one. */
  lastWriteId: number;
  /** Refusals by this instance as the leader, by reason and priority. */
  readonly refusals: Map<string, RefusalCount>;
  readonly counters: Counters;
}

/**
 * The completion of a task's run, or the finding that the run does not exist.
 */
export interface TaskCompletion {
  readonly job: Job;
  readonly task: Task;
  readonly workerId: string;
  /**
   * `crashed` if the run was lost because its worker crashed; `lost` if the run
   * no longer exists and its progress is unknown; `notStarted` if it is certain
   * that the run did not start. `crashFound` if a run that was reported as
   * `lost` before turns out to have been on a worker that crashed.
   */
  readonly kind:
    | "done"
    | "failed"
    | "crashed"
    | "crashFound"
    | "lost"
    | "notStarted";
  readonly result?: string | undefined;
  /** The lost run, if it was on a worker that crashed or may have crashed. */
  readonly lost?: Pick<WorkerRun, "isTrial" | "isSuspect"> | undefined;
}

/** What was done with a job when an error occurred. */
export type JobStage =
  | "create"
  | "submit"
  | "admit"
  | "place"
  | "complete"
  | "persist"
  | "restore"
  | "cancel"
  | "query"
  | "handOver";

/** An error while a job was handled, which ends the job. */
export interface JobFault {
  readonly job: Job;
  readonly stage: JobStage;
}

/** The state, with the effects collected while one event is reduced. */
export interface ReduceContext {
  readonly state: EngineState;
  readonly effects: Effect[];
  /** Task completions that have not been applied to their jobs. */
  readonly taskCompletions: TaskCompletion[];
  /** Faults of jobs that have not been ended yet. */
  readonly jobFaults: JobFault[];
  /** Messages of this instance to itself, handled while reducing this event. */
  readonly selfMessages: PeerMessage[];
}
