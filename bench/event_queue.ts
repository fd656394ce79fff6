/** A priority queue of callbacks to run at simulated times. */

interface ScheduledEvent {
  readonly atMs: number;
  /** Scheduling order; breaks ties between events at the same time. */
  readonly sequence: number;
  readonly run: () => void;
}

/** Runs callbacks in the order of their simulated times. */
export interface EventQueue {
  readonly nowMs: () => number;
  /** Schedules a callback; a time in the past means now. */
  readonly at: (atMs: number, run: () => void) => void;
  /**
   * Requests that continuations of settled promises run before the next event.
   */
  readonly flushPromises: () => void;
  /** Runs all events up to a time and advances the clock to it. */
  readonly runUntil: (endMs: number) => Promise<void>;
}

/** Creates an empty queue whose clock is at zero. */
export function createEventQueue(): EventQueue {
  const heap: ScheduledEvent[] = [];
  let nowMs = 0;
  let lastSequence = 0;
  let flushRequested = false;

  function isBefore(a: ScheduledEvent, b: ScheduledEvent): boolean {
    return a.atMs !== b.atMs ? a.atMs < b.atMs : a.sequence < b.sequence;
  }

  function push(event: ScheduledEvent): void {
    let index = heap.length;
    heap.push(event);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      const parentEvent = heap[parent] as ScheduledEvent;
      if (!isBefore(event, parentEvent)) break;
      heap[index] = parentEvent;
      index = parent;
    }
    heap[index] = event;
  }

  function pop(): ScheduledEvent {
    const top = heap[0] as ScheduledEvent;
    const last = heap.pop() as ScheduledEvent;
    if (heap.length > 0) siftDown(last);
    return top;
  }

  function siftDown(event: ScheduledEvent): void {
    let index = 0;
    while (true) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      const right = child + 1;
      if (
        right < heap.length &&
        isBefore(heap[right] as ScheduledEvent, heap[child] as ScheduledEvent)
      ) child = right;
      const childEvent = heap[child] as ScheduledEvent;
      if (!isBefore(childEvent, event)) break;
      heap[index] = childEvent;
      index = child;
    }
    heap[index] = event;
  }

  return {
    nowMs: () => nowMs,
    at(atMs, run) {
      lastSequence += 1;
      push({ atMs: Math.max(atMs, nowMs), sequence: lastSequence, run });
    },
    flushPromises() {
      flushRequested = true;
    },
    async runUntil(endMs) {
      while (heap.length > 0 && (heap[0] as ScheduledEvent).atMs <= endMs) {
        const event = pop();
        nowMs = event.atMs;
        event.run();
        if (!flushRequested) continue;
        flushRequested = false;
        await new Promise((resolve) => setImmediate(resolve));
      }
      nowMs = endMs;
    },
  };
}
