/** A caller that submits jobs, resubmits unfinished ones and checks answers. */

import { Pool } from "undici";
import type { WorkJob } from "./workload.ts";

/** The outcome of one attempt, as the caller saw it. */
export interface AttemptOutcome {
  readonly state: "complete" | "failed" | "refused" | "unknown" | "lost";
  /** Whether a task's result belongs to another task. */
  readonly isMismatched: boolean;
  /** Whether the job is said to be complete while results are missing. */
  readonly isIncomplete: boolean;
  readonly error: string;
}

/** The outcome of a job: that of its last attempt. */
export interface JobOutcome extends AttemptOutcome {
  readonly attempts: number;
  readonly elapsedMs: number;
}

interface AnswerBody {
  readonly state?: AttemptOutcome["state"];
  readonly error?: string;
  readonly ran?: string;
  readonly tasks?: readonly { end: string; result?: unknown }[];
}

const LOST: AttemptOutcome = {
  state: "lost",
  isMismatched: false,
  isIncomplete: false,
  error: "",
};

/** Time after which an unanswered attempt counts as lost. */
const ATTEMPT_TIMEOUT_MS = 20_000;
/** Delay before a job is resubmitted. */
const RESUBMIT_PAUSE_MS = 300;

function outcomeOf(job: WorkJob, body: AnswerBody): AttemptOutcome {
  const tasks = body.tasks ?? [];
  const isMismatched = tasks.some(({ result }, index) =>
    result !== undefined && result !== job.tasks[index]?.echo
  );
  const hasAllResults = tasks.length === job.tasks.length &&
    tasks.every(({ end, result }) => end === "done" && result !== undefined);
  const stateFromRan = body.ran === "no" ? "refused" : "unknown";
  const stateFromError = body.error === "taskFailed" ? "failed" : stateFromRan;
  const state = body.state ?? stateFromError;
  const isIncomplete = state === "complete" && !hasAllResults;
  return {
    state,
    isMismatched,
    isIncomplete,
    error: body.error ?? "",
  };
}

/** Submits jobs of any team to one address over a pool of connections. */
export interface Caller {
  /**
   * Submits a job once. The key defaults to the job's name, and the attempt
   * header is omitted if `attempt` is null.
   */
  readonly attempt: (
    job: WorkJob,
    options: { attempt: number | null; key?: string; deadlineMs?: number },
  ) => Promise<AttemptOutcome>;
  /** Submits a job until it completes or fails, or attempts run out. */
  readonly submitWithRetries: (
    job: WorkJob,
    maxAttempts: number,
  ) => Promise<JobOutcome>;
  readonly close: () => Promise<void>;
}

/** Returns the request body of a job. */
export function serializeJob(job: WorkJob, deadlineMs?: number): string {
  return JSON.stringify({
    service: job.work.service,
    kind: job.work.kind,
    urgency: job.work.urgency,
    idempotent: job.work.idempotent,
    ...(deadlineMs === undefined ? {} : { deadlineMs }),
    tasks: job.tasks.map(({ runMs, echo, declaredMs }) => ({
      payload: { runMs, echo },
      declaredMs,
    })),
  });
}

/** Creates a caller of the service at a loopback port. */
export function createCaller(
  port: number,
  { connections = 256 }: { connections?: number } = {},
): Caller {
  const pool = new Pool(`http://127.0.0.1:${port}`, {
    connections,
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
    keepAliveTimeout: 5_000,
  });

  const attempt: Caller["attempt"] = async (job, options) => {
    try {
      const response = await pool.request({
        method: "POST",
        path: "/v1/jobs",
        headers: {
          "content-type": "application/json",
          authorization: `Bearer ${job.work.team}-key`,
          "idempotency-key": options.key ?? job.name,
          ...(options.attempt === null
            ? {}
            : { "bronzemill-attempt": String(options.attempt) }),
        },
        body: serializeJob(job, options.deadlineMs),
        signal: AbortSignal.timeout(ATTEMPT_TIMEOUT_MS),
      });
      return outcomeOf(job, await response.body.json() as AnswerBody);
    } catch (error) {
      return { ...LOST, error: String((error as { code?: string }).code) };
    }
  };

  return {
    attempt,
    async submitWithRetries(job, maxAttempts) {
      const startMs = performance.now();
      let outcome = LOST;
      let attempts = 0;
      while (attempts < maxAttempts) {
        attempts += 1;
        outcome = await attempt(job, { attempt: attempts });
        const isFinal = outcome.state === "complete" ||
          outcome.state === "failed";
        if (isFinal || attempts === maxAttempts) break;
        await new Promise((resolve) => setTimeout(resolve, RESUBMIT_PAUSE_MS));
      }
      return { ...outcome, attempts, elapsedMs: performance.now() - startMs };
    },
    async close() {
      await pool.destroy();
    },
  };
}
