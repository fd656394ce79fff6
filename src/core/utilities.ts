/** Small helpers that several parts of the core share. */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import type { CoreState, Effect, Step } from "./types.ts";
import type { InstanceRef, PeerMessage } from "./schemas.ts";

/** Adds an effect to the step. */
export function emit(step: Step, effect: Effect): void {
  step.effects.push(effect);
}

/** Sends a message to a peer, and counts it. */
export function sendPeer(step: Step, slot: string, message: PeerMessage): void {
  if (slot === step.state.self.slot) {
    step.toSelf.push(message);
    return;
  }
  step.state.counters.peerMessagesSent += 1;
  step.effects.push({ type: "sendPeer", slot, message });
}

/** This instance's reference: its slot and incarnation. */
export function selfRef(state: CoreState): InstanceRef {
  return { slot: state.self.slot, incarnation: state.self.incarnation };
}

/** Whether two references name the same incarnation of the same slot. */
export function sameInstance(a: InstanceRef, b: InstanceRef): boolean {
  return a.slot === b.slot && a.incarnation === b.incarnation;
}

/** A number that no earlier call on this state returned. */
export function nextSequence(state: CoreState): number {
  state.sequence += 1;
  return state.sequence;
}

/**
 * An identity that no other instance or incarnation gives out, so that a late
 * reply to an earlier incarnation of this slot matches nothing.
 */
export function nextId(state: CoreState): string {
  const { slot, incarnation } = state.self;
  return `${slot}.${incarnation}.${nextSequence(state)}`;
}

/** A uniform integer from 0 to `bound` - 1. */
export function randomBelow(state: CoreState, bound: number): number {
  return uniformInt(state.random, 0, bound - 1);
}

/** A uniform number from 0 to 1. */
export function randomUnit(state: CoreState): number {
  return uniformFloat64(state.random);
}

/**
 * A 32-bit FNV-1a hash, finished with a mixer so that near texts lie apart.
 *
 * @example
 * ```ts
 * hashText("poa-1|key"); // an unsigned 32-bit integer
 * ```
 */
export function hashText(text: string): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < text.length; i += 1) {
    hash ^= text.charCodeAt(i);
    hash = Math.imul(hash, 0x01000193);
  }
  hash ^= hash >>> 16;
  hash = Math.imul(hash, 0x85ebca6b);
  hash ^= hash >>> 13;
  hash = Math.imul(hash, 0xc2b2ae35);
  hash ^= hash >>> 16;
  return hash >>> 0;
}

/** The names in rendezvous order for a key: the highest score first. */
export function rendezvousOrder(
  key: string,
  names: readonly string[],
): string[] {
  const scored = names.map((name) => ({
    name,
    score: hashText(`${name}|${key}`),
  }));
  scored.sort((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1));
  return scored.map((entry) => entry.name);
}

/** The value of a map's key, made and stored when there is none. */
export function getOrInsert<K, V>(map: Map<K, V>, key: K, make: () => V): V {
  const found = map.get(key);
  if (found !== undefined) return found;
  const made = make();
  map.set(key, made);
  return made;
}
