/** The command `bronzemill trace`: follows one job through several logs. */

import { readFileSync } from "node:fs";
import { defineCommand } from "citty";
import { EXIT_FAILURE } from "./common.ts";

/** Log parts whose lines are included as context even without the job's ID. */
const CONTEXT_PARTS: ReadonlySet<string> = new Set([
  "leader",
  "members",
  "instance",
  "store",
]);
/** Time before the first line of the job from which context is included. */
const CONTEXT_BEFORE_MS = 1_000;

/** A parsed log line; `fields` contains all fields that have no property. */
export interface LogEntry {
  readonly timeMs: number;
  readonly level: string;
  readonly instanceId: string;
  readonly part: string;
  readonly text: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/**
 * Parses a log line, ignoring any prefix before its JSON. Returns null if the
 * line is not an entry of a log.
 */
export function parseLogLine(line: string): LogEntry | null {
  const jsonStart = line.indexOf("{");
  if (jsonStart < 0) return null;
  try {
    const { timeMs, level, instanceId, part, text, ...fields } = JSON.parse(
      line.slice(jsonStart),
    );
    if (typeof timeMs !== "number" || typeof part !== "string") return null;
    return { timeMs, level, instanceId, part, text, fields };
  } catch {
    return null;
  }
}

/** Whether a line carries the ID of the job or of one of its tasks. */
function refersToJob(entry: LogEntry, jobId: string): boolean {
  const { fields } = entry;
  return fields["jobId"] === jobId ||
    String(fields["task"] ?? "").startsWith(`${jobId}.`);
}

/**
 * Returns the lines that explain what happened to a job, ordered by time: lines
 * that refer to the job, and, from shortly before its first line to its last,
 * lines about the workers that ran it and lines of the context parts, such as
 * changes of the leader and of the members.
 *
 * @example
 * ```ts
 * traceJob(entries, "5c0e7a21d94b36f8").length; // 0 for an unknown ID
 * ```
 */
export function traceJob(
  entries: readonly LogEntry[],
  jobId: string,
): LogEntry[] {
  const jobEntries = entries.filter((entry) => refersToJob(entry, jobId));
  if (jobEntries.length === 0) return [];
  const times = jobEntries.map((entry) => entry.timeMs);
  const startMs = Math.min(...times) - CONTEXT_BEFORE_MS;
  const endMs = Math.max(...times);
  const workerIds = new Set(
    jobEntries.map((entry) => entry.fields["workerId"]),
  );
  workerIds.delete(undefined);
  return entries.filter((entry) => {
    if (refersToJob(entry, jobId)) return true;
    if (entry.timeMs < startMs || entry.timeMs > endMs) return false;
    if (CONTEXT_PARTS.has(entry.part)) return true;
    const isWorkerEntry = entry.part === "workers";
    return isWorkerEntry && workerIds.has(entry.fields["workerId"]);
  }).sort((a, b) => a.timeMs - b.timeMs);
}

function formatEntry(entry: LogEntry, startMs: number): string {
  const offsetMs = String(Math.round(entry.timeMs - startMs)).padStart(7);
  const fields = Object.entries(entry.fields)
    .map(([name, value]) => `${name}=${JSON.stringify(value)}`).join(" ");
  return `${offsetMs} ms  ${entry.instanceId}  ${entry.part}: ${entry.text}  ${fields}`;
}

/** Prints the lines of log files that explain what happened to a job. */
export const traceCommand = defineCommand({
  meta: { name: "trace", description: "Follow one job through log files" },
  args: {
    job: { type: "positional", description: "The job's ID", required: true },
    files: {
      type: "positional",
      description: "Log files, or - for standard input",
      required: true,
    },
  },
  run({ args }) {
    const [, ...files] = args._;
    const entries = files.flatMap((file) =>
      readFileSync(file === "-" ? 0 : file, "utf8").split("\n")
        .map(parseLogLine).filter((entry) => entry !== null)
    );
    const found = traceJob(entries, args.job);
    const [first] = found;
    if (first === undefined) {
      process.stderr.write(`no log line refers to job ${args.job}\n`);
      process.exitCode = EXIT_FAILURE;
      return;
    }
    for (const entry of found) {
      process.stdout.write(`${formatEntry(entry, first.timeMs)}\n`);
    }
  },
});
