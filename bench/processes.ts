/** Starts and ends the processes of a fleet, each by its own handle. */

import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { resolve } from "node:path";
import { fileURLToPath } from "node:url";

/** The directory of the compiled sources. */
const DIST = fileURLToPath(new URL("..", import.meta.url));

/** Directory for the CPU profile of every process; no profiling if unset. */
const profileDirectory = process.env["BENCH_PROFILE_DIR"];

/** A process of a fleet. */
export interface FleetProcess {
  readonly name: string;
  readonly child: ChildProcess;
  /** `kill` or `terminate` was called, so the process is expected to end. */
  isEnding: boolean;
}

/** The end of a process that was neither killed nor terminated here. */
export interface UnaskedExit {
  readonly name: string;
  readonly code: number | null;
  readonly signal: string | null;
  /** The last lines that the process wrote to stderr. */
  readonly lastLines: readonly string[];
}

/** Number of lines of stderr that are kept for reports. */
const MAX_LAST_LINES = 12;
/** Processes that have ended without being told to. */
export const unaskedExits: UnaskedExit[] = [];

const liveChildren = new Set<ChildProcess>();
// Kill all children on exit, so that none outlives the tool that started it.
process.on("exit", () => {
  for (const child of liveChildren) child.kill("SIGKILL");
});
for (const signal of ["SIGINT", "SIGTERM"] as const) {
  process.once(signal, () => process.exit(1));
}

/** Options of a process. */
export interface ScriptOptions {
  readonly args?: readonly string[];
  /** Whether its stderr is passed on. */
  readonly verbose?: boolean;
  /** Its environment; by default that of this process. */
  readonly env?: NodeJS.ProcessEnv;
  /** Whether the script waits for {@linkcode release} before it is loaded. */
  readonly isHeld?: boolean;
}

/** A module that blocks until a byte arrives on stdin. */
const HOLD_MODULE = "data:text/javascript," + encodeURIComponent(
  "import{readSync}from'node:fs';readSync(0,Buffer.alloc(1));",
);

/**
 * Starts a script, whose path is relative to the compiled sources. The last
 * lines of its stderr are kept for {@linkcode unaskedExits}, or passed on if
 * verbose.
 */
export function startScript(
  name: string,
  script: string,
  { args = [], verbose = false, env = process.env, isHeld = false }:
    ScriptOptions,
): FleetProcess {
  const profiling = profileDirectory === undefined
    ? []
    : ["--cpu-prof", `--cpu-prof-dir=${profileDirectory}`];
  const holding = isHeld ? ["--import", HOLD_MODULE] : [];
  const path = resolve(DIST, script);
  const nodeArgs = [...profiling, ...holding, path, ...args];
  const child = spawn(process.execPath, nodeArgs, {
    env,
    stdio: [isHeld ? "pipe" : "ignore", "pipe", verbose ? "inherit" : "pipe"],
  });
  const started: FleetProcess = { name, child, isEnding: false };
  let lastLines: string[] = [];
  child.stderr?.setEncoding("utf8").on("data", (text: string) => {
    lastLines = [...lastLines, ...text.split("\n")].slice(-MAX_LAST_LINES);
  });
  liveChildren.add(child);
  child.once("exit", () => liveChildren.delete(child));
  child.once("exit", (code, signal) => {
    if (started.isEnding) return;
    // Lines may still arrive after the exit, so they are read for the report.
    unaskedExits.push({
      name,
      code,
      signal,
      get lastLines() {
        return lastLines;
      },
    });
  });
  return started;
}

/** Lets a process that was started with `isHeld` load its script. */
export function release({ child }: FleetProcess): void {
  child.stdin?.end("\n");
}

/** Waits until a stand-in reports on stdout that it is ready. */
export async function waitUntilReady(
  { name, child }: FleetProcess,
): Promise<void> {
  const earlyExit = once(child, "exit").then(() => {
    throw new Error(`${name} exited before it was ready`);
  });
  const stdout = child.stdout;
  if (stdout === null) throw new Error(`stdout of ${name} is not piped`);
  await Promise.race([once(stdout, "data"), earlyExit]);
}

/** Sends SIGKILL to a process and waits for it to exit. */
export async function kill(process: FleetProcess): Promise<void> {
  const { child } = process;
  process.isEnding = true;
  if (child.exitCode !== null || child.signalCode !== null) return;
  const exited = once(child, "exit");
  child.kill("SIGKILL");
  await exited;
}

/** Sends SIGTERM to a process and resolves with its exit code. */
export async function terminate(
  process: FleetProcess,
): Promise<number | null> {
  const { child } = process;
  process.isEnding = true;
  if (child.exitCode !== null || child.signalCode !== null) {
    return child.exitCode;
  }
  const exited = once(child, "exit");
  child.kill("SIGTERM");
  const [code] = await exited;
  return code as number | null;
}
