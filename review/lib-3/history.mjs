/** What the executors saw: the runs of each task, in the order of the clock. */

/** Starts and ends of all tasks, and the ends that were taken note of. */
export function readHistory(events) {
  const seen = events.filter(({ by, task }) => by === "executor" && task)
    .sort((a, b) => a.atMs - b.atMs);
  const noted = new Set();
  for (const { what, executor, task, run, isLapsed } of seen) {
    if (what === "noted" && !isLapsed) noted.add(`${executor} ${task} ${run}`);
  }
  return seen.map((event) => ({
    ...event,
    isNoted: noted.has(`${event.executor} ${event.task} ${event.run}`),
  }));
}

/**
 * TWICE, for jobs that are kept: a start after a run has ended `done`, if that end
 * is taken note of then or later, unless the lease lapsed in between; or two runs
 * at the same time.
 */
export function startsAfterDone(events) {
  const broken = [];
  const doneBy = new Map();
  const running = new Map();
  for (
    const { what, how, executor, task, run, isNoted } of readHistory(events)
  ) {
    const name = `run ${run} of ${task} on ${executor}`;
    if (what === "start") {
      const done = doneBy.get(task);
      const other = running.get(task);
      if (done !== undefined) {
        broken.push(
          `${name} starts after ${done} was done`,
        );
      }
      if (other !== undefined) {
        broken.push(
          `${name} starts while ${other} goes on`,
        );
      }
      running.set(task, name);
    } else if (what === "end") {
      running.delete(task);
      if (how === "done" && isNoted) doneBy.set(task, name);
    }
  }
  return broken;
}

/**
 * BUDGET: a start after `attempts` runs of the task have ended `failed`, if these
 * ends are taken note of then or later.
 */
export function startsBeyond(events, attempts) {
  const broken = [];
  const failures = new Map();
  for (
    const { what, how, executor, task, run, isNoted } of readHistory(events)
  ) {
    const failed = failures.get(task) ?? 0;
    if (what === "start" && failed >= attempts) {
      broken.push(
        `run ${run} of ${task} starts on ${executor} after ${failed} failed ` +
          `(attempts: ${attempts})`,
      );
    }
    if (what === "end" && how === "failed" && isNoted) {
      failures.set(task, failed + 1);
    }
  }
  return broken;
}
