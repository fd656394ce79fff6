/**
 * Structured logging: one line of JSON for each event, to standard output. The
 * volume is bounded, and writing never waits for the reader.
 */

/** Maximum lines per part and second; further lines are counted but omitted. */
const MAX_LINES_PER_PART = 400;
/** Maximum bytes buffered for a slow reader before lines are omitted. */
const MAX_BUFFERED_BYTES = 1_048_576;
/** Length of pending lines, in UTF-16 code units, from which on they are written. */
const MAX_PENDING_LENGTH = 16_384;

/** The severity of a log line. */
export type LogLevel = "info" | "warn" | "error";

/** Writes the log lines of one process. */
export interface JsonLog {
  readonly write: (
    level: LogLevel,
    line: { part: string; text: string; fields?: Record<string, unknown> },
  ) => void;
}

/**
 * Creates the log of a process. The lines of one turn of the event loop are
 * written together; lines of the level `error` at once, since the process may
 * end.
 *
 * @example
 * ```ts
 * const log = createJsonLog({ instanceId: "poa-1" });
 * log.write("info", { part: "instance", text: "instance started" });
 * ```
 */
export function createJsonLog(
  {
    instanceId,
    nowMs = Date.now,
    output = process.stdout,
    schedule = setImmediate,
  }: {
    instanceId: string;
    nowMs?: () => number;
    output?: { write(text: string): unknown; readonly writableLength: number };
    /** Calls a function after the present turn of the event loop. */
    schedule?: (flush: () => void) => unknown;
  },
): JsonLog {
  const windows = new Map<string, { second: number; lines: number }>();
  /** Number of lines of all parts omitted since the last line was written. */
  let omittedLines = 0;
  let pendingLines = "";

  function flush(): void {
    if (pendingLines === "") return;
    const text = pendingLines;
    pendingLines = "";
    output.write(text);
  }

  function mayWrite(part: string, timeMs: number): boolean {
    if (output.writableLength > MAX_BUFFERED_BYTES) return false;
    const second = Math.floor(timeMs / 1_000);
    const window = windows.get(part);
    if (window === undefined || window.second !== second) {
      windows.set(part, { second, lines: 1 });
      return true;
    }
    window.lines += 1;
    return window.lines <= MAX_LINES_PER_PART;
  }

  return {
    write(level, { part, text, fields = {} }) {
      const timeMs = nowMs();
      if (!mayWrite(part, timeMs)) {
        omittedLines += 1;
        return;
      }
      const omission = omittedLines > 0 ? { linesLeftOut: omittedLines } : {};
      omittedLines = 0;
      const line = {
        timeMs,
        level,
        instanceId,
        part,
        text,
        ...fields,
        ...omission,
      };
      const isFirst = pendingLines === "";
      pendingLines += `${JSON.stringify(line)}\n`;
      if (isFirst) schedule(flush);
      if (level === "error" || pendingLines.length >= MAX_PENDING_LENGTH) {
        flush();
      }
    },
  };
}
