/**
 * Collects the log lines of instances: follows which of them is the leader,
 * and writes the lines to files of bounded size.
 */

import { appendFileSync, mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { FENCES_PER_TERM } from "../src/engine/leadership.ts";
import type { FleetProcess } from "./processes.ts";

/** Size of the files of one run above which further lines are left out. */
const MAX_DIRECTORY_BYTES = 64 * 1_048_576;

/** One log line of an instance, as far as it is used here. */
export interface LogLine {
  readonly timeMs: number;
  readonly instanceId: string;
  readonly text: string;
  readonly term?: number;
  readonly [field: string]: unknown;
}

/** One term of a leader. */
export interface LeaderTerm {
  readonly instanceId: string;
  readonly term: number;
  /** Unix time at which the instance became the leader. */
  readonly sinceMs: number;
  /** Number of the process among those of the instance; the first is 1. */
  readonly incarnation: number;
}

/** The logs of the instances of one run. */
export interface InstanceLogs {
  readonly directory: string;
  /** Reads the log of a process of an instance. */
  readonly attach: (process: FleetProcess) => void;
  /** The present leaders, latest first. */
  readonly leaders: () => LeaderTerm[];
  /** All terms so far, by time. */
  readonly terms: readonly LeaderTerm[];
  /** The term to which a fencing token belongs, if its leader was logged. */
  readonly termOfFence: (fence: number) => LeaderTerm | undefined;
  /** Returns the log lines that contain one of the texts, by time. */
  readonly find: (texts: readonly string[]) => LogLine[];
  /** Adds a line about the run itself. */
  readonly note: (text: string, fields?: Record<string, unknown>) => void;
  readonly remove: () => void;
}

const handledTexts = [
  "instance became leader",
  "instance stepped down as leader",
];

/** Creates the directory of a run's logs. */
export function createInstanceLogs(label: string): InstanceLogs {
  const directory = mkdtempSync(join(tmpdir(), `bronzemill-${label}-`));
  const lines: string[] = [];
  const terms: LeaderTerm[] = [];
  const leaderByInstance = new Map<string, LeaderTerm>();
  const incarnations = new Map<string, number>();
  let writtenBytes = 0;

  function write(name: string, line: string): void {
    if (writtenBytes + line.length > MAX_DIRECTORY_BYTES) return;
    writtenBytes += line.length + 1;
    lines.push(line);
    appendFileSync(join(directory, `${name}.log`), `${line}\n`);
  }

  function handle(line: string, incarnation: number): void {
    if (!handledTexts.some((text) => line.includes(text))) return;
    const { text, instanceId, timeMs, term = 0 } = JSON.parse(line) as LogLine;
    leaderByInstance.delete(instanceId);
    if (text !== handledTexts[0]) return;
    const leader = { instanceId, term, sinceMs: timeMs, incarnation };
    terms.push(leader);
    leaderByInstance.set(instanceId, leader);
  }

  function attach({ name, child }: FleetProcess): void {
    const incarnation = (incarnations.get(name) ?? 0) + 1;
    incarnations.set(name, incarnation);
    note("process started", { instanceId: name, incarnation, pid: child.pid });
    child.once("exit", () => {
      if (incarnations.get(name) === incarnation) leaderByInstance.delete(name);
    });
    let remainder = "";
    child.stdout?.setEncoding("utf8").on("data", (chunk: string) => {
      const received = (remainder + chunk).split("\n");
      remainder = received.pop() ?? "";
      for (const line of received) {
        write(name, line);
        handle(line, incarnation);
      }
    });
  }

  function note(text: string, fields: Record<string, unknown> = {}): void {
    const timeMs = Date.now();
    write(
      "run",
      JSON.stringify({ timeMs, instanceId: "run", text, ...fields }),
    );
  }

  return {
    directory,
    attach,
    terms,
    note,
    leaders: () =>
      [...leaderByInstance.values()].sort((a, b) => b.term - a.term),
    termOfFence(fence) {
      const term = Math.floor(fence / FENCES_PER_TERM);
      return terms.find((leader) => leader.term === term);
    },
    find: (texts) =>
      lines.filter((line) => texts.some((text) => line.includes(text)))
        .map((line) => JSON.parse(line) as LogLine)
        .sort((a, b) => a.timeMs - b.timeMs),
    remove: () => rmSync(directory, { recursive: true, force: true }),
  };
}
