/**
 * A store in memory, for tests and stand-ins: transactions with expected
 * versions, of which answers can be lost.
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

/** A store whose failures a test sets. */
export interface FakeStoreHost extends StoreHost {
  /** So many transactions take effect, and their answers are lost. */
  loseAnswers: number;
  /** Every call fails. */
  down: boolean;
}

/** Creates an empty store behind the interface of an instance. */
export function createFakeStoreHost(): FakeStoreHost {
  const store = createFakeStore();

  async function call<T>(run: () => T): Promise<T> {
    if (host.down) throw new Error("down");
    return await run();
  }

  const host: FakeStoreHost = {
    loseAnswers: 0,
    down: false,
    readConfiguration: () => call(() => null),
    awaitConfiguration: () => call(() => null),
    readWorkers: () => call(() => []),
    readRows: (place) => call(() => store.readRows(place)),
    transact: (transaction) =>
      call(() => {
        const result = store.transact(transaction);
        if (host.loseAnswers === 0) return result;
        host.loseAnswers -= 1;
        throw new Error("the answer was lost");
      }),
    close: () => Promise.resolve(),
  };
  return host;
}
