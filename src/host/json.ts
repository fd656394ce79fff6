/** Parses JSON without throwing on malformed input. */

/** Returns the parsed value, or undefined if the text is not valid JSON. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
