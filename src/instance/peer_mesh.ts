/**
 * Sends messages between instances as JSON-RPC 2.0 notifications over persistent
 * TCP connections, one in each direction. Each line holds a batch of messages.
 * The set of peers can change at any time.
 */

import { connect, createServer, type Socket } from "node:net";
import { createJSONRPCNotification, isJSONRPCRequest } from "json-rpc-2.0";
import { z } from "zod";
import {
  type InstanceInfo,
  type PeerMessage,
  peerMessageSchema,
} from "../engine/schemas.ts";
import { parseAddress } from "../host/address.ts";
import type { PeerLimits } from "../host/client_limits.ts";
import type { ClientBudget, ClientLog } from "../host/guarded_server.ts";
import { parseJson } from "../host/json.ts";
import { listen } from "../host/listen.ts";
import { createLineReaders, type LineReader } from "./line_reader.ts";
import { packMessage, unpackMessage } from "./message_packing.ts";

/** The JSON-RPC method of notifications that carry messages. */
const DELIVER_METHOD = "deliver";
/** Delay before reconnecting, multiplied by the number of failures in a row. */
const RECONNECT_DELAY_STEP_MS = 150;
/** Maximum delay before reconnecting to a peer that remains unreachable. */
const MAX_RECONNECT_DELAY_MS = 1_000;
/** Time after which an attempt to connect is abandoned and retried. */
const CONNECT_TIMEOUT_MS = 600;
/** Time without a message from a peer after which its connection is reset. */
const IDLE_TIMEOUT_MS = 1_400;
/** Interval between checks for idle connections. */
const IDLE_CHECK_INTERVAL_MS = 300;
/**
 * Maximum bytes buffered for a slow peer before its connection is closed: more
 * than all jobs of an entry, which it submits at once to a new leader.
 */
const MAX_BUFFERED_BYTES = 16_777_216;
/** Connections beyond two for each known peer that are accepted in any case. */
const SPARE_CONNECTIONS = 32;
/** Malformed lines after which a connection without a valid one is closed. */
const MAX_MALFORMED_LINES = 20;

const deliverySchema = z.object({
  from: z.string(),
  messages: z.array(z.unknown()),
});

/** The callbacks through which a mesh notifies its instance. */
export interface MeshHandlers {
  readonly onMessage: (from: string, message: PeerMessage) => void;
  readonly onUp: (instanceId: string) => void;
  readonly onDown: (instanceId: string, refused: boolean) => void;
  readonly onMalformed: (detail: string) => void;
}

/** The connections between one instance and its peers. */
export interface PeerMesh {
  readonly setPeers: (peers: readonly InstanceInfo[]) => void;
  readonly send: (instanceId: string, message: PeerMessage) => void;
  /** Returns the traffic since the start, in UTF-16 code units. */
  readonly bytes: () => { sent: number; received: number };
  readonly close: () => Promise<void>;
}

/** The outgoing connection to one peer, and the state of its reconnects. */
interface Link {
  readonly instanceId: string;
  address: string;
  socket: Socket | null;
  connected: boolean;
  /** Messages that the next flush sends; cleared when the connection closes. */
  queue: PeerMessage[];
  timer: NodeJS.Timeout | null;
  lastReceivedAtMs: number;
  /** Time of the latest attempt to connect. */
  attemptedAtMs: number;
  failures: number;
  closed: boolean;
}

/** A connection that was accepted. */
interface Incoming {
  readonly socket: Socket;
  readonly reader: LineReader;
  /** A valid line arrived, so the other side is an instance. */
  isPeer: boolean;
  malformedLines: number;
  lastLineAtMs: number;
}

const defaultLimits: PeerLimits = {
  maxConnections: Infinity,
  maxIncompleteLength: Infinity,
  silenceTimeoutMs: Infinity,
};

/** Starts listening for peers. Connections are opened by `setPeers`. */
export async function createPeerMesh(
  {
    self,
    handlers,
    dialAddress = ({ address }) => address,
    limits = defaultLimits,
    budget,
    log,
  }: {
    self: InstanceInfo;
    handlers: MeshHandlers;
    dialAddress?: (peer: InstanceInfo) => string;
    limits?: PeerLimits | undefined;
    budget?: ClientBudget | undefined;
    log?: ClientLog | undefined;
  },
): Promise<PeerMesh> {
  const incoming = new Set<Incoming>();
  const lineReaders = createLineReaders({
    maxLength: limits.maxIncompleteLength,
  });
  const links = new Map<string, Link>();
  let flushScheduled = false;
  const traffic = { sent: 0, received: 0 };

  const server = createServer((socket) => {
    const connection: Incoming = {
      socket,
      reader: lineReaders.create((line) => receiveLine(line, connection)),
      isPeer: false,
      malformedLines: 0,
      lastLineAtMs: performance.now(),
    };
    const { reader } = connection;
    incoming.add(connection);
    socket.setNoDelay(true);
    socket.on("close", () => {
      incoming.delete(connection);
      reader.close();
    });
    socket.on("error", () => socket.destroy());
    socket.setEncoding("utf8");
    socket.on("data", (chunk: string) => {
      traffic.received += chunk.length;
      if (!reader.add(chunk)) makeRoomFor(connection, chunk);
    });
    if (incoming.size > maxIncoming()) evictFor(connection);
  });
  budget?.addValues(() => {
    const labels = 'listener="peers"';
    let kept = 0;
    for (const { reader } of incoming) kept += reader.incompleteLength();
    return [
      ["clientConnections", labels, incoming.size],
      ["clientConnectionsLimit", labels, maxIncoming()],
      ["clientIncompleteLines", labels, kept],
      ["clientIncompleteLinesLimit", labels, limits.maxIncompleteLength],
    ];
  });

  /**
   * A fleet of hundreds of instances needs more connections than the limit: one
   * from each, and one more from those that have just started again.
   */
  function maxIncoming(): number {
    return Math.max(limits.maxConnections, 2 * links.size + SPARE_CONNECTIONS);
  }

  function closeIncoming({ socket, isPeer }: Incoming, reason: string): void {
    if (socket.destroyed) return;
    const listener = "peers";
    budget?.count("clientConnectionsClosed", { listener, reason });
    log?.write("warn", {
      part: "clients",
      text: "connection of a client closed",
      fields: { listener, reason, address: socket.remoteAddress, isPeer },
    });
    socket.destroy();
  }

  /**
   * Takes a chunk for which too much is kept of incomplete lines. The longest of a
   * connection that has not sent a valid line is given up, or else the connection's
   * own.
   */
  function makeRoomFor(connection: Incoming, chunk: string): void {
    let longest = connection;
    for (const other of incoming) {
      const isCandidate = !other.isPeer && !other.socket.destroyed;
      if (!isCandidate) continue;
      if (
        longest.isPeer ||
        other.reader.incompleteLength() > longest.reader.incompleteLength()
      ) longest = other;
    }
    longest.reader.close();
    closeIncoming(longest, "lineTooLong");
    if (longest === connection || connection.reader.add(chunk)) return;
    closeIncoming(connection, "lineTooLong");
  }

  /** Closes a connection that has sent no valid line, the newest if all have. */
  function evictFor(newest: Incoming): void {
    for (const connection of incoming) {
      if (connection.isPeer || connection.socket.destroyed) continue;
      closeIncoming(connection, "evicted");
      return;
    }
    closeIncoming(newest, "listenerFull");
  }

  /** Closes connections on which no line arrived; an instance sends heartbeats. */
  function closeSilent(): void {
    const nowMs = performance.now();
    for (const connection of incoming) {
      if (nowMs - connection.lastLineAtMs < limits.silenceTimeoutMs) continue;
      closeIncoming(connection, "silent");
    }
  }

  await listen(server, self.address);
  const idleCheckTimer = setInterval(() => {
    resetIdleLinks();
    closeSilent();
  }, IDLE_CHECK_INTERVAL_MS);

  function onMalformed(connection: Incoming, detail: string): void {
    handlers.onMalformed(detail);
    connection.malformedLines += 1;
    const isTooMany = connection.malformedLines >= MAX_MALFORMED_LINES;
    if (isTooMany && !connection.isPeer) closeIncoming(connection, "malformed");
  }

  function receiveLine(line: string, connection: Incoming): void {
    if (connection.socket.destroyed) return;
    const content = parseJson(line);
    const isObject = typeof content === "object" && content !== null;
    if (
      !isObject || !isJSONRPCRequest(content) ||
      content.method !== DELIVER_METHOD
    ) {
      onMalformed(
        connection,
        'not a JSON-RPC notification of the method "deliver"',
      );
      return;
    }
    const delivery = deliverySchema.safeParse(content.params);
    if (!delivery.success) {
      onMalformed(connection, delivery.error.message);
      return;
    }
    connection.isPeer = true;
    connection.lastLineAtMs = performance.now();
    const { from, messages } = delivery.data;
    const link = links.get(from);
    if (link !== undefined) {
      link.lastReceivedAtMs = performance.now();
      retryIfWaiting(link);
    }
    for (const item of messages) receiveItem(from, item);
  }

  function receiveItem(from: string, item: unknown): void {
    let message: PeerMessage;
    try {
      message = peerMessageSchema.parse(unpackMessage(item));
    } catch (error) {
      handlers.onMalformed((error as Error).message);
      return;
    }
    handlers.onMessage(from, message);
  }

  /**
   * Connects anew to a peer that sends messages while an earlier attempt to
   * connect to it waits. That attempt was made before the peer's host was up, so
   * its first packet is lost, and it would wait for `CONNECT_TIMEOUT_MS`.
   */
  function retryIfWaiting(link: Link): void {
    const waitedMs = performance.now() - link.attemptedAtMs;
    if (link.connected || waitedMs < RECONNECT_DELAY_STEP_MS) return;
    link.attemptedAtMs = performance.now();
    if (link.timer !== null) {
      clearTimeout(link.timer);
      link.timer = null;
      openLink(link);
      return;
    }
    // The close event counts a failure and opens the next connection after as many
    // steps of the delay, so at once.
    link.failures = -1;
    link.socket?.destroy();
  }

  function openLink(link: Link): void {
    link.timer = null;
    if (link.closed) return;
    link.attemptedAtMs = performance.now();
    const { host, port } = parseAddress(link.address);
    const socket = connect({ host, port, noDelay: true });
    let refused = false;
    link.socket = socket;
    const timeout = setTimeout(() => socket.destroy(), CONNECT_TIMEOUT_MS);
    socket.on("connect", () => {
      clearTimeout(timeout);
      link.connected = true;
      link.failures = 0;
      link.lastReceivedAtMs = performance.now();
      handlers.onUp(link.instanceId);
    });
    socket.on("error", (error: NodeJS.ErrnoException) => {
      refused = error.code === "ECONNREFUSED";
      socket.destroy();
    });
    socket.on("close", () => {
      clearTimeout(timeout);
      const wasConnected = link.connected;
      link.connected = false;
      link.queue = [];
      link.failures += 1;
      if (link.closed) return;
      handlers.onDown(link.instanceId, refused);
      const waitMs = Math.min(
        MAX_RECONNECT_DELAY_MS,
        RECONNECT_DELAY_STEP_MS * link.failures,
      );
      link.timer = setTimeout(() => openLink(link), wasConnected ? 0 : waitMs);
    });
    socket.resume();
  }

  /**
   * Resets connections to peers from which no message arrived recently. A
   * connection can stop working without an error; reconnecting reveals that.
   */
  function resetIdleLinks(): void {
    const nowMs = performance.now();
    for (const link of links.values()) {
      // A reset discards messages that a network partition delayed; they would
      // arrive out of date.
      if (link.connected && nowMs - link.lastReceivedAtMs > IDLE_TIMEOUT_MS) {
        link.socket?.resetAndDestroy();
      }
    }
  }

  function flushLink(link: Link): void {
    const { socket, queue } = link;
    if (queue.length === 0 || socket === null || !link.connected) return;
    link.queue = [];
    const messages = queue.map(packMessage);
    const params = { from: self.instanceId, messages };
    const line = `${
      JSON.stringify(createJSONRPCNotification(DELIVER_METHOD, params))
    }\n`;
    traffic.sent += line.length;
    socket.write(line);
    if (socket.writableLength > MAX_BUFFERED_BYTES) socket.destroy();
  }

  function flushAll(): void {
    flushScheduled = false;
    for (const link of links.values()) flushLink(link);
  }

  function closeLink(link: Link): void {
    link.closed = true;
    if (link.timer !== null) clearTimeout(link.timer);
    link.socket?.destroy();
    links.delete(link.instanceId);
  }

  return {
    setPeers(peers) {
      const addressById = new Map(
        peers.map((peer) => [peer.instanceId, dialAddress(peer)]),
      );
      for (const link of [...links.values()]) {
        if (addressById.get(link.instanceId) !== link.address) closeLink(link);
      }
      for (const [instanceId, address] of addressById) {
        if (links.has(instanceId)) continue;
        const link = createLink(instanceId, address);
        links.set(instanceId, link);
        openLink(link);
      }
    },
    send(instanceId, message) {
      const link = links.get(instanceId);
      if (link === undefined || !link.connected) return;
      link.queue.push(message);
      if (flushScheduled) return;
      flushScheduled = true;
      queueMicrotask(flushAll);
    },
    bytes: () => ({ ...traffic }),
    async close() {
      clearInterval(idleCheckTimer);
      flushAll();
      for (const link of [...links.values()]) {
        link.closed = true;
        if (link.timer !== null) clearTimeout(link.timer);
        link.socket?.destroySoon();
      }
      for (const { socket } of incoming) socket.destroy();
      await new Promise<void>((resolve) => server.close(() => resolve()));
    },
  };
}

function createLink(instanceId: string, address: string): Link {
  return {
    instanceId,
    address,
    socket: null,
    connected: false,
    queue: [],
    timer: null,
    lastReceivedAtMs: 0,
    attemptedAtMs: 0,
    failures: 0,
    closed: false,
  };
}
