/** What every stage uses to put effects into a turn. */

import type { Effect, ReduceContext } from "./types.ts";
import type { PeerMessage } from "./schemas.ts";

/** Adds an effect to the turn. */
export function emit(context: ReduceContext, effect: Effect): void {
  context.effects.push(effect);
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
  context: ReduceContext,
  { level = "info", part, text }: LogLine,
  fields: Record<string, unknown>,
): void {
  context.effects.push({ type: "log", level, part, text, fields });
}

/** Sends a message to an instance; to this one within the same turn. */
export function sendPeer(
  context: ReduceContext,
  instanceId: string,
  message: PeerMessage,
): void {
  if (instanceId === context.state.self.instanceId) {
    context.selfMessages.push(message);
    return;
  }
  context.state.counters.peerMessages += 1;
  context.effects.push({ type: "sendPeer", instanceId, message });
}
