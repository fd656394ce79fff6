/** Commands that call the HTTP interfaces of a running instance. */

import { randomUUID } from "node:crypto";
import { defineCommand } from "citty";
import { callAndPrint, callArgs, EXIT_FAILURE, readInput } from "./common.ts";

/** Prints the state dump of an instance. */
export const stateCommand = defineCommand({
  meta: { name: "state", description: "Print the state of an instance" },
  args: callArgs,
  async run({ args }) {
    await callAndPrint({ ...args, method: "GET", path: "/v1/state" });
  },
});

/** Starts to drain an instance. */
export const drainCommand = defineCommand({
  meta: {
    name: "drain",
    description: "Drain an instance, which exits when done",
  },
  args: callArgs,
  async run({ args }) {
    await callAndPrint({ ...args, method: "POST", path: "/v1/drain" });
  },
});

/** Lists services and their kinds. */
export const servicesCommand = defineCommand({
  meta: {
    name: "services",
    description: "List services and their kinds",
  },
  args: callArgs,
  async run({ args }) {
    await callAndPrint({ ...args, method: "GET", path: "/v1/services" });
  },
});

/** Lists teams or shows one. */
export const teamsCommand = defineCommand({
  meta: { name: "teams", description: "List teams or show one" },
  args: {
    ...callArgs,
    team: {
      type: "positional",
      required: false,
      description: "The team to show",
    },
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
    process.exit(EXIT_FAILURE);
  }
}

/** Submits a job and prints the response. */
export const submitCommand = defineCommand({
  meta: { name: "submit", description: "Submit a job and print the response" },
  args: {
    ...callArgs,
    file: {
      type: "positional",
      required: true,
      description: "File with the job as JSON, or - for standard input",
    },
    idempotencyKey: {
      type: "string",
      description: "The idempotency key; reuse it to resubmit the same job",
    },
    attempt: {
      type: "string",
      description: "The number of this attempt; 1 if the key is generated",
    },
    wait: {
      type: "boolean",
      default: true,
      description: "Wait until the job has completed",
    },
  },
  async run({ args }) {
    const key = args.idempotencyKey ?? randomUUID();
    const defaultAttempt = args.idempotencyKey === undefined ? "1" : undefined;
    const attempt = args.attempt ?? defaultAttempt;
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

/** Gets the state or outcome of a job, or cancels it. */
export const jobCommand = defineCommand({
  meta: {
    name: "job",
    description: "Get the state or outcome of a job, or cancel it",
  },
  args: {
    ...callArgs,
    jobId: { type: "positional", required: true, description: "The job's ID" },
    cancel: { type: "boolean", description: "Cancel the job" },
    wait: { type: "boolean", description: "Wait until the job has completed" },
  },
  async run({ args }) {
    const job = encodeURIComponent(args.jobId);
    const method = args.cancel === true ? "DELETE" : "GET";
    const path = `/v1/jobs/${job}?wait=${args.wait === true}`;
    await callAndPrint({ ...args, method, path });
  },
});
