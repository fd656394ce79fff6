import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { expect } from "earl";
import { loadSettings, SettingsError } from "./load.ts";

const examples = fileURLToPath(new URL("../../../examples/", import.meta.url));
const sites = [
  { site: "sul", zones: ["poa", "caxias", "pelotas"] },
  { site: "fes", zones: ["bab-boujloud", "talaa-kebira", "andalous"] },
];

for (const { site, zones } of sites) {
  for (const zone of zones) {
    test(`loadSettings: example ${site} with overlay ${zone} is valid`, () => {
      const base = join(examples, site, "base.yaml");
      const overlay = join(examples, site, `${zone}.yaml`);
      expect(loadSettings(base, { overlay }).settings.instances.length)
        .toEqual(7);
    });
  }
}

const invalidFiles = [
  {
    name: "a misspelled field",
    from: "  maxBodyBytes",
    to: "  listn: 127.0.0.1:1\n  maxBodyBytes",
    expected: ["base.yaml:4: entry.listn: ", "did you mean listen?"],
  },
  {
    name: "a value of the wrong type",
    from: "maxBodyBytes: 1048576",
    to: "maxBodyBytes: many",
    expected: ["base.yaml:4: entry.maxBodyBytes: "],
  },
  {
    name: "a misspelled section of the configuration",
    from: "  services:",
    to: "  servces:",
    expected: ["configuration.servces: ", "did you mean services?"],
  },
  {
    name: "invalid YAML",
    from: "entry:",
    to: "entry: [",
    expected: ["base.yaml:"],
  },
];

for (const { name, from, to, expected } of invalidFiles) {
  test(`loadSettings reports ${name}`, () => {
    const folder = mkdtempSync(join(tmpdir(), "bronzemill-test-"));
    const file = join(folder, "base.yaml");
    const text = readFileSync(join(examples, "sul", "base.yaml"), "utf8");
    writeFileSync(file, text.replace(from, to));
    let message = "";
    try {
      loadSettings(file);
    } catch (error) {
      expect(error).toBeA(SettingsError);
      message = (error as Error).message;
    }
    rmSync(folder, { recursive: true });
    for (const part of expected) expect(message.includes(part)).toEqual(true);
  });
}
