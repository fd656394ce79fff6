/** Functions that add effects to the context of the event being reduced. */

import type { Effect, Turn } from "./types.ts";
import type { PeerMessage } from "./schemas.ts";

/** Adds an effect to the context. */
export function emit(turn: Turn, effect: Effect): void {
  turn.effects.push(effect);
}

/** The level, component and text of a log line. */
export interface LogLine {
  readonly level?: "info" | "warn" | "error";
  readonly part: string;
  readonly text: string;
}

/**
 * Logs a decision together with its inputs.
 *
 * @example
 * ```ts
 * const line = { part: "admit", text: "job refused" };
 * logDecision(context, line, { jobId, expectedWaitMs: 80 });
 * ```
 */
export function logDecision(
  turn: Turn,
  { level = "info", part, text }: LogLine,
  fields: Record<string, unknown>,
): void {
  turn.effects.push({ type: "log", level, part, text, fields });
}

/**
 * Sends a message to an instance. A message to this instance is handled while
 * the current event is reduced.
 */
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
