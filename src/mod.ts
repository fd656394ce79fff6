/**
 * The public API: starts entry instances, or runs the reducer on its own.
 *
 * @module
 */

export { createEngine, type EngineOptions, reduce } from "./engine/reduce.ts";
export { defaultGuards } from "./engine/guards.ts";
export { invariantChecks, InvariantError } from "./engine/debug.ts";
export type {
  Effect,
  EngineEvent,
  EngineState,
  Guards,
} from "./engine/types.ts";
export type {
  Configuration,
  JobOutcome,
  JobSpec,
  PeerMessage,
} from "./engine/schemas.ts";
export { Diagnostics } from "./entry/diagnostics.ts";
export type {
  Answer,
  ConfigurationDocument,
  SiteConfiguration,
  Submission,
} from "./entry/schemas.ts";
export { type Entry, type EntryOptions, startEntry } from "./entry/entry.ts";
export {
  type Instance,
  type InstanceOptions,
  startInstance,
} from "./instance/instance.ts";
export { loadSettings, SettingsError } from "./settings/load.ts";
export type { Settings } from "./settings/schema.ts";
