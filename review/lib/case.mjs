/** Runs one case: writes its record, and exits with 1 if the rule was broken. */

import { writeFileSync } from "node:fs";
import { join } from "node:path";

const EXIT = { held: 0, broken: 1, notRun: 2 };
/** Limit of the whole case; the deployment is ended before the two minutes. */
const CASE_LIMIT_MS = 110_000;

/**
 * `play` gets the function that adds a line to the record, and whether the
 * disruption is to be made. It returns the breaches of the rule, as texts.
 */
export async function runCase({ folder, rule, play }) {
  const startedAtMs = performance.now();
  const lines = [];
  const record = (text) => {
    const seconds = ((performance.now() - startedAtMs) / 1_000).toFixed(3);
    lines.push(`${seconds} ${text}`);
  };
  const finish = (outcome) => {
    record(`result: ${rule} ${outcome}`);
    writeFileSync(join(folder, "record.txt"), `${lines.join("\n")}\n`);
    console.log(`${rule} ${outcome}`);
    process.exit(EXIT[outcome]);
  };
  const trouble = process.env.TROUBLE !== "0";
  record(`disruption: ${trouble ? "yes" : "no"}`);
  let deployment = null;
  const onStarted = (started) => {
    deployment = started;
    return started;
  };
  for (
    const name of [
      "SIGINT",
      "SIGTERM",
      "uncaughtException",
      "unhandledRejection",
    ]
  ) {
    process.once(name, async (cause) => {
      record(`the case could not run: ${cause?.stack ?? cause}`);
      await deployment?.close();
      finish("notRun");
    });
  }
  const timer = setTimeout(async () => {
    record("the case took too long");
    await deployment?.close();
    finish("notRun");
  }, CASE_LIMIT_MS);
  try {
    const breaches = await play({ record, trouble, onStarted });
    for (const breach of breaches) {
      record(`breach: ${breach}`);
      console.log(breach);
    }
    await deployment?.close();
    clearTimeout(timer);
    finish(breaches.length > 0 ? "broken" : "held");
  } catch (error) {
    record(`the case could not run: ${error.stack}`);
    console.error(error.message);
    await deployment?.close();
    finish("notRun");
  }
}
