/**
 * The library: start an entry instance, or drive the reducer alone.
 *
 * @module
 */

export { type CoreOptions, createCore, reduce } from "./core/reduce.ts";
export { defaultGuards, type Guards } from "./core/guards.ts";
export { invariantChecks, InvariantError } from "./engine/debug.ts";
export { Diagnostics } from "./core/diagnostics.ts";
export type { CoreEvent, CoreState, Effect } from "./core/types.ts";
export type {
  Answer,
  Configuration,
  ConfigurationDocument,
  PeerMessage,
  Submission,
} from "./core/schemas.ts";
export { type Entry, type EntryOptions, startEntry } from "./entry/entry.ts";
export { loadSettings, SettingsError } from "./settings/load.ts";
export type { Settings } from "./settings/schema.ts";
