/** The interfaces through which an instance calls workers and the store. */

import type { WorkerInfo } from "../engine/schemas.ts";
import type {
  ConfigurationCall,
  ConfigurationOutcome,
  Effect,
  PollOutcome,
  StartOutcome,
  StopOutcome,
} from "../engine/types.ts";

/** The variant of {@linkcode Effect} with the given type. */
export type EffectOf<T extends Effect["type"]> = Extract<Effect, { type: T }>;

/** Calls workers. The returned promises never reject. */
export interface WorkerHost {
  /**
   * Polls a worker: renews its lease and reads its lists of runs. The effect
   * type and the path on the wire are named `hold`.
   */
  readonly poll: (effect: EffectOf<"hold">) => Promise<PollOutcome>;
  readonly start: (effect: EffectOf<"startTask">) => Promise<StartOutcome>;
  readonly stop: (effect: EffectOf<"stopTask">) => Promise<StopOutcome>;
  readonly close: () => Promise<void>;
}

/** Reads all rows of one part of a small table. */
export async function readRows(
  store: StoreHost,
  tablePart: { readonly table: string; readonly part: string },
): Promise<StoreRow[]> {
  const rows: StoreRow[] = [];
  for await (const page of store.readPages(tablePart)) rows.push(...page);
  return rows;
}

/** A row of a table in the store. */
export interface StoreRow {
  readonly table: string;
  readonly key: string;
  readonly value: unknown;
  /** Version assigned by the last write; grows with each write to the store. */
  readonly version: number;
}

/** An atomic change of rows in one part; the rows may be in several tables. */
export interface StoreTransaction {
  readonly part: string;
  /** The versions that rows must have; 0 if the row must not exist. */
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

/** The outcome of a transaction. */
export type TransactionResult =
  | { readonly kind: "done"; readonly version: number }
  /**
   * The current state of the rows in `expected`; some may be missing, such as
   * rows that do not exist.
   */
  | { readonly kind: "conflict"; readonly rows: readonly StoreRow[] }
  /**
   * The store refuses the transaction as it is, such as for a row that is too
   * large. Nothing was written, and it would be refused again.
   */
  | { readonly kind: "invalid"; readonly detail: string };

/** What the store tells of the configuration. */
export type ConfigurationAnswer = Exclude<
  ConfigurationOutcome,
  { readonly kind: "failed" }
>;

/**
 * The store that outlives every instance. Calls reject while it is unavailable;
 * a rejected write may have taken effect.
 */
export interface StoreHost {
  /** Asks for the configuration, each in its own way. */
  readonly configuration: {
    readonly [C in ConfigurationCall]: (
      /** Version of the latest row that the caller knows; 0 if none. */
      rowVersion: number,
    ) => Promise<ConfigurationAnswer>;
  };
  readonly readWorkers: () => Promise<WorkerInfo[]>;
  /** Reads the names of the zones that an operator evacuates. */
  readonly readEvacuations: () => Promise<string[]>;
  /**
   * Reads all rows of one part of a table. Each page is a response of its own,
   * so that handling a large table doesn't block the event loop.
   */
  readonly readPages: (
    tablePart: { readonly table: string; readonly part: string },
  ) => AsyncIterable<readonly StoreRow[]>;
  readonly transact: (
    transaction: StoreTransaction,
  ) => Promise<TransactionResult>;
  readonly close: () => Promise<void>;
}
