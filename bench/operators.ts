/** Configuration changes by operators, including concurrent ones. */

import type { ConfigurationDocument } from "../src/entry/schemas.ts";
import { callControl } from "./control.ts";
import { type Fleet, type FleetEntry, OPERATOR_KEY } from "./fleet.ts";

interface ProposalReply {
  readonly version?: number;
  readonly error?: string;
}

/**
 * Proposes a configuration change to one instance. Returns the new version, or
 * null if the change was refused or the call failed.
 */
export async function proposeChange(
  port: number,
  document: ConfigurationDocument,
  changeId: string,
): Promise<number | null> {
  try {
    const reply = await callControl<ProposalReply>(port, "/v1/configuration", {
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

/** Returns the configuration that is in force at an instance. */
export async function fetchConfiguration(
  { adminPort }: FleetEntry,
): Promise<ConfigurationDocument> {
  const options = { method: "GET", key: OPERATOR_KEY };
  return await callControl(adminPort, "/v1/configuration", options);
}

let raceCount = 0;

/**
 * Proposes two concurrent changes of the same version at two instances that are
 * not excluded. Returns the accepted version, or null if none was accepted or
 * no attempt could be made.
 *
 * @throws {Error} if both changes were accepted.
 */
export async function raceOperators(
  fleet: Fleet,
  excluded: ReadonlySet<FleetEntry>,
): Promise<number | null> {
  const [first, second] = fleet.entries.filter((entry) => !excluded.has(entry));
  if (first === undefined || second === undefined) return null;
  try {
    const document = await fetchConfiguration(first);
    raceCount += 1;
    const versions = await Promise.all([
      proposeChange(first.adminPort, document, `race-${raceCount}-a`),
      proposeChange(second.adminPort, document, `race-${raceCount}-b`),
    ]);
    const accepted = versions.filter((version) => version !== null);
    if (accepted.length > 1) throw new Error("two changes accepted, not one");
    return accepted[0] ?? null;
  } catch (error) {
    if ((error as Error).message.startsWith("two changes")) throw error;
    return null;
  }
}
