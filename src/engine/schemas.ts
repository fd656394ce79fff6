/** Schemas, and their types, of the data that crosses the engine's boundary. */

import { z } from "zod";
import { hasBoundedTasks, jobBounds } from "./job_bounds.ts";

/** One instance: its id, location, address for peers, and start time. */
export const instanceInfoSchema = z.object({
  instanceId: z.string().min(1),
  availabilityZone: z.string(),
  region: z.string(),
  /** Address that peers connect to, as HOST:PORT. */
  address: z.string(),
  /** Start time in Unix milliseconds, which identifies the incarnation. */
  bornMs: z.number(),
  /** Number of cores available to the instance; treated as 1 if missing. */
  cpuCores: z.number().positive().optional(),
});

/** One worker, as listed by the platform or by a stand-in for it. */
export const workerInfoSchema = z.object({
  workerId: z.string().min(1),
  service: z.string(),
  availabilityZone: z.string(),
  address: z.string(),
  cpuMilli: z.number().nonnegative(),
  memoryMb: z.number().nonnegative(),
  accelerators: z.number().nonnegative(),
  /** Labels, such as its kind and rack, that steps may require. */
  labels: z.array(z.string()),
  draining: z.boolean(),
  /** Start time of the present incarnation in Unix ms; null if unknown. */
  bornMs: z.number().nullable(),
});

/**
 * A queue: the routes on which its jobs arrive, and the service that runs them.
 */
export const queueRuleSchema = z.object({
  name: z.string(),
  host: z.string(),
  pathPrefix: z.string(),
  service: z.string(),
  /** 0 is the highest priority. */
  priority: z.number().int().nonnegative(),
  /** Number of failed runs of one task at which the job fails. */
  attempts: z.number().int().positive(),
  /** Factor of the expected critical path in the latency objective. */
  stretch: z.number().positive(),
  /** Constant added to the scaled critical path in the latency objective. */
  objectiveMs: z.number().nonnegative(),
  /**
   * Jobs of the queue need placement advice from another service. This is not
   * supported, so they are rejected.
   */
  needsAdvice: z.boolean().optional(),
  /** Time for which a caller waits for the answer to a submission. */
  timeoutMs: z.number().positive(),
});

/** A service: a pool of workers that runs the jobs of some queues. */
export const serviceRuleSchema = z.object({
  name: z.string(),
  healthPath: z.string(),
  /** The workers themselves refuse tasks that exceed their capacity. */
  guardsCapacity: z.boolean(),
});

/** The configuration, which all instances share. */
export const configurationSchema = z.object({
  version: z.number().int(),
  /** Version of its row in the store; undefined if it is not known. */
  rowVersion: z.number().optional(),
  queues: z.array(queueRuleSchema),
  services: z.array(serviceRuleSchema),
  maxBodyBytes: z.number().positive(),
  maxHeaderBytes: z.number().positive(),
  idleTimeoutMs: z.number().positive(),
  /** The document set by the operator, which the engine only passes on. */
  document: z.json().optional(),
});

/** What turns one version of the configuration into a later one. */
export const configurationChangeSchema = configurationSchema.omit({
  queues: true,
}).extend({
  /** The version that it applies to. */
  baseVersion: z.number().int(),
  /** The queues that it adds or replaces. */
  changedQueues: z.array(queueRuleSchema),
  /** Names of the queues that it drops. */
  droppedQueues: z.array(z.string()),
  /** Number of queues of the later version. */
  queueCount: z.number().int(),
});

/** The resources and the run time that each task of a step needs. */
export const jobTaskSchema = z.object({
  cpuMilli: z.number().nonnegative().max(jobBounds.cpuMilli),
  memoryMb: z.number().nonnegative().max(jobBounds.memoryMb),
  accelerators: z.number().nonnegative().max(jobBounds.accelerators),
  /** Run time declared by the caller; 0 if none was declared. */
  estimatedMs: z.number().nonnegative().max(jobBounds.estimatedMs),
});

/** One step of a job: a number of identical tasks. */
export const stepSchema = jobTaskSchema.extend({
  count: z.number().int().positive().max(jobBounds.tasks),
  /** Indexes of the steps that must be done before this one starts. */
  after: z.array(z.number().int().nonnegative()).max(jobBounds.steps),
  /** Input of the step's tasks; defaults to the `spec` of the job. */
  payload: z.string().optional(),
  /** Label that a worker must have to run tasks of the step. */
  requiredLabel: z.string().max(jobBounds.labelLength).optional(),
  /** The rack that holds the step's data; tasks run slower on other racks. */
  nearRack: z.string().max(jobBounds.labelLength).optional(),
  /** Maximum number of the step's tasks on one worker at a time. */
  maxPerWorker: z.number().int().positive().optional(),
});

/** A job as described by its caller. */
export const jobSpecSchema = z.object({
  /** Input of the tasks of steps without a `payload`. */
  spec: z.string(),
  steps: z.array(stepSchema).min(1).max(jobBounds.steps)
    .refine(hasBoundedTasks, { error: "too many tasks in all steps" }),
  /**
   * The job is persisted in the store and survives the loss of all instances.
   */
  isRecorded: z.boolean().optional(),
  /** A task that may have started is never started again. */
  isAtMostOnce: z.boolean().optional(),
  /** Multiple of the objective after which the result is not worth the work. */
  lateFactor: z.number().min(1).optional(),
  /** Time from receipt after which the result is useless to the caller. */
  deadlineMs: z.number().positive().optional(),
});

/**
 * What an instance tells of the list of workers by which the leader before the
 * present one started tasks. `unknown` if leases granted by another list may
 * last, `none` if the instance has not followed leaders for long enough.
 */
const previousListSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("known"), digest: z.string() }),
  z.object({ kind: z.literal("unknown") }),
  z.object({ kind: z.literal("none") }),
]).default({ kind: "unknown" });

const heartbeatSchema = z.object({
  type: z.literal("heartbeat"),
  /** Start time of the sender, which identifies its incarnation. */
  bornMs: z.number(),
  /** Monotonic clock of the sender, used to ignore overtaken heartbeats. */
  sentAtMs: z.number(),
  draining: z.boolean(),
  isLeader: z.boolean(),
  /** The sender is a leader not confirmed by a majority of instances. */
  provisional: z.boolean(),
  /** Term of the leader that the sender follows or is; 0 if there is none. */
  term: z.number(),
  /** Id of the leader that the sender follows or is. */
  leaderId: z.string().nullable(),
  maxTermSeen: z.number(),
  /**
   * The recipient's monotonic clock in its latest heartbeat that had reached the
   * sender; undefined if none had.
   */
  heardAtMs: z.number().optional(),
  /** Age of the sender's list of workers. */
  workersAgeMs: z.number(),
  /** Digest of the workers of the sender's cell; null if it doesn't tell. */
  listDigest: z.string().nullable().default(null),
  /** The list of the leader that the sender followed before `term`. */
  previousList: previousListSchema,
  /** Version of the sender's configuration; -1 if it has none. */
  configurationVersion: z.number(),
  /**
   * Time since that version was known to be the newest in the store; undefined
   * if the sender doesn't know or is in another zone.
   */
  configurationAgeMs: z.number().optional(),
  /** Job records may exist; false once a leader has found none. */
  recordsExist: z.boolean(),
  /** Whether each zone has its own leader, by the sender's list of workers. */
  hasZoneCells: z.boolean(),
  /** The sender is the leader and owns the records of all jobs. */
  holdsRecords: z.boolean(),
  /**
   * Expected queueing delay by service; empty unless the sender is a leader.
   */
  waitMsByService: z.record(z.string(), z.number()),
  /** The evacuated zones that the sender knows; undefined if it knows nothing. */
  evacuation: z.object({
    zones: z.array(z.string()),
    /** Upper bound on the time since the store was asked for them. */
    ageMs: z.number(),
  }).optional(),
  /**
   * Free capacity of the sender's cell by service, as `ServiceRoom`; undefined
   * unless the sender is a leader of another zone. It is checked apart, so that a
   * report that can't be used doesn't invalidate the heartbeat.
   */
  roomByService: z.unknown().optional(),
  /** The sender is a leader in another zone and answers `claimsWanted`. */
  announcesClaims: z.boolean().optional(),
});

const helloSchema = z.object({
  type: z.literal("hello"),
  /** The sender. */
  instance: instanceInfoSchema,
  /** The sender's live peers. */
  known: z.array(instanceInfoSchema),
});

const submitSchema = z.object({
  type: z.literal("submit"),
  jobId: z.string(),
  /** Identifies the submission of the job to one leader term. */
  submissionId: z.string(),
  queue: queueRuleSchema,
  /** Version of the configuration that `queue` is from; -1 if not told. */
  configurationVersion: z.number().default(-1),
  job: jobSpecSchema,
  /** Zone of the sender, which is the job's entry. */
  availabilityZone: z.string(),
  /** Time since the entry received the job. */
  ageMs: z.number(),
  /** Time for which the callers continue to wait. */
  timeLeftMs: z.number(),
  /**
   * The term in which the sender takes the recipient for the leader; undefined
   * if the sender doesn't tell. The leader of a later term has lost what it was
   * sent in this one.
   */
  term: z.number().optional(),
  /**
   * The recipient's monotonic clock in its latest heartbeat that had reached the
   * sender; undefined if none had.
   */
  heardAtMs: z.number().optional(),
  /** The job was submitted to another leader or term before. */
  resubmitted: z.boolean(),
  /**
   * A leader of another cell may have started the job on that cell's workers.
   */
  leftCell: z.boolean(),
  /** The list of the leader that the sender followed before. */
  previousList: previousListSchema,
  /** Whether callers wait for completion, or until the record is persisted. */
  answerAt: z.enum(["ended", "accepted"]),
  /** Names of the tasks that a previous leader reported as done. */
  doneTasks: z.array(z.string()),
  /**
   * Zones that had the job before and have not started it; undefined if the
   * sender can't submit the job to the zone that a refusal names.
   */
  triedZones: z.array(z.string()).optional(),
});

/** Why jobs are refused; `storeAway` means that the store is unavailable. */
const refusalReasons = [
  "overloaded",
  "noConfiguration",
  "unknownQueue",
  "noLeader",
  "noWorker",
  "unsupported",
  "draining",
  "storeAway",
  "tooLarge",
  "conflict",
] as const;

/** The outcome of a job, as reported to its callers. */
export const jobOutcomeSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("done"),
    /** The value that each task returned; null for a task without one. */
    results: z.array(z.string().nullable()).optional(),
  }),
  z.object({ kind: z.literal("failed") }),
  z.object({
    kind: z.literal("cancelled"),
    /** Whether a task of the job may have run. */
    begun: z.boolean(),
  }),
  /** No task of the job has run or will run. */
  z.object({
    kind: z.literal("refused"),
    reason: z.enum(refusalReasons),
    retryAfterMs: z.number(),
    /** Zone whose leader is to get the job instead, if any. */
    elsewhere: z.string().nullable().optional(),
    /** That leader has the job; otherwise it gets a job that waits too long. */
    isHeldElsewhere: z.boolean().optional(),
  }),
  /**
   * Tasks may have run, but the outcome is unknown. `storeAway` means that the
   * store is unavailable.
   */
  z.object({
    kind: z.literal("unknown"),
    reason: z.enum([
      "leaderLost",
      "deadline",
      "taskLost",
      "storeAway",
      "internalError",
    ]),
    /** Zone whose leader has the job, and is to get it from this entry, too. */
    elsewhere: z.string().optional(),
  }),
]);

/** The persisted state of a job, from which a new leader can resume it. */
export const jobRecordSchema = z.object({
  jobId: z.string(),
  queue: queueRuleSchema,
  job: jobSpecSchema,
  /** Time at which a leader received the job, in Unix milliseconds. */
  acceptedAtMs: z.number(),
  outcome: jobOutcomeSchema.nullable(),
  /** Time at which the job ended, in Unix milliseconds; 0 if it has not. */
  endedAtMs: z.number(),
  /** Indexes of the tasks that are done, unless `doneBits` has them. */
  done: z.array(z.number().int()),
  /**
   * Base64 of a bit for each task, the lowest bit of each byte first, which is
   * set if the task is done.
   */
  doneBits: z.string().optional(),
  /** Number of failed runs, by task index. */
  failures: z.record(z.string(), z.number().int()),
  /** Number of workers that crashed under a run, by task index. */
  crashes: z.record(z.string(), z.number().int()).optional(),
  /**
   * Number of lost runs of which it was not known whether their workers had
   * crashed, by task index.
   */
  unresolvedLosses: z.record(z.string(), z.number().int()).optional(),
  /** Returned values, by task index. */
  results: z.record(z.string(), z.string()),
});

/** A query or a cancellation that an instance sends to a leader. */
export const jobQuerySchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("job"), jobId: z.string() }),
  z.object({ kind: z.literal("cancel"), jobId: z.string() }),
  z.object({ kind: z.literal("pending"), queueName: z.string() }),
]);

/** A leader's reply to a query. */
export const replySchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("queued") }),
  z.object({ kind: z.literal("running") }),
  z.object({ kind: z.literal("ended"), outcome: jobOutcomeSchema }),
  z.object({ kind: z.literal("noJob") }),
  z.object({ kind: z.literal("pending"), count: z.number() }),
  /** No answer is known at present, or the store is unavailable. */
  z.object({ kind: z.literal("unavailable") }),
]);

/**
 * The outcome of one run of a task, as reported by its worker. `lapsed` means
 * that the lease of the run expired, `broken` that the run was lost for another
 * reason. All outcomes except `done` and `failed` count as a lost run.
 */
const runOutcomeSchema = z.enum([
  "done",
  "failed",
  "stopped",
  "lapsed",
  "broken",
]);

/** One row of a worker's list of finished runs, its completions. */
const finishedRowSchema = z.object({
  /** Increases by one with each completion in one worker incarnation. */
  sequence: z.number().int(),
  taskName: z.string(),
  run: z.number().int(),
  end: runOutcomeSchema,
  /** The value that the task returned, if any. */
  result: z.string().optional(),
});

/** Workers that tasks of recorded jobs wait for at the owner of the records. */
export const workerDemandSchema = jobTaskSchema
  .pick({ cpuMilli: true, memoryMb: true, accelerators: true })
  .extend({
    service: z.string(),
    requiredLabel: z.string().optional(),
    maxPerWorker: z.number().int().positive().optional(),
    /** Number of waiting tasks with this demand. */
    count: z.number().int().positive(),
  });

/** A worker and the highest fencing token that one of its owners has used. */
const fencedWorkerSchema = z.object({
  workerId: z.string(),
  fence: z.number(),
});

/** The name of a task and the number of one of its runs. */
const runNameSchema = z.object({ taskName: z.string(), run: z.number().int() });

/** A leader's statement that it has a job in memory. */
const jobClaimSchema = z.object({
  /** Time for which the leader has the job or remembers its outcome. */
  forMs: z.number(),
  /** Time since the job's entry received it. */
  heldMs: z.number(),
});

/** A message between instances. */
export const peerMessageSchema = z.discriminatedUnion("type", [
  heartbeatSchema,
  helloSchema,
  submitSchema,
  /** No caller of the sender waits for the job any more. */
  z.object({ type: z.literal("withdraw"), jobId: z.string() }),
  z.object({
    type: z.literal("jobEnded"),
    jobId: z.string(),
    submissionId: z.string(),
    outcome: jobOutcomeSchema,
  }),
  /** The job's record is persisted, so the job will run. */
  z.object({
    type: z.literal("jobAccepted"),
    jobId: z.string(),
    submissionId: z.string(),
  }),
  /** The sender ends because of an error while it handled the job. */
  z.object({ type: z.literal("jobFault"), jobId: z.string() }),
  /** Sends a query to a leader. */
  z.object({
    type: z.literal("question"),
    questionId: z.string(),
    question: jobQuerySchema,
  }),
  z.object({
    type: z.literal("reply"),
    questionId: z.string(),
    reply: replySchema,
  }),
  /** The sender has stepped down as the leader. */
  z.object({
    type: z.literal("released"),
    /** The designated next leader, or null. */
    successorId: z.string().nullable(),
    /** The unrecorded jobs that had no outcome. */
    jobs: z.array(z.object({
      jobId: z.string(),
      /** Names of the tasks that are done, which need not run again. */
      doneTasks: z.array(z.string()),
    })),
  }),
  z.object({
    type: z.literal("configuration"),
    configuration: configurationSchema,
  }),
  /** Requests the recipient's configuration. */
  z.object({
    type: z.literal("configurationWanted"),
    /** Version that the sender has; -1 if it has none. */
    baseVersion: z.number().default(-1),
  }),
  /** The changes up to the sender's version, oldest first. */
  z.object({
    type: z.literal("configurationChanges"),
    /** Empty if the sender can't tell them, nor send the configuration now. */
    changes: z.array(configurationChangeSchema),
  }),
  z.object({
    type: z.literal("workers"),
    ageMs: z.number(),
    workers: z.array(workerInfoSchema),
  }),
  /**
   * Completions of jobs that the sender doesn't know, on a worker that it owns.
   * It retains them until the recipient confirms them.
   */
  z.object({
    type: z.literal("completionsFound"),
    workerId: z.string(),
    /** Start time of the worker's incarnation; null if it is not known. */
    startedAtMs: z.number().nullable(),
    completions: z.array(finishedRowSchema),
  }),
  /** Confirms completions, which need not be retained for the sender any more. */
  z.object({
    type: z.literal("completionsRecorded"),
    workerId: z.string(),
    startedAtMs: z.number().nullable(),
    sequences: z.array(z.number().int()),
  }),
  /** Asks which of these runs are gone from a worker of the recipient. */
  z.object({
    type: z.literal("runsWanted"),
    workerId: z.string(),
    runs: z.array(runNameSchema),
  }),
  /**
   * The sender borrows workers of the recipient, or wants to. Renews all loans to
   * the sender but the returned ones.
   */
  z.object({
    type: z.literal("workersWanted"),
    demands: z.array(workerDemandSchema),
    /** The latest loan in this term of the recipient that the sender knows. */
    seenLoanId: z.number().int(),
    /** The borrowed workers, until the recipient has answered in this term. */
    kept: z.array(fencedWorkerSchema),
    /** Workers that the sender no longer uses, until that is confirmed. */
    returned: z.array(fencedWorkerSchema),
  }),
  /** The sender lends workers to the recipient; they have no runs. */
  z.object({
    type: z.literal("workersLent"),
    /** The sender's term, in which loans are numbered. */
    term: z.number(),
    /** The loans after the latest one that the recipient knows. */
    loans: z.array(
      fencedWorkerSchema.extend({ loanId: z.number().int() }),
    ),
    /** Ids of the workers that the recipient has returned. */
    returned: z.array(z.string()),
  }),
  /** These runs are gone, and the worker lists no completion of them. */
  z.object({
    type: z.literal("runsGone"),
    workerId: z.string(),
    runs: z.array(runNameSchema),
  }),
  /**
   * Requests the recipient's claims, those that it has and those that it makes
   * from then on. The sender and the recipient are leaders of two zones.
   */
  z.object({ type: z.literal("claimsWanted") }),
  /** Tells the leader of another zone which jobs in memory the sender has. */
  z.object({
    type: z.literal("claims"),
    term: z.number(),
    /** These are all claims of the sender, not only new ones. */
    isComplete: z.boolean(),
    /** Claims by job id. */
    claims: z.record(z.string(), jobClaimSchema),
    /** Ids of jobs that the sender had, and that may start elsewhere. */
    released: z.array(z.string()),
  }),
]);

/** See {@linkcode workerDemandSchema}. */
export type WorkerDemand = z.infer<typeof workerDemandSchema>;
/** See {@linkcode instanceInfoSchema}. */
export type InstanceInfo = z.infer<typeof instanceInfoSchema>;
/** See {@linkcode workerInfoSchema}. */
export type WorkerInfo = z.infer<typeof workerInfoSchema>;
/** See {@linkcode queueRuleSchema}. */
export type QueueRule = z.infer<typeof queueRuleSchema>;
/** See {@linkcode serviceRuleSchema}. */
export type ServiceRule = z.infer<typeof serviceRuleSchema>;
/** See {@linkcode configurationSchema}. */
export type Configuration = z.infer<typeof configurationSchema>;
/** See {@linkcode configurationChangeSchema}. */
export type ConfigurationChange = z.infer<typeof configurationChangeSchema>;
/** See {@linkcode jobTaskSchema}. */
export type JobTask = z.infer<typeof jobTaskSchema>;
/** See {@linkcode stepSchema}. */
export type Step = z.infer<typeof stepSchema>;
/** See {@linkcode jobSpecSchema}. */
export type JobSpec = z.infer<typeof jobSpecSchema>;
/** See {@linkcode jobOutcomeSchema}. */
export type JobOutcome = z.infer<typeof jobOutcomeSchema>;
/** The reason why a job was refused before any of its tasks ran. */
export type RefusalReason = (typeof refusalReasons)[number];
/** See {@linkcode previousListSchema}. */
export type PreviousListReport = z.infer<typeof previousListSchema>;
/** See {@linkcode jobRecordSchema}. */
export type JobRecord = z.infer<typeof jobRecordSchema>;
/** See {@linkcode jobQuerySchema}. */
export type JobQuery = z.infer<typeof jobQuerySchema>;
/** See {@linkcode replySchema}. */
export type Reply = z.infer<typeof replySchema>;
/** See {@linkcode runOutcomeSchema}. */
export type RunOutcome = z.infer<typeof runOutcomeSchema>;
/** See {@linkcode finishedRowSchema}. */
export type FinishedRow = z.infer<typeof finishedRowSchema>;
/** See {@linkcode peerMessageSchema}. */
export type PeerMessage = z.infer<typeof peerMessageSchema>;
/** The variant of {@linkcode PeerMessage} with the given type. */
export type PeerMessageOf<T extends PeerMessage["type"]> = Extract<
  PeerMessage,
  { type: T }
>;
