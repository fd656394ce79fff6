/** Starts and ends processes of a fleet; each is ended by its own handle. */

import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { fileURLToPath } from "node:url";

/** The folder that the compiled tree lies in. */
const DIST = fileURLToPath(new URL("..", import.meta.url));

/** Processor profiles of every process go there, where it is set. */
const profileFolder = process.env["BENCH_PROFILE_DIR"];

/** A process of a fleet. */
export interface FleetProcess {
  readonly name: string;
  readonly child: ChildProcess;
}

const started = new Set<ChildProcess>();
// Nothing of a fleet outlives the tool that started it.
process.on("exit", () => {
  for (const child of started) child.kill("SIGKILL");
});
for (const signal of ["SIGINT", "SIGTERM"] as const) {
  process.once(signal, () => process.exit(1));
}

/** Starts a compiled script; its log lines are dropped unless asked for. */
export function startScript(
  name: string,
  script: string,
  { args, verbose = false }: { args: readonly string[]; verbose?: boolean },
): FleetProcess {
  const profiling = profileFolder === undefined
    ? []
    : ["--cpu-prof", `--cpu-prof-dir=${profileFolder}`];
  const node = [...profiling, `${DIST}${script}`, ...args];
  const child = spawn(process.execPath, node, {
    stdio: ["ignore", "pipe", verbose ? "inherit" : "ignore"],
  });
  started.add(child);
  child.once("exit", () => started.delete(child));
  return { name, child };
}

/** Waits until a stand-in has said that it is ready. */
export async function whenReady({ name, child }: FleetProcess): Promise<void> {
  const ended = once(child, "exit").then(() => {
    throw new Error(`${name} ended before it was ready`);
  });
  const stdout = child.stdout;
  if (stdout === null) throw new Error(`${name} has no output`);
  await Promise.race([once(stdout, "data"), ended]);
}

/** Ends a process at once, and waits until it is gone. */
export async function kill({ child }: FleetProcess): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) return;
  const gone = once(child, "exit");
  child.kill("SIGKILL");
  await gone;
}

/** Asks a process to stop; resolves with its exit code. */
export async function terminate(
  { child }: FleetProcess,
): Promise<number | null> {
  if (child.exitCode !== null || child.signalCode !== null) {
    return child.exitCode;
  }
  const gone = once(child, "exit");
  child.kill("SIGTERM");
  const [code] = await gone;
  return code as number | null;
}
