/** Accepts configuration changes by compare-and-swap on their version. */

import VError from "verror";
import { z } from "zod";
import {
  type ConfigurationDocument,
  configurationDocumentSchema,
} from "../core/schemas.ts";
import { effectiveConfiguration } from "../core/configuration.ts";
import {
  CONFIGURATION_ROW,
  historyRow,
  type PlatformHost,
  type TableRow,
} from "../host/hosts.ts";

/** What an operator proposes. */
export const proposalSchema = configurationDocumentSchema.omit({
  version: true,
}).extend({ expectedVersion: z.int().nonnegative() });
/** A proposed change: the whole content, and the version it builds on. */
export type Proposal = z.infer<typeof proposalSchema>;

/** A proposal that cannot be put in force. */
export class InvalidConfigurationError extends VError {}

/** How a proposal ended. */
export type Acceptance =
  | { readonly kind: "accepted"; readonly document: ConfigurationDocument }
  | { readonly kind: "conflict"; readonly version: number };

/** How often a row is read again after a write whose answer was lost. */
const RESOLVE_READS = 5;
/** The pause between those reads. */
const RESOLVE_PAUSE_MS = 200;

/** Checks a proposal whole: the base alone, and under each overlay. */
export function checkProposal(
  proposal: Proposal,
  zones: readonly string[],
): void {
  const document = { ...proposal, version: proposal.expectedVersion + 1 };
  const unknown = Object.keys(proposal.overlays)
    .filter((zone) => !zones.includes(zone));
  if (unknown.length > 0) {
    throw new InvalidConfigurationError(
      `overlays.${unknown[0]}: no such availability zone`,
    );
  }
  for (const zone of ["", ...zones]) checkZone(document, zone);
}

function checkZone(document: ConfigurationDocument, zone: string): void {
  try {
    effectiveConfiguration(document, zone);
  } catch (error) {
    if (!(error instanceof z.ZodError)) throw error;
    const [issue] = error.issues;
    const place = zone === "" ? "base" : `overlays.${zone}`;
    const field = [place, ...(issue?.path ?? [])].map(String).join(".");
    throw new InvalidConfigurationError(`${field}: ${issue?.message}`);
  }
}

/** The accepted document, or null where none was accepted yet. */
export function documentOfRow(row: TableRow): ConfigurationDocument | null {
  if (row.version === 0) return null;
  const parsed = configurationDocumentSchema.safeParse(row.value);
  if (parsed.success) return parsed.data;
  throw new VError(parsed.error, "the configuration row is malformed");
}

/**
 * Writes a checked proposal. A lost answer is resolved by reading the row and
 * looking for the change's id, never by writing again.
 *
 * @throws {import("../host/platform_client.ts").PlatformError} when the
 * platform does not say what became of it.
 */
export async function acceptProposal(
  platform: PlatformHost,
  proposal: Proposal,
): Promise<Acceptance> {
  const { expectedVersion, changeId, base, overlays } = proposal;
  const version = expectedVersion + 1;
  const document = { version, changeId, base, overlays };
  try {
    const result = await platform.writeRow(CONFIGURATION_ROW, {
      value: document,
      expectedVersion,
    });
    if (result.kind === "conflict") return onConflict(result.row, document);
  } catch (error) {
    return await resolveLostAnswer(platform, document, error);
  }
  await keepHistory(platform, document);
  return { kind: "accepted", document };
}

/** A conflict with our own earlier write is that write's success. */
function onConflict(
  row: TableRow,
  document: ConfigurationDocument,
): Acceptance {
  const current = documentOfRow(row);
  if (current?.changeId === document.changeId) {
    return { kind: "accepted", document: current };
  }
  return { kind: "conflict", version: row.version };
}

async function resolveLostAnswer(
  platform: PlatformHost,
  document: ConfigurationDocument,
  cause: unknown,
): Promise<Acceptance> {
  for (let read = 0; read < RESOLVE_READS; read += 1) {
    await new Promise((resolve) => setTimeout(resolve, RESOLVE_PAUSE_MS));
    try {
      const row = await platform.readRow(CONFIGURATION_ROW);
      const mine = documentOfRow(row)?.changeId === document.changeId;
      if (mine) return { kind: "accepted", document };
      if (row.version >= document.version) {
        return await fromHistory(platform, document, row.version);
      }
    } catch {
      continue;
    }
  }
  throw cause;
}

/** A later change stands; history tells whether ours came before it. */
async function fromHistory(
  platform: PlatformHost,
  document: ConfigurationDocument,
  version: number,
): Promise<Acceptance> {
  const row = await platform.readRow(historyRow(document.version));
  const mine = documentOfRow(row)?.changeId === document.changeId;
  return mine ? { kind: "accepted", document } : { kind: "conflict", version };
}

/** History is for people: a failure to keep it does not undo the change. */
async function keepHistory(
  platform: PlatformHost,
  document: ConfigurationDocument,
): Promise<void> {
  try {
    await platform.writeRow(historyRow(document.version), {
      value: document,
      expectedVersion: 0,
    });
  } catch {
    return;
  }
}
