import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { after, before, test } from "node:test";
import { expect } from "earl";
import { createAdminListener } from "../admin/admin_listener.ts";
import { createTestInstance } from "../engine/testing.ts";
import { createFakeStoreHost } from "../host/fake_store.ts";
import { settingsSchema } from "../settings/schema.ts";
import { createAccessTable } from "./access.ts";
import { createCallerListener } from "./caller_listener.ts";
import { sha256Hex } from "./http.ts";
import { jobIdOf } from "./job_translation.ts";
import { type SiteConfiguration, siteConfigurationSchema } from "./schemas.ts";

const warnings: string[] = [];
let callers: Server;
let admin: Server;

function configuration(): SiteConfiguration {
  const key = (text: string, role: "team" | "reader") => ({
    sha256Hex: sha256Hex(text),
    role,
  });
  return siteConfigurationSchema.parse({
    services: { oficina: { kinds: { quote: { expectedMs: 200 } } } },
    teams: {
      benches: { keys: [key("benches-key", "team")] },
      couriers: {
        keys: [key("couriers-key", "team"), key("watch-key", "reader")],
      },
    },
  });
}

function portOf(server: Server): number {
  return (server.address() as AddressInfo).port;
}

before(async () => {
  const { state } = createTestInstance();
  const effective = configuration();
  const effectiveConfiguration = () => effective;
  const access = createAccessTable(
    [sha256Hex("operator-key")],
    effectiveConfiguration,
  );
  const limits = settingsSchema.shape.entry.parse({ maxBodyBytes: 4_096 });
  callers = createCallerListener({
    instance: {
      submit: ({ onAnswer }) => {
        onAnswer({ kind: "done", results: ['"a rib"'] });
        return () => {};
      },
      query: () => Promise.resolve({ kind: "noJob" }),
    },
    access,
    effectiveConfiguration,
    isReady: () => true,
    isDraining: () => false,
    onError: (error) => warnings.push(String(error)),
  }, limits);
  admin = createAdminListener({
    access,
    store: createFakeStoreHost(),
    state,
    effectiveConfiguration,
    zones: ["poa"],
    onConfigurationAccepted: () => {},
    onDrainRequested: () => {},
    collectMeasures: () => ({}),
    log: { write: (_level, { text }) => warnings.push(text) },
  }, limits);
  for (const server of [callers, admin]) {
    await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  }
});

after(() => {
  for (const server of [callers, admin]) {
    server.closeAllConnections();
    server.close();
  }
});

interface Request {
  readonly listener: "callers" | "admin";
  readonly method: string;
  readonly path: string;
  readonly key?: string;
  readonly body?: string;
  readonly headers?: Record<string, string>;
}

async function send(
  request: Request,
): Promise<{ status: number; text: string }> {
  const server = request.listener === "admin" ? admin : callers;
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

function jobBody(overrides: object = {}): string {
  const tasks = [{ payload: 1 }];
  return JSON.stringify({
    service: "oficina",
    kind: "quote",
    tasks,
    ...overrides,
  });
}

const submit = {
  listener: "callers",
  method: "POST",
  path: "/v1/jobs",
} as const;
const teamSubmission = { ...submit, key: "benches-key" };
const adminGet = { listener: "admin", method: "GET" } as const;

const cases: {
  name: string;
  request: Request;
  status: number;
  expectedText: string;
}[] = [
  {
    name: "a submission without a key gets 401",
    request: { ...submit, body: jobBody() },
    status: 401,
    expectedText: "unauthenticated",
  },
  {
    name: "a submission with an unknown key gets 403",
    request: { ...submit, key: "other", body: jobBody() },
    status: 403,
    expectedText: "forbidden",
  },
  {
    name: "a submission with a reader's key gets 403",
    request: { ...submit, key: "watch-key", body: jobBody() },
    status: 403,
    expectedText: "forbidden",
  },
  {
    name: "a body that is not JSON gets 400",
    request: { ...teamSubmission, body: "{" },
    status: 400,
    expectedText: "not JSON",
  },
  {
    name: "a job with too many tasks gets 400",
    request: {
      ...teamSubmission,
      body: jobBody({ tasks: Array(171).fill({ payload: 1 }) }),
    },
    status: 400,
    expectedText: "tasks: ",
  },
  {
    name: "a job without tasks gets 400",
    request: { ...teamSubmission, body: jobBody({ tasks: [] }) },
    status: 400,
    expectedText: "tasks: ",
  },
  {
    name: "a job with an unknown field gets 400",
    request: { ...teamSubmission, body: jobBody({ urgencey: 3 }) },
    status: 400,
    expectedText: "urgencey",
  },
  {
    name: "a job with an urgency out of range gets 400",
    request: { ...teamSubmission, body: jobBody({ urgency: 10 }) },
    status: 400,
    expectedText: "urgency: ",
  },
  {
    name: "a body over the limit gets 413",
    request: {
      ...teamSubmission,
      body: jobBody({ tasks: [{ payload: "x".repeat(5_000) }] }),
    },
    status: 413,
    expectedText: "bodyTooLarge",
  },
  {
    name: "an attempt header that is not a number gets 400",
    request: {
      ...teamSubmission,
      body: jobBody(),
      headers: { "bronzemill-attempt": "one" },
    },
    status: 400,
    expectedText: "bronzemill-attempt",
  },
  {
    name: "an idempotency key that is too long gets 400",
    request: {
      ...teamSubmission,
      body: jobBody(),
      headers: { "idempotency-key": "k".repeat(201) },
    },
    status: 400,
    expectedText: "idempotency-key",
  },
  {
    name: "a job of an unknown kind gets 404",
    request: { ...teamSubmission, body: jobBody({ kind: "none" }) },
    status: 404,
    expectedText: "oficina/none",
  },
  {
    name: "an unknown path gets 404",
    request: { ...teamSubmission, path: "/v2/jobs" },
    status: 404,
    expectedText: "notFound",
  },
  {
    name: "a query for another team's job gets 404",
    request: {
      ...teamSubmission,
      method: "GET",
      path: `/v1/jobs/${jobIdOf("couriers", "k")}`,
    },
    status: 404,
    expectedText: "jobNotFound",
  },
  {
    name: "a submission whose job completes gets 200",
    request: { ...teamSubmission, body: jobBody() },
    status: 200,
    expectedText: '"result":"a rib"',
  },
  {
    name: "a query for a job that is no longer known gets 404",
    request: {
      ...teamSubmission,
      method: "GET",
      path: `/v1/jobs/${jobIdOf("benches", "k")}`,
    },
    status: 404,
    expectedText: "jobNotFound",
  },
  {
    name: "a team's request for the state gets 403",
    request: { ...adminGet, path: "/v1/state", key: "benches-key" },
    status: 403,
    expectedText: "forbidden",
  },
  {
    name: "an operator's request for the state gets 200",
    request: { ...adminGet, path: "/v1/state", key: "operator-key" },
    status: 200,
    expectedText: "leaderId",
  },
  {
    name: "a team's request for another team's share gets 403",
    request: { ...adminGet, path: "/v1/teams/couriers", key: "benches-key" },
    status: 403,
    expectedText: "forbidden",
  },
  {
    name: "a team's request for its own share gets 200",
    request: { ...adminGet, path: "/v1/teams/couriers", key: "couriers-key" },
    status: 200,
    expectedText: "shareWeight",
  },
  {
    name: "a team's change of the configuration gets 403",
    request: {
      listener: "admin",
      method: "PUT",
      path: "/v1/configuration",
      key: "benches-key",
      body: "{}",
    },
    status: 403,
    expectedText: "forbidden",
  },
  {
    name: "a team's request to drain gets 403",
    request: {
      listener: "admin",
      method: "POST",
      path: "/v1/drain",
      key: "benches-key",
    },
    status: 403,
    expectedText: "forbidden",
  },
];

for (const { name, request, status, expectedText } of cases) {
  test(`listener: ${name}`, async () => {
    const warningsBefore = warnings.length;
    const reply = await send(request);
    expect(reply.status).toEqual(status);
    expect(reply.text.includes(expectedText)).toEqual(true);
    const refusedByAdmin = request.listener === "admin" && status === 403;
    expect(warnings.length > warningsBefore).toEqual(refusedByAdmin);
  });
}
