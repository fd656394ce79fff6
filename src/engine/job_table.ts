/**
 * The jobs of a leader by id, with the estimated size of all of them and of those
 * of each entry.
 */

import type { JobSpec } from "./schemas.ts";
import type { Job, JobTable } from "./types.ts";

/**
 * Time for which an ended job without a written record is kept in memory, to
 * answer a resubmission.
 */
export const ENDED_JOB_RETENTION_MS = 6_000;
/** Size of a job without its specification and its tasks, about. */
const JOB_BYTES = 2_048;
/** Size of a task, about. */
const TASK_BYTES = 512;

/** Returns about how much memory a job of a leader takes. */
export function jobBytes({ spec, steps }: JobSpec): number {
  let bytes = JOB_BYTES + spec.length;
  for (const { count, payload = "" } of steps) {
    bytes += TASK_BYTES * count + payload.length;
  }
  return bytes;
}

interface Size {
  readonly bytes: number;
  readonly entryId: string | null;
}

class SizedJobTable extends Map<string, Job> implements JobTable {
  totalBytes = 0;
  readonly #sizes = new Map<string, Size>();
  readonly #bytesByEntry = new Map<string, number>();

  override set(jobId: string, job: Job): this {
    this.#forget(jobId);
    const [entryId = null] = job.submissionIdByEntry.keys();
    const bytes = jobBytes(job.spec);
    this.#sizes.set(jobId, { bytes, entryId });
    this.#add({ bytes, entryId }, 1);
    return super.set(jobId, job);
  }

  override delete(jobId: string): boolean {
    this.#forget(jobId);
    return super.delete(jobId);
  }

  override clear(): void {
    for (const jobId of [...this.#sizes.keys()]) this.#forget(jobId);
    super.clear();
  }

  bytesOf(entryId: string): number {
    return this.#bytesByEntry.get(entryId) ?? 0;
  }

  #forget(jobId: string): void {
    const size = this.#sizes.get(jobId);
    if (size === undefined) return;
    this.#sizes.delete(jobId);
    this.#add(size, -1);
  }

  #add({ bytes, entryId }: Size, sign: 1 | -1): void {
    this.totalBytes += sign * bytes;
    if (entryId === null) return;
    const sum = this.bytesOf(entryId) + sign * bytes;
    if (sum > 0) this.#bytesByEntry.set(entryId, sum);
    else this.#bytesByEntry.delete(entryId);
  }
}

/** Creates an empty table. */
export function createJobTable(): JobTable {
  return new SizedJobTable();
}
