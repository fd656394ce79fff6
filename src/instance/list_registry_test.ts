import { test } from "node:test";
import { expect } from "earl";
import { createFakeStore } from "../host/fake_store.ts";
import type { StoreHost } from "./hosts.ts";
import { readRegisteredLists, registerList } from "./list_registry.ts";

function createStoreHost(): StoreHost {
  const store = createFakeStore();
  const resolveUnchanged = () =>
    Promise.resolve({ kind: "unchanged" as const });
  return {
    configuration: {
      read: resolveUnchanged,
      await: resolveUnchanged,
      compare: resolveUnchanged,
    },
    readWorkers: () => Promise.resolve([]),
    readEvacuations: () => Promise.resolve([]),
    async *readPages(tablePart) {
      yield await Promise.resolve(store.readRows(tablePart));
    },
    transact: (transaction) => Promise.resolve(store.transact(transaction)),
    close: () => Promise.resolve(),
  };
}

const list = { cell: "poa", version: 0, term: 7, digest: "abc" };

test("a registered list is read by the next leader", async () => {
  const store = createStoreHost();
  const registered = await registerList(store, list);
  expect(registered).toEqual([{ ...list, version: 1 }]);
  expect(await readRegisteredLists(store)).toEqual(registered);
});

// A late write of a leader that was replaced must not name its own list.
test("a list that another leader has registered meanwhile remains", async () => {
  const store = createStoreHost();
  const registered = await registerList(store, { ...list, term: 9 });
  expect(await registerList(store, list)).toEqual(registered);
  expect(await readRegisteredLists(store)).toEqual(registered);
});

test("a row that is not valid names no list and is replaced", async () => {
  const store = createStoreHost();
  const row = { table: "lists", key: "poa", value: { digest: 5 } };
  await store.transact({
    part: "",
    expected: [],
    writes: [row],
    removes: [],
  });
  const [before] = await readRegisteredLists(store);
  expect(before).toEqual({ cell: "poa", version: 1, term: 0, digest: null });
  const registered = await registerList(store, { ...list, version: 1 });
  expect(registered).toEqual([{ ...list, version: 2 }]);
});
