/** Commands that call a running instance. */

import { randomUUID } from "node:crypto";
import { defineCommand } from "citty";
import { callAndPrint, callArgs, EXIT_REFUSED, readInput } from "./common.ts";

/** Prints an instance's state. */
export const stateCommand = defineCommand({
  meta: { name: "state", description: "Print an instance's state" },
  args: callArgs,
  async run({ args }) {
    await callAndPrint({ ...args, method: "GET", path: "/v1/state" });
  },
});

/** Drains an instance. */
export const drainCommand = defineCommand({
  meta: { name: "drain", description: "Drain an instance, which then exits" },
  args: callArgs,
  async run({ args }) {
    await callAndPrint({ ...args, method: "POST", path: "/v1/drain" });
  },
});

/** Lists services. */
export const servicesCommand = defineCommand({
  meta: { name: "services", description: "List services and their kinds" },
  args: callArgs,
  async run({ args }) {
    await callAndPrint({ ...args, method: "GET", path: "/v1/services" });
  },
});

/** Lists teams, or shows one. */
export const teamsCommand = defineCommand({
  meta: { name: "teams", description: "List teams, or show one" },
  args: {
    ...callArgs,
    team: { type: "positional", required: false, description: "A team" },
  },
  async run({ args }) {
    const path = args.team === undefined
      ? "/v1/teams"
      : `/v1/teams/${encodeURIComponent(args.team)}`;
    await callAndPrint({ ...args, method: "GET", path });
  },
});

function parseInput(file: string): unknown {
  try {
    return JSON.parse(readInput(file));
  } catch (error) {
    process.stderr.write(`${file}: ${(error as Error).message}\n`);
    process.exit(EXIT_REFUSED);
  }
}

/** Submits a job. */
export const submitCommand = defineCommand({
  meta: { name: "submit", description: "Submit a job and print its answer" },
  args: {
    ...callArgs,
    file: {
      type: "positional",
      required: true,
      description: "The job as JSON; - for standard input",
    },
    idempotencyKey: {
      type: "string",
      description: "The key; give it again to submit the same job again",
    },
    attempt: { type: "string", description: "The number of this attempt" },
    wait: {
      type: "boolean",
      default: true,
      description: "Wait for the answer",
    },
  },
  async run({ args }) {
    const key = args.idempotencyKey ?? randomUUID();
    const first = args.idempotencyKey === undefined ? "1" : undefined;
    const attempt = args.attempt ?? first;
    process.stderr.write(`idempotency key ${key}\n`);
    await callAndPrint({
      ...args,
      method: "POST",
      path: `/v1/jobs?wait=${args.wait}`,
      body: parseInput(args.file),
      headers: {
        "idempotency-key": key,
        ...(attempt === undefined ? {} : { "bronzemill-attempt": attempt }),
      },
    });
  },
});

/** Asks for a job, or cancels it. */
export const jobCommand = defineCommand({
  meta: { name: "job", description: "Ask for a job's answer, or cancel it" },
  args: {
    ...callArgs,
    jobId: { type: "positional", required: true, description: "The job" },
    cancel: { type: "boolean", description: "Cancel it" },
    wait: { type: "boolean", description: "Wait for the answer" },
  },
  async run({ args }) {
    const job = encodeURIComponent(args.jobId);
    const method = args.cancel === true ? "DELETE" : "GET";
    const path = `/v1/jobs/${job}?wait=${args.wait === true}`;
    await callAndPrint({ ...args, method, path });
  },
});
