/** Schemas of what crosses a boundary; every data type is inferred from one. */

import { z } from "zod";

const nameSchema = z.string().regex(/^[a-z][a-z0-9-]{0,62}$/);

/** The largest number of tasks in a job. */
export const MAX_TASKS_PER_JOB = 170;

const roleSchema = z.enum(["operator", "team", "reader"]);
/** What a bearer key allows. */
export type Role = z.infer<typeof roleSchema>;

const accessKeySchema = z.strictObject({
  sha256Hex: z.string().regex(/^[0-9a-f]{64}$/),
  role: roleSchema,
});

const kindSchema = z.strictObject({
  expectedMs: z.number().positive().default(300),
  onTimeRatio: z.number().min(1).default(2),
});

const serviceSchema = z.strictObject({
  kinds: z.record(nameSchema, kindSchema),
});

const teamSchema = z.strictObject({
  shareWeight: z.number().positive().default(1),
  keys: z.array(accessKeySchema).default([]),
});

const policyNameSchema = z.enum([
  "stretch",
  "fifo",
  "random",
  "roundRobin",
  "powerOfTwo",
]);
/** The name of a placement policy. */
export type PolicyName = z.infer<typeof policyNameSchema>;

const limitsSchema = z.strictObject({
  headroomPercent: z.number().min(0).max(50).default(8),
  maxQueueRatio: z.number().positive().default(1),
  defaultDeadlineMs: z.number().positive().default(30_000),
  claimRetentionMs: z.number().positive().default(600_000),
  answerRetentionMs: z.number().positive().default(120_000),
  clockSkewMs: z.number().nonnegative().default(2_000),
});

/** The schema of a configuration after its overlay was applied. */
export const configurationSchema = z.strictObject({
  policy: policyNameSchema.default("stretch"),
  services: z.record(nameSchema, serviceSchema),
  teams: z.record(nameSchema, teamSchema),
  limits: limitsSchema.prefault({}),
});
/** What is in force at one availability zone. */
export type Configuration = z.infer<typeof configurationSchema>;

/** A JSON value without functions or classes. */
export type Json = null | boolean | number | string | Json[] | JsonObject;
/** A JSON object. */
export interface JsonObject {
  [key: string]: Json;
}

const jsonObjectSchema = z.record(z.string(), z.json()) as z.ZodType<
  JsonObject
>;

/** The schema of a configuration as operators accept it: base and overlays. */
export const configurationDocumentSchema = z.strictObject({
  version: z.int().nonnegative(),
  changeId: z.string().max(100),
  base: jsonObjectSchema,
  overlays: z.record(nameSchema, jsonObjectSchema),
});
/** One accepted version: the base and each availability zone's overlay. */
export type ConfigurationDocument = z.infer<typeof configurationDocumentSchema>;

/** The schema of a caller's request to run a job. */
export const submissionSchema = z.strictObject({
  service: nameSchema,
  kind: nameSchema,
  urgency: z.int().min(0).max(9).default(5),
  idempotent: z.boolean().default(false),
  deadlineMs: z.number().min(1).max(600_000).optional(),
  tasks: z.array(
    z.strictObject({
      payload: z.json(),
      declaredMs: z.number().positive().max(600_000).optional(),
    }),
  ).min(1).max(MAX_TASKS_PER_JOB),
});
/** A caller's request to run a job. */
export type Submission = z.infer<typeof submissionSchema>;

/** The schema of one incarnation of an entry instance. */
export const instanceRefSchema = z.object({
  slot: z.string(),
  incarnation: z.number(),
});
/**
 * One incarnation of an entry instance. The slot is the instance's stable name
 * in the settings; the incarnation is the wall clock at start, in milliseconds.
 */
export type InstanceRef = z.infer<typeof instanceRefSchema>;

const taskEndSchema = z.enum([
  "done",
  "failed",
  "unknown",
  "notStarted",
]);
/** How a task ended, as callers see it. */
export type TaskEnd = z.infer<typeof taskEndSchema>;

/** The schema of a job's answer. */
export const answerSchema = z.object({
  jobId: z.string(),
  state: z.enum(["complete", "failed", "refused", "unknown"]),
  diagnostic: z.string().optional(),
  detail: z.string().optional(),
  tasks: z.array(
    z.object({ end: taskEndSchema, result: z.json().optional() }),
  ),
});
/** The end of a job as its caller is told. */
export type Answer = z.infer<typeof answerSchema>;

const verdictSchema = z.enum([
  "granted",
  "taken",
  "conflict",
  "sealed",
  "amnesic",
  "expired",
  "superseded",
]);
/** A registrar's word on a claim. */
export type Verdict = z.infer<typeof verdictSchema>;

const groupRoleSchema = z.enum(["owner", "witness"]);
/** The part a registrar plays for a claim group. */
export type GroupRole = z.infer<typeof groupRoleSchema>;

const claimSchema = z.object({
  type: z.literal("claim"),
  claimId: z.string(),
  group: z.string(),
  role: groupRoleSchema,
  key: z.string(),
  payloadHash: z.string(),
  jobId: z.string(),
  holder: instanceRefSchema,
  /** Age of the oldest moment at which this key can have been claimed. */
  oldestPossibleAgeMs: z.number().nullable(),
  /** Time since the holder received this attempt. */
  receivedAgeMs: z.number(),
  /** Set when the owner has already granted: the witness may then replace. */
  ownerGrant: instanceRefSchema.optional(),
});

const claimReplySchema = z.object({
  type: z.literal("claimReply"),
  claimId: z.string(),
  group: z.string(),
  role: groupRoleSchema,
  verdict: verdictSchema,
  registrar: instanceRefSchema,
  partner: instanceRefSchema.nullable(),
  holder: instanceRefSchema.optional(),
  holderJobId: z.string().optional(),
  answer: answerSchema.optional(),
});

const claimRecordSchema = z.object({
  key: z.string(),
  payloadHash: z.string(),
  jobId: z.string(),
  holder: instanceRefSchema,
  state: z.enum(["claimed", "sealed", "released"]),
  ageMs: z.number(),
  answer: answerSchema.optional(),
});

const serviceLoadSchema = z.object({
  service: z.string(),
  freeSlots: z.number(),
  queuedTasks: z.number(),
});
/** One instance's load on one service, as heartbeats carry it. */
export type ServiceLoad = z.infer<typeof serviceLoadSchema>;

const borrowedCountSchema = z.object({
  lender: z.string(),
  upstreamId: z.string(),
  slots: z.number(),
});
/** How many slots of one upstream an instance uses that a peer lent. */
export type BorrowedCount = z.infer<typeof borrowedCountSchema>;

const suspectSchema = z.object({
  upstreamId: z.string(),
  failures: z.number(),
});
/** How many sends to an upstream failed in a row, as one instance saw it. */
export type Suspect = z.infer<typeof suspectSchema>;

/** The schema of an upstream as the membership list names it. */
export const upstreamMemberSchema = z.object({
  id: z.string(),
  service: z.string(),
  availabilityZone: z.string(),
  address: z.string(),
  slots: z.int().positive(),
  state: z.enum(["live", "leaving"]),
});
/** An upstream as the membership list names it. */
export type UpstreamMember = z.infer<typeof upstreamMemberSchema>;

/** The schema of every message between entry instances. */
export const peerMessageSchema = z.discriminatedUnion("type", [
  claimSchema,
  claimReplySchema,
  z.object({
    type: z.literal("seal"),
    claimId: z.string(),
    group: z.string(),
    role: groupRoleSchema,
    key: z.string(),
    jobId: z.string(),
    holder: instanceRefSchema,
  }),
  z.object({
    type: z.literal("outcome"),
    group: z.string(),
    key: z.string(),
    jobId: z.string(),
    released: z.boolean(),
    answer: answerSchema.optional(),
  }),
  z.object({
    type: z.literal("handover"),
    group: z.string(),
    part: z.number(),
    parts: z.number(),
    records: z.array(claimRecordSchema),
    formedAgeMs: z.number().nullable(),
    memoryAgeMs: z.number().nullable(),
    leaving: z.boolean(),
  }),
  z.object({
    type: z.literal("attach"),
    attachId: z.string(),
    jobId: z.string(),
    team: z.string(),
    wait: z.boolean(),
  }),
  z.object({
    type: z.literal("attachReply"),
    attachId: z.string(),
    known: z.boolean(),
    answer: answerSchema.optional(),
  }),
  z.object({
    type: z.literal("cancel"),
    team: z.string(),
    jobIds: z.array(z.string()),
  }),
  z.object({
    type: z.literal("heartbeat"),
    virgin: z.boolean(),
    leaving: z.boolean(),
    ready: z.boolean(),
    configurationVersion: z.number(),
    membershipVersion: z.number(),
    periodMs: z.number(),
    leavingUpstreams: z.array(z.string()),
    /** Upstreams whose last sends from there failed. */
    suspects: z.array(suspectSchema),
    /** Claim groups whose records it lacks: a handover was lost. */
    lacksRecords: z.array(z.string()),
    loads: z.array(serviceLoadSchema),
    /** Slots in use here that peers lent. */
    borrowed: z.array(borrowedCountSchema),
  }),
  z.object({
    type: z.literal("borrow"),
    service: z.string(),
    slots: z.number(),
    /** What the slots are for, to be weighed against the lender's work. */
    waitedMs: z.number(),
    nextRunMs: z.number(),
    expectedMs: z.number().positive(),
    urgency: z.number(),
    tasksLeft: z.number(),
  }),
  z.object({
    type: z.literal("lend"),
    service: z.string(),
    upstreamIds: z.array(z.string()),
    /** Slots that the lender has free after this. */
    freeSlots: z.number(),
  }),
  z.object({
    type: z.literal("returnSlots"),
    upstreamIds: z.array(z.string()),
  }),
  z.object({
    type: z.literal("configurationDelta"),
    fromVersion: z.number(),
    toVersion: z.number(),
    changeId: z.string(),
    patch: jsonObjectSchema,
  }),
  z.object({
    type: z.literal("configurationFull"),
    document: configurationDocumentSchema,
  }),
  z.object({
    type: z.literal("configurationRequest"),
    haveVersion: z.number(),
  }),
  z.object({
    type: z.literal("membership"),
    membershipVersion: z.number(),
    upstreams: z.array(upstreamMemberSchema),
  }),
  z.object({ type: z.literal("membershipRequest") }),
]);
/** A message between entry instances. */
export type PeerMessage = z.infer<typeof peerMessageSchema>;
/** The message of one type. */
export type PeerMessageOf<T extends PeerMessage["type"]> = Extract<
  PeerMessage,
  { type: T }
>;
/** A claim as it travels at a handover. */
export type ClaimRecordCopy = z.infer<typeof claimRecordSchema>;
