/** The command `bronzemill config check`. */

import { defineCommand } from "citty";
import {
  type ConfigurationDocument,
  configurationDocumentSchema,
} from "../entry/schemas.ts";
import {
  checkConfiguration,
  type CheckedFiles,
  contentOf,
  type Difference,
  differencesFrom,
  type Finding,
} from "../settings/configuration_check.ts";
import {
  formatProblem,
  type LoadedSettings,
  loadSettings,
  SettingsError,
  type SettingsProblem,
} from "../settings/load.ts";
import {
  callArgs,
  callInstance,
  EXIT_FAILURE,
  overlaysArg,
  printJson,
  settingsArgs,
  splitOverlays,
} from "./common.ts";

interface Report {
  readonly findings: readonly Finding[];
  /** Null without the version in force, or if the files are invalid. */
  readonly differences: readonly Difference[] | null;
  readonly versionInForce: number | null;
}

/** Loads the files that `config apply` reads, or returns all their problems. */
function loadFiles(
  base: string,
  overlays: string,
): CheckedFiles | SettingsProblem[] {
  const loaded: { zone: string; loaded: LoadedSettings }[] = [];
  const problems = new Map<string, SettingsProblem>();
  const files = [{ zone: "", overlay: undefined }, ...splitOverlays(overlays)];
  for (const { zone, overlay } of files) {
    try {
      loaded.push({ zone, loaded: loadSettings(base, { overlay }) });
    } catch (error) {
      if (!(error instanceof SettingsError)) throw error;
      // A problem of the base appears again with each overlay.
      for (const problem of error.problems) {
        problems.set(formatProblem(problem), problem);
      }
    }
  }
  const [first, ...rest] = loaded;
  if (first === undefined || problems.size > 0) return [...problems.values()];
  return { base: first.loaded, overlays: rest };
}

/**
 * Reads the version in force. Returns undefined if the call failed, and null
 * if the instance knows no version yet; it then prints the cause.
 */
async function readInForce(
  { address, key }: { address: string; key?: string | undefined },
): Promise<ConfigurationDocument | null | undefined> {
  const path = "/v1/configuration";
  const response = await callInstance({ address, key, method: "GET", path });
  if (response === null) return undefined;
  const parsed = configurationDocumentSchema.safeParse(response.body);
  if (response.ok && parsed.success) return parsed.data;
  const { error } = (response.body ?? {}) as { error?: unknown };
  process.stderr.write(`${address}: ${JSON.stringify(response.body)}\n`);
  return error === "notReady" ? null : undefined;
}

function formatFinding({ severity, zones, ...finding }: Finding) {
  const suffix = zones.length === 0 ? "" : ` (${zones.join(", ")})`;
  return `${severity} ${formatProblem(finding)}${suffix}`;
}

const differenceFormats: {
  [K in Difference["kind"]]: (
    difference: Extract<Difference, { kind: K }>,
  ) => string;
} = {
  added: ({ after }) => JSON.stringify(after),
  removed: ({ before }) => JSON.stringify(before),
  changed: ({ before, after }) =>
    `${JSON.stringify(before)} -> ${JSON.stringify(after)}`,
};

function formatDifference(difference: Difference): string {
  const format = differenceFormats[difference.kind] as (
    difference: Difference,
  ) => string;
  return `${difference.kind} ${difference.field}: ${format(difference)}`;
}

function printReport(report: Report, { json }: { json: boolean }): void {
  if (json) return printJson(report, { json });
  const { findings, differences, versionInForce } = report;
  const errors = findings.filter(({ severity }) => severity === "error").length;
  const counts = [`errors: ${errors}`, `warnings: ${findings.length - errors}`];
  if (differences !== null) {
    counts.push(`differences from ${versionInForce}: ${differences.length}`);
  }
  const lines = [
    ...findings.map(formatFinding),
    ...(differences ?? []).map(formatDifference),
    counts.join(", "),
  ];
  process.stdout.write(`${lines.join("\n")}\n`);
}

/** Checks the configuration that `config apply` would send. */
export const configCheckCommand = defineCommand({
  meta: {
    name: "check",
    description:
      "Check the configuration in settings files without submitting it",
  },
  args: {
    ...callArgs,
    address: {
      type: "string",
      description:
        "Address of an instance whose version in force to compare with",
    },
    settings: settingsArgs.settings,
    overlays: overlaysArg,
  },
  async run({ args }) {
    const json = args.json === true;
    const files = loadFiles(args.settings, args.overlays);
    if (Array.isArray(files)) {
      const about = {
        severity: "error",
        check: "invalidFile",
        zones: [],
      } as const;
      const findings = files.map((problem) => ({ ...problem, ...about }));
      printReport({ findings, differences: null, versionInForce: null }, {
        json,
      });
      process.exitCode = EXIT_FAILURE;
      return;
    }
    const findings = checkConfiguration(files);
    const { address, key } = args;
    const inForce = address === undefined
      ? null
      : await readInForce({ address, key });
    const differences = inForce
      ? differencesFrom(inForce, contentOf(files))
      : null;
    const versionInForce = inForce?.version ?? null;
    printReport({ findings, differences, versionInForce }, { json });
    const hasError = findings.some(({ severity }) => severity === "error");
    if (hasError || inForce === undefined) process.exitCode = EXIT_FAILURE;
  },
});
