/** JSON merge patches as RFC 7396 defines them. */

import type { Json, JsonObject } from "./schemas.ts";

function isObject(value: Json | undefined): value is JsonObject {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

/**
 * The target with the patch applied; null in a patch removes a field.
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

/** The smallest patch that turns one object into another. */
export function diffPatch(from: JsonObject, to: JsonObject): JsonObject {
  const patch: JsonObject = {};
  for (const name of Object.keys(from)) {
    if (!(name in to)) patch[name] = null;
  }
  for (const [name, value] of Object.entries(to)) {
    const old = from[name];
    if (isObject(value) && isObject(old)) {
      const inner = diffPatch(old, value);
      if (Object.keys(inner).length > 0) patch[name] = inner;
    } else if (JSON.stringify(old) !== JSON.stringify(value)) {
      patch[name] = value;
    }
  }
  return patch;
}
