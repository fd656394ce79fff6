/** JSON that others wrote. */

/** The value of a text, or undefined where it is not JSON. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
