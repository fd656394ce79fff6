#!/usr/bin/env node
/** The entry point of the command line interface. */

import { defineCommand, runMain } from "citty";
import { configCommand, settingsCommand } from "./config_commands.ts";
import { entryCommand } from "./entry_command.ts";
import {
  drainCommand,
  jobCommand,
  servicesCommand,
  stateCommand,
  submitCommand,
  teamsCommand,
} from "./instance_commands.ts";
import { traceCommand } from "./trace_command.ts";

const main = defineCommand({
  meta: {
    name: "bronzemill",
    version: "0.1.0",
    description: "A dispatcher for sub-second tasks",
  },
  subCommands: {
    entry: entryCommand,
    settings: settingsCommand,
    config: configCommand,
    services: servicesCommand,
    teams: teamsCommand,
    state: stateCommand,
    drain: drainCommand,
    submit: submitCommand,
    job: jobCommand,
    trace: traceCommand,
  },
});

await runMain(main);
