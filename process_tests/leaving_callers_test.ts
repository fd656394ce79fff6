import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { after, before, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { expect } from "earl";
import { createInstanceLogs } from "../bench/instance_logs.ts";
import { findRunPairs } from "../bench/run_pairs.ts";
import {
  HOST,
  services,
  type SoakFleet,
  type SoakInstance,
  startFleet,
} from "../platform/soak/fleet.ts";
import { encodeJob } from "../platform/soak/wire.ts";

const PORT_BASE = 26_400;
/** With three zones, more workers than one leader has. */
const WORKERS_PER_ZONE = 36;
const RUN_MS = 2_900;
const TASK_CPU_MILLI = 100;
/** Time from the requests to the end of their connection. */
const LEAVE_AFTER_MS = 300;
/** Time from there to the requests of the same jobs in another zone. */
const RESEND_AFTER_MS = 1_300;

/** A connection that sends requests ahead and reads nothing. */
interface Pipeline {
  readonly socket: Socket;
  readonly entry: SoakInstance;
}

/** What a caller does with its connection before it comes again. */
const leaveActions = {
  fin: ({ socket }: Pipeline) => void socket.end(),
  rst: ({ socket }: Pipeline) => void socket.resetAndDestroy(),
  // The caller waits no more, but keeps the connection.
  silence: () => {},
  // The entry learns of the end of the connection once it goes on.
  stoppedEntry: ({ socket, entry: { process: { child } } }: Pipeline) => {
    child.kill("SIGSTOP");
    socket.destroy();
    setTimeout(() => child.kill("SIGCONT"), RESEND_AFTER_MS + 700);
  },
} satisfies Record<string, (pipeline: Pipeline) => void>;

const cases: { jobs: number; leaves: keyof typeof leaveActions }[] = [
  { jobs: 2, leaves: "fin" },
  { jobs: 8, leaves: "rst" },
  { jobs: 8, leaves: "silence" },
  { jobs: 8, leaves: "stoppedEntry" },
  { jobs: 33, leaves: "fin" },
  { jobs: 40, leaves: "rst" },
  { jobs: 40, leaves: "silence" },
  { jobs: 200, leaves: "fin" },
];

const logs = createInstanceLogs("leaving");
let fleet: SoakFleet;
before(async () => {
  fleet = await startFleet({
    portBase: PORT_BASE,
    zones: ["a", "b", "c"],
    instancesPerZone: 2,
    largePerZone: 2,
    workersPerZone: WORKERS_PER_ZONE,
    logs,
  });
});
after(async () => {
  await fleet.stop();
  logs.remove();
});

const body = JSON.stringify(encodeJob({
  spec: JSON.stringify({ runMs: RUN_MS, cpuMilli: TASK_CPU_MILLI }),
  tasks: 1,
  cpuMilli: TASK_CPU_MILLI,
  runMs: RUN_MS,
}));

function pathOf(jobId: string): string {
  return `/${services[0]}/${jobId}`;
}

/** The instance of a zone that follows the other one. */
function entryOf(zone: string): SoakInstance {
  const leaders = logs.leaders().map(({ instanceId }) => instanceId);
  const entry = fleet.instances.find(({ instanceId }) =>
    instanceId.startsWith(zone) && !leaders.includes(instanceId)
  );
  if (entry === undefined) throw new Error(`no follower in zone ${zone}`);
  return entry;
}

async function sendAhead(
  entry: SoakInstance,
  jobIds: readonly string[],
): Promise<Pipeline> {
  const socket = connect({ host: entry.ip, port: entry.callerPort });
  socket.on("error", () => {});
  await once(socket, "connect");
  socket.pause();
  socket.write(
    jobIds.map((jobId) =>
      `POST ${pathOf(jobId)} HTTP/1.1\r\nHost: ${HOST}\r\n` +
      `Timeout-Ms: 14000\r\nContent-Length: ${body.length}\r\n\r\n${body}`
    ).join(""),
  );
  return { socket, entry };
}

/** Submits a job, and returns the status of the answer. */
async function submit(
  { ip, callerPort }: SoakInstance,
  jobId: string,
): Promise<number> {
  const socket = connect({ host: ip, port: callerPort });
  await once(socket, "connect");
  socket.write(
    `POST ${pathOf(jobId)} HTTP/1.1\r\nHost: ${HOST}\r\nConnection: close\r\n` +
      `Content-Length: ${body.length}\r\n\r\n${body}`,
  );
  let text = "";
  for await (const chunk of socket) text += chunk;
  return Number(text.split(" ")[1]);
}

// The first entry did not learn that its caller had left, so two leaders had the
// job, and both started it.
for (const [index, { jobs, leaves }] of cases.entries()) {
  test(`no task runs twice after ${jobs} jobs sent ahead, left by ${leaves}`, async () => {
    const jobIds = Array.from(
      { length: jobs },
      (_, number) =>
        (1e6 * (index + 1) + number).toString(16).padStart(16, "0"),
    );
    const pipeline = await sendAhead(entryOf("a"), jobIds);
    try {
      await delay(LEAVE_AFTER_MS);
      leaveActions[leaves](pipeline);
      await delay(RESEND_AFTER_MS);
      const entry = entryOf("b");
      const statuses = await Promise.all(
        jobIds.map((jobId) => submit(entry, jobId)),
      );
      const records = (await fleet.readRuns())
        .filter(({ taskName }) => jobIds.includes(taskName.slice(0, 16)));
      const pairCount = findRunPairs(records).length;
      expect({ pairCount, wasStarted: records.length > 0 }).toEqual({
        pairCount: 0,
        wasStarted: true,
      });
      // The outcome of the run that goes on is that of both requests.
      expect(statuses.filter((status) => status !== 200)).toEqual([]);
    } finally {
      pipeline.socket.destroy();
    }
  });
}
