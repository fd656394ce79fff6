/**
 * Persists job records in tables of the store. Each part has a holder row that
 * names the leader that owns the part, and its term. Every write requires the
 * holder row to have the version that the leader wrote, so that a leader which
 * lost the part can no longer write.
 */

import VError from "verror";
import { z } from "zod";
import { RECORD_PART_NUMBERS, WATCHED_PART } from "../engine/records.ts";
import { jobRecordSchema } from "../engine/schemas.ts";
import type {
  HolderOutcome,
  OpenOutcome,
  RecordsCheck,
  StoredRecord,
  WriteOutcome,
} from "../engine/types.ts";
import {
  type EffectOf,
  readRows,
  type StoreHost,
  type StoreRow,
} from "./hosts.ts";
import type { JsonLog } from "./json_log.ts";

const RECORDS_TABLE = "jobs";
/** The row of each part that names the leader which owns the part. */
const HOLDER_ROW = { table: "holders", key: "records" } as const;
/**
 * Maximum attempts to claim a part. An attempt fails if another instance writes
 * the holder row after this one has read it.
 */
const MAX_CLAIM_ATTEMPTS = 3;

const holderSchema = z.object({
  term: z.number(),
  instanceId: z.string(),
  /** Absent in rows of releases that did not store it. */
  availabilityZone: z.string().nullable().default(null),
  /**
   * Whether the part has had records since its holder row was first written;
   * absent in rows of releases that did not store it. It is written together with
   * the first record, so that false proves that there is none.
   */
  hasRecords: z.boolean().nullable().default(null),
});

/** Opens and writes records. The promises never reject. */
export interface RecordStore {
  /** Calls `onClaimed` once the instance owns the records, then reads them. */
  readonly open: (
    effect: EffectOf<"openRecords">,
    onClaimed?: () => void,
  ) => Promise<OpenOutcome>;
  /** Reads which instance owns the records. */
  readonly readHolder: () => Promise<HolderOutcome>;
  /** Asks whether any part has had records; see `RecordsCheck`. */
  readonly check: () => Promise<RecordsCheck>;
  readonly write: (effect: EffectOf<"writeRecords">) => Promise<WriteOutcome>;
}

/** The outcome of claiming a part; `term` is that of the part's owner. */
type ClaimResult =
  | {
    readonly kind: "claimed";
    readonly version: number;
    readonly hasRecords: boolean | null;
  }
  | { readonly kind: "outranked"; readonly term: number };

function partName(part: number): string {
  return `p${part}`;
}

/**
 * Returns what a holder row says of records. Without a row, no release has ever
 * owned the part, so that it has none.
 */
function recordFlagOf(row: StoreRow | undefined): boolean | null {
  if (row === undefined) return false;
  const holder = holderSchema.safeParse(row.value);
  return holder.success ? holder.data.hasRecords : null;
}

/** Creates the record store of an instance on top of a store. */
export function createRecordStore(
  store: StoreHost,
  { log, instanceId, availabilityZone }: {
    log: JsonLog;
    instanceId: string;
    availabilityZone: string;
  },
): RecordStore {
  /** By part, the version of the holder row that this instance wrote. */
  let holderVersions: number[] = [];
  /** By part, what that row says of records; null if it doesn't say. */
  let recordFlags: (boolean | null)[] = [];
  /** The term under which this instance opened the records last. */
  let ownTerm = 0;

  /** The holder row of a part that this instance owns. */
  function holderRowOf(term: number, hasRecords: boolean | null) {
    return {
      ...HOLDER_ROW,
      value: { term, instanceId, availabilityZone, hasRecords },
    };
  }

  async function readHolderRow(part: number): Promise<StoreRow | undefined> {
    const rows = await readRows(store, {
      table: HOLDER_ROW.table,
      part: partName(part),
    });
    return rows.find(({ key }) => key === HOLDER_ROW.key);
  }

  /**
   * Writes the holder row of a part, unless it names an equal or higher term, or
   * is not the one by which the owner counts as lost.
   */
  async function claimPart(
    part: number,
    { term, abandonedVersion = null }: {
      term: number;
      abandonedVersion?: number | null;
    },
  ): Promise<ClaimResult> {
    for (let attempt = 0; attempt < MAX_CLAIM_ATTEMPTS; attempt += 1) {
      const row = await readHolderRow(part);
      const holder = holderSchema.safeParse(row?.value);
      const holderTerm = holder.success ? holder.data.term : 0;
      const hasRecords = recordFlagOf(row);
      if (holderTerm > term) return { kind: "outranked", term: holderTerm };
      if (row !== undefined && holderTerm === term) {
        // If the row is our own, an earlier claim took effect, but its response
        // was lost.
        const isOwn = holder.success && holder.data.instanceId === instanceId;
        return isOwn
          ? { kind: "claimed", version: row.version, hasRecords }
          : { kind: "outranked", term };
      }
      if (abandonedVersion !== null && row?.version !== abandonedVersion) {
        return { kind: "outranked", term: holderTerm };
      }
      const result = await store.transact({
        part: partName(part),
        expected: [{ ...HOLDER_ROW, version: row?.version ?? 0 }],
        writes: [holderRowOf(term, hasRecords)],
        removes: [],
      });
      if (result.kind === "done") {
        return { kind: "claimed", version: result.version, hasRecords };
      }
    }
    throw new Error(
      "cannot claim a part of the records: another instance wrote its holder row during each attempt",
    );
  }

  function decodeRecord(row: StoreRow): StoredRecord[] {
    const parsed = jobRecordSchema.safeParse(row.value);
    if (parsed.success) {
      return [{ record: parsed.data, version: row.version }];
    }
    log.write("error", {
      part: "records",
      text: "invalid record skipped",
      fields: { jobId: row.key, detail: parsed.error.message },
    });
    return [];
  }

  /**
   * Claims parts. The watched one comes first if its owner counts as lost, so that
   * nothing is taken from an owner that turns out to be alive.
   */
  async function claimAll(
    { term, abandonedVersion }: {
      term: number;
      abandonedVersion: number | null;
    },
  ): Promise<ClaimResult[]> {
    const watched = abandonedVersion === null
      ? null
      : await claimPart(WATCHED_PART, { term, abandonedVersion });
    if (watched?.kind === "outranked") return [watched];
    return await Promise.all(
      RECORD_PART_NUMBERS.map((part) =>
        part === WATCHED_PART && watched !== null
          ? watched
          : claimPart(part, { term })
      ),
    );
  }

  /** Claims all parts, then reads their records. */
  async function openAllParts(
    { term, abandonedVersion }: EffectOf<"openRecords">,
    onClaimed: () => void,
  ): Promise<OpenOutcome> {
    ownTerm = term;
    const claimResults = await claimAll({ term, abandonedVersion });
    const versions: number[] = [];
    const flags: (boolean | null)[] = [];
    for (const result of claimResults) {
      if (result.kind === "outranked") return result;
      versions.push(result.version);
      flags.push(result.hasRecords);
    }
    holderVersions = versions;
    recordFlags = flags;
    onClaimed();
    const records = await Promise.all(
      RECORD_PART_NUMBERS.map(readRecordsTwice),
    );
    return { kind: "opened", records: records.flat() };
  }

  /**
   * Reads the records of a part, and once more if that fails: a single answer may
   * be lost, and the store has just answered other calls.
   */
  async function readRecordsTwice(part: number): Promise<StoredRecord[]> {
    try {
      return await readRecords(part);
    } catch (error) {
      log.write("warn", {
        part: "records",
        text: "reading records failed; reading them once more",
        fields: { detail: (error as Error).message },
      });
      return await readRecords(part);
    }
  }

  /** Reads the records of a part, and decodes them page by page. */
  async function readRecords(part: number): Promise<StoredRecord[]> {
    const records: StoredRecord[] = [];
    const tablePart = { table: RECORDS_TABLE, part: partName(part) };
    for await (const page of store.readPages(tablePart)) {
      for (const row of page) records.push(...decodeRecord(row));
    }
    return records;
  }

  /**
   * Writes or removes records of one part in a single transaction. In the watched
   * part, it also gives the holder row a new version; in any part, the first
   * record is written together with the holder row that tells of records.
   */
  async function writeBatch(
    { part, rows }: EffectOf<"writeRecords">,
  ): Promise<WriteOutcome> {
    const holderVersion = holderVersions[part] ?? 0;
    const writesRecord = rows.some(({ record }) => record !== null);
    const hasRecords = writesRecord || (recordFlags[part] ?? null);
    const writesHolder = part === WATCHED_PART ||
      hasRecords !== (recordFlags[part] ?? null);
    const recordRowKeys = rows.map(({ jobId }) => ({
      table: RECORDS_TABLE,
      key: jobId,
    }));
    const result = await store.transact({
      part: partName(part),
      expected: [
        { ...HOLDER_ROW, version: holderVersion },
        ...rows.map(({ expectedVersion }, index) => ({
          ...recordRowKeys[index]!,
          version: expectedVersion,
        })),
      ],
      writes: [
        ...(writesHolder ? [holderRowOf(ownTerm, hasRecords)] : []),
        ...rows.flatMap(({ record }, index) =>
          record === null ? [] : [{ ...recordRowKeys[index]!, value: record }]
        ),
      ],
      removes: rows.flatMap(({ record }, index) =>
        record === null ? [recordRowKeys[index]!] : []
      ),
    });
    if (result.kind === "invalid") return result;
    if (result.kind === "conflict") {
      return toRejection(result.rows, { part, holderVersion });
    }
    const { version } = result;
    if (writesHolder) {
      adoptHolderRow(part, { from: holderVersion, version, hasRecords });
    }
    return { kind: "written", version };
  }

  /** Uses a new version of the holder row, unless the part was opened anew. */
  function adoptHolderRow(
    part: number,
    { from, version, hasRecords }: {
      from: number;
      version: number;
      hasRecords: boolean | null;
    },
  ): void {
    if (holderVersions[part] !== from) return;
    holderVersions[part] = version;
    recordFlags[part] = hasRecords;
  }

  /**
   * Asks by a transaction, not by a read, which may be out of date: it expects
   * that the part has no holder row, and is answered with the present one.
   */
  async function hadNoRecords(part: number): Promise<boolean> {
    const result = await store.transact({
      part: partName(part),
      expected: [{ ...HOLDER_ROW, version: 0 }],
      writes: [],
      removes: [],
    });
    if (result.kind === "done") return true;
    if (result.kind === "invalid") {
      throw new VError("check of the records refused: %s", result.detail);
    }
    const row = result.rows.find(({ table }) => table === HOLDER_ROW.table);
    return row !== undefined && recordFlagOf(row) === false;
  }

  function toRejection(
    rows: readonly StoreRow[],
    { part, holderVersion }: { part: number; holderVersion: number },
  ): WriteOutcome {
    const row = rows.find(({ table }) => table === HOLDER_ROW.table);
    if (row !== undefined && row.version !== holderVersion) {
      const holder = holderSchema.safeParse(row.value);
      // An earlier write of this owner took effect, but its response was lost.
      const isOwn = holder.success && holder.data.instanceId === instanceId &&
        holder.data.term === ownTerm;
      if (!isOwn) {
        const zone = holder.success ? holder.data.availabilityZone : null;
        return { kind: "outranked", availabilityZone: zone };
      }
      const { version } = row;
      const hasRecords = recordFlagOf(row);
      adoptHolderRow(part, { from: holderVersion, version, hasRecords });
    }
    const records = rows.filter(({ table }) => table === RECORDS_TABLE);
    return { kind: "changed", records: records.flatMap(decodeRecord) };
  }

  return {
    async open(effect, onClaimed = () => {}) {
      try {
        return await openAllParts(effect, onClaimed);
      } catch (error) {
        return { kind: "unavailable", detail: (error as Error).message };
      }
    },
    async readHolder() {
      try {
        const row = await readHolderRow(WATCHED_PART);
        const holder = holderSchema.safeParse(row?.value);
        if (row === undefined || !holder.success) {
          return { kind: "read", holder: null };
        }
        const { version } = row;
        return { kind: "read", holder: { ...holder.data, version } };
      } catch (error) {
        return { kind: "unavailable", detail: (error as Error).message };
      }
    },
    async check() {
      try {
        const answers = await Promise.all(
          RECORD_PART_NUMBERS.map(hadNoRecords),
        );
        return {
          kind: answers.every((isEmpty) => isEmpty) ? "none" : "mayExist",
        };
      } catch (error) {
        return { kind: "unavailable", detail: (error as Error).message };
      }
    },
    async write(effect) {
      try {
        return await writeBatch(effect);
      } catch (error) {
        return { kind: "unknown", detail: (error as Error).message };
      }
    },
  };
}
