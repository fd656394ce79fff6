import { connect, createServer } from "node:net";
import { test } from "node:test";
import { testInstanceInfo } from "../engine/testing.ts";
import { createPeerMesh } from "./peer_mesh.ts";

/** Longer than the minimum time between two attempts to connect. */
const RETRY_INTERVAL_MS = 160;

function blockFor(ms: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}

/** Returns a port on which nobody listens. */
async function findFreePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as { port: number };
  await new Promise<void>((resolve) => server.close(() => resolve()));
  return port;
}

// After a loss of power, the first packet to a host that was not up yet is lost,
// and the zone had no leader for the 0.75 s until the next attempt. The timers
// that end an attempt or its delay don't run here.
test("a mesh connects to a waiting peer as soon as it hears from it", async (context) => {
  const port = await findFreePort();
  const peerPort = await findFreePort();
  context.mock.timers.enable({ apis: ["setTimeout"] });
  let reportDown = (): void => {};
  let reportUp = (): void => {};
  const isDown = new Promise<void>((resolve) => reportDown = resolve);
  const isUp = new Promise<void>((resolve) => reportUp = resolve);
  const self = { ...testInstanceInfo("a"), address: `127.0.0.1:${port}` };
  const peer = { ...testInstanceInfo("b"), address: `127.0.0.1:${peerPort}` };
  const mesh = await createPeerMesh({
    self,
    handlers: {
      onMessage: () => {},
      onUp: reportUp,
      onDown: reportDown,
      onMalformed: () => {},
    },
  });
  mesh.setPeers([peer]);
  await isDown;
  const listener = createServer((socket) => socket.resume());
  await new Promise<void>((resolve) =>
    listener.listen(peerPort, "127.0.0.1", resolve)
  );
  blockFor(RETRY_INTERVAL_MS);
  const sender = connect({ host: "127.0.0.1", port });
  const params = { from: "b", messages: [] };
  sender.write(
    `${JSON.stringify({ jsonrpc: "2.0", method: "deliver", params })}\n`,
  );
  await isUp;
  sender.destroy();
  await mesh.close();
  listener.close();
});
