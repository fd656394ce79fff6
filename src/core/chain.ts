/** Which claim groups guard a key: a pure function of the settings and key. */

import type { ClaimGroup, Slot } from "./types.ts";
import { rendezvousOrder } from "./utilities.ts";

/** How many groups of its home zone a key's chain has at most. */
const MAX_HOME_GROUPS = 3;
/** How many groups a key's chain has at most. */
const MAX_CHAIN_LENGTH = 4;

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

function samePair(a: ClaimGroup, b: ClaimGroup): boolean {
  return [a.owner, a.witness].every((s) => s === b.owner || s === b.witness);
}

/** The groups of a zone in a key's order, each pair of slots once. */
function groupsOfZone(
  slots: readonly Slot[],
  zone: string,
  key: string,
): ClaimGroup[] {
  const groups: ClaimGroup[] = [];
  for (const owner of rendezvousOrder(key, slotsOfZone(slots, zone))) {
    const group = groupOf(slots, owner);
    if (!groups.some((earlier) => samePair(earlier, group))) groups.push(group);
  }
  return groups;
}

/**
 * The groups of a key, in the order in which every attempt asks them: first
 * some of the home zone, so that a zone of three that lost an instance and is
 * cut off still has a pair, then one of each other zone.
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
  const home = homeZone ?? zones[0] ?? "";
  const chain = groupsOfZone(slots, home, key).slice(0, MAX_HOME_GROUPS);
  for (const zone of zones.filter((other) => other !== home)) {
    const [group] = groupsOfZone(slots, zone, key);
    if (group !== undefined) chain.push(group);
  }
  return chain.slice(0, MAX_CHAIN_LENGTH);
}
