/** Logs: short sentences with a fixed prefix for each part. */

import { type ConsolaInstance, createConsola } from "consola";
import type { Settings } from "../settings/schema.ts";

const levels: Record<Settings["log"]["level"], number> = {
  error: 0,
  warn: 1,
  info: 3,
  debug: 4,
};

/** Writes the log lines of one process. */
export interface Logger {
  readonly info: (part: string, text: string) => void;
  readonly warn: (part: string, text: string) => void;
  readonly error: (part: string, text: string) => void;
}

function jsonConsola(level: number): ConsolaInstance {
  return createConsola({
    level,
    reporters: [{
      log: ({ type, tag, date, args }) => {
        const line = {
          time: date,
          level: type,
          part: tag,
          text: args.join(" "),
        };
        process.stderr.write(`${JSON.stringify(line)}\n`);
      },
    }],
  });
}

/** Creates the log of a process; it goes to standard error. */
export function createLogger(settings: Settings["log"]): Logger {
  const level = levels[settings.level];
  const log = settings.json
    ? jsonConsola(level)
    : createConsola({ level, stdout: process.stderr, stderr: process.stderr });
  return {
    info: (part, text) => log.withTag(part).info(text),
    warn: (part, text) => log.withTag(part).warn(text),
    error: (part, text) => log.withTag(part).error(text),
  };
}
