/**
 * Decides what a listener does with the requests of its clients: which it reads,
 * answers now, answers later, refuses, and which connections it closes. Pure
 * functions of counts; `guarded_server.ts` counts and carries out.
 */

/**
 * Memory that a request without a body takes until its answer is read: the
 * request and response objects, their headers and the engine's state.
 */
const REQUEST_COST_BYTES = 4_096;
/**
 * Copies of a request's bytes that exist at a time: as received, as text, as the
 * job, and as the message to the leader.
 */
const COPIES = 4;
/**
 * Bytes assumed for a body of unknown length. With `COPIES` this covers a body
 * of the largest size while it is received.
 */
const CHUNKED_BODY_BYTES = 65_536;
/**
 * Bound on the announced bytes that count: a longer body is not received whole,
 * and must not use up the budget by its announcement.
 */
const MAX_ANNOUNCED_BYTES = 1_048_576;
/**
 * Share of the budget that connections with several open requests may use; the
 * rest is for clients that read an answer before they send the next request.
 */
const PIPELINING_SHARE = 0.75;
/** Share of the budget from which on such connections are not read. */
const PAUSE_SHARE = 0.5;
/** Share of the budget and of the connections that one client address may use. */
const ADDRESS_SHARE = 0.75;
/** Factor of the budget from which on pipelining connections are closed. */
const HARD_BUDGET_FACTOR = 1.25;

/** Limits of one listener. */
export interface ListenerLimits {
  readonly maxConnections: number;
  /** Requests of one connection that are answered at a time. */
  readonly maxRunning: number;
  /** Requests of one connection that were read and have no read answer. */
  readonly maxOpen: number;
  /**
   * Requests of all connections in one turn of the event loop after which no
   * other connection is read in that turn.
   */
  readonly maxRequestsPerTurn: number;
  /**
   * Chunks of bodies in one turn of the event loop after which the connections
   * with incomplete chunked bodies are read one after the other, with a pause.
   */
  readonly maxChunksPerTurn: number;
  /** Pause between two of these reads. */
  readonly slowReadIntervalMs: number;
  /** Time for which a client may leave a new connection without a request. */
  readonly firstRequestTimeoutMs: number;
  /** Time within which the header of a request has to be complete. */
  readonly headerTimeoutMs: number;
  /**
   * Time within which a whole request has to be received; not less than the two
   * times before together, since Node would exchange them.
   */
  readonly requestTimeoutMs: number;
  /** Time without progress after which unread answers end their connection. */
  readonly unreadTimeoutMs: number;
}

/** What one connection holds. */
export interface ConnectionCounts {
  /** Requests that were passed on and whose answers were not taken yet. */
  readonly running: number;
  /** `running`, and the requests that were read and wait. */
  readonly open: number;
}

/** The cost of the open requests, and its limit. */
export interface BudgetCounts {
  readonly costBytes: number;
  /** The part of it that the client's address uses. */
  readonly addressCostBytes: number;
  readonly maxCostBytes: number;
}

export type RequestDecision = "admit" | "defer" | "refuse" | "close";

/** Returns the memory that a request takes until its answer is read. */
export function costOfRequest(
  { contentLength, isChunked, receivedBytes }: {
    contentLength: number;
    isChunked: boolean;
    receivedBytes: number;
  },
): number {
  const announced = isChunked
    ? CHUNKED_BODY_BYTES
    : Math.min(contentLength, MAX_ANNOUNCED_BYTES);
  return REQUEST_COST_BYTES + COPIES * Math.max(announced, receivedBytes);
}

function isOverShare(
  { costBytes, addressCostBytes, maxCostBytes }: BudgetCounts,
  isPipelining: boolean,
): boolean {
  const share = isPipelining ? PIPELINING_SHARE : 1;
  return costBytes > share * maxCostBytes ||
    addressCostBytes > ADDRESS_SHARE * maxCostBytes;
}

/**
 * Decides about a request that was read and is included in the counts. A request
 * is deferred while its connection has enough others that are being answered.
 */
export function decideRequest(
  connection: ConnectionCounts,
  budget: BudgetCounts,
  limits: ListenerLimits,
): RequestDecision {
  const isPipelining = connection.open > 1;
  if (connection.open > limits.maxOpen) return "close";
  if (isOverShare(budget, isPipelining)) {
    const hardLimit = HARD_BUDGET_FACTOR * budget.maxCostBytes;
    return isPipelining && budget.costBytes > hardLimit ? "close" : "refuse";
  }
  return connection.running < limits.maxRunning ? "admit" : "defer";
}

/**
 * Whether nothing more is read from a connection for now. A connection with one
 * open request is always read: its body may be incomplete.
 */
export function mustPause(
  connection: ConnectionCounts,
  budget: BudgetCounts,
  limits: ListenerLimits,
): boolean {
  if (connection.open <= 1) return false;
  return connection.open >= limits.maxRunning ||
    budget.costBytes > PAUSE_SHARE * budget.maxCostBytes;
}

/**
 * Whether a new connection, which is included in the counts, is one too many:
 * `address` if its address has its share already, `listener` if the listener has
 * no room.
 */
export function excessOf(
  { connections, ofAddress }: { connections: number; ofAddress: number },
  { maxConnections }: ListenerLimits,
): "address" | "listener" | null {
  if (connections > maxConnections) return "listener";
  return ofAddress > Math.max(1, ADDRESS_SHARE * maxConnections)
    ? "address"
    : null;
}

/** What a sweep sees of a connection. */
export interface ConnectionProgress {
  readonly open: number;
  /** Bytes were received after the last request: a header that is incomplete. */
  readonly hasPartialHeader: boolean;
  /** Bytes wait that the operating system doesn't take. */
  readonly hasUnread: boolean;
  /** Time since the connection was first seen so without progress. */
  readonly stalledMs: number;
}

/** Returns why a connection without progress is closed, or null. */
export function stallOf(
  { open, hasPartialHeader, hasUnread, stalledMs }: ConnectionProgress,
  limits: ListenerLimits,
): "headerIncomplete" | "answersUnread" | null {
  if (hasUnread) {
    return stalledMs >= limits.unreadTimeoutMs ? "answersUnread" : null;
  }
  if (open > 0 || !hasPartialHeader) return null;
  return stalledMs >= limits.headerTimeoutMs ? "headerIncomplete" : null;
}

/** The resources of a process. */
export interface ProcessResources {
  readonly maxFds: number;
  readonly heapBytes: number;
  readonly memoryBytes: number;
}

/** Limits of all that clients and peers can use of a process. */
export interface ClientLimits {
  /** Bound on the cost of all open requests of all listeners. */
  readonly maxCostBytes: number;
  readonly callers: ListenerLimits;
  readonly probes: ListenerLimits;
  readonly admin: ListenerLimits;
  readonly peers: PeerLimits;
  /** Bound on the estimated size of the jobs that a leader holds. */
  readonly maxJobBytesAtLeader: number;
  /** Queries of callers that wait for a leader's reply. */
  readonly maxQueries: number;
}

/** Limits of the listener for peers. */
export interface PeerLimits {
  readonly maxConnections: number;
  /** Incomplete lines of all connections, in UTF-16 code units. */
  readonly maxIncompleteLength: number;
  /** Time after which a connection without a complete line is closed. */
  readonly silenceTimeoutMs: number;
}

/** Descriptors that are not for connections: files, pipes, the event loop. */
const FILE_FDS = 200;
/** Half of the other descriptors are for callers, the rest mostly for workers. */
const CALLER_FD_SHARE = 0.5;
const MIN_CALLER_CONNECTIONS = 16;
/** More than the connections that 30 instances and their restarts need. */
const PEER_CONNECTIONS = 96;
const PROBE_CONNECTIONS = 16;
const ADMIN_CONNECTIONS = 64;
/** Share of the heap for open requests. */
const REQUEST_HEAP_SHARE = 0.2;
/** Share of all memory for open requests, whose bodies are outside the heap. */
const REQUEST_MEMORY_SHARE = 0.15;
/** Share of the heap for the jobs of a leader, those that ended included. */
const JOB_HEAP_SHARE = 0.5;
/** Share of the heap for incomplete lines of peers. */
const PEER_HEAP_SHARE = 0.1;
/** Memory that one query takes at its entry until the reply. */
const QUERY_COST_BYTES = 2_048;

/** Returns the limits that fit the resources of a process. */
export function deriveClientLimits(
  { maxFds, heapBytes, memoryBytes }: ProcessResources,
): ClientLimits {
  const maxCostBytes = Math.round(Math.min(
    REQUEST_HEAP_SHARE * heapBytes,
    REQUEST_MEMORY_SHARE * memoryBytes,
  ));
  const connectionFds = Math.max(0, maxFds - FILE_FDS);
  const callers: ListenerLimits = {
    maxConnections: Math.max(
      MIN_CALLER_CONNECTIONS,
      Math.floor(CALLER_FD_SHARE * connectionFds),
    ),
    maxRunning: 32,
    maxOpen: 512,
    maxRequestsPerTurn: 512,
    maxChunksPerTurn: 4_096,
    slowReadIntervalMs: 50,
    // A client leaves a connection idle for at most 15,000 ms, and completes its
    // header within 3,000 ms.
    firstRequestTimeoutMs: 15_000,
    headerTimeoutMs: 5_000,
    requestTimeoutMs: 30_000,
    unreadTimeoutMs: 10_000,
  };
  return {
    maxCostBytes,
    callers,
    probes: {
      ...callers,
      maxConnections: PROBE_CONNECTIONS,
      maxRunning: 2,
      maxOpen: 64,
    },
    admin: {
      ...callers,
      maxConnections: ADMIN_CONNECTIONS,
      maxRunning: 4,
      maxOpen: 64,
    },
    peers: {
      maxConnections: PEER_CONNECTIONS,
      maxIncompleteLength: Math.round(PEER_HEAP_SHARE * heapBytes),
      silenceTimeoutMs: 10_000,
    },
    maxJobBytesAtLeader: Math.round(JOB_HEAP_SHARE * heapBytes),
    maxQueries: Math.round(maxCostBytes / QUERY_COST_BYTES),
  };
}
