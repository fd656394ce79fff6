/**
 * Compresses large messages between instances. A message that goes to many peers
 * is compressed once.
 */

import { deflateSync, inflateSync } from "node:zlib";
import VError from "verror";
import { z } from "zod";
import type { PeerMessage } from "../engine/schemas.ts";
import { parseJson } from "../host/json.ts";

/** Length of the JSON text from which a message is compressed. */
const MIN_PACKED_LENGTH = 4_096;
/** Bound of the length of a message after its decompression. */
const MAX_UNPACKED_BYTES = 33_554_432;
/** The messages that can be large, and that go to many peers. */
const packedTypes: ReadonlySet<PeerMessage["type"]> = new Set([
  "configuration",
  "configurationChanges",
  "workers",
]);

const packedSchema = z.object({
  /** Base64 of the compressed JSON text of a message. */
  packed: z.string(),
});
type PackedMessage = z.infer<typeof packedSchema>;

/** Thrown when a compressed message can't be read. */
export class PackedMessageError extends VError {}

const packedMessages = new WeakMap<PeerMessage, PeerMessage | PackedMessage>();

/**
 * Returns what to send in place of a message: the message itself, or its
 * compressed form if it is large.
 *
 * @example
 * ```ts
 * const item = packMessage(message);
 * unpackMessage(JSON.parse(JSON.stringify(item))); // equals `message`
 * ```
 */
export function packMessage(message: PeerMessage): PeerMessage | PackedMessage {
  if (!packedTypes.has(message.type)) return message;
  let packed = packedMessages.get(message);
  if (packed === undefined) {
    const text = JSON.stringify(message);
    packed = text.length < MIN_PACKED_LENGTH
      ? message
      : { packed: deflateSync(text).toString("base64") };
    packedMessages.set(message, packed);
  }
  return packed;
}

/**
 * Returns the message that a received item stands for, which is not checked yet.
 *
 * @throws {PackedMessageError} if it can't be decompressed.
 */
export function unpackMessage(item: unknown): unknown {
  const parsed = packedSchema.safeParse(item);
  if (!parsed.success) return item;
  try {
    const bytes = inflateSync(Buffer.from(parsed.data.packed, "base64"), {
      maxOutputLength: MAX_UNPACKED_BYTES,
    });
    return parseJson(bytes.toString("utf8"));
  } catch (error) {
    throw new PackedMessageError(
      error as Error,
      "compressed message is unreadable",
    );
  }
}
