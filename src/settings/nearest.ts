/** Suggests corrections for misspelled names. */

/** Maximum edit distance at which a name is suggested. */
const MAX_DISTANCE = 3;

/** Returns the Levenshtein distance between two words. */
export function editDistance(a: string, b: string): number {
  let row = Array.from({ length: b.length + 1 }, (_, index) => index);
  for (let i = 1; i <= a.length; i += 1) {
    const next = [i];
    for (let j = 1; j <= b.length; j += 1) {
      const replaced = (row[j - 1] ?? 0) + (a[i - 1] === b[j - 1] ? 0 : 1);
      const edited = Math.min(row[j] ?? 0, next[j - 1] ?? 0) + 1;
      next.push(Math.min(replaced, edited));
    }
    row = next;
  }
  return row[b.length] ?? 0;
}

/**
 * Returns the known name with the smallest edit distance to a misspelled one,
 * or null if none is within the maximum distance.
 *
 * @example
 * ```ts
 * nearestName("listn", ["listen", "slot"]); // "listen"
 * ```
 */
export function nearestName(
  name: string,
  known: readonly string[],
): string | null {
  let best: string | null = null;
  let bestDistance = MAX_DISTANCE + 1;
  for (const candidate of known) {
    const distance = editDistance(name, candidate);
    if (distance < bestDistance) [best, bestDistance] = [candidate, distance];
  }
  return best;
}
