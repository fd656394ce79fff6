/**
 * A stand-in for the platform's metadata store, by PROTOCOL.md: rows with
 * versions from one counter, atomic transactions of one part, ranges and a feed.
 * The operator and the executors write through `/control/put`.
 *
 * Usage: store.mjs HOST PORT TX_MS READ_MS ROW_BYTES
 */

import { nowMs, sendJson, serve, sleep } from "./common.mjs";

const [host, port, txMs, readMs, rowBytes] = process.argv.slice(2);
const MAX_ENTRIES = 100;
const MAX_CALL_BYTES = 1_000_000;
const MAX_PAGE_ROWS = 500;
const OPERATOR_TABLES = new Set(["op", "servers"]);

/** Rows by `table|part|key`. */
const rows = new Map();
/** Changes in order of version; removed rows are marked. */
const history = [];
let ver = 0;
/** By part, the end of the transactions that wait. */
const partBusy = new Map();
const waiters = new Set();
/** What the test makes the store do: `down`, `slow`, `lost` or nothing. */
let trouble = {};

function idOf({ table, part = "", key }) {
  return `${table}|${part}|${key}`;
}

function wireRow({ table, part, key, value, ver: rowVer }) {
  return { table, part, key, value, ver: rowVer };
}

function apply({ writes = [], remove = [] }) {
  if (writes.length + remove.length === 0) return;
  ver += 1;
  for (const { table, part = "", key, value } of writes) {
    const row = { table, part, key, value, ver };
    rows.set(idOf(row), row);
    history.push(row);
  }
  for (const { table, part = "", key } of remove) {
    rows.delete(idOf({ table, part, key }));
    history.push({ table, part, key, ver, deleted: true });
  }
  for (const wake of [...waiters]) wake();
}

function differsFrom(expected) {
  return expected.filter((row) =>
    (rows.get(idOf(row))?.ver ?? 0) !== (row.ver ?? 0)
  );
}

async function transact({ text, response }) {
  if (Buffer.byteLength(text) > MAX_CALL_BYTES) {
    sendJson(response, 400, { reason: "size" });
    return;
  }
  const { expected = [], writes = [], remove = [] } = JSON.parse(text);
  const entries = [...expected, ...writes, ...remove];
  const parts = new Set(entries.map(({ part = "" }) => part));
  const isInvalid = entries.length > MAX_ENTRIES || parts.size > 1 ||
    writes.some(({ value = "" }) => value.length > Number(rowBytes));
  if (isInvalid) {
    sendJson(response, 400, { reason: "invalid" });
    return;
  }
  if ([...writes, ...remove].some(({ table }) => OPERATOR_TABLES.has(table))) {
    sendJson(response, 403, {});
    return;
  }
  // Transactions of a part are handled one after another.
  const [part = ""] = parts;
  const startMs = Math.max(nowMs(), partBusy.get(part) ?? 0);
  const endMs = startMs + Number(txMs);
  partBusy.set(part, endMs);
  const isLost = trouble.what === "lost" && Math.random() < trouble.share;
  if (isLost && trouble.late) {
    setTimeout(() => {
      if (differsFrom(expected).length === 0) apply({ writes, remove });
    }, 1_000 + 5_000 * Math.random());
    return;
  }
  await sleep(endMs - nowMs());
  if (differsFrom(expected).length > 0) {
    if (isLost) return;
    const present = expected.flatMap((row) => rows.get(idOf(row)) ?? []);
    sendJson(response, 412, { rows: present.map(wireRow), ver });
    return;
  }
  apply({ writes, remove });
  if (isLost) return;
  sendJson(response, 200, { ver, now_ms: Math.floor(nowMs()) });
}

async function getRows({ query, response }) {
  await sleep(Number(readMs));
  const table = query.get("table") ?? "";
  const part = query.get("part") ?? "";
  const from = query.get("from") ?? "";
  const target = query.get("target");
  const limit = Math.min(
    MAX_PAGE_ROWS,
    Number(query.get("limit") ?? MAX_PAGE_ROWS),
  );
  const found = [...rows.values()].filter((row) =>
    row.table === table && row.part === part && row.key >= from &&
    (target === null || row.key < target)
  ).sort((a, b) => (a.key < b.key ? -1 : 1));
  sendJson(response, 200, {
    rows: found.slice(0, limit).map(wireRow),
    has_more: found.length > limit,
    ver,
    now_ms: Math.floor(nowMs()),
  });
}

async function feed({ query, response }) {
  const table = query.get("table") ?? "";
  const after = Number(query.get("after") ?? 0);
  const endMs = nowMs() + Math.min(30_000, Number(query.get("wait_ms") ?? 0));
  for (;;) {
    const changed = history.filter((row) =>
      row.table === table && row.ver > after
    );
    if (changed.length > 0 || nowMs() >= endMs || response.destroyed) {
      sendJson(response, 200, { rows: changed, ver });
      return;
    }
    await new Promise((resolve) => {
      const timer = setTimeout(wake, Math.max(1, endMs - nowMs()));
      function wake() {
        clearTimeout(timer);
        waiters.delete(wake);
        response.off("close", wake);
        resolve();
      }
      waiters.add(wake);
      response.once("close", wake);
    });
  }
}

function listParts({ query, response }) {
  const table = query.get("table") ?? "";
  const parts = new Set();
  for (const row of rows.values()) if (row.table === table) parts.add(row.part);
  sendJson(response, 200, { parts: [...parts].sort(), has_more: false });
}

const handlers = {
  "/bronzemill/rows-tx": transact,
  "/bronzemill/rows-get": getRows,
  "/bronzemill/rows-feed": feed,
  "/bronzemill/rows-parts": listParts,
  "/control/trouble": ({ text, response }) => {
    trouble = JSON.parse(text);
    sendJson(response, 200, {});
  },
  "/control/remove": ({ text, response }) => {
    apply(JSON.parse(text));
    sendJson(response, 200, { ver });
  },
  "/control/put": ({ text, response }) => {
    apply(JSON.parse(text));
    sendJson(response, 200, { ver });
  },
  "/control/dump": ({ query, response }) => {
    const table = query.get("table");
    const found = [...rows.values()].filter((row) => row.table === table);
    sendJson(response, 200, { rows: found, ver });
  },
};

await serve(host, Number(port), async (call) => {
  const isControl = call.path.startsWith("/control/");
  if (trouble.what === "down" && !isControl) {
    if (trouble.how === "busy") sendJson(call.response, 503, {});
    else if (trouble.how === "reset") call.response.destroy();
    return;
  }
  if (trouble.what === "slow" && !isControl) {
    await sleep(trouble.byMs);
  }
  const handler = handlers[call.path];
  if (handler === undefined) {
    sendJson(call.response, 404, {});
    return;
  }
  return handler(call);
});
process.stdout.write("ready\n");
