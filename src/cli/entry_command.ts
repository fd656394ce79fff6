/** The command `bronzemill entry`, which runs the daemon. */

import { defineCommand } from "citty";
import { startEntry } from "../entry/entry.ts";
import { createLog } from "../entry/log.ts";
import { loadSettingsOrExit, settingsArgs } from "./common.ts";

/** Exit code of the daemon when it exits before its drain has completed. */
const EXIT_DRAIN_INCOMPLETE = 2;

/**
 * Runs one entry instance. The first SIGTERM or SIGINT drains it; a second
 * signal, or the drain deadline, ends the process before the drain completes.
 */
export const entryCommand = defineCommand({
  meta: { name: "entry", description: "Run one entry instance" },
  args: {
    ...settingsArgs,
    slot: {
      type: "string",
      description:
        "Slot of the instance to run; defaults to entry.slot in the settings",
    },
  },
  async run({ args }) {
    const { settings } = loadSettingsOrExit(args);
    const slot = args.slot ?? settings.entry.slot ?? "";
    const log = createLog(settings.log, { instanceId: slot });
    const entry = await startEntry({ settings, slot, log });
    let signals = 0;
    function onSignal(): void {
      signals += 1;
      if (signals > 1) process.exit(EXIT_DRAIN_INCOMPLETE);
      const { drainDeadlineMs } = settings.entry;
      setTimeout(() => {
        log.write("error", {
          part: "instance",
          text: "drain deadline passed; exiting with unfinished requests",
        });
        process.exit(EXIT_DRAIN_INCOMPLETE);
      }, drainDeadlineMs).unref();
      void entry.drain();
    }
    process.on("SIGTERM", onSignal);
    process.on("SIGINT", onSignal);
    await entry.stopped;
    process.exit(0);
  },
});
