/**
 * A stand-in for the platform's service: a table with compare-and-swap and a
 * membership list that lags. Knobs make it fail in the ways the real one may.
 */

import type { MembershipList, TableRow } from "../src/host/hosts.ts";
import type { UpstreamMember } from "../src/core/schemas.ts";
import {
  answer,
  serveJson,
  type ServiceRequest,
  sleep,
} from "./http_service.ts";

interface Knobs {
  /** Every call fails. */
  down: boolean;
  /** Every call takes so much longer. */
  slowMs: number;
  /** So many writes take effect, and their answers are lost. */
  loseAnswers: number;
  /** The membership list shows changes this late. */
  listLagMs: number;
}

const knobs: Knobs = { down: false, slowMs: 0, loseAnswers: 0, listLagMs: 0 };
const table = new Map<string, TableRow>();
const counts = { reads: 0, writes: 0, membershipReads: 0 };
let list: MembershipList = { version: 1, upstreams: [] };
let shown: MembershipList = list;

function readRow(key: string): TableRow {
  return table.get(key) ?? { value: null, version: 0 };
}

function writeRow({ path, body, response }: ServiceRequest): void {
  const key = decodeURIComponent(path.slice("/table/".length));
  const row = readRow(key);
  if (row.version !== body.expectedVersion) {
    answer(response, 409, row);
    return;
  }
  table.set(key, { value: body.value, version: row.version + 1 });
  if (knobs.loseAnswers > 0) {
    knobs.loseAnswers -= 1;
    response.destroy();
  } else answer(response, 200, readRow(key));
}

function changeList(upstreams: UpstreamMember[]): void {
  list = { version: list.version + 1, upstreams };
  const change = list;
  setTimeout(() => {
    shown = change;
  }, knobs.listLagMs);
}

function control({ path, body, response }: ServiceRequest): boolean {
  if (path === "/control/knobs") Object.assign(knobs, body);
  else if (path === "/control/membership") changeList(body);
  else if (path === "/control/leave") {
    changeList(
      list.upstreams.map((upstream) =>
        upstream.id === body.id ? { ...upstream, state: "leaving" } : upstream
      ),
    );
  } else if (path !== "/control/counts") return false;
  answer(response, 200, counts);
  return true;
}

async function handle(request: ServiceRequest): Promise<void> {
  const { method, path, response } = request;
  if (control(request)) return;
  if (knobs.slowMs > 0) await sleep(knobs.slowMs);
  if (knobs.down) {
    response.destroy();
    return;
  }
  if (path === "/membership") {
    counts.membershipReads += 1;
    answer(response, 200, shown);
  } else if (method === "PUT") {
    counts.writes += 1;
    writeRow(request);
  } else {
    counts.reads += 1;
    const key = decodeURIComponent(path.slice("/table/".length));
    answer(response, 200, readRow(key));
  }
}

await serveJson(Number(process.argv[2]), handle);
process.stdout.write("ready\n");
