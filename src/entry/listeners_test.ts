import { after, before, test } from "node:test";
import { expect } from "earl";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { createAdminListener } from "../admin/admin_listener.ts";
import type { Configuration } from "../core/schemas.ts";
import { reduce } from "../core/reduce.ts";
import { testCore } from "../core/testing.ts";
import { createFakePlatform } from "../host/fake_platform.ts";
import { settingsSchema } from "../settings/schema.ts";
import { createAccessTable } from "./access.ts";
import {
  type CallerListener,
  createCallerListener,
} from "./caller_listener.ts";
import { sha256Hex } from "./http.ts";

const clock = { nowMs: () => 1, wallMs: () => 1 };
const warnings: string[] = [];
let callers: CallerListener;
let admin: Server;

function configuration(): Configuration {
  const key = (text: string, role: "team" | "reader") => ({
    sha256Hex: sha256Hex(text),
    role,
  });
  const core = testCore("poa-1");
  return {
    ...core.configuration!,
    teams: {
      benches: { shareWeight: 1, keys: [key("benches-key", "team")] },
      couriers: {
        shareWeight: 1,
        keys: [key("couriers-key", "team"), key("watch-key", "reader")],
      },
    },
  };
}

function portOf(server: Server): number {
  return (server.address() as AddressInfo).port;
}

before(async () => {
  const core = testCore("poa-1");
  const inForce = configuration();
  const access = createAccessTable([sha256Hex("operator-key")], () => inForce);
  core.configuration = inForce;
  const limits = settingsSchema.shape.entry.parse({ maxBodyBytes: 4_096 });
  const dispatch = (event: Parameters<typeof reduce>[1]) => {
    for (const effect of reduce(core, event)) {
      if (effect.type !== "replyCaller") continue;
      callers.reply(effect.requestId, effect.reply);
    }
  };
  callers = createCallerListener({
    clock,
    access,
    dispatch,
    receivedMs: () => 1,
    isReady: () => true,
    onError: (error) => warnings.push(String(error)),
  }, limits);
  const warn = (_part: string, text: string) => warnings.push(text);
  admin = createAdminListener({
    clock,
    access,
    dispatch,
    platform: createFakePlatform(),
    state: core,
    measures: () => ({}),
    log: { info: () => {}, warn, error: warn },
  }, limits);
  for (const server of [callers.server, admin]) {
    await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  }
});

after(() => {
  for (const server of [callers.server, admin]) {
    server.closeAllConnections();
    server.close();
  }
});

interface Request {
  readonly to: "callers" | "admin";
  readonly method: string;
  readonly path: string;
  readonly key?: string;
  readonly body?: string;
  readonly headers?: Record<string, string>;
}

async function send(
  request: Request,
): Promise<{ status: number; text: string }> {
  const server = request.to === "admin" ? admin : callers.server;
  const url = `http://127.0.0.1:${portOf(server)}${request.path}`;
  const { method, key, body, headers = {} } = request;
  const bearer: Record<string, string> = key === undefined
    ? {}
    : { authorization: `Bearer ${key}` };
  const response = await fetch(url, {
    method,
    headers: { ...bearer, ...headers },
    ...(body === undefined ? {} : { body }),
  });
  return { status: response.status, text: await response.text() };
}

function job(change: object = {}): string {
  const tasks = [{ payload: 1 }];
  return JSON.stringify({
    service: "oficina",
    kind: "quote",
    tasks,
    ...change,
  });
}

const submit = { to: "callers", method: "POST", path: "/v1/jobs" } as const;
const team = { ...submit, key: "benches-key" };
const read = { to: "admin", method: "GET" } as const;

const cases: {
  name: string;
  request: Request;
  status: number;
  says: string;
}[] = [
  {
    name: "no key",
    request: { ...submit, body: job() },
    status: 401,
    says: "unauthenticated",
  },
  {
    name: "a wrong key",
    request: { ...submit, key: "other", body: job() },
    status: 403,
    says: "forbidden",
  },
  {
    name: "a reader may not submit",
    request: { ...submit, key: "watch-key", body: job() },
    status: 403,
    says: "forbidden",
  },
  {
    name: "no JSON",
    request: { ...team, body: "{" },
    status: 400,
    says: "not JSON",
  },
  {
    name: "too many tasks",
    request: { ...team, body: job({ tasks: Array(171).fill({ payload: 1 }) }) },
    status: 400,
    says: "tasks: ",
  },
  {
    name: "no tasks",
    request: { ...team, body: job({ tasks: [] }) },
    status: 400,
    says: "tasks: ",
  },
  {
    name: "an unknown field",
    request: { ...team, body: job({ urgencey: 3 }) },
    status: 400,
    says: "urgencey",
  },
  {
    name: "urgency out of range",
    request: { ...team, body: job({ urgency: 10 }) },
    status: 400,
    says: "urgency: ",
  },
  {
    name: "a body over the limit",
    request: {
      ...team,
      body: job({ tasks: [{ payload: "x".repeat(5_000) }] }),
    },
    status: 413,
    says: "bodyTooLarge",
  },
  {
    name: "an attempt that is no number",
    request: { ...team, body: job(), headers: { "bronzemill-attempt": "one" } },
    status: 400,
    says: "bronzemill-attempt",
  },
  {
    name: "a key that is too long",
    request: {
      ...team,
      body: job(),
      headers: { "idempotency-key": "k".repeat(201) },
    },
    status: 400,
    says: "idempotency-key",
  },
  {
    name: "an unknown kind",
    request: { ...team, body: job({ kind: "none" }) },
    status: 404,
    says: "oficina/none",
  },
  {
    name: "an unknown path",
    request: { ...team, path: "/v2/jobs" },
    status: 404,
    says: "notFound",
  },
  {
    name: "another team's job",
    request: { ...team, method: "GET", path: "/v1/jobs/poa-1.1.9" },
    status: 404,
    says: "jobNotFound",
  },
  {
    name: "the state is the operator's",
    request: { ...read, path: "/v1/state", key: "benches-key" },
    status: 403,
    says: "forbidden",
  },
  {
    name: "the operator's state",
    request: { ...read, path: "/v1/state", key: "operator-key" },
    status: 200,
    says: "claimGroups",
  },
  {
    name: "another team's quota",
    request: { ...read, path: "/v1/teams/couriers", key: "benches-key" },
    status: 403,
    says: "forbidden",
  },
  {
    name: "a team's own quota",
    request: { ...read, path: "/v1/teams/couriers", key: "couriers-key" },
    status: 200,
    says: "shareWeight",
  },
  {
    name: "a team may not change the configuration",
    request: {
      to: "admin",
      method: "PUT",
      path: "/v1/configuration",
      key: "benches-key",
      body: "{}",
    },
    status: 403,
    says: "forbidden",
  },
  {
    name: "a team may not drain",
    request: {
      to: "admin",
      method: "POST",
      path: "/v1/drain",
      key: "benches-key",
    },
    status: 403,
    says: "forbidden",
  },
];

for (const { name, request, status, says } of cases) {
  test(`listener: ${name}`, async () => {
    const refusals = warnings.length;
    const reply = await send(request);
    expect(reply.status).toEqual(status);
    expect(reply.text.includes(says)).toEqual(true);
    const refusedByAdmin = request.to === "admin" && status === 403;
    expect(warnings.length > refusals).toEqual(refusedByAdmin);
  });
}
