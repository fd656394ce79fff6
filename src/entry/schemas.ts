/** Schemas of the HTTP interfaces for callers and operators. */

import { z } from "zod";

const nameSchema = z.string().regex(/^[a-z][a-z0-9-]{0,62}$/);

/** The maximum number of tasks in a job. */
export const MAX_TASKS_PER_JOB = 170;

const roleSchema = z.enum(["operator", "team", "reader"]);
/** What a bearer key allows. */
export type Role = z.infer<typeof roleSchema>;

const accessKeySchema = z.strictObject({
  sha256Hex: z.string().regex(/^[0-9a-f]{64}$/),
  role: roleSchema,
});

const kindSchema = z.strictObject({
  /** Initial estimate of the run time of tasks whose caller declares none. */
  expectedMs: z.number().positive().default(300),
  /**
   * Multiple of the expected run time of a job's slowest task that is the
   * latency objective at the top urgency; lower urgencies add to it.
   */
  onTimeRatio: z.number().min(1).default(2),
});

const serviceSchema = z.strictObject({
  kinds: z.record(nameSchema, kindSchema),
});

const teamSchema = z.strictObject({
  shareWeight: z.number().positive().default(1),
  keys: z.array(accessKeySchema).default([]),
});

const limitsSchema = z.strictObject({
  /** The deadline of jobs that specify none. */
  defaultDeadlineMs: z.number().positive().default(30_000),
});

/** The schema of a configuration with its overlay applied. */
export const siteConfigurationSchema = z.strictObject({
  services: z.record(nameSchema, serviceSchema),
  teams: z.record(nameSchema, teamSchema),
  limits: limitsSchema.prefault({}),
});
/** The configuration in force at one availability zone. */
export type SiteConfiguration = z.infer<typeof siteConfigurationSchema>;

/** Any JSON value. */
export type Json = null | boolean | number | string | Json[] | JsonObject;
/** A JSON object. */
export interface JsonObject {
  [key: string]: Json;
}

const jsonObjectSchema = z.record(z.string(), z.json()) as z.ZodType<
  JsonObject
>;

/** The schema of an accepted version of the configuration. */
export const configurationDocumentSchema = z.strictObject({
  version: z.int().nonnegative(),
  changeId: z.string().max(100),
  base: jsonObjectSchema,
  overlays: z.record(nameSchema, jsonObjectSchema),
});
/** An accepted version: the base and the overlay of each availability zone. */
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

/** The completion of a job as sent to its caller. */
export interface Answer {
  readonly jobId: string;
  readonly state: "complete" | "failed" | "refused" | "unknown";
  /** The result of each task if the job is complete; empty otherwise. */
  readonly tasks: readonly { readonly end: "done"; readonly result: Json }[];
}
