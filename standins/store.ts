/**
 * A stand-in for the store: tables of rows with transactions, and a list of
 * workers that shows a worker's draining with a delay. Knobs inject the
 * failures that the real store may have.
 *
 * Usage: store.js PORT
 */

import type { WorkerInfo } from "../src/engine/schemas.ts";
import { createFakeStore } from "../src/host/fake_store.ts";
import { WORKERS_TABLE } from "../src/host/store_client.ts";
import type { StoreTransaction } from "../src/instance/hosts.ts";
import {
  sendJson,
  serveJson,
  type ServiceRequest,
  sleep,
} from "./http_service.ts";

/** Duration of a transaction. */
const TRANSACTION_MS = 4;

interface Knobs {
  /** Whether the connection of every store call is closed without a response. */
  down: boolean;
  /** Delay added to every store call. */
  slowMs: number;
  /** Number of transactions to commit without sending the response. */
  loseAnswers: number;
  /** Delay before the list of workers shows that a worker is draining. */
  listLagMs: number;
}

const knobs: Knobs = { down: false, slowMs: 0, loseAnswers: 0, listLagMs: 0 };
const counts = { reads: 0, writes: 0 };
const store = createFakeStore();
/** Until when the entries of workers have lapsed, by worker. */
const lapsedUntilMs = new Map<string, number>();

/** Adds workers to the list of workers, or replaces their rows. */
function writeWorkers(workers: readonly WorkerInfo[]): void {
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

/** Lists a worker as draining once the configured lag has passed. */
function markDraining(workerId: string): void {
  const rows = store.readRows({ table: WORKERS_TABLE, part: "" });
  const row = rows.find(({ key }) => key === workerId);
  if (row === undefined) return;
  const worker = { ...(row.value as WorkerInfo), draining: true };
  setTimeout(() => writeWorkers([worker]), knobs.listLagMs);
}

async function transact({ body, response }: ServiceRequest): Promise<void> {
  await sleep(TRANSACTION_MS);
  counts.writes += 1;
  const result = store.transact(body as StoreTransaction);
  if (knobs.loseAnswers > 0) {
    knobs.loseAnswers -= 1;
    response.destroy();
  } else sendJson(response, 200, result);
}

/** Lets the entries of workers lapse for a time, though the workers live. */
function lapse(
  { workerIds, forMs }: { workerIds: readonly string[]; forMs: number },
): void {
  const untilMs = performance.now() + forMs;
  for (const workerId of workerIds) lapsedUntilMs.set(workerId, untilMs);
}

function read({ body, response }: ServiceRequest): void {
  counts.reads += 1;
  const nowMs = performance.now();
  const rows = store.readRows(body).filter(({ table, key }) =>
    table !== WORKERS_TABLE || (lapsedUntilMs.get(key) ?? 0) <= nowMs
  );
  sendJson(response, 200, { rows });
}

const controlHandlers: Record<string, (request: ServiceRequest) => void> = {
  "/control/knobs": ({ body }) => Object.assign(knobs, body),
  "/control/workers": ({ body }) => writeWorkers(body),
  "/control/lapse": ({ body }) => lapse(body),
  "/control/leave": ({ body }) => markDraining(body.workerId),
  "/control/counts": () => {},
};

const storeHandlers: Record<string, (request: ServiceRequest) => void> = {
  "/rows/read": read,
  "/rows/transact": (request) => void transact(request),
};

await serveJson(Number(process.argv[2]), async (request) => {
  const control = controlHandlers[request.path];
  if (control !== undefined) {
    control(request);
    sendJson(request.response, 200, counts);
    return;
  }
  if (knobs.slowMs > 0) await sleep(knobs.slowMs);
  const call = storeHandlers[request.path];
  if (knobs.down || call === undefined) request.response.destroy();
  else call(request);
});
process.stdout.write("ready\n");
