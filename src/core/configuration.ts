/** Which configuration is in force here: versions only ever rise. */

import { assert } from "../engine/debug.ts";
import {
  type Configuration,
  type ConfigurationDocument,
  configurationSchema,
  type InstanceRef,
  type JsonObject,
  type PeerMessageOf,
} from "./schemas.ts";
import type { Step } from "./types.ts";
import { applyPatch, diffPatch } from "./merge_patch.ts";
import { emit, sendPeer } from "./utilities.ts";

/** How many versions back a peer may be to be sent patches. */
const PATCHES_KEPT = 32;

/**
 * What a document puts in force at an availability zone.
 *
 * @throws {import("zod").ZodError} when base and overlay are not valid together.
 */
export function effectiveConfiguration(
  document: ConfigurationDocument,
  availabilityZone: string,
): Configuration {
  const overlay = document.overlays[availabilityZone] ?? {};
  return configurationSchema.parse(applyPatch(document.base, overlay));
}

function contentOf(document: ConfigurationDocument): JsonObject {
  return { base: document.base, overlays: document.overlays };
}

/** Puts a document in force, if it is newer than the one that is. */
export function adoptDocument(
  step: Step,
  document: ConfigurationDocument,
): void {
  const { state } = step;
  const inForce = state.document?.version ?? -1;
  if (!state.guards.isNewer(document.version, inForce)) return;
  assert(document.version > inForce, "configuration_rises", state.self.slot);
  const zone = state.self.availabilityZone;
  state.configuration = effectiveConfiguration(document, zone);
  if (state.document !== null) keepPatch(step, state.document, document);
  state.document = document;
  emit(step, {
    type: "log",
    level: "info",
    part: "configuration",
    text: `version ${document.version} is in force`,
  });
}

function keepPatch(
  { state }: Step,
  from: ConfigurationDocument,
  to: ConfigurationDocument,
): void {
  state.patches.set(to.version, {
    type: "configurationDelta",
    fromVersion: from.version,
    toVersion: to.version,
    changeId: to.changeId,
    patch: diffPatch(contentOf(from), contentOf(to)),
  });
  for (const version of state.patches.keys()) {
    if (state.patches.size <= PATCHES_KEPT) break;
    state.patches.delete(version);
  }
}

/** A change that this instance learned first: tells the peers at once. */
export function pushConfiguration(step: Step): void {
  const { state } = step;
  const { document } = state;
  if (document === null) return;
  const delta = state.patches.get(document.version);
  for (const peer of state.peers.values()) {
    if (peer.configurationVersion >= document.version) continue;
    if (delta !== undefined) sendPeer(step, peer.slot, delta);
  }
}

/** A peer's heartbeat names a higher version: asks for it. */
export function requestIfBehind(
  step: Step,
  from: InstanceRef,
  version: number,
): void {
  const haveVersion = step.state.document?.version ?? -1;
  if (version <= haveVersion) return;
  sendPeer(step, from.slot, { type: "configurationRequest", haveVersion });
}

/** Sends a peer what it misses: patches where they are kept, else all. */
export function onConfigurationRequest(
  step: Step,
  from: InstanceRef,
  message: PeerMessageOf<"configurationRequest">,
): void {
  const { state } = step;
  const { document } = state;
  if (document === null) return;
  const deltas: PeerMessageOf<"configurationDelta">[] = [];
  let version = document.version;
  while (version > message.haveVersion) {
    const delta = state.patches.get(version);
    if (delta === undefined) break;
    deltas.unshift(delta);
    version = delta.fromVersion;
  }
  if (version === message.haveVersion) {
    for (const delta of deltas) sendPeer(step, from.slot, delta);
  } else sendPeer(step, from.slot, { type: "configurationFull", document });
}

/** Applies a peer's patch, if it continues the version in force. */
export function onConfigurationDelta(
  step: Step,
  from: InstanceRef,
  delta: PeerMessageOf<"configurationDelta">,
): void {
  const { document } = step.state;
  if (document === null || document.version !== delta.fromVersion) {
    requestIfBehind(step, from, delta.toVersion);
    return;
  }
  const content = applyPatch(contentOf(document), delta.patch);
  adoptDocument(step, {
    version: delta.toVersion,
    changeId: delta.changeId,
    base: content["base"] as JsonObject,
    overlays: content["overlays"] as Record<string, JsonObject>,
  });
}
