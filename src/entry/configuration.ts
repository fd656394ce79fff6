/** Our operators' configuration, as the engine and the listeners need it. */

import type { Configuration, QueueRule } from "../engine/schemas.ts";
import { applyPatch } from "./merge_patch.ts";
import {
  type ConfigurationDocument,
  configurationDocumentSchema,
  type SiteConfiguration,
  siteConfigurationSchema,
  type Submission,
} from "./schemas.ts";

/** A task that may have begun is never started again, so it fails once. */
const ATTEMPTS = 1;
/** So much later the objective of the least urgent job, a step of urgency. */
const URGENCY_STEP_MS = 10;
const MOST_URGENT = 9;
/** Limits that our interface takes from the settings, not from operators. */
const UNUSED_LIMITS = {
  maxBodyBytes: 1_048_576,
  maxHeaderBytes: 16_384,
  idleTimeoutMs: 30_000,
};

/**
 * What a document puts in force at an availability zone.
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

/** The document as the engine carries and spreads it. */
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

/** The document that an engine carries, or null. */
export function documentOf(
  configuration: Configuration | null,
): ConfigurationDocument | null {
  const parsed = configurationDocumentSchema.safeParse(configuration?.document);
  return parsed.success ? parsed.data : null;
}

/** Works out what is in force at a zone, once for each version. */
export function createSiteView(
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
 * The queue of one team's work of one kind; null where no such kind is
 * configured. More urgent work has its objective a little earlier.
 */
export function queueOf(
  site: SiteConfiguration,
  team: string,
  { service, kind, urgency, deadlineMs }: Submission,
): QueueRule | null {
  const rule = site.services[service]?.kinds[kind];
  if (rule === undefined) return null;
  return {
    name: `${team}/${service}/${kind}`,
    host: "",
    pathPrefix: "",
    service,
    priority: 0,
    attempts: ATTEMPTS,
    stretch: rule.onTimeRatio,
    objectiveMs: (MOST_URGENT - urgency) * URGENCY_STEP_MS,
    timeoutMs: deadlineMs ?? site.limits.defaultDeadlineMs,
  };
}

/** The run time of a task of a kind, where nothing better is known. */
export function expectedMsOf(
  site: SiteConfiguration,
  { service, kind }: Submission,
): number {
  return site.services[service]?.kinds[kind]?.expectedMs ?? 0;
}
