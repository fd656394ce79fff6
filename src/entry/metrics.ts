/** Sends the core's counters to a statsd server, where settings name one. */

import { StatsD } from "hot-shots";
import type { CoreState, Counters } from "../core/types.ts";
import type { Settings } from "../settings/schema.ts";

/** How often metrics are sent. */
const METRICS_EVERY_MS = 1_000;

/** Starts to send metrics; the function returned stops it. */
export function startMetrics(
  settings: Settings["metrics"],
  state: CoreState,
): () => void {
  if (settings === undefined) return () => {};
  const client = new StatsD({
    host: settings.host,
    port: settings.port,
    prefix: settings.prefix,
    globalTags: { slot: state.self.slot, zone: state.self.availabilityZone },
    errorHandler: () => {},
  });
  const before: Counters = { ...state.counters };
  const timer = setInterval(() => {
    for (const name of Object.keys(before) as (keyof Counters)[]) {
      client.increment(name, state.counters[name] - before[name]);
      before[name] = state.counters[name];
    }
    client.gauge("jobs", state.jobs.size);
    client.gauge("sends", state.sends.size);
  }, METRICS_EVERY_MS);
  return () => {
    clearInterval(timer);
    client.close(() => {});
  };
}
