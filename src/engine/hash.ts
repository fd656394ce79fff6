/** A hash that distributes texts evenly; it is not cryptographic. */

/**
 * Returns the 32-bit FNV-1a hash of a text, followed by a mixing step so that
 * similar texts get unrelated hashes.
 *
 * @example
 * ```ts
 * hashText("poa-1"); // an unsigned 32-bit integer
 * ```
 */
export function hashText(text: string): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < text.length; i += 1) {
    hash ^= text.charCodeAt(i);
    hash = Math.imul(hash, 0x01000193);
  }
  hash ^= hash >>> 16;
  hash = Math.imul(hash, 0x85ebca6b);
  hash ^= hash >>> 13;
  hash = Math.imul(hash, 0xc2b2ae35);
  hash ^= hash >>> 16;
  return hash >>> 0;
}
