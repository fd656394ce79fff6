/**
 * A stand-in for the store: tables of rows with transactions, and the list of
 * workers, which lags. Knobs make it fail in the ways the real one may.
 *
 * Usage: store.js PORT
 */

import { createFakeStore } from "../src/host/fake_store.ts";
import { WORKERS_TABLE } from "../src/host/store_client.ts";
import type { WorkerInfo } from "../src/engine/schemas.ts";
import type { StoreTransaction } from "../src/instance/hosts.ts";
import {
  answer,
  serveJson,
  type ServiceRequest,
  sleep,
} from "./http_service.ts";

/** How long a transaction takes. */
const TRANSACTION_MS = 4;

interface Knobs {
  /** Every call fails. */
  down: boolean;
  /** Every call takes so much longer. */
  slowMs: number;
  /** So many transactions take effect, and their answers are lost. */
  loseAnswers: number;
  /** The list of workers shows changes this late. */
  listLagMs: number;
}

const knobs: Knobs = { down: false, slowMs: 0, loseAnswers: 0, listLagMs: 0 };
const counts = { reads: 0, writes: 0 };
const store = createFakeStore();

/** Lists workers as they are from now on. */
function listWorkers(workers: readonly WorkerInfo[]): void {
  store.transact({
    part: "",
    expected: [],
    writes: workers.map((worker) => ({
      table: WORKERS_TABLE,
      key: worker.workerId,
      value: worker,
    })),
    removes: [],
  });
}

function leave(workerId: string): void {
  const rows = store.readRows({ table: WORKERS_TABLE, part: "" });
  const row = rows.find(({ key }) => key === workerId);
  if (row === undefined) return;
  const worker = { ...(row.value as WorkerInfo), draining: true };
  setTimeout(() => listWorkers([worker]), knobs.listLagMs);
}

async function transact({ body, response }: ServiceRequest): Promise<void> {
  await sleep(TRANSACTION_MS);
  counts.writes += 1;
  const result = store.transact(body as StoreTransaction);
  if (knobs.loseAnswers > 0) {
    knobs.loseAnswers -= 1;
    response.destroy();
  } else answer(response, 200, result);
}

function read({ body, response }: ServiceRequest): void {
  counts.reads += 1;
  answer(response, 200, { rows: store.readRows(body) });
}

const controls: Record<string, (request: ServiceRequest) => void> = {
  "/control/knobs": ({ body }) => Object.assign(knobs, body),
  "/control/workers": ({ body }) => listWorkers(body),
  "/control/leave": ({ body }) => leave(body.workerId),
  "/control/counts": () => {},
};

const calls: Record<string, (request: ServiceRequest) => void> = {
  "/rows/read": read,
  "/rows/transact": (request) => void transact(request),
};

await serveJson(Number(process.argv[2]), async (request) => {
  const control = controls[request.path];
  if (control !== undefined) {
    control(request);
    answer(request.response, 200, counts);
    return;
  }
  if (knobs.slowMs > 0) await sleep(knobs.slowMs);
  const call = calls[request.path];
  if (knobs.down || call === undefined) request.response.destroy();
  else call(request);
});
process.stdout.write("ready\n");
