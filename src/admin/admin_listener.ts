/** The administration interface: configuration, teams, drain, state. */

import type { Server } from "node:http";
import type { CoreEvent, CoreState } from "../core/types.ts";
import type { JsonObject } from "../core/schemas.ts";
import { zonesOf } from "../core/chain.ts";
import type { AccessTable, Identity } from "../entry/access.ts";
import { dumpState } from "../entry/dump.ts";
import {
  createListener,
  parseBody,
  readBody,
  RequestError,
  type RouteContext,
  sendJson,
} from "../entry/http.ts";
import type { Logger } from "../entry/log.ts";
import {
  type ClockHost,
  historyRow,
  type PlatformHost,
} from "../host/hosts.ts";
import { PlatformError } from "../host/platform_client.ts";
import type { Settings } from "../settings/schema.ts";
import {
  acceptProposal,
  checkProposal,
  documentOfRow,
  InvalidConfigurationError,
  proposalSchema,
} from "./accept.ts";

/** What the administration listener needs of the shell. */
export interface AdminHost {
  readonly clock: ClockHost;
  readonly access: AccessTable;
  readonly platform: PlatformHost;
  readonly state: CoreState;
  readonly dispatch: (event: CoreEvent) => void;
  readonly measures: () => object;
  readonly log: Logger;
}

/** How many versions a history lists. */
const HISTORY_LENGTH = 20;

function own(identity: Identity, team: string): boolean {
  return identity.team === null || identity.team === team;
}

/** Creates the administration listener. */
export function createAdminListener(
  host: AdminHost,
  limits: Settings["entry"],
): Server {
  const { state, platform } = host;

  function identify(context: RouteContext): Identity {
    try {
      return host.access.identify(context.request);
    } catch (error) {
      host.log.warn("admin", `refused ${context.url.pathname}`);
      throw error;
    }
  }

  function requireOperator(context: RouteContext): void {
    const { team, role } = identify(context);
    if (team === null && role === "operator") return;
    host.log.warn("admin", `refused ${context.url.pathname} to team ${team}`);
    throw new RequestError("forbidden");
  }

  function getState(context: RouteContext): void {
    requireOperator(context);
    const body = dumpState(state, { measures: host.measures() });
    sendJson(context.response, 200, { body });
  }

  function getConfiguration(context: RouteContext): void {
    requireOperator(context);
    if (state.document === null) throw new RequestError("notReady");
    sendJson(context.response, 200, { body: state.document });
  }

  async function putConfiguration(context: RouteContext): Promise<void> {
    requireOperator(context);
    const text = await readBody(context.request, limits.maxBodyBytes);
    const proposal = parseBody(proposalSchema, text);
    try {
      checkProposal(proposal, zonesOf(state.slots));
      const acceptance = await acceptProposal(platform, proposal);
      if (acceptance.kind === "conflict") {
        const version = String(acceptance.version);
        throw new RequestError("versionConflict", version);
      }
      const { document } = acceptance;
      const nowMs = host.clock.nowMs();
      host.dispatch({ type: "configurationRead", nowMs, document });
      const body = { version: document.version };
      sendJson(context.response, 200, { body });
    } catch (error) {
      throw toRequestError(error);
    }
  }

  async function getHistory(context: RouteContext): Promise<void> {
    requireOperator(context);
    const newest = state.document?.version ?? 0;
    const oldest = Math.max(1, newest - HISTORY_LENGTH + 1);
    const versions: { version: number; changeId: string }[] = [];
    try {
      for (let version = newest; version >= oldest; version -= 1) {
        const row = await platform.readRow(historyRow(version));
        const document = documentOfRow(row);
        if (document === null) continue;
        versions.push({ version, changeId: document.changeId });
      }
    } catch (error) {
      throw toRequestError(error);
    }
    sendJson(context.response, 200, { body: { versions } });
  }

  function getServices(context: RouteContext): void {
    identify(context);
    const services: JsonObject = {};
    for (
      const [name, service] of Object.entries(
        state.configuration?.services ?? {},
      )
    ) {
      services[name] = { kinds: Object.keys(service.kinds) };
    }
    sendJson(context.response, 200, { body: { services } });
  }

  function getTeams(context: RouteContext): void {
    const identity = identify(context);
    const teams = Object.entries(state.configuration?.teams ?? {})
      .filter(([team]) => own(identity, team))
      .map(([team, { shareWeight }]) => ({ team, shareWeight }));
    sendJson(context.response, 200, { body: { teams } });
  }

  function getTeam(context: RouteContext): void {
    const identity = identify(context);
    const team = context.captured[0] ?? "";
    if (!own(identity, team)) {
      host.log.warn("admin", `refused team ${team} to team ${identity.team}`);
      throw new RequestError("forbidden");
    }
    const found = state.configuration?.teams[team];
    if (found === undefined) throw new RequestError("notFound");
    const flows = [...state.flows.values()]
      .filter((flow) => flow.flow.startsWith(`${team}/`))
      .map(({ flow, queuedTasks, inFlight }) => ({
        flow,
        queuedTasks,
        inFlight,
      }));
    const { shareWeight } = found;
    sendJson(context.response, 200, { body: { team, shareWeight, flows } });
  }

  function postDrain(context: RouteContext): void {
    requireOperator(context);
    host.dispatch({ type: "drainRequested", nowMs: host.clock.nowMs() });
    sendJson(context.response, 202, { body: { draining: true } });
  }

  return createListener([
    { method: "GET", pattern: /^\/v1\/state$/, handle: getState },
    {
      method: "GET",
      pattern: /^\/v1\/configuration$/,
      handle: getConfiguration,
    },
    {
      method: "PUT",
      pattern: /^\/v1\/configuration$/,
      handle: putConfiguration,
    },
    {
      method: "GET",
      pattern: /^\/v1\/configuration\/history$/,
      handle: getHistory,
    },
    { method: "GET", pattern: /^\/v1\/services$/, handle: getServices },
    { method: "GET", pattern: /^\/v1\/teams$/, handle: getTeams },
    { method: "GET", pattern: /^\/v1\/teams\/([^/]+)$/, handle: getTeam },
    { method: "POST", pattern: /^\/v1\/drain$/, handle: postDrain },
  ], {
    maxHeaderBytes: limits.maxHeaderBytes,
    maxConnections: limits.maxConnections,
    onError: (error) => host.log.error("admin", String(error)),
  });
}

function toRequestError(error: unknown): unknown {
  if (error instanceof InvalidConfigurationError) {
    return new RequestError("invalidConfiguration", error.message);
  }
  if (error instanceof PlatformError) {
    return new RequestError("platformUnavailable");
  }
  return error;
}
