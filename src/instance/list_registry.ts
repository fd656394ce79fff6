/**
 * The store table in which each leader registers the list of workers by which it
 * starts tasks, for a successor none of whose peers knows it: all instances may
 * have started again.
 */

import VError from "verror";
import { z } from "zod";
import type { RegisteredList } from "../engine/types.ts";
import { readRows, type StoreHost, type StoreRow } from "./hosts.ts";

const TABLE = "lists";
const PART = "";

const rowSchema = z.object({
  /** Term of the leader that registered the list. */
  term: z.number(),
  digest: z.string().nullable(),
});

/** Returns the registered lists. */
export async function readRegisteredLists(
  store: StoreHost,
): Promise<RegisteredList[]> {
  const rows = await readRows(store, { table: TABLE, part: PART });
  return rows.map(decodeRow);
}

/** A row that is not valid names no list, and may be replaced. */
function decodeRow({ key, value, version }: StoreRow): RegisteredList {
  const parsed = rowSchema.safeParse(value);
  const row = parsed.success ? parsed.data : { term: 0, digest: null };
  return { cell: key, version, ...row };
}

/**
 * Registers a list in place of the row with its version. Returns what is
 * registered then, which is the list of another leader if the row has changed.
 *
 * @throws if the store is unavailable; the list may be registered all the same.
 *
 * @example
 * ```ts
 * const list = { cell: "poa", version: 0, term: 7, digest: "f7jnJXxdp5H" };
 * await registerList(store, list); // [{ ...list, version: 12 }]
 * ```
 */
export async function registerList(
  store: StoreHost,
  { cell, version, term, digest }: RegisteredList,
): Promise<RegisteredList[]> {
  const result = await store.transact({
    part: PART,
    expected: [{ table: TABLE, key: cell, version }],
    writes: [{ table: TABLE, key: cell, value: { term, digest } }],
    removes: [],
  });
  if (result.kind === "invalid") {
    throw new VError("registration of the list refused: %s", result.detail);
  }
  return result.kind === "done"
    ? [{ cell, version: result.version, term, digest }]
    : result.rows.map(decodeRow);
}
