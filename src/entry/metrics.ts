/**
 * Sends the engine's counters and numbers of jobs to the statsd server of the
 * settings, if any.
 */

import { StatsD } from "hot-shots";
import { partlyStartedCount } from "../engine/overload/reports.ts";
import type { Counters, EngineState } from "../engine/types.ts";
import type { MetricValue } from "../instance/metrics.ts";
import type { Settings } from "../settings/schema.ts";

/** Interval at which metrics are sent. */
const METRICS_INTERVAL_MS = 1_000;

/** The values of the client limits that only grow. */
const CLIENT_COUNTERS: ReadonlySet<string> = new Set([
  "clientConnectionsClosed",
  "clientConnectionsPaused",
  "clientRequestsRefused",
]);

/** Starts sending metrics; returns a function that stops it. */
export function startMetrics(
  settings: Settings["metrics"],
  state: EngineState,
  readValues: () => readonly MetricValue[],
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
  const lastCounters: Counters = { ...state.counters };
  const lastValues = new Map<string, number>();

  /** Sends counters as increments and gauges as they are. */
  function sendClientValue([name, labels, value]: MetricValue): void {
    const tags = labels.replaceAll('"', "").replaceAll("=", ":").split(",")
      .filter((tag) => tag !== "");
    const key = `${name} ${labels}`;
    const isCounter = CLIENT_COUNTERS.has(name);
    if (isCounter) {
      client.increment(name, value - (lastValues.get(key) ?? 0), tags);
    } else client.gauge(name, value, tags);
    lastValues.set(key, value);
  }

  const timer = setInterval(() => {
    for (const name of Object.keys(lastCounters) as (keyof Counters)[]) {
      client.increment(name, state.counters[name] - lastCounters[name]);
      lastCounters[name] = state.counters[name];
    }
    for (const value of readValues()) sendClientValue(value);
    client.gauge("callerJobs", state.callerJobs.size);
    client.gauge("jobsAtLeader", state.scheduler?.jobs.size ?? 0);
    client.gauge(
      "jobsPartlyStarted",
      state.scheduler === null ? 0 : partlyStartedCount(state.scheduler),
    );
  }, METRICS_INTERVAL_MS);
  return () => {
    clearInterval(timer);
    client.close(() => {});
  };
}
