/** Sends the engine's counters to a statsd server, where settings name one. */

import { StatsD } from "hot-shots";
import type { Counters, EngineState } from "../engine/types.ts";
import type { Settings } from "../settings/schema.ts";

/** How often metrics are sent. */
const METRICS_EVERY_MS = 1_000;

/** Starts to send metrics; the function returned stops it. */
export function startMetrics(
  settings: Settings["metrics"],
  state: EngineState,
): () => void {
  if (settings === undefined) return () => {};
  const { instanceId, availabilityZone } = state.self;
  const client = new StatsD({
    host: settings.host,
    port: settings.port,
    prefix: settings.prefix,
    globalTags: { instance: instanceId, zone: availabilityZone },
    errorHandler: () => {},
  });
  const before: Counters = { ...state.counters };
  const timer = setInterval(() => {
    for (const name of Object.keys(before) as (keyof Counters)[]) {
      client.increment(name, state.counters[name] - before[name]);
      before[name] = state.counters[name];
    }
    client.gauge("callerJobs", state.callerJobs.size);
    client.gauge("jobsAtLeader", state.scheduler?.jobs.size ?? 0);
  }, METRICS_EVERY_MS);
  return () => {
    clearInterval(timer);
    client.close(() => {});
  };
}
