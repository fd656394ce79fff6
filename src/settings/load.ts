/** Loads a base settings file and its overlay, and says where each is wrong. */

import { readFileSync } from "node:fs";
import { type Document, isMap, LineCounter, parseDocument } from "yaml";
import VError from "verror";
import type { z } from "zod";
import { type JsonObject, siteConfigurationSchema } from "../entry/schemas.ts";
import { applyPatch } from "../entry/merge_patch.ts";
import { nearestName } from "./nearest.ts";
import { type Settings, settingsSchema } from "./schema.ts";

/** One thing wrong with a settings file. */
export interface SettingsProblem {
  readonly file: string;
  readonly line: number;
  readonly field: string;
  readonly message: string;
}

/** The settings cannot be used. */
export class SettingsError extends VError {
  constructor(readonly problems: readonly SettingsProblem[]) {
    super({ name: "SettingsError" }, problems.map(formatProblem).join("\n"));
  }
}

/** One line of text for a problem. */
export function formatProblem(problem: SettingsProblem): string {
  const { file, line, field, message } = problem;
  return `${file}:${line}: ${field}: ${message}`;
}

interface ParsedFile {
  readonly file: string;
  readonly document: Document.Parsed;
  readonly lines: LineCounter;
  readonly content: JsonObject;
}

function parseFile(file: string): ParsedFile {
  let text: string;
  try {
    text = readFileSync(file, "utf8");
  } catch (error) {
    const message = `cannot be read (${(error as NodeJS.ErrnoException).code})`;
    throw new SettingsError([{ file, line: 0, field: "file", message }]);
  }
  const lines = new LineCounter();
  const document = parseDocument(text, { lineCounter: lines });
  const [fault] = document.errors;
  if (fault !== undefined) {
    const { line } = lines.linePos(fault.pos[0]);
    const message = fault.message.split("\n")[0] ?? "not YAML";
    throw new SettingsError([{ file, line, field: "file", message }]);
  }
  const content = document.toJS() ?? {};
  if (!isMap(document.contents) && document.contents !== null) {
    const message = "expected fields at the top";
    throw new SettingsError([{ file, line: 1, field: "file", message }]);
  }
  return { file, document, lines, content };
}

function lineOf(parsed: ParsedFile, path: readonly PropertyKey[]): number {
  for (let length = path.length; length > 0; length -= 1) {
    const pair = pairAt(parsed.document, path.slice(0, length));
    if (pair !== null) return parsed.lines.linePos(pair).line;
  }
  return 0;
}

/** The offset of the key that ends the path, or of the item. */
function pairAt(
  document: Document.Parsed,
  path: readonly PropertyKey[],
): number | null {
  const parent = path.length === 1
    ? document.contents
    : document.getIn(path.slice(0, -1) as string[], true);
  const last = path[path.length - 1];
  if (isMap(parent)) {
    const pair = parent.items.find((item) => String(item.key) === last);
    const range = (pair?.key as { range?: [number, number] } | undefined)
      ?.range;
    return range?.[0] ?? null;
  }
  const node = document.getIn(path as string[], true) as
    | { range?: [number, number] }
    | undefined;
  return node?.range?.[0] ?? null;
}

function problemsOf(
  error: z.ZodError,
  files: readonly ParsedFile[],
  { at, shape }: { at: readonly string[]; shape: z.ZodType },
): SettingsProblem[] {
  return error.issues.flatMap((issue) => {
    const path = [...at, ...issue.path];
    if (issue.code === "unrecognized_keys") {
      return issue.keys.map((key) =>
        problemAt(files, [...path, key], {
          message: unknownField(key, knownFields(shape, issue.path)),
        })
      );
    }
    return [problemAt(files, path, { message: issue.message })];
  });
}

/** The overlay is looked at first: it goes before the base. */
function problemAt(
  files: readonly ParsedFile[],
  path: readonly PropertyKey[],
  { message }: { message: string },
): SettingsProblem {
  const field = path.map(String).join(".");
  for (const parsed of [...files].reverse()) {
    const found = path.length > 0 &&
      parsed.document.hasIn(path as string[]);
    if (found) {
      return { file: parsed.file, line: lineOf(parsed, path), field, message };
    }
  }
  const [base] = files;
  const line = base === undefined ? 0 : lineOf(base, path);
  return { file: base?.file ?? "", line, field, message };
}

function unknownField(key: string, known: readonly string[]): string {
  const nearest = nearestName(key, known);
  const hint = nearest === null ? "" : `; did you mean ${nearest}?`;
  return `unknown field${hint} (allowed: ${known.join(", ")})`;
}

interface SchemaNode {
  readonly shape?: Record<string, z.ZodType>;
  readonly def?: {
    innerType?: z.ZodType;
    element?: z.ZodType;
    valueType?: z.ZodType;
  };
}

/** The fields that the schema allows at a path. */
function knownFields(
  schema: z.ZodType,
  path: readonly PropertyKey[],
): string[] {
  let node = unwrap(schema);
  for (const part of path) {
    const inner = node.shape?.[String(part)] ?? node.def?.element ??
      node.def?.valueType;
    if (inner === undefined) return [];
    node = unwrap(inner);
  }
  return Object.keys(node.shape ?? {});
}

function unwrap(schema: z.ZodType): SchemaNode {
  let node = schema as unknown as SchemaNode;
  while (node.shape === undefined && node.def?.innerType !== undefined) {
    node = node.def.innerType as unknown as SchemaNode;
  }
  return node;
}

/** A base and its overlay, checked. */
export interface LoadedSettings {
  readonly settings: Settings;
  /** The base file's `configuration` section as written. */
  readonly baseConfiguration: JsonObject;
  /** The overlay's `configuration` section as written. */
  readonly overlayConfiguration: JsonObject;
}

/**
 * Loads and checks settings; the overlay states only what differs.
 *
 * @throws {SettingsError} naming file, line and field of every problem.
 * @example
 * ```ts
 * const { settings } = loadSettings("base.yaml", { overlay: "poa.yaml" });
 * ```
 */
export function loadSettings(
  base: string,
  { overlay }: { overlay?: string | undefined } = {},
): LoadedSettings {
  const files = [base, ...(overlay === undefined ? [] : [overlay])]
    .map(parseFile);
  const merged = files.reduce<JsonObject>(
    (content, parsed) => applyPatch(content, parsed.content),
    {},
  );
  const problems: SettingsProblem[] = [];
  const parsed = settingsSchema.safeParse(merged);
  if (!parsed.success) {
    const place = { at: [], shape: settingsSchema };
    problems.push(...problemsOf(parsed.error, files, place));
  }
  const section = merged["configuration"];
  if (section !== undefined) {
    const checked = siteConfigurationSchema.safeParse(section);
    const place = { at: ["configuration"], shape: siteConfigurationSchema };
    if (!checked.success) {
      problems.push(...problemsOf(checked.error, files, place));
    }
  }
  if (!parsed.success || problems.length > 0) throw new SettingsError(problems);
  return {
    settings: parsed.data,
    baseConfiguration: configurationOf(files[0]),
    overlayConfiguration: configurationOf(files[1]),
  };
}

function configurationOf(parsed: ParsedFile | undefined): JsonObject {
  return (parsed?.content["configuration"] ?? {}) as JsonObject;
}
