/** `bronzemill trace`: one request through the logs of several processes. */

import { readFileSync } from "node:fs";
import { defineCommand } from "citty";
import { EXIT_REFUSED } from "./common.ts";

/** Parts whose lines explain a request without naming it. */
const CONTEXT_PARTS: ReadonlySet<string> = new Set([
  "leader",
  "members",
  "instance",
  "store",
]);
/** Context is shown from so long before the first line of the request. */
const CONTEXT_BEFORE_MS = 1_000;

/** One line of a process's log. */
export interface LogEntry {
  readonly timeMs: number;
  readonly level: string;
  readonly instanceId: string;
  readonly part: string;
  readonly text: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Parses a log line; what stands before its JSON is passed over. */
export function parseLogLine(line: string): LogEntry | null {
  const at = line.indexOf("{");
  if (at < 0) return null;
  try {
    const { timeMs, level, instanceId, part, text, ...fields } = JSON.parse(
      line.slice(at),
    );
    if (typeof timeMs !== "number" || typeof part !== "string") return null;
    return { timeMs, level, instanceId, part, text, fields };
  } catch {
    return null;
  }
}

function names(entry: LogEntry, jobId: string): boolean {
  const { fields } = entry;
  return fields["jobId"] === jobId ||
    String(fields["task"] ?? "").startsWith(`${jobId}.`);
}

/**
 * The lines that explain a request: those that name it, what happened to the
 * workers that ran it, and changes of leaders and members around it.
 *
 * @example
 * ```ts
 * traceRequest(entries, "5c0e7a21d94b36f8").length; // 0 for an unknown id
 * ```
 */
export function traceRequest(
  entries: readonly LogEntry[],
  jobId: string,
): LogEntry[] {
  const own = entries.filter((entry) => names(entry, jobId));
  if (own.length === 0) return [];
  const times = own.map((entry) => entry.timeMs);
  const beginMs = Math.min(...times) - CONTEXT_BEFORE_MS;
  const endMs = Math.max(...times);
  const workerIds = new Set(own.map((entry) => entry.fields["workerId"]));
  workerIds.delete(undefined);
  return entries.filter((entry) => {
    if (names(entry, jobId)) return true;
    if (entry.timeMs < beginMs || entry.timeMs > endMs) return false;
    if (CONTEXT_PARTS.has(entry.part)) return true;
    const isWorkers = entry.part === "workers";
    return isWorkers && workerIds.has(entry.fields["workerId"]);
  }).sort((a, b) => a.timeMs - b.timeMs);
}

function format(entry: LogEntry, beginMs: number): string {
  const atMs = String(Math.round(entry.timeMs - beginMs)).padStart(7);
  const fields = Object.entries(entry.fields)
    .map(([name, value]) => `${name}=${JSON.stringify(value)}`).join(" ");
  return `${atMs} ms  ${entry.instanceId}  ${entry.part}: ${entry.text}  ${fields}`;
}

/** Follows one request through log files. */
export const traceCommand = defineCommand({
  meta: { name: "trace", description: "Follow one request through logs" },
  args: {
    job: { type: "positional", description: "The job's id", required: true },
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
    const found = traceRequest(entries, args.job);
    const [first] = found;
    if (first === undefined) {
      process.stderr.write(`no line names job ${args.job}\n`);
      process.exitCode = EXIT_REFUSED;
      return;
    }
    for (const entry of found) {
      process.stdout.write(`${format(entry, first.timeMs)}\n`);
    }
  },
});
