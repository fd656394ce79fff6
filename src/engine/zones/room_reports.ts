/**
 * Reports of free capacity that leaders of zones send with their heartbeats:
 * what they contain, and which of them are used.
 */

import { z } from "zod";
import type { RoomByService, ServiceRoom } from "./zone_types.ts";

/** A usable worker, as far as its room matters. */
export interface RoomOfWorker {
  readonly cpuMilli: number;
  readonly usedCpuMilli: number;
  readonly runCount: number;
  /** Whether it accepts tasks now. */
  readonly isReady: boolean;
}

/**
 * Returns the mean CPU of the running tasks; 1 if none runs.
 *
 * @example
 * ```ts
 * meanTaskMilli([{ cpuMilli: 8, usedCpuMilli: 4, runCount: 2, isReady: true }]); // 2
 * ```
 */
export function meanTaskMilli(workers: readonly RoomOfWorker[]): number {
  let usedMilli = 0;
  let runCount = 0;
  for (const worker of workers) {
    usedMilli += worker.usedCpuMilli;
    runCount += worker.runCount;
  }
  return runCount === 0 ? 1 : Math.max(1, usedMilli / runCount);
}

/**
 * Returns the room of a service's workers beside its queued tasks. CPU that is
 * left over beside whole tasks is not reported: no task would fit there.
 */
export function measureRoom(
  workers: readonly RoomOfWorker[],
  queuedMilli: number,
): ServiceRoom {
  const taskMilli = meanTaskMilli(workers);
  let idleMilli = 0;
  let capacityMilli = 0;
  for (const { cpuMilli, usedCpuMilli, isReady } of workers) {
    capacityMilli += usedCpuMilli;
    const places = Math.floor((cpuMilli - usedCpuMilli) / taskMilli);
    const freeMilli = Math.max(0, places) * taskMilli;
    capacityMilli += freeMilli;
    if (isReady) idleMilli += freeMilli;
  }
  return {
    idleMilli: Math.round(Math.max(0, idleMilli - queuedMilli)),
    capacityMilli: Math.round(capacityMilli),
  };
}

const amountSchema = z.number().nonnegative();
const roomSchema = z.record(
  z.string(),
  z.object({ idleMilli: amountSchema, capacityMilli: amountSchema }),
);

/** What a report is checked against. */
export interface ReportContext {
  /** Services of the listed workers of the reporting zone. */
  readonly zoneServices: ReadonlySet<string>;
  readonly waitMsByService: Readonly<Record<string, number>>;
}

/** A report that is used, or why it is ignored. */
export type ReadReport =
  | { readonly room: RoomByService; readonly fault: null }
  | { readonly room: null; readonly fault: string };

/**
 * Checks a report. One with an amount or a wait that is negative or not finite,
 * for a service without listed workers in the zone, is ignored as a whole.
 */
export function readReport(
  report: unknown,
  { zoneServices, waitMsByService }: ReportContext,
): ReadReport {
  if (zoneServices.size === 0) {
    return { room: null, fault: "the zone has no listed workers" };
  }
  const parsed = roomSchema.safeParse(report);
  if (!parsed.success) {
    return { room: null, fault: "an amount is negative or not a number" };
  }
  for (const service of Object.keys(parsed.data)) {
    if (!zoneServices.has(service)) {
      return { room: null, fault: `service ${service} has no listed workers` };
    }
    const waitMs = waitMsByService[service];
    if (waitMs === undefined || !(waitMs >= 0 && waitMs < Infinity)) {
      return { room: null, fault: `no valid wait for service ${service}` };
    }
  }
  return { room: parsed.data, fault: null };
}
