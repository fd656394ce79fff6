/** Leaves a trace of each incarnation in the platform's table. */

import type { InstanceRef } from "../core/schemas.ts";
import { incarnationRow, type PlatformHost } from "../host/hosts.ts";

/** How an attempt to register ended. */
export interface Registration {
  /** Whether the table says for certain that this incarnation ran. */
  readonly registered: boolean;
  /** Whether the table says that no incarnation of the slot ran before. */
  readonly virgin: boolean;
}

const UNCERTAIN: Registration = { registered: false, virgin: false };

/**
 * Writes that this incarnation runs. Only an incarnation that found no trace of
 * another, and left its own, may take it that no claim of the slot was lost.
 */
export async function registerIncarnation(
  platform: PlatformHost,
  { slot, incarnation }: InstanceRef,
): Promise<Registration> {
  const key = incarnationRow(slot);
  try {
    const { value, version } = await platform.readRow(key);
    if (isOwn(value, incarnation)) return { registered: true, virgin: false };
    const result = await platform.writeRow(key, {
      value: { incarnation },
      expectedVersion: version,
    });
    if (result.kind !== "written") return UNCERTAIN;
    return { registered: true, virgin: version === 0 };
  } catch {
    return UNCERTAIN;
  }
}

function isOwn(value: unknown, incarnation: number): boolean {
  const row = value as { incarnation?: unknown } | null;
  return row?.incarnation === incarnation;
}
