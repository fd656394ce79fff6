/** The callers' interface: submit a job, ask for it, cancel it. */

import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { z } from "zod";
import type { JobQuery } from "../engine/schemas.ts";
import { sleep } from "../host/sleep.ts";
import type { Instance } from "../instance/instance.ts";
import type { Settings } from "../settings/schema.ts";
import type { AccessTable, Identity } from "./access.ts";
import { expectedMsOf, queueOf } from "./configuration.ts";
import type { DiagnosticName } from "./diagnostics.ts";
import {
  createListener,
  parseBody,
  readBody,
  RequestError,
  type RouteContext,
  sendDiagnostic,
  sendJson,
} from "./http.ts";
import {
  type CallerAnswer,
  isJobOf,
  jobIdOf,
  toAnswer,
  toJobSpec,
  toQuestionAnswer,
  withoutRecord,
} from "./job_translation.ts";
import { type SiteConfiguration, submissionSchema } from "./schemas.ts";

/** The longest idempotency key. */
const MAX_KEY_CHARS = 200;
/** How many jobs one request may cancel. */
const MAX_CANCELLED_JOBS = 1_000;
/** A caller that waits for a job has it looked up so often. */
const LOOK_UP_MS = 100;

/** What is said of jobs that were cancelled. */
const CANCELLED: ReadonlySet<DiagnosticName> = new Set([
  "cancelled",
  "cancelledNotRun",
]);

const cancelSchema = z.strictObject({
  jobIds: z.array(z.string().max(200)).min(1).max(MAX_CANCELLED_JOBS),
});

/** What the caller listener needs of the instance. */
export interface CallerHost {
  readonly instance: Pick<Instance, "submit" | "ask">;
  readonly access: AccessTable;
  readonly site: () => SiteConfiguration | null;
  readonly isReady: () => boolean;
  readonly isDraining: () => boolean;
  readonly onError: (error: unknown) => void;
}

function teamOf(identity: Identity): string {
  if (identity.team === null || identity.role === "reader") {
    throw new RequestError("forbidden");
  }
  return identity.team;
}

function keyOf(request: IncomingMessage): string | null {
  const key = request.headers["idempotency-key"];
  if (typeof key !== "string") return null;
  if (key.length > 0 && key.length <= MAX_KEY_CHARS) return key;
  const message = `idempotency-key: 1 to ${MAX_KEY_CHARS} characters`;
  throw new RequestError("invalidRequest", message);
}

/**
 * Whether a request may be a later attempt: it has a key and does not say that
 * it is the first.
 */
function isSubmittedAgain(
  request: IncomingMessage,
  key: string | null,
): boolean {
  const attempt = request.headers["bronzemill-attempt"];
  if (attempt === undefined) return key !== null;
  if (/^[1-9]\d{0,5}$/.test(String(attempt))) {
    return key !== null && attempt !== "1";
  }
  throw new RequestError("invalidRequest", "bronzemill-attempt: 1 or more");
}

type Senders = {
  [K in CallerAnswer["kind"]]: (
    response: ServerResponse,
    jobId: string,
    answer: Extract<CallerAnswer, { kind: K }>,
  ) => void;
};

const senders: Senders = {
  accepted: (response, jobId) =>
    sendJson(response, 202, { body: { jobId, state: "accepted" } }),
  answer: (response, _jobId, { answer }) =>
    sendJson(response, 200, { body: answer }),
  diagnostic: (response, jobId, { diagnostic, retryAfterMs }) =>
    sendDiagnostic(response, diagnostic, {
      jobId,
      ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
    }),
};

function send(
  response: ServerResponse,
  jobId: string,
  answer: CallerAnswer,
): void {
  const sender = senders[answer.kind] as (
    response: ServerResponse,
    jobId: string,
    answer: CallerAnswer,
  ) => void;
  sender(response, jobId, answer);
}

/** Creates the listener for callers. */
export function createCallerListener(
  host: CallerHost,
  limits: Settings["entry"],
): Server {
  const { instance } = host;

  async function submit({ request, response, url }: RouteContext) {
    const team = teamOf(host.access.identify(request));
    const key = keyOf(request);
    const again = isSubmittedAgain(request, key);
    const text = await readBody(request, limits.maxBodyBytes);
    const submission = parseBody(submissionSchema, text);
    // An earlier attempt may have run; this instance can't tell.
    if (host.isDraining()) {
      throw new RequestError(again ? "outcomeUnknown" : "draining");
    }
    const site = host.site();
    if (site === null) {
      throw new RequestError(again ? "outcomeUnknown" : "notReady");
    }
    const queue = queueOf(site, team, submission);
    if (queue === null) {
      const name = `${submission.service}/${submission.kind}`;
      throw new RequestError("unknownService", name);
    }
    const waits = url.searchParams.get("wait") !== "false";
    const jobId = jobIdOf(team, key);
    const isRecorded = key !== null || !waits;
    const leave = instance.submit({
      jobId,
      queue,
      job: toJobSpec(submission, {
        queue,
        expectedMs: expectedMsOf(site, submission),
        isRecorded,
      }),
      timeoutMs: queue.timeoutMs,
      answerAt: waits ? "ended" : "accepted",
      onAnswer: (reply) => {
        const told = withoutRecord(reply, { isSubmittedAgain: again });
        send(response, jobId, toAnswer(jobId, told));
      },
    });
    response.once("close", leave);
  }

  async function ask(question: JobQuery & { jobId: string }) {
    return toQuestionAnswer(question.jobId, await instance.ask(question));
  }

  async function query({ request, response, url, captured }: RouteContext) {
    const team = teamOf(host.access.identify(request));
    const jobId = captured[0] ?? "";
    if (!isJobOf(team, jobId)) throw new RequestError("jobNotFound");
    const waits = url.searchParams.get("wait") === "true";
    let answer = await ask({ kind: "job", jobId });
    while (waits && answer.kind === "accepted" && !response.destroyed) {
      await sleep(LOOK_UP_MS);
      answer = await ask({ kind: "job", jobId });
    }
    send(response, jobId, answer);
  }

  async function cancelOne({ request, response, captured }: RouteContext) {
    const team = teamOf(host.access.identify(request));
    const jobId = captured[0] ?? "";
    if (!isJobOf(team, jobId)) throw new RequestError("jobNotFound");
    send(response, jobId, await ask({ kind: "cancel", jobId }));
  }

  async function cancelMany({ request, response }: RouteContext) {
    const team = teamOf(host.access.identify(request));
    const text = await readBody(request, limits.maxBodyBytes);
    const { jobIds } = parseBody(cancelSchema, text);
    const own = jobIds.filter((jobId) => isJobOf(team, jobId));
    const answers = await Promise.all(
      own.map((jobId) => ask({ kind: "cancel", jobId })),
    );
    const cancelled =
      answers.filter((answer) =>
        answer.kind === "diagnostic" && CANCELLED.has(answer.diagnostic)
      ).length;
    sendJson(response, 200, { body: { asked: jobIds.length, cancelled } });
  }

  function ready({ response }: RouteContext) {
    const isReady = host.isReady();
    sendJson(response, isReady ? 200 : 503, { body: { ready: isReady } });
  }

  return createListener([
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
}
