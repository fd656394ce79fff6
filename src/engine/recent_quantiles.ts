/** Quantiles of the latest values of a measurement, such as run times. */

import * as hdr from "hdr-histogram-js";

/** Number of values after which the older half of the window is discarded. */
const HALF_WINDOW = 400;
/** Largest value that is distinguished; greater ones count as this value. */
const MAX_VALUE = 600_000;
/** Number of new values after which a quantile is computed again. */
const REFRESH_INTERVAL = 8;

/** Quantiles of the latest `HALF_WINDOW` to twice as many values. */
export interface RecentQuantiles {
  readonly observe: (value: number) => void;
  /** Number of values in the window. */
  readonly count: () => number;
  /** Returns a quantile, given as a percentage; 0 without values. */
  readonly at: (percentile: number) => number;
}

function createHistogram(): hdr.Histogram {
  return hdr.build({
    highestTrackableValue: MAX_VALUE,
    numberOfSignificantValueDigits: 2,
    bitBucketSize: 16,
    useWebAssembly: false,
  });
}

/**
 * Creates quantiles without values.
 *
 * @example
 * ```ts
 * const quantiles = createRecentQuantiles();
 * quantiles.observe(80);
 * quantiles.at(99); // 80
 * ```
 */
export function createRecentQuantiles(): RecentQuantiles {
  let current = createHistogram();
  let previous = createHistogram();
  let valuesSinceRefresh = 0;
  const computed = new Map<number, number>();

  function compute(percentile: number): number {
    const window = createHistogram();
    window.add(previous);
    window.add(current);
    return window.getValueAtPercentile(percentile);
  }

  return {
    observe(value) {
      if (current.totalCount >= HALF_WINDOW) {
        [current, previous] = [previous, current];
        current.reset();
      }
      current.recordValue(Math.max(1, Math.min(MAX_VALUE, Math.round(value))));
      valuesSinceRefresh += 1;
      if (valuesSinceRefresh < REFRESH_INTERVAL) return;
      valuesSinceRefresh = 0;
      computed.clear();
    },
    count: () => current.totalCount + previous.totalCount,
    at(percentile) {
      if (current.totalCount + previous.totalCount === 0) return 0;
      const known = computed.get(percentile);
      if (known !== undefined) return known;
      const value = compute(percentile);
      computed.set(percentile, value);
      return value;
    },
  };
}
