/** A promise-based timer. */

/** Resolves after `ms` milliseconds; does not keep the process alive. */
export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms).unref());
}
