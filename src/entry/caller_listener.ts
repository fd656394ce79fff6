/** The HTTP interface for callers to submit, query and cancel jobs. */

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
  correctReplyToRetry,
  isJobOf,
  jobIdOf,
  toAnswer,
  toJobSpec,
  toQueryAnswer,
} from "./job_translation.ts";
import { type SiteConfiguration, submissionSchema } from "./schemas.ts";

/** The maximum length of an idempotency key. */
const MAX_IDEMPOTENCY_KEY_CHARS = 200;
/** The maximum number of jobs that one request may cancel. */
const MAX_CANCELLED_JOBS = 1_000;
/**
 * Interval at which the leader is queried for a job while a caller waits for
 * the job's completion.
 */
const JOB_POLL_INTERVAL_MS = 100;

/** The diagnostics that report a job as cancelled. */
const CANCELLED_DIAGNOSTICS: ReadonlySet<DiagnosticName> = new Set([
  "cancelled",
  "cancelledNotRun",
]);

const cancelSchema = z.strictObject({
  jobIds: z.array(z.string().max(200)).min(1).max(MAX_CANCELLED_JOBS),
});

/** Dependencies of the caller listener. */
export interface CallerHost {
  readonly instance: Pick<Instance, "submit" | "query">;
  readonly access: AccessTable;
  /**
   * Returns the configuration in force at this availability zone, or null if
   * none is known yet.
   */
  readonly effectiveConfiguration: () => SiteConfiguration | null;
  readonly isReady: () => boolean;
  readonly isDraining: () => boolean;
  readonly onError: (error: unknown) => void;
}

/** Returns the team that may submit, query and cancel jobs with the key. */
function requireTeam(identity: Identity): string {
  if (identity.team === null || identity.role === "reader") {
    throw new RequestError("forbidden");
  }
  return identity.team;
}

function idempotencyKeyOf(request: IncomingMessage): string | null {
  const key = request.headers["idempotency-key"];
  if (typeof key !== "string") return null;
  if (key.length > 0 && key.length <= MAX_IDEMPOTENCY_KEY_CHARS) return key;
  const message =
    `idempotency-key: 1 to ${MAX_IDEMPOTENCY_KEY_CHARS} characters`;
  throw new RequestError("invalidRequest", message);
}

/**
 * Whether a request may be a retry: it has an idempotency key, and its
 * `bronzemill-attempt` header is absent or greater than 1.
 */
function mayBeRetry(
  request: IncomingMessage,
  key: string | null,
): boolean {
  const attempt = request.headers["bronzemill-attempt"];
  if (attempt === undefined) return key !== null;
  if (/^[1-9]\d{0,5}$/.test(String(attempt))) {
    return key !== null && attempt !== "1";
  }
  throw new RequestError(
    "invalidRequest",
    "bronzemill-attempt: 1 or more",
  );
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

/** Creates the HTTP listener for callers. */
export function createCallerListener(
  host: CallerHost,
  limits: Settings["entry"],
): Server {
  const { instance } = host;

  async function submit({ request, response, url }: RouteContext) {
    const team = requireTeam(host.access.identify(request));
    const key = idempotencyKeyOf(request);
    const isPossibleRetry = mayBeRetry(request, key);
    const text = await readBody(request, limits.maxBodyBytes);
    const submission = parseBody(submissionSchema, text);
    // A possible retry must not be reported as not run: an earlier attempt may
    // have run, and this instance cannot tell.
    if (host.isDraining()) {
      throw new RequestError(isPossibleRetry ? "outcomeUnknown" : "draining");
    }
    const configuration = host.effectiveConfiguration();
    if (configuration === null) {
      throw new RequestError(isPossibleRetry ? "outcomeUnknown" : "notReady");
    }
    const queue = queueOf(configuration, team, submission);
    if (queue === null) {
      const name = `${submission.service}/${submission.kind}`;
      throw new RequestError("unknownService", name);
    }
    const waitsForCompletion = url.searchParams.get("wait") !== "false";
    const jobId = jobIdOf(team, key);
    const isRecorded = key !== null || !waitsForCompletion;
    if (response.destroyed) return;
    const notifyCallerGone = instance.submit({
      jobId,
      queue,
      job: toJobSpec(submission, {
        queue,
        expectedMs: expectedMsOf(configuration, submission),
        isRecorded,
      }),
      timeoutMs: queue.timeoutMs,
      answerAt: waitsForCompletion ? "ended" : "accepted",
      onAnswer: (reply) => {
        const callerReply = correctReplyToRetry(reply, {
          isPossibleRetry,
        });
        send(response, jobId, toAnswer(jobId, callerReply));
      },
    });
    response.once("close", notifyCallerGone);
  }

  async function queryLeader(query: JobQuery & { jobId: string }) {
    return toQueryAnswer(query.jobId, await instance.query(query));
  }

  async function getJob({ request, response, url, captured }: RouteContext) {
    const team = requireTeam(host.access.identify(request));
    const jobId = captured[0] ?? "";
    if (!isJobOf(team, jobId)) throw new RequestError("jobNotFound");
    const waitsForCompletion = url.searchParams.get("wait") === "true";
    let answer = await queryLeader({ kind: "job", jobId });
    // During a drain, the caller is told the present state, and asks elsewhere.
    while (
      waitsForCompletion && answer.kind === "accepted" &&
      !response.destroyed && !host.isDraining()
    ) {
      await sleep(JOB_POLL_INTERVAL_MS);
      answer = await queryLeader({ kind: "job", jobId });
    }
    send(response, jobId, answer);
  }

  async function cancelJob({ request, response, captured }: RouteContext) {
    const team = requireTeam(host.access.identify(request));
    const jobId = captured[0] ?? "";
    if (!isJobOf(team, jobId)) throw new RequestError("jobNotFound");
    send(response, jobId, await queryLeader({ kind: "cancel", jobId }));
  }

  async function cancelJobs({ request, response }: RouteContext) {
    const team = requireTeam(host.access.identify(request));
    const text = await readBody(request, limits.maxBodyBytes);
    const { jobIds } = parseBody(cancelSchema, text);
    const ownJobIds = jobIds.filter((jobId) => isJobOf(team, jobId));
    const answers = await Promise.all(
      ownJobIds.map((jobId) => queryLeader({ kind: "cancel", jobId })),
    );
    const cancelled = answers.filter((answer) =>
      answer.kind === "diagnostic" &&
      CANCELLED_DIAGNOSTICS.has(answer.diagnostic)
    ).length;
    sendJson(response, 200, { body: { asked: jobIds.length, cancelled } });
  }

  function getReadiness({ response }: RouteContext) {
    const isReady = host.isReady();
    sendJson(response, isReady ? 200 : 503, { body: { ready: isReady } });
  }

  return createListener([
    { method: "POST", pattern: /^\/v1\/jobs$/, handle: submit },
    { method: "GET", pattern: /^\/v1\/jobs\/([^/]+)$/, handle: getJob },
    { method: "DELETE", pattern: /^\/v1\/jobs\/([^/]+)$/, handle: cancelJob },
    { method: "POST", pattern: /^\/v1\/cancellations$/, handle: cancelJobs },
    { method: "GET", pattern: /^\/ready$/, handle: getReadiness },
  ], {
    maxHeaderBytes: limits.maxHeaderBytes,
    maxConnections: limits.maxConnections,
    onError: host.onError,
  });
}
