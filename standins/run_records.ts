/**
 * Records of all runs on the workers of a stand-in, from which `bench/` checks
 * that no two runs of one task go on at the same time.
 */

import type { RunOutcome } from "../src/engine/types.ts";
import type { FakeWorker, SimulatedRun } from "./worker_model.ts";

/** One run. Its times are of {@linkcode monotonicMs}, in milliseconds. */
export interface RunRecord {
  readonly workerId: string;
  readonly taskName: string;
  readonly run: number;
  /** Fencing token of the call that started it, which shows the starter. */
  readonly fence: number;
  readonly startedAtMs: number;
  /** When the first call to stop it arrived; null if none did. */
  stopCalledAtMs: number | null;
  /** Null while it goes on. */
  endedAtMs: number | null;
  /** A run that ends `broken` was on a worker that went down. */
  end: RunOutcome | null;
  /** When a poll acknowledged its completion; null if none did. */
  notedAtMs: number | null;
  /** Whether its worker has not gone down since it started. */
  isWorkerUp: boolean;
}

/** Records the runs of several workers; the worker model calls it. */
export interface RunRecorder {
  readonly onStart: (worker: FakeWorker, run: SimulatedRun) => void;
  readonly onCompletion: (
    worker: FakeWorker,
    run: SimulatedRun,
    outcome: RunOutcome,
  ) => void;
  /** To be called before the worker handles a call that stops a task. */
  readonly onStopCall: (
    worker: FakeWorker,
    call: { readonly taskName: string; readonly run: number },
  ) => void;
  /** To be called before the worker handles a poll. */
  readonly onPoll: (
    worker: FakeWorker,
    poll: { readonly lastSeenEnd: number; readonly fence: number },
  ) => void;
  readonly records: readonly RunRecord[];
}

/** The system's monotonic clock, which all processes of a machine share. */
export function monotonicMs(): number {
  return Number(process.hrtime.bigint()) / 1e6;
}

/** Creates a recorder; `nowMs` is the clock of the worker model. */
export function createRunRecorder(
  { nowMs = monotonicMs }: { nowMs?: () => number } = {},
): RunRecorder {
  const records: RunRecord[] = [];
  const latestByRun = new Map<string, RunRecord>();
  const clockOffsetMs = monotonicMs() - nowMs();

  function find(
    { workerId }: FakeWorker,
    { taskName, run }: { taskName: string; run: number },
  ): RunRecord | undefined {
    return latestByRun.get(`${workerId} ${taskName} ${run}`);
  }

  return {
    records,
    onStart({ workerId }, { taskName, run, fence, startedAtMs }) {
      const record: RunRecord = {
        workerId,
        taskName,
        run,
        fence,
        startedAtMs: startedAtMs + clockOffsetMs,
        stopCalledAtMs: null,
        endedAtMs: null,
        end: null,
        notedAtMs: null,
        isWorkerUp: true,
      };
      records.push(record);
      latestByRun.set(`${workerId} ${taskName} ${run}`, record);
    },
    onCompletion(worker, run, outcome) {
      const record = find(worker, run);
      if (record === undefined) return;
      // A worker that went down lists no completion.
      const listed = worker.finished.at(-1);
      const isListed = listed?.taskName === run.taskName &&
        listed.run === run.run;
      record.endedAtMs = isListed
        ? worker.endedAtMs(listed.sequence) + clockOffsetMs
        : monotonicMs();
      record.end = outcome;
      record.isWorkerUp = outcome !== "broken";
    },
    onStopCall(worker, call) {
      const record = find(worker, call);
      if (record !== undefined) record.stopCalledAtMs ??= monotonicMs();
    },
    onPoll(worker, { lastSeenEnd, fence }) {
      if (fence < worker.fence()) return;
      for (const completion of worker.finished) {
        if (completion.sequence > lastSeenEnd) break;
        const record = find(worker, completion);
        if (record !== undefined) record.notedAtMs ??= monotonicMs();
      }
    },
  };
}
