/** Reports of free capacity in heartbeats between the leaders of zones. */

import { logDecision } from "../effects.ts";
import type { EngineState, Peer, ReduceContext } from "../types.ts";
import { addValue, createUsualRate } from "./load_balance.ts";
import { readReport } from "./room_reports.ts";
import type { RoomByService } from "./zone_types.ts";

/** Minimum time between two log lines of ignored reports of one peer. */
const REPORT_LOG_INTERVAL_MS = 60_000;

/**
 * Returns the report for a peer: the room if it is in another zone. An empty report
 * tells entries of this zone that their leader decides on hand-overs.
 */
export function roomReport(
  { scheduler, hasZoneCells, self }: EngineState,
  { info }: Peer,
): { readonly roomByService?: RoomByService } {
  const isNear = info.availabilityZone === self.availabilityZone;
  if (scheduler === null || !hasZoneCells) return {};
  return { roomByService: isNear ? {} : scheduler.sharing.room };
}

/** Tells a peer of another zone that this leader answers `claimsWanted`. */
export function claimsReport(
  { scheduler, self }: EngineState,
  { info }: Peer,
): { readonly announcesClaims?: true } {
  const isNear = info.availabilityZone === self.availabilityZone;
  if (scheduler === null || isNear) return {};
  return { announcesClaims: true };
}

/** Checks the report of a peer's latest heartbeat, and keeps it if it is valid. */
export function onRoomReport(
  context: ReduceContext,
  peer: Peer,
  report: unknown,
): void {
  const { state } = context;
  peer.roomByService = null;
  if (report === undefined || !state.hasZoneCells) return;
  const zone = peer.info.availabilityZone;
  const zoneServices = new Set<string>();
  for (const { availabilityZone, service } of state.workers.values()) {
    if (availabilityZone === zone) zoneServices.add(service);
  }
  const { waitMsByService } = peer;
  const { room, fault } = readReport(report, { zoneServices, waitMsByService });
  peer.roomByService = room;
  updateUsualUse(peer, room ?? {}, state.nowMs);
  if (
    fault === null ||
    state.nowMs < peer.reportFaultLoggedAtMs + REPORT_LOG_INTERVAL_MS
  ) {
    return;
  }
  peer.reportFaultLoggedAtMs = state.nowMs;
  logDecision(context, {
    level: "warn",
    part: "zones",
    text: "report of free capacity ignored",
  }, { peerId: peer.info.instanceId, availabilityZone: zone, fault });
}

function updateUsualUse(
  { usualUsed }: Peer,
  room: RoomByService,
  nowMs: number,
): void {
  for (const [service, { idleMilli, capacityMilli }] of Object.entries(room)) {
    const usedMilli = Math.max(0, capacityMilli - idleMilli);
    const known = usualUsed.get(service);
    if (known !== undefined) addValue(known, usedMilli, nowMs);
    else usualUsed.set(service, createUsualRate(usedMilli, nowMs));
  }
}
