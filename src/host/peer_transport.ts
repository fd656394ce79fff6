/**
 * Carries messages between entry instances: JSON-RPC 2.0 notifications over
 * lasting TCP connections, one line a batch, one connection each way.
 */

import { connect, createServer, type Socket } from "node:net";
import { createInterface } from "node:readline";
import { createJSONRPCNotification, isJSONRPCRequest } from "json-rpc-2.0";
import { z } from "zod";
import {
  type InstanceRef,
  instanceRefSchema,
  type PeerMessage,
  peerMessageSchema,
} from "../core/schemas.ts";
import type { PeerHandlers, PeerHost } from "./hosts.ts";
import { parseAddress } from "./address.ts";
import { parseJson } from "./json.ts";
import { listen } from "./listen.ts";

/** The method of the notifications that carry messages. */
const DELIVER = "deliver";
/** How long to wait before a lost connection is opened again. */
const RECONNECT_MS = 200;
/** Bytes that may wait for a slow peer before its connection is dropped. */
const MAX_WAITING_BYTES = 8_388_608;
/** How long a flush waits for a slow peer. */
const FLUSH_TIMEOUT_MS = 1_000;

const deliverySchema = z.object({
  from: instanceRefSchema,
  messages: z.array(z.unknown()),
});

/** What a peer transport is made from. */
export interface PeerTransportOptions {
  readonly self: InstanceRef;
  readonly listen: string;
  /** The address of every other slot. */
  readonly peers: ReadonlyMap<string, string>;
  readonly handlers: PeerHandlers;
}

interface Link {
  readonly slot: string;
  readonly address: string;
  socket: Socket | null;
  connected: boolean;
  queue: PeerMessage[];
  timer: NodeJS.Timeout | null;
}

/** Opens the peer listener and a connection to each peer. */
export async function createPeerTransport(
  options: PeerTransportOptions,
): Promise<PeerHost> {
  const { self, handlers } = options;
  const traffic = { sent: 0, received: 0 };
  const incoming = new Set<Socket>();
  const links = new Map<string, Link>();
  let closed = false;
  let flushScheduled = false;

  const server = createServer((socket) => {
    incoming.add(socket);
    socket.setNoDelay(true);
    socket.on("close", () => incoming.delete(socket));
    socket.on("error", () => socket.destroy());
    socket.on("data", (chunk) => {
      traffic.received += chunk.length;
    });
    createInterface({ input: socket, crlfDelay: Infinity })
      .on("line", (line) => receive(handlers, line));
  });
  await listen(server, options.listen);

  function open(link: Link): void {
    if (closed) return;
    const { host, port } = parseAddress(link.address);
    const socket = connect({ host, port, noDelay: true });
    link.socket = socket;
    socket.on("connect", () => {
      link.connected = true;
      flushLink(link);
    });
    socket.on("error", () => socket.destroy());
    socket.on("close", () => {
      if (link.connected) handlers.onDown(link.slot);
      link.connected = false;
      link.queue = [];
      if (!closed) link.timer = setTimeout(() => open(link), RECONNECT_MS);
    });
    socket.resume();
  }

  function flushLink(link: Link): void {
    const { socket, queue } = link;
    if (queue.length === 0 || socket === null || !link.connected) return;
    link.queue = [];
    const params = { from: self, messages: queue };
    const notification = createJSONRPCNotification(DELIVER, params);
    const line = `${JSON.stringify(notification)}\n`;
    traffic.sent += line.length;
    socket.write(line);
    if (socket.writableLength > MAX_WAITING_BYTES) socket.destroy();
  }

  function flushAll(): void {
    flushScheduled = false;
    for (const link of links.values()) flushLink(link);
  }

  for (const [slot, address] of options.peers) {
    const link: Link = {
      slot,
      address,
      socket: null,
      connected: false,
      queue: [],
      timer: null,
    };
    links.set(slot, link);
    open(link);
  }

  return {
    send(slot, message) {
      const link = links.get(slot);
      if (link === undefined || !link.connected) return;
      link.queue.push(message);
      if (flushScheduled) return;
      flushScheduled = true;
      setImmediate(flushAll);
    },
    async flush() {
      flushAll();
      await Promise.all([...links.values()].map(drained));
    },
    async close() {
      closed = true;
      for (const link of links.values()) {
        if (link.timer !== null) clearTimeout(link.timer);
        link.socket?.destroy();
      }
      for (const socket of incoming) socket.destroy();
      await new Promise<void>((resolve) => server.close(() => resolve()));
    },
    trafficBytes: () => ({ ...traffic }),
  };
}

/** Ends the sending side and waits until the peer has taken everything. */
function drained({ socket, connected }: Link): Promise<void> {
  return new Promise((resolve) => {
    if (socket === null || !connected) {
      resolve();
      return;
    }
    socket.once("close", () => resolve());
    setTimeout(resolve, FLUSH_TIMEOUT_MS).unref();
    socket.end();
  });
}

/**
 * Takes in one line. Notifications need no reply, so they go straight to their
 * method: the library's server would keep several promises for each.
 */
function receive(handlers: PeerHandlers, line: string): void {
  const content = parseJson(line);
  if (isJSONRPCRequest(content) && content.method === DELIVER) {
    deliver(handlers, content.params);
  } else handlers.onMalformed();
}

function deliver(handlers: PeerHandlers, params: unknown): void {
  const delivery = deliverySchema.safeParse(params);
  if (!delivery.success) {
    handlers.onMalformed();
    return;
  }
  for (const content of delivery.data.messages) {
    const message = peerMessageSchema.safeParse(content);
    if (message.success) handlers.onMessage(delivery.data.from, message.data);
    else handlers.onMalformed();
  }
}
