/**
 * A store of rows for randomised runs and tests: transactions with expected
 * versions, outages, answers that are lost, and writes carried out late.
 */

import type {
  StoreRow,
  StoreTransaction,
  TransactionResult,
} from "../src/instance/hosts.ts";

interface StoredRow extends StoreRow {
  readonly part: string;
}

/** Rows and their versions. */
export interface FakeStore {
  readonly readRows: (
    place: { readonly table: string; readonly part: string },
  ) => StoreRow[];
  readonly transact: (transaction: StoreTransaction) => TransactionResult;
}

function idOf(part: string, { table, key }: { table: string; key: string }) {
  return JSON.stringify([part, table, key]);
}

/** Creates an empty store. */
export function createFakeStore(): FakeStore {
  const rows = new Map<string, StoredRow>();
  let version = 0;

  return {
    readRows: ({ table, part }) =>
      [...rows.values()].filter((row) =>
        row.table === table && row.part === part
      ),
    transact({ part, expected, writes, removes }) {
      const differs = expected.some((row) =>
        (rows.get(idOf(part, row))?.version ?? 0) !== row.version
      );
      if (differs) {
        const present = expected.map((row) => rows.get(idOf(part, row)));
        return {
          kind: "conflict",
          rows: present.filter((row) => row !== undefined),
        };
      }
      version += 1;
      for (const { table, key, value } of writes) {
        // What is stored must not change with the writer's objects.
        const copy: unknown = JSON.parse(JSON.stringify(value));
        const row = { table, part, key, value: copy, version };
        rows.set(idOf(part, row), row);
      }
      for (const row of removes) rows.delete(idOf(part, row));
      return { kind: "done", version };
    },
  };
}
