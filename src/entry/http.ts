/** Shared parts of the HTTP listeners: bodies, responses, routes, bearer keys. */

import { createHash } from "node:crypto";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import VError from "verror";
import type { z } from "zod";
import { GUARDED_SERVER_OPTIONS } from "../host/guarded_server.ts";
import { readText } from "../host/http_body.ts";
import {
  type DiagnosticName,
  Diagnostics,
  formatDiagnostic,
} from "./diagnostics.ts";

/** Thrown when a request cannot be served; carries the diagnostic to send. */
export class RequestError extends VError {
  constructor(readonly diagnostic: DiagnosticName, readonly argument = "") {
    super(
      { name: "RequestError" },
      "%s",
      formatDiagnostic(diagnostic, argument),
    );
  }
}

/** Returns the body of an error response: stable code, name, text, and `ran`. */
export function errorBody(diagnostic: DiagnosticName, argument = ""): {
  code: number;
  error: string;
  message: string;
  ran: string;
} {
  const { code, ran } = Diagnostics[diagnostic];
  const message = formatDiagnostic(diagnostic, argument);
  return { code, error: diagnostic, message, ran };
}

/** Sends a JSON response unless one was sent or the connection is closed. */
export function sendJson(
  response: ServerResponse,
  status: number,
  { body, headers = {} }: { body: unknown; headers?: Record<string, string> },
): void {
  if (response.headersSent || response.destroyed) return;
  const text = JSON.stringify(body);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
    ...headers,
  });
  response.end(text);
}

/** The `retry-after` delay when no better estimate is available. */
const DEFAULT_RETRY_AFTER_MS = 1_000;

/** Sends a diagnostic, with a `retry-after` header for statuses 429 and 503. */
export function sendDiagnostic(
  response: ServerResponse,
  diagnostic: DiagnosticName,
  { argument = "", jobId, retryAfterMs = DEFAULT_RETRY_AFTER_MS }: {
    argument?: string;
    jobId?: string;
    retryAfterMs?: number;
  } = {},
): void {
  const { status } = Diagnostics[diagnostic];
  const isRetryable = status === 429 || status === 503;
  const retryAfterS = String(Math.max(1, Math.ceil(retryAfterMs / 1_000)));
  sendJson(response, status, {
    body: {
      ...(jobId === undefined ? {} : { jobId }),
      ...errorBody(diagnostic, argument),
    },
    ...(isRetryable ? { headers: { "retry-after": retryAfterS } } : {}),
  });
}

/**
 * Reads the whole body of a request.
 *
 * @throws {RequestError} when the body exceeds `maxBytes`.
 */
export async function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<string> {
  const text = await readText(request, maxBytes);
  if (text === null) throw new RequestError("bodyTooLarge", String(maxBytes));
  return text;
}

/**
 * Parses a JSON body and validates it against a schema.
 *
 * @throws {RequestError} that names the first invalid field.
 */
export function parseBody<T>(schema: z.ZodType<T>, text: string): T {
  let content: unknown;
  try {
    content = JSON.parse(text);
  } catch {
    throw new RequestError("invalidRequest", "the body is not JSON");
  }
  const parsed = schema.safeParse(content);
  if (parsed.success) return parsed.data;
  const [issue] = parsed.error.issues;
  const field = issue?.path.map(String).join(".") || "body";
  throw new RequestError("invalidRequest", `${field}: ${issue?.message}`);
}

/** Returns the SHA-256 hash of a text in hexadecimal. */
export function sha256Hex(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}

/** Returns the hash of the request's bearer key, or null if it has none. */
export function bearerHash(request: IncomingMessage): string | null {
  const header = request.headers.authorization ?? "";
  const match = /^Bearer (\S{1,200})$/.exec(header);
  return match?.[1] === undefined ? null : sha256Hex(match[1]);
}

/** A request and its response, as passed to the handler of a route. */
export interface RouteContext {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly url: URL;
  /** The substrings of the path captured by the route's pattern. */
  readonly captured: readonly string[];
}

/** A method and path pattern of a listener, with their handler. */
export interface Route {
  readonly method: string;
  readonly pattern: RegExp;
  readonly handle: (context: RouteContext) => Promise<void> | void;
}

/** Creates a listener that serves a table of routes. */
export function createListener(
  routes: readonly Route[],
  { maxHeaderBytes, maxConnections, onError }: {
    maxHeaderBytes: number;
    maxConnections: number;
    onError: (error: unknown) => void;
  },
): Server {
  const server = createServer(
    {
      ...GUARDED_SERVER_OPTIONS,
      maxHeaderSize: maxHeaderBytes,
      keepAliveTimeout: 30_000,
    },
    (request, response) => {
      serve(routes, request, response).catch((error) => {
        if (error instanceof RequestError) {
          const { diagnostic, argument } = error;
          sendDiagnostic(response, diagnostic, { argument });
        } else onError(error);
        // Closes the connection instead of receiving the rest of the request.
        if (!request.complete) response.once("finish", () => request.destroy());
      });
    },
  );
  server.maxConnections = maxConnections;
  return server;
}

async function serve(
  routes: readonly Route[],
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const url = new URL(request.url ?? "/", "http://localhost");
  for (const { method, pattern, handle } of routes) {
    const match = pattern.exec(url.pathname);
    if (request.method !== method || match === null) continue;
    await handle({ request, response, url, captured: match.slice(1) });
    return;
  }
  throw new RequestError("notFound");
}

/** Stops listening and waits for requests in progress to be answered. */
export function closeListener(server: Server): Promise<void> {
  server.closeIdleConnections();
  return new Promise((resolve) => server.close(() => resolve()));
}
