import { test } from "node:test";
import { expect } from "earl";
import {
  type BudgetCounts,
  costOfRequest,
  decideRequest,
  deriveClientLimits,
  excessOf,
  mustPause,
  stallOf,
} from "./client_limits.ts";

const MB = 1_048_576;
const smallest = deriveClientLimits({
  maxFds: 2_212,
  heapBytes: 160 * MB,
  memoryBytes: 210 * MB,
});
const { callers } = smallest;

function used(share: number, addressShare = share): BudgetCounts {
  const { maxCostBytes } = smallest;
  return {
    maxCostBytes,
    costBytes: share * maxCostBytes,
    addressCostBytes: addressShare * maxCostBytes,
  };
}

const requestCases = [
  { name: "a single request is answered", open: 1, decision: "admit" },
  {
    name: "a single request is answered while pipelining ones have their share",
    open: 1,
    budget: used(0.8, 0.1),
    decision: "admit",
  },
  {
    name: "requests beyond those being answered wait",
    open: 33,
    decision: "defer",
  },
  {
    name: "too many requests end their connection",
    open: 513,
    decision: "close",
  },
  {
    name: "a pipelined request is refused above its share",
    open: 2,
    budget: used(0.8, 0.1),
    decision: "refuse",
  },
  {
    name: "a request is refused above the share of its address",
    open: 1,
    budget: used(0.8),
    decision: "refuse",
  },
  {
    name: "a single request is refused above the budget, not closed",
    open: 1,
    budget: used(1.5, 0.1),
    decision: "refuse",
  },
  {
    name: "a pipelining connection is closed far above the budget",
    open: 2,
    budget: used(1.3, 0.1),
    decision: "close",
  },
] as const;

for (const { name, open, decision, ...rest } of requestCases) {
  test(`client limits: ${name}`, () => {
    const counts = { open, running: Math.min(open - 1, callers.maxRunning) };
    const budget = "budget" in rest ? rest.budget : used(0.1);
    expect(decideRequest(counts, budget, callers)).toEqual(decision);
  });
}

// A body would never complete if its connection was not read.
test("client limits: a connection with one open request is always read", () => {
  expect(mustPause({ running: 1, open: 1 }, used(2), callers)).toEqual(false);
});

test("client limits: reading stops before requests are refused", () => {
  const counts = { running: 2, open: 2 };
  expect(mustPause(counts, used(0.6), callers)).toEqual(true);
  expect(decideRequest(counts, used(0.6), callers)).toEqual("admit");
  const busy = { running: 32, open: 32 };
  expect(mustPause(busy, used(0.1), callers)).toEqual(true);
});

test("client limits: an address can't take all connections", () => {
  const { maxConnections } = callers;
  const share = Math.floor(0.75 * maxConnections);
  const excess = (connections: number, ofAddress: number) =>
    excessOf({ connections, ofAddress }, callers);
  expect(excess(share, share)).toEqual(null);
  expect(excess(share + 1, share + 1)).toEqual("address");
  expect(excess(maxConnections + 1, 1)).toEqual("listener");
});

const stallCases = [
  {
    open: 0,
    hasPartialHeader: true,
    hasUnread: false,
    stalledMs: 5_000,
    reason: "headerIncomplete",
  },
  {
    open: 0,
    hasPartialHeader: true,
    hasUnread: false,
    stalledMs: 3_000,
    reason: null,
  },
  {
    open: 0,
    hasPartialHeader: false,
    hasUnread: false,
    stalledMs: 60_000,
    reason: null,
  },
  {
    open: 1,
    hasPartialHeader: true,
    hasUnread: false,
    stalledMs: 60_000,
    reason: null,
  },
  {
    open: 1,
    hasPartialHeader: false,
    hasUnread: true,
    stalledMs: 10_000,
    reason: "answersUnread",
  },
  {
    open: 9,
    hasPartialHeader: false,
    hasUnread: true,
    stalledMs: 9_000,
    reason: null,
  },
] as const;

for (const { reason, ...progress } of stallCases) {
  test(`client limits: ${JSON.stringify(progress)} gives ${reason}`, () => {
    expect(stallOf(progress, callers)).toEqual(reason);
  });
}

// docs/design/untrusted-clients.md has the same sums.
test("client limits: the sums are below the resources of the smallest machine", () => {
  const { peers, probes, maxCostBytes, maxJobBytesAtLeader } = smallest;
  const listeners = callers.maxConnections + 2 * probes.maxConnections +
    2 * peers.maxConnections + 3 * 32;
  // The connections to 99 workers of one cell, and to the store.
  const calls = 99 * 6 + 16;
  expect(listeners + calls).toSatisfy((sum) => sum <= 2_212 - 200);
  const heap = 1.25 * maxCostBytes + maxJobBytesAtLeader +
    peers.maxIncompleteLength;
  expect(heap).toSatisfy((sum) => sum < 0.9 * 160 * MB);
});

/** A chunk that Node reads at a time, and the shortest request that counts. */
const CHUNK_BYTES = 65_536;
const MIN_REQUEST_BYTES = "GET / HTTP/1.1\r\nHost:\r\n\r\n".length;
const MIN_REQUEST_COST_BYTES = costOfRequest({
  contentLength: 0,
  isChunked: false,
  receivedBytes: 0,
});

for (const connections of [1, 8, 60, 300, callers.maxConnections]) {
  test(`client limits: ${connections} connections that send ahead fit the heap`, () => {
    const { peers, maxCostBytes, maxJobBytesAtLeader } = smallest;
    const perChunk = Math.floor(CHUNK_BYTES / MIN_REQUEST_BYTES);
    const inTurn = Math.min(
      connections * perChunk,
      callers.maxRequestsPerTurn + perChunk,
    );
    const heap = 1.25 * maxCostBytes + inTurn * MIN_REQUEST_COST_BYTES +
      maxJobBytesAtLeader + peers.maxIncompleteLength;
    expect(heap).toSatisfy((sum) => sum < 160 * MB);
  });
}

test("client limits: an announcement of any length leaves most of the budget", () => {
  const costBytes = costOfRequest({
    contentLength: 1e15,
    isChunked: false,
    receivedBytes: 100,
  });
  expect(costBytes).toSatisfy((cost) => cost < 0.2 * smallest.maxCostBytes);
});

// 1,000 callers with a job of the documented size each, at a time, are ordinary.
test("client limits: ordinary jobs fit the budget", () => {
  const costBytes = costOfRequest({
    contentLength: 4_300,
    isChunked: false,
    receivedBytes: 4_600,
  });
  expect(1_000 * costBytes).toSatisfy((sum) =>
    sum < 0.75 * smallest.maxCostBytes
  );
});
