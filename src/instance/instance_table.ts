/** The table of the store in which instances leave their addresses. */

import { type InstanceInfo, instanceInfoSchema } from "../engine/schemas.ts";
import type { StoreHost } from "./hosts.ts";

const TABLE = "instances";
const PART = "";

/** Leaves the address of an instance for others to find. */
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

/** The instances that left their addresses; other rows are passed over. */
export async function readInstances(
  store: StoreHost,
): Promise<InstanceInfo[]> {
  const rows = await store.readRows({ table: TABLE, part: PART });
  const parsed = rows.map(({ value }) => instanceInfoSchema.safeParse(value));
  return parsed.flatMap((one) => one.success ? [one.data] : []);
}
