/** Where time comes from. */

/** The clocks of a process. */
export interface ClockHost {
  /** Monotonic milliseconds; goes on while the process is stopped. */
  readonly nowMs: () => number;
  /** Milliseconds since the Unix epoch. */
  readonly wallMs: () => number;
}
