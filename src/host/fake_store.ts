/**
 * An in-memory store for tests and stand-ins. Transactions check expected row
 * versions; responses to transactions can be dropped on demand.
 */

import type {
  StoreHost,
  StoreRow,
  StoreTransaction,
  TransactionResult,
} from "../instance/hosts.ts";

interface StoredRow extends StoreRow {
  readonly part: string;
}

/** An in-memory table store with versioned rows. */
export interface FakeStore {
  readonly readRows: (
    tablePart: { readonly table: string; readonly part: string },
  ) => StoreRow[];
  readonly transact: (transaction: StoreTransaction) => TransactionResult;
}

function rowId(part: string, { table, key }: { table: string; key: string }) {
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
      const hasConflict = expected.some((row) =>
        (rows.get(rowId(part, row))?.version ?? 0) !== row.version
      );
      if (hasConflict) {
        const currentRows = expected.map((row) => rows.get(rowId(part, row)));
        return {
          kind: "conflict",
          rows: currentRows.filter((row) => row !== undefined),
        };
      }
      version += 1;
      for (const { table, key, value } of writes) {
        // A copy, so that later changes to the writer's object don't reach the
        // stored row.
        const copy: unknown = JSON.parse(JSON.stringify(value));
        const row = { table, part, key, value: copy, version };
        rows.set(rowId(part, row), row);
      }
      for (const row of removes) rows.delete(rowId(part, row));
      return { kind: "done", version };
    },
  };
}

/** A fake store host with failures that tests switch on. */
export interface FakeStoreHost extends StoreHost {
  /**
   * The number of upcoming transactions that are executed but whose calls
   * reject, as if the response had been lost.
   */
  loseAnswers: number;
  /** Whether every call except `close` rejects. */
  down: boolean;
}

/** Creates an empty fake store that implements `StoreHost`. */
export function createFakeStoreHost(): FakeStoreHost {
  const store = createFakeStore();

  async function callUnlessDown<T>(operation: () => T): Promise<T> {
    if (host.down) throw new Error("fake store is down");
    return await operation();
  }

  const answerUnchanged = () =>
    callUnlessDown(() => ({ kind: "unchanged" as const }));

  const host: FakeStoreHost = {
    loseAnswers: 0,
    down: false,
    configuration: {
      read: answerUnchanged,
      await: answerUnchanged,
      compare: answerUnchanged,
    },
    readWorkers: () => callUnlessDown(() => []),
    readEvacuations: () => callUnlessDown(() => []),
    async *readPages(tablePart) {
      yield await callUnlessDown(() => store.readRows(tablePart));
    },
    transact: (transaction) =>
      callUnlessDown(() => {
        const result = store.transact(transaction);
        if (host.loseAnswers === 0) return result;
        host.loseAnswers -= 1;
        throw new Error("transaction was executed but its response was lost");
      }),
    close: () => Promise.resolve(),
  };
  return host;
}
