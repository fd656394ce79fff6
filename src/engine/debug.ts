/**
 * Assertions that stay enabled in production. A violated invariant ends the job
 * that it concerns, or the process if it concerns shared state, before a wrong
 * effect is performed; see `job_faults.ts`.
 */

/**
 * Reports a violated invariant of the engine. `invariant` is the name by which
 * docs/PROOFS.md lists it.
 */
export class InvariantError extends Error {
  /** The job that was handled at the violation; undefined if there was none. */
  jobId: string | undefined;

  constructor(readonly invariant: string, detail: string) {
    super(`invariant ${invariant}: ${detail}`);
    this.name = "InvariantError";
  }
}

/** Number of checks by the name of the invariant, for reports of long runs. */
export const invariantChecks = new Map<string, number>();

/**
 * Throws an {@linkcode InvariantError} unless the condition holds.
 *
 * @example
 * ```ts
 * assert(!mustNotRestart(job, task), "at_most_once", task.name);
 * ```
 */
export function assert(
  condition: boolean,
  invariant: string,
  detail: string,
): asserts condition {
  invariantChecks.set(invariant, (invariantChecks.get(invariant) ?? 0) + 1);
  if (!condition) throw new InvariantError(invariant, detail);
}

/** Marks a branch as unreachable, which the type checker verifies. */
export function assertNever(value: never): never {
  throw new InvariantError("exhaustive", JSON.stringify(value));
}
