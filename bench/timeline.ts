/** Simulated time: work in the order of its moment. */

/** A queue of work that runs in simulated time. */
export interface Timeline {
  readonly nowMs: () => number;
  readonly after: (delayMs: number, work: () => void) => void;
  /** Runs everything up to a moment. */
  readonly runUntil: (endMs: number) => void;
}

interface Entry {
  readonly atMs: number;
  readonly order: number;
  readonly work: () => void;
}

function isBefore(a: Entry, b: Entry): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
}

/** Creates a timeline that stands at zero; the queue is a binary heap. */
export function createTimeline(): Timeline {
  const heap: Entry[] = [];
  let now = 0;
  let order = 0;

  function swap(i: number, j: number): void {
    const held = heap[i]!;
    heap[i] = heap[j]!;
    heap[j] = held;
  }

  function push(entry: Entry): void {
    heap.push(entry);
    let at = heap.length - 1;
    while (at > 0) {
      const parent = (at - 1) >> 1;
      if (!isBefore(heap[at]!, heap[parent]!)) break;
      swap(at, parent);
      at = parent;
    }
  }

  function sink(): void {
    let at = 0;
    for (;;) {
      const left = 2 * at + 1;
      const right = left + 1;
      let least = at;
      if (left < heap.length && isBefore(heap[left]!, heap[least]!)) {
        least = left;
      }
      if (right < heap.length && isBefore(heap[right]!, heap[least]!)) {
        least = right;
      }
      if (least === at) return;
      swap(at, least);
      at = least;
    }
  }

  function pop(): Entry {
    const first = heap[0]!;
    const last = heap.pop()!;
    if (heap.length > 0) {
      heap[0] = last;
      sink();
    }
    return first;
  }

  return {
    nowMs: () => now,
    after(delayMs, work) {
      order += 1;
      push({ atMs: now + Math.max(0, delayMs), order, work });
    },
    runUntil(endMs) {
      while (heap.length > 0 && heap[0]!.atMs <= endMs) {
        const entry = pop();
        now = entry.atMs;
        entry.work();
      }
      now = endMs;
    },
  };
}
