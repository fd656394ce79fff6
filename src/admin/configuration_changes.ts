/** Validates and stores configuration changes with optimistic locking. */

import { setTimeout as sleep } from "node:timers/promises";
import VError from "verror";
import { z } from "zod";
import { effectiveConfiguration } from "../entry/configuration.ts";
import {
  type ConfigurationDocument,
  configurationDocumentSchema,
} from "../entry/schemas.ts";
import { CONFIGURATION_ROW } from "../host/store_client.ts";
import { readRows, type StoreHost, type StoreRow } from "../instance/hosts.ts";

/** The schema of a configuration change proposed by an operator. */
export const proposalSchema = configurationDocumentSchema.omit({
  version: true,
}).extend({ expectedVersion: z.int().nonnegative() });
/** A proposed change: the complete new content and the version it replaces. */
export type Proposal = z.infer<typeof proposalSchema>;

/** Thrown for a proposal that fails validation; the message names the field. */
export class InvalidConfigurationError extends VError {}

/**
 * The result of a proposal. A conflict carries the version that is current
 * instead of the expected one.
 */
export type ProposalResult =
  | { readonly kind: "accepted"; readonly document: ConfigurationDocument }
  | { readonly kind: "conflict"; readonly version: number };

/** Number of reads that look for the result of an unconfirmed write. */
const RESULT_READ_ATTEMPTS = 5;
/** Delay before each read that looks for the result of an unconfirmed write. */
const RESULT_READ_INTERVAL_MS = 200;
/**
 * Location of the current configuration. Every accepted version is also stored
 * in the same table and part, with its version number as the key.
 */
const { table: TABLE, part: PART, key: CURRENT_KEY } = CONFIGURATION_ROW;

/**
 * Validates the base configuration alone and merged with the overlay of each
 * availability zone.
 *
 * @throws {InvalidConfigurationError} naming the first invalid field.
 */
export function checkProposal(
  proposal: Proposal,
  zones: readonly string[],
): void {
  const document = { ...proposal, version: proposal.expectedVersion + 1 };
  const unknownZones = Object.keys(proposal.overlays)
    .filter((zone) => !zones.includes(zone));
  if (unknownZones.length > 0) {
    throw new InvalidConfigurationError(
      `overlays.${unknownZones[0]}: no such availability zone`,
    );
  }
  for (const zone of ["", ...zones]) checkZone(document, zone);
}

/**
 * Validates the configuration in force at a zone; an empty name stands for the
 * base alone.
 */
function checkZone(document: ConfigurationDocument, zone: string): void {
  try {
    effectiveConfiguration(document, zone);
  } catch (error) {
    if (!(error instanceof z.ZodError)) throw error;
    const [issue] = error.issues;
    const section = zone === "" ? "base" : `overlays.${zone}`;
    const field = [section, ...(issue?.path ?? [])].map(String).join(".");
    throw new InvalidConfigurationError(`${field}: ${issue?.message}`);
  }
}

interface StoredDocument {
  readonly document: ConfigurationDocument;
  readonly rowVersion: number;
}

function decodeRow(row: StoreRow): StoredDocument {
  const parsed = configurationDocumentSchema.safeParse(row.value);
  if (parsed.success) {
    return { document: parsed.data, rowVersion: row.version };
  }
  throw new VError(parsed.error, "malformed row in the configuration table");
}

async function readDocuments(
  store: StoreHost,
): Promise<Map<string, StoredDocument>> {
  const rows = await readRows(store, { table: TABLE, part: PART });
  return new Map(rows.map((row) => [row.key, decodeRow(row)]));
}

/** Returns all accepted versions in the store, newest first. */
export async function readHistory(
  store: StoreHost,
): Promise<ConfigurationDocument[]> {
  const stored = await readDocuments(store);
  stored.delete(CURRENT_KEY);
  return [...stored.values()].map(({ document }) => document)
    .sort((a, b) => b.version - a.version);
}

/**
 * Writes a validated proposal by compare-and-swap on the current row. When the
 * response is lost, the result is determined by reading the store and looking
 * for the change's ID; the write is never repeated.
 *
 * @throws {import("../host/store_client.ts").StoreClientError} when the store
 * is unavailable; the write may have taken effect.
 */
export async function acceptProposal(
  store: StoreHost,
  proposal: Proposal,
): Promise<ProposalResult> {
  const { expectedVersion, changeId, base, overlays } = proposal;
  const document = { version: expectedVersion + 1, changeId, base, overlays };
  // The row that is expected must be the one that was found to have the expected
  // version: a change that is accepted after the read must not be overwritten.
  const documents = await readDocuments(store);
  const existingResult = findResult(documents, document);
  if (existingResult !== null) return existingResult;
  const stored = documents.get(CURRENT_KEY);
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
    return await resolveResult(
      store,
      document,
      new Error("configuration row changed during the write"),
    );
  } catch (error) {
    return await resolveResult(store, document, error);
  }
}

/**
 * Looks up the result of a change in the stored documents. Returns null when the
 * change was not written and its expected version is still current.
 */
function findResult(
  stored: ReadonlyMap<string, StoredDocument>,
  document: ConfigurationDocument,
): ProposalResult | null {
  const accepted = stored.get(String(document.version))?.document;
  if (accepted?.changeId === document.changeId) {
    return { kind: "accepted", document: accepted };
  }
  const currentVersion = stored.get(CURRENT_KEY)?.document.version ?? 0;
  if (currentVersion === document.version - 1) return null;
  return { kind: "conflict", version: currentVersion };
}

/**
 * Determines the result of an unconfirmed write by repeated reads. Throws
 * `cause` when no read finds a result; a failed read counts as finding none.
 */
async function resolveResult(
  store: StoreHost,
  document: ConfigurationDocument,
  cause: unknown,
): Promise<ProposalResult> {
  for (let attempt = 0; attempt < RESULT_READ_ATTEMPTS; attempt += 1) {
    await sleep(RESULT_READ_INTERVAL_MS);
    const stored = await readDocuments(store).catch(() => null);
    const result = stored === null ? null : findResult(stored, document);
    if (result !== null) return result;
  }
  throw cause;
}
