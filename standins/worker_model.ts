/**
 * A fake worker for randomized runs and stand-ins: it starts tasks, checks
 * fencing tokens, completes runs whose lease expired, and can hang, fail every
 * task and restart. Its state is the ground truth for checks of the guarantees.
 */

import type {
  FinishedRow,
  PollOutcome,
  RunOutcome,
  StartOutcome,
  StopOutcome,
} from "../src/engine/types.ts";
import type { EffectOf } from "../src/instance/hosts.ts";

/** A run that was actually started on a worker. */
export interface SimulatedRun {
  readonly taskName: string;
  readonly run: number;
  /** Fencing token of the call that started it. */
  readonly fence: number;
  readonly cpuMilli: number;
  readonly startedAtMs: number;
  readonly endsAtMs: number;
  readonly fails: boolean;
  readonly result?: string | undefined;
  /** Progress in the latest answer. */
  percent: number;
}

/** The actual resource use, run time and outcome of a task. */
export interface SimulatedTask {
  readonly cpuMilli: number;
  readonly runMs: number;
  readonly fails: boolean;
  /** Whether the task crashes each worker that starts it. */
  readonly isDeadly?: boolean;
  readonly result?: string;
}

/** Options of a fake worker. */
export interface FakeWorkerOptions {
  readonly workerId: string;
  readonly availabilityZone: string;
  readonly cpuMilli: number;
  /** Factor by which run times are multiplied; above 1 is slower. */
  readonly runTimeFactor: number;
  /** Upper bound on the lease that one call can grant. */
  readonly leaseMs: number;
  /** Rate of its clock, on which leases are measured; 1 if undefined. */
  readonly clockRate?: number;
  /** Returns the task that a call starts, or undefined if there is none. */
  readonly taskOf: (call: EffectOf<"startTask">) => SimulatedTask | undefined;
  readonly onStart: (worker: FakeWorker, run: SimulatedRun) => void;
  readonly onCompletion: (
    worker: FakeWorker,
    run: SimulatedRun,
    outcome: RunOutcome,
  ) => void;
}

/** A worker's state and its answers to calls. */
export interface FakeWorker {
  readonly workerId: string;
  readonly availabilityZone: string;
  /** Its capacity, which may shrink and grow. */
  cpuMilli: number;
  readonly running: Map<string, SimulatedRun>;
  /** Retained completions: those not acknowledged yet. */
  readonly finished: readonly FinishedRow[];
  /**
   * Whether the lease was interrupted between the end of a retained completion's
   * run and now.
   */
  readonly hasLapsedSince: (sequence: number, nowMs: number) => boolean;
  /** Returns when the run of a retained completion ended. */
  readonly endedAtMs: (sequence: number) => number;
  /** Returns the highest fencing token received. */
  readonly fence: () => number;
  /** When the current incarnation started; `bornMs` on the wire. */
  startedAtMs: number;
  draining: boolean;
  alive: boolean;
  /**
   * Whether runs never finish by themselves, but only through a stop, a restart
   * or the expiry of the lease.
   */
  hangs: boolean;
  /** Whether every run that starts fails after 1 ms. */
  failsAll: boolean;
  readonly usedCpuMilli: () => number;
  /** Completes the runs that finished or whose lease expired by now. */
  readonly advance: (nowMs: number) => void;
  readonly start: (call: EffectOf<"startTask">, nowMs: number) => StartOutcome;
  readonly stop: (call: EffectOf<"stopTask">, nowMs: number) => StopOutcome;
  /**
   * Renews the lease and returns the lists of runs, or null while there is no
   * completion to report and the call may wait longer.
   */
  readonly poll: (
    call: EffectOf<"hold">,
    nowMs: number,
    untilMs: number,
  ) => PollOutcome | null;
  /** Ends the process with all runs; `restart` starts it again. */
  readonly crash: () => void;
  /** Starts a new incarnation, which has lost all runs and completions. */
  readonly restart: (nowMs: number) => void;
}

/** Creates a worker whose clock starts at zero with each incarnation. */
export function createFakeWorker(options: FakeWorkerOptions): FakeWorker {
  const running = new Map<string, SimulatedRun>();
  const finished: FinishedRow[] = [];
  const highestRunByTask = new Map<string, number>();
  /** Time at which the run of each retained completion ended, by sequence. */
  const endBySequence = new Map<number, number>();
  const { clockRate = 1 } = options;
  let fence = 0;
  let leaseEndsMs = 0;
  /** End of the latest lease that was followed by a time without one. */
  let lapsedAtMs = -Infinity;
  let nextSequence = 1;

  function completeRun(
    run: SimulatedRun,
    outcome: RunOutcome,
    atMs: number,
  ): void {
    running.delete(run.taskName);
    endBySequence.set(nextSequence, atMs);
    const { taskName, result } = run;
    finished.push({
      sequence: nextSequence,
      taskName,
      run: run.run,
      end: outcome,
      ...(outcome === "done" && result !== undefined ? { result } : {}),
    });
    nextSequence += 1;
    options.onCompletion(worker, run, outcome);
  }

  function updateProgress(nowMs: number): void {
    for (const run of running.values()) {
      const share = (nowMs - run.startedAtMs) /
        (run.endsAtMs - run.startedAtMs);
      run.percent = Math.min(100, Math.floor(100 * share));
    }
  }

  function trackHighestRun(taskName: string, run: number): void {
    highestRunByTask.set(
      taskName,
      Math.max(run, highestRunByTask.get(taskName) ?? 0),
    );
  }

  /** Returns the time on the worker's own clock. */
  function clockMs(nowMs: number): number {
    return (nowMs - worker.startedAtMs) * clockRate;
  }

  /** Extends the lease to an end given on the worker's own clock. */
  function extendLease(endsOnClockMs: number, nowMs: number): void {
    const endsMs = Math.min(
      endsOnClockMs / clockRate + worker.startedAtMs,
      nowMs + options.leaseMs / clockRate,
    );
    if (leaseEndsMs < nowMs) lapsedAtMs = leaseEndsMs;
    leaseEndsMs = Math.max(leaseEndsMs, endsMs);
  }

  const worker: FakeWorker = {
    workerId: options.workerId,
    availabilityZone: options.availabilityZone,
    cpuMilli: options.cpuMilli,
    running,
    finished,
    hasLapsedSince(sequence, nowMs) {
      const endMs = endBySequence.get(sequence) ?? nowMs;
      return lapsedAtMs >= endMs || leaseEndsMs < nowMs;
    },
    endedAtMs: (sequence) => endBySequence.get(sequence) ?? Infinity,
    fence: () => fence,
    startedAtMs: 0,
    draining: false,
    alive: true,
    hangs: false,
    failsAll: false,
    usedCpuMilli() {
      let used = 0;
      for (const run of running.values()) used += run.cpuMilli;
      return used;
    },
    advance(nowMs) {
      for (const run of [...running.values()]) {
        const expiresFirst = worker.hangs || leaseEndsMs <= run.endsAtMs;
        if (leaseEndsMs <= nowMs && expiresFirst) {
          completeRun(run, "lapsed", leaseEndsMs);
        } else if (run.endsAtMs <= nowMs && !worker.hangs) {
          completeRun(run, run.fails ? "failed" : "done", run.endsAtMs);
        }
      }
    },
    start(call, nowMs) {
      if (call.fence < fence) return { kind: "refused", reason: "fenced" };
      fence = call.fence;
      if (call.leaseEndsMs <= clockMs(nowMs)) {
        return { kind: "refused", reason: "late" };
      }
      const current = running.get(call.taskName);
      if (current?.run === call.run) {
        return { kind: "started", clockMs: clockMs(nowMs) };
      }
      if (call.run <= (highestRunByTask.get(call.taskName) ?? 0)) {
        extendLease(call.leaseEndsMs, nowMs);
        return { kind: "refused", reason: "oldRun" };
      }
      const task = options.taskOf(call);
      if (task === undefined) return { kind: "unknown", detail: "no task" };
      trackHighestRun(call.taskName, call.run);
      extendLease(call.leaseEndsMs, nowMs);
      const runMs = worker.failsAll ? 1 : task.runMs * options.runTimeFactor;
      const run: SimulatedRun = {
        taskName: call.taskName,
        run: call.run,
        fence: call.fence,
        cpuMilli: task.cpuMilli,
        startedAtMs: nowMs,
        endsAtMs: nowMs + runMs,
        fails: task.fails || worker.failsAll,
        result: task.result,
        percent: 0,
      };
      running.set(call.taskName, run);
      options.onStart(worker, run);
      return { kind: "started", clockMs: clockMs(nowMs) };
    },
    stop(call, nowMs) {
      if (call.fence < fence) return { kind: "fenced" };
      fence = call.fence;
      worker.advance(nowMs);
      trackHighestRun(call.taskName, call.run);
      const current = running.get(call.taskName);
      if (current !== undefined && current.run <= call.run) {
        completeRun(current, "stopped", nowMs);
      }
      return { kind: "stopped" };
    },
    poll(call, nowMs, untilMs) {
      if (call.fence < fence) return { kind: "fenced" };
      fence = call.fence;
      // Runs whose lease expired before this call have ended.
      worker.advance(nowMs);
      if (call.leaseEndsMs !== null) extendLease(call.leaseEndsMs, nowMs);
      while ((finished[0]?.sequence ?? Infinity) <= call.lastSeenEnd) {
        endBySequence.delete(finished.shift()?.sequence ?? 0);
      }
      if (finished.length === 0 && nowMs < untilMs) return null;
      if (!worker.hangs) updateProgress(nowMs);
      return {
        kind: "held",
        clockMs: clockMs(nowMs),
        bornMs: worker.startedAtMs,
        running: [...running.values()].map((run) => {
          const { taskName, percent } = run;
          return { taskName, run: run.run, percent };
        }),
        finished: [...finished],
      };
    },
    crash() {
      worker.alive = false;
      for (const run of [...running.values()]) {
        running.delete(run.taskName);
        options.onCompletion(worker, run, "broken");
      }
    },
    restart(nowMs) {
      worker.crash();
      finished.length = 0;
      highestRunByTask.clear();
      endBySequence.clear();
      fence = 0;
      leaseEndsMs = 0;
      lapsedAtMs = -Infinity;
      nextSequence = 1;
      worker.startedAtMs = nowMs;
      worker.alive = true;
    },
  };
  return worker;
}
