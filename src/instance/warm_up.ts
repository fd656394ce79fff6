/**
 * Runs an artificial load through an engine of its own, in short slices, so that
 * the code of a leader is compiled when the first jobs arrive. A process that
 * becomes the leader with cold code spends several times the usual processor
 * time on each job, and jobs wait for it though workers are free.
 */

import { createEngine, reduce } from "../engine/reduce.ts";
import type {
  JobSpec,
  PeerMessageOf,
  QueueRule,
  WorkerInfo,
} from "../engine/schemas.ts";
import type { Effect, EngineEvent, FinishedRow } from "../engine/types.ts";
import { createJsonLog } from "./json_log.ts";

/** Number of artificial jobs, after which the code is compiled. */
const JOBS = 1_500;
/** Time between two slices. */
const SLICE_INTERVAL_MS = 25;
/** Processor time of a slice, after which other work of the process goes on. */
const SLICE_MS = 5;
const WORKERS = 24;
const TASKS_PER_JOB = 4;
const SERVICE = "warm-up";

const queue: QueueRule = {
  name: "warm-up",
  host: "warm-up",
  pathPrefix: "/",
  service: SERVICE,
  priority: 0,
  attempts: 3,
  stretch: 2,
  objectiveMs: 100,
  timeoutMs: 5_000,
};

const job: JobSpec = {
  spec: "",
  steps: [{
    count: TASKS_PER_JOB,
    cpuMilli: 1_000,
    memoryMb: 1,
    accelerators: 0,
    estimatedMs: 50,
    after: [],
  }],
};

function createWorkerInfo(index: number): WorkerInfo {
  return {
    workerId: `warm-up-${index}`,
    service: SERVICE,
    availabilityZone: "",
    address: `warm-up:${index}`,
    cpuMilli: 8_000,
    memoryMb: 1_000,
    accelerators: 0,
    labels: [],
    draining: false,
    bornMs: 1,
  };
}

/** An artificial fleet with one leader, to which jobs are submitted. */
interface WarmUpFleet {
  /** Submits one job and completes its tasks. */
  readonly runJob: () => void;
}

function createWarmUpFleet(): WarmUpFleet {
  let nowMs = 0;
  let jobs = 0;
  const self = {
    instanceId: "warm-up",
    availabilityZone: "",
    region: "",
    address: "",
    bornMs: 1,
  };
  const state = createEngine({
    self,
    leaseMs: 1_000,
    stopMs: 50,
    nowMs,
    wallMs: nowMs,
  });
  state.recordsExist = false;
  const log = createJsonLog({
    instanceId: self.instanceId,
    output: { write: () => true, writableLength: 0 },
  });
  const callIds = new Map<string, number>();
  const finished = new Map<string, FinishedRow[]>();
  const sequences = new Map<string, number>();

  function dispatch(event: DistributiveOmit<EngineEvent, "nowMs">): void {
    for (const effect of reduce(state, { ...event, nowMs } as EngineEvent)) {
      perform(effect);
    }
  }

  function perform(effect: Effect): void {
    if (effect.type === "log") {
      const { level, part, text, fields } = effect;
      log.write(level, { part, text, fields });
    } else if (effect.type === "hold") {
      callIds.set(effect.workerId, effect.callId);
    } else if (effect.type === "startTask") {
      finishTask(effect);
    }
  }

  function finishTask(
    { workerId, taskName, run, fence }: Extract<Effect, { type: "startTask" }>,
  ): void {
    const sequence = (sequences.get(workerId) ?? 0) + 1;
    sequences.set(workerId, sequence);
    const rows = finished.get(workerId) ?? [];
    rows.push({ sequence, taskName, run, end: "done" });
    finished.set(workerId, rows);
    const outcome = { kind: "started", clockMs: nowMs } as const;
    const type = "startCompleted";
    dispatch({ type, workerId, taskName, run, fence, outcome });
  }

  function answerPolls(): void {
    for (const [workerId, callId] of [...callIds]) {
      callIds.delete(workerId);
      const rows = finished.get(workerId) ?? [];
      finished.delete(workerId);
      dispatch({
        type: "pollCompleted",
        workerId,
        callId,
        outcome: {
          kind: "held",
          clockMs: nowMs,
          bornMs: 1,
          running: [],
          finished: rows,
        },
      });
    }
  }

  function pass(ms: number): void {
    nowMs += ms;
    dispatch({ type: "tick", wallMs: nowMs });
    answerPolls();
  }

  dispatch({
    type: "configurationRead",
    configuration: {
      version: 1,
      queues: [queue],
      services: [{ name: SERVICE, healthPath: "/", guardsCapacity: false }],
      maxBodyBytes: 1,
      maxHeaderBytes: 1,
      idleTimeoutMs: 1,
    },
  });
  const workers = Array.from(
    { length: WORKERS },
    (_, index) => createWorkerInfo(index),
  );
  dispatch({ type: "workersRead", workers });
  for (let round = 0; round < 4; round += 1) pass(1_000);

  return {
    runJob() {
      jobs += 1;
      const jobId = jobs.toString(16).padStart(16, "0");
      const message: PeerMessageOf<"submit"> = {
        type: "submit",
        jobId,
        submissionId: `warm-up.${jobId}`,
        queue,
        job,
        availabilityZone: "",
        ageMs: 0,
        timeLeftMs: 5_000,
        resubmitted: false,
        leftCell: false,
        answerAt: "ended",
        doneTasks: [],
      };
      dispatch({ type: "peerMessage", from: "caller", message });
      pass(10);
    },
  };
}

type DistributiveOmit<T, K extends PropertyKey> = T extends unknown ? Omit<T, K>
  : never;

/**
 * Starts the artificial load. It ends by itself, or as soon as `isNeeded` returns
 * false, which it should once jobs arrive.
 */
export function startWarmUp(
  { isNeeded }: { isNeeded: () => boolean },
): () => void {
  const fleet = createWarmUpFleet();
  let jobs = 0;
  const timer = setInterval(() => {
    const startedAtMs = performance.now();
    while (performance.now() - startedAtMs < SLICE_MS) {
      if (jobs >= JOBS || !isNeeded()) {
        clearInterval(timer);
        return;
      }
      fleet.runJob();
      jobs += 1;
    }
  }, SLICE_INTERVAL_MS);
  timer.unref();
  return () => clearInterval(timer);
}
