/**
 * The log of a daemon: JSON lines on standard output, or short sentences for a
 * terminal, with a fixed prefix for each part.
 */

import { createConsola } from "consola";
import { createJsonLog, type JsonLog } from "../instance/json_log.ts";
import type { Settings } from "../settings/schema.ts";

type Level = Parameters<JsonLog["write"]>[0];

const ranks: Record<Settings["log"]["level"], number> = {
  error: 0,
  warn: 1,
  info: 2,
};

/** Creates the log of a process. */
export function createLog(
  settings: Settings["log"],
  { instanceId }: { instanceId: string },
): JsonLog {
  const log = settings.json
    ? createJsonLog({ instanceId })
    : createTerminalLog(instanceId);
  const most = ranks[settings.level];
  return {
    write(level, line) {
      if (ranks[level] <= most) log.write(level, line);
    },
  };
}

function createTerminalLog(instanceId: string): JsonLog {
  const terminal = createConsola({
    stdout: process.stderr,
    stderr: process.stderr,
  });
  const writers: Record<Level, (text: string) => void> = {
    info: (text) => terminal.info(text),
    warn: (text) => terminal.warn(text),
    error: (text) => terminal.error(text),
  };
  return {
    write(level, { part, text, fields = {} }) {
      const told = Object.entries(fields)
        .map(([name, value]) => `${name}=${JSON.stringify(value)}`);
      writers[level](`[${instanceId} ${part}] ${text} ${told.join(" ")}`);
    },
  };
}
