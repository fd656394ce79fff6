/** Who a bearer key belongs to, and what it allows. */

import type { IncomingMessage } from "node:http";
import type { Role, SiteConfiguration } from "./schemas.ts";
import { bearerHash, RequestError } from "./http.ts";

/** The owner of a key. */
export interface Identity {
  /** The team, or null for an operator of the whole platform. */
  readonly team: string | null;
  readonly role: Role;
}

/** Finds keys by their hash. */
export interface AccessTable {
  readonly identify: (request: IncomingMessage) => Identity;
}

/** Looks keys up in the settings and in the configuration in force. */
export function createAccessTable(
  operatorKeys: readonly string[],
  configuration: () => SiteConfiguration | null,
): AccessTable {
  let indexed: SiteConfiguration | null = null;
  let byHash = new Map<string, Identity>();

  function index(current: SiteConfiguration | null): void {
    indexed = current;
    byHash = new Map();
    for (const [team, { keys }] of Object.entries(current?.teams ?? {})) {
      for (const key of keys) {
        byHash.set(key.sha256Hex, { team, role: key.role });
      }
    }
    for (const hash of operatorKeys) {
      byHash.set(hash, { team: null, role: "operator" });
    }
  }
  index(null);

  return {
    identify(request) {
      const current = configuration();
      if (current !== indexed) index(current);
      const hash = bearerHash(request);
      if (hash === null) throw new RequestError("unauthenticated");
      const identity = byHash.get(hash);
      if (identity === undefined) throw new RequestError("forbidden");
      return identity;
    },
  };
}
