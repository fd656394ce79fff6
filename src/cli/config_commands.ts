/** The commands `bronzemill settings` and `bronzemill config`. */

import { randomUUID } from "node:crypto";
import { defineCommand } from "citty";
import type { JsonObject } from "../entry/schemas.ts";
import {
  callAndPrint,
  callArgs,
  EXIT_FAILURE,
  loadSettingsOrExit,
  overlaysArg,
  printJson,
  settingsArgs,
  splitOverlays,
} from "./common.ts";
import { configCheckCommand } from "./config_check_command.ts";

const checkCommand = defineCommand({
  meta: {
    name: "check",
    description: "Validate a settings file and its overlay",
  },
  args: {
    ...settingsArgs,
    json: { type: "boolean", description: "Print one line of JSON" },
  },
  run({ args }) {
    const { settings } = loadSettingsOrExit(args);
    const zones = new Set(
      settings.instances.map((instance) => instance.availabilityZone),
    );
    const body = {
      valid: true,
      instances: settings.instances.length,
      availabilityZones: [...zones],
    };
    printJson(body, { json: args.json });
  },
});

/** Groups the commands that work on settings files. */
export const settingsCommand = defineCommand({
  meta: { name: "settings", description: "Work with settings files" },
  subCommands: { check: checkCommand },
});

const getCommand = defineCommand({
  meta: { name: "get", description: "Print the configuration in force" },
  args: callArgs,
  async run({ args }) {
    const path = "/v1/configuration";
    await callAndPrint({ ...args, method: "GET", path });
  },
});

const historyCommand = defineCommand({
  meta: {
    name: "history",
    description: "List the latest versions of the configuration",
  },
  args: callArgs,
  async run({ args }) {
    const path = "/v1/configuration/history";
    await callAndPrint({ ...args, method: "GET", path });
  },
});

/** Reads the `configuration` section of each overlay in `ZONE=FILE` pairs. */
function readOverlays(
  base: string,
  text: string,
): Record<string, JsonObject> {
  const overlays: Record<string, JsonObject> = {};
  for (const { zone, overlay } of splitOverlays(text)) {
    const loaded = loadSettingsOrExit({ settings: base, overlay });
    overlays[zone] = loaded.overlayConfiguration;
  }
  return overlays;
}

const applyCommand = defineCommand({
  meta: {
    name: "apply",
    description:
      "Submit the configuration in settings files as the new version",
  },
  args: {
    ...callArgs,
    settings: settingsArgs.settings,
    overlays: overlaysArg,
    version: {
      type: "string",
      required: true,
      description: "The current version, which the change replaces; 0 if none",
    },
    changeId: {
      type: "string",
      description: "ID of the change; reuse it to retry after a lost response",
    },
  },
  async run({ args }) {
    const expectedVersion = Number(args.version);
    if (!Number.isInteger(expectedVersion) || expectedVersion < 0) {
      process.stderr.write("--version: expected a non-negative integer\n");
      process.exitCode = EXIT_FAILURE;
      return;
    }
    const { baseConfiguration } = loadSettingsOrExit({
      settings: args.settings,
    });
    const changeId = args.changeId ?? randomUUID();
    process.stderr.write(`change ${changeId}\n`);
    await callAndPrint({
      ...args,
      method: "PUT",
      path: "/v1/configuration",
      body: {
        expectedVersion,
        changeId,
        base: baseConfiguration,
        overlays: readOverlays(args.settings, args.overlays),
      },
    });
  },
});

/** Groups the commands that work on the configuration in force. */
export const configCommand = defineCommand({
  meta: { name: "config", description: "Work with the configuration in force" },
  subCommands: {
    get: getCommand,
    check: configCheckCommand,
    apply: applyCommand,
    history: historyCommand,
  },
});
