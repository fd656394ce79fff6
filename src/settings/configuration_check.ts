/**
 * Checks the configuration that `config apply` would send, and compares it with
 * the version in force. The checks are a table, and need no network.
 */

import { isDeepStrictEqual } from "node:util";
import { z } from "zod";
import { effectiveConfiguration, queueOf } from "../entry/configuration.ts";
import { isObject } from "../entry/merge_patch.ts";
import {
  type Json,
  type JsonObject,
  MAX_TASKS_PER_JOB,
  type SiteConfiguration,
  submissionSchema,
} from "../entry/schemas.ts";
import type { LoadedSettings, SettingsProblem } from "./load.ts";

/** What an operator sets: the base and the overlay of each zone. */
export interface ConfigurationContent {
  readonly base: JsonObject;
  readonly overlays: Readonly<Record<string, JsonObject>>;
}

/** The settings files that `config apply` reads. */
export interface CheckedFiles {
  readonly base: LoadedSettings;
  /** The base with each overlay, in the order of the command line. */
  readonly overlays: readonly {
    readonly zone: string;
    readonly loaded: LoadedSettings;
  }[];
}

/** An error keeps the change from being accepted; a warning doesn't. */
export type Severity = "error" | "warning";

/** What a check found, and where the cause is. */
export interface Finding extends SettingsProblem {
  readonly severity: Severity;
  /** Name of the check. */
  readonly check: string;
  /** Zones that it applies to; empty for the base or the whole change. */
  readonly zones: readonly string[];
}

interface Issue {
  /** Path of the field in the settings files. */
  readonly path: readonly string[];
  readonly message: string;
}

/** An issue of one overlay, or of the base or the whole change if it is null. */
interface OverlayIssue extends Issue {
  readonly overlay: CheckedFiles["overlays"][number] | null;
}

/** The configuration in force at zones that have the same one. */
interface Site {
  readonly zones: readonly string[];
  readonly configuration: SiteConfiguration;
  readonly loaded: LoadedSettings;
}

interface ChangeCheck {
  readonly severity: Severity;
  readonly find: (files: CheckedFiles) => OverlayIssue[];
}

/** The section of a settings file that contains the configuration. */
const SECTION = "configuration";
/** Longest deadline that a submission may state. */
const MAX_DEADLINE_MS = submissionSchema.shape.deadlineMs.unwrap().maxValue ??
  Infinity;
/** Length of the ID that `config apply` generates for a change. */
const CHANGE_ID_CHARS = 36;

function kindsOf({ services }: SiteConfiguration) {
  return Object.entries(services).flatMap(([service, { kinds }]) =>
    Object.entries(kinds).map(([kind, { expectedMs }]) => ({
      service,
      kind,
      expectedMs,
      path: [SECTION, "services", service, "kinds", kind],
    }))
  );
}

function teamsOf({ teams }: SiteConfiguration) {
  return Object.entries(teams).map(([team, { keys, shareWeight }]) => ({
    team,
    shareWeight,
    path: [SECTION, "teams", team],
    keys: keys.map((key, index) => ({
      ...key,
      path: [SECTION, "teams", team, "keys", String(index)],
    })),
  }));
}

/**
 * Returns the objective of a job with one task of the kind and the least
 * urgency, which has the longest objective.
 */
function longestObjectiveMs(
  configuration: SiteConfiguration,
  { service, kind, expectedMs }: ReturnType<typeof kindsOf>[number],
): number {
  const submission = { service, kind, urgency: 0, idempotent: false };
  const queue = queueOf(configuration, "", { ...submission, tasks: [] });
  if (queue === null) return 0;
  return queue.stretch * expectedMs + queue.objectiveMs;
}

/** Returns the size of the smallest body of a job with the most tasks. */
function smallestFullJobBytes(service: string, kind: string): number {
  const tasks = new Array(MAX_TASKS_PER_JOB).fill({ payload: 0 });
  return Buffer.byteLength(JSON.stringify({ service, kind, tasks }));
}

/** Checks of the configuration in force at a zone; they find warnings. */
const siteChecks: Readonly<Record<string, (site: Site) => Issue[]>> = {
  noServices: ({ configuration: { services } }) =>
    Object.keys(services).length > 0 ? [] : [{
      path: [SECTION, "services"],
      message: "no service is configured, so every job is refused",
    }],
  noTeams: ({ configuration: { teams } }) =>
    Object.keys(teams).length > 0 ? [] : [{
      path: [SECTION, "teams"],
      message: "no team is configured, so nobody can submit jobs",
    }],
  serviceWithoutKinds: ({ configuration: { services } }) =>
    Object.entries(services)
      .filter(([, { kinds }]) => Object.keys(kinds).length === 0)
      .map(([service]) => ({
        path: [SECTION, "services", service],
        message: "the service has no kinds, so no job can use it",
      })),
  teamWithoutKeys: ({ configuration }) =>
    teamsOf(configuration).filter(({ keys }) => keys.length === 0)
      .map(({ path }) => ({
        path,
        message: "the team has no keys, so nobody can act for it",
      })),
  teamCannotSubmit: ({ configuration }) =>
    teamsOf(configuration)
      .filter(({ keys }) =>
        keys.length > 0 && keys.every(({ role }) => role === "reader")
      )
      .map(({ path }) => ({
        path: [...path, "keys"],
        message: "all keys have the role reader, so the team can't submit jobs",
      })),
  // The access table keeps one owner for each key: the last team in the order of
  // the document, and an operator before any team.
  hiddenKey: ({ configuration, loaded }) => {
    const owners = new Map<string, string>();
    for (const hash of loaded.settings.admin.operatorKeysSha256) {
      owners.set(hash, "admin.operatorKeysSha256");
    }
    const keys = teamsOf(configuration).flatMap((team) => team.keys);
    return keys.reverse().flatMap(({ path, sha256Hex }) => {
      const owner = owners.get(sha256Hex);
      owners.set(sha256Hex, owner ?? path.join("."));
      return owner === undefined ? [] : [{
        path,
        message: `the key is never used, because ${owner} has the same one`,
      }];
    }).reverse();
  },
  operatorRoleInTeam: ({ configuration }) =>
    teamsOf(configuration).flatMap(({ keys }) => keys)
      .filter(({ role }) => role === "operator")
      .map(({ path }) => ({
        path: [...path, "role"],
        message: "operator has the rights of team here; operators' keys are " +
          "in admin.operatorKeysSha256",
      })),
  shareWeightUnused: ({ configuration }) =>
    teamsOf(configuration).filter(({ shareWeight }) => shareWeight !== 1)
      .map(({ path, shareWeight }) => ({
        path: [...path, "shareWeight"],
        message: `${shareWeight} is shown, but has no effect yet`,
      })),
  deadlineBelowRunTime: ({ configuration }) => {
    const { defaultDeadlineMs } = configuration.limits;
    return kindsOf(configuration)
      .filter(({ expectedMs }) => expectedMs > defaultDeadlineMs)
      .map(({ path, expectedMs }) => ({
        path: [...path, "expectedMs"],
        message: `a run is expected to take ${expectedMs} ms, but ` +
          `limits.defaultDeadlineMs is ${defaultDeadlineMs} ms`,
      }));
  },
  deadlineBelowObjective: ({ configuration }) => {
    const { defaultDeadlineMs } = configuration.limits;
    return kindsOf(configuration).flatMap((kind) => {
      const objectiveMs = longestObjectiveMs(configuration, kind);
      const isMet = objectiveMs <= defaultDeadlineMs;
      if (isMet || kind.expectedMs > defaultDeadlineMs) return [];
      return [{
        path: [...kind.path, "onTimeRatio"],
        message: `an answer counts as on time for up to ${objectiveMs} ms, ` +
          `but limits.defaultDeadlineMs is ${defaultDeadlineMs} ms`,
      }];
    });
  },
  deadlineAboveMaximum: ({ configuration: { limits } }) =>
    limits.defaultDeadlineMs <= MAX_DEADLINE_MS ? [] : [{
      path: [SECTION, "limits", "defaultDeadlineMs"],
      message: `${limits.defaultDeadlineMs} ms is longer than the longest ` +
        `deadline that a job may state, ${MAX_DEADLINE_MS} ms`,
    }],
  drainBelowDeadline: ({ configuration: { limits }, loaded }) => {
    const { drainDeadlineMs } = loaded.settings.entry;
    return drainDeadlineMs >= limits.defaultDeadlineMs ? [] : [{
      path: ["entry", "drainDeadlineMs"],
      message: `a drain is aborted after ${drainDeadlineMs} ms, but a ` +
        `job may last for limits.defaultDeadlineMs, ` +
        `${limits.defaultDeadlineMs} ms`,
    }];
  },
  bodyLimitBelowFullJob: ({ configuration, loaded }) => {
    const { maxBodyBytes } = loaded.settings.entry;
    return kindsOf(configuration).flatMap(({ service, kind }) => {
      const bytes = smallestFullJobBytes(service, kind);
      return bytes <= maxBodyBytes ? [] : [{
        path: ["entry", "maxBodyBytes"],
        message: `${maxBodyBytes} bytes are less than the ${bytes} ` +
          `of a job of ${service}/${kind} with ${MAX_TASKS_PER_JOB} tasks`,
      }];
    });
  },
};

/** Returns a field of an object, ignoring what all objects inherit. */
function ownValue(object: JsonObject, name: string): Json | undefined {
  return Object.hasOwn(object, name) ? object[name] : undefined;
}

/** Returns fields of an overlay that don't change the base, or remove nothing. */
function findIneffective(
  patch: JsonObject,
  target: JsonObject,
  path: readonly string[],
): Issue[] {
  return Object.entries(patch).flatMap(([name, value]): Issue[] => {
    const old = ownValue(target, name);
    const fieldPath = [...path, name];
    if (value === null) {
      const message = "null removes nothing: the base has no such field";
      return old === undefined ? [{ path: fieldPath, message }] : [];
    }
    if (isObject(value) && isObject(old)) {
      return findIneffective(value, old, fieldPath);
    }
    if (!isDeepStrictEqual(value, old)) return [];
    return [{ path: fieldPath, message: "the base has the same value" }];
  });
}

function zonesOf({ base }: CheckedFiles): string[] {
  const { instances } = base.settings;
  return [...new Set(instances.map((instance) => instance.availabilityZone))];
}

/** Returns the content of the change that `config apply` would send. */
export function contentOf(
  { base, overlays }: CheckedFiles,
): ConfigurationContent {
  return {
    base: base.baseConfiguration,
    overlays: Object.fromEntries(
      overlays.map(({ zone, loaded }) => [zone, loaded.overlayConfiguration]),
    ),
  };
}

/** Returns the configuration in force at a zone, or why it is refused. */
function decodeZone(files: CheckedFiles, zone: string) {
  try {
    const document = { version: 0, changeId: "", ...contentOf(files) };
    return { configuration: effectiveConfiguration(document, zone) };
  } catch (error) {
    if (!(error instanceof z.ZodError)) throw error;
    return { issues: error.issues };
  }
}

/** Checks of the change as a whole. */
const changeChecks: Readonly<Record<string, ChangeCheck>> = {
  invalidField: {
    severity: "error",
    find: (files) =>
      [null, ...files.overlays].flatMap((overlay) =>
        (decodeZone(files, overlay?.zone ?? "").issues ?? [])
          .map(({ path, message }) => ({
            overlay,
            path: [SECTION, ...path.map(String)],
            message,
          }))
      ),
  },
  unknownZone: {
    severity: "error",
    find: (files) =>
      files.overlays.filter(({ zone }) => !zonesOf(files).includes(zone))
        .map((overlay) => ({
          overlay,
          path: [SECTION],
          message: `no instance is in the availability zone "${overlay.zone}"`,
        })),
  },
  changeTooLarge: {
    severity: "error",
    find: (files) => {
      const { maxBodyBytes } = files.base.settings.entry;
      const changeId = "0".repeat(CHANGE_ID_CHARS);
      const change = { expectedVersion: 0, changeId, ...contentOf(files) };
      const bytes = Buffer.byteLength(JSON.stringify(change));
      return bytes <= maxBodyBytes ? [] : [{
        overlay: null,
        path: ["entry", "maxBodyBytes"],
        message: `${maxBodyBytes} bytes are less than this change's ${bytes}`,
      }];
    },
  },
  replacedOverlay: {
    severity: "warning",
    find: ({ overlays }) =>
      overlays.filter(({ zone }, index) =>
        overlays.slice(index + 1).some((later) => later.zone === zone)
      ).map((overlay) => ({
        overlay,
        path: [SECTION],
        message: `a later overlay of the zone ${overlay.zone} replaces it`,
      })),
  },
  ineffectiveOverlay: {
    severity: "warning",
    find: ({ base, overlays }) =>
      overlays.flatMap((overlay) =>
        findIneffective(
          overlay.loaded.overlayConfiguration,
          base.baseConfiguration,
          [SECTION],
        ).map((issue) => ({ ...issue, overlay }))
      ),
  },
};

/** Returns the valid configurations in force, one for zones without overlay. */
function sitesOf(files: CheckedFiles): Site[] {
  const byZone = new Map(
    files.overlays.map(({ zone, loaded }) => [zone, loaded]),
  );
  const zones = zonesOf(files);
  const groups = [
    zones.filter((zone) => !byZone.has(zone)),
    ...zones.filter((zone) => byZone.has(zone)).map((zone) => [zone]),
  ];
  return groups.flatMap((group) => {
    const [zone] = group;
    if (zone === undefined) return [];
    const { configuration } = decodeZone(files, zone);
    const loaded = byZone.get(zone) ?? files.base;
    return configuration === undefined
      ? []
      : [{ zones: group, configuration, loaded }];
  });
}

/** Merges findings with one cause, such as a field of the base, in many zones. */
function mergeZones(findings: readonly Finding[]): Finding[] {
  const merged = new Map<string, Finding>();
  for (const { zones, ...cause } of findings) {
    const id = JSON.stringify(cause);
    const known = merged.get(id)?.zones;
    // A finding about the base alone covers the zones that inherit it.
    const allZones = known?.length === 0 ? [] : [...known ?? [], ...zones];
    merged.set(id, { ...cause, zones: [...new Set(allZones)] });
  }
  return [...merged.values()];
}

/**
 * Returns the errors for which an instance would refuse the change, then the
 * warnings: entries that can never match, limits that contradict each other, and
 * values without effect.
 *
 * @example
 * ```ts
 * checkConfiguration({ base: loadSettings("base.yaml"), overlays: [] });
 * ```
 */
export function checkConfiguration(files: CheckedFiles): Finding[] {
  const findings: Finding[] = [];
  const report = (
    { path, message }: Issue,
    { loaded, ...about }: Pick<Finding, "severity" | "check" | "zones"> & {
      loaded: LoadedSettings;
    },
  ): void => {
    const field = path.join(".");
    findings.push({ ...loaded.locate(path), field, message, ...about });
  };
  for (const [check, { severity, find }] of Object.entries(changeChecks)) {
    for (const { overlay, ...issue } of find(files)) {
      const zones = overlay === null ? [] : [overlay.zone];
      const { loaded } = overlay ?? { loaded: files.base };
      report(issue, { severity, check, zones, loaded });
    }
  }
  for (const { zones, loaded, configuration } of sitesOf(files)) {
    for (const [check, find] of Object.entries(siteChecks)) {
      for (const issue of find({ zones, loaded, configuration })) {
        report(issue, { severity: "warning", check, zones, loaded });
      }
    }
  }
  const merged = mergeZones(findings);
  return [
    ...merged.filter(({ severity }) => severity === "error"),
    ...merged.filter(({ severity }) => severity === "warning"),
  ];
}

/** A field that differs from the version in force. */
export type Difference =
  & { readonly field: string }
  & (
    | { readonly kind: "added"; readonly after: Json }
    | { readonly kind: "removed"; readonly before: Json }
    | { readonly kind: "changed"; readonly before: Json; readonly after: Json }
  );

function compare(
  before: Json | undefined,
  after: Json | undefined,
  field: string,
): Difference[] {
  if (isObject(before) && isObject(after)) {
    const names = new Set([...Object.keys(before), ...Object.keys(after)]);
    return [...names].sort().flatMap((name) =>
      compare(ownValue(before, name), ownValue(after, name), `${field}.${name}`)
    );
  }
  if (isDeepStrictEqual(before, after)) return [];
  if (before === undefined) {
    return [{ kind: "added", field, after: after ?? null }];
  }
  if (after === undefined) return [{ kind: "removed", field, before }];
  return [{ kind: "changed", field, before, after }];
}

/**
 * Returns what a change would add to the version in force, remove from it, and
 * change in it. Lists are compared whole, because overlays replace them whole.
 */
export function differencesFrom(
  inForce: ConfigurationContent,
  change: ConfigurationContent,
): Difference[] {
  return [
    ...compare(inForce.base, change.base, "base"),
    ...compare(inForce.overlays, change.overlays, "overlays"),
  ];
}
