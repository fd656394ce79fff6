/** Helpers for tests of zones with a leader each: instances of the zone `poa`. */

import type { JobOutcome, PeerMessageOf, WorkerInfo } from "../schemas.ts";
import {
  createTestInstance,
  effectsOf,
  messagesOf,
  testHeartbeat,
  type TestInstance,
  testInstanceInfo,
  testJob,
  testQueue,
  testSubmission,
  testWorker,
} from "../testing.ts";
import type { Effect } from "../types.ts";

/** The job of {@linkcode submitCaller}. */
export const JOB_ID = "00000000000000aa";
/** Leaders of other zones, each named like its zone with an `l` before it. */
export const OTHER_ZONES = ["caxias", "pelotas"];
/** A report of room for any job. */
export const IDLE = { s: { idleMilli: 1e6, capacityMilli: 2e6 } };

export function zoneWorkers(zone: string, count: number): WorkerInfo[] {
  return Array.from({ length: count }, (_, index) => ({
    ...testWorker(`${zone}-${index}`),
    availabilityZone: zone,
  }));
}

/** The leaders of some zones are heard from. */
export function hear(
  instance: TestInstance,
  zones: readonly string[],
  fields: Partial<PeerMessageOf<"heartbeat">> = {},
): void {
  for (const zone of zones) {
    const leaderId = `l${zone}`;
    const heartbeat = testHeartbeat({
      sentAtMs: instance.state.nowMs,
      workersAgeMs: 1e6,
      isLeader: true,
      leaderId,
      term: 9,
      hasZoneCells: true,
      waitMsByService: { s: 0 },
      roomByService: IDLE,
      ...fields,
    });
    instance.receive(leaderId, heartbeat);
  }
}

/** A worker with a label that is larger than all others. */
function largeWorker(zone: string): WorkerInfo {
  const info = { ...testWorker(`${zone}-large`), availabilityZone: zone };
  return { ...info, cpuMilli: 64_000, labels: ["large"] };
}

/**
 * An instance of the zone `poa`, which has two workers, before it leads it. One of
 * the zones may have a large worker.
 */
export function createInstance(
  { otherWorkers = 55, largeZone }: {
    otherWorkers?: number;
    largeZone?: string;
  } = {},
): TestInstance {
  const instance = createTestInstance();
  const instances = OTHER_ZONES.map((zone) => ({
    ...testInstanceInfo(`l${zone}`),
    availabilityZone: zone,
  }));
  instance.after(0, { type: "instancesRead", instances });
  for (const { instanceId } of instances) {
    instance.after(0, { type: "peerUp", instanceId });
  }
  const workers = [
    ...zoneWorkers("poa", 2),
    ...OTHER_ZONES.flatMap((zone) => zoneWorkers(zone, otherWorkers)),
    ...(largeZone === undefined ? [] : [largeWorker(largeZone)]),
  ];
  instance.after(0, { type: "workersRead", workers });
  return instance;
}

/** Time after its start in which an instance may have missed lost entries. */
export const START_MS = 2_500;

/** Lets the time pass after a start; workers answer polls. */
export function pass(instance: TestInstance): void {
  for (let passedMs = 0; passedMs < START_MS; passedMs += 100) {
    hear(instance, OTHER_ZONES);
    for (const { workerId } of effectsOf(instance.tick(100), "hold")) {
      instance.completePoll(workerId);
    }
  }
}

/** The leader of `poa`. */
export function createLeader(
  options?: { otherWorkers?: number; largeZone?: string },
): TestInstance {
  const leader = createInstance(options);
  pass(leader);
  hear(leader, OTHER_ZONES);
  return leader;
}

/** An entry of `poa` whose leader is another instance. */
export function createEntry(
  heard: readonly string[],
  options?: { largeZone?: string | undefined },
): TestInstance {
  const entry = createInstance({ ...options });
  const home = testInstanceInfo("lpoa");
  entry.after(0, { type: "instancesRead", instances: [home] });
  entry.after(0, { type: "peerUp", instanceId: "lpoa" });
  hear(entry, ["poa", ...heard]);
  entry.tick();
  return entry;
}

/** Submits a job of four tasks, which fit on the workers of `poa`. */
export function submit(
  leader: TestInstance,
  jobId: string,
  fields: Partial<PeerMessageOf<"submit">> = {},
): Effect[] {
  const job = testJob(4);
  return leader.receive(
    "p",
    testSubmission({ jobId, job, triedZones: [], ...fields }),
  );
}

/** Returns the zones that the refusals among some effects name. */
export function zonesOf(effects: readonly Effect[]): (string | undefined)[] {
  return messagesOf(effects, "jobEnded").map(({ outcome }) =>
    outcome.kind === "refused" ? outcome.elsewhere ?? undefined : undefined
  );
}

/** A caller submits a job at an instance. */
export function submitCaller(entry: TestInstance, job = testJob(1)): Effect[] {
  return entry.after(0, {
    type: "callerSubmit",
    requestId: "r",
    jobId: JOB_ID,
    queue: testQueue,
    job,
    timeoutMs: 6_000,
    answerAt: "ended",
  });
}

/** A leader reports the outcome of the latest submission of {@linkcode JOB_ID}. */
export function endJob(
  entry: TestInstance,
  from: string,
  outcome: JobOutcome,
): Effect[] {
  const callerJob = entry.state.callerJobs.get(JOB_ID)!;
  const submissionId =
    `${callerJob.submissionPrefix}.${callerJob.submissionCount}`;
  return entry.receive(from, {
    type: "jobEnded",
    jobId: JOB_ID,
    submissionId,
    outcome,
  });
}

/** Returns the instances to which jobs are submitted by some effects. */
export function targetsOf(effects: readonly Effect[]): string[] {
  return effectsOf(effects, "sendPeer")
    .filter(({ message }) => message.type === "submit")
    .map(({ instanceId }) => instanceId);
}
