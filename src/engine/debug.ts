/**
 * Assertions that stay on in production: a broken invariant stops the process
 * before a wrong effect can leave it.
 */

/** A broken invariant of the core, with the name that docs/PROOFS.md lists. */
export class InvariantError extends Error {
  constructor(readonly invariant: string, detail: string) {
    super(`invariant ${invariant}: ${detail}`);
    this.name = "InvariantError";
  }
}

/** How often each named invariant was checked, for reports of long runs. */
export const invariantChecks = new Map<string, number>();

/**
 * Throws an {@linkcode InvariantError} unless the condition holds.
 *
 * @example
 * ```ts
 * assert(task.sends === 0, "task_sent_once", task.taskId);
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

/** Marks a branch that the type checker has proved unreachable. */
export function assertNever(value: never): never {
  throw new InvariantError("exhaustive", JSON.stringify(value));
}
