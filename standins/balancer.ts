/**
 * A stand-in for the platform's balancer: passes connections to ready entry
 * instances in turn.
 *
 * Usage: balancer.js PORT CONTROL_PORT ADDRESS...
 */

import { connect, createServer } from "node:net";
import { answer, serveJson } from "./http_service.ts";

/** How often instances are asked whether they are ready. */
const CHECK_EVERY_MS = 100;

interface Backend {
  readonly host: string;
  readonly port: number;
  ready: boolean;
}

const [port, controlPort, ...addresses] = process.argv.slice(2);
const backends: Backend[] = addresses.map((address) => {
  const [host = "", backendPort] = address.split(":");
  return { host, port: Number(backendPort), ready: false };
});
let next = 0;

async function check(backend: Backend): Promise<void> {
  const url = `http://${backend.host}:${backend.port}/ready`;
  try {
    const response = await fetch(url, { signal: AbortSignal.timeout(500) });
    backend.ready = response.ok;
  } catch {
    backend.ready = false;
  }
}

function pick(): Backend | undefined {
  const ready = backends.filter((backend) => backend.ready);
  next += 1;
  return ready[next % Math.max(1, ready.length)];
}

const server = createServer((caller) => {
  const backend = pick();
  if (backend === undefined) {
    caller.destroy();
    return;
  }
  const instance = connect(backend.port, backend.host);
  instance.on("error", () => caller.destroy());
  caller.on("error", () => instance.destroy());
  instance.on("close", () => caller.destroy());
  caller.on("close", () => instance.destroy());
  caller.pipe(instance).pipe(caller);
});

await Promise.all(backends.map(check));
setInterval(() => {
  for (const backend of backends) void check(backend);
}, CHECK_EVERY_MS);
server.listen(Number(port), "127.0.0.1");
await serveJson(Number(controlPort), ({ response }) => {
  answer(response, 200, backends);
});
process.stdout.write("ready\n");
