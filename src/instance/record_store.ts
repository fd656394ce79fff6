/**
 * Records of jobs in tables of the store. Each part has a row that names the
 * term of the leader that holds it; every write expects that row as its leader
 * wrote it, so that a leader which lost the part can't write any more.
 */

import { z } from "zod";
import { RECORD_PARTS } from "../engine/records.ts";
import { jobRecordSchema } from "../engine/schemas.ts";
import type {
  OpenOutcome,
  StoredRecord,
  WriteOutcome,
} from "../engine/types.ts";
import type {
  EffectOf,
  StoreHost,
  StoreRow,
  TransactionResult,
} from "./hosts.ts";
import type { JsonLog } from "./json_log.ts";

const RECORDS_TABLE = "jobs";
const HOLDERS_TABLE = "holders";
const HOLDER_KEY = "records";
/** How often a part is claimed anew after another wrote in between. */
const CLAIM_TRIES = 3;

const holderSchema = z.object({ term: z.number(), instanceId: z.string() });

/** Opens and writes records; no promise rejects. */
export interface RecordStore {
  readonly open: (effect: EffectOf<"openRecords">) => Promise<OpenOutcome>;
  readonly write: (effect: EffectOf<"writeRecords">) => Promise<WriteOutcome>;
}

type Claim =
  | { readonly kind: "claimed"; readonly version: number }
  | { readonly kind: "outranked"; readonly term: number };

function partName(part: number): string {
  return `p${part}`;
}

/** Creates the records of an instance over its store. */
export function createRecordStore(
  store: StoreHost,
  { log, instanceId }: { log: JsonLog; instanceId: string },
): RecordStore {
  /** The version of each part's holder row, as this instance wrote it. */
  let holderVersions: number[] = [];

  async function claim(part: number, term: number): Promise<Claim> {
    for (let tried = 0; tried < CLAIM_TRIES; tried += 1) {
      const rows = await store.readRows({
        table: HOLDERS_TABLE,
        part: partName(part),
      });
      const row = rows.find(({ key }) => key === HOLDER_KEY);
      const holder = holderSchema.safeParse(row?.value);
      const heldTerm = holder.success ? holder.data.term : 0;
      if (heldTerm > term) return { kind: "outranked", term: heldTerm };
      if (row !== undefined && heldTerm === term) {
        // An earlier claim took effect, and its answer was lost.
        const isOwn = holder.success && holder.data.instanceId === instanceId;
        return isOwn
          ? { kind: "claimed", version: row.version }
          : { kind: "outranked", term };
      }
      const place = { table: HOLDERS_TABLE, key: HOLDER_KEY };
      const result = await store.transact({
        part: partName(part),
        expected: [{ ...place, version: row?.version ?? 0 }],
        writes: [{ ...place, value: { term, instanceId } }],
        removes: [],
      });
      if (result.kind === "done") {
        return { kind: "claimed", version: result.version };
      }
    }
    throw new Error("the part is claimed by others again and again");
  }

  function decode(row: StoreRow): StoredRecord[] {
    const parsed = jobRecordSchema.safeParse(row.value);
    if (parsed.success) {
      return [{ record: parsed.data, version: row.version }];
    }
    log.write("error", {
      part: "records",
      text: "a record can't be read",
      fields: { jobId: row.key, detail: parsed.error.message },
    });
    return [];
  }

  async function openAll(term: number): Promise<OpenOutcome> {
    const parts = Array.from({ length: RECORD_PARTS }, (_, part) => part);
    const claims = await Promise.all(parts.map((part) => claim(part, term)));
    const versions: number[] = [];
    for (const one of claims) {
      if (one.kind === "outranked") return one;
      versions.push(one.version);
    }
    holderVersions = versions;
    const rows = await Promise.all(
      parts.map((part) =>
        store.readRows({ table: RECORDS_TABLE, part: partName(part) })
      ),
    );
    return { kind: "opened", records: rows.flat().flatMap(decode) };
  }

  async function writeAll(
    { part, rows }: EffectOf<"writeRecords">,
  ): Promise<WriteOutcome> {
    const holder = { table: HOLDERS_TABLE, key: HOLDER_KEY };
    const holderVersion = holderVersions[part] ?? 0;
    const places = rows.map(({ jobId }) => ({
      table: RECORDS_TABLE,
      key: jobId,
    }));
    const result = await store.transact({
      part: partName(part),
      expected: [
        { ...holder, version: holderVersion },
        ...rows.map(({ expectedVersion }, index) => ({
          ...places[index]!,
          version: expectedVersion,
        })),
      ],
      writes: rows.flatMap(({ record }, index) =>
        record === null ? [] : [{ ...places[index]!, value: record }]
      ),
      removes: rows.flatMap(({ record }, index) =>
        record === null ? [places[index]!] : []
      ),
    });
    return outcomeOf(result, holderVersion);
  }

  function outcomeOf(
    result: TransactionResult,
    holderVersion: number,
  ): WriteOutcome {
    if (result.kind === "done") {
      return { kind: "written", version: result.version };
    }
    const holder = result.rows.find(({ table }) => table === HOLDERS_TABLE);
    if (holder !== undefined && holder.version !== holderVersion) {
      return { kind: "outranked" };
    }
    const records = result.rows.filter(({ table }) => table === RECORDS_TABLE);
    return { kind: "changed", records: records.flatMap(decode) };
  }

  return {
    async open({ term }) {
      try {
        return await openAll(term);
      } catch (error) {
        return { kind: "unavailable", detail: (error as Error).message };
      }
    },
    async write(effect) {
      try {
        return await writeAll(effect);
      } catch (error) {
        return { kind: "unknown", detail: (error as Error).message };
      }
    },
  };
}
