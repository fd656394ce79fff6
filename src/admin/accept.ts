/** Accepts configuration changes by compare-and-swap on their version. */

import { setTimeout as sleep } from "node:timers/promises";
import VError from "verror";
import { z } from "zod";
import { effectiveConfiguration } from "../entry/configuration.ts";
import {
  type ConfigurationDocument,
  configurationDocumentSchema,
} from "../entry/schemas.ts";
import { CONFIGURATION_PLACE } from "../host/store_client.ts";
import type { StoreHost, StoreRow } from "../instance/hosts.ts";

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

/** How often the row is read again after a write whose answer was lost. */
const RESOLVE_READS = 5;
/** The pause between those reads. */
const RESOLVE_PAUSE_MS = 200;
/** Accepted versions are kept beside the current one, under their number. */
const { table: TABLE, part: PART, key: CURRENT_KEY } = CONFIGURATION_PLACE;

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

interface StoredDocument {
  readonly document: ConfigurationDocument;
  readonly rowVersion: number;
}

function decode(row: StoreRow): StoredDocument {
  const parsed = configurationDocumentSchema.safeParse(row.value);
  if (parsed.success) {
    return { document: parsed.data, rowVersion: row.version };
  }
  throw new VError(parsed.error, "a configuration row is malformed");
}

async function readDocuments(
  store: StoreHost,
): Promise<Map<string, StoredDocument>> {
  const rows = await store.readRows({ table: TABLE, part: PART });
  return new Map(rows.map((row) => [row.key, decode(row)]));
}

/** The accepted versions that are kept, the newest first. */
export async function readHistory(
  store: StoreHost,
): Promise<ConfigurationDocument[]> {
  const stored = await readDocuments(store);
  stored.delete(CURRENT_KEY);
  return [...stored.values()].map(({ document }) => document)
    .sort((a, b) => b.version - a.version);
}

/**
 * Writes a checked proposal. A lost answer is resolved by reading, looking for
 * the change's id, never by writing again.
 *
 * @throws {import("../host/store_client.ts").StoreClientError} when the store
 * does not say what became of it.
 */
export async function acceptProposal(
  store: StoreHost,
  proposal: Proposal,
): Promise<Acceptance> {
  const { expectedVersion, changeId, base, overlays } = proposal;
  const document = { version: expectedVersion + 1, changeId, base, overlays };
  const known = await acceptanceIn(store, document);
  if (known !== null) return known;
  const stored = (await readDocuments(store)).get(CURRENT_KEY);
  try {
    const result = await store.transact({
      part: PART,
      expected: [{
        table: TABLE,
        key: CURRENT_KEY,
        version: stored?.rowVersion ?? 0,
      }],
      writes: [CURRENT_KEY, String(document.version)].map((key) => ({
        table: TABLE,
        key,
        value: document,
      })),
      removes: [],
    });
    if (result.kind === "done") return { kind: "accepted", document };
    return await resolve(store, document, new Error("a row changed"));
  } catch (error) {
    return await resolve(store, document, error);
  }
}

/** What the store tells of a change; null where it may still be made. */
async function acceptanceIn(
  store: StoreHost,
  document: ConfigurationDocument,
): Promise<Acceptance | null> {
  const stored = await readDocuments(store);
  const same = stored.get(String(document.version))?.document;
  if (same?.changeId === document.changeId) {
    return { kind: "accepted", document: same };
  }
  const version = stored.get(CURRENT_KEY)?.document.version ?? 0;
  if (version === document.version - 1) return null;
  return { kind: "conflict", version };
}

async function resolve(
  store: StoreHost,
  document: ConfigurationDocument,
  cause: unknown,
): Promise<Acceptance> {
  for (let read = 0; read < RESOLVE_READS; read += 1) {
    await sleep(RESOLVE_PAUSE_MS);
    const known = await acceptanceIn(store, document).catch(() => null);
    if (known !== null) return known;
  }
  throw cause;
}
