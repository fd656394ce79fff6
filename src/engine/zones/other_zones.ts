/** What this instance knows of the free capacity of other zones. */

import { isActiveLeader } from "../leader_lookup.ts";
import type { EngineState } from "../types.ts";
import { isEvacuated } from "./evacuation.ts";
import { leftMilli, type OtherZone } from "./hand_over.ts";

/** Returns the other zones whose leaders have reported on a service. */
export function otherZones(state: EngineState, service: string): OtherZone[] {
  const zones: OtherZone[] = [];
  if (!state.hasZoneCells) return zones;
  const recent = state.scheduler?.sharing.recent ?? [];
  for (const peer of state.peers.values()) {
    const { info, roomByService, heartbeatAtMs, hasZoneCells, draining } = peer;
    const zone = info.availabilityZone;
    const room = roomByService?.[service];
    if (room === undefined || zone === state.self.availabilityZone) continue;
    if (!hasZoneCells || draining || !isActiveLeader(state, peer)) continue;
    if (isEvacuated(state, info)) continue;
    const handedThere = recent.filter((handOver) =>
      handOver.zone === zone && handOver.service === service
    );
    const reportedAtMs = heartbeatAtMs;
    zones.push({
      zone,
      idleMilli: leftMilli(room.idleMilli, {
        recent: handedThere,
        reportedAtMs,
      }),
      capacityMilli: room.capacityMilli,
      usualUsedMilli: peer.usualUsed.get(service)?.value ?? 0,
      waitMs: peer.waitMsByService[service] ?? 0,
      ageMs: state.nowMs - heartbeatAtMs,
    });
  }
  return zones;
}
