/** Faults of processes that are back before their leases have expired. */

import type { FaultHandler } from "./fault_tools.ts";

/** The name of a fault; see {@linkcode restartFaultHandlers}. */
export type RestartFaultName = "leaderRestarts";

/** Bounds of the time after which a killed leader is back. */
const MIN_DOWN_MS = 150;
const MAX_DOWN_MS = 550;

/** Injects each fault. */
export const restartFaultHandlers: Record<RestartFaultName, FaultHandler> = {
  leaderRestarts: (world) => {
    for (const instanceId of world.leaders()) {
      const drawnMs = (MAX_DOWN_MS - MIN_DOWN_MS) * world.random();
      world.kill(instanceId, MIN_DOWN_MS + drawnMs);
    }
  },
};
