/** The interfaces between an instance and the world it runs in. */

import type {
  Configuration,
  InstanceInfo,
  WorkerInfo,
} from "../engine/schemas.ts";
import type {
  Effect,
  HoldOutcome,
  StartOutcome,
  StopOutcome,
} from "../engine/types.ts";

/** The effect of one type. */
export type EffectOf<T extends Effect["type"]> = Extract<Effect, { type: T }>;

/** Calls workers; no promise rejects. */
export interface WorkerHost {
  readonly hold: (effect: EffectOf<"hold">) => Promise<HoldOutcome>;
  readonly start: (effect: EffectOf<"startTask">) => Promise<StartOutcome>;
  readonly stop: (effect: EffectOf<"stopTask">) => Promise<StopOutcome>;
  readonly close: () => Promise<void>;
}

/**
 * The store that outlives every instance. Calls reject while it is away, also
 * after they took effect.
 */
export interface DirectoryHost {
  readonly readConfiguration: () => Promise<Configuration | null>;
  /** Resolves with the next newer configuration, or null when none came. */
  readonly awaitConfiguration: () => Promise<Configuration | null>;
  readonly readWorkers: () => Promise<WorkerInfo[]>;
  readonly readInstances: () => Promise<InstanceInfo[]>;
  readonly announce: (self: InstanceInfo) => Promise<void>;
  readonly close: () => Promise<void>;
}
