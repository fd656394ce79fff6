/** What crosses a boundary of the engine, as schemas and the types of them. */

import { z } from "zod";

/** One entry instance: its name, place, address for peers, and life. */
export const instanceInfoSchema = z.object({
  instanceId: z.string().min(1),
  availabilityZone: z.string(),
  region: z.string(),
  /** Where peers connect to it, as HOST:PORT. */
  address: z.string(),
  /** Unix milliseconds of the start of this life. */
  bornMs: z.number(),
  /** The processor share of its machine, in cores; 1 where not told. */
  cpuCores: z.number().positive().optional(),
});

/** One worker, as the platform or a stand-in lists it. */
export const workerInfoSchema = z.object({
  workerId: z.string().min(1),
  service: z.string(),
  availabilityZone: z.string(),
  address: z.string(),
  cpuMilli: z.number().nonnegative(),
  memoryMb: z.number().nonnegative(),
  accelerators: z.number().nonnegative(),
  /** Its kind and rack, as steps may require them. */
  labels: z.array(z.string()),
  draining: z.boolean(),
  /** Unix milliseconds of the start of this life; null where not told. */
  bornMs: z.number().nullable(),
});

/** A queue: where its jobs arrive, and what runs them. */
export const queueRuleSchema = z.object({
  name: z.string(),
  host: z.string(),
  pathPrefix: z.string(),
  service: z.string(),
  /** 0 is the most urgent. */
  priority: z.number().int().nonnegative(),
  /** Runs of one task that may end failed before the job is failed. */
  attempts: z.number().int().positive(),
  /** The objective is so many times the longest chain of work, */
  stretch: z.number().positive(),
  /** and so many milliseconds more. */
  objectiveMs: z.number().nonnegative(),
  /** Another service says which workers may run its steps: not carried yet. */
  needsAdvice: z.boolean().optional(),
  timeoutMs: z.number().positive(),
});

/** A service: the pool of workers that carries some queues. */
export const serviceRuleSchema = z.object({
  name: z.string(),
  healthPath: z.string(),
  /** Its workers refuse by themselves what does not fit. */
  guardsCapacity: z.boolean(),
});

/** The configuration in force. */
export const configurationSchema = z.object({
  version: z.number().int(),
  queues: z.array(queueRuleSchema),
  services: z.array(serviceRuleSchema),
  maxBodyBytes: z.number().positive(),
  maxHeaderBytes: z.number().positive(),
  idleTimeoutMs: z.number().positive(),
  /** What the operator accepted, for listeners that need more of it. */
  document: z.json().optional(),
});

/** What each task of a step needs. */
export const jobTaskSchema = z.object({
  cpuMilli: z.number().nonnegative(),
  memoryMb: z.number().nonnegative(),
  accelerators: z.number().nonnegative(),
  estimatedMs: z.number().nonnegative(),
});

/** One step of a job: tasks that are alike. */
export const stepSchema = jobTaskSchema.extend({
  count: z.number().int().positive(),
  /** Numbers of the steps that must be done before. */
  after: z.array(z.number().int().nonnegative()),
  /** What its tasks are told; without it, the text of the job. */
  payload: z.string().optional(),
  /** Only workers with this label may run its tasks. */
  requiredLabel: z.string().optional(),
  /** The rack that holds its data: tasks run slower elsewhere. */
  nearRack: z.string().optional(),
  /** At most so many of its tasks run on one worker at a time. */
  maxPerWorker: z.number().int().positive().optional(),
});

/** A job as its caller describes it. */
export const jobSpecSchema = z.object({
  spec: z.string(),
  steps: z.array(stepSchema).min(1),
  /** A record in the store keeps the job beyond every instance's life. */
  isRecorded: z.boolean().optional(),
  /** A task that may have begun is never started again. */
  isAtMostOnce: z.boolean().optional(),
  /** An answer is worth its work until so many times the objective. */
  lateFactor: z.number().min(1).optional(),
  /** From its receipt on, after which an answer is of no use. */
  deadlineMs: z.number().positive().optional(),
});

const heartbeatSchema = z.object({
  type: z.literal("heartbeat"),
  /** The sender's life, and its steady clock: later ones replace earlier. */
  bornMs: z.number(),
  sentAtMs: z.number(),
  draining: z.boolean(),
  isLeader: z.boolean(),
  /** The sender leads, and began without hearing most instances. */
  provisional: z.boolean(),
  /** Of the leader that the sender follows, itself included; 0 for none. */
  term: z.number(),
  leaderId: z.string().nullable(),
  maxTermSeen: z.number(),
  workersAgeMs: z.number(),
  configurationVersion: z.number(),
  /** Jobs with records may exist: no leader has found that there are none. */
  recordsExist: z.boolean(),
  /** By the sender's list of workers, each zone has a leader of its own. */
  hasZoneCells: z.boolean(),
  /** The sender leads, and has the records of all jobs. */
  holdsRecords: z.boolean(),
  /** At a leader, how long work of each service would wait, in milliseconds. */
  waitMsByService: z.record(z.string(), z.number()),
});

const helloSchema = z.object({
  type: z.literal("hello"),
  instance: instanceInfoSchema,
  known: z.array(instanceInfoSchema),
});

const submitSchema = z.object({
  type: z.literal("submit"),
  jobId: z.string(),
  /** Names a caller's attempt as handed to this leader's term. */
  submissionId: z.string(),
  queue: queueRuleSchema,
  job: jobSpecSchema,
  availabilityZone: z.string(),
  ageMs: z.number(),
  timeLeftMs: z.number(),
  /** A leader of another term had the job. */
  resubmitted: z.boolean(),
  /** A leader of another cell may have begun it, on workers not held here. */
  leftCell: z.boolean(),
  /** Whether its callers wait for the end, or until its record is kept. */
  answerAt: z.enum(["ended", "accepted"]),
  doneTasks: z.array(z.string()),
});

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

/** How a job ended, as callers are told. */
export const jobOutcomeSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("done"),
    /** What each task returned, where tasks return something. */
    results: z.array(z.string().nullable()).optional(),
  }),
  z.object({ kind: z.literal("failed") }),
  z.object({
    kind: z.literal("cancelled"),
    /** Whether a task of it may have run. */
    begun: z.boolean(),
  }),
  /** Nothing of the job has run, and nothing will. */
  z.object({
    kind: z.literal("refused"),
    reason: z.enum(refusalReasons),
    retryAfterMs: z.number(),
  }),
  /** Tasks may have run; the outcome is not known. */
  z.object({
    kind: z.literal("unknown"),
    reason: z.enum(["leaderLost", "deadline", "taskLost", "storeAway"]),
  }),
]);

/** What the store keeps of a job: all that a new leader needs to go on. */
export const jobRecordSchema = z.object({
  jobId: z.string(),
  queue: queueRuleSchema,
  job: jobSpecSchema,
  /** By the time of day, in Unix milliseconds. */
  acceptedAtMs: z.number(),
  outcome: jobOutcomeSchema.nullable(),
  endedAtMs: z.number(),
  /** What is known of its tasks, by their place in the job. */
  done: z.array(z.number().int()),
  failures: z.record(z.string(), z.number().int()),
  results: z.record(z.string(), z.string()),
});

/** What is asked of a leader about jobs. */
export const jobQuerySchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("job"), jobId: z.string() }),
  z.object({ kind: z.literal("cancel"), jobId: z.string() }),
  z.object({ kind: z.literal("pending"), queueName: z.string() }),
]);

/** What a leader answers. */
export const replySchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("queued") }),
  z.object({ kind: z.literal("running") }),
  z.object({ kind: z.literal("ended"), outcome: jobOutcomeSchema }),
  z.object({ kind: z.literal("noJob") }),
  z.object({ kind: z.literal("pending"), count: z.number() }),
  /** The leader or the store can't tell now. */
  z.object({ kind: z.literal("unavailable") }),
]);

/** Every message between instances. */
export const peerMessageSchema = z.discriminatedUnion("type", [
  heartbeatSchema,
  helloSchema,
  submitSchema,
  z.object({ type: z.literal("withdraw"), jobId: z.string() }),
  z.object({
    type: z.literal("jobEnded"),
    jobId: z.string(),
    submissionId: z.string(),
    outcome: jobOutcomeSchema,
  }),
  z.object({
    type: z.literal("jobAccepted"),
    jobId: z.string(),
    submissionId: z.string(),
  }),
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
  z.object({
    type: z.literal("released"),
    /** Who should lead next; null leaves it to the instances. */
    successorId: z.string().nullable(),
    jobs: z.array(z.object({
      jobId: z.string(),
      doneTasks: z.array(z.string()),
    })),
  }),
  z.object({
    type: z.literal("configuration"),
    configuration: configurationSchema,
  }),
  z.object({ type: z.literal("configurationWanted") }),
  z.object({
    type: z.literal("workers"),
    ageMs: z.number(),
    workers: z.array(workerInfoSchema),
  }),
]);

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
/** See {@linkcode jobTaskSchema}. */
export type JobTask = z.infer<typeof jobTaskSchema>;
/** See {@linkcode stepSchema}. */
export type Step = z.infer<typeof stepSchema>;
/** See {@linkcode jobSpecSchema}. */
export type JobSpec = z.infer<typeof jobSpecSchema>;
/** See {@linkcode jobOutcomeSchema}. */
export type JobOutcome = z.infer<typeof jobOutcomeSchema>;
/** Why a job was turned away before anything of it ran. */
export type RefusalReason = (typeof refusalReasons)[number];
/** See {@linkcode jobRecordSchema}. */
export type JobRecord = z.infer<typeof jobRecordSchema>;
/** See {@linkcode jobQuerySchema}. */
export type JobQuery = z.infer<typeof jobQuerySchema>;
/** See {@linkcode replySchema}. */
export type Reply = z.infer<typeof replySchema>;
/** See {@linkcode peerMessageSchema}. */
export type PeerMessage = z.infer<typeof peerMessageSchema>;
/** The message of one type. */
export type PeerMessageOf<T extends PeerMessage["type"]> = Extract<
  PeerMessage,
  { type: T }
>;
