/** The interface through which a process reads time. */

/** Provides monotonic and wall-clock time. */
export interface ClockHost {
  /**
   * Monotonic time in milliseconds. Advances while the event loop is blocked,
   * but not while the host is suspended.
   */
  readonly nowMs: () => number;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  readonly wallMs: () => number;
}
