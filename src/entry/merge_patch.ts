/** JSON merge patches as defined by RFC 7396. */

import type { Json, JsonObject } from "./schemas.ts";

/** Whether a value is a JSON object, which a patch merges field by field. */
export function isObject(value: Json | undefined): value is JsonObject {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

/**
 * Returns the target with the patch applied; null in a patch removes a field.
 *
 * @example
 * ```ts
 * applyPatch({ a: 1, b: 2 }, { b: null, c: 3 }); // { a: 1, c: 3 }
 * ```
 */
export function applyPatch(target: JsonObject, patch: JsonObject): JsonObject {
  const result: JsonObject = { ...target };
  for (const [name, value] of Object.entries(patch)) {
    const old = result[name];
    if (value === null) delete result[name];
    else if (isObject(value)) {
      result[name] = applyPatch(isObject(old) ? old : {}, value);
    } else result[name] = value;
  }
  return result;
}
