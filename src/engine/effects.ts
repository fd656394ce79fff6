/** Functions that add effects to the context of the event being reduced. */

import type { Effect, ReduceContext } from "./types.ts";
import type { PeerMessage } from "./schemas.ts";

/** Adds an effect to the context. */
export function emit(context: ReduceContext, effect: Effect): void {
  context.effects.push(effect);
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
  context: ReduceContext,
  { level = "info", part, text }: LogLine,
  fields: Record<string, unknown>,
): void {
  context.effects.push({ type: "log", level, part, text, fields });
}

/**
 * Sends a message to an instance. A message to this instance is handled while
 * the current event is reduced.
 */
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
