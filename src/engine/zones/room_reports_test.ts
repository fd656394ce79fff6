import { test } from "node:test";
import { expect } from "earl";
import { shareToHandOver } from "./load_balance.ts";
import { measureRoom, readReport } from "./room_reports.ts";

const zoneServices = new Set(["s"]);
const room = { idleMilli: 10, capacityMilli: 20 };

const faults: {
  name: string;
  report: unknown;
  services?: ReadonlySet<string>;
  waitMs?: number;
}[] = [
  { name: "a negative amount", report: { s: { ...room, idleMilli: -1 } } },
  { name: "an infinite amount", report: { s: { ...room, idleMilli: 1 / 0 } } },
  { name: "no number", report: { s: { ...room, capacityMilli: null } } },
  { name: "no record", report: "full" },
  { name: "an unknown service", report: { s: room, t: room } },
  { name: "a negative wait", report: { s: room }, waitMs: -1 },
  { name: "an infinite wait", report: { s: room }, waitMs: Infinity },
  {
    name: "a zone without listed workers",
    report: { s: room },
    services: new Set<string>(),
  },
];

for (const { name, report, services = zoneServices, waitMs = 0 } of faults) {
  test(`a report with ${name} is ignored`, () => {
    const waitMsByService = { s: waitMs, t: 0 };
    const read = readReport(report, {
      zoneServices: services,
      waitMsByService,
    });
    expect(read.room).toEqual(null);
  });
}

test("a valid report is read", () => {
  const waitMsByService = { s: 3 };
  const read = readReport({ s: room }, { zoneServices, waitMsByService });
  expect(read.room).toEqual({ s: room });
});

// Tasks of 14 cores leave 4 of 32 cores over on each worker.
test("what is left over beside whole tasks is not reported as idle", () => {
  const worker = { cpuMilli: 32, usedCpuMilli: 28, runCount: 2, isReady: true };
  const empty = { ...worker, usedCpuMilli: 0, runCount: 0 };
  const workers = [worker, worker, empty, { ...empty, isReady: false }];
  const measured = measureRoom(workers, 14);
  expect(measured).toEqual({ idleMilli: 14, capacityMilli: 112 });
});

const idle = { capacityMilli: 100, usedMilli: 0, sentMilli: 0 };
const shares: {
  name: string;
  offeredMilli: number;
  others: typeof idle[];
  share: number;
}[] = [
  {
    name: "all callers are at one zone",
    offeredMilli: 240,
    others: [idle, idle],
    share: 2 / 3,
  },
  {
    name: "what runs elsewhere was handed over by this zone",
    offeredMilli: 240,
    others: [
      { ...idle, usedMilli: 80, sentMilli: 80 },
      { ...idle, usedMilli: 80, sentMilli: 80 },
    ],
    share: 2 / 3,
  },
  {
    name: "all zones together have little work",
    offeredMilli: 150,
    others: [idle, idle],
    share: 1 / 2,
  },
  {
    name: "its workers can do its work",
    offeredMilli: 95,
    others: [idle, idle],
    share: 0,
  },
  {
    name: "all zones have too much work",
    offeredMilli: 130,
    others: [{ ...idle, usedMilli: 125 }],
    share: 0,
  },
  { name: "no other zone reports", offeredMilli: 150, others: [], share: 0 },
];

for (const { name, offeredMilli, others, share } of shares) {
  test(`the share of the work to hand over: ${name}`, () => {
    const own = { capacityMilli: 100, offeredMilli };
    const found = shareToHandOver(own, others);
    expect(Math.round(found * 1e6)).toEqual(Math.round(share * 1e6));
  });
}
