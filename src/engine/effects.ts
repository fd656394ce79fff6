/** Functions that add effects to the context of the event being reduced. */

import type { PeerMessage } from "./schemas.ts";
import type { Effect, ReduceContext } from "./types.ts";

/** Adds an effect to the context. */
export function emit(context: ReduceContext, effect: Effect): void {
  context.effects.push(effect);
}

/** The level, the part of the system and the text of a log line. */
export interface LogLine {
  readonly level?: "info" | "warn" | "error";
  readonly part: string;
  readonly text: string;
}

/**
 * Adds the log line of a decision, with the inputs of the decision as fields.
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
 * Sends a message to an instance. A message to this instance is not sent: it is
 * handled later in the reduction of the current event.
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
