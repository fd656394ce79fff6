/** Faults of runs in which operators evacuate zones. */

import type { World } from "./engine_world.ts";
import { during, type FaultHandler, pick, shuffle } from "./fault_tools.ts";

/** The name of a fault; see {@linkcode evacuationFaultHandlers}. */
export type EvacuationFaultName =
  | "evacuate"
  | "evacuateLeader"
  | "evacuateAll"
  | "evacuateUnknown"
  | "evacuationFlaps"
  | "evacuationReadsFail"
  | "slowEvents";

/** Time for which each row of a zone that flaps is there, or is not. */
const FLAP_MS = 700;
/** Share of the reads that fail while the store is unstable. */
const FAILED_READS_SHARE = 0.5;
/** Time that each event takes at slow instances. */
const SLOW_EVENT_MS = 12;

function zonesOf({ instances }: World): string[] {
  return [
    ...new Set(instances.map(({ availabilityZone }) => availabilityZone)),
  ];
}

function evacuateFor(world: World, zones: readonly string[], forMs: number) {
  during(world, forMs, {
    begin: () => zones.forEach((zone) => world.setEvacuated(zone, true)),
    end: () => zones.forEach((zone) => world.setEvacuated(zone, false)),
  });
}

/** Injects each fault. */
export const evacuationFaultHandlers: Record<
  EvacuationFaultName,
  FaultHandler
> = {
  evacuate: (world, forMs) =>
    evacuateFor(world, [pick(world, zonesOf(world))], forMs),
  evacuateLeader: (world, forMs) => {
    const [leaderId] = shuffle(world, world.leaders());
    const leader = world.instances.find((instance) =>
      instance.instanceId === leaderId
    );
    const zone = leader?.availabilityZone ?? pick(world, zonesOf(world));
    evacuateFor(world, [zone], forMs);
  },
  evacuateAll: (world, forMs) => evacuateFor(world, zonesOf(world), forMs),
  evacuateUnknown: (world, forMs) => evacuateFor(world, ["nowhere"], forMs),
  evacuationFlaps: (world, forMs) => {
    const zone = pick(world, zonesOf(world));
    for (let atMs = 0; atMs < forMs; atMs += 2 * FLAP_MS) {
      world.queue.at(
        world.queue.nowMs() + atMs,
        () => evacuateFor(world, [zone], FLAP_MS),
      );
    }
  },
  evacuationReadsFail: (world, forMs) =>
    during(world, forMs, {
      begin: () => world.setFailedEvacuationReads(FAILED_READS_SHARE),
      end: () => world.setFailedEvacuationReads(0),
    }),
  slowEvents: (world, forMs) => {
    for (const { instanceId } of world.instances) {
      during(world, forMs, {
        begin: () => world.setEventMs(instanceId, SLOW_EVENT_MS),
        end: () => world.setEventMs(instanceId, 0),
      });
    }
  },
};

/** A fault of a row, with its time after the first one. */
interface RowFault<N extends string> {
  readonly name: N;
  readonly afterMs: number;
  readonly forMs: number;
}

/** The faults of which each run has one row. */
export const evacuationRows = [
  [
    { name: "evacuate", afterMs: 0, forMs: 11_000 },
    { name: "storeAway", afterMs: 1_200, forMs: 2_500 },
  ],
  [
    { name: "evacuateLeader", afterMs: 0, forMs: 12_000 },
    { name: "leaderKill", afterMs: 5_500, forMs: 0 },
    { name: "leaderKill", afterMs: 9_000, forMs: 0 },
  ],
  [
    { name: "evacuate", afterMs: 0, forMs: 12_000 },
    { name: "killAll", afterMs: 6_000, forMs: 0 },
    { name: "killAll", afterMs: 9_000, forMs: 0 },
  ],
  [
    { name: "evacuate", afterMs: 0, forMs: 12_000 },
    { name: "zonesApart", afterMs: 300, forMs: 3_000 },
  ],
  [
    { name: "storeTurnsAway", afterMs: 0, forMs: 4_500 },
    { name: "evacuateLeader", afterMs: 300, forMs: 12_000 },
    { name: "leaderKill", afterMs: 5_000, forMs: 0 },
  ],
  [
    { name: "evacuateAll", afterMs: 0, forMs: 9_000 },
    { name: "leaderKill", afterMs: 6_000, forMs: 0 },
  ],
  [
    { name: "evacuateUnknown", afterMs: 0, forMs: 9_000 },
    { name: "evacuationReadsFail", afterMs: 100, forMs: 4_000 },
    { name: "evacuate", afterMs: 500, forMs: 12_000 },
    { name: "freeze", afterMs: 8_000, forMs: 2_000 },
  ],
  [
    { name: "slowEvents", afterMs: 0, forMs: 9_500 },
    { name: "evacuate", afterMs: 200, forMs: 12_000 },
  ],
  [
    { name: "evacuationFlaps", afterMs: 0, forMs: 5_000 },
    { name: "leaderRefused", afterMs: 1_000, forMs: 3_000 },
    { name: "evacuate", afterMs: 5_500, forMs: 7_000 },
  ],
  [
    { name: "evacuate", afterMs: 0, forMs: 12_000 },
    { name: "zoneCut", afterMs: 400, forMs: 3_000 },
    { name: "leaderKill", afterMs: 7_000, forMs: 0 },
  ],
] as const satisfies readonly (readonly RowFault<string>[])[];
