/**
 * The log of a daemon: JSON lines on standard output, or text lines for a
 * terminal on standard error, prefixed with the instance and the part.
 */

import { createConsola } from "consola";
import { createJsonLog, type JsonLog } from "../instance/json_log.ts";
import type { Settings } from "../settings/schema.ts";

type Level = Parameters<JsonLog["write"]>[0];

const levelRanks: Record<Settings["log"]["level"], number> = {
  error: 0,
  warn: 1,
  info: 2,
};

/** Creates the log of a process, filtered by the level of the settings. */
export function createLog(
  settings: Settings["log"],
  { instanceId }: { instanceId: string },
): JsonLog {
  const log = settings.json
    ? createJsonLog({ instanceId })
    : createTerminalLog(instanceId);
  const maxRank = levelRanks[settings.level];
  return {
    write(level, line) {
      if (levelRanks[level] <= maxRank) log.write(level, line);
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
      const formattedFields = Object.entries(fields)
        .map(([name, value]) => `${name}=${JSON.stringify(value)}`);
      writers[level](
        `[${instanceId} ${part}] ${text} ${formattedFields.join(" ")}`,
      );
    },
  };
}
