/** Reads HTTP request bodies. */

import type { IncomingMessage } from "node:http";

/** Reads a whole body as UTF-8; resolves with null if it exceeds `maxBytes`. */
export async function readText(
  request: IncomingMessage,
  maxBytes: number,
): Promise<string | null> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    length += chunk.length;
    if (length > maxBytes) return null;
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString("utf8");
}
