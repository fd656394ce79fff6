/**
 * Carries messages between instances: JSON-RPC 2.0 notifications over lasting
 * TCP connections, one line a batch, one connection each way. The set of peers
 * changes while it runs.
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
import { parseJson } from "../host/json.ts";
import { listen } from "../host/listen.ts";

/** The method of the notifications that carry messages. */
const DELIVER = "deliver";
/** How long to wait before a lost connection is opened again. */
const RECONNECT_MS = 150;
/** The longest such wait, for a peer that stays away. */
const MAX_RECONNECT_MS = 1_000;
/** A connection that is not open after so long is tried anew. */
const CONNECT_TIMEOUT_MS = 600;
/** A connection to a peer that was silent for so long is opened anew. */
const SILENT_MS = 1_400;
/** How often silent connections are looked for. */
const CHECK_EVERY_MS = 300;
/** Bytes that may wait for a slow peer before its connection is dropped. */
const MAX_WAITING_BYTES = 4_194_304;

const deliverySchema = z.object({
  from: z.string(),
  messages: z.array(z.unknown()),
});

/** What the mesh tells its instance. */
export interface MeshHandlers {
  readonly onMessage: (from: string, message: PeerMessage) => void;
  readonly onUp: (instanceId: string) => void;
  readonly onDown: (instanceId: string, refused: boolean) => void;
  readonly onMalformed: (detail: string) => void;
}

/** The connections of one instance to its peers. */
export interface PeerMesh {
  readonly setPeers: (peers: readonly InstanceInfo[]) => void;
  readonly send: (instanceId: string, message: PeerMessage) => void;
  readonly bytes: () => { sent: number; received: number };
  readonly close: () => Promise<void>;
}

interface Link {
  readonly instanceId: string;
  address: string;
  socket: Socket | null;
  connected: boolean;
  queue: PeerMessage[];
  timer: NodeJS.Timeout | null;
  heardAtMs: number;
  failures: number;
  closed: boolean;
}

/** Opens the listener for peers; connections open as peers become known. */
export async function createPeerMesh(
  { self, handlers, dialAddress = ({ address }) => address }: {
    self: InstanceInfo;
    handlers: MeshHandlers;
    dialAddress?: (peer: InstanceInfo) => string;
  },
): Promise<PeerMesh> {
  const incoming = new Set<Socket>();
  const links = new Map<string, Link>();
  let flushScheduled = false;
  const traffic = { sent: 0, received: 0 };

  const server = createServer((socket) => {
    incoming.add(socket);
    socket.setNoDelay(true);
    socket.on("close", () => incoming.delete(socket));
    socket.on("error", () => socket.destroy());
    const takeLines = createLineSplitter(receive);
    socket.setEncoding("utf8");
    socket.on("data", (chunk: string) => {
      traffic.received += chunk.length;
      takeLines(chunk);
    });
  });
  await listen(server, self.address);
  const checker = setInterval(checkLinks, CHECK_EVERY_MS);

  function receive(line: string): void {
    const content = parseJson(line);
    const isObject = typeof content === "object" && content !== null;
    if (
      !isObject || !isJSONRPCRequest(content) || content.method !== DELIVER
    ) {
      handlers.onMalformed("not a delivery");
      return;
    }
    const delivery = deliverySchema.safeParse(content.params);
    if (!delivery.success) {
      handlers.onMalformed(delivery.error.message);
      return;
    }
    const { from, messages } = delivery.data;
    const link = links.get(from);
    if (link !== undefined) link.heardAtMs = performance.now();
    for (const one of messages) {
      const message = peerMessageSchema.safeParse(one);
      if (message.success) handlers.onMessage(from, message.data);
      else handlers.onMalformed(message.error.message);
    }
  }

  function open(link: Link): void {
    if (link.closed) return;
    const { host, port } = parseAddress(link.address);
    const socket = connect({ host, port, noDelay: true });
    let refused = false;
    link.socket = socket;
    const timeout = setTimeout(() => socket.destroy(), CONNECT_TIMEOUT_MS);
    socket.on("connect", () => {
      clearTimeout(timeout);
      link.connected = true;
      link.failures = 0;
      link.heardAtMs = performance.now();
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
      const waitMs = Math.min(MAX_RECONNECT_MS, RECONNECT_MS * link.failures);
      link.timer = setTimeout(() => open(link), wasConnected ? 0 : waitMs);
    });
    socket.resume();
  }

  /** A connection may go silent without a reset; a new one shows it. */
  function checkLinks(): void {
    const nowMs = performance.now();
    for (const link of links.values()) {
      // A reset drops what a cut held up: it would arrive out of date.
      if (link.connected && nowMs - link.heardAtMs > SILENT_MS) {
        link.socket?.resetAndDestroy();
      }
    }
  }

  function flushLink(link: Link): void {
    const { socket, queue } = link;
    if (queue.length === 0 || socket === null || !link.connected) return;
    link.queue = [];
    const params = { from: self.instanceId, messages: queue };
    const line = `${
      JSON.stringify(createJSONRPCNotification(DELIVER, params))
    }\n`;
    traffic.sent += line.length;
    socket.write(line);
    if (socket.writableLength > MAX_WAITING_BYTES) socket.destroy();
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
      const wanted = new Map(
        peers.map((peer) => [peer.instanceId, dialAddress(peer)]),
      );
      for (const link of [...links.values()]) {
        if (wanted.get(link.instanceId) !== link.address) closeLink(link);
      }
      for (const [instanceId, address] of wanted) {
        if (links.has(instanceId)) continue;
        const link = createLink(instanceId, address);
        links.set(instanceId, link);
        open(link);
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
      clearInterval(checker);
      flushAll();
      for (const link of [...links.values()]) {
        link.closed = true;
        if (link.timer !== null) clearTimeout(link.timer);
        link.socket?.destroySoon();
      }
      for (const socket of incoming) socket.destroy();
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
    heardAtMs: 0,
    failures: 0,
    closed: false,
  };
}

/** Cuts what arrives into lines. */
function createLineSplitter(
  onLine: (line: string) => void,
): (chunk: string) => void {
  let rest = "";
  return (chunk) => {
    const lines = (rest + chunk).split("\n");
    rest = lines.pop() ?? "";
    for (const line of lines) onLine(line);
  };
}
