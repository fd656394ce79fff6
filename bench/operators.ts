/** Operators who change the configuration, and race each other. */

import type { ConfigurationDocument } from "../src/entry/schemas.ts";
import { callControl } from "./control.ts";
import { type Fleet, type FleetEntry, OPERATOR_KEY } from "./fleet.ts";

interface Reply {
  readonly version?: number;
  readonly error?: string;
}

/** Proposes a change through one instance. */
export async function propose(
  port: number,
  document: ConfigurationDocument,
  changeId: string,
): Promise<number | null> {
  try {
    const reply = await callControl<Reply>(port, "/v1/configuration", {
      method: "PUT",
      key: OPERATOR_KEY,
      body: {
        expectedVersion: document.version,
        changeId,
        base: document.base,
        overlays: document.overlays,
      },
    });
    return reply.error === undefined ? reply.version ?? null : null;
  } catch {
    return null;
  }
}

/** The configuration that an instance has in force. */
export async function inForce(
  { adminPort }: FleetEntry,
): Promise<ConfigurationDocument> {
  const options = { method: "GET", key: OPERATOR_KEY };
  return await callControl(adminPort, "/v1/configuration", options);
}

let nextChange = 0;

/** Two operators propose on one version; returns the version accepted. */
export async function raceOperators(
  fleet: Fleet,
  held: ReadonlySet<FleetEntry>,
): Promise<number | null> {
  const [first, second] = fleet.entries.filter((entry) => !held.has(entry));
  if (first === undefined || second === undefined) return null;
  try {
    const document = await inForce(first);
    nextChange += 1;
    const versions = await Promise.all([
      propose(first.adminPort, document, `race-${nextChange}-a`),
      propose(second.adminPort, document, `race-${nextChange}-b`),
    ]);
    const accepted = versions.filter((version) => version !== null);
    if (accepted.length > 1) throw new Error("two changes of one version");
    return accepted[0] ?? null;
  } catch (error) {
    if ((error as Error).message.startsWith("two changes")) throw error;
    return null;
  }
}
