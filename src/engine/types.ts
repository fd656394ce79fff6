/** The shared types of the engine: state, events and effects. */

import type { RunEstimate } from "./estimates.ts";
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

/** What callers of a job are told. */
export type CallerReply =
  | JobOutcome
  /** A record of the job is kept; it will run. */
  | { readonly kind: "accepted" };

/** How one run of a task ended, as its worker says. */
export type RunOutcome = "done" | "failed" | "stopped" | "lapsed" | "broken";

/** One run in a worker's list of what it runs. */
export interface RunningRow {
  readonly taskName: string;
  readonly run: number;
  readonly percent: number;
}

/** One end in a worker's list of runs that ended. */
export interface FinishedRow {
  /** Rises by one with each end during one life of the worker. */
  readonly sequence: number;
  readonly taskName: string;
  readonly run: number;
  readonly end: RunOutcome;
  /** What the task returned, where tasks return something. */
  readonly result?: string;
}

/** What came of a call that renews a worker's lease and reads its lists. */
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
  /** Another life of the worker answers at the address. */
  | { readonly kind: "replaced" }
  /** The worker says that it is not able to work. */
  | { readonly kind: "unhealthy" }
  | { readonly kind: "unreachable"; readonly detail: string };

/** What came of a call that starts a task. */
export type StartOutcome =
  | { readonly kind: "started"; readonly clockMs: number }
  | {
    readonly kind: "refused";
    readonly reason: "fenced" | "oldRun" | "late" | "room" | "replaced";
  }
  | { readonly kind: "unhealthy" }
  /** The connection was refused: the worker can't have seen the call. */
  | { readonly kind: "notSent"; readonly detail: string }
  | { readonly kind: "unknown"; readonly detail: string };

/** What came of a call that stops a run. */
export type StopOutcome =
  | { readonly kind: "stopped" }
  | { readonly kind: "fenced" }
  | { readonly kind: "unknown"; readonly detail: string };

/** A job's record and the version of its row. */
export interface StoredRecord {
  readonly record: JobRecord;
  readonly version: number;
}

/** What came of taking over the records of all jobs. */
export type OpenOutcome =
  | { readonly kind: "opened"; readonly records: readonly StoredRecord[] }
  /** A leader of a higher term has taken them over. */
  | { readonly kind: "outranked"; readonly term: number }
  | { readonly kind: "unavailable"; readonly detail: string };

/** What came of writing some records in one transaction. */
export type WriteOutcome =
  | { readonly kind: "written"; readonly version: number }
  /** Some rows had other versions; they are as told. */
  | { readonly kind: "changed"; readonly records: readonly StoredRecord[] }
  | { readonly kind: "outranked" }
  /** The store did not answer; the write may take effect, also later. */
  | { readonly kind: "unknown"; readonly detail: string };

/** One row of a write of records. */
export interface RecordWrite {
  readonly jobId: string;
  /** 0 where there must be no row. */
  readonly expectedVersion: number;
  /** Null removes the row. */
  readonly record: JobRecord | null;
}

/** What the shell tells the engine. `nowMs` is monotonic, `wallMs` is not. */
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
      /** How long the caller waits for the answer. */
      readonly timeoutMs: number;
      readonly answerAt: AnswerAt;
    }
    | { readonly type: "callerGone"; readonly requestId: string }
    | {
      readonly type: "callerAsked";
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
    /** The list of workers could not be read. */
    | { readonly type: "workersUnread" }
    | { readonly type: "instancesRead"; readonly instances: InstanceInfo[] }
    | { readonly type: "peerUp"; readonly instanceId: string }
    | {
      readonly type: "peerDown";
      readonly instanceId: string;
      /** The peer's machine answers but its process is gone. */
      readonly refused: boolean;
    }
    | {
      readonly type: "peerMessage";
      readonly from: string;
      readonly message: PeerMessage;
    }
    | {
      readonly type: "holdEnded";
      readonly workerId: string;
      readonly callId: number;
      readonly outcome: PollOutcome;
    }
    | {
      readonly type: "startEnded";
      readonly workerId: string;
      readonly taskName: string;
      readonly run: number;
      readonly fence: number;
      readonly outcome: StartOutcome;
    }
    | {
      readonly type: "stopEnded";
      readonly workerId: string;
      readonly taskName: string;
      readonly run: number;
      readonly outcome: StopOutcome;
    }
    /** The process stood still; what arrives now may have waited as long. */
    | { readonly type: "stalled"; readonly pausedMs: number }
    | { readonly type: "drainRequested" }
  );

/** When a submission is answered: see `submit` among the peers' messages. */
export type AnswerAt = PeerMessageOf<"submit">["answerAt"];

/** The event of one type. */
export type EngineEventOf<T extends EngineEvent["type"]> = Extract<
  EngineEvent,
  { type: T }
>;

/** What the engine asks of the shell. */
export type Effect =
  | {
    readonly type: "answerCaller";
    readonly requestId: string;
    readonly jobId: string;
    readonly reply: CallerReply;
  }
  | {
    readonly type: "answerQuestion";
    readonly requestId: string;
    readonly reply: Reply;
  }
  /** Takes over the records of all jobs in a leader's term, and reads them. */
  | { readonly type: "openRecords"; readonly term: number }
  | {
    readonly type: "writeRecords";
    readonly writeId: number;
    /** Records of one part are written in one transaction. */
    readonly part: number;
    readonly rows: readonly RecordWrite[];
  }
  | {
    readonly type: "sendPeer";
    readonly instanceId: string;
    readonly message: PeerMessage;
  }
  | {
    readonly type: "hold";
    readonly workerId: string;
    readonly address: string;
    readonly callId: number;
    readonly fence: number;
    /** Ends up to this number are known here; the worker may forget them. */
    readonly lastSeenEnd: number;
    /** On the worker's clock; null renews nothing. */
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

/** One peer as this instance sees it. */
export interface Peer {
  info: InstanceInfo;
  lastHeardAtMs: number;
  /** When it had been heard before its last loss; 0 where it was not lost. */
  heardBeforeLossAtMs: number;
  /** When its present life began, by its own clock; null before it spoke. */
  startedAtMs: number | null;
  /** The sender's clock in its latest heartbeat. */
  lastSentAtMs: number;
  connected: boolean;
  /** Its machine refused a connection: the process is not running. */
  refusedAtMs: number;
  draining: boolean;
  isLeader: boolean;
  /** The leader that it follows. */
  leaderId: string | null;
  provisional: boolean;
  term: number;
  hasZoneCells: boolean;
  holdsRecords: boolean;
  /** At a leader, how long work of each service would wait there. */
  waitMsByService: Readonly<Record<string, number>>;
  /** How old the peer's list of workers is. */
  workersAgeMs: number;
  configurationVersion: number;
  nextHeartbeatAtMs: number;
}

/** A job whose caller waits at this instance. */
export interface CallerJob {
  readonly jobId: string;
  /** Unlike that of any other caller's job, here or elsewhere. */
  readonly submissionPrefix: string;
  readonly queue: QueueRule;
  readonly job: JobSpec;
  readonly receivedAtMs: number;
  readonly deadlineAtMs: number;
  readonly requestIds: string[];
  /** The leader that was given the job last, and its term; 0 for none yet. */
  submittedTo: string | null;
  submittedTerm: number;
  /** How many times leaders were given the job. */
  submissionCount: number;
  /** A leader before the present one may have begun it. */
  mayHaveStarted: boolean;
  /** Tasks that a former leader reported as done. */
  doneTasks: readonly string[];
  answerAt: AnswerAt;
  /** The zone of the cell that it was handed to after its own refused it. */
  spilledToZone: string | null;
  /** It may have begun on workers that its present leader does not hold. */
  leftCell: boolean;
  /** Whether zones had leaders of their own when it was handed in last. */
  submittedWithZoneCells: boolean;
  /** Since when no leader is known that could take it; 0 while one is. */
  leaderlessSinceMs: number;
}

/** A question of a caller that waits for the leader's reply. */
export interface PendingQuery {
  readonly requestId: string;
  readonly query: JobQuery;
  readonly receivedAtMs: number;
  /** The leader that was asked last, and its term; 0 for none yet. */
  queriedLeaderId: string | null;
  queriedTerm: number;
}

/** Where one task stands at the leader. */
export type TaskState = "waiting" | "queued" | "placed" | "done";

/** One task of a job at the leader. */
export interface Task {
  readonly name: string;
  readonly index: number;
  readonly stepIndex: number;
  readonly demand: JobStep;
  state: TaskState;
  run: number;
  /** A run of it was ordered, and is not known not to have begun. */
  mayHaveStarted: boolean;
  failures: number;
  /** The worker that runs it, while placed. */
  workerId: string | null;
  /** Workers on which a run of it failed. */
  readonly failedOn: Set<string>;
  result: string | null;
}

/** An end of a run that its worker keeps until a record tells of it. */
export interface RetainedCompletion {
  /** The worker's ends that are kept so, in its present life. */
  readonly retainedSequences: Set<number>;
  readonly sequence: number;
}

/** What the store holds of a job, and what it does not hold yet. */
export interface RecordState {
  /** Of its row; 0 where there is none. */
  version: number;
  /** Its first write was acknowledged: the job is kept. */
  accepted: boolean;
  /** The outcome that the store holds. */
  storedOutcome: JobOutcome | null;
  /** A write of it was sent: it may take effect at any time. */
  writeSent: boolean;
  /** Its row is to be removed. */
  removing: boolean;
  /** Ends that the next write carries, and those of the write under way. */
  pendingCompletions: RetainedCompletion[];
  inFlightCompletions: RetainedCompletion[];
  readonly acceptedAtMs: number;
  endedAtMs: number;
  /** Questions that are answered once its end is kept. */
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
  /** The instances whose callers wait for it, with their submissions. */
  readonly submissionIdByEntry: Map<string, string>;
  readonly receivedAtMs: number;
  deadlineAtMs: number;
  /** The end by which the answer counts as in time. */
  readonly objectiveAtMs: number;
  /** Expected time of its longest chain of tasks, run without waiting. */
  readonly criticalPathMs: number;
  readonly tasks: Task[];
  unfinished: number;
  /** Tasks of it were handed to workers, here or by a former leader. */
  mayHaveStarted: boolean;
  /**
   * Until then a former leader's runs of it may go on, on workers whose lists
   * were not read; 0 where no former leader can have had the job.
   */
  previousRunsExpireAtMs: number;
  /** When this leader was given it last: lists read before don't count. */
  submittedAtMs: number;
  /** Its former runs may be on workers of another cell. */
  leftCell: boolean;
  /** Its entries are silent: nothing more of it starts. */
  paused: boolean;
  /** It waited beyond its objective. */
  isLate: boolean;
  outcome: JobOutcome | null;
  endedAtMs: number;
  /** Null for a job that lives in memory only. */
  readonly record: RecordState | null;
  /** Work beyond its queue's usual share, while its queue floods. */
  readonly isSurplus: boolean;
}

/** One run that takes room on a worker. */
export interface WorkerRun {
  readonly taskName: string;
  readonly run: number;
  /** Null for a run that belongs to no job known here. */
  job: Job | null;
  task: Task | null;
  cpuMilli: number;
  memoryMb: number;
  accelerators: number;
  /** What a run of no known job needs is not told. */
  sizeUnknown: boolean;
  state: "starting" | "running" | "stopping";
  readonly placedAtMs: number;
  /** When the worker's answer to the start or stop came. */
  ackedAtMs: number;
  stopSentAtMs: number;
  /** When progress was last seen, and how much. */
  percent: number;
}

/** A worker that this instance may start tasks on. */
export interface OwnedWorker {
  info: WorkerInfo;
  /** No task starts on it before what runs there is known. */
  phase: "taking" | "ready" | "lost";
  /** It belongs to another side of a cut, or is gone from the list. */
  released: boolean;
  fence: number;
  startedAtMs: number | null;
  /** The worker's clock minus this instance's. */
  clockOffsetMs: number;
  /** The highest end that was taken in. */
  processedSequence: number;
  /** Ends that were taken in, but are not to be forgotten by the worker yet. */
  retainedSequences: Set<number>;
  /** Ends of jobs whose records were not read yet. */
  orphanCompletions: FinishedRow[];
  /** The highest end that it was told to forget. */
  acknowledgedSequence: number;
  pollCallId: number;
  pollSentAtMs: number;
  /** When the call was sent whose answer showed its lists last. */
  listsReadAtMs: number;
  pollFailures: number;
  nextPollAtMs: number;
  /** By then, whatever this instance granted has lapsed. */
  leaseExpiresAtMs: number;
  usableFromMs: number;
  readonly runs: Map<string, WorkerRun>;
  usedCpuMilli: number;
  usedMemoryMb: number;
  usedAccelerators: number;
  /** Runs of unknown size: nothing starts beside them. */
  unsizedRunCount: number;
  consecutiveFailures: number;
  suspendedUntilMs: number;
  /** Mean of run times over what was expected of the kind. */
  slowness: number;
  retryAtMs: number;
}

/** The state of an instance while it leads. */
export interface Scheduler {
  readonly term: number;
  readonly startedAtMs: number;
  /** It began without hearing most instances; one that did outranks it. */
  provisional: boolean;
  /** When most instances were not heard, last. */
  lastMinorityAtMs: number;
  readonly jobs: Map<string, Job>;
  /** Jobs with queued tasks, by service. */
  readonly waiting: Map<string, Job[]>;
  readonly workers: Map<string, OwnedWorker>;
  readonly endedJobs: Job[];
  records: RecordStoreState;
  /** When workers were read anew for jobs that a former leader had. */
  rereadAtMs: number;
  rereadWanted: boolean;
  /** How long work of each service would wait, as peers are told. */
  readonly waitMsByService: Map<string, number>;
  /** What each queue usually brings and uses. */
  readonly queueDemands: Map<string, QueueDemand>;
  demandsSampledAtMs: number;
}

/** What one queue brings and uses. */
export interface QueueDemand {
  /** Jobs since the last sample. */
  arrivals: number;
  /** Jobs a sample, lately and usually. */
  recentArrivals: number;
  usualArrivals: number;
  /** Tasks that wait or run, usually and now. */
  usualTasks: number;
  openTasks: number;
  samples: number;
}

/** The records of jobs, as far as this leader has them. */
export interface RecordStoreState {
  /** The term under which they are held; unlike that of any other holder. */
  term: number;
  phase: "closed" | "opening" | "open";
  /** When opening them is tried again. */
  retryAtMs: number;
  /** Since when the store did not take writes; 0 while it does. */
  unavailableSinceMs: number;
  /** When this leader took them over. */
  openedAtMs: number;
  /** Ends that records tell of, but the holder before must not miss yet. */
  readonly delayedCompletions: RetainedCompletion[];
  /** When the store last showed that this leader holds the records. */
  confirmedAtMs: number;
  /** Jobs whose records have to be written, by part. */
  readonly dirty: Map<number, Set<Job>>;
  /** The write under way of each part. */
  readonly inFlightWrites: Map<number, RecordBatch>;
  /** Ended jobs whose records are kept for questions, in order of their end. */
  readonly retainedJobs: Job[];
}

/** A write of records that is under way. */
export interface RecordBatch {
  readonly writeId: number;
  readonly jobs: readonly Job[];
  /** The outcomes that it carries, in the order of the jobs. */
  readonly outcomes: readonly (JobOutcome | null)[];
}

/** Counters, for metrics and the state dump. */
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

/** The conditions that promises rest on; `guards.ts` says what each is. */
export interface Guards {
  readonly mayStartJob: (record: RecordState | null) => boolean;
  readonly mustRetainCompletion: (job: Job) => boolean;
  readonly mayRunAgain: (job: Job, end: TaskCompletion["kind"]) => boolean;
  readonly hasRoom: (worker: OwnedWorker, task: Task) => boolean;
  readonly mayServe: (worker: OwnedWorker) => boolean;
  readonly hasExpired: (nowMs: number, lapsesAtMs: number) => boolean;
  readonly mayRunElsewhere: (nowMs: number, lapseAtMs: number) => boolean;
  readonly mayRefuse: (job: Job) => boolean;
  readonly isNewer: (version: number, inForce: number) => boolean;
}

/** The whole state of one instance. */
export interface EngineState {
  readonly self: InstanceInfo;
  readonly leaseMs: number;
  /** The longest that a worker takes to stop a run. */
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
  /** Since when no leader is known. */
  leaderlessSinceMs: number;
  /** Since when this instance could lead, if it is its turn; 0 for not. */
  candidateSinceMs: number;
  maxTermSeen: number;
  draining: boolean;
  workers: Map<string, WorkerInfo>;
  /** Each availability zone has a leader of its own. */
  hasZoneCells: boolean;
  /** When each zone had a worker in the list, last. */
  readonly zoneListedAtMs: Map<string, number>;
  /** When workers left the list without having drained. */
  readonly vanishedAtMs: Map<string, number>;
  workersReadAtMs: number;
  workersUnreadableSinceMs: number;
  /** When the list of workers could be read again after an outage. */
  listRecoveredAtMs: number;
  readonly callerJobs: Map<string, CallerJob>;
  readonly pendingQueries: Map<string, PendingQuery>;
  /** The zone whose leader had the records last, as far as was heard. */
  recordsZone: string | null;
  /** Jobs with records may exist: no leader has found that there are none. */
  recordsExist: boolean;
  readonly guards: Guards;
  /** Learned run times of tasks, by queue. */
  readonly runTimes: Map<string, RunEstimate>;
  scheduler: Scheduler | null;
  nextCallId: number;
  nextSubmission: number;
  nextWriteId: number;
  readonly counters: Counters;
}

/** A task's run ended, or is known not to be there. */
export interface TaskCompletion {
  readonly job: Job;
  readonly task: Task;
  readonly workerId: string;
  /** Lost: the run is not there any more, whatever it had done. */
  readonly kind: "done" | "failed" | "lost" | "notBegun";
  readonly result?: string | undefined;
}

/** Collects the effects of one event. */
export interface ReduceContext {
  readonly state: EngineState;
  readonly effects: Effect[];
  /** Ends of tasks that their jobs have not been told of. */
  readonly taskCompletions: TaskCompletion[];
  /** Messages of this instance to itself, handled within the same turn. */
  readonly selfMessages: PeerMessage[];
}
