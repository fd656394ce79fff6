/** Types shared by the modules of the engine: state, events and effects. */

import type { RunEstimate } from "./run_estimate.ts";
import type {
  Configuration,
  InstanceInfo,
  JobOutcome,
  JobQuery,
  JobRecord,
  JobSpec,
  PeerMessage,
  PeerMessageOf,
  QueueRule,
  Reply,
  Step as JobStep,
  WorkerInfo,
} from "./schemas.ts";

export type { JobOutcome, RefusalReason } from "./schemas.ts";

/** The answer to a caller that submitted a job. */
export type CallerReply =
  | JobOutcome
  /** The job's record is persisted, so the job will run. */
  | { readonly kind: "accepted" };

/** The outcome of one run of a task, as reported by its worker. */
export type RunOutcome = "done" | "failed" | "stopped" | "lapsed" | "broken";

/** One entry in a worker's list of running runs. */
export interface RunningRow {
  readonly taskName: string;
  readonly run: number;
  readonly percent: number;
}

/** One entry in a worker's list of finished runs. */
export interface FinishedRow {
  /** Increases by one with each completion in one worker incarnation. */
  readonly sequence: number;
  readonly taskName: string;
  readonly run: number;
  readonly end: RunOutcome;
  /** The value that the task returned, if any. */
  readonly result?: string;
}

/**
 * Outcome of a poll, the call that renews a worker's lease and reads its lists
 * of runs. On the wire the call is named `hold`.
 */
export type PollOutcome =
  | {
    readonly kind: "held";
    readonly clockMs: number;
    readonly bornMs: number | null;
    readonly running: readonly RunningRow[];
    readonly finished: readonly FinishedRow[];
  }
  /** The worker has seen a higher fencing token. */
  | { readonly kind: "fenced" }
  /** Another incarnation of the worker answered at the address. */
  | { readonly kind: "replaced" }
  /** The worker reports that it can't run tasks. */
  | { readonly kind: "unhealthy" }
  | { readonly kind: "unreachable"; readonly detail: string };

/** Outcome of a call that starts a task. */
export type StartOutcome =
  | { readonly kind: "started"; readonly clockMs: number }
  | {
    readonly kind: "refused";
    readonly reason: "fenced" | "oldRun" | "late" | "room" | "replaced";
  }
  | { readonly kind: "unhealthy" }
  /** The connection was refused, so the worker can't have received the call. */
  | { readonly kind: "notSent"; readonly detail: string }
  | { readonly kind: "unknown"; readonly detail: string };

/** Outcome of a call that stops a run. */
export type StopOutcome =
  | { readonly kind: "stopped" }
  | { readonly kind: "fenced" }
  | { readonly kind: "unknown"; readonly detail: string };

/** A job's record with the version of its row in the store. */
export interface StoredRecord {
  readonly record: JobRecord;
  readonly version: number;
}

/** Outcome of taking over the records of all jobs. */
export type OpenOutcome =
  | { readonly kind: "opened"; readonly records: readonly StoredRecord[] }
  /** A leader with a higher term has taken over the records. */
  | { readonly kind: "outranked"; readonly term: number }
  | { readonly kind: "unavailable"; readonly detail: string };

/** Outcome of writing records in one transaction. */
export type WriteOutcome =
  | { readonly kind: "written"; readonly version: number }
  /** Some rows had unexpected versions; `records` holds their present state. */
  | { readonly kind: "changed"; readonly records: readonly StoredRecord[] }
  | { readonly kind: "outranked" }
  /** The store did not answer; the write may still take effect. */
  | { readonly kind: "unknown"; readonly detail: string };

/** One row of a write of records. */
export interface RecordWrite {
  readonly jobId: string;
  /** 0 if no row may exist. */
  readonly expectedVersion: number;
  /** Null removes the row. */
  readonly record: JobRecord | null;
}

/** An input of the engine. `nowMs` is monotonic, `wallMs` is not. */
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
    | { readonly type: "callerGone"; readonly requestId: string }
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
    | {
      readonly type: "recordsWritten";
      readonly writeId: number;
      readonly outcome: WriteOutcome;
    }
    | {
      readonly type: "configurationRead";
      readonly configuration: Configuration;
    }
    | { readonly type: "workersRead"; readonly workers: WorkerInfo[] }
    /** Reading the list of workers from the store failed. */
    | { readonly type: "workersUnreadable" }
    | { readonly type: "instancesRead"; readonly instances: InstanceInfo[] }
    | { readonly type: "peerUp"; readonly instanceId: string }
    | {
      readonly type: "peerDown";
      readonly instanceId: string;
      /** The peer's host refused the connection: the process is not running. */
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
    /** The process was paused; events that follow may be delayed by as much. */
    | { readonly type: "processPaused"; readonly pausedMs: number }
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
  | { readonly type: "openRecords"; readonly term: number }
  | {
    readonly type: "writeRecords";
    readonly writeId: number;
    /** Partition of the records table; a transaction covers one part. */
    readonly part: number;
    readonly rows: readonly RecordWrite[];
  }
  | {
    readonly type: "sendPeer";
    readonly instanceId: string;
    readonly message: PeerMessage;
  }
  /** Polls a worker: renews its lease and reads its lists of runs. */
  | {
    readonly type: "hold";
    readonly workerId: string;
    readonly address: string;
    readonly callId: number;
    readonly fence: number;
    /**
     * Acknowledges completions up to this number; the worker may discard them.
     */
    readonly lastSeenEnd: number;
    /** On the worker's clock; null if no lease is renewed. */
    readonly leaseEndsMs: number | null;
    readonly waitMs: number;
  }
  | {
    readonly type: "startTask";
    readonly workerId: string;
    readonly address: string;
    readonly taskName: string;
    readonly run: number;
    readonly spec: string;
    readonly fence: number;
    /** On the worker's clock. */
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
  | { readonly type: "peersChanged" };

/** This instance's view of one peer. */
export interface Peer {
  info: InstanceInfo;
  lastHeardAtMs: number;
  /**
   * Time of the last message before the latest loss; 0 if it was never lost.
   */
  heardBeforeLossAtMs: number;
  /**
   * Unix milliseconds of the peer's start, which identify its incarnation; null
   * before its first message.
   */
  startedAtMs: number | null;
  /** The peer's monotonic clock in its latest heartbeat. */
  lastSentAtMs: number;
  connected: boolean;
  /** Time of the latest refused connection; 0 since the last successful one. */
  refusedAtMs: number;
  draining: boolean;
  isLeader: boolean;
  /** The leader that the peer follows. */
  leaderId: string | null;
  provisional: boolean;
  term: number;
  hasZoneCells: boolean;
  holdsRecords: boolean;
  /** Expected queueing delay by service, if the peer is a leader. */
  waitMsByService: Readonly<Record<string, number>>;
  /** Age of the peer's list of workers. */
  workersAgeMs: number;
  configurationVersion: number;
  nextHeartbeatAtMs: number;
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
  /** The leader that received the latest submission; null if none did. */
  submittedTo: string | null;
  /** Term of that leader; 0 if there was no submission. */
  submittedTerm: number;
  /** Number of submissions to leaders or to new terms of a leader. */
  submissionCount: number;
  /** A previous leader may have started tasks of the job. */
  mayHaveStarted: boolean;
  /** Names of the tasks that a previous leader reported as done. */
  doneTasks: readonly string[];
  answerAt: AnswerAt;
  /**
   * Zone of the cell that got the job after this instance's cell refused it.
   */
  spilledToZone: string | null;
  /** Tasks may have started on workers that its present leader does not own. */
  leftCell: boolean;
  /** Whether each zone had its own leader at the latest submission. */
  submittedWithZoneCells: boolean;
  /** Time since which no leader for the job is known; 0 while one is. */
  leaderlessSinceMs: number;
}

/** A caller's query that waits for the leader's reply. */
export interface PendingQuery {
  readonly requestId: string;
  readonly query: JobQuery;
  readonly receivedAtMs: number;
  /** The leader that the query was sent to last; null if it was not sent. */
  queriedLeaderId: string | null;
  /** Term of that leader; 0 if the query was not sent. */
  queriedTerm: number;
}

/** The state of one task at the leader. */
export type TaskState = "waiting" | "queued" | "placed" | "done";

/** One task of a job at the leader. */
export interface Task {
  readonly name: string;
  readonly index: number;
  readonly stepIndex: number;
  readonly demand: JobStep;
  state: TaskState;
  run: number;
  /** A run was requested, and it is not certain that the run never started. */
  mayHaveStarted: boolean;
  failures: number;
  /** The worker that runs the task, while it is placed. */
  workerId: string | null;
  /** Ids of the workers on which a run of the task failed. */
  readonly failedOn: Set<string>;
  result: string | null;
}

/** A completion that its worker retains until the job's record includes it. */
export interface RetainedCompletion {
  /** Retained completions of the worker's present incarnation, by sequence. */
  readonly retainedSequences: Set<number>;
  readonly sequence: number;
}

/** The state of a job's record in the store, and changes not yet written. */
export interface RecordState {
  /** Version of the row; 0 if there is none. */
  version: number;
  /** The first write was acknowledged, so the job is persisted. */
  accepted: boolean;
  /** The outcome in the stored record. */
  storedOutcome: JobOutcome | null;
  /** A write was sent and may take effect at any time. */
  writeSent: boolean;
  /** The row is to be removed. */
  removing: boolean;
  /** Retained completions that the next write includes. */
  pendingCompletions: RetainedCompletion[];
  /** Retained completions that the write in flight includes. */
  inFlightCompletions: RetainedCompletion[];
  readonly acceptedAtMs: number;
  endedAtMs: number;
  /** Cancel requests that are answered once the outcome is persisted. */
  readonly cancelRequests: {
    readonly from: string;
    readonly questionId: string;
  }[];
}

/** A job at the leader. */
export interface Job {
  readonly jobId: string;
  readonly queue: QueueRule;
  readonly spec: JobSpec;
  readonly steps: readonly JobStep[];
  /**
   * Submission id by the id of each instance whose callers wait for the job.
   */
  readonly submissionIdByEntry: Map<string, string>;
  readonly receivedAtMs: number;
  deadlineAtMs: number;
  /** Completion time up to which the job meets its latency objective. */
  readonly objectiveAtMs: number;
  /** Expected run time of the longest chain of dependent tasks. */
  readonly criticalPathMs: number;
  readonly tasks: Task[];
  unfinished: number;
  /**
   * Tasks were, or may have been, sent to workers here or by another leader.
   */
  mayHaveStarted: boolean;
  /**
   * Time until which runs started by a previous leader may continue on workers
   * whose lists were not read; 0 if no previous leader can have had the job.
   */
  previousRunsExpireAtMs: number;
  /**
   * Time of the latest resubmission to this leader; -Infinity if there is none.
   * Workers' lists requested earlier may lack runs of a previous leader.
   */
  submittedAtMs: number;
  /** Runs of a previous leader may be on workers of another cell. */
  leftCell: boolean;
  /** No entry of the job is heard from, so none of its tasks is started. */
  paused: boolean;
  /** The objective passed while tasks were still queued. */
  isLate: boolean;
  outcome: JobOutcome | null;
  endedAtMs: number;
  /** Null if the job is kept in memory only. */
  readonly record: RecordState | null;
  /** The job exceeded the usual demand of its queue during a flood. */
  readonly isSurplus: boolean;
}

/** A run that occupies capacity of a worker. */
export interface WorkerRun {
  readonly taskName: string;
  readonly run: number;
  /** Null if the run belongs to no job known here. */
  job: Job | null;
  task: Task | null;
  cpuMilli: number;
  memoryMb: number;
  accelerators: number;
  /** The demand is unknown, since the run belongs to no known job. */
  sizeUnknown: boolean;
  state: "starting" | "running" | "stopping";
  readonly placedAtMs: number;
  /** Time of the worker's answer to the start or stop. */
  ackedAtMs: number;
  stopSentAtMs: number;
  /** Progress in the worker's latest list of runs. */
  percent: number;
}

/** A worker that this instance owns or is acquiring as the leader. */
export interface OwnedWorker {
  info: WorkerInfo;
  /**
   * `taking` until the worker's lists have been read: no task may start before
   * the runs on the worker are known.
   */
  phase: "taking" | "ready" | "lost";
  /** Assigned to another partition side, or gone from the list of workers. */
  released: boolean;
  fence: number;
  startedAtMs: number | null;
  /** The worker's clock minus this instance's clock. */
  clockOffsetMs: number;
  /** Sequence number of the latest completion that was processed. */
  processedSequence: number;
  /** Processed completions that the worker must not discard, by sequence. */
  retainedSequences: Set<number>;
  /** Completions of jobs whose records have not been read. */
  orphanCompletions: FinishedRow[];
  /** Highest sequence number acknowledged to the worker. */
  acknowledgedSequence: number;
  pollCallId: number;
  pollSentAtMs: number;
  /** Time at which the latest answered poll was sent. */
  listsReadAtMs: number;
  pollFailures: number;
  nextPollAtMs: number;
  /** Time by which every lease granted by this instance has expired. */
  leaseExpiresAtMs: number;
  usableFromMs: number;
  readonly runs: Map<string, WorkerRun>;
  usedCpuMilli: number;
  usedMemoryMb: number;
  usedAccelerators: number;
  /** Number of runs of unknown size; while there are any, no task starts. */
  unsizedRunCount: number;
  consecutiveFailures: number;
  suspendedUntilMs: number;
  /** Moving average of actual over expected run time. */
  slowness: number;
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
  readonly jobs: Map<string, Job>;
  /** Jobs with queued tasks, by service. */
  readonly waiting: Map<string, Job[]>;
  readonly workers: Map<string, OwnedWorker>;
  readonly endedJobs: Job[];
  records: RecordStoreState;
  /** Time of the latest extra poll of all workers for resubmitted jobs. */
  rereadAtMs: number;
  rereadWanted: boolean;
  /** Expected queueing delay by service, as sent to peers. */
  readonly waitMsByService: Map<string, number>;
  /** Demand statistics by queue. */
  readonly queueDemands: Map<string, QueueDemand>;
  demandsSampledAtMs: number;
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
  /** Tasks that wait or run now. */
  openTasks: number;
  samples: number;
}

/** This leader's view of the job records in the store. */
export interface RecordStoreState {
  /** The term under which this leader owns the records; unique per owner. */
  term: number;
  phase: "closed" | "opening" | "open";
  /** Earliest time of the next attempt to open or write records. */
  retryAtMs: number;
  /** Time since which the store has been unavailable; 0 while it answers. */
  unavailableSinceMs: number;
  /** Time at which this leader took over the records. */
  openedAtMs: number;
  /**
   * Recorded completions that workers still retain, because the previous owner
   * may not know yet that it lost the records.
   */
  readonly delayedCompletions: RetainedCompletion[];
  /**
   * Time of the store's latest confirmation that this leader owns the records.
   */
  confirmedAtMs: number;
  /** Jobs whose records must be written, by part. */
  readonly dirty: Map<number, Set<Job>>;
  /** The write in flight of each part. */
  readonly inFlightWrites: Map<number, RecordBatch>;
  /** Ended jobs whose records are retained for queries, oldest first. */
  readonly retainedJobs: Job[];
}

/** A write of records that is in flight. */
export interface RecordBatch {
  readonly writeId: number;
  readonly jobs: readonly Job[];
  /** The outcomes that are written, in the order of `jobs`. */
  readonly outcomes: readonly (JobOutcome | null)[];
}

/** Counters for the metrics and the state dump, which use the same names. */
export interface Counters {
  jobsReceived: number;
  jobsDone: number;
  jobsFailed: number;
  jobsRefused: number;
  jobsUnknown: number;
  jobsCancelled: number;
  jobsAccepted: number;
  recordWrites: number;
  callersGone: number;
  tasksStarted: number;
  tasksDone: number;
  tasksFailed: number;
  tasksLapsed: number;
  tasksStopped: number;
  startsRefused: number;
  startsUnknown: number;
  holds: number;
  takeovers: number;
  peerMessages: number;
}

/** The conditions that guarantee safety; `guards.ts` documents each of them. */
export interface Guards {
  readonly mayStartJob: (record: RecordState | null) => boolean;
  readonly mustRetainCompletion: (job: Job) => boolean;
  readonly mayRunAgain: (job: Job, end: TaskCompletion["kind"]) => boolean;
  readonly hasRoom: (worker: OwnedWorker, task: Task) => boolean;
  readonly mayServe: (worker: OwnedWorker) => boolean;
  readonly hasExpired: (nowMs: number, expiresAtMs: number) => boolean;
  readonly mayRunElsewhere: (nowMs: number, expiresAtMs: number) => boolean;
  readonly mayRefuse: (job: Job) => boolean;
  readonly isNewer: (version: number, currentVersion: number) => boolean;
}

/** The whole state of one instance. */
export interface EngineState {
  readonly self: InstanceInfo;
  readonly leaseMs: number;
  /** Upper bound of the time that a worker takes to stop a run. */
  readonly stopMs: number;
  readonly startedAtMs: number;
  nowMs: number;
  wallMs: number;
  lastTickAtMs: number;
  configuration: Configuration | null;
  readonly peers: Map<string, Peer>;
  leaderId: string | null;
  leaderTerm: number;
  leaderProvisional: boolean;
  /** Time since which no leader is known. */
  leaderlessSinceMs: number;
  /**
   * Time since which this instance is eligible for leadership; 0 if it is not.
   */
  candidateSinceMs: number;
  maxTermSeen: number;
  draining: boolean;
  workers: Map<string, WorkerInfo>;
  /** Whether each availability zone has its own leader. */
  hasZoneCells: boolean;
  /** Latest time at which each zone had a worker in the list. */
  readonly zoneListedAtMs: Map<string, number>;
  /** Time at which workers left the list without draining, by worker id. */
  readonly vanishedAtMs: Map<string, number>;
  workersReadAtMs: number;
  workersUnreadableSinceMs: number;
  /** Time at which the list of workers was readable again after an outage. */
  listRecoveredAtMs: number;
  readonly callerJobs: Map<string, CallerJob>;
  readonly pendingQueries: Map<string, PendingQuery>;
  /** Zone of the latest leader known to own the records. */
  recordsZone: string | null;
  /** Job records may exist; false once a leader has found none. */
  recordsExist: boolean;
  readonly guards: Guards;
  /** Run time estimates of tasks, by queue. */
  readonly runTimes: Map<string, RunEstimate>;
  scheduler: Scheduler | null;
  nextCallId: number;
  nextSubmission: number;
  nextWriteId: number;
  readonly counters: Counters;
}

/**
 * The completion of a task's run, or the finding that the run does not exist.
 */
export interface TaskCompletion {
  readonly job: Job;
  readonly task: Task;
  readonly workerId: string;
  /** `lost` if the run no longer exists and its progress is unknown. */
  readonly kind: "done" | "failed" | "lost" | "notStarted";
  readonly result?: string | undefined;
}

/** The state, with the effects collected while one event is reduced. */
export interface ReduceContext {
  readonly state: EngineState;
  readonly effects: Effect[];
  /** Task completions that have not been applied to their jobs. */
  readonly taskCompletions: TaskCompletion[];
  /** Messages of this instance to itself, handled while reducing this event. */
  readonly selfMessages: PeerMessage[];
}
