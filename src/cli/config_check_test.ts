import { spawn } from "node:child_process";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { after, before, test } from "node:test";
import { fileURLToPath } from "node:url";
import { expect } from "earl";
import { loadSettings } from "../settings/load.ts";

const main = fileURLToPath(new URL("./main.js", import.meta.url));
const folder = fileURLToPath(new URL("../../../examples/sul", import.meta.url));
const { baseConfiguration } = loadSettings(`${folder}/base.yaml`);
const inForce = {
  version: 4,
  changeId: "c",
  base: { ...baseConfiguration, limits: { defaultDeadlineMs: 9_000 } },
  overlays: {},
};

/** Answers as an instance with version 4, one without, and one that refuses. */
const responses: Record<string, { status: number; body: object }> = {
  "Bearer informed": { status: 200, body: inForce },
  "Bearer early": { status: 503, body: { error: "notReady" } },
  "Bearer wrong": { status: 403, body: { error: "forbidden" } },
};
let server: Server;

before(async () => {
  server = createServer((request, response) => {
    const { authorization = "" } = request.headers;
    const { status = 500, body = {} } = responses[authorization] ?? {};
    response.writeHead(status).end(JSON.stringify(body));
  });
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
});

after(() => {
  server.closeAllConnections();
  server.close();
});

async function check(
  args: readonly string[],
  key: string | null,
): Promise<{ code: number; stdout: string }> {
  const { port } = server.address() as AddressInfo;
  const call = key === null
    ? []
    : ["--address", `127.0.0.1:${port}`, "--key", key];
  const command = [main, "config", "check", ...args, ...call];
  const child = spawn(process.execPath, command, { cwd: folder });
  let stdout = "";
  child.stdout.on("data", (chunk) => stdout += String(chunk));
  const code = await new Promise<number>((done) => child.once("close", done));
  return { code, stdout };
}

const settings = ["--settings", "base.yaml"];
const cases = [
  {
    name: "warnings alone don't fail the check",
    args: [...settings, "--overlays", "poa=poa.yaml"],
    key: null,
    code: 0,
    parts: [
      "warning poa.yaml:4: configuration.limits.defaultDeadlineMs: ",
      "errors: 0, warnings: 2\n",
    ],
  },
  {
    name: "an error fails the check and names the file and line",
    args: [...settings, "--overlays", "nowhere=poa.yaml"],
    key: null,
    code: 1,
    parts: ["error poa.yaml:2: configuration: no instance is in"],
  },
  {
    name: "a file that config apply can't read fails the check",
    args: ["--settings", "missing.yaml", "--json"],
    key: null,
    code: 1,
    parts: ['"check":"invalidFile"', '"file":"missing.yaml"'],
  },
  {
    name: "the version in force is compared with both values",
    args: settings,
    key: "informed",
    code: 0,
    parts: [
      "changed base.limits.defaultDeadlineMs: 9000 -> 30000\n",
      "differences from 4: 1\n",
    ],
  },
  {
    name: "an instance without a version doesn't fail the first check",
    args: [...settings, "--json"],
    key: "early",
    code: 0,
    parts: ['"differences":null,"versionInForce":null'],
  },
  {
    name: "a comparison that was asked for and not made fails the check",
    args: settings,
    key: "wrong",
    code: 1,
    parts: ["errors: 0"],
  },
];

for (const { name, args, key, code, parts } of cases) {
  test(`config check: ${name}`, async () => {
    const result = await check(args, key);
    expect(result.code).toEqual(code);
    for (const part of parts) {
      expect(result.stdout).toEqual(expect.includes(part));
    }
  });
}
