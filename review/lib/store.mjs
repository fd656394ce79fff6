/**
 * A stand-in for the platform's metadata store, in the form `table`. It listens
 * on one address for each instance, so that the path of a single instance can
 * be cut, and so that the writer of each transaction is known.
 */

import { createServer } from "node:http";
import { sleep } from "./time.mjs";

/** Delay of every answer, as in the site file (4 ms). */
const ANSWER_MS = 4;
/** Duration of a transaction in its part, as in the site file (8 ms). */
const TRANSACTION_MS = 8;
const MAX_PAGE_ROWS = 500;
const MAX_FEED_WAIT_MS = 30_000;

function rowId(table, part, key) {
  return JSON.stringify([table, part, key]);
}

export function createStore({ record, translate }) {
  const rows = new Map();
  /** Rows by table and part. */
  const groups = new Map();
  const changesByTable = new Map();
  const freeAtByPart = new Map();
  const listeners = new Map();
  const watchers = new Set();
  /** Instances that get 503, while the store serves the others. */
  const turnedAway = new Set();
  /** Instances whose calls are lost. */
  const unanswered = new Set();
  const startedAtMs = performance.now();
  let version = 0;
  let slowFactor = 1;
  let lostShare = 0;
  let lastConditionalWriter = null;

  const nowMs = () => Math.round(performance.now() - startedAtMs);

  function notify() {
    for (const wake of [...watchers]) wake();
  }

  function groupOf(table, part) {
    const id = JSON.stringify([table, part]);
    if (!groups.has(id)) groups.set(id, new Map());
    return groups.get(id);
  }

  function changesOf(table) {
    if (!changesByTable.has(table)) changesByTable.set(table, []);
    return changesByTable.get(table);
  }

  function apply(writes, removes) {
    version += 1;
    let isWatched = false;
    for (const { table, part, key, value } of writes) {
      const row = { table, part, key, value, ver: version };
      rows.set(rowId(table, part, key), row);
      groupOf(table, part).set(key, row);
      if (table !== "op") continue;
      changesOf(table).push(row);
      isWatched = true;
    }
    for (const { table, part, key } of removes) {
      rows.delete(rowId(table, part, key));
      groupOf(table, part).delete(key);
    }
    if (isWatched) notify();
    return version;
  }

  /** Waits for the part, which handles one transaction after another. */
  async function enterPart(part) {
    const now = performance.now();
    const freeAt = Math.max(now, freeAtByPart.get(part) ?? 0) +
      TRANSACTION_MS * slowFactor;
    freeAtByPart.set(part, freeAt);
    await sleep(freeAt - now);
  }

  /** Loses the answers of some writes; some of them are applied late. */
  async function transactOrLose(instance, body) {
    if (Math.random() >= lostShare) return await transact(instance, body);
    if (Math.random() < 0.5) {
      await sleep(1_000 + Math.random() * 3_000);
    }
    await transact(instance, body);
    return null;
  }

  async function transact(instance, body) {
    const { expected = [], writes = [], remove = [] } = body;
    const entries = [...expected, ...writes, ...remove];
    if (entries.length > 100) return { status: 400, content: {} };
    if (entries.some(({ table }) => table === "op" || table === "servers")) {
      const isWrite = [...writes, ...remove].length > 0;
      if (isWrite) return { status: 403, content: {} };
    }
    await enterPart(entries[0]?.part ?? "");
    const present = expected.map(({ table, part, key }) =>
      rows.get(rowId(table, part, key))
    );
    const matches = expected.every(({ ver }, index) =>
      (present[index]?.ver ?? 0) === ver
    );
    if (!matches) {
      const found = present.filter((row) => row !== undefined);
      return { status: 412, content: { rows: found, ver: version } };
    }
    if (expected.length > 0) lastConditionalWriter = instance;
    const ver = apply(
      writes.map((row) => ({
        ...row,
        value: translate.toStore(instance, row),
      })),
      remove,
    );
    return { status: 200, content: { ver, now_ms: nowMs() } };
  }

  function get(instance, query) {
    const table = query.get("table");
    const part = query.get("part") ?? "";
    const from = query.get("from") ?? "";
    const target = query.get("target");
    const limit = Math.min(
      MAX_PAGE_ROWS,
      Number(query.get("limit") ?? MAX_PAGE_ROWS),
    );
    const found = [...groupOf(table, part).values()].filter((row) =>
      row.key >= from && (target === null || row.key < target)
    ).sort((a, b) => a.key < b.key ? -1 : 1);
    return {
      status: 200,
      content: {
        rows: found.slice(0, limit).map((row) => ({
          ...row,
          value: translate.fromStore(instance, row),
        })),
        has_more: found.length > limit,
        ver: version,
        now_ms: nowMs(),
      },
    };
  }

  async function feed(query) {
    const table = query.get("table");
    const after = Number(query.get("after") ?? 0);
    const waitMs = Math.min(
      MAX_FEED_WAIT_MS,
      Number(query.get("wait_ms") ?? 0),
    );
    const untilMs = performance.now() + waitMs;
    while (true) {
      // Only the table of the operator is watched here.
      const found = changesOf(table).filter((row) => row.ver > after);
      const leftMs = untilMs - performance.now();
      if (found.length > 0 || leftMs <= 0) {
        return {
          status: 200,
          content: { rows: found, ver: version, now_ms: nowMs() },
        };
      }
      await new Promise((resolve) => {
        const done = () => {
          clearTimeout(timer);
          watchers.delete(done);
          resolve();
        };
        const timer = setTimeout(done, leftMs);
        watchers.add(done);
      });
    }
  }

  async function handle(instance, request, text) {
    const url = new URL(request.url, "http://store");
    const call = `${request.method} ${url.pathname}`;
    if (call === "POST /bronzemill/rows-tx") {
      return await transactOrLose(instance, JSON.parse(text));
    }
    if (call === "GET /bronzemill/rows-get") {
      return get(instance, url.searchParams);
    }
    if (call === "GET /bronzemill/rows-feed") {
      return await feed(url.searchParams);
    }
    return { status: 404, content: {} };
  }

  /** Opens the address at which one instance reaches the store. */
  function listen(instance, host, port) {
    const server = createServer((request, response) => {
      let text = "";
      request.setEncoding("utf8");
      request.on("data", (chunk) => text += chunk);
      request.on("end", async () => {
        if (unanswered.has(instance)) return;
        const answer = turnedAway.has(instance)
          ? { status: 503, content: {} }
          : await handle(instance, request, text);
        await sleep(ANSWER_MS * slowFactor);
        if (answer === null) {
          request.socket.destroy();
          return;
        }
        const { status, content } = answer;
        response.writeHead(status, { "content-type": "application/json" });
        response.end(JSON.stringify(content));
      });
    });
    server.keepAliveTimeout = 60_000;
    listeners.set(instance, { server, host, port });
    return new Promise((resolve, reject) => {
      server.once("error", reject);
      server.listen(port, host, resolve);
    });
  }

  return {
    listen,
    /** Refuses the connections of one instance, and resets the open ones. */
    refuse(instance) {
      const { server } = listeners.get(instance);
      server.close();
      server.closeAllConnections();
      record(`store: refuses instance ${instance}`);
    },
    restore(instance) {
      const { host, port } = listeners.get(instance);
      record(`store: serves instance ${instance} again`);
      return listen(instance, host, port);
    },
    setSilent(instance, isSilent) {
      if (isSilent) unanswered.add(instance);
      else unanswered.delete(instance);
      record(
        `store: calls of instance ${instance} are ${
          isSilent ? "lost" : "served"
        }`,
      );
    },
    turnAway(instance) {
      turnedAway.add(instance);
      record(`store: turns instance ${instance} away (503)`);
    },
    serve(instance) {
      turnedAway.delete(instance);
      record(`store: serves instance ${instance} again`);
    },
    slowDown(factor) {
      slowFactor = factor;
      record(`store: answers take ${factor} times as long`);
    },
    loseAnswers(share) {
      lostShare = share;
      record(`store: loses the answers of ${share} of the writes`);
    },
    /** Writes a row for the operator or an executor. */
    put(table, key, value) {
      const text = Buffer.from(JSON.stringify(value)).toString("base64");
      apply([{ table, part: "", key, value: text }], []);
    },
    lastConditionalWriter: () => lastConditionalWriter,
    /** Decoded rows of a table, for the record. */
    dump(table) {
      return [...rows.values()].filter((row) => row.table === table).map((
        { part, key, value, ver },
      ) => ({
        part,
        key,
        ver,
        value: JSON.parse(Buffer.from(value, "base64").toString("utf8")),
      }));
    },
    close() {
      for (const { server } of listeners.values()) {
        server.close();
        server.closeAllConnections();
      }
      notify();
    },
  };
}
