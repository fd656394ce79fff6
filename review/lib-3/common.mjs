/** What the stand-ins and the scripts of this review share. */

import { createServer } from "node:http";

/** Milliseconds of the machine's steady clock, the same in all processes. */
export function nowMs() {
  return Number(process.hrtime.bigint() / 1000n) / 1000;
}

export function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Reads the whole body of a request as text. */
export async function readBody(request) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks).toString("utf8");
}

export function sendJson(response, status, content) {
  if (response.destroyed || response.writableEnded) return;
  const text = content === undefined ? "" : JSON.stringify(content);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}

/** Serves HTTP on an address; `handle` gets the path, the query and the body. */
export async function serve(host, port, handle) {
  const server = createServer(async (request, response) => {
    try {
      const text = await readBody(request);
      const url = new URL(request.url, "http://stand-in");
      await handle({
        method: request.method,
        path: url.pathname,
        query: url.searchParams,
        headers: request.headers,
        text,
        response,
      });
    } catch (error) {
      process.stderr.write(`stand-in: ${error.stack}\n`);
      response.destroy();
    }
  });
  // Idle connections stay open.
  server.keepAliveTimeout = 0;
  server.requestTimeout = 0;
  await new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, 1_024, resolve);
  });
  return server;
}
