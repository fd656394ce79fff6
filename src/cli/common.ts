/** What the subcommands share: settings, calls to instances, output. */

import { readFileSync } from "node:fs";
import {
  formatProblem,
  type LoadedSettings,
  loadSettings,
  SettingsError,
} from "../settings/load.ts";

/** Exit code of a command whose input is wrong or that was refused. */
export const EXIT_REFUSED = 1;

/** Arguments of commands that read settings. */
export const settingsArgs = {
  settings: {
    type: "string",
    required: true,
    description: "The base settings file",
    valueHint: "FILE",
  },
  overlay: {
    type: "string",
    description: "The overlay of this availability zone",
    valueHint: "FILE",
  },
} as const;

/** Arguments of commands that call an instance. */
export const callArgs = {
  address: {
    type: "string",
    required: true,
    description: "The instance's listener, as IP:PORT",
  },
  key: {
    type: "string",
    description: "The bearer key; BRONZEMILL_KEY is used without it",
  },
  json: { type: "boolean", description: "Print one line of JSON" },
} as const;

/** Loads settings, or prints what is wrong with them and exits. */
export function loadOrExit(
  { settings, overlay }: { settings: string; overlay?: string | undefined },
): LoadedSettings {
  try {
    return loadSettings(settings, { overlay });
  } catch (error) {
    if (!(error instanceof SettingsError)) throw error;
    for (const problem of error.problems) {
      process.stderr.write(`${formatProblem(problem)}\n`);
    }
    process.exit(EXIT_REFUSED);
  }
}

/** Prints a result: indented for people, on one line for programs. */
export function print(body: unknown, { json }: { json?: boolean }): void {
  const text = json === true
    ? JSON.stringify(body)
    : JSON.stringify(body, null, 2);
  process.stdout.write(`${text}\n`);
}

/** One call to an instance. */
export interface InstanceCall {
  readonly address: string;
  readonly key?: string | undefined;
  readonly json?: boolean | undefined;
  readonly method: string;
  readonly path: string;
  readonly body?: unknown;
  readonly headers?: Record<string, string>;
}

/** Calls an instance, prints its answer, and sets the exit code. */
export async function callAndPrint(call: InstanceCall): Promise<void> {
  const bearer = call.key ?? process.env["BRONZEMILL_KEY"] ?? "";
  try {
    const response = await fetch(`http://${call.address}${call.path}`, {
      method: call.method,
      headers: {
        "content-type": "application/json",
        ...(bearer === "" ? {} : { authorization: `Bearer ${bearer}` }),
        ...call.headers,
      },
      ...(call.body === undefined ? {} : { body: JSON.stringify(call.body) }),
    });
    print(await response.json(), { json: call.json === true });
    if (!response.ok) process.exitCode = EXIT_REFUSED;
  } catch (error) {
    const cause = (error as { cause?: Error }).cause ?? (error as Error);
    process.stderr.write(`${call.address}: ${cause.message}\n`);
    process.exitCode = EXIT_REFUSED;
  }
}

/** Reads a file, or standard input where the name is `-`. */
export function readInput(file: string): string {
  return readFileSync(file === "-" ? 0 : file, "utf8");
}
