import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { expect } from "earl";
import { createFakeStore } from "./fake_store.ts";
import { createStoreClient, EVACUATION_ROWS } from "./store_client.ts";

// An empty answer in place of an error would end all evacuations.
test("evacuated zones are read from the rows of the operator, or the read fails", async () => {
  const rows = createFakeStore();
  const { table, part, keyPrefix } = EVACUATION_ROWS;
  rows.transact({
    part,
    expected: [],
    writes: [
      { table, key: `${keyPrefix}poa`, value: {} },
      { table, key: "other", value: {} },
    ],
    removes: [],
  });
  let isDown = false;
  const server = createServer((request, response) => {
    request.resume().on("end", () => {
      response.writeHead(isDown ? 503 : 200);
      response.end(JSON.stringify({ rows: rows.readRows({ table, part }) }));
    });
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  const store = createStoreClient(`127.0.0.1:${port}`, { timeoutMs: 5_000 });
  const zones = await store.readEvacuations();
  isDown = true;
  const outcome = await store.readEvacuations()
    .then(() => "answered", () => "failed");
  await store.close();
  server.closeAllConnections();
  await new Promise((resolve) => server.close(resolve));
  expect(zones).toEqual(["poa"]);
  expect(outcome).toEqual("failed");
});

// A leader starts no task once its last outcome is too old, and none before the
// first one.
test(
  "a read of evacuated zones fails long before a long timeout of the store",
  { timeout: 10_000 },
  async (context) => {
    const server = createServer(() => {});
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", () => resolve())
    );
    context.after(() => {
      server.closeAllConnections();
      server.close();
    });
    const { port } = server.address() as AddressInfo;
    const store = createStoreClient(`127.0.0.1:${port}`, { timeoutMs: 60_000 });
    const outcome = await store.readEvacuations()
      .then(() => "answered", () => "failed");
    await store.close();
    expect(outcome).toEqual("failed");
  },
);
