/** Bodies of requests. */

import type { IncomingMessage } from "node:http";

/** The whole body as text, or null where it is larger than allowed. */
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
