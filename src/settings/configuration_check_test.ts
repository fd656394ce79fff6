import { test } from "node:test";
import { expect } from "earl";
import { checkProposal } from "../admin/configuration_changes.ts";
import { applyPatch } from "../entry/merge_patch.ts";
import type { JsonObject } from "../entry/schemas.ts";
import {
  checkConfiguration,
  type CheckedFiles,
  contentOf,
  differencesFrom,
} from "./configuration_check.ts";
import type { LoadedSettings } from "./load.ts";
import { settingsSchema } from "./schema.ts";

const key = (digit: string, role = "team") => ({
  sha256Hex: digit.repeat(64),
  role,
});
const zones = ["poa", "caxias"];
const base: JsonObject = {
  services: { oficina: { kinds: { quote: { expectedMs: 200 } } } },
  teams: { benches: { keys: [key("a")] } },
};

interface Case {
  readonly name: string;
  /** Merged into the base that has no findings. */
  readonly patch?: JsonObject;
  readonly overlays?: Record<string, JsonObject>;
  readonly entry?: JsonObject;
  /** Severity, check, field and zones of each finding. */
  readonly expected: readonly string[];
}

function filesOf(
  { patch = {}, overlays = {}, entry = {} }: Case,
): CheckedFiles {
  const address = "127.0.0.1:1";
  const listeners = {
    callerAddress: address,
    adminAddress: address,
    peerAddress: address,
  };
  const settings = settingsSchema.parse({
    entry,
    instances: zones.map((availabilityZone, index) => ({
      slot: `s${index}`,
      availabilityZone,
      ...listeners,
    })),
    platform: { address },
    admin: { operatorKeysSha256: ["0".repeat(64)] },
  });
  const loaded = (overlayConfiguration: JsonObject): LoadedSettings => ({
    settings,
    baseConfiguration: applyPatch(base, patch),
    overlayConfiguration,
    locate: () => ({ file: "", line: 0 }),
  });
  return {
    base: loaded({}),
    overlays: Object.entries(overlays)
      .map(([zone, overlay]) => ({ zone, loaded: loaded(overlay) })),
  };
}

const all = "poa,caxias";
const kind = "configuration.services.oficina.kinds.quote";
const teams = "configuration.teams";
const deadline = "configuration.limits.defaultDeadlineMs";
const cases: Case[] = [
  { name: "nothing in a sound configuration", expected: [] },
  {
    name: "a section that only the overlay of one zone has",
    patch: { teams: null },
    overlays: { poa: { teams: { benches: { keys: [key("a")] } } } },
    expected: ["error invalidField configuration.teams "],
  },
  {
    name: "a value out of range in an overlay",
    overlays: { poa: { limits: { defaultDeadlineMs: -1 } } },
    expected: [`error invalidField ${deadline} poa`],
  },
  {
    name: "an overlay of a zone without instances",
    overlays: { nowhere: { limits: { defaultDeadlineMs: 9_000 } } },
    expected: ["error unknownZone configuration nowhere"],
  },
  {
    name: "body limits too small for the change and for a job of 170 tasks",
    entry: { maxBodyBytes: 200 },
    expected: [
      "error changeTooLarge entry.maxBodyBytes ",
      `warning bodyLimitBelowFullJob entry.maxBodyBytes ${all}`,
    ],
  },
  {
    name: "overlay fields without effect",
    overlays: {
      poa: { services: { oficina: { kinds: { quote: { expectedMs: 200 } } } } },
      caxias: { teams: { constructor: null } },
    },
    expected: [
      `warning ineffectiveOverlay ${kind}.expectedMs poa`,
      `warning ineffectiveOverlay ${teams}.constructor caxias`,
    ],
  },
  {
    name: "no services and no teams",
    patch: { services: { oficina: null }, teams: { benches: null } },
    expected: [
      `warning noServices configuration.services ${all}`,
      `warning noTeams ${teams} ${all}`,
    ],
  },
  {
    name: "a service without kinds in one zone only",
    overlays: { poa: { services: { oficina: { kinds: { quote: null } } } } },
    expected: [
      "warning serviceWithoutKinds configuration.services.oficina poa",
    ],
  },
  {
    name: "teams that can't submit jobs",
    patch: { teams: { a: {}, b: { keys: [key("b", "reader")] } } },
    expected: [
      `warning teamWithoutKeys ${teams}.a ${all}`,
      `warning teamCannotSubmit ${teams}.b.keys ${all}`,
    ],
  },
  {
    name: "keys that a later team or an operator has too",
    patch: { teams: { last: { keys: [key("0"), key("a")] } } },
    expected: [
      `warning hiddenKey ${teams}.benches.keys.0 ${all}`,
      `warning hiddenKey ${teams}.last.keys.0 ${all}`,
    ],
  },
  {
    name: "an operator's role in a team, and a weight that is not used",
    patch: {
      teams: { benches: { shareWeight: 2, keys: [key("a", "operator")] } },
    },
    expected: [
      `warning operatorRoleInTeam ${teams}.benches.keys.0.role ${all}`,
      `warning shareWeightUnused ${teams}.benches.shareWeight ${all}`,
    ],
  },
  {
    name: "a deadline shorter than the run time",
    overlays: { poa: { limits: { defaultDeadlineMs: 199 } } },
    expected: [`warning deadlineBelowRunTime ${kind}.expectedMs poa`],
  },
  {
    name: "a deadline shorter than the objective of 2 x 200 + 90 ms",
    patch: { limits: { defaultDeadlineMs: 489 } },
    expected: [`warning deadlineBelowObjective ${kind}.onTimeRatio ${all}`],
  },
  {
    name: "no deadline that equals the objective",
    patch: { limits: { defaultDeadlineMs: 490 } },
    expected: [],
  },
  {
    name: "a deadline longer than a drain and than any that a job may state",
    patch: { limits: { defaultDeadlineMs: 600_001 } },
    expected: [
      `warning deadlineAboveMaximum ${deadline} ${all}`,
      `warning drainBelowDeadline entry.drainDeadlineMs ${all}`,
    ],
  },
];

for (const checkedCase of cases) {
  test(`checkConfiguration finds ${checkedCase.name}`, () => {
    const files = filesOf(checkedCase);
    const found = checkConfiguration(files).map((finding) => {
      const { severity, check, field, zones } = finding;
      return `${severity} ${check} ${field} ${zones.join(",")}`;
    });
    expect(found).toEqual([...checkedCase.expected]);
    // What an instance refuses must be an error here, and the other way round.
    const proposal = { expectedVersion: 0, changeId: "", ...contentOf(files) };
    const isRefused = found.some((text) =>
      /^error (invalidField|unknownZone)/.test(text)
    );
    const check = () => checkProposal(proposal, zones);
    if (isRefused) expect(check).toThrow();
    else check();
  });
}

test("checkConfiguration finds an overlay that a later one replaces", () => {
  const overlays = { poa: { limits: { defaultDeadlineMs: 9_000 } } };
  const files = filesOf({ name: "", overlays, expected: [] });
  const twice = { ...files, overlays: [...files.overlays, ...files.overlays] };
  const checks = checkConfiguration(twice).map(({ check }) => check);
  expect(checks).toEqual(["replacedOverlay"]);
});

test("differencesFrom tells what is added, removed and changed, with values", () => {
  const before = { base: { a: 1, b: { c: [1], d: 2 } }, overlays: { x: {} } };
  const after = { base: { b: { d: 2, c: [2] }, constructor: 3 }, overlays: {} };
  expect(differencesFrom(before, after)).toEqual([
    { kind: "removed", field: "base.a", before: 1 },
    { kind: "changed", field: "base.b.c", before: [1], after: [2] },
    { kind: "added", field: "base.constructor", after: 3 },
    { kind: "removed", field: "overlays.x", before: {} },
  ]);
});
