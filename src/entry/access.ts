/** Identifies the owner and the role of a bearer key. */

import type { IncomingMessage } from "node:http";
import { bearerHash, RequestError } from "./http.ts";
import type { Role, SiteConfiguration } from "./schemas.ts";

/** The owner of a key. */
export interface Identity {
  /** The team, or null for an operator of the whole platform. */
  readonly team: string | null;
  readonly role: Role;
}

/** Resolves the bearer key of a request to its owner. */
export interface AccessTable {
  /**
   * Returns the owner of the request's bearer key.
   *
   * @throws {RequestError} when the key is missing or unknown.
   */
  readonly identify: (request: IncomingMessage) => Identity;
}

/**
 * Creates a table of the operator keys of the settings and the team keys of the
 * current configuration. The table is rebuilt when the configuration changes.
 */
export function createAccessTable(
  operatorKeyHashes: readonly string[],
  configuration: () => SiteConfiguration | null,
): AccessTable {
  let indexedConfiguration: SiteConfiguration | null = null;
  let identitiesByHash = new Map<string, Identity>();

  function rebuildIndex(current: SiteConfiguration | null): void {
    indexedConfiguration = current;
    identitiesByHash = new Map();
    for (const [team, { keys }] of Object.entries(current?.teams ?? {})) {
      for (const key of keys) {
        identitiesByHash.set(key.sha256Hex, { team, role: key.role });
      }
    }
    for (const hash of operatorKeyHashes) {
      identitiesByHash.set(hash, { team: null, role: "operator" });
    }
  }
  rebuildIndex(null);

  return {
    identify(request) {
      const current = configuration();
      if (current !== indexedConfiguration) rebuildIndex(current);
      const hash = bearerHash(request);
      if (hash === null) throw new RequestError("unauthenticated");
      const identity = identitiesByHash.get(hash);
      if (identity === undefined) throw new RequestError("forbidden");
      return identity;
    },
  };
}
