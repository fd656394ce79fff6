/** The table of all diagnostic messages that callers and operators see. */

/** Whether any work of the request was run. */
export type Ran = "yes" | "no" | "unknown";

/** A diagnostic: stable code, HTTP status, whether work was run, and text. */
export interface DiagnosticMessage {
  readonly code: number;
  readonly status: number;
  readonly ran: Ran;
  readonly text: string;
}

function diagnostic(
  code: number,
  status: number,
  { ran, text }: { ran: Ran; text: string },
): DiagnosticMessage {
  return { code, status, ran, text };
}

/**
 * All diagnostics by name. Codes are never reused: 1xxx input, 2xxx access,
 * 3xxx refusals, 4xxx job outcomes, 5xxx configuration.
 */
export const Diagnostics = {
  invalidRequest: diagnostic(1001, 400, {
    ran: "no",
    text: "The request is malformed: {0}",
  }),
  unknownService: diagnostic(1002, 404, {
    ran: "no",
    text: "No service or kind of that name is configured: {0}",
  }),
  bodyTooLarge: diagnostic(1003, 413, {
    ran: "no",
    text: "The request body is larger than {0} bytes.",
  }),
  notFound: diagnostic(1004, 404, {
    ran: "no",
    text: "There is nothing at this path.",
  }),
  jobNotFound: diagnostic(1005, 404, {
    ran: "unknown",
    text: "No job of this id is known; its record may have expired.",
  }),
  unauthenticated: diagnostic(2001, 401, {
    ran: "no",
    text: "A bearer key is required.",
  }),
  forbidden: diagnostic(2002, 403, {
    ran: "no",
    text: "This key does not allow that.",
  }),
  overloaded: diagnostic(3001, 429, {
    ran: "no",
    text: "The service is overloaded for this kind of work; nothing was run.",
  }),
  draining: diagnostic(3002, 503, {
    ran: "no",
    text: "This instance is draining; nothing was run.",
  }),
  notReady: diagnostic(3003, 503, {
    ran: "no",
    text: "This instance has no configuration yet; nothing was run.",
  }),
  keyConflict: diagnostic(3004, 409, {
    ran: "no",
    text: "The idempotency key was used with a different request.",
  }),
  noUpstream: diagnostic(3006, 503, {
    ran: "no",
    text: "No upstream could take the tasks in time; nothing was run.",
  }),
  cancelledNotRun: diagnostic(3007, 409, {
    ran: "no",
    text: "The job was cancelled before any task started.",
  }),
  noLeader: diagnostic(3008, 503, {
    ran: "no",
    text: "No instance places tasks at the moment; nothing was run.",
  }),
  storeAway: diagnostic(3009, 503, {
    ran: "no",
    text: "The store can't keep a record of the job now; nothing was run.",
  }),
  recordTooLarge: diagnostic(3010, 413, {
    ran: "no",
    text: "The job is too large for a record; nothing was run.",
  }),
  outcomeUnknown: diagnostic(4001, 504, {
    ran: "unknown",
    text: "An earlier attempt may have run; its outcome is not known.",
  }),
  taskFailed: diagnostic(4003, 502, {
    ran: "yes",
    text: "A task of the job failed.",
  }),
  taskUnknown: diagnostic(4004, 504, {
    ran: "unknown",
    text: "The outcome of a started task is not known.",
  }),
  deadlineExceeded: diagnostic(4005, 504, {
    ran: "unknown",
    text: "The deadline passed while tasks were in progress.",
  }),
  cancelled: diagnostic(4006, 409, {
    ran: "unknown",
    text: "The job was cancelled while tasks were in progress.",
  }),
  internalError: diagnostic(4007, 500, {
    ran: "unknown",
    text: "An internal error ended the job; it may have run.",
  }),
  versionConflict: diagnostic(5001, 409, {
    ran: "no",
    text: "Another change was accepted first; the version is now {0}.",
  }),
  invalidConfiguration: diagnostic(5002, 422, {
    ran: "no",
    text: "The configuration is invalid: {0}",
  }),
  platformUnavailable: diagnostic(5003, 503, {
    ran: "unknown",
    text: "The platform did not answer; ask again with the same change id.",
  }),
} as const satisfies Record<string, DiagnosticMessage>;

/** The name of an entry of {@linkcode Diagnostics}. */
export type DiagnosticName = keyof typeof Diagnostics;

/**
 * Returns the text of a diagnostic with its placeholder replaced.
 *
 * @example
 * ```ts
 * formatDiagnostic("bodyTooLarge", "65536");
 * // "The request body is larger than 65536 bytes."
 * ```
 */
export function formatDiagnostic(name: DiagnosticName, argument = ""): string {
  return Diagnostics[name].text.replace("{0}", argument);
}
