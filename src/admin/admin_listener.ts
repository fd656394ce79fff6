/** The HTTP interface for operators: configuration, teams, drain and state. */

import type { Server } from "node:http";
import type { EngineState } from "../engine/types.ts";
import type { AccessTable, Identity } from "../entry/access.ts";
import { documentOf } from "../entry/configuration.ts";
import { dumpState } from "../entry/dump.ts";
import {
  createListener,
  parseBody,
  readBody,
  RequestError,
  type RouteContext,
  sendJson,
} from "../entry/http.ts";
import type {
  ConfigurationDocument,
  JsonObject,
  SiteConfiguration,
} from "../entry/schemas.ts";
import { StoreClientError } from "../host/store_client.ts";
import type { StoreHost } from "../instance/hosts.ts";
import type { JsonLog } from "../instance/json_log.ts";
import type { Settings } from "../settings/schema.ts";
import {
  acceptProposal,
  checkProposal,
  InvalidConfigurationError,
  proposalSchema,
  readHistory,
} from "./configuration_changes.ts";

/** Dependencies of the administration listener. */
export interface AdminHost {
  readonly access: AccessTable;
  readonly store: StoreHost;
  readonly state: EngineState;
  /**
   * Returns the configuration in force at this availability zone, or null if
   * none is known yet.
   */
  readonly effectiveConfiguration: () => SiteConfiguration | null;
  /** Names of the availability zones for which an overlay is valid. */
  readonly zones: readonly string[];
  /** Called with each configuration that was accepted and stored. */
  readonly onConfigurationAccepted: (document: ConfigurationDocument) => void;
  /** Called when an operator requests that this instance drains. */
  readonly onDrainRequested: () => void;
  /** Returns the process measurements that the state dump includes. */
  readonly collectMeasures: () => object;
  readonly log: JsonLog;
}

/** Maximum number of versions in a configuration history response. */
const HISTORY_LENGTH = 20;

/** Whether the identity is an operator of the platform or belongs to the team. */
function mayReadTeam(identity: Identity, team: string): boolean {
  return identity.team === null || identity.team === team;
}

/** Creates the administration listener. */
export function createAdminListener(
  host: AdminHost,
  limits: Settings["entry"],
): Server {
  const { state, store } = host;

  function warn(text: string): void {
    host.log.write("warn", { part: "admin", text });
  }

  function identify(context: RouteContext): Identity {
    try {
      return host.access.identify(context.request);
    } catch (error) {
      warn(`rejected request to ${context.url.pathname}: no valid bearer key`);
      throw error;
    }
  }

  function requireOperator(context: RouteContext): void {
    const { team, role } = identify(context);
    if (team === null && role === "operator") return;
    warn(
      `rejected request to ${context.url.pathname} from team ${team}: operator only`,
    );
    throw new RequestError("forbidden");
  }

  function getState(context: RouteContext): void {
    requireOperator(context);
    const body = dumpState(state, { measures: host.collectMeasures() });
    sendJson(context.response, 200, { body });
  }

  function getConfiguration(context: RouteContext): void {
    requireOperator(context);
    const document = documentOf(state.configuration);
    if (document === null) throw new RequestError("notReady");
    sendJson(context.response, 200, { body: document });
  }

  async function putConfiguration(context: RouteContext): Promise<void> {
    requireOperator(context);
    const text = await readBody(context.request, limits.maxBodyBytes);
    const proposal = parseBody(proposalSchema, text);
    try {
      checkProposal(proposal, host.zones);
      const acceptance = await acceptProposal(store, proposal);
      if (acceptance.kind === "conflict") {
        const version = String(acceptance.version);
        throw new RequestError("versionConflict", version);
      }
      const { document } = acceptance;
      host.onConfigurationAccepted(document);
      const body = { version: document.version };
      sendJson(context.response, 200, { body });
    } catch (error) {
      throw toRequestError(error);
    }
  }

  async function getHistory(context: RouteContext): Promise<void> {
    requireOperator(context);
    let documents: ConfigurationDocument[];
    try {
      documents = await readHistory(store);
    } catch (error) {
      throw toRequestError(error);
    }
    const versions = documents.slice(0, HISTORY_LENGTH)
      .map(({ version, changeId }) => ({ version, changeId }));
    sendJson(context.response, 200, { body: { versions } });
  }

  function getServices(context: RouteContext): void {
    identify(context);
    const services: JsonObject = {};
    for (
      const [name, service] of Object.entries(
        host.effectiveConfiguration()?.services ?? {},
      )
    ) {
      services[name] = { kinds: Object.keys(service.kinds) };
    }
    sendJson(context.response, 200, { body: { services } });
  }

  function getTeams(context: RouteContext): void {
    const identity = identify(context);
    const teams = Object.entries(host.effectiveConfiguration()?.teams ?? {})
      .filter(([team]) => mayReadTeam(identity, team))
      .map(([team, { shareWeight }]) => ({ team, shareWeight }));
    sendJson(context.response, 200, { body: { teams } });
  }

  function getTeam(context: RouteContext): void {
    const identity = identify(context);
    const team = context.captured[0] ?? "";
    if (!mayReadTeam(identity, team)) {
      warn(`rejected request for team ${team} from team ${identity.team}`);
      throw new RequestError("forbidden");
    }
    const teams = host.effectiveConfiguration()?.teams ?? {};
    const teamConfiguration = Object.hasOwn(teams, team)
      ? teams[team]
      : undefined;
    if (teamConfiguration === undefined) throw new RequestError("notFound");
    const demands = state.scheduler?.queueDemands ?? new Map();
    const queues = [...demands].filter(([name]) => name.startsWith(`${team}/`))
      .map(([queue, { openTasks, usualTasks }]) => ({
        queue,
        openTasks,
        usualTasks,
      }));
    const { shareWeight } = teamConfiguration;
    sendJson(context.response, 200, { body: { team, shareWeight, queues } });
  }

  function postDrain(context: RouteContext): void {
    requireOperator(context);
    host.onDrainRequested();
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
    onError: (error) =>
      host.log.write("error", {
        part: "admin",
        text: "request failed with an unexpected error",
        fields: { detail: String(error) },
      }),
  });
}

/** Maps known errors to those sent to the operator; returns others unchanged. */
function toRequestError(error: unknown): unknown {
  if (error instanceof InvalidConfigurationError) {
    return new RequestError("invalidConfiguration", error.message);
  }
  if (error instanceof StoreClientError) {
    return new RequestError("platformUnavailable");
  }
  return error;
}
