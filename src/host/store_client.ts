/** The store of our own interface, over HTTP. */

import { Pool } from "undici";
import VError from "verror";
import { z } from "zod";
import { toEngineConfiguration } from "../entry/configuration.ts";
import { configurationDocumentSchema } from "../entry/schemas.ts";
import { type Configuration, workerInfoSchema } from "../engine/schemas.ts";
import type { StoreHost, StoreRow } from "../instance/hosts.ts";
import { sleep } from "./sleep.ts";

/** A call to the store failed; a write may have taken effect all the same. */
export class StoreClientError extends VError {}

/** The row that holds the accepted configuration. */
export const CONFIGURATION_PLACE = {
  table: "configuration",
  part: "",
  key: "current",
} as const;
/** The table in which workers are listed. */
export const WORKERS_TABLE = "workers";
/** A configuration that did not change is read again after so long. */
const CONFIGURATION_EVERY_MS = 400;
/** Connections to the store. */
const CONNECTIONS = 4;

const rowSchema = z.object({
  table: z.string(),
  key: z.string(),
  value: z.unknown(),
  version: z.number(),
});
const rowsSchema = z.object({ rows: z.array(rowSchema) });
const resultSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("done"), version: z.number() }),
  z.object({ kind: z.literal("conflict"), rows: z.array(rowSchema) }),
]);

/** Creates a client of the store at an address. */
export function createStoreClient(
  address: string,
  { timeoutMs }: { timeoutMs: number },
): StoreHost {
  const pool = new Pool(`http://${address}`, { connections: CONNECTIONS });
  let rowVersion = 0;

  async function post<T>(
    path: string,
    body: unknown,
    schema: z.ZodType<T>,
  ): Promise<T> {
    try {
      const response = await pool.request({
        method: "POST",
        path,
        headers: { "content-type": "application/json" },
        body: JSON.stringify(body),
        signal: AbortSignal.timeout(timeoutMs),
      });
      const content = await response.body.json();
      if (response.statusCode !== 200) {
        throw new VError("status %d", response.statusCode);
      }
      return schema.parse(content);
    } catch (error) {
      throw new StoreClientError(error as Error, "calling %s", path);
    }
  }

  async function readRows(
    place: { table: string; part: string },
  ): Promise<StoreRow[]> {
    return (await post("/rows/read", place, rowsSchema)).rows;
  }

  async function readConfiguration(): Promise<Configuration | null> {
    const rows = await readRows(CONFIGURATION_PLACE);
    const row = rows.find(({ key }) => key === CONFIGURATION_PLACE.key);
    if (row === undefined || row.version === rowVersion) return null;
    rowVersion = row.version;
    return toEngineConfiguration(configurationDocumentSchema.parse(row.value));
  }

  return {
    readConfiguration,
    async awaitConfiguration() {
      await sleep(CONFIGURATION_EVERY_MS);
      return await readConfiguration();
    },
    async readWorkers() {
      const rows = await readRows({ table: WORKERS_TABLE, part: "" });
      const parsed = rows.map(({ value }) => workerInfoSchema.safeParse(value));
      return parsed.flatMap((one) => one.success ? [one.data] : []);
    },
    readRows,
    transact: (transaction) =>
      post("/rows/transact", transaction, resultSchema),
    close: () => pool.close(),
  };
}
