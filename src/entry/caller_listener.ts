/** The callers' interface: submit a job, ask for it, cancel it. */

import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { z } from "zod";
import { Diagnostics } from "../core/diagnostics.ts";
import { submissionSchema } from "../core/schemas.ts";
import type { Answer } from "../core/schemas.ts";
import type { CallerReply, CoreEvent } from "../core/types.ts";
import type { ClockHost } from "../host/hosts.ts";
import type { Settings } from "../settings/schema.ts";
import type { AccessTable, Identity } from "./access.ts";
import {
  createListener,
  errorBody,
  parseBody,
  readBody,
  RequestError,
  type RouteContext,
  sendDiagnostic,
  sendJson,
  sha256Hex,
} from "./http.ts";

/** The longest idempotency key. */
const MAX_KEY_CHARS = 200;
/** How many jobs one request may cancel. */
const MAX_CANCELLED_JOBS = 1_000;

const cancelSchema = z.strictObject({
  jobIds: z.array(z.string().max(200)).min(1).max(MAX_CANCELLED_JOBS),
});

/** What the caller listener needs of the shell. */
export interface CallerHost {
  readonly clock: ClockHost;
  /** When a request that arrives now was received, at the earliest. */
  readonly receivedMs: () => number;
  readonly access: AccessTable;
  readonly dispatch: (event: CoreEvent) => void;
  readonly isReady: () => boolean;
  readonly onError: (error: unknown) => void;
}

/** The listener, and the way back to the callers that wait. */
export interface CallerListener {
  readonly server: Server;
  readonly reply: (requestId: string, reply: CallerReply) => void;
  readonly waiting: () => number;
}

const statusOfState: Record<Answer["state"], number> = {
  complete: 200,
  failed: 502,
  refused: 503,
  unknown: 504,
};

function sendAnswer(response: ServerResponse, answer: Answer): void {
  const name = answer.diagnostic as keyof typeof Diagnostics | undefined;
  const status = name === undefined
    ? statusOfState[answer.state]
    : Diagnostics[name].status;
  const error = name === undefined ? {} : errorBody(name);
  sendJson(response, status, { body: { ...answer, ...error } });
}

const replyHandlers: {
  [K in CallerReply["kind"]]: (
    response: ServerResponse,
    reply: Extract<CallerReply, { kind: K }>,
  ) => void;
} = {
  answer: (response, { answer }) => sendAnswer(response, answer),
  accepted: (response, { jobId }) =>
    sendJson(response, 202, { body: { jobId, state: "accepted" } }),
  refused: (response, { diagnostic, argument }) =>
    sendDiagnostic(response, diagnostic, argument),
};

function sendReply(response: ServerResponse, reply: CallerReply): void {
  const handler = replyHandlers[reply.kind] as (
    response: ServerResponse,
    reply: CallerReply,
  ) => void;
  handler(response, reply);
}

function teamOf(identity: Identity): string {
  if (identity.team === null || identity.role === "reader") {
    throw new RequestError("forbidden");
  }
  return identity.team;
}

function headerOf(request: IncomingMessage, name: string): string | null {
  const value = request.headers[name];
  return typeof value === "string" ? value : null;
}

function keyOf(request: IncomingMessage): string | null {
  const key = headerOf(request, "idempotency-key");
  if (key === null) return null;
  if (key.length > 0 && key.length <= MAX_KEY_CHARS) return key;
  const message = `idempotency-key: 1 to ${MAX_KEY_CHARS} characters`;
  throw new RequestError("invalidRequest", message);
}

function attemptOf(request: IncomingMessage): number | null {
  const text = headerOf(request, "bronzemill-attempt");
  if (text === null) return null;
  if (/^[1-9]\d{0,5}$/.test(text)) return Number(text);
  throw new RequestError("invalidRequest", "bronzemill-attempt: 1 or more");
}

/** Hex digits of a version 7 UUID's timestamp, in milliseconds. */
const UUID7 =
  /(?:^|:)([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-/i;

/** When a key was made, where it is a version 7 UUID (RFC 9562). */
export function keyCreatedMs(key: string | null): number | null {
  const match = UUID7.exec(key ?? "");
  return match === null ? null : parseInt(`${match[1]}${match[2]}`, 16);
}

/** Creates the listener; `reply` ends the requests that the core answers. */
export function createCallerListener(
  host: CallerHost,
  limits: Settings["entry"],
): CallerListener {
  const waiting = new Map<string, ServerResponse>();
  let nextRequest = 0;

  function waitFor(response: ServerResponse): string {
    nextRequest += 1;
    const requestId = `r${nextRequest}`;
    waiting.set(requestId, response);
    response.on("close", () => {
      if (!waiting.delete(requestId)) return;
      const nowMs = host.clock.nowMs();
      host.dispatch({ type: "callerGone", nowMs, requestId });
    });
    return requestId;
  }

  async function submit({ request, response, url }: RouteContext) {
    const receivedMs = host.receivedMs();
    const team = teamOf(host.access.identify(request));
    const key = keyOf(request);
    const attempt = attemptOf(request);
    const text = await readBody(request, limits.maxBodyBytes);
    const submission = parseBody(submissionSchema, text);
    const { service, kind, idempotent, tasks } = submission;
    host.dispatch({
      type: "callerSubmit",
      nowMs: receivedMs,
      wallMs: host.clock.wallMs(),
      requestId: waitFor(response),
      team,
      key,
      attempt,
      keyCreatedMs: keyCreatedMs(key),
      payloadHash: sha256Hex(
        JSON.stringify([service, kind, idempotent, tasks]),
      ),
      wait: url.searchParams.get("wait") !== "false",
      submission,
    });
  }

  function query({ request, response, url, captured }: RouteContext) {
    const team = teamOf(host.access.identify(request));
    host.dispatch({
      type: "callerQuery",
      nowMs: host.clock.nowMs(),
      requestId: waitFor(response),
      team,
      jobId: captured[0] ?? "",
      wait: url.searchParams.get("wait") === "true",
    });
  }

  function cancelOne({ request, response, captured }: RouteContext) {
    const team = teamOf(host.access.identify(request));
    cancel(response, team, [captured[0] ?? ""]);
  }

  async function cancelMany({ request, response }: RouteContext) {
    const team = teamOf(host.access.identify(request));
    const text = await readBody(request, limits.maxBodyBytes);
    cancel(response, team, parseBody(cancelSchema, text).jobIds);
  }

  function cancel(response: ServerResponse, team: string, jobIds: string[]) {
    const nowMs = host.clock.nowMs();
    const requestId = waitFor(response);
    host.dispatch({ type: "callerCancel", nowMs, requestId, team, jobIds });
  }

  function ready({ response }: RouteContext) {
    const isReady = host.isReady();
    sendJson(response, isReady ? 200 : 503, { body: { ready: isReady } });
  }

  const server = createListener([
    { method: "POST", pattern: /^\/v1\/jobs$/, handle: submit },
    { method: "GET", pattern: /^\/v1\/jobs\/([^/]+)$/, handle: query },
    { method: "DELETE", pattern: /^\/v1\/jobs\/([^/]+)$/, handle: cancelOne },
    { method: "POST", pattern: /^\/v1\/cancellations$/, handle: cancelMany },
    { method: "GET", pattern: /^\/ready$/, handle: ready },
  ], {
    maxHeaderBytes: limits.maxHeaderBytes,
    maxConnections: limits.maxConnections,
    onError: host.onError,
  });

  return {
    server,
    waiting: () => waiting.size,
    reply(requestId, reply) {
      const response = waiting.get(requestId);
      if (response === undefined) return;
      waiting.delete(requestId);
      sendReply(response, reply);
    },
  };
}
