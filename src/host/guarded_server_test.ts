import { once } from "node:events";
import { createServer, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { expect } from "earl";
import { deriveClientLimits, type ListenerLimits } from "./client_limits.ts";
import {
  type ClientBudget,
  createClientBudget,
  GUARDED_SERVER_OPTIONS,
  guardServer,
} from "./guarded_server.ts";
import { readText } from "./http_body.ts";
import { drainServer, type TrackedServer } from "./request_tracker.ts";

const { callers } = deriveClientLimits({
  maxFds: 2_212,
  heapBytes: 160 * 1_048_576,
  memoryBytes: Infinity,
});

interface Setup {
  readonly tracked: TrackedServer;
  readonly budget: ClientBudget;
  readonly lines: Record<string, unknown>[];
  /** The responses that the handler got and has not answered. */
  readonly handled: ServerResponse[];
  readonly open: () => Promise<Socket>;
  readonly close: () => void;
}

async function setUp(
  { limits = {}, maxCostBytes = 30_000_000 }: {
    limits?: Partial<ListenerLimits>;
    maxCostBytes?: number;
  } = {},
): Promise<Setup> {
  const budget = createClientBudget({ maxCostBytes });
  const handled: ServerResponse[] = [];
  const lines: Record<string, unknown>[] = [];
  const server = createServer(GUARDED_SERVER_OPTIONS, (request, response) => {
    request.resume();
    handled.push(response);
    response.once("close", () => {
      const index = handled.indexOf(response);
      if (index >= 0) handled.splice(index, 1);
    });
  });
  const tracked = guardServer(server, {
    listener: "callers",
    limits: { ...callers, ...limits },
    budget,
    log: { write: (_level, { fields = {} }) => void lines.push(fields) },
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const sockets: Socket[] = [];
  return {
    tracked,
    budget,
    lines,
    handled,
    async open() {
      const socket = connect(port, "127.0.0.1");
      socket.on("error", () => {});
      sockets.push(socket);
      await once(socket, "connect");
      return socket;
    },
    close() {
      for (const socket of sockets) socket.destroy();
      server.closeAllConnections();
      server.close();
    },
  };
}

const GET = "GET / HTTP/1.1\r\nhost: h\r\n\r\n";

async function waitFor(condition: () => boolean): Promise<void> {
  while (!condition()) await delay(2);
}

function valueOf(budget: ClientBudget, name: string, label = ""): number {
  const found = budget.values()
    .find(([other, labels]) => other === name && labels.includes(label));
  return found?.[2] ?? 0;
}

// All requests of a chunk were handled at once, however many had no answer.
test("a connection has a bounded number of requests answered at a time", async () => {
  const { tracked, handled, open, close, budget } = await setUp();
  const socket = await open();
  let text = "";
  socket.on("data", (chunk) => text += String(chunk));
  socket.write(GET.repeat(100));
  await waitFor(() => tracked.openCount() === 100);
  expect(handled.length).toEqual(32);
  let answered = 0;
  while (answered < 100) {
    await waitFor(() => handled.length > 0);
    handled.shift()?.end(`${answered},`);
    answered += 1;
  }
  await waitFor(() => text.includes("99,"));
  expect(tracked.openCount()).toEqual(0);
  expect(valueOf(budget, "clientBytesHeld")).toEqual(0);
  close();
});

// Node resumes a paused connection after each request and to read a body.
test("a connection with unanswered requests is not read", async () => {
  const { tracked, handled, open, close, budget } = await setUp();
  const socket = await open();
  const body = "b".repeat(20_000);
  const post =
    `POST / HTTP/1.1\r\nhost: h\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
  for (let count = 0; count < 500; count += 1) socket.write(post);
  await delay(300);
  expect(tracked.openCount()).toSatisfy((count) => count < 40);
  expect(valueOf(budget, "clientConnectionsPaused")).toEqual(1);
  let answered = 0;
  socket.resume();
  while (answered < 500) {
    await waitFor(() => handled.length > 0);
    handled.shift()?.end("x");
    answered += 1;
  }
  await waitFor(() => tracked.openCount() === 0);
  close();
});

// What the chunks of many connections brought in one turn of the event loop was
// above the heap, and closed connections kept their memory until its end.
test("the requests of one turn of the event loop are bounded", async () => {
  const limits = { maxRequestsPerTurn: 30 };
  const { tracked, handled, open, close, budget } = await setUp({ limits });
  let inTurn = 0;
  let maxInTurn = 0;
  tracked.server.prependListener("request", () => {
    if (inTurn === 0) setImmediate(() => inTurn = 0);
    inTurn += 1;
    maxInTurn = Math.max(maxInTurn, inTurn);
  });
  const sockets: Socket[] = [];
  for (let index = 0; index < 12; index += 1) sockets.push(await open());
  for (const socket of sockets) {
    socket.resume();
    socket.write(GET.repeat(20));
  }
  for (let answered = 0; answered < 12 * 20; answered += 1) {
    await waitFor(() => handled.length > 0);
    handled.shift()?.end("x");
  }
  expect(maxInTurn).toSatisfy((count) => count < 30 + 20);
  expect(valueOf(budget, "clientReadsDelayed")).toSatisfy((count) => count > 0);
  close();
});

// Connections that sent chunks of one byte left no time for other callers.
for (const slowReadIntervalMs of [1, 1e6]) {
  const pace = slowReadIntervalMs > 1 ? "not before a pause" : "in turn";
  test(`bodies of many small chunks are read ${pace}, others at once`, async () => {
    const limits = { maxChunksPerTurn: 100, slowReadIntervalMs };
    const { tracked, handled, open, close } = await setUp({ limits });
    let chunkCount = 0;
    tracked.server.prependListener("request", (request) => {
      readText(request, 1e6).catch(() => {});
      request.on("data", () => chunkCount += 1);
    });
    const sockets: Socket[] = [];
    for (let index = 0; index < 6; index += 1) {
      const socket = await open();
      sockets.push(socket);
      socket.write(
        "POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n",
      );
    }
    await waitFor(() => handled.length === 6);
    for (const socket of sockets) socket.write("1\r\nc\r\n".repeat(3_000));
    await waitFor(() => chunkCount > 0);
    const ordinary = await open();
    ordinary.write(GET);
    await waitFor(() => handled.length === 7);
    if (slowReadIntervalMs > 1) {
      expect(chunkCount).toSatisfy((count) => count <= 3_000);
    } else await waitFor(() => chunkCount === 6 * 3_000);
    close();
  });
}

test("a refused request with a chunked body ends its connection", async () => {
  const { open, close } = await setUp({ maxCostBytes: 10_000 });
  const socket = await open();
  socket.write(
    "POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n1\r\n",
  );
  const [answer] = await once(socket, "data");
  expect(String(answer)).toSatisfy((text) =>
    String(text).startsWith("HTTP/1.1 503")
  );
  await once(socket, "close");
  close();
});

// Node answers a request that expects something unknown without a listener.
for (const extra of ["", "expect: x\r\n"]) {
  test(`too many parsed requests ${extra.trim()} end their connection, with one line`, async () => {
    const { tracked, handled, open, close, budget, lines } = await setUp();
    const socket = await open();
    socket.resume();
    socket.write(`GET / HTTP/1.1\r\nhost: h\r\n${extra}\r\n`.repeat(1_500));
    await once(socket, "close");
    await waitFor(() => tracked.openCount() === 0);
    expect(handled).toEqual([]);
    expect(valueOf(budget, "clientBytesHeld")).toEqual(0);
    expect(valueOf(budget, "clientConnectionsClosed", "requests")).toEqual(1);
    expect(lines.map(({ reason }) => reason)).toEqual(["requests"]);
    close();
  });
}

// Node reports the end of a connection for the first of its requests only.
test("each request of a closed connection is reported as closed", async () => {
  const { tracked, handled, open, close } = await setUp();
  const socket = await open();
  socket.write(GET.repeat(20));
  await waitFor(() => handled.length === 20);
  socket.destroy();
  await waitFor(() => handled.length === 0 && tracked.openCount() === 0);
  close();
});

test("requests above the budget are refused with 503, later ones served", async () => {
  const { handled, open, close } = await setUp({ maxCostBytes: 10_000 });
  const [first, second] = [await open(), await open()];
  first.write(GET);
  await waitFor(() => handled.length === 1);
  second.write(GET);
  await delay(20);
  second.write(GET);
  const [answer] = await once(second, "data");
  expect(String(answer)).toSatisfy((text) =>
    String(text).startsWith("HTTP/1.1 503") &&
    String(text).includes("retry-after: 1")
  );
  expect(handled.length).toEqual(1);
  handled[0]?.end();
  await once(first, "data");
  second.write(GET);
  await waitFor(() => handled.length === 1);
  close();
});

test("a drain answers requests that wait behind others", async () => {
  const { tracked, handled, open, close } = await setUp();
  const socket = await open();
  socket.resume();
  socket.write(GET.repeat(50));
  await waitFor(() => tracked.openCount() === 50);
  const drained = drainServer(tracked);
  for (let answered = 0; answered < 50; answered += 1) {
    await waitFor(() => handled.length > 0);
    handled.shift()?.end("x");
  }
  expect(await drained).toEqual({ openCount: 0 });
  close();
});

const stalls = [
  {
    name: "a header that doesn't complete",
    limits: { headerTimeoutMs: 1_500 },
    text: "GET / HTT",
    reason: "headerIncomplete",
  },
  {
    name: "a header that is too long",
    limits: {},
    text: `GET / HTTP/1.1\r\nx: ${"y".repeat(20_000)}`,
    reason: "headerTooLong",
  },
  {
    name: "a body that doesn't complete",
    limits: {
      requestTimeoutMs: 1_000,
      headerTimeoutMs: 500,
      firstRequestTimeoutMs: 500,
    },
    text: "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 9\r\n\r\nb",
    reason: "requestIncomplete",
  },
  {
    name: "what is no request",
    limits: {},
    text: "\x00\x01\r\n\r\n",
    reason: "malformed",
  },
] as const;

for (const { name, limits, text, reason } of stalls) {
  test(`${name} ends its connection`, async () => {
    const { open, close, budget } = await setUp({ limits });
    const socket = await open();
    socket.resume();
    socket.write(text);
    await once(socket, "close");
    expect(valueOf(budget, "clientConnectionsClosed", reason)).toEqual(1);
    close();
  });
}

test("answers that stay unread end their connection", async () => {
  const { handled, open, close, budget } = await setUp({
    limits: { unreadTimeoutMs: 1_000 },
  });
  const socket = await open();
  socket.pause();
  socket.write(GET);
  await waitFor(() => handled.length === 1);
  handled[0]?.end("x".repeat(16_000_000));
  const reason = "answersUnread";
  await waitFor(() => valueOf(budget, "clientConnectionsClosed", reason) === 1);
  close();
});

test("an address beyond its share of connections is closed at once", async () => {
  const { open, close, budget } = await setUp({
    limits: { maxConnections: 8 },
  });
  for (let index = 0; index < 7; index += 1) await open();
  const reason = "addressFull";
  await waitFor(() => valueOf(budget, "clientConnectionsClosed", reason) === 1);
  await waitFor(() => valueOf(budget, "clientConnections", "callers") === 6);
  close();
});
