/** Converts the operators' configuration for the engine and the listeners. */

import type { Configuration, QueueRule } from "../engine/schemas.ts";
import { applyPatch } from "./merge_patch.ts";
import {
  type ConfigurationDocument,
  configurationDocumentSchema,
  type SiteConfiguration,
  siteConfigurationSchema,
  type Submission,
} from "./schemas.ts";

/**
 * Number of failed runs of a task after which its job fails. One is enough,
 * because a task that may have started is never started again.
 */
const MAX_TASK_ATTEMPTS = 1;
/** Added to a job's latency objective for each level below the top urgency. */
const URGENCY_STEP_MS = 10;
/** The top urgency that a submission may have. */
const MAX_URGENCY = 9;
/**
 * Values for limits that the engine's configuration requires but this interface
 * does not use: its listeners take their limits from the settings.
 */
const UNUSED_LIMITS = {
  maxBodyBytes: 1_048_576,
  maxHeaderBytes: 16_384,
  idleTimeoutMs: 30_000,
};

/**
 * Returns the configuration in force at an availability zone: the base of the
 * document with the zone's overlay applied.
 *
 * @throws {import("zod").ZodError} when base and overlay are not valid together.
 */
export function effectiveConfiguration(
  document: ConfigurationDocument,
  availabilityZone: string,
): SiteConfiguration {
  const overlay = document.overlays[availabilityZone] ?? {};
  return siteConfigurationSchema.parse(applyPatch(document.base, overlay));
}

/**
 * Wraps a document in the engine's configuration, which instances distribute
 * among themselves. Its queues stay empty: each submission carries its queue.
 */
export function toEngineConfiguration(
  document: ConfigurationDocument,
): Configuration {
  const { services } = effectiveConfiguration(document, "");
  return {
    version: document.version,
    queues: [],
    services: Object.keys(services).map((name) => ({
      name,
      healthPath: "",
      guardsCapacity: false,
    })),
    ...UNUSED_LIMITS,
    document,
  };
}

/** Returns the valid document in an engine's configuration, or null. */
export function documentOf(
  configuration: Configuration | null,
): ConfigurationDocument | null {
  const parsed = configurationDocumentSchema.safeParse(configuration?.document);
  return parsed.success ? parsed.data : null;
}

/**
 * Returns a function that yields the configuration in force at a zone, computed
 * once per version. A version without a valid document leaves the previous
 * result in force.
 */
export function createEffectiveConfigurationView(
  configuration: () => Configuration | null,
  availabilityZone: string,
): () => SiteConfiguration | null {
  let version = -1;
  let view: SiteConfiguration | null = null;
  return () => {
    const current = configuration();
    if (current === null || current.version === version) return view;
    const document = documentOf(current);
    version = current.version;
    if (document !== null) {
      view = effectiveConfiguration(document, availabilityZone);
    }
    return view;
  };
}

/**
 * Returns what is configured for a kind. Callers name services and kinds, so that
 * a name that every object has, such as `constructor`, must not be found.
 */
function kindOf(
  { services }: SiteConfiguration,
  { service, kind }: Pick<Submission, "service" | "kind">,
) {
  const kinds = Object.hasOwn(services, service)
    ? services[service]?.kinds
    : undefined;
  return kinds !== undefined && Object.hasOwn(kinds, kind)
    ? kinds[kind]
    : undefined;
}

/**
 * Returns the queue of a team's jobs of one kind, or null if the kind is not
 * configured. More urgent jobs have a shorter latency objective.
 */
export function queueOf(
  configuration: SiteConfiguration,
  team: string,
  { service, kind, urgency, deadlineMs }: Submission,
): QueueRule | null {
  const kindConfiguration = kindOf(configuration, { service, kind });
  if (kindConfiguration === undefined) return null;
  return {
    name: `${team}/${service}/${kind}`,
    host: "",
    pathPrefix: "",
    service,
    priority: 0,
    attempts: MAX_TASK_ATTEMPTS,
    stretch: kindConfiguration.onTimeRatio,
    objectiveMs: (MAX_URGENCY - urgency) * URGENCY_STEP_MS,
    timeoutMs: deadlineMs ?? configuration.limits.defaultDeadlineMs,
  };
}

/**
 * Returns the configured run time of a task of one kind: the estimate for tasks
 * whose caller declares no run time.
 */
export function expectedMsOf(
  configuration: SiteConfiguration,
  { service, kind }: Submission,
): number {
  return kindOf(configuration, { service, kind })?.expectedMs ?? 0;
}
