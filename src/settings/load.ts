/** Loads a base settings file and its overlay and locates invalid fields. */

import { readFileSync } from "node:fs";
import VError from "verror";
import { type Document, isMap, LineCounter, parseDocument } from "yaml";
import type { z } from "zod";
import { applyPatch } from "../entry/merge_patch.ts";
import { type JsonObject, siteConfigurationSchema } from "../entry/schemas.ts";
import { nearestName } from "./nearest.ts";
import { type Settings, settingsSchema } from "./schema.ts";

/** A place in a settings file; line 0 means that the line is unknown. */
export interface FileLocation {
  readonly file: string;
  readonly line: number;
}

/** A problem in a settings file. */
export interface SettingsProblem extends FileLocation {
  readonly field: string;
  readonly message: string;
}

/** Thrown for settings that cannot be used, with all their problems. */
export class SettingsError extends VError {
  constructor(readonly problems: readonly SettingsProblem[]) {
    super({ name: "SettingsError" }, problems.map(formatProblem).join("\n"));
  }
}

/** Formats a problem as one line of text. */
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
  const [syntaxError] = document.errors;
  if (syntaxError !== undefined) {
    const { line } = lines.linePos(syntaxError.pos[0]);
    const message = syntaxError.message.split("\n")[0] ?? "not valid YAML";
    throw new SettingsError([{ file, line, field: "file", message }]);
  }
  const content = document.toJS() ?? {};
  if (!isMap(document.contents) && document.contents !== null) {
    const message = "expected a mapping at the top level";
    throw new SettingsError([{ file, line: 1, field: "file", message }]);
  }
  return { file, document, lines, content };
}

/**
 * Returns the line of the deepest part of the path that the file contains, or
 * 0 if it contains none.
 */
function lineOf(parsed: ParsedFile, path: readonly PropertyKey[]): number {
  for (let length = path.length; length > 0; length -= 1) {
    const offset = keyOffset(parsed.document, path.slice(0, length));
    if (offset !== null) return parsed.lines.linePos(offset).line;
  }
  return 0;
}

/**
 * Returns the offset of the last key of the path, or of the item when the path
 * ends in a sequence; null if the document does not contain it.
 */
function keyOffset(
  document: Document.Parsed,
  path: readonly PropertyKey[],
): number | null {
  const parent = path.length === 1
    ? document.contents
    : document.getIn(path.slice(0, -1) as string[], true);
  const key = path[path.length - 1];
  if (isMap(parent)) {
    const pair = parent.items.find((item) => String(item.key) === key);
    const range = (pair?.key as { range?: [number, number] } | undefined)
      ?.range;
    return range?.[0] ?? null;
  }
  const node = document.getIn(path as string[], true) as
    | { range?: [number, number] }
    | undefined;
  return node?.range?.[0] ?? null;
}

/**
 * Converts schema issues to problems. `basePath` is the path of the checked
 * section; `schema` provides the allowed fields to list for an unknown one.
 */
function toProblems(
  error: z.ZodError,
  files: readonly ParsedFile[],
  { basePath, schema }: { basePath: readonly string[]; schema: z.ZodType },
): SettingsProblem[] {
  return error.issues.flatMap((issue) => {
    const path = [...basePath, ...issue.path];
    if (issue.code === "unrecognized_keys") {
      return issue.keys.map((key) =>
        createProblem(files, [...path, key], {
          message: unknownFieldMessage(key, allowedFields(schema, issue.path)),
        })
      );
    }
    return [createProblem(files, path, { message: issue.message })];
  });
}

/** Creates a problem located in the file that sets the field. */
function createProblem(
  files: readonly ParsedFile[],
  path: readonly PropertyKey[],
  { message }: { message: string },
): SettingsProblem {
  return { ...locate(files, path), field: path.map(String).join("."), message };
}

/**
 * Returns the place of a field, or of the deepest part of its path that a file
 * contains. For the field itself the overlay is searched first because its
 * values override those of the base.
 */
function locate(
  files: readonly ParsedFile[],
  path: readonly PropertyKey[],
): FileLocation {
  for (let length = path.length; length > 0; length -= 1) {
    const part = path.slice(0, length);
    const searched = length === path.length ? [...files].reverse() : files;
    const found = searched.find(({ document }) =>
      document.hasIn(part as string[])
    );
    if (found !== undefined) {
      return { file: found.file, line: lineOf(found, part) };
    }
  }
  return { file: files[0]?.file ?? "", line: 0 };
}

function unknownFieldMessage(key: string, known: readonly string[]): string {
  const nearest = nearestName(key, known);
  const hint = nearest === null ? "" : `; did you mean ${nearest}?`;
  return `unknown field${hint} (allowed: ${known.join(", ")})`;
}

/** The properties of zod schemas that `allowedFields` reads. */
interface SchemaNode {
  readonly shape?: Record<string, z.ZodType>;
  readonly def?: {
    innerType?: z.ZodType;
    element?: z.ZodType;
    valueType?: z.ZodType;
  };
}

/** Returns the fields that the schema allows in the object at a path. */
function allowedFields(
  schema: z.ZodType,
  path: readonly PropertyKey[],
): string[] {
  let node = unwrap(schema);
  for (const segment of path) {
    const inner = node.shape?.[String(segment)] ?? node.def?.element ??
      node.def?.valueType;
    if (inner === undefined) return [];
    node = unwrap(inner);
  }
  return Object.keys(node.shape ?? {});
}

/** Removes wrappers, such as optional and default, from an object schema. */
function unwrap(schema: z.ZodType): SchemaNode {
  let node = schema as unknown as SchemaNode;
  while (node.shape === undefined && node.def?.innerType !== undefined) {
    node = node.def.innerType as unknown as SchemaNode;
  }
  return node;
}

/** Valid settings, with the `configuration` sections as written. */
export interface LoadedSettings {
  readonly settings: Settings;
  /** The base file's `configuration` section as written. */
  readonly baseConfiguration: JsonObject;
  /** The overlay's `configuration` section as written. */
  readonly overlayConfiguration: JsonObject;
  /** Returns the place of a field, or of the deepest section that exists. */
  readonly locate: (path: readonly PropertyKey[]) => FileLocation;
}

/**
 * Loads and validates settings. The overlay contains only the fields that
 * differ from the base, and is applied to it as a merge patch.
 *
 * @throws {SettingsError} with the file, line and field of every problem.
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
    const location = { basePath: [], schema: settingsSchema };
    problems.push(...toProblems(parsed.error, files, location));
  }
  const section = merged["configuration"];
  if (section !== undefined) {
    const parsedSection = siteConfigurationSchema.safeParse(section);
    const location = {
      basePath: ["configuration"],
      schema: siteConfigurationSchema,
    };
    if (!parsedSection.success) {
      problems.push(...toProblems(parsedSection.error, files, location));
    }
  }
  if (!parsed.success || problems.length > 0) throw new SettingsError(problems);
  return {
    settings: parsed.data,
    baseConfiguration: configurationSection(files[0]),
    overlayConfiguration: configurationSection(files[1]),
    locate: (path) => locate(files, path),
  };
}

function configurationSection(parsed: ParsedFile | undefined): JsonObject {
  return (parsed?.content["configuration"] ?? {}) as JsonObject;
}
