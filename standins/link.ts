/**
 * A stand-in for the network between availability zones: forwards connections
 * to the peer listeners of entry instances with a delay, and simulates network
 * partitions.
 *
 * Usage: link.js CONTROL_PORT ONE_WAY_MS LISTEN_PORT=TARGET_PORT:LABEL...
 */

import { connect, createServer, type Socket } from "node:net";
import { sendJson, serveJson } from "./http_service.ts";

const [controlPort, oneWay, ...routes] = process.argv.slice(2);
const oneWayMs = Number(oneWay);
const socketsByLabel = new Map<string, Set<Socket>>();
/** Labels of the routes that are partitioned; `cut` on the wire. */
let partitionedLabels: ReadonlySet<string> = new Set();

/**
 * Forwards data in order after the one-way delay. Data that arrives on a
 * partitioned route closes the connection.
 */
function forward(from: Socket, to: Socket, label: string): void {
  from.on("data", (chunk) => {
    if (partitionedLabels.has(label)) {
      from.destroy();
      return;
    }
    if (oneWayMs === 0) to.write(chunk);
    else setTimeout(() => to.write(chunk), oneWayMs);
  });
  from.on("error", () => from.destroy());
  from.on("close", () => to.destroy());
}

for (const route of routes) {
  const [ports = "", label = ""] = route.split(":");
  const [listenPort, targetPort] = ports.split("=").map(Number);
  const sockets = new Set<Socket>();
  socketsByLabel.set(label, sockets);
  createServer((dialerSocket) => {
    if (partitionedLabels.has(label)) {
      dialerSocket.destroy();
      return;
    }
    const targetSocket = connect(targetPort ?? 0, "127.0.0.1");
    dialerSocket.setNoDelay(true);
    targetSocket.setNoDelay(true);
    sockets.add(dialerSocket);
    dialerSocket.on("close", () => sockets.delete(dialerSocket));
    forward(dialerSocket, targetSocket, label);
    forward(targetSocket, dialerSocket, label);
  }).listen(listenPort, "127.0.0.1");
}

await serveJson(Number(controlPort), ({ body, response }) => {
  partitionedLabels = new Set(body.cut as string[]);
  for (const label of partitionedLabels) {
    for (const socket of socketsByLabel.get(label) ?? []) socket.destroy();
  }
  sendJson(response, 200, { cut: [...partitionedLabels] });
});
process.stdout.write("ready\n");
