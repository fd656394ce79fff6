/**
 * A stand-in for the platform's load balancer: forwards connections to the
 * ready entry instances in round-robin order.
 *
 * Usage: balancer.js PORT CONTROL_PORT ADDRESS...
 */

import { connect, createServer } from "node:net";
import { sendJson, serveJson } from "./http_service.ts";

/** Interval between readiness checks of each instance. */
const READINESS_CHECK_INTERVAL_MS = 100;

interface EntryInstance {
  readonly host: string;
  readonly port: number;
  ready: boolean;
}

const [port, controlPort, ...addresses] = process.argv.slice(2);
const instances: EntryInstance[] = addresses.map((address) => {
  const [host = "", instancePort] = address.split(":");
  return { host, port: Number(instancePort), ready: false };
});
let connectionCount = 0;

async function checkReadiness(instance: EntryInstance): Promise<void> {
  const url = `http://${instance.host}:${instance.port}/ready`;
  try {
    const response = await fetch(url, { signal: AbortSignal.timeout(500) });
    instance.ready = response.ok;
  } catch {
    instance.ready = false;
  }
}

function nextReadyInstance(): EntryInstance | undefined {
  const readyInstances = instances.filter((instance) => instance.ready);
  connectionCount += 1;
  return readyInstances[connectionCount % Math.max(1, readyInstances.length)];
}

const server = createServer((callerSocket) => {
  const instance = nextReadyInstance();
  if (instance === undefined) {
    callerSocket.destroy();
    return;
  }
  const instanceSocket = connect(instance.port, instance.host);
  instanceSocket.on("error", () => callerSocket.destroy());
  callerSocket.on("error", () => instanceSocket.destroy());
  instanceSocket.on("close", () => callerSocket.destroy());
  callerSocket.on("close", () => instanceSocket.destroy());
  callerSocket.pipe(instanceSocket).pipe(callerSocket);
});

await Promise.all(instances.map(checkReadiness));
setInterval(() => {
  for (const instance of instances) void checkReadiness(instance);
}, READINESS_CHECK_INTERVAL_MS);
server.listen(Number(port), "127.0.0.1");
await serveJson(Number(controlPort), ({ response }) => {
  sendJson(response, 200, instances);
});
process.stdout.write("ready\n");
