/** A small JSON-over-HTTP server shared by the stand-ins. */

import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";

/** A request whose JSON body has been parsed. */
export interface ServiceRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingMessage["headers"];
  // deno-lint-ignore no-explicit-any
  readonly body: any;
  readonly response: ServerResponse;
}

/** Sends a JSON response unless one was sent or the connection is gone. */
export function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  if (response.destroyed || response.headersSent) return;
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}

/** Resolves after the given number of milliseconds. */
export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

async function readJsonBody(request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  for await (const chunk of request as AsyncIterable<Buffer>) {
    chunks.push(chunk);
  }
  const text = Buffer.concat(chunks).toString("utf8");
  return text === "" ? null : JSON.parse(text);
}

/**
 * Listens on a loopback port and passes each request to the handler. A request
 * whose body cannot be parsed or whose handler fails is answered with 400.
 */
export function serveJson(
  port: number,
  handle: (request: ServiceRequest) => Promise<void> | void,
  { maxConnections }: { maxConnections?: number } = {},
): Promise<void> {
  const server = createServer({ keepAliveTimeout: 30_000 });
  server.on("request", (request, response) => {
    readJsonBody(request)
      .then((body) =>
        handle({
          method: request.method ?? "GET",
          path: request.url ?? "/",
          headers: request.headers,
          body,
          response,
        })
      )
      .catch((error) => sendJson(response, 400, { error: String(error) }));
  });
  if (maxConnections !== undefined) server.maxConnections = maxConnections;
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, "127.0.0.1", () => resolve());
  });
}
