/** HTTP client of a store that implements Bronzemill's own interface. */

import { Pool } from "undici";
import VError from "verror";
import { z } from "zod";
import { workerInfoSchema } from "../engine/schemas.ts";
import { toEngineConfiguration } from "../entry/configuration.ts";
import { configurationDocumentSchema } from "../entry/schemas.ts";
import type {
  ConfigurationAnswer,
  StoreHost,
  StoreRow,
} from "../instance/hosts.ts";
import { sleep } from "./sleep.ts";

/** Thrown when a store call fails; a write may have taken effect anyway. */
export class StoreClientError extends VError {}

/** Table, part and key of the row that contains the accepted configuration. */
export const CONFIGURATION_ROW = {
  table: "configuration",
  part: "",
  key: "current",
} as const;
/** The table that lists the workers. */
export const WORKERS_TABLE = "workers";
/**
 * Table, part and beginning of the keys of the rows that evacuate a zone each;
 * the zone's name follows.
 */
export const EVACUATION_ROWS = {
  table: "op",
  part: "",
  keyPrefix: "evacuate/",
} as const;
/** Delay before each repeated read of the configuration row. */
const CONFIGURATION_POLL_INTERVAL_MS = 400;
/**
 * Longest time for a read of evacuations. A leader starts no task while its last
 * read is too old, so reads have to end, even if other calls may take longer.
 */
const EVACUATIONS_TIMEOUT_MS = 900;
/** Maximum number of concurrent connections to the store. */
const MAX_CONNECTIONS = 4;

const rowSchema = z.object({
  table: z.string(),
  key: z.string(),
  value: z.unknown(),
  version: z.number(),
});
const rowsSchema = z.object({ rows: z.array(rowSchema) });
const transactionResultSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("done"), version: z.number() }),
  z.object({ kind: z.literal("conflict"), rows: z.array(rowSchema) }),
]);

/**
 * Creates a client of the store at an address. Each request, including reading
 * the response, is aborted after `timeoutMs`.
 */
export function createStoreClient(
  address: string,
  { timeoutMs }: { timeoutMs: number },
): StoreHost {
  const pool = new Pool(`http://${address}`, { connections: MAX_CONNECTIONS });

  async function post<T>(
    path: string,
    body: unknown,
    { schema, limitMs = timeoutMs }: {
      schema: z.ZodType<T>;
      limitMs?: number | undefined;
    },
  ): Promise<T> {
    try {
      const response = await pool.request({
        method: "POST",
        path,
        headers: { "content-type": "application/json" },
        body: JSON.stringify(body),
        signal: AbortSignal.timeout(limitMs),
      });
      const content = await response.body.json();
      if (response.statusCode !== 200) {
        throw new VError("unexpected status %d", response.statusCode);
      }
      return schema.parse(content);
    } catch (error) {
      throw new StoreClientError(error as Error, "store call %s failed", path);
    }
  }

  async function readRows(
    tablePart: { table: string; part: string },
    limitMs?: number,
  ): Promise<StoreRow[]> {
    const options = { schema: rowsSchema, limitMs };
    return (await post("/rows/read", tablePart, options)).rows;
  }

  /** Reads the row of the configuration, unless it has the given version. */
  async function readConfiguration(
    knownVersion: number,
  ): Promise<ConfigurationAnswer> {
    const rows = await readRows(CONFIGURATION_ROW);
    const row = rows.find(({ key }) => key === CONFIGURATION_ROW.key);
    if (row === undefined || row.version === knownVersion) {
      return { kind: "unchanged" };
    }
    const document = configurationDocumentSchema.safeParse(row.value);
    const rowVersion = row.version;
    if (!document.success) {
      const detail = document.error.message;
      return { kind: "invalid", rowVersion, detail };
    }
    const configuration = toEngineConfiguration(document.data);
    return { kind: "found", configuration: { ...configuration, rowVersion } };
  }

  return {
    configuration: {
      read: () => readConfiguration(0),
      async await(rowVersion) {
        await sleep(CONFIGURATION_POLL_INTERVAL_MS);
        return await readConfiguration(rowVersion);
      },
      compare: readConfiguration,
    },
    /** Rows that are not valid worker descriptions are skipped. */
    async readWorkers() {
      const rows = await readRows({ table: WORKERS_TABLE, part: "" });
      const parsed = rows.map(({ value }) => workerInfoSchema.safeParse(value));
      return parsed.flatMap((result) => result.success ? [result.data] : []);
    },
    async readEvacuations() {
      const { table, part, keyPrefix } = EVACUATION_ROWS;
      const limitMs = Math.min(timeoutMs, EVACUATIONS_TIMEOUT_MS);
      const rows = await readRows({ table, part }, limitMs);
      return rows.filter(({ key }) => key.startsWith(keyPrefix))
        .map(({ key }) => key.slice(keyPrefix.length));
    },
    // This interface has no pages.
    async *readPages(tablePart) {
      yield await readRows(tablePart);
    },
    // The field names of the transaction are wire names.
    transact: (transaction) =>
      post("/rows/transact", transaction, { schema: transactionResultSchema }),
    close: () => pool.close(),
  };
}
