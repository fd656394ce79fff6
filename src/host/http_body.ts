/** Reads HTTP request bodies. */

import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";

/** Called for each chunk that is read of a body on a connection. */
export const chunkListeners = new WeakMap<Socket, () => void>();

/** Size of the first buffer of a body that arrives in several chunks. */
const MIN_CAPACITY_BYTES = 1_024;

/**
 * Reads a whole body as UTF-8; resolves with null, and reads no further, if it
 * exceeds `maxBytes`. Chunks are copied into one buffer at once, since a chunk of
 * one byte takes hundreds of bytes as long as it is kept.
 *
 * @throws {Error} if the connection ends before the body does.
 *
 * @example
 * ```ts
 * const text = await readText(request, 262_144);
 * ```
 */
export function readText(
  request: IncomingMessage,
  maxBytes: number,
): Promise<string | null> {
  return new Promise((resolve, reject) => {
    const body = createBodyBuffer(maxBytes);
    const onChunk = chunkListeners.get(request.socket);
    const onData = (chunk: Buffer): void => {
      onChunk?.();
      if (body.add(chunk)) return;
      request.off("data", onData);
      request.pause();
      resolve(null);
    };
    request.on("data", onData);
    request.once("end", () => resolve(body.text()));
    request.once("error", reject);
    request.once("close", () => {
      if (!request.complete) reject(new Error("request body is incomplete"));
    });
  });
}

/** A buffer that grows with what is added to it. */
interface BodyBuffer {
  /** Returns whether the chunk was added; false if the body is too large. */
  readonly add: (chunk: Buffer) => boolean;
  readonly text: () => string;
}

function createBodyBuffer(maxBytes: number): BodyBuffer {
  let buffer = Buffer.alloc(0);
  let length = 0;
  return {
    add(chunk) {
      const neededBytes = length + chunk.length;
      if (neededBytes > maxBytes) return false;
      if (neededBytes > buffer.length) {
        const capacityBytes = Math.max(
          neededBytes,
          Math.min(maxBytes, 2 * buffer.length),
          Math.min(maxBytes, MIN_CAPACITY_BYTES),
        );
        const larger = Buffer.allocUnsafeSlow(capacityBytes);
        buffer.copy(larger, 0, 0, length);
        buffer = larger;
      }
      chunk.copy(buffer, length);
      length = neededBytes;
      return true;
    },
    text: () => buffer.toString("utf8", 0, length),
  };
}
