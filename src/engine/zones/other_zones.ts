/** What this instance knows of the workers and the free capacity of zones. */

import { isActiveLeader } from "../leader_lookup.ts";
import type { Step, WorkerInfo } from "../schemas.ts";
import type { EngineState } from "../types.ts";
import { tasksThatFit } from "../worker_loans.ts";
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
    zones.push({
      zone,
      idleMilli: leftMilli(room.idleMilli, {
        recent: handedThere,
        reportedAtMs: heartbeatAtMs,
      }),
      capacityMilli: room.capacityMilli,
      usualUsedMilli: peer.usualUsed.get(service)?.value ?? 0,
      waitMs: peer.waitMsByService[service] ?? 0,
      ageMs: state.nowMs - heartbeatAtMs,
    });
  }
  return zones;
}

/**
 * Whether each step of a job has a listed worker in a zone with the label and the
 * size that it needs.
 */
export type SuitsZone = (zone: string, steps: readonly Step[]) => boolean;

/** Returns the check for the jobs of a service in one event. */
export function createSuitsZone(
  { workers }: EngineState,
  service: string,
): SuitsZone {
  let byZone: Map<string, WorkerInfo[]> | null = null;

  function workersByZone(): Map<string, WorkerInfo[]> {
    const infosByZone = new Map<string, WorkerInfo[]>();
    for (const info of workers.values()) {
      if (info.service !== service || info.draining) continue;
      const known = infosByZone.get(info.availabilityZone);
      if (known !== undefined) known.push(info);
      else infosByZone.set(info.availabilityZone, [info]);
    }
    return infosByZone;
  }

  return (zone, steps) => {
    byZone ??= workersByZone();
    const infos = byZone.get(zone) ?? [];
    return steps.every((step) => {
      const demand = { ...step, service };
      return infos.some((info) => tasksThatFit(info, demand) > 0);
    });
  };
}
