/**
 * A stand-in for the platform's metadata store: rows in tables and parts, with
 * conditional transactions and a change feed, as PROTOCOL.md describes them.
 */

import { createServer } from "node:http";

const READ_MS = 4;
const TX_MS = 8;
const FEED_CHECK_MS = 10;
const MAX_ROWS = 500;
/** Tables that only the operator and the executors write. */
const FOREIGN_TABLES = new Set(["op", "servers"]);

const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

function encode(value) {
  return Buffer.from(JSON.stringify(value)).toString("base64");
}

export async function startStore() {
  /** Rows by table, part and key; a removed row has no value. */
  const rows = new Map();
  let version = 0;
  const parts = new Map();
  /**
   * What goes wrong: `mode` is how calls are turned away, `lostShare` and
   * `lateShare` are shares of the transactions whose answers are lost and, for
   * the latter, that are done seconds later.
   */
  const faults = { mode: null, lostShare: 0, lateShare: 0, slowMs: 0 };

  const idOf = ({ table, part = "", key }) =>
    `${table}\u0000${part}\u0000${key}`;

  function liveRow(id) {
    const row = rows.get(id);
    return row === undefined || row.deleted ? undefined : row;
  }

  function put({ table, part = "", key }, value) {
    version += 1;
    rows.set(idOf({ table, part, key }), {
      table,
      part,
      key,
      value,
      ver: version,
    });
  }

  function drop({ table, part = "", key }) {
    version += 1;
    rows.set(idOf({ table, part, key }), {
      table,
      part,
      key,
      deleted: true,
      ver: version,
    });
  }

  function rowsGet(query) {
    const table = query.get("table");
    const part = query.get("part") ?? "";
    const from = query.get("from") ?? "";
    const target = query.get("target");
    const limit = Math.min(MAX_ROWS, Number(query.get("limit") ?? MAX_ROWS));
    const found = [...rows.values()]
      .filter((row) => row.table === table && row.part === part && !row.deleted)
      .filter(({ key }) => key >= from && (target === null || key < target))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    return {
      rows: found.slice(0, limit),
      has_more: found.length > limit,
      ver: version,
      now_ms: Math.round(performance.now()),
    };
  }

  function apply({ expected = [], writes = [], remove = [] }) {
    if ([...writes, ...remove].some(({ table }) => FOREIGN_TABLES.has(table))) {
      return { status: 403, content: {} };
    }
    const holds = expected.every((row) =>
      (liveRow(idOf(row))?.ver ?? 0) === (row.ver ?? 0)
    );
    if (!holds) {
      const found = expected.map((row) => liveRow(idOf(row)));
      return {
        status: 412,
        content: { rows: found.filter((row) => row !== undefined) },
      };
    }
    if (writes.length + remove.length > 0) version += 1;
    for (const { table, part = "", key, value } of writes) {
      rows.set(idOf({ table, part, key }), {
        table,
        part,
        key,
        value,
        ver: version,
      });
    }
    for (const { table, part = "", key } of remove) {
      const ver = version;
      rows.set(idOf({ table, part, key }), {
        table,
        part,
        key,
        deleted: true,
        ver,
      });
    }
    return { status: 200, content: { ver: version } };
  }

  /** Transactions of one part follow each other. */
  async function rowsTx(body) {
    const all = [
      ...(body.expected ?? []),
      ...(body.writes ?? []),
      ...(body.remove ?? []),
    ];
    const part = all[0]?.part ?? "";
    const before = parts.get(part) ?? Promise.resolve();
    const done = before.then(() => sleep(TX_MS + faults.slowMs)).then(() =>
      apply(body)
    );
    parts.set(part, done);
    return await done;
  }

  async function rowsFeed(query, response) {
    const table = query.get("table");
    const after = Number(query.get("after"));
    const endMs = performance.now() + Number(query.get("wait_ms") ?? 0);
    while (!response.destroyed) {
      const changed = [...rows.values()]
        .filter((row) => row.table === table && row.ver > after)
        .sort((a, b) => a.ver - b.ver);
      if (changed.length > 0 || performance.now() >= endMs) {
        return { rows: changed, ver: version };
      }
      await sleep(FEED_CHECK_MS);
    }
    return {};
  }

  async function handle(request, response, text) {
    const [path, search = ""] = request.url.split("?");
    const query = new URLSearchParams(search);
    if (path === "/bronzemill/rows-tx") return await rowsTx(JSON.parse(text));
    await sleep(READ_MS + faults.slowMs);
    if (path === "/bronzemill/rows-get") {
      return { status: 200, content: rowsGet(query) };
    }
    if (path === "/bronzemill/rows-feed") {
      return { status: 200, content: await rowsFeed(query, response) };
    }
    return { status: 404, content: {} };
  }

  const server = createServer((request, response) => {
    let text = "";
    request.setEncoding("utf8");
    request.on("data", (chunk) => text += chunk);
    request.on("end", () => {
      if (faults.mode === "silent") return;
      if (faults.mode === "reset") {
        request.socket.resetAndDestroy();
        return;
      }
      if (faults.mode === "busy") {
        response.writeHead(503);
        response.end();
        return;
      }
      const isTx = request.url === "/bronzemill/rows-tx";
      if (isTx && Math.random() < faults.lateShare) {
        const afterMs = 1_000 + Math.random() * 5_000;
        setTimeout(() => handle(request, response, text), afterMs);
        return;
      }
      if (isTx && Math.random() < faults.lostShare) {
        handle(request, response, text);
        return;
      }
      handle(request, response, text).then(({ status, content }) => {
        if (response.destroyed) return;
        response.writeHead(status, { "content-type": "application/json" });
        response.end(JSON.stringify(content));
      });
    });
  });
  await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));

  return {
    address: `127.0.0.1:${server.address().port}`,
    faults,
    /** Writes a row as the operator or an executor does. */
    put: (row, value) => put(row, encode(value)),
    drop,
    values: (table) =>
      [...rows.values()].filter((row) => row.table === table && !row.deleted)
        .map((row) => ({
          ...row,
          value: JSON.parse(Buffer.from(row.value, "base64").toString("utf8")),
        })),
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}
