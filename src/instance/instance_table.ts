/** The store table in which instances register their addresses. */

import { type InstanceInfo, instanceInfoSchema } from "../engine/schemas.ts";
import { readRows, type StoreHost } from "./hosts.ts";

const TABLE = "instances";
const PART = "";

/** Registers an instance, so that others can find its address. */
export async function announceInstance(
  store: StoreHost,
  self: InstanceInfo,
): Promise<void> {
  const row = { table: TABLE, key: self.instanceId, value: self };
  await store.transact({
    part: PART,
    expected: [],
    writes: [row],
    removes: [],
  });
}

/** Returns the registered instances; rows that are not valid are skipped. */
export async function readInstances(
  store: StoreHost,
): Promise<InstanceInfo[]> {
  const rows = await readRows(store, { table: TABLE, part: PART });
  const parsed = rows.map(({ value }) => instanceInfoSchema.safeParse(value));
  return parsed.flatMap((result) => result.success ? [result.data] : []);
}
