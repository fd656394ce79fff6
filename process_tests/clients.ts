/** Clients that send much, read nothing or never complete what they begin. */

import { connect, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";

/** What the connections of one set of clients do. */
export interface ClientSet {
  readonly connections: number;
  /** Bytes to send, by the number of the connection and of the write. */
  readonly write: (connection: number, write: number) => string;
  /** Number of writes of each connection. */
  readonly writes: number;
  /** Pause between two writes of a connection; none by default. */
  readonly intervalMs?: number;
  /** Whether a connection closes after its last write, and a new one opens. */
  readonly reopens?: number;
}

/** The open connections of clients. */
export interface Clients {
  /** Resolves once nothing more is sent: all is written, blocked or closed. */
  readonly settled: Promise<void>;
  readonly close: () => void;
}

/** Time without progress of any connection after which all count as blocked. */
const BLOCKED_AFTER_MS = 1_500;
/** Longest time for which clients send. */
const MAX_SENDING_MS = 20_000;

/** Opens the connections, which read nothing, and lets them send. */
export function startClients(
  { ip, port }: { ip: string; port: number },
  { connections, write, writes, intervalMs = 0, reopens = 0 }: ClientSet,
): Clients {
  const sockets = new Set<Socket>();
  let isClosed = false;
  let lastProgressAtMs = performance.now();
  let sending = connections;

  function open(connection: number, opensLeft: number): void {
    // Another address than that of ordinary callers.
    const localAddress = "127.0.0.2";
    const socket = connect({ host: ip, port, localAddress });
    let index = 0;
    let isSending = true;
    sockets.add(socket);
    const finish = () => {
      if (!isSending) return;
      isSending = false;
      if (opensLeft > 0 && !isClosed) {
        socket.destroy();
        lastProgressAtMs = performance.now();
        setImmediate(() => open(connection, opensLeft - 1));
      } else sending -= 1;
    };
    const sendNext = () => {
      if (socket.destroyed) return;
      if (index === writes) return finish();
      const text = write(connection, index);
      index += 1;
      socket.write(text, () => {
        lastProgressAtMs = performance.now();
        if (intervalMs > 0) setTimeout(sendNext, intervalMs);
        else setImmediate(sendNext);
      });
    };
    socket.on("connect", sendNext);
    socket.on("error", () => {});
    socket.on("close", () => {
      sockets.delete(socket);
      finish();
    });
  }

  async function waitUntilSettled(): Promise<void> {
    const endMs = performance.now() + MAX_SENDING_MS;
    while (
      sending > 0 && performance.now() < endMs &&
      performance.now() - lastProgressAtMs < BLOCKED_AFTER_MS + intervalMs
    ) {
      await delay(50);
    }
  }

  for (let index = 0; index < connections; index += 1) open(index, reopens);
  return {
    settled: waitUntilSettled(),
    close() {
      isClosed = true;
      for (const socket of sockets) socket.destroy();
    },
  };
}
