/** `bronzemill entry`: the daemon. */

import { defineCommand } from "citty";
import { startEntry } from "../entry/entry.ts";
import { createLog } from "../entry/log.ts";
import { loadOrExit, settingsArgs } from "./common.ts";

/** Exit codes of the daemon. */
const EXIT_CUT_OFF = 2;

/** Runs one entry instance until it is told to stop. */
export const entryCommand = defineCommand({
  meta: { name: "entry", description: "Run one entry instance" },
  args: {
    ...settingsArgs,
    slot: { type: "string", description: "The instance that this process is" },
  },
  async run({ args }) {
    const { settings } = loadOrExit(args);
    const slot = args.slot ?? settings.entry.slot ?? "";
    const log = createLog(settings.log, { instanceId: slot });
    const entry = await startEntry({ settings, slot, log });
    let signals = 0;
    function onSignal(): void {
      signals += 1;
      if (signals > 1) process.exit(EXIT_CUT_OFF);
      const { drainDeadlineMs } = settings.entry;
      setTimeout(() => {
        log.write("error", {
          part: "instance",
          text: "the drain deadline passed, work is cut off",
        });
        process.exit(EXIT_CUT_OFF);
      }, drainDeadlineMs).unref();
      void entry.drain();
    }
    process.on("SIGTERM", onSignal);
    process.on("SIGINT", onSignal);
    await entry.stopped;
    process.exit(0);
  },
});
