/** Reads the platform's membership list and configuration regularly. */

import { documentOfRow } from "../admin/accept.ts";
import type { CoreEvent, CoreState } from "../core/types.ts";
import {
  type ClockHost,
  CONFIGURATION_ROW,
  type PlatformHost,
} from "../host/hosts.ts";
import { registerIncarnation } from "./incarnation.ts";
import { pollPeriodMs } from "../core/membership.ts";
import type { Settings } from "../settings/schema.ts";

/** What polling needs of the shell. */
export interface PollingHost {
  readonly settings: Settings;
  readonly clock: ClockHost;
  readonly platform: PlatformHost;
  readonly state: CoreState;
  readonly dispatch: (event: CoreEvent) => void;
  /** Whether this incarnation left its trace when it started. */
  readonly registered: boolean;
}

/** Reads the membership list and the configuration again and again. */
export function startPolling(host: PollingHost): () => void {
  const { settings, platform, state } = host;
  let timer: NodeJS.Timeout;
  let stopped = false;
  let { registered } = host;

  async function poll(): Promise<void> {
    try {
      // Too late to be taken for the first; a successor must see the trace.
      if (!registered) {
        const result = await registerIncarnation(platform, state.self);
        registered = result.registered;
      }
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
    if (!stopped) {
      const periodMs = pollPeriodMs(state, settings.platform.pollMs);
      timer = setTimeout(poll, periodMs);
    }
  }
  void poll();
  return () => {
    stopped = true;
    clearTimeout(timer);
  };
}
