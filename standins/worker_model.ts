/**
 * A worker in randomised runs and stand-ins: it starts what it is told, checks fencing
 * tokens, lets leases lapse, and can be late, lose answers, hang and start
 * again. It is the truth that promises are checked against.
 */

import type {
  FinishedRow,
  PollOutcome,
  RunOutcome,
  StartOutcome,
  StopOutcome,
} from "../src/engine/types.ts";
import type { EffectOf } from "../src/instance/hosts.ts";

/** One run on a worker, in truth. */
export interface SimulatedRun {
  readonly taskName: string;
  readonly run: number;
  readonly cpuMilli: number;
  readonly startedAtMs: number;
  readonly endsAtMs: number;
  readonly fails: boolean;
  readonly result?: string | undefined;
}

/** What a task needs and how long it runs, in truth. */
export interface SimulatedTask {
  readonly cpuMilli: number;
  readonly runMs: number;
  readonly fails: boolean;
  readonly result?: string;
}

/** What a fake worker is made from. */
export interface FakeWorkerOptions {
  readonly workerId: string;
  readonly availabilityZone: string;
  readonly cpuMilli: number;
  readonly runTimeFactor: number;
  readonly leaseMs: number;
  readonly taskOf: (call: EffectOf<"startTask">) => SimulatedTask | undefined;
  readonly onStart: (worker: FakeWorker, run: SimulatedRun) => void;
  readonly onCompletion: (
    worker: FakeWorker,
    run: SimulatedRun,
    end: RunOutcome,
  ) => void;
}

/** A worker's state and its answers to calls. */
export interface FakeWorker {
  readonly workerId: string;
  readonly availabilityZone: string;
  readonly cpuMilli: number;
  readonly running: Map<string, SimulatedRun>;
  /** Ends that it was not told to forget. */
  readonly finished: readonly FinishedRow[];
  /** The highest fencing token that it has seen. */
  readonly fence: () => number;
  startedAtMs: number;
  draining: boolean;
  alive: boolean;
  /** Runs make no progress. */
  hangs: boolean;
  /** Everything that starts fails at once. */
  failsAll: boolean;
  readonly usedCpuMilli: () => number;
  /** Ends what has ended by now. */
  readonly advance: (nowMs: number) => void;
  readonly start: (call: EffectOf<"startTask">, nowMs: number) => StartOutcome;
  readonly stop: (call: EffectOf<"stopTask">, nowMs: number) => StopOutcome;
  /** Null while the call still waits for an end. */
  readonly poll: (
    call: EffectOf<"hold">,
    nowMs: number,
    untilMs: number,
  ) => PollOutcome | null;
  readonly restart: (nowMs: number) => void;
}

/** Creates a worker whose clock began at its birth. */
export function createFakeWorker(options: FakeWorkerOptions): FakeWorker {
  const running = new Map<string, SimulatedRun>();
  const finished: FinishedRow[] = [];
  const highestRun = new Map<string, number>();
  let fence = 0;
  let leaseEndsMs = 0;
  let nextEnd = 1;

  function endRun(run: SimulatedRun, end: RunOutcome): void {
    running.delete(run.taskName);
    const { taskName, result } = run;
    finished.push({
      sequence: nextEnd,
      taskName,
      run: run.run,
      end,
      ...(end === "done" && result !== undefined ? { result } : {}),
    });
    nextEnd += 1;
    options.onCompletion(worker, run, end);
  }

  function noteRun(taskName: string, run: number): void {
    highestRun.set(taskName, Math.max(run, highestRun.get(taskName) ?? 0));
  }

  function extendLease(endsOnClockMs: number, nowMs: number): void {
    const endsMs = Math.min(
      endsOnClockMs + worker.startedAtMs,
      nowMs + options.leaseMs,
    );
    leaseEndsMs = Math.max(leaseEndsMs, endsMs);
  }

  const worker: FakeWorker = {
    workerId: options.workerId,
    availabilityZone: options.availabilityZone,
    cpuMilli: options.cpuMilli,
    running,
    finished,
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
        const beforeEnd = worker.hangs || leaseEndsMs <= run.endsAtMs;
        if (leaseEndsMs <= nowMs && beforeEnd) {
          endRun(run, "lapsed");
        } else if (run.endsAtMs <= nowMs && !worker.hangs) {
          endRun(run, run.fails ? "failed" : "done");
        }
      }
    },
    start(call, nowMs) {
      if (call.fence < fence) return { kind: "refused", reason: "fenced" };
      fence = call.fence;
      if (call.leaseEndsMs + worker.startedAtMs <= nowMs) {
        return { kind: "refused", reason: "late" };
      }
      const clockMs = nowMs - worker.startedAtMs;
      const present = running.get(call.taskName);
      if (present?.run === call.run) return { kind: "started", clockMs };
      if (call.run <= (highestRun.get(call.taskName) ?? 0)) {
        return { kind: "refused", reason: "oldRun" };
      }
      const task = options.taskOf(call);
      if (task === undefined) return { kind: "unknown", detail: "no task" };
      noteRun(call.taskName, call.run);
      extendLease(call.leaseEndsMs, nowMs);
      const runMs = worker.failsAll ? 1 : task.runMs * options.runTimeFactor;
      const run: SimulatedRun = {
        taskName: call.taskName,
        run: call.run,
        cpuMilli: task.cpuMilli,
        startedAtMs: nowMs,
        endsAtMs: nowMs + runMs,
        fails: task.fails || worker.failsAll,
        result: task.result,
      };
      running.set(call.taskName, run);
      options.onStart(worker, run);
      return { kind: "started", clockMs };
    },
    stop(call, nowMs) {
      if (call.fence < fence) return { kind: "fenced" };
      fence = call.fence;
      worker.advance(nowMs);
      noteRun(call.taskName, call.run);
      const present = running.get(call.taskName);
      if (present !== undefined && present.run <= call.run) {
        endRun(present, "stopped");
      }
      return { kind: "stopped" };
    },
    poll(call, nowMs, untilMs) {
      if (call.fence < fence) return { kind: "fenced" };
      fence = call.fence;
      if (call.leaseEndsMs !== null) extendLease(call.leaseEndsMs, nowMs);
      worker.advance(nowMs);
      while ((finished[0]?.sequence ?? Infinity) <= call.lastSeenEnd) {
        finished.shift();
      }
      if (finished.length === 0 && nowMs < untilMs) return null;
      return {
        kind: "held",
        clockMs: nowMs - worker.startedAtMs,
        bornMs: worker.startedAtMs,
        running: [...running.values()].map(({ taskName, run }) => ({
          taskName,
          run,
          percent: 50,
        })),
        finished: [...finished],
      };
    },
    restart(nowMs) {
      for (const run of [...running.values()]) {
        running.delete(run.taskName);
        options.onCompletion(worker, run, "broken");
      }
      finished.length = 0;
      highestRun.clear();
      fence = 0;
      leaseEndsMs = 0;
      nextEnd = 1;
      worker.startedAtMs = nowMs;
      worker.alive = true;
    },
  };
  return worker;
}
