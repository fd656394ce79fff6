/** The interfaces between an instance and the world it runs in. */

import type { Configuration, WorkerInfo } from "../engine/schemas.ts";
import type {
  Effect,
  PollOutcome,
  StartOutcome,
  StopOutcome,
} from "../engine/types.ts";

/** The effect of one type. */
export type EffectOf<T extends Effect["type"]> = Extract<Effect, { type: T }>;

/** Calls workers; no promise rejects. */
export interface WorkerHost {
  readonly hold: (effect: EffectOf<"hold">) => Promise<PollOutcome>;
  readonly start: (effect: EffectOf<"startTask">) => Promise<StartOutcome>;
  readonly stop: (effect: EffectOf<"stopTask">) => Promise<StopOutcome>;
  readonly close: () => Promise<void>;
}

/** One row of a table of the store. */
export interface StoreRow {
  readonly table: string;
  readonly key: string;
  readonly value: unknown;
  /** Rises with each write to the store. */
  readonly version: number;
}

/** A change of rows of one part, of any tables, made as a whole or not. */
export interface StoreTransaction {
  readonly part: string;
  /** Versions that rows must have; 0 for no row. */
  readonly expected: readonly {
    readonly table: string;
    readonly key: string;
    readonly version: number;
  }[];
  readonly writes: readonly {
    readonly table: string;
    readonly key: string;
    readonly value: unknown;
  }[];
  readonly removes: readonly {
    readonly table: string;
    readonly key: string;
  }[];
}

/** What came of a transaction. */
export type TransactionResult =
  | { readonly kind: "done"; readonly version: number }
  /** The rows that were expected, as they are; some may be missing. */
  | { readonly kind: "conflict"; readonly rows: readonly StoreRow[] };

/**
 * The store that outlives every instance. Calls reject while it is away, also
 * after they took effect.
 */
export interface StoreHost {
  readonly readConfiguration: () => Promise<Configuration | null>;
  /** Resolves with the next newer configuration, or null when none came. */
  readonly awaitConfiguration: () => Promise<Configuration | null>;
  readonly readWorkers: () => Promise<WorkerInfo[]>;
  /** All rows of a part of a table. */
  readonly readRows: (
    place: { readonly table: string; readonly part: string },
  ) => Promise<StoreRow[]>;
  readonly transact: (
    transaction: StoreTransaction,
  ) => Promise<TransactionResult>;
  readonly close: () => Promise<void>;
}
