/**
 * Counts the requests that a server has received and not answered, and closes it
 * once there are none. A request of any kind counts from its header on, until its
 * answer has been handed to the operating system or its connection has ended.
 */

import type { Server } from "node:http";
import { Server as NetServer, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";

/** Interval at which a draining server is checked for open requests. */
const DRAIN_POLL_INTERVAL_MS = 20;

/** A server whose open requests are counted. */
export interface TrackedServer {
  readonly server: Server;
  /** Returns the number of requests without an answer. */
  readonly openCount: () => number;
  /** Closes the connections without such a request. */
  readonly closeIdleConnections: () => void;
}

/** Counts the open requests of a server from now on. */
export function trackRequests(server: Server): TrackedServer {
  const openCounts = new Map<Socket, number>();
  const add = (socket: Socket, count: number): void => {
    const before = openCounts.get(socket);
    if (before !== undefined) openCounts.set(socket, before + count);
  };
  server.on("connection", (socket: Socket) => {
    openCounts.set(socket, 0);
    socket.once("close", () => openCounts.delete(socket));
  });
  // This has to run before the listener that answers the request.
  server.prependListener("request", ({ socket }, response) => {
    add(socket, 1);
    response.once("close", () => add(socket, -1));
  });
  return {
    server,
    openCount() {
      let sum = 0;
      for (const count of openCounts.values()) sum += count;
      return sum;
    },
    closeIdleConnections() {
      for (const [socket, count] of openCounts) {
        if (count === 0) socket.destroy();
      }
    },
  };
}

/**
 * Accepts no further connections, and resolves once all requests have been
 * answered and the connections are closed, or at a time limit. Requests that
 * arrive on open connections meanwhile are answered, too.
 *
 * @example
 * ```ts
 * const tracked = trackRequests(createServer(handle));
 * const { openCount } = await drainServer(tracked, { limitMs: 3_000 });
 * ```
 */
export async function drainServer(
  { server, openCount, closeIdleConnections }: TrackedServer,
  { limitMs = Infinity }: { limitMs?: number } = {},
): Promise<{ openCount: number }> {
  const startedAtMs = performance.now();
  // `Server.close` of `node:http` also closes connections with answers that the
  // client has not taken yet.
  NetServer.prototype.close.call(server);
  closeIdleConnections();
  while (openCount() > 0 && performance.now() - startedAtMs < limitMs) {
    await delay(DRAIN_POLL_INTERVAL_MS);
    closeIdleConnections();
  }
  return { openCount: openCount() };
}
