/** `bronzemill settings` and `bronzemill config`. */

import { randomUUID } from "node:crypto";
import { defineCommand } from "citty";
import type { JsonObject } from "../entry/schemas.ts";
import {
  callAndPrint,
  callArgs,
  EXIT_REFUSED,
  loadOrExit,
  print,
  settingsArgs,
} from "./common.ts";

const checkCommand = defineCommand({
  meta: { name: "check", description: "Check a base file and its overlay" },
  args: {
    ...settingsArgs,
    json: { type: "boolean", description: "Print one line of JSON" },
  },
  run({ args }) {
    const { settings } = loadOrExit(args);
    const zones = new Set(settings.instances.map((i) => i.availabilityZone));
    const body = {
      valid: true,
      instances: settings.instances.length,
      availabilityZones: [...zones],
    };
    print(body, { json: args.json });
  },
});

/** Commands on settings files. */
export const settingsCommand = defineCommand({
  meta: { name: "settings", description: "Work on settings files" },
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
  meta: { name: "history", description: "List the latest versions" },
  args: callArgs,
  async run({ args }) {
    const path = "/v1/configuration/history";
    await callAndPrint({ ...args, method: "GET", path });
  },
});

/** Reads `ZONE=FILE` pairs into one overlay section a zone. */
function readOverlays(
  base: string,
  text: string,
): Record<string, JsonObject> {
  const overlays: Record<string, JsonObject> = {};
  for (const pair of text.split(",").filter((part) => part !== "")) {
    const [zone = "", overlay] = pair.split("=");
    const loaded = loadOrExit({ settings: base, overlay });
    overlays[zone] = loaded.overlayConfiguration;
  }
  return overlays;
}

const applyCommand = defineCommand({
  meta: {
    name: "apply",
    description: "Propose the configuration of settings files",
  },
  args: {
    ...callArgs,
    settings: settingsArgs.settings,
    overlays: {
      type: "string",
      default: "",
      description: "Overlays, as ZONE=FILE,ZONE=FILE",
    },
    version: {
      type: "string",
      required: true,
      description: "The version that the change builds on; 0 for the first",
    },
    changeId: {
      type: "string",
      description: "Names the change; give it again after a lost answer",
    },
  },
  async run({ args }) {
    const expectedVersion = Number(args.version);
    if (!Number.isInteger(expectedVersion) || expectedVersion < 0) {
      process.stderr.write("--version: expected a whole number\n");
      process.exitCode = EXIT_REFUSED;
      return;
    }
    const { baseConfiguration } = loadOrExit({ settings: args.settings });
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

/** Commands on the configuration in force. */
export const configCommand = defineCommand({
  meta: { name: "config", description: "Work on the configuration" },
  subCommands: {
    get: getCommand,
    apply: applyCommand,
    history: historyCommand,
  },
});
