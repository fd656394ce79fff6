/**
 * A stand-in for the network between availability zones: passes connections to
 * entry instances' peer listeners, with a delay, and can be cut.
 *
 * Usage: link.js CONTROL_PORT ONE_WAY_MS LISTEN_PORT=TARGET_PORT:LABEL...
 */

import { connect, createServer, type Socket } from "node:net";
import { answer, serveJson } from "./http_service.ts";

const [controlPort, oneWay, ...routes] = process.argv.slice(2);
const oneWayMs = Number(oneWay);
const open = new Map<string, Set<Socket>>();
let cut: ReadonlySet<string> = new Set();

/** Copies bytes in order; while the link is cut, they are held back. */
function copy(from: Socket, to: Socket, label: string): void {
  from.on("data", (chunk) => {
    if (cut.has(label)) {
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
  open.set(label, sockets);
  createServer((near) => {
    if (cut.has(label)) {
      near.destroy();
      return;
    }
    const far = connect(targetPort ?? 0, "127.0.0.1");
    near.setNoDelay(true);
    far.setNoDelay(true);
    sockets.add(near);
    near.on("close", () => sockets.delete(near));
    copy(near, far, label);
    copy(far, near, label);
  }).listen(listenPort, "127.0.0.1");
}

await serveJson(Number(controlPort), ({ body, response }) => {
  cut = new Set(body.cut as string[]);
  for (const label of cut) {
    for (const socket of open.get(label) ?? []) socket.destroy();
  }
  answer(response, 200, { cut: [...cut] });
});
process.stdout.write("ready\n");
