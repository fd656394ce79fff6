/** Counters and latency histograms of an instance, as text. */

import { createServer, type Server } from "node:http";
import * as hdr from "hdr-histogram-js";
import { partlyStartedCount } from "../engine/overload/reports.ts";
import type { CallerReply, EngineState } from "../engine/types.ts";
import { GUARDED_SERVER_OPTIONS } from "../host/guarded_server.ts";

/** Latencies above this are recorded as this value. */
const MAX_LATENCY_MS = 120_000;
const PERCENTILES = [50, 90, 99, 99.9];

/** The metrics of an instance. */
export interface Metrics {
  /** Records the outcome and the latency of an answer to a caller. */
  readonly observeAnswer: (outcome: CallerReply, tookMs: number) => void;
  /** Records how long the engine handled an event. */
  readonly observeEvent: (tookMs: number) => void;
  /** Adds values that are read whenever the text is. */
  readonly addValues: (read: () => readonly MetricValue[]) => void;
  /** Returns one line for each value: a name, labels, and the value. */
  readonly text: () => string;
}

/** A counter or a gauge; the labels may be empty. */
export type MetricValue = [name: string, labels: string, value: number];

/**
 * Creates the metrics of an instance.
 *
 * @example
 * ```ts
 * const metrics = createMetrics(state);
 * metrics.observeAnswer({ kind: "done" }, 180);
 * metrics.text(); // includes bronzemill_answer_ms{outcome="done",p="50"} 180
 * ```
 */
export function createMetrics(state: EngineState): Metrics {
  const latencies = new Map<CallerReply["kind"], hdr.Histogram>();
  const sources: (() => readonly MetricValue[])[] = [];
  let longestEventMs = 0;

  function histogramOf(kind: CallerReply["kind"]): hdr.Histogram {
    let histogram = latencies.get(kind);
    if (histogram === undefined) {
      histogram = hdr.build({
        highestTrackableValue: MAX_LATENCY_MS,
        numberOfSignificantValueDigits: 2,
        bitBucketSize: 32,
        useWebAssembly: false,
      });
      latencies.set(kind, histogram);
    }
    return histogram;
  }

  return {
    observeAnswer({ kind }, tookMs) {
      histogramOf(kind).recordValue(
        Math.min(MAX_LATENCY_MS, Math.round(tookMs)),
      );
    },
    observeEvent(tookMs) {
      longestEventMs = Math.max(longestEventMs, tookMs);
    },
    addValues: (read) => void sources.push(read),
    text() {
      const lines = [
        ...counterLines(state),
        ...refusalLines(state),
        ...gaugeLines(state),
        ...sources.flatMap((read) => read().map(lineOf)),
        `bronzemill_longestEventMs ${Math.round(longestEventMs)}`,
      ];
      for (const [kind, histogram] of latencies) {
        for (const percentile of PERCENTILES) {
          const value = histogram.getValueAtPercentile(percentile);
          const labels = `outcome="${kind}",p="${percentile}"`;
          lines.push(`bronzemill_answer_ms{${labels}} ${value}`);
        }
        const labels = `outcome="${kind}"`;
        lines.push(`bronzemill_answers{${labels}} ${histogram.totalCount}`);
      }
      return `${lines.join("\n")}\n`;
    },
  };
}

/** The bounds on callers, where there are some. */
function limitLines({ limits }: EngineState): string[] {
  if (!Number.isFinite(limits.maxQueries)) return [];
  return [
    `bronzemill_jobBytesLimit ${limits.maxJobBytesAtLeader}`,
    `bronzemill_queriesLimit ${limits.maxQueries}`,
  ];
}

function lineOf([name, labels, value]: MetricValue): string {
  return `bronzemill_${name}${labels === "" ? "" : `{${labels}}`} ${value}`;
}

function counterLines({ counters }: EngineState): string[] {
  return Object.entries(counters)
    .map(([name, value]) => `bronzemill_${name} ${value}`);
}

/** Returns the refusals by this instance as the leader. */
function refusalLines({ refusals }: EngineState): string[] {
  return [...refusals.values()].map(({ reason, priority, count }) =>
    `bronzemill_refusals{reason="${reason}",priority="${priority}"} ${count}`
  );
}

function gaugeLines(state: EngineState): string[] {
  const { scheduler } = state;
  return [
    ...limitLines(state),
    `bronzemill_isLeader ${scheduler === null ? 0 : 1}`,
    `bronzemill_callerJobs ${state.callerJobs.size}`,
    `bronzemill_workersListed ${state.workers.size}`,
    `bronzemill_jobsAtLeader ${scheduler?.jobs.size ?? 0}`,
    `bronzemill_jobBytesAtLeader ${scheduler?.jobs.totalBytes ?? 0}`,
    `bronzemill_jobsClaimedElsewhere ${scheduler?.claims.byJob.size ?? 0}`,
    `bronzemill_queriesWaiting ${state.pendingQueries.size}`,
    `bronzemill_workersBorrowed ${scheduler?.loans.borrowed.size ?? 0}`,
    `bronzemill_jobsPartlyStarted ${
      scheduler === null ? 0 : partlyStartedCount(scheduler)
    }`,
    `bronzemill_workersLent ${scheduler?.loans.lent.size ?? 0}`,
    ...(state.evacuation === null
      ? []
      : [`bronzemill_zonesEvacuated ${state.evacuation.zones.size}`]),
    `bronzemill_jobsElsewhereShare ${jobsElsewhereShare(state)}`,
    `bronzemill_configurationVersion ${state.configuration?.version ?? -1}`,
    `bronzemill_configurationProofAgeMs ${proofAgeMs(state)}`,
  ];
}

/** The share of its zone's jobs that this leader has handed to other zones. */
function jobsElsewhereShare({ scheduler }: EngineState): number {
  if (scheduler === null || scheduler.sharing.ownJobs === 0) return 0;
  const { ownJobs, jobsByZone } = scheduler.sharing;
  const count = [...jobsByZone.values()].reduce((sum, jobs) => sum + jobs, 0);
  return Math.round(100 * count / ownJobs) / 100;
}

/**
 * Time since the configuration in effect was known to be the newest; -1 if it
 * has not been.
 */
function proofAgeMs({ nowMs, configurationSync }: EngineState): number {
  const { provenAtMs } = configurationSync;
  return provenAtMs === -Infinity ? -1 : Math.round(nowMs - provenAtMs);
}

/** Creates an HTTP server that serves the metrics at `/metrics`. */
export function createMetricsListener(metrics: Metrics): Server {
  return createServer(GUARDED_SERVER_OPTIONS, (request, response) => {
    const found = request.url === "/metrics";
    const body = found ? metrics.text() : "";
    response.writeHead(found ? 200 : 404, {
      "content-type": "text/plain; charset=utf-8",
      "content-length": Buffer.byteLength(body),
    });
    response.end(body);
  });
}
