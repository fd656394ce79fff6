/**
 * Turns saved lines of the bench into a page with plots.
 *
 * Usage: npm run -s report -- FILE [FOLDER]
 */

import { mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { z } from "zod";
import { barChart } from "./svg.ts";

const lineSchema = z.object({
  scenario: z.string(),
  policy: z.string(),
  load: z.number(),
  jobs: z.number(),
  ratioP50: z.number(),
  ratioP99: z.number(),
  ratioP999: z.number(),
  wastedPerTask: z.number(),
  messagesPerTask: z.number(),
  protection: z.number(),
  refusedNotRun: z.number(),
  failed: z.number(),
  unknown: z.number(),
  entryCpuMsPerTask: z.number(),
  entryRssMb: z.number(),
  seed: z.number(),
});
type Line = z.infer<typeof lineSchema>;

const columns: readonly (keyof Line)[] = [
  "policy",
  "jobs",
  "ratioP50",
  "ratioP99",
  "ratioP999",
  "protection",
  "wastedPerTask",
  "messagesPerTask",
  "refusedNotRun",
  "failed",
  "unknown",
  "entryCpuMsPerTask",
];

/** The plots of a report: a field of the lines each. */
const plots: readonly {
  field: "ratioP99" | "protection" | "messagesPerTask";
  title: string;
  /** Where the axis ends; higher bars are cut, and labelled. */
  highest: number;
}[] = [
  {
    field: "ratioP99",
    title: "Answer time over ideal, 99th percentile",
    highest: 8,
  },
  {
    field: "protection",
    title: "On-time service kept by the other kinds",
    highest: 1,
  },
  { field: "messagesPerTask", title: "Messages a task", highest: 8 },
];

function readLines(file: string): Line[] {
  return readFileSync(file, "utf8").split("\n")
    .filter((line) => line !== "")
    .map((line) => lineSchema.parse(JSON.parse(line)));
}

function table(lines: readonly Line[]): string {
  const head = `| ${columns.join(" | ")} |`;
  const rule = `| ${columns.map(() => "---").join(" | ")} |`;
  const rows = lines.map((line) =>
    `| ${columns.map((column) => String(line[column])).join(" | ")} |`
  );
  return [head, rule, ...rows].join("\n");
}

function scenarioSection(scenario: string, lines: readonly Line[]): string {
  const own = lines.filter((line) => line.scenario === scenario);
  const [first] = own;
  const seeds = [...new Set(own.map((line) => line.seed))].join(", ");
  return `## ${scenario}\n\nUsual load ${first?.load}, seed ${seeds}.\n\n${
    table(own)
  }\n`;
}

function main([file, folder = "docs/report"]: string[]): void {
  if (file === undefined) {
    process.stderr.write("usage: report FILE [FOLDER]\n");
    process.exitCode = 2;
    return;
  }
  const lines = readLines(file);
  const scenarios = [...new Set(lines.map((line) => line.scenario))];
  mkdirSync(folder, { recursive: true });
  for (const { field, title, highest } of plots) {
    const groups = scenarios.map((scenario) => ({
      name: scenario,
      bars: lines.filter((line) => line.scenario === scenario)
        .map((line) => ({ name: line.policy, value: line[field] })),
    }));
    writeFileSync(
      join(folder, `${field}.svg`),
      barChart(title, groups, { highest }),
    );
  }
  const page = [
    "# Bench report\n",
    "Each line is one run of `npm run -s bench`; ours is `stretch`.\n",
    "Jobs that failed or were refused count as late as their deadline.\n",
    ...plots.map(({ field, title }) => `![${title}](${field}.svg)\n`),
    ...scenarios.map((scenario) => scenarioSection(scenario, lines)),
  ];
  writeFileSync(join(folder, "README.md"), page.join("\n"));
}

main(process.argv.slice(2));
