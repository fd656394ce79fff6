/**
 * Randomised runs of seven cores over fakes. The last line is a JSON object;
 * a violation prints its seed and the shrunk scenario, and exits with 1.
 */

import { defineCommand, runMain } from "citty";
import fc from "fast-check";
import { invariantChecks } from "../src/engine/debug.ts";
import { mutants } from "./mutants.ts";
import { runScenario, type Scenario, scenarioArbitrary } from "./scenario.ts";

const DEFAULT_SEED = 1;
const DEFAULT_RUNS = 60;

interface Totals {
  runs: number;
  events: number;
  readonly faultsByKind: Record<string, number>;
}

function countFaults(totals: Totals, scenario: Scenario): void {
  for (const { kind } of scenario.faults) {
    totals.faultsByKind[kind] = (totals.faultsByKind[kind] ?? 0) + 1;
  }
}

function checked(): number {
  return [...invariantChecks.values()].reduce((a, b) => a + b, 0);
}

const command = defineCommand({
  meta: { name: "prove", description: "Randomised runs over fakes" },
  args: {
    seed: { type: "string", default: String(DEFAULT_SEED) },
    runs: { type: "string", default: String(DEFAULT_RUNS) },
    mutant: { type: "string", description: "Run with one guard removed" },
    "list-mutants": { type: "boolean", description: "Print their names" },
  },
  run({ args }) {
    if (args["list-mutants"] === true) {
      process.stdout.write(`${Object.keys(mutants).join("\n")}\n`);
      return;
    }
    const mutant = args.mutant === undefined ? null : mutants[args.mutant];
    if (mutant === undefined) {
      process.stderr.write(`no mutant ${args.mutant}\n`);
      process.exitCode = 2;
      return;
    }
    const seed = Number(args.seed);
    const totals: Totals = { runs: 0, events: 0, faultsByKind: {} };
    const property = fc.property(scenarioArbitrary, (scenario) => {
      const { events } = runScenario(scenario, mutant?.guards);
      totals.runs += 1;
      totals.events += events;
      countFaults(totals, scenario);
    });
    const result = fc.check(property, { seed, numRuns: Number(args.runs) });
    if (result.failed) {
      const [scenario] = result.counterexample ?? [];
      process.stderr.write(`${String(result.errorInstance)}\n`);
      process.stderr.write(`seed ${seed}: ${JSON.stringify(scenario)}\n`);
      process.exitCode = 1;
    }
    const line = {
      seed,
      runs: totals.runs,
      events: totals.events,
      faultsByKind: totals.faultsByKind,
      invariantsChecked: checked(),
      violations: result.failed ? 1 : 0,
    };
    process.stdout.write(`${JSON.stringify(line)}\n`);
  },
});

await runMain(command);
