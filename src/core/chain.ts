/** Which claim groups guard a key: a pure function of the settings and key. */

import type { ClaimGroup, Slot } from "./types.ts";
import { rendezvousOrder } from "./utilities.ts";

/** How many groups a key's chain has at most. */
export const MAX_CHAIN_LENGTH = 3;

function slotsOfZone(slots: readonly Slot[], zone: string): string[] {
  return slots
    .filter((slot) => slot.availabilityZone === zone)
    .map((slot) => slot.slot)
    .sort();
}

/** The availability zones that the settings name, sorted. */
export function zonesOf(slots: readonly Slot[]): string[] {
  return [...new Set(slots.map((slot) => slot.availabilityZone))].sort();
}

/** The region that a zone lies in; empty for a zone of no instance. */
export function regionOfZone(slots: readonly Slot[], zone: string): string {
  return slots.find((slot) => slot.availabilityZone === zone)?.region ?? "";
}

function zoneOf(slots: readonly Slot[], name: string): string {
  return slots.find((slot) => slot.slot === name)?.availabilityZone ?? "";
}

/**
 * The group that a slot owns. Its witness is the next slot of the same
 * availability zone, or of the next zone where the zone has one slot only.
 */
export function groupOf(slots: readonly Slot[], owner: string): ClaimGroup {
  const zone = zoneOf(slots, owner);
  const local = slotsOfZone(slots, zone);
  const ring = local.length > 1 ? local : slots.map((s) => s.slot).sort();
  const next = (ring.indexOf(owner) + 1) % ring.length;
  return { group: owner, owner, witness: ring[next] ?? owner };
}

function disjoint(a: ClaimGroup, b: ClaimGroup): boolean {
  return ![a.owner, a.witness].some((s) => s === b.owner || s === b.witness);
}

/**
 * The availability zone that a caller's key names: `poa:0192` is at home in
 * poa. Every attempt of a key names the same zone, since the key does.
 */
export function homeZoneOf(
  slots: readonly Slot[],
  key: string,
): string | null {
  const zone = key.slice(0, Math.max(0, key.indexOf(":")));
  return zonesOf(slots).includes(zone) ? zone : null;
}

/**
 * The groups of a key, in the order in which every attempt asks them: first in
 * the home zone, then groups that share no slot with an earlier one.
 *
 * @example
 * ```ts
 * chainOf(slots, { key: "benches/0192", homeZone: "poa" });
 * ```
 */
export function chainOf(
  slots: readonly Slot[],
  { key, homeZone }: { key: string; homeZone: string | null },
): ClaimGroup[] {
  const zones = rendezvousOrder(key, zonesOf(slots));
  const ordered = homeZone === null
    ? zones
    : [homeZone, ...zones.filter((zone) => zone !== homeZone)];
  const chain: ClaimGroup[] = [];
  for (const zone of ordered) {
    for (const owner of rendezvousOrder(key, slotsOfZone(slots, zone))) {
      const group = groupOf(slots, owner);
      if (
        chain.length < MAX_CHAIN_LENGTH &&
        chain.every((g) => disjoint(g, group))
      ) {
        chain.push(group);
      }
    }
  }
  return chain;
}
