/** A queue of things to do at simulated times. */

interface Entry {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

/** Runs things in the order of their times. */
export interface EventQueue {
  readonly nowMs: () => number;
  readonly at: (atMs: number, run: () => void) => void;
  /** Lets promises that were settled go on before the next thing runs. */
  readonly settlePromises: () => void;
  readonly runUntil: (endMs: number) => Promise<void>;
}

/** Creates an empty queue at time zero. */
export function createEventQueue(): EventQueue {
  const heap: Entry[] = [];
  let nowMs = 0;
  let order = 0;
  let promisesSettled = false;

  function before(a: Entry, b: Entry): boolean {
    return a.atMs !== b.atMs ? a.atMs < b.atMs : a.order < b.order;
  }

  function push(entry: Entry): void {
    let at = heap.length;
    heap.push(entry);
    while (at > 0) {
      const parent = (at - 1) >> 1;
      const above = heap[parent] as Entry;
      if (!before(entry, above)) break;
      heap[at] = above;
      at = parent;
    }
    heap[at] = entry;
  }

  function pop(): Entry {
    const top = heap[0] as Entry;
    const last = heap.pop() as Entry;
    if (heap.length > 0) sink(last);
    return top;
  }

  function sink(entry: Entry): void {
    let at = 0;
    while (true) {
      let child = 2 * at + 1;
      if (child >= heap.length) break;
      const right = child + 1;
      if (
        right < heap.length &&
        before(heap[right] as Entry, heap[child] as Entry)
      ) child = right;
      const below = heap[child] as Entry;
      if (!before(below, entry)) break;
      heap[at] = below;
      at = child;
    }
    heap[at] = entry;
  }

  return {
    nowMs: () => nowMs,
    at(atMs, run) {
      order += 1;
      push({ atMs: Math.max(atMs, nowMs), order, run });
    },
    settlePromises() {
      promisesSettled = true;
    },
    async runUntil(endMs) {
      while (heap.length > 0 && (heap[0] as Entry).atMs <= endMs) {
        const entry = pop();
        nowMs = entry.atMs;
        entry.run();
        if (!promisesSettled) continue;
        promisesSettled = false;
        await new Promise((resolve) => setImmediate(resolve));
      }
      nowMs = endMs;
    },
  };
}
