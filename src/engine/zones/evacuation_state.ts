/** What an instance knows of evacuated zones. */

/** The state of an instance whose settings bound the time of an evacuation. */
export interface EvacuationState {
  /**
   * Time after the write of an evacuation from which on no task starts in its
   * zone.
   */
  readonly evacuateMs: number;
  /** Time after a read or an attempt for which a leader starts tasks by it. */
  readonly trustMs: number;
  /**
   * The evacuated zones as last known, each with the time from which on also jobs
   * that have started get no worker there; empty while nothing is known.
   */
  zones: ReadonlyMap<string, number>;
  /**
   * Time since which these zones are known: that of the request to the store,
   * here or by a peer, or an earlier one; -Infinity if nothing is known.
   */
  knownAtMs: number;
  /**
   * Time of the latest request to the store in this leader's term that was
   * answered or failed; -Infinity if there was none.
   */
  attemptedAtMs: number;
  /** Time of the request that has no outcome yet; null if there is none. */
  pendingSinceMs: number | null;
  /** Time from which on a leader asks the store again. */
  nextReadAtMs: number;
  /**
   * The latest suspension of the host, which the monotonic clock does not show:
   * its end by this clock, and its duration.
   */
  suspension: { readonly endedAtMs: number; readonly forMs: number };
  /** The latest request failed. */
  isUnreadable: boolean;
}
