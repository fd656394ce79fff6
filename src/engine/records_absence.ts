/**
 * Proof that the store has no records. After a loss of all instances, workers
 * list completions of jobs that no process remembers. While such a completion
 * may belong to a recorded job, its worker keeps it and gets no lease until those
 * of the previous owner have expired, which stops all starts of a fleet for a
 * second. A fleet that has never stored a job need not wait: the store proves it.
 */

import { emit, logDecision } from "./effects.ts";
import type {
  EngineEventOf,
  RecordsCheck,
  ReduceContext,
  Scheduler,
} from "./types.ts";

/** Delay of the next call after each outcome of one. */
const NEXT_CHECK_DELAY_MS: Record<RecordsCheck["kind"], number> = {
  // Runs of the previous leader go on to end, each with a completion.
  none: 100,
  // The owner of the records says when there are none any more.
  mayExist: 5_000,
  unavailable: 500,
};

/**
 * Asks the store whether records exist if completions of unknown jobs were read
 * after the latest proof that there are none.
 */
export function checkRecordsIfDue(
  context: ReduceContext,
  { records, workers, term }: Scheduler,
): void {
  const { nowMs, recordsExist, hasZoneCells } = context.state;
  const { absence, phase } = records;
  // The leader of a single cell reads the records itself.
  if (!hasZoneCells || !recordsExist || phase !== "closed") return;
  if (nowMs < absence.nextCheckAtMs) return;
  let isWanted = false;
  for (const { orphanCompletions, orphansReadAtMs } of workers.values()) {
    isWanted ||= orphanCompletions.length > 0 &&
      orphansReadAtMs >= absence.provedAtMs;
  }
  if (!isWanted) return;
  absence.nextCheckAtMs = Infinity;
  emit(context, { type: "checkRecords", term, sentAtMs: nowMs });
}

/** Handles the answer of the store whether records exist. */
export function onRecordsChecked(
  context: ReduceContext,
  { term, sentAtMs, outcome }: EngineEventOf<"recordsChecked">,
): void {
  const { state } = context;
  const { scheduler } = state;
  if (scheduler === null || scheduler.term !== term) return;
  const { absence } = scheduler.records;
  absence.nextCheckAtMs = state.nowMs + NEXT_CHECK_DELAY_MS[outcome.kind];
  if (outcome.kind !== "none") return;
  if (absence.provedAtMs === -Infinity) {
    logDecision(context, {
      part: "records",
      text: "store has no records; completions of unknown jobs are discarded",
    }, { term, tookMs: Math.round(state.nowMs - sentAtMs) });
  }
  absence.provedAtMs = Math.max(absence.provedAtMs, sentAtMs);
}
