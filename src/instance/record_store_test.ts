import { test } from "node:test";
import { expect } from "earl";
import { partOf } from "../engine/records.ts";
import type { JobRecord } from "../engine/schemas.ts";
import { testStoredRecord } from "../engine/testing.ts";
import type { RecordsCheck, WriteOutcome } from "../engine/types.ts";
import { createFakeStoreHost, type FakeStoreHost } from "../host/fake_store.ts";
import type { JsonLog } from "./json_log.ts";
import { createRecordStore, type RecordStore } from "./record_store.ts";

const log: JsonLog = { write: () => {} };

function createOwner(
  store: FakeStoreHost,
  instanceId: string,
  availabilityZone = "poa",
): RecordStore {
  return createRecordStore(store, { log, instanceId, availabilityZone });
}

/** An empty write, as the owner of the records confirms its ownership. */
function confirm(owner: RecordStore, part = 0): Promise<WriteOutcome> {
  return owner.write({ type: "writeRecords", writeId: 1, part, rows: [] });
}

/** A record of a job that waits. */
const RECORD = testStoredRecord({ jobId: "b2" }).record;

function writeOf(
  record: JobRecord,
  expectedVersion: number,
): Parameters<RecordStore["write"]>[0] {
  const rows = [{ jobId: record.jobId, expectedVersion, record }];
  return { type: "writeRecords", writeId: 2, part: partOf(record.jobId), rows };
}

function open(
  owner: RecordStore,
  term: number,
  abandonedVersion: number | null = null,
) {
  return owner.open({ type: "openRecords", term, abandonedVersion });
}

/** The version of the holder row as another leader reads it. */
async function readVersion(store: FakeStoreHost): Promise<number | null> {
  const outcome = await createOwner(store, "reader").readHolder();
  return outcome.kind === "read" ? outcome.holder?.version ?? null : null;
}

const confirmations: { part: number; isSeen: boolean }[] = [
  { part: 0, isSeen: true },
  { part: 1, isSeen: false },
];

for (const { part, isSeen } of confirmations) {
  test(`other leaders ${isSeen ? "see" : "don't see"} a confirmation in part ${part}`, async () => {
    const store = createFakeStoreHost();
    const owner = createOwner(store, "a");
    await open(owner, 1);
    const before = await readVersion(store);
    expect(await confirm(owner, part)).toEqual({ kind: "written", version: 5 });
    expect(await readVersion(store) !== before).toEqual(isSeen);
    expect((await confirm(owner, part)).kind).toEqual("written");
  });
}

// The holder row then has a version that the owner was not told of, as if another
// owner had written it.
test("an owner whose confirmation was not answered remains the owner", async () => {
  const store = createFakeStoreHost();
  const owner = createOwner(store, "a");
  await open(owner, 1);
  store.loseAnswers = 1;
  expect((await confirm(owner)).kind).toEqual("unknown");
  expect(await confirm(owner)).toEqual({ kind: "changed", records: [] });
  expect((await confirm(owner)).kind).toEqual("written");
});

test("an owner that was replaced learns the zone of the next one", async () => {
  const store = createFakeStoreHost();
  const owner = createOwner(store, "a");
  await open(owner, 1);
  await open(createOwner(store, "b", "caxias"), 2);
  const availabilityZone = "caxias";
  expect(await confirm(owner)).toEqual({ kind: "outranked", availabilityZone });
});

// The same instance may own the records again under a later term.
test("a late confirmation of an earlier term doesn't count for a later one", async () => {
  const store = createFakeStoreHost();
  const owner = createOwner(store, "a");
  await open(owner, 1);
  const late = confirm(owner);
  await open(owner, 2);
  await late;
  expect((await confirm(owner)).kind).toEqual("written");
});

const takeovers: { name: string; confirms: boolean; outcome: string }[] = [
  { name: "has not confirmed", confirms: false, outcome: "opened" },
  { name: "confirms just before", confirms: true, outcome: "outranked" },
];

for (const { name, confirms, outcome } of takeovers) {
  test(`a takeover from an owner that ${name}: ${outcome}`, async () => {
    const store = createFakeStoreHost();
    const owner = createOwner(store, "a");
    await open(owner, 1);
    const abandonedVersion = await readVersion(store);
    if (confirms) await confirm(owner);
    const result = await open(createOwner(store, "b"), 2, abandonedVersion);
    expect(result.kind as string).toEqual(outcome);
    const next = [0, 1, 2, 3].map((part) => confirm(owner, part));
    const kinds = new Set((await Promise.all(next)).map(({ kind }) => kind));
    expect([...kinds]).toEqual([confirms ? "written" : "outranked"]);
  });
}

test("a store that no instance has owned the records in has no holder", async () => {
  const outcome = await createOwner(createFakeStoreHost(), "a").readHolder();
  expect(outcome).toEqual({ kind: "read", holder: null });
});

// One lost answer among a dozen calls failed the whole takeover (steps 46).
test("a takeover reads the records of a part once more if the first read fails", async () => {
  const store = createFakeStoreHost();
  let failures = 1;
  const owner = createOwner({
    ...store,
    async *readPages(tablePart) {
      if (tablePart.table === "jobs" && failures > 0) {
        failures -= 1;
        throw new Error("the answer was lost");
      }
      yield* store.readPages(tablePart);
    },
  }, "a");
  expect((await open(owner, 1)).kind).toEqual("opened");
  failures = 2;
  expect((await open(owner, 2)).kind).toEqual("opened");
  failures = 8;
  expect((await open(owner, 3)).kind).toEqual("unavailable");
});

const recordFlags: {
  name: string;
  prepare: (store: FakeStoreHost) => Promise<unknown>;
  kind: RecordsCheck["kind"];
}[] = [
  { name: "nobody has owned", prepare: () => Promise.resolve(), kind: "none" },
  {
    name: "an owner has opened",
    prepare: (store) => open(createOwner(store, "a"), 1),
    kind: "none",
  },
  {
    name: "an owner confirms",
    prepare: async (store) => {
      const owner = createOwner(store, "a");
      await open(owner, 1);
      await confirm(owner);
    },
    kind: "none",
  },
  {
    name: "two owners have opened in turn",
    prepare: async (store) => {
      await open(createOwner(store, "a"), 1);
      await open(createOwner(store, "b"), 2);
    },
    kind: "none",
  },
  {
    name: "an owner of a release without the flag has opened",
    prepare: (store) =>
      store.transact({
        part: "p2",
        expected: [],
        writes: [{
          table: "holders",
          key: "records",
          value: { term: 1, instanceId: "a", availabilityZone: "poa" },
        }],
        removes: [],
      }),
    kind: "mayExist",
  },
  {
    name: "an owner has written to",
    prepare: async (store) => {
      const owner = createOwner(store, "a");
      await open(owner, 1);
      await owner.write(writeOf(RECORD, 0));
    },
    kind: "mayExist",
  },
  {
    name: "a write without an answer has reached, before another owner",
    prepare: async (store) => {
      const owner = createOwner(store, "a");
      await open(owner, 1);
      store.loseAnswers = 1;
      await owner.write(writeOf(RECORD, 0));
      await open(createOwner(store, "b"), 2);
    },
    kind: "mayExist",
  },
];

// Guards against completions of recorded jobs that are discarded as unknown.
for (const { name, prepare, kind } of recordFlags) {
  test(`records that ${name}: ${kind}`, async () => {
    const store = createFakeStoreHost();
    await prepare(store);
    expect((await createOwner(store, "reader").check()).kind).toEqual(kind);
  });
}

test("an owner whose first write was not answered writes again", async () => {
  const store = createFakeStoreHost();
  const owner = createOwner(store, "a");
  await open(owner, 1);
  store.loseAnswers = 1;
  expect((await owner.write(writeOf(RECORD, 0))).kind).toEqual("unknown");
  const changed = await owner.write(writeOf(RECORD, 0));
  expect(changed.kind).toEqual("changed");
  const version = changed.kind === "changed"
    ? changed.records[0]?.version ?? 0
    : 0;
  expect((await owner.write(writeOf(RECORD, version))).kind).toEqual("written");
});
