/** The interface through which a process reads time. */

/** Provides monotonic and wall-clock time. */
export interface ClockHost {
  /** Monotonic time in milliseconds; advances while the process is paused. */
  readonly nowMs: () => number;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  readonly wallMs: () => number;
}
