/**
 * The order of the instances of an availability zone in which they follow the
 * store and pass configurations on. Each instance computes it from what it
 * knows; instances that disagree for a time read or send something twice.
 */

import { isLive } from "./membership.ts";
import type { InstanceInfo } from "./schemas.ts";
import type { EngineState } from "./types.ts";

/**
 * Returns the ids of this instance and of the live instances of its zone that
 * are not draining: more cores first.
 */
export function zoneRanking(state: EngineState): string[] {
  const { self } = state;
  const infos: InstanceInfo[] = [self];
  for (const peer of state.peers.values()) {
    const isNear = peer.info.availabilityZone === self.availabilityZone;
    if (isNear && !peer.draining && isLive(state, peer)) infos.push(peer.info);
  }
  return infos.sort(compareSize).map(({ instanceId }) => instanceId);
}

function compareSize(a: InstanceInfo, b: InstanceInfo): number {
  return (b.cpuCores ?? 1) - (a.cpuCores ?? 1) ||
    (a.instanceId < b.instanceId ? -1 : 1);
}
