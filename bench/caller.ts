/** A caller: submits jobs, submits again what it believes lost, and checks. */

import { Pool } from "undici";
import type { WorkJob } from "./workload.ts";

/** How one attempt ended, as the caller saw it. */
export interface AttemptEnd {
  readonly state: "complete" | "failed" | "refused" | "unknown" | "lost";
  readonly crossed: boolean;
  readonly half: boolean;
  readonly error: string;
}

/** How one job ended, over all its attempts. */
export interface JobEnd extends AttemptEnd {
  readonly attempts: number;
  readonly elapsedMs: number;
}

interface AnswerBody {
  readonly state?: AttemptEnd["state"];
  readonly error?: string;
  readonly ran?: string;
  readonly tasks?: readonly { end: string; result?: unknown }[];
}

const LOST: AttemptEnd = {
  state: "lost",
  crossed: false,
  half: false,
  error: "",
};

/** How long a caller waits before it believes a job lost. */
const ATTEMPT_TIMEOUT_MS = 20_000;
/** The pause before a job is submitted again. */
const RESUBMIT_PAUSE_MS = 300;

function endOf(job: WorkJob, body: AnswerBody): AttemptEnd {
  const tasks = body.tasks ?? [];
  const crossed = tasks.some(({ result }, index) =>
    result !== undefined && result !== job.tasks[index]?.echo
  );
  const whole = tasks.length === job.tasks.length &&
    tasks.every(({ end, result }) => end === "done" && result !== undefined);
  const told = body.ran === "no" ? "refused" : "unknown";
  const ended = body.error === "taskFailed" ? "failed" : told;
  const state = body.state ?? ended;
  const half = state === "complete" && !whole;
  return { state, crossed, half, error: body.error ?? "" };
}

/** Callers of one team, behind one address. */
export interface Caller {
  readonly attempt: (
    job: WorkJob,
    options: { attempt: number | null; key?: string; deadlineMs?: number },
  ) => Promise<AttemptEnd>;
  /** Submits a job until it ended, or the tries are over. */
  readonly run: (job: WorkJob, tries: number) => Promise<JobEnd>;
  readonly close: () => Promise<void>;
}

/** The request body of a job. */
export function bodyOf(job: WorkJob, deadlineMs?: number): string {
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

/** Creates callers that reach the service at a loopback port. */
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
        body: bodyOf(job, options.deadlineMs),
        signal: AbortSignal.timeout(ATTEMPT_TIMEOUT_MS),
      });
      return endOf(job, await response.body.json() as AnswerBody);
    } catch (error) {
      return { ...LOST, error: String((error as { code?: string }).code) };
    }
  };

  return {
    attempt,
    async run(job, tries) {
      const startMs = performance.now();
      let end = LOST;
      let attempts = 0;
      while (attempts < tries) {
        attempts += 1;
        end = await attempt(job, { attempt: attempts });
        const final = end.state === "complete" || end.state === "failed";
        if (final || attempts === tries) break;
        await new Promise((resolve) => setTimeout(resolve, RESUBMIT_PAUSE_MS));
      }
      return { ...end, attempts, elapsedMs: performance.now() - startMs };
    },
    async close() {
      await pool.destroy();
    },
  };
}
