/** The schema of an entry instance's settings file. */

import { z } from "zod";

const addressSchema = z.string().regex(
  /^[0-9a-fA-F.:[\]]+:\d{1,5}$/,
  "expected an IP address and a port, such as 127.0.0.1:7101",
);
const zoneSchema = z.string().regex(/^[a-z][a-z0-9-]{0,62}$/);

const entrySchema = z.strictObject({
  /** Slot of the instance that this process runs; `--slot` overrides it. */
  slot: z.string().optional(),
  /**
   * Address on which to listen for callers; overrides the `callerAddress` of
   * the instance.
   */
  listen: addressSchema.optional(),
  maxBodyBytes: z.int().positive().default(1_048_576),
  maxHeaderBytes: z.int().positive().default(16_384),
  maxConnections: z.int().positive().default(2_000),
  drainDeadlineMs: z.int().positive().default(60_000),
});

const processSchema = z.strictObject({
  /** Number of descriptors that the process may open. */
  maxFds: z.int().min(300).optional(),
  /** Memory of the process, in MB. */
  memoryMb: z.int().positive().optional(),
});

const instanceSchema = z.strictObject({
  slot: z.string().regex(/^[a-z][a-z0-9-]{0,62}$/),
  availabilityZone: zoneSchema,
  region: zoneSchema.default("main"),
  callerAddress: addressSchema,
  adminAddress: addressSchema,
  peerAddress: addressSchema,
  /** Address at which peers connect, if it differs from `peerAddress`. */
  peerDialAddress: addressSchema.optional(),
});

const platformSchema = z.strictObject({
  address: addressSchema,
  timeoutMs: z.int().positive().default(1_000),
});

const workersSchema = z.strictObject({
  /** Duration of the leases on workers, which each poll of a worker renews. */
  leaseMs: z.int().positive().default(1_000),
  /** The longest time a worker takes to stop a run. */
  stopMs: z.int().nonnegative().default(50),
  /**
   * Time after the write of an evacuation from which on no task starts in its
   * zone; without it, zones can't be evacuated.
   */
  evacuateMs: z.int().positive().optional(),
});

const adminSchema = z.strictObject({
  /** SHA-256 of each operator's bearer key, in hexadecimal. */
  operatorKeysSha256: z.array(z.string().regex(/^[0-9a-f]{64}$/)).default([]),
});

const logSchema = z.strictObject({
  level: z.enum(["error", "warn", "info"]).default("info"),
  /**
   * Whether to write JSON lines to standard output; otherwise, text for a
   * terminal is written to standard error.
   */
  json: z.boolean().default(true),
});

const metricsSchema = z.strictObject({
  host: z.string(),
  port: z.int().min(1).max(65_535),
  prefix: z.string().default("bronzemill."),
});

/** The schema of a base settings file after its overlay is applied. */
export const settingsSchema = z.strictObject({
  entry: entrySchema.prefault({}),
  process: processSchema.prefault({}),
  instances: z.array(instanceSchema).min(1),
  platform: platformSchema,
  workers: workersSchema.prefault({}),
  admin: adminSchema.prefault({}),
  log: logSchema.prefault({}),
  metrics: metricsSchema.optional(),
  /** Content that `bronzemill config apply` submits; instances ignore it. */
  configuration: z.record(z.string(), z.json()).default({}),
});
/** Settings of one entry instance. */
export type Settings = z.infer<typeof settingsSchema>;
/** Settings of one instance in the list of all entry instances. */
export type InstanceSettings = Settings["instances"][number];
