/** Settings, calls to instances and output shared by the subcommands. */

import { readFileSync } from "node:fs";
import {
  formatProblem,
  type LoadedSettings,
  loadSettings,
  SettingsError,
} from "../settings/load.ts";

/** Exit code for invalid input, a failed call or an error response. */
export const EXIT_FAILURE = 1;

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
    description: "The overlay file of this availability zone",
    valueHint: "FILE",
  },
} as const;

/** The argument that names the overlay files of several zones. */
export const overlaysArg = {
  type: "string",
  default: "",
  description: "Overlay files by availability zone, as ZONE=FILE,ZONE=FILE",
} as const;

/** Arguments of commands that call an instance. */
export const callArgs = {
  address: {
    type: "string",
    required: true,
    description: "Address of the instance's listener, as IP:PORT",
  },
  key: {
    type: "string",
    description: "The bearer key; defaults to BRONZEMILL_KEY",
  },
  json: { type: "boolean", description: "Print one line of JSON" },
} as const;

/** Loads settings; if they are invalid, prints every problem and exits. */
export function loadSettingsOrExit(
  { settings, overlay }: { settings: string; overlay?: string | undefined },
): LoadedSettings {
  try {
    return loadSettings(settings, { overlay });
  } catch (error) {
    if (!(error instanceof SettingsError)) throw error;
    for (const problem of error.problems) {
      process.stderr.write(`${formatProblem(problem)}\n`);
    }
    process.exit(EXIT_FAILURE);
  }
}

/** Prints a value as JSON: on one line with `json`, indented without. */
export function printJson(body: unknown, { json }: { json?: boolean }): void {
  const text = json === true
    ? JSON.stringify(body)
    : JSON.stringify(body, null, 2);
  process.stdout.write(`${text}\n`);
}

/** An HTTP request to an instance and how to print its response. */
export interface InstanceCall {
  readonly address: string;
  readonly key?: string | undefined;
  readonly json?: boolean | undefined;
  readonly method: string;
  readonly path: string;
  readonly body?: unknown;
  readonly headers?: Record<string, string>;
}

/** An instance's response to a call. */
export interface InstanceResponse {
  readonly ok: boolean;
  readonly body: unknown;
}

/** Calls an instance; if there is no response, prints the cause and is null. */
export async function callInstance(
  call: InstanceCall,
): Promise<InstanceResponse | null> {
  const bearerKey = call.key ?? process.env["BRONZEMILL_KEY"] ?? "";
  try {
    const response = await fetch(`http://${call.address}${call.path}`, {
      method: call.method,
      headers: {
        "content-type": "application/json",
        ...(bearerKey === "" ? {} : { authorization: `Bearer ${bearerKey}` }),
        ...call.headers,
      },
      ...(call.body === undefined ? {} : { body: JSON.stringify(call.body) }),
    });
    return { ok: response.ok, body: await response.json() };
  } catch (error) {
    const cause = (error as { cause?: Error }).cause ?? (error as Error);
    process.stderr.write(`${call.address}: ${cause.message}\n`);
    return null;
  }
}

/** Calls an instance and prints its response; a failure sets the exit code. */
export async function callAndPrint(call: InstanceCall): Promise<void> {
  const response = await callInstance(call);
  if (response !== null) {
    printJson(response.body, { json: call.json === true });
  }
  if (response?.ok !== true) process.exitCode = EXIT_FAILURE;
}

/** Splits `ZONE=FILE,ZONE=FILE` into pairs; a missing file is undefined. */
export function splitOverlays(
  text: string,
): { zone: string; overlay: string | undefined }[] {
  return text.split(",").filter((pair) => pair !== "").map((pair) => {
    const [zone = "", overlay] = pair.split("=");
    return { zone, overlay };
  });
}

/** Reads a file, or standard input if the name is `-`. */
export function readInput(file: string): string {
  return readFileSync(file === "-" ? 0 : file, "utf8");
}
