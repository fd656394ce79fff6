/** What the stand-ins share: a small JSON service over HTTP. */

import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";

/** A request with its body parsed. */
export interface ServiceRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingMessage["headers"];
  // deno-lint-ignore no-explicit-any
  readonly body: any;
  readonly response: ServerResponse;
}

/** Answers with JSON. */
export function answer(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  if (response.destroyed || response.headersSent) return;
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}

/** Waits for so many milliseconds. */
export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

async function bodyOf(request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  for await (const chunk of request as AsyncIterable<Buffer>) {
    chunks.push(chunk);
  }
  const text = Buffer.concat(chunks).toString("utf8");
  return text === "" ? null : JSON.parse(text);
}

/** Listens on a loopback port and hands each request to the handler. */
export function serveJson(
  port: number,
  handle: (request: ServiceRequest) => Promise<void> | void,
  { maxConnections }: { maxConnections?: number } = {},
): Promise<void> {
  const server = createServer({ keepAliveTimeout: 30_000 });
  server.on("request", (request, response) => {
    bodyOf(request)
      .then((body) =>
        handle({
          method: request.method ?? "GET",
          path: request.url ?? "/",
          headers: request.headers,
          body,
          response,
        })
      )
      .catch((error) => answer(response, 400, { error: String(error) }));
  });
  if (maxConnections !== undefined) server.maxConnections = maxConnections;
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, "127.0.0.1", () => resolve());
  });
}
