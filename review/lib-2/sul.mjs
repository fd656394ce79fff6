/** A small deployment as SYSTEM.md describes it for Varetas Sul. */

import { startFleet } from "./fleet.mjs";

export const HOST = "nony24.example";
export const SERVICE = "oficina";

/** Two kinds of request of the sheet, with `attempts` of the site file. */
export const routes = [
  {
    name: "cotacao",
    host: HOST,
    prefix: "/cotacao/",
    service: SERVICE,
    timeout_ms: 5_000,
    slo_ms: 60,
    priority: 0,
    attempts: 4,
    stretch: 1.6,
  },
  {
    name: "frete-ponteira",
    host: HOST,
    prefix: "/frete/",
    service: SERVICE,
    timeout_ms: 5_000,
    slo_ms: 60,
    priority: 1,
    attempts: 2,
    stretch: 1.6,
  },
];

/** Starts 7 instances in 3 zones, and executors in each zone. */
export async function startSul(
  { record, onEnd },
  { workersPerZone = 3, behave, fleetRoutes = routes, worker = {} },
) {
  const fleet = await startFleet({
    zones: { poa: 3, caxias: 2, pelotas: 2 },
    routes: fleetRoutes,
    services: [SERVICE],
    record,
  });
  onEnd(fleet.stop);
  for (const zone of ["poa", "caxias", "pelotas"]) {
    for (let index = 0; index < workersPerZone; index += 1) {
      await fleet.addWorker({
        id: `x-${zone}-${index}`,
        zone,
        service: SERVICE,
        behave,
        labels: [index % 3 === 2 ? "b" : "a", `r-${zone}-1`],
        ...worker,
      });
    }
  }
  if (!await fleet.begin()) throw new Error("the fleet isn't ready");
  return fleet;
}

let jobCount = 0;

/** A new job ID of 16 hexadecimal digits. */
export function newJobId() {
  jobCount += 1;
  return `${Date.now().toString(16)}${jobCount.toString(16)}`
    .padStart(16, "0").slice(-16);
}
