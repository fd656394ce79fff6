/** The small interfaces between the core's shell and the world. */

import type {
  ConfigurationDocument,
  InstanceRef,
  Json,
  PeerMessage,
  UpstreamMember,
} from "../core/schemas.ts";
import type { Effect, SendOutcome } from "../core/types.ts";

/** Where time comes from. */
export interface ClockHost {
  /** Monotonic milliseconds; goes on while the process is stopped. */
  readonly nowMs: () => number;
  /** Milliseconds since the Unix epoch. */
  readonly wallMs: () => number;
}

/** Sends tasks to upstreams. */
export interface UpstreamHost {
  /** Sends one task; the promise never rejects. */
  readonly send: (
    effect: Extract<Effect, { type: "sendTask" }>,
  ) => Promise<SendOutcome>;
  readonly close: () => Promise<void>;
}

/** Carries messages between entry instances; delivery is not certain. */
export interface PeerHost {
  readonly send: (slot: string, message: PeerMessage) => void;
  /** Resolves once everything that was sent has left, or cannot. */
  readonly flush: () => Promise<void>;
  readonly close: () => Promise<void>;
  readonly trafficBytes: () => { sent: number; received: number };
}

/** What the peer transport tells the shell. */
export interface PeerHandlers {
  readonly onMessage: (from: InstanceRef, message: PeerMessage) => void;
  readonly onDown: (slot: string) => void;
  readonly onMalformed: () => void;
}

/** One row of the platform's table. */
export interface TableRow {
  readonly value: Json;
  /** Rises by one with each write; 0 means that there is no row. */
  readonly version: number;
}

/** The end of a conditional write. */
export type WriteResult =
  | { readonly kind: "written"; readonly version: number }
  | { readonly kind: "conflict"; readonly row: TableRow };

/** The platform's list of upstreams. */
export interface MembershipList {
  readonly version: number;
  readonly upstreams: UpstreamMember[];
}

/**
 * The platform's service. Every call may fail with a
 * {@linkcode PlatformError}, also after it took effect.
 */
export interface PlatformHost {
  readonly readRow: (key: string) => Promise<TableRow>;
  readonly writeRow: (
    key: string,
    row: { value: Json; expectedVersion: number },
  ) => Promise<WriteResult>;
  readonly readMembership: () => Promise<MembershipList>;
  readonly close: () => Promise<void>;
}

/** The key of the table row that holds the accepted configuration. */
export const CONFIGURATION_ROW = "configuration/current";

/** The row in which an accepted version stays readable. */
export function historyRow(version: number): string {
  return `configuration/history/${version}`;
}

/** The row that says that an incarnation of a slot once ran. */
export function incarnationRow(slot: string): string {
  return `entry/${slot}`;
}

/** A configuration as the table holds it. */
export type StoredConfiguration = ConfigurationDocument;
