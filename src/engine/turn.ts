/** What every stage uses to put effects into a turn. */

import type { Effect, Turn } from "./types.ts";
import type { PeerMessage } from "./schemas.ts";

/** Adds an effect to the turn. */
export function emit(turn: Turn, effect: Effect): void {
  turn.effects.push(effect);
}

/** The level, part and sentence of a log line. */
export interface LogLine {
  readonly level?: "info" | "warn" | "error";
  readonly part: string;
  readonly text: string;
}

/**
 * Adds a log line with the inputs that decided.
 *
 * @example
 * ```ts
 * logDecision(turn, { part: "admit", text: "refused" }, { jobId, waitMs: 80 });
 * ```
 */
export function logDecision(
  turn: Turn,
  { level = "info", part, text }: LogLine,
  fields: Record<string, unknown>,
): void {
  turn.effects.push({ type: "log", level, part, text, fields });
}

/** Sends a message to an instance; to this one within the same turn. */
export function sendPeer(
  turn: Turn,
  instanceId: string,
  message: PeerMessage,
): void {
  if (instanceId === turn.state.self.instanceId) {
    turn.toSelf.push(message);
    return;
  }
  turn.state.counters.peerMessages += 1;
  turn.effects.push({ type: "sendPeer", instanceId, message });
}
