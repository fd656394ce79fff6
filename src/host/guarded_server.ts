/**
 * Guards the listeners of a process against clients that send more than they
 * read, or never complete what they begin: counts open requests, carries out the
 * decisions of `client_limits.ts`, and reports the end of each request.
 */

import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import {
  type BudgetCounts,
  costOfRequest,
  decideRequest,
  excessOf,
  type ListenerLimits,
  mustPause,
  stallOf,
} from "./client_limits.ts";
import { chunkListeners } from "./http_body.ts";
import type { TrackedServer } from "./request_tracker.ts";

/** Options of the servers that are guarded: how often Node checks time-outs. */
export const GUARDED_SERVER_OPTIONS = { connectionsCheckingInterval: 1_000 };

/** Interval at which connections are checked for progress. */
const SWEEP_INTERVAL_MS = 1_000;
/** Connections that are accepted above the limit, to be closed with a count. */
const EXCESS_CONNECTIONS = 32;
const RETRY_AFTER_S = 1;

/** Writes log lines; a part of `JsonLog`. */
export interface ClientLog {
  readonly write: (
    level: "warn",
    line: { part: string; text: string; fields?: Record<string, unknown> },
  ) => void;
}

/** What all listeners of a process together hold for their clients. */
export interface ClientBudget {
  costBytes: number;
  readonly maxCostBytes: number;
  readonly costByAddress: Map<string, number>;
  /** Values of counters and gauges by name, with their labels. */
  readonly values: () => [name: string, labels: string, value: number][];
  readonly addValues: (
    read: () => [name: string, labels: string, value: number][],
  ) => void;
  readonly count: (
    name: string,
    labels: { readonly [label: string]: string },
  ) => void;
}

/** Creates the budget of a process. */
export function createClientBudget(
  { maxCostBytes }: { maxCostBytes: number },
): ClientBudget {
  const counters = new Map<string, [string, string, number]>();
  const sources: (() => [string, string, number][])[] = [];
  const budget: ClientBudget = {
    costBytes: 0,
    maxCostBytes,
    costByAddress: new Map(),
    values: () => [
      ["clientBytesHeld", "", budget.costBytes],
      ["clientBytesLimit", "", maxCostBytes],
      ["clientAddresses", "", budget.costByAddress.size],
      ...sources.flatMap((read) => read()),
      ...counters.values(),
    ],
    addValues: (read) => void sources.push(read),
    count(name, labels) {
      const text = Object.entries(labels)
        .map(([label, value]) => `${label}="${value}"`).join(",");
      const key = `${name} ${text}`;
      const counter = counters.get(key);
      if (counter === undefined) counters.set(key, [name, text, 1]);
      else counter[2] += 1;
    },
  };
  return budget;
}

/** A request that was read, and its response. */
interface OpenRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Called when the request is passed on. */
  readonly handle: (open: OpenRequest) => void;
  readonly costBytes: number;
}

interface Connection {
  readonly socket: Socket;
  readonly address: string;
  readonly openedAtMs: number;
  /** Requests that were passed on or refused, and have no taken answer. */
  readonly running: Set<OpenRequest>;
  /** Requests that were read and wait until others are answered. */
  readonly waiting: OpenRequest[];
  /** Bytes received at the last request. */
  seenBytes: number;
  served: number;
  isPaused: boolean;
  /** It is not read in this turn of the event loop, see `holdOthers`. */
  isHeld: boolean;
  /** It waits in the queue of slow reads, see `slowDown`. */
  isSlowed: boolean;
  isClosed: boolean;
  checkScheduled: boolean;
  /** Time since which a sweep has seen the connection stalled; 0 if it isn't. */
  stalledSinceMs: number;
  /** Bytes received and written when it was seen so. */
  progress: number;
  /** Reasons for which a line was logged. */
  readonly loggedReasons: Set<string>;
}

function openOf({ running, waiting }: Connection): number {
  return running.size + waiting.length;
}

function mayRead({ isPaused, isHeld, isSlowed, isClosed }: Connection) {
  return !isPaused && !isHeld && !isSlowed && !isClosed;
}

function hasIncompleteChunkedBody({ running }: Connection): boolean {
  return [...running].some(({ request }) =>
    !request.complete && hasChunkedBody(request)
  );
}

function hasChunkedBody({ headers }: IncomingMessage): boolean {
  return headers["transfer-encoding"] !== undefined;
}

/** Options of {@linkcode guardServer}. */
export interface GuardOptions {
  /** Name of the listener in metrics and log lines. */
  readonly listener: string;
  readonly limits: ListenerLimits;
  readonly budget: ClientBudget;
  readonly log: ClientLog;
  /** Answers a request that is refused; by default with 503. */
  readonly refuse?: (response: ServerResponse) => void;
}

/**
 * Stops reading from a connection. Node reads on after a resume that was requested
 * before the stream was paused, until it is told of the pause once more.
 */
function stopReading(socket: Socket): void {
  if (socket.isPaused()) socket.emit("pause");
  else socket.pause();
}

function rejectExpectation({ response }: OpenRequest): void {
  response.writeHead(417, { "content-length": 0 });
  response.end();
}

function sendUnavailable(response: ServerResponse): void {
  const body = '{"reason":"overloaded"}';
  response.writeHead(503, {
    "content-type": "application/json",
    "content-length": body.length,
    "retry-after": String(RETRY_AFTER_S),
  });
  response.end(body);
}

/**
 * Guards a server whose listener of `request` has been added. It is to be created
 * with {@linkcode GUARDED_SERVER_OPTIONS}.
 *
 * @example
 * ```ts
 * const budget = createClientBudget(limits);
 * const options = { listener: "callers", limits: limits.callers, budget, log };
 * const tracked = guardServer(createServer(handle), options);
 * ```
 */
export function guardServer(
  server: Server,
  { listener, limits, budget, log, refuse = sendUnavailable }: GuardOptions,
): TrackedServer {
  const connections = new Map<Socket, Connection>();
  const connectionsByAddress = new Map<string, number>();
  let openCount = 0;
  let requestsInTurn = 0;
  let chunksInTurn = 0;
  /** Connections that are not read in this turn of the event loop. */
  const held: Connection[] = [];
  /** Connections that are read one after the other, the next one first. */
  const slowed: Connection[] = [];
  const handlers = server.listeners("request") as ((
    request: IncomingMessage,
    response: ServerResponse,
  ) => void)[];
  server.removeAllListeners("request");
  server.maxConnections = limits.maxConnections + EXCESS_CONNECTIONS;
  // Node counts a header from the last request's end on, or from the connect.
  server.headersTimeout = limits.firstRequestTimeoutMs +
    limits.headerTimeoutMs;
  server.requestTimeout = limits.requestTimeoutMs;

  function report(connection: Connection, text: string, reason: string): void {
    if (connection.loggedReasons.has(reason)) return;
    connection.loggedReasons.add(reason);
    const { address } = connection;
    const requestsOpen = openOf(connection);
    log.write("warn", {
      part: "clients",
      text,
      fields: { listener, reason, address, requestsOpen },
    });
  }

  function close(connection: Connection, reason: string): void {
    if (connection.isClosed) return;
    connection.isClosed = true;
    budget.count("clientConnectionsClosed", { listener, reason });
    report(connection, "connection of a client closed", reason);
    connection.socket.destroy();
  }

  /** Makes room for a new connection; returns whether there is some. */
  function evictIdle(newest: Connection): boolean {
    const nowMs = performance.now();
    for (const connection of connections.values()) {
      const { served, openedAtMs } = connection;
      const isUnused = served === 0 &&
        nowMs - openedAtMs >= limits.headerTimeoutMs;
      if (connection === newest || connection.isClosed || !isUnused) continue;
      close(connection, "evicted");
      return true;
    }
    return false;
  }

  server.on("connection", (socket: Socket) => {
    const address = socket.remoteAddress ?? "";
    const connection: Connection = {
      socket,
      address,
      openedAtMs: performance.now(),
      running: new Set(),
      waiting: [],
      seenBytes: 0,
      served: 0,
      isPaused: false,
      isHeld: false,
      isSlowed: false,
      isClosed: false,
      checkScheduled: false,
      stalledSinceMs: 0,
      progress: 0,
      loggedReasons: new Set(),
    };
    connections.set(socket, connection);
    const ofAddress = (connectionsByAddress.get(address) ?? 0) + 1;
    connectionsByAddress.set(address, ofAddress);
    socket.once("close", () => forget(connection));
    // Node resumes a connection after each request and to read a body.
    socket.on("resume", () => {
      if (!mayRead(connection)) stopReading(socket);
    });
    chunkListeners.set(socket, () => countChunk(connection));
    const counts = { connections: connections.size, ofAddress };
    const excess = excessOf(counts, limits);
    if (excess === "address" || (excess !== null && !evictIdle(connection))) {
      close(connection, `${excess}Full`);
    }
  });
  server.on("drop", () => {
    budget.count("clientConnectionsClosed", { listener, reason: "dropped" });
  });

  /**
   * Forgets a closed connection. Node reports the close of the connection for the
   * request that is answered next only; the others are reported here.
   */
  function forget(connection: Connection): void {
    const { socket, address, running, waiting } = connection;
    connection.isClosed = true;
    connections.delete(socket);
    const left = (connectionsByAddress.get(address) ?? 1) - 1;
    if (left > 0) connectionsByAddress.set(address, left);
    else connectionsByAddress.delete(address);
    process.nextTick(() => {
      for (const open of waiting.splice(0)) end(connection, open);
      for (const { response } of [...running]) {
        response.destroyed = true;
        response.emit("close");
      }
    });
  }

  /** Returns the cost of a request, whose connection has ended or answered it. */
  function end({ address }: Connection, { costBytes }: OpenRequest): void {
    openCount -= 1;
    budget.costBytes -= costBytes;
    const left = (budget.costByAddress.get(address) ?? 0) - costBytes;
    if (left > 0) budget.costByAddress.set(address, left);
    else budget.costByAddress.delete(address);
  }

  function budgetOf({ address }: Connection): BudgetCounts {
    const { costBytes, maxCostBytes, costByAddress } = budget;
    const addressCostBytes = costByAddress.get(address) ?? 0;
    return { costBytes, addressCostBytes, maxCostBytes };
  }

  function countsOf(connection: Connection) {
    const { running } = connection;
    return { running: running.size, open: openOf(connection) };
  }

  function run(
    connection: Connection,
    open: OpenRequest,
    handle: (open: OpenRequest) => void,
  ): void {
    connection.running.add(open);
    open.response.once("close", () => {
      if (!connection.running.delete(open)) return;
      end(connection, open);
      if (connection.isClosed) return;
      if (openOf(connection) === 0) {
        connection.seenBytes = connection.socket.bytesRead;
      }
      if (connection.waiting.length > 0) runWaiting(connection);
      if (connection.isPaused) checkPause(connection);
    });
    handle(open);
  }

  function pass({ request, response }: OpenRequest): void {
    for (const handler of handlers) handler.call(server, request, response);
  }

  function runWaiting(connection: Connection): void {
    const { waiting, running } = connection;
    while (running.size < limits.maxRunning) {
      const next = waiting.shift();
      if (next === undefined) return;
      run(connection, next, next.handle);
    }
  }

  function checkPause(connection: Connection): void {
    const { socket, isPaused } = connection;
    connection.checkScheduled = false;
    if (connection.isClosed) return;
    const counts = countsOf(connection);
    const pauses = mustPause(counts, budgetOf(connection), limits);
    connection.isPaused = pauses;
    if (pauses) {
      if (!isPaused) budget.count("clientConnectionsPaused", { listener });
      stopReading(socket);
    } else if (isPaused && mayRead(connection)) socket.resume();
  }

  /**
   * Counts a request of this turn of the event loop. A connection that is closed
   * gives its memory back after the turn, so that the chunks of many connections
   * in one turn would exhaust it, whatever is decided about their requests.
   */
  function countInTurn(connection: Connection): void {
    if (requestsInTurn === 0 && chunksInTurn === 0) setImmediate(endTurn);
    requestsInTurn += 1;
    if (requestsInTurn === limits.maxRequestsPerTurn) holdOthers(connection);
  }

  /** Reads nothing from other connections until the turn ends. */
  function holdOthers(reading: Connection): void {
    budget.count("clientReadsDelayed", { listener });
    for (const connection of connections.values()) {
      const { isPaused, isClosed, socket } = connection;
      if (connection === reading || isPaused || isClosed) continue;
      connection.isHeld = true;
      held.push(connection);
      stopReading(socket);
    }
  }

  function endTurn(): void {
    requestsInTurn = 0;
    chunksInTurn = 0;
    for (const connection of held.splice(0)) {
      connection.isHeld = false;
      if (mayRead(connection)) connection.socket.resume();
    }
  }

  /**
   * Counts a chunk of a body. Each takes time whatever its size: many connections
   * that send chunks of one byte would leave none for other callers.
   */
  function countChunk(connection: Connection): void {
    if (requestsInTurn === 0 && chunksInTurn === 0) setImmediate(endTurn);
    chunksInTurn += 1;
    if (chunksInTurn !== limits.maxChunksPerTurn) return;
    holdOthers(connection);
    for (const other of connections.values()) {
      if (hasIncompleteChunkedBody(other)) slowDown(other);
    }
  }

  /** Lets a connection wait until others like it have been read once. */
  function slowDown(connection: Connection): void {
    const { isSlowed, isClosed, socket } = connection;
    if (isSlowed || isClosed) return;
    connection.isSlowed = true;
    slowed.push(connection);
    if (slowed.length === 1) scheduleSlowRead();
    // Not before the end of the chunk: Node resumes the connection while it
    // hands over a body.
    process.nextTick(() => {
      if (connection.isSlowed) stopReading(socket);
    });
  }

  function scheduleSlowRead(): void {
    setTimeout(readSlowed, limits.slowReadIntervalMs).unref();
  }

  function readSlowed(): void {
    const connection = slowed.shift();
    if (connection === undefined) return;
    connection.isSlowed = false;
    if (mayRead(connection)) connection.socket.resume();
    if (slowed.length > 0) scheduleSlowRead();
  }

  function receive(
    request: IncomingMessage,
    response: ServerResponse,
    handle: (open: OpenRequest) => void,
  ): void {
    const connection = connections.get(request.socket);
    if (connection === undefined) return;
    countInTurn(connection);
    if (connection.isClosed) return;
    const { socket, address } = connection;
    const receivedBytes = socket.bytesRead - connection.seenBytes;
    connection.seenBytes += receivedBytes;
    connection.served += 1;
    const isChunked = hasChunkedBody(request);
    const costBytes = costOfRequest({
      contentLength: Number(request.headers["content-length"] ?? 0),
      isChunked,
      receivedBytes,
    });
    const open: OpenRequest = { request, response, handle, costBytes };
    openCount += 1;
    budget.costBytes += costBytes;
    budget.costByAddress.set(
      address,
      (budget.costByAddress.get(address) ?? 0) + costBytes,
    );
    const counts = {
      running: connection.running.size,
      open: openOf(connection) + 1,
    };
    const decision = decideRequest(counts, budgetOf(connection), limits);
    if (decision === "admit") run(connection, open, handle);
    else if (decision === "defer") connection.waiting.push(open);
    else if (decision === "refuse") {
      budget.count("clientRequestsRefused", { listener, reason: "budget" });
      report(connection, "request of a client refused", "budget");
      // Node would receive the rest of the body to discard it.
      if (isChunked) response.setHeader("connection", "close");
      run(connection, open, () => refuse(response));
    } else {
      connection.waiting.push(open);
      const reason = counts.open > limits.maxOpen ? "requests" : "budget";
      close(connection, reason);
    }
    // Not before the end of the chunk: Node resumes the connection after each
    // request of it.
    if (counts.open > 1 && !connection.checkScheduled) {
      connection.checkScheduled = true;
      process.nextTick(checkPause, connection);
    }
  }

  server.on("request", (request, response) => receive(request, response, pass));
  // Node would answer these by itself, without a bound.
  server.on("checkExpectation", (request, response) => {
    receive(request, response, rejectExpectation);
  });

  server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
    const connection = connections.get(socket as Socket);
    const reason = clientErrorReasons[error.code ?? ""] ?? "malformed";
    if (error.code !== "ECONNRESET" && connection?.isClosed === false) {
      connection.isClosed = true;
      budget.count("clientConnectionsClosed", { listener, reason });
      report(connection, "connection of a client closed", reason);
      const status = clientErrorStatuses[reason] ?? "400 Bad Request";
      // An answer that is under way must not be followed by this one.
      if (openOf(connection) === 0 && socket.writable) {
        socket.write(`HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`);
      }
    }
    socket.destroy();
  });

  function sweep(): void {
    const nowMs = performance.now();
    for (const connection of connections.values()) {
      const { socket } = connection;
      // A full budget pauses connections until others release their share.
      if (connection.isPaused) checkPause(connection);
      const open = openOf(connection);
      const hasUnread = socket.writableLength > 0;
      const hasPartialHeader = socket.bytesRead > connection.seenBytes;
      const isStalled = hasUnread || (open === 0 && hasPartialHeader);
      // A header that arrives slowly is no progress.
      const progress = hasUnread
        ? socket.bytesWritten - socket.writableLength
        : -connection.served;
      if (!isStalled || connection.progress !== progress) {
        connection.stalledSinceMs = isStalled ? nowMs : 0;
        connection.progress = progress;
      }
      if (!isStalled) continue;
      if (connection.stalledSinceMs === 0) connection.stalledSinceMs = nowMs;
      const stalledMs = nowMs - connection.stalledSinceMs;
      const seen = { open, hasPartialHeader, hasUnread, stalledMs };
      const reason = stallOf(seen, limits);
      if (reason !== null) close(connection, reason);
    }
  }

  const sweeper = setInterval(sweep, SWEEP_INTERVAL_MS);
  sweeper.unref();
  server.once("close", () => clearInterval(sweeper));
  budget.addValues(() => {
    const labels = `listener="${listener}"`;
    return [
      ["clientConnections", labels, connections.size],
      ["clientConnectionsLimit", labels, limits.maxConnections],
      ["clientRequestsOpen", labels, openCount],
    ];
  });

  return {
    server,
    openCount: () => openCount,
    closeIdleConnections() {
      for (const connection of connections.values()) {
        if (openOf(connection) === 0) connection.socket.destroy();
      }
    },
  };
}

/** Reasons of errors that Node reports about what a client sends. */
const clientErrorReasons: Record<string, string> = {
  ERR_HTTP_REQUEST_TIMEOUT: "requestIncomplete",
  HPE_HEADER_OVERFLOW: "headerTooLong",
};
const clientErrorStatuses: Record<string, string> = {
  requestIncomplete: "408 Request Timeout",
  headerTooLong: "431 Request Header Fields Too Large",
};
