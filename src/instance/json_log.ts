/**
 * Structured logs: one JSON line an event, to standard output. The volume is
 * bounded, and writing never waits for the reader.
 */

/** Lines of one part in one second; more are counted, not written. */
const MAX_LINES_PER_PART = 400;
/** Bytes that may wait for a slow reader before lines are left out. */
const MAX_WAITING_BYTES = 1_048_576;

/** The level of a log line. */
export type LogLevel = "info" | "warn" | "error";

/** Writes the log lines of one process. */
export interface JsonLog {
  readonly write: (
    level: LogLevel,
    line: { part: string; text: string; fields?: Record<string, unknown> },
  ) => void;
}

/**
 * Creates the log of a process.
 *
 * @example
 * ```ts
 * const log = createJsonLog({ instanceId: "poa-1" });
 * log.write("info", { part: "instance", text: "started" });
 * ```
 */
export function createJsonLog(
  { instanceId, nowMs = Date.now, output = process.stdout }: {
    instanceId: string;
    nowMs?: () => number;
    output?: { write(text: string): unknown; readonly writableLength: number };
  },
): JsonLog {
  const windows = new Map<string, { second: number; lines: number }>();
  let leftOut = 0;

  function mayWrite(part: string, timeMs: number): boolean {
    if (output.writableLength > MAX_WAITING_BYTES) return false;
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
        leftOut += 1;
        return;
      }
      const left = leftOut > 0 ? { linesLeftOut: leftOut } : {};
      leftOut = 0;
      const line = {
        timeMs,
        level,
        instanceId,
        part,
        text,
        ...fields,
        ...left,
      };
      output.write(`${JSON.stringify(line)}\n`);
    },
  };
}
