/**
 * Faults that wait for a moment of the run: the answer to a renewal is on its
 * way, a task was started, a leader was elected, a drain began.
 */

import { jobIdOf } from "../src/engine/job_state.ts";
import type {
  CallerRecord,
  CallFate,
  WorkerCall,
  World,
} from "./engine_world.ts";
import {
  atMoments,
  type Bounds,
  draw,
  during,
  type FaultHandler,
  pick,
} from "./fault_tools.ts";
import type { FaultAfter, GrownFaultName } from "./grown_faults.ts";

/** The name of a fault; see {@linkcode momentFaultHandlers}. */
export type MomentFaultName =
  | "leaderStallsAtRenewal"
  | "leaderFreezesAtRenewal"
  | "starterKilled"
  | "starterDrains"
  | "starterStalls"
  | "starterRefused"
  | "starterCut"
  | "leaderDrains"
  | "cutMeetsElection"
  | "refusalMeetsElection"
  | "cutMeetsDrain"
  | "workerLosesStarter"
  | "workerLosesOthers"
  | "keysLapse"
  | "storeWritesLate"
  | "listsStale"
  | "discoveryLags"
  | "grantsLate"
  | "callsDelayed"
  | "startsHeldByCut"
  | "promptLeave"
  | "promptCancel";

/** Bounds of a pause that a leader's followers may not notice. */
const STALL_MS = { min: 400, max: 490 };
/** Bounds of a pause in which the leader's leases may expire. */
const FREEZE_MS = { min: 600, max: 2_200 };
/** Bounds of the time for which a killed instance is down. */
const DOWN_MS = { min: 300, max: 1_500 };
/** Bounds of the duration of a cut that meets another event. */
const CUT_MS = { min: 300, max: 2_000 };
/**
 * Bounds of the duration of a cut that ends before a leader drops the jobs of
 * the entries that it doesn't hear.
 */
const BRIEF_CUT_MS = { min: 250, max: 740 };
/** Bounds of the time from an event to the fault that meets it. */
const MEETING_MS = { min: 0, max: 60 };
/** Time from the start of a drain to the end of its process. */
const DRAIN_MS = 2_500;
/** Upper bounds on the intervals between faults of a kind. */
const STALL_INTERVAL_MS = 1_100;
const CUT_INTERVAL_MS = 400;
const RESTART_INTERVAL_MS = 2_500;

/** Share of the instances that the store turns away, as on the platform. */
const REVOKED_SHARE = 0.35;
/** Share of the workers of which the entry lapses. */
const LAPSED_SHARE = 0.15;
/** Time after which entries that lapsed are there again. */
const LAPSE_MS = 2_000;
const LATE_WRITE_SHARE = 0.3;
const STALE_SHARE = 0.5;
const MAX_STALE_MS = 3_000;
const DISCOVERY_LAG_MS = 800;
/** Share of the calls that are carried out late, and of callers that leave. */
const CALL_SHARE = 0.3;
const LEAVE_SHARE = 0.1;
/** Upper bound on the time from the first start of a job to its caller's leave. */
const MAX_LEAVE_MS = 20;

/** Pauses leaders as the answer to a renewal is on its way to them. */
function pauseAtRenewals(world: World, forMs: number, bounds: Bounds): void {
  const kind = "renewalAnswered";
  const intervalMs = STALL_INTERVAL_MS;
  atMoments(
    world,
    { kind, forMs, intervalMs },
    ({ instanceId }) => world.pause(instanceId, draw(world, bounds)),
  );
}

/**
 * Cuts an instance off from the other instances. Its connections outlast the
 * cut, so that messages arrive late, or are reset at its end.
 */
function cutFromPeers(
  world: World,
  instanceId: string,
  bounds: Bounds = CUT_MS,
): void {
  const end = world.addHold((from, to) =>
    from === instanceId || to === instanceId
  );
  const cutMs = draw(world, bounds);
  const isReset = world.random() < 0.5;
  world.queue.at(world.queue.nowMs() + cutMs, () => {
    if (isReset) world.resetConnections(instanceId);
    end();
  });
}

function drainAndKill(world: World, instanceId: string): void {
  world.drain(instanceId);
  world.queue.at(
    world.queue.nowMs() + DRAIN_MS,
    () => world.kill(instanceId, draw(world, DOWN_MS)),
  );
}

/** Cuts a worker off from the instances for which the predicate holds. */
export function cutWorker(
  world: World,
  cutId: string,
  isCutOff: (instanceId: string) => boolean,
): void {
  const instanceIds = new Set(
    world.instances.map(({ instanceId }) => instanceId).filter(isCutOff),
  );
  const end = world.addCut((from, to) =>
    (from === cutId && instanceIds.has(to)) ||
    (to === cutId && instanceIds.has(from))
  );
  world.queue.at(world.queue.nowMs() + draw(world, CUT_MS), end);
}

/** Calls `act` for a leader just after each election, for the given time. */
function meetElections(
  world: World,
  forMs: number,
  act: (instanceId: string) => void,
): void {
  atMoments(
    world,
    { kind: "becameLeader", forMs, intervalMs: CUT_INTERVAL_MS },
    ({ instanceId }) => {
      // The new leader, or another one if there is one.
      const others = world.leaders().filter((id) => id !== instanceId);
      const leaderId = others.length > 0 && world.random() < 0.5
        ? pick(world, others)
        : instanceId;
      const atMs = world.queue.nowMs() + draw(world, MEETING_MS);
      world.queue.at(atMs, () => act(leaderId));
    },
  );
}

/** Lets instances read lists of workers of the given age. */
function ageLists(
  world: World,
  forMs: number,
  ageMsOf: (instanceId: string) => number,
): void {
  for (const { instanceId } of world.instances) {
    const ageMs = ageMsOf(instanceId);
    if (ageMs === 0) continue;
    during(world, forMs, {
      begin: () => world.setListAge(instanceId, ageMs),
      end: () => world.setListAge(instanceId, 0),
    });
  }
}

/** Lets a share of the calls have a fate. */
function failCalls(
  world: World,
  forMs: number,
  { fate, kinds }: { fate: CallFate; kinds: readonly WorkerCall["kind"][] },
): void {
  const end = world.addCallFault(({ kind }) =>
    kinds.includes(kind) && world.random() < CALL_SHARE ? fate : "answered"
  );
  world.queue.at(world.queue.nowMs() + forMs, end);
}

/**
 * Cuts workers off from all instances as starts are sent to them; the starts
 * arrive late, some of them after the cut.
 */
function holdStartsByCuts(world: World, forMs: number): void {
  const end = world.addCallFault(({ kind, workerId }) => {
    if (kind !== "start" || world.random() >= CALL_SHARE) return "answered";
    cutWorker(world, workerId, () => true);
    return "delayed";
  });
  world.queue.at(world.queue.nowMs() + forMs, end);
}

/** Calls `act` for a share of the jobs, moments after their first start. */
function leaveAtFirstStart(
  world: World,
  forMs: number,
  { mayLeave, act }: {
    mayLeave: (record: CallerRecord) => boolean;
    act: (record: CallerRecord) => void;
  },
): void {
  const startedJobs = new Set<string>();
  const kind = "startSent";
  atMoments(world, { kind, forMs, intervalMs: 0 }, ({ taskName }) => {
    const record = world.jobs.get(jobIdOf(taskName));
    if (record === undefined || startedJobs.has(record.jobId)) return;
    startedJobs.add(record.jobId);
    if (!mayLeave(record) || world.random() >= LEAVE_SHARE) return;
    const atMs = world.queue.nowMs() + MAX_LEAVE_MS * world.random();
    world.queue.at(atMs, () => {
      if (record.outcome === null) act(record);
    });
  });
}

/** Injects each fault for the given time. */
export const momentFaultHandlers: Record<MomentFaultName, FaultHandler> = {
  leaderStallsAtRenewal: (world, forMs) =>
    pauseAtRenewals(world, forMs, STALL_MS),
  leaderFreezesAtRenewal: (world, forMs) =>
    pauseAtRenewals(world, forMs, FREEZE_MS),
  starterKilled: (world, forMs) =>
    atMoments(
      world,
      { kind: "startSent", forMs, intervalMs: RESTART_INTERVAL_MS },
      ({ instanceId }) => world.kill(instanceId, draw(world, DOWN_MS)),
    ),
  starterDrains: (world, forMs) =>
    atMoments(
      world,
      { kind: "startSent", forMs, intervalMs: RESTART_INTERVAL_MS },
      ({ instanceId }) => drainAndKill(world, instanceId),
    ),
  starterStalls: (world, forMs) =>
    atMoments(
      world,
      { kind: "startSent", forMs, intervalMs: STALL_INTERVAL_MS },
      ({ instanceId }) => world.pause(instanceId, draw(world, STALL_MS)),
    ),
  starterRefused: (world, forMs) =>
    atMoments(
      world,
      { kind: "startSent", forMs, intervalMs: STALL_INTERVAL_MS },
      ({ instanceId }) =>
        world.refuseConnections(instanceId, draw(world, BRIEF_CUT_MS)),
    ),
  starterCut: (world, forMs) =>
    atMoments(
      world,
      { kind: "startSent", forMs, intervalMs: STALL_INTERVAL_MS },
      ({ instanceId }) => cutFromPeers(world, instanceId, BRIEF_CUT_MS),
    ),
  leaderDrains: (world) => {
    const leaders = world.leaders();
    if (leaders.length > 0) drainAndKill(world, pick(world, leaders));
  },
  cutMeetsElection: (world, forMs) =>
    meetElections(world, forMs, (leaderId) => cutFromPeers(world, leaderId)),
  refusalMeetsElection: (world, forMs) =>
    meetElections(
      world,
      forMs,
      (leaderId) => world.refuseConnections(leaderId, draw(world, CUT_MS)),
    ),
  cutMeetsDrain: (world, forMs) =>
    atMoments(
      world,
      { kind: "drainBegan", forMs, intervalMs: CUT_INTERVAL_MS },
      ({ instanceId }) => {
        const cutIds = [instanceId, ...world.leaders()];
        const atMs = world.queue.nowMs() + draw(world, MEETING_MS);
        world.queue.at(atMs, () => cutFromPeers(world, pick(world, cutIds)));
      },
    ),
  workerLosesStarter: (world, forMs) =>
    atMoments(
      world,
      { kind: "startSent", forMs, intervalMs: CUT_INTERVAL_MS },
      ({ instanceId, workerId }) =>
        cutWorker(world, workerId, (id) => id === instanceId),
    ),
  workerLosesOthers: (world, forMs) =>
    atMoments(
      world,
      { kind: "startSent", forMs, intervalMs: CUT_INTERVAL_MS },
      ({ instanceId, workerId }) =>
        cutWorker(world, workerId, (id) => id !== instanceId),
    ),
  keysLapse: (world, forMs) => {
    const revokedIds = new Set(
      world.instances.map(({ instanceId }) => instanceId)
        .filter(() => world.random() < REVOKED_SHARE),
    );
    const end = world.addCut((from, to) =>
      from === "store" && revokedIds.has(to)
    );
    world.queue.at(world.queue.nowMs() + forMs, end);
    const lapsed = world.workers.filter(() => world.random() < LAPSED_SHARE);
    during(world, LAPSE_MS, {
      begin: () => world.setListed(lapsed, false),
      end: () => world.setListed(lapsed, true),
    });
  },
  storeWritesLate: (world, forMs) =>
    during(world, forMs, {
      begin: () => world.setLateWriteShare(LATE_WRITE_SHARE),
      end: () => world.setLateWriteShare(0),
    }),
  listsStale: (world, forMs) =>
    ageLists(
      world,
      forMs,
      () =>
        world.random() < STALE_SHARE
          ? Math.ceil(MAX_STALE_MS * world.random())
          : 0,
    ),
  discoveryLags: (world, forMs) =>
    ageLists(world, forMs, () => DISCOVERY_LAG_MS),
  grantsLate: (world, forMs) =>
    failCalls(world, forMs, { fate: "late", kinds: ["poll"] }),
  callsDelayed: (world, forMs) =>
    failCalls(world, forMs, {
      fate: "delayed",
      kinds: ["poll", "start", "stop"],
    }),
  startsHeldByCut: holdStartsByCuts,
  promptLeave: (world, forMs) =>
    leaveAtFirstStart(world, forMs, {
      mayLeave: ({ kind }) => kind.guarantee === undefined,
      act: world.disconnectCaller,
    }),
  promptCancel: (world, forMs) =>
    leaveAtFirstStart(world, forMs, {
      mayLeave: ({ kind }) => kind.guarantee !== undefined,
      act: world.cancel,
    }),
};

/** Names of the faults that can be in a row of `momentRows`. */
type RowFault = FaultAfter<MomentFaultName | GrownFaultName>;

/** Rows of faults that meet around the leaders; each run has one. */
export const momentRows: readonly (readonly RowFault[])[] = [
  [
    { name: "leaderStallsAtRenewal", afterMs: 0, forMs: 8_000 },
    { name: "workerLosesStarter", afterMs: 200, forMs: 8_000 },
  ],
  [
    { name: "leaderFreezesAtRenewal", afterMs: 0, forMs: 7_000 },
    { name: "callsDelayed", afterMs: 300, forMs: 7_000 },
    { name: "promptLeave", afterMs: 0, forMs: 8_000 },
  ],
  [
    { name: "starterKilled", afterMs: 0, forMs: 8_000 },
    { name: "workerLosesStarter", afterMs: 300, forMs: 8_000 },
    { name: "discoveryLags", afterMs: 0, forMs: 9_000 },
  ],
  [
    { name: "starterDrains", afterMs: 0, forMs: 8_000 },
    { name: "cutMeetsDrain", afterMs: 0, forMs: 8_000 },
    { name: "promptLeave", afterMs: 200, forMs: 8_000 },
  ],
  [
    { name: "cutMeetsElection", afterMs: 0, forMs: 8_000 },
    { name: "leaderStallsAtRenewal", afterMs: 200, forMs: 6_000 },
    { name: "callerResets", afterMs: 700, forMs: 5_000 },
  ],
  [
    { name: "refusalMeetsElection", afterMs: 0, forMs: 8_000 },
    { name: "starterStalls", afterMs: 200, forMs: 6_000 },
    { name: "promptLeave", afterMs: 0, forMs: 8_000 },
  ],
  [
    { name: "grantsLate", afterMs: 0, forMs: 8_000 },
    { name: "workerLosesStarter", afterMs: 0, forMs: 8_000 },
    { name: "leaderFreezesAtRenewal", afterMs: 500, forMs: 6_000 },
  ],
  [
    { name: "keysLapse", afterMs: 0, forMs: 5_000 },
    { name: "cutMeetsElection", afterMs: 0, forMs: 6_000 },
    { name: "starterKilled", afterMs: 700, forMs: 3_000 },
  ],
  [
    { name: "listsStale", afterMs: 0, forMs: 9_000 },
    { name: "reborn", afterMs: 500, forMs: 2_000 },
    { name: "starterDrains", afterMs: 800, forMs: 4_000 },
    { name: "workerLosesOthers", afterMs: 800, forMs: 5_000 },
  ],
  [
    { name: "storeWritesLate", afterMs: 0, forMs: 8_000 },
    { name: "cutMeetsElection", afterMs: 200, forMs: 6_000 },
    { name: "starterStalls", afterMs: 500, forMs: 4_000 },
    { name: "promptCancel", afterMs: 0, forMs: 8_000 },
  ],
  [
    { name: "leaderWakesSlowly", afterMs: 0, forMs: 6_000 },
    { name: "workerLosesOthers", afterMs: 200, forMs: 6_000 },
    { name: "cutOneWay", afterMs: 700, forMs: 4_000 },
    { name: "promptLeave", afterMs: 0, forMs: 8_000 },
  ],
  [
    { name: "leaderDrains", afterMs: 0, forMs: 0 },
    { name: "leaderStallsAtRenewal", afterMs: 200, forMs: 5_000 },
    { name: "leaderDrains", afterMs: 1_200, forMs: 0 },
    { name: "cutMeetsDrain", afterMs: 0, forMs: 5_000 },
    { name: "connectionResets", afterMs: 400, forMs: 5_000 },
  ],
  [
    { name: "answersLost", afterMs: 0, forMs: 8_000 },
    { name: "starterStalls", afterMs: 200, forMs: 6_000 },
    { name: "refusalMeetsElection", afterMs: 400, forMs: 6_000 },
    { name: "callerResets", afterMs: 0, forMs: 8_000 },
  ],
  [
    { name: "starterRefused", afterMs: 0, forMs: 8_000 },
    { name: "leaderStallsAtRenewal", afterMs: 200, forMs: 7_000 },
  ],
  [
    { name: "starterCut", afterMs: 0, forMs: 8_000 },
    { name: "leaderStallsAtRenewal", afterMs: 200, forMs: 7_000 },
    { name: "workerLosesStarter", afterMs: 700, forMs: 6_000 },
  ],
];
