import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import { expect } from "earl";
import ts from "typescript";

const ROOT = process.cwd();

function sourcesOf(folder: string): string[] {
  const options = { recursive: true, encoding: "utf8" } as const;
  return readdirSync(join(ROOT, folder), options)
    .filter((name) => name.endsWith(".ts") && !name.endsWith("_test.ts"))
    .map((name) => join(folder, name));
}

function importsOf(file: string): string[] {
  const { importedFiles } = ts.preProcessFile(
    readFileSync(join(ROOT, file), "utf8"),
  );
  return importedFiles.map(({ fileName }) => fileName)
    .filter((name) => name.startsWith("."))
    .map((name) => join(file, "..", name));
}

function findCycle(files: readonly string[]): string[] {
  const done = new Set<string>();
  const path: string[] = [];
  const visit = (file: string): string[] => {
    if (path.includes(file)) return [...path.slice(path.indexOf(file)), file];
    if (done.has(file) || !files.includes(file)) return [];
    path.push(file);
    for (const next of importsOf(file)) {
      const cycle = visit(next);
      if (cycle.length > 0) return cycle;
    }
    path.pop();
    done.add(file);
    return [];
  };
  for (const file of files) {
    const cycle = visit(file);
    if (cycle.length > 0) return cycle;
  }
  return [];
}

for (const folder of ["src/engine", "src/instance", "platform"]) {
  test(`no files of ${folder} form an import cycle`, () => {
    expect(findCycle(sourcesOf(folder))).toEqual([]);
  });
}

test("the engine imports no instance code and no platform adapter", () => {
  const upward = sourcesOf("src/engine").flatMap(importsOf)
    .filter((file) => !/^src\/engine\//.test(file));
  expect(upward).toEqual([]);
});
