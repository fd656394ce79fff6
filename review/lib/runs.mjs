/** What the executors have seen: starts, ends, and ends taken note of. */

export function createRuns(record) {
  /** Runs in the order of their starts. */
  const runs = [];
  const now = () => performance.now();

  function find({ executor, task, run }) {
    return runs.findLast((entry) =>
      entry.executor === executor && entry.task === task && entry.run === run
    );
  }

  return {
    runs,
    events: {
      started({ executor, task, run }) {
        runs.push({
          executor,
          task,
          run,
          startedAtMs: now(),
          endedAtMs: Infinity,
          how: null,
          notedAtMs: Infinity,
        });
        record(`executor ${executor}: start ${task} run ${run}`);
      },
      stopping({ executor, task, run }) {
        record(`executor ${executor}: told to stop ${task} run ${run}`);
      },
      ended({ executor, task, run, how, n }) {
        const entry = find({ executor, task, run });
        if (entry !== undefined) {
          Object.assign(entry, { endedAtMs: now(), how });
        }
        record(`executor ${executor}: end ${n} ${task} run ${run} ${how}`);
      },
      noted({ executor, task, run, n, counts }) {
        const entry = find({ executor, task, run });
        if (entry !== undefined && counts) entry.notedAtMs = now();
        record(
          `executor ${executor}: end ${n} ${task} run ${run} taken note of` +
            (counts ? "" : ", but the lease lapsed before"),
        );
      },
      fenced({ executor, fence }) {
        record(`executor ${executor}: fence ${fence}`);
      },
    },
    /** Pairs of runs of one task that ran at the same time. */
    overlaps() {
      const found = [];
      for (const [index, a] of runs.entries()) {
        for (const b of runs.slice(index + 1)) {
          if (a.task !== b.task) continue;
          const fromMs = Math.max(a.startedAtMs, b.startedAtMs);
          const toMs = Math.min(a.endedAtMs, b.endedAtMs, now());
          if (toMs > fromMs) found.push({ a, b, ms: toMs - fromMs });
        }
      }
      return found;
    },
    /** Starts after a run of the task had ended `done`, which was noted. */
    startsAfterDone() {
      return startsAfter(runs, "done", 1);
    },
    /** Starts after `attempts` runs of the task had ended `failed`. */
    startsBeyondAttempts(attempts) {
      return startsAfter(runs, "failed", attempts);
    },
  };
}

function startsAfter(runs, how, count) {
  return runs.filter((later) =>
    runs.filter((earlier) =>
      earlier.task === later.task && earlier.how === how &&
      earlier.endedAtMs < later.startedAtMs &&
      Number.isFinite(earlier.notedAtMs)
    ).length >= count
  );
}
