import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { expect } from "earl";
import { waitUntil } from "../bench/control.ts";
import { encodeJob } from "../platform/soak/wire.ts";
import { type ClientSet, startClients } from "./clients.ts";
import {
  callOrdinary,
  descriptorCount,
  HOST,
  isAlive,
  type ListenerName,
  peakRssMb,
  readMetric,
  SERVICE,
  startTestFleet,
  type TestInstance,
} from "./fleet.ts";

/** Heap limit of the tested processes. */
const HEAP_MB = 48;
/** Bound on the resident memory of each process at any time. */
const MAX_RSS_MB = 180;
/** Descriptors that the settings of the tested processes allow. */
const MAX_FDS = 900;
/** Descriptors of these that are not for connections. */
const RESERVED_FDS = 200;
/** Descriptors above the number before that may be left once they are gone. */
const MAX_DESCRIPTORS_LEFT = 20;
const REQUESTS_PER_WRITE = 200;

function jobPath(connection: number, number: number): string {
  const jobId = (connection * 1e9 + number + 1).toString(16).padStart(16, "0");
  return `/${SERVICE}/${jobId}`;
}

/** A write of many requests, each with the next job id. */
function pipeline(
  encode: (path: string) => string,
  count = REQUESTS_PER_WRITE,
): ClientSet["write"] {
  return (connection, write) => {
    let text = "";
    for (let index = 0; index < count; index += 1) {
      text += encode(jobPath(connection, write * count + index));
    }
    return text;
  };
}

function post(
  path: string,
  { isRecorded }: { isRecorded: boolean },
): string {
  const job = { spec: SPEC, tasks: 1, cpuMilli: 100, runMs: 20, isRecorded };
  const body = JSON.stringify(encodeJob(job));
  return `POST ${path} HTTP/1.1\r\nHost: ${HOST}\r\n` +
    `Content-Length: ${body.length}\r\n\r\n${body}`;
}

function plain(method: string, path: string, host = `Host: ${HOST}\r\n`) {
  return `${method} ${path} HTTP/1.1\r\n${host}\r\n`;
}

/** The head of a job whose body has an unknown length. */
function chunkedHead(connection: number): string {
  return `POST ${jobPath(connection, 0)} HTTP/1.1\r\nHost: ${HOST}\r\n` +
    "Transfer-Encoding: chunked\r\n\r\n";
}

/** A specification of 4,000 bytes that the stand-ins of workers can read. */
const SPEC = JSON.stringify({ runMs: 20, cpuMilli: 100, pad: "" })
  .replace('""', `"${"s".repeat(4_000 - 36)}"`);

interface Case {
  readonly name: string;
  readonly listener?: ListenerName;
  readonly clients: ClientSet;
}

const cases: Case[] = [
  {
    name: "pipelined GETs of unknown jobs",
    clients: {
      connections: 8,
      writes: 300,
      write: pipeline((path) => plain("GET", path)),
    },
  },
  {
    name: "pipelined jobs in memory without Timeout-Ms",
    clients: {
      connections: 8,
      writes: 10,
      write: pipeline((path) => post(path, { isRecorded: false })),
    },
  },
  {
    name: "pipelined stored jobs without Timeout-Ms",
    clients: {
      connections: 8,
      writes: 10,
      write: pipeline((path) => post(path, { isRecorded: true })),
    },
  },
  {
    name: "pipelined GETs without Host",
    clients: {
      connections: 8,
      writes: 300,
      write: pipeline((path) => plain("GET", path, "")),
    },
  },
  {
    name: "pipelined DELETEs",
    clients: {
      connections: 8,
      writes: 300,
      write: pipeline((path) => plain("DELETE", path)),
    },
  },
  {
    name: "pipelined counts of pending jobs",
    clients: {
      connections: 8,
      writes: 300,
      write: pipeline(() => plain("GET", `/${SERVICE}/`)),
    },
  },
  {
    name: "connections that open and close at once",
    clients: { connections: 20, writes: 1, write: () => "G", reopens: 100 },
  },
  {
    name: "headers that never complete",
    clients: {
      connections: 1_200,
      writes: 1,
      write: () => `GET /x HTTP/1.1\r\nHost: ${HOST}\r\nX: `,
    },
  },
  {
    name: "bodies that announce more than they send",
    clients: {
      connections: 400,
      writes: 1,
      write: (connection) =>
        `POST ${jobPath(connection, 0)} HTTP/1.1\r\nHost: ${HOST}\r\n` +
        `Content-Length: 262144\r\n\r\n${"b".repeat(200_000)}`,
    },
  },
  {
    name: "a chunked body without end, with Expect",
    clients: {
      connections: 20,
      writes: 200,
      write: (connection, write) =>
        write === 0
          ? `POST ${jobPath(connection, 0)} HTTP/1.1\r\nHost: ${HOST}\r\n` +
            "Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n"
          : `4000\r\n${"c".repeat(16_384)}\r\n`,
    },
  },
  {
    name: "chunked bodies of one byte a chunk, short of their end",
    clients: {
      connections: 40,
      writes: 60,
      write: (connection, write) =>
        write === 0 ? chunkedHead(connection) : "1\r\nc\r\n".repeat(1_000),
    },
  },
  {
    name: "chunked bodies of large chunks, short of their end",
    clients: {
      connections: 200,
      writes: 5,
      write: (connection, write) =>
        write === 0
          ? chunkedHead(connection)
          : `ea60\r\n${"c".repeat(60_000)}\r\n`,
    },
  },
  {
    name: "pipelined GETs of unknown jobs on many connections",
    clients: {
      connections: 240,
      writes: 20,
      write: pipeline((path) => plain("GET", path)),
    },
  },
  {
    name: "upgrade requests",
    clients: {
      connections: 20,
      writes: 100,
      write: pipeline((path) =>
        plain("GET", path).replace(
          "\r\n\r\n",
          "\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n",
        )
      ),
    },
  },
  {
    name: "pipelined GETs at the metrics listener",
    listener: "metrics",
    clients: {
      connections: 8,
      writes: 100,
      write: pipeline(() => plain("GET", "/metrics")),
    },
  },
  {
    name: "pipelined GETs at the readiness listener",
    listener: "readiness",
    clients: {
      connections: 8,
      writes: 300,
      write: pipeline(() => plain("GET", "/")),
    },
  },
  {
    name: "a line without end at the listener for peers",
    listener: "peers",
    clients: { connections: 8, writes: 400, write: () => "p".repeat(65_536) },
  },
  {
    name: "connections to the listener for peers that send nothing",
    listener: "peers",
    clients: { connections: 1_200, writes: 0, write: () => "" },
  },
];

async function callUntilAnswered(instance: TestInstance): Promise<number> {
  let status = 0;
  await waitUntil("an ordinary request to be answered", async () => {
    status = await callOrdinary(instance);
    return status === 200;
  }, { timeoutMs: 30_000 });
  return status;
}

// Instances ended by exhausting their memory: each request was handled as soon
// as it was parsed, however many before it had no answer or an unread one.
for (const { name, listener = "callers", clients: clientSet } of cases) {
  test(`an instance withstands ${name}`, async () => {
    const fleet = await startTestFleet({ heapMb: HEAP_MB, maxFds: MAX_FDS });
    const { entry, leader } = fleet;
    const { ip, ports } = entry;
    const port = ports[listener];
    const before = descriptorCount(entry);
    let descriptors = 0;
    const timer = setInterval(() => {
      descriptors = Math.max(descriptors, descriptorCount(entry));
    }, 50);
    const clients = startClients({ ip, port }, clientSet);
    try {
      await clients.settled;
      await delay(500);
      const seen = () => ({
        entryAlive: isAlive(entry),
        leaderAlive: isAlive(leader),
        entryRssMb: Math.round(peakRssMb(entry)),
        leaderRssMb: Math.round(peakRssMb(leader)),
        descriptors,
      });
      console.log(`${name}: ${JSON.stringify(seen())}`);
      expect(seen()).toLooseEqual({
        entryAlive: true,
        leaderAlive: true,
        entryRssMb: expect.satisfies((mb) => Number(mb) < MAX_RSS_MB),
        leaderRssMb: expect.satisfies((mb) => Number(mb) < MAX_RSS_MB),
        descriptors: expect.satisfies((count) =>
          Number(count) < MAX_FDS - RESERVED_FDS
        ),
      });
      expect(await callUntilAnswered(entry)).toEqual(200);
      clients.close();
      await waitUntil(
        "the clients' jobs and connections to be gone",
        async () =>
          descriptorCount(entry) <= before + MAX_DESCRIPTORS_LEFT &&
          await readMetric(entry, "bronzemill_callerJobs") === 0,
      );
      expect(await callUntilAnswered(entry)).toEqual(200);
      expect([isAlive(entry), isAlive(leader)]).toEqual([true, true]);
    } finally {
      clearInterval(timer);
      clients.close();
      await fleet.stop();
    }
  });
}
