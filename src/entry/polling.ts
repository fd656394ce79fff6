/** Reads the platform's membership list and configuration regularly. */

import { documentOfRow } from "../admin/accept.ts";
import type { CoreEvent, CoreState } from "../core/types.ts";
import {
  type ClockHost,
  CONFIGURATION_ROW,
  type PlatformHost,
} from "../host/hosts.ts";
import type { Settings } from "../settings/schema.ts";

/** What polling needs of the shell. */
export interface PollingHost {
  readonly settings: Settings;
  readonly clock: ClockHost;
  readonly platform: PlatformHost;
  readonly state: CoreState;
  readonly dispatch: (event: CoreEvent) => void;
}

/** Reads the membership list and the configuration again and again. */
export function startPolling(host: PollingHost): () => void {
  const { settings, platform, state } = host;
  let timer: NodeJS.Timeout;
  let stopped = false;

  async function poll(): Promise<void> {
    try {
      const list = await platform.readMembership();
      host.dispatch({
        type: "membershipRead",
        nowMs: host.clock.nowMs(),
        membershipVersion: list.version,
        upstreams: list.upstreams,
      });
      const row = await platform.readRow(CONFIGURATION_ROW);
      const document = documentOfRow(row);
      if (document !== null && document.version !== state.document?.version) {
        const nowMs = host.clock.nowMs();
        host.dispatch({ type: "configurationRead", nowMs, document });
      }
    } catch {
      // An outage: what is in force stays in force, peers tell the rest.
    }
    if (!stopped) timer = setTimeout(poll, settings.platform.pollMs);
  }
  void poll();
  return () => {
    stopped = true;
    clearTimeout(timer);
  };
}
